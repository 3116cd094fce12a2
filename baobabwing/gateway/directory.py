"""Which addresses callers should use."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from baobabwing.fleet.host import Host
from baobabwing.gateway.settings import GatewaySettings

__all__ = ["caller_addresses"]

# More than callers use of an answer.
_MAX_ADDRESSES = 64


def caller_addresses(
    settings: GatewaySettings,
    *,
    ready: bool,
    others: Iterable[Host],
    zone: str,
    rng: Random,
) -> list[str]:
    """Return the callers' addresses of nodes that are ready, nearest first.

    A node that is leaving, or that is held for dead, is left out, so that callers go
    elsewhere before it ends.

    :param ready: whether this node takes callers itself.
    :param others: the other nodes that may get new work.
    :param zone: where the caller is.
    """
    candidates = [(host.zone != zone, host.http) for host in others]
    if ready:
        candidates.append((settings.zone != zone, settings.callers))
    rng.shuffle(candidates)
    candidates.sort(key=lambda candidate: candidate[0])
    return [address for _, address in candidates[:_MAX_ADDRESSES]]
