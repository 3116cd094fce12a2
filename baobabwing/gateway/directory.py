"""Which addresses callers should use."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from baobabwing.fleet.host import Host
from baobabwing.gateway.settings import GatewaySettings

__all__ = ["addresses"]

# More than callers use of an answer.
_MOST = 64


def addresses(
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
    found = [(host.zone != zone, host.http) for host in others]
    if ready:
        found.append((settings.zone != zone, settings.callers))
    rng.shuffle(found)
    found.sort(key=lambda one: one[0])
    return [address for _, address in found[:_MOST]]
