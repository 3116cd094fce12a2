"""Limit on the requests that upstreams may have to refuse."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

__all__ = ["REFUSAL_WINDOW_S", "RefusalLimit"]

# Time over which refusals count against a limit.
REFUSAL_WINDOW_S = 1.0

# Refusals that the nodes cause before all have heard of the first one.
_REFUSALS_AT_ONCE = 3.0
_MIN_HOLD_S = 0.1
_MAX_HOLD_S = 1.0
# Nodes that came back at the same moment would be refused again together.
_HOLD_SPREAD = (0.25, 1.75)
# Part of the limit from which on an upstream is left until its refusals have become
# fewer: more may be on their way. The nodes then come back over some time.
_MAX_USED_SHARE = 0.75
_RETURN_SPREAD_S = 1.5
# Part of a plain service's capacity that all nodes together send it: requests come at
# random, and with a full one more than a tenth of them would find no room.
_PACED_SHARE = 0.7
# A node sends to each service this often at least, whatever its share.
_MAX_PACE_S = 12.0


class RefusalLimit:
    """How many requests a second each upstream of a pool can refuse before it fails.

    The limit is for the refusals of an upstream to all nodes. Engines are never sent
    more than they have slots, by the home of their cell. Of a plain service's capacity
    each node uses an equal share, and tells the others when it is refused, so that all
    of them leave the service for a moment.

    :ivar per_s: the limit; ``None`` while there is none.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None

    @property
    def in_force(self) -> bool:
        """Whether there is a limit now."""
        return self.per_s is not None

    def pace_s(self, served_per_s: float, nodes: int) -> float:
        """Return the time between two requests of a node to plain services.

        :param served_per_s: requests a second that the services can serve.
        :param nodes: nodes that send to them.
        """
        if self.per_s is None or served_per_s <= 0:
            return 0.0
        return min(nodes / (_PACED_SHARE * served_per_s), _MAX_PACE_S)

    def hold_s(self, refused_at: Sequence[float], now: float, rng: Random) -> float:
        """Return for how long a node leaves an upstream that has refused a request.

        :param refused_at: when it has refused requests of any node within the window.
        """
        if self.per_s is None:
            return 0.0
        hold_s = _REFUSALS_AT_ONCE / max(self.per_s, 1.0)
        hold_s = min(max(hold_s, _MIN_HOLD_S), _MAX_HOLD_S)
        hold_s *= rng.uniform(*_HOLD_SPREAD)
        most = max(int(_MAX_USED_SHARE * self.per_s), 1)
        if len(refused_at) < most:
            return hold_s
        fewer_at = refused_at[-most] + REFUSAL_WINDOW_S
        return max(hold_s, fewer_at - now + rng.uniform(0.0, _RETURN_SPREAD_S))
