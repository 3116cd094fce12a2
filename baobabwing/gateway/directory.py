"""Choice of the node addresses that callers should use."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from baobabwing.fleet.host import Host
from baobabwing.gateway.settings import GatewaySettings

__all__ = ["caller_addresses"]

# More than callers use of one answer.
_MAX_ADDRESSES = 64


def caller_addresses(
    settings: GatewaySettings,
    *,
    ready: bool,
    others: Iterable[Host],
    zone: str,
    rng: Random,
) -> list[str]:
    """Return the addresses of ready nodes for callers, own availability zone first.

    Leaving and dead nodes are left out, so that callers use other nodes before a
    leaving one stops. The order within a zone is random.

    :param ready: whether this node itself accepts callers.
    :param others: the other nodes that may get new work.
    :param zone: availability zone of the caller.
    """
    candidates = [(host.zone != zone, host.http) for host in others]
    if ready:
        candidates.append((settings.zone != zone, settings.callers))
    rng.shuffle(candidates)
    candidates.sort(key=lambda candidate: candidate[0])
    return [address for _, address in candidates[:_MAX_ADDRESSES]]
