"""How many requests may be sent to a second upstream."""

from __future__ import annotations

from collections import deque

__all__ = ["RepeatBudget"]

# Kept below the bound, since windows of nodes and of those who count them differ.
_CAUTION = 0.7


class RepeatBudget:
    """Repeats of one pool at one node, as a part of what all nodes may do.

    The ratio applies to each node's own requests; the fixed allowance is split
    evenly, so that the sum holds in every partition without asking anyone.

    :param ratio: repeats for each first request.
    :param slack: repeats a window beyond that, over all nodes.
    :param window_s: length of the window.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def reload(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Take changed bounds; what was counted stays."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s

    def first(self, now: float) -> None:
        """Count a request of a caller."""
        self._firsts.append(now)
        self._forget(now)

    def take(self, now: float, nodes: int) -> bool:
        """Use one repeat, if one is left.

        :param nodes: nodes among which the fixed allowance is split.
        """
        self._forget(now)
        if self.left(nodes) < 1:
            return False
        self._repeats.append(now)
        return True

    def left(self, nodes: int) -> float:
        """Return the repeats that are left in this window."""
        allowed = self._ratio * len(self._firsts) + self._slack / max(nodes, 1)
        return _CAUTION * allowed - len(self._repeats)

    def _forget(self, now: float) -> None:
        for times in (self._firsts, self._repeats):
            while times and times[0] < now - self._window_s:
                times.popleft()
