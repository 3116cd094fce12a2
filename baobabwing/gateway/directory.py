"""Which addresses callers should use."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from baobabwing.gateway.reports import PeerNode
from baobabwing.gateway.settings import GatewaySettings

__all__ = ["addresses"]

# More than callers use of an answer.
_MOST = 64


def addresses(
    settings: GatewaySettings,
    *,
    ready: bool,
    heard: Iterable[PeerNode],
    zone: str,
    rng: Random,
) -> list[str]:
    """Return the callers' addresses of nodes that are ready, nearest first.

    A node that is leaving, or that is no longer heard, is left out, so that
    callers go elsewhere before it ends.

    :param ready: whether this node takes callers itself.
    :param heard: the peers that reported just now.
    :param zone: where the caller is.
    """
    found = [(node.zone != zone, node.callers) for node in heard if node.ready]
    if ready:
        found.append((settings.zone != zone, settings.callers))
    rng.shuffle(found)
    found.sort(key=lambda one: one[0])
    return [address for _, address in found[:_MOST]]
