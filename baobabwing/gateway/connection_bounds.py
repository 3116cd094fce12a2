"""How many connections a node keeps, and which one makes way for a newcomer.

Answers callers that hold many connections and send nothing on them: a node without
descriptors reaches no upstream, peer or store.
"""

from __future__ import annotations

import resource
from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction
from typing import Generic, TypeVar

__all__ = ["ConnectionBounds", "IdleConnection", "descriptor_limit", "pick_to_close"]

# For files, and for what this node itself keeps open; a quarter where there are few.
_FILE_DESCRIPTORS = 200
# Parts of the others. What is left is for upstreams, as many as callers have. In a
# large fleet a hundred nodes may follow one of them.
_CALLERS_PART = Fraction(1, 3)
_PEERS_PART = Fraction(1, 8)
_TUNNELS_PART = Fraction(1, 12)
_OTHERS_PART = Fraction(1, 24)
_MIN_CONNECTIONS = 4
# Where the process has no limit of its own.
_MAX_DESCRIPTORS = 1024 * 1024
# A new caller has this long to send its first byte, and the next request of a kept
# connection may be on its way for some time after an answer.
_UNUSED_KEEP_S = 0.5
_USED_KEEP_S = 5.0

_Key = TypeVar("_Key")


@dataclass(frozen=True, kw_only=True)
class ConnectionBounds:
    """Most connections that the listeners of a node keep.

    :param callers: of callers.
    :param peers: of nodes that follow this one.
    :param tunnels: of nodes that reach upstreams through this one.
    :param others: of each other listener.
    """

    callers: int
    peers: int
    tunnels: int
    others: int

    @classmethod
    def within(cls, descriptors: int) -> ConnectionBounds:
        """Return the bounds under a limit of descriptors."""
        sockets = descriptors - min(_FILE_DESCRIPTORS, descriptors // 4)

        def bound(part: Fraction) -> int:
            return max(int(sockets * part), _MIN_CONNECTIONS)

        return cls(
            callers=bound(_CALLERS_PART),
            peers=bound(_PEERS_PART),
            tunnels=bound(_TUNNELS_PART),
            others=bound(_OTHERS_PART),
        )


@dataclass(frozen=True, kw_only=True)
class IdleConnection(Generic[_Key]):
    """A connection that waits for a request of which nothing has arrived.

    :param key: what tells it from others.
    :param idle_s: how long it has waited.
    :param used: whether anything was ever received on it.
    """

    key: _Key
    idle_s: float
    used: bool


def descriptor_limit(stated: int = 0) -> int:
    """Return the most descriptors that this process can open.

    :param stated: a lower limit from its settings; 0 for none.
    """
    own, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if own == resource.RLIM_INFINITY:
        own = _MAX_DESCRIPTORS
    return min(own, stated) if stated > 0 else own


def pick_to_close(idle: Iterable[IdleConnection[_Key]]) -> _Key | None:
    """Return the connection that makes way for a newcomer; ``None`` if none may.

    Those on which nothing was ever received go first, then those that have waited for
    long; of either the one that has waited longest.
    """
    closable = [one for one in idle if one.idle_s >= _keep_s(one)]
    if not closable:
        return None
    return max(closable, key=lambda one: (not one.used, one.idle_s)).key


def _keep_s(one: IdleConnection[_Key]) -> float:
    return _USED_KEEP_S if one.used else _UNUSED_KEEP_S
