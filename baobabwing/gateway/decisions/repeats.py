"""How many requests may be sent to a second upstream."""

from __future__ import annotations

from collections import deque

__all__ = ["RepeatBudget"]

# Kept below the bound, since windows of nodes and of those who count them differ.
_SAFETY_FACTOR = 0.7


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
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def reload(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Take changed bounds; what was counted stays."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s

    def first(self, now: float) -> None:
        """Count a request of a caller."""
        self._first_attempts.append(now)
        self._expire(now)

    def take(self, now: float, nodes: int) -> bool:
        """Use one repeat, if one is left.

        :param nodes: nodes among which the fixed allowance is split.
        """
        self._expire(now)
        if self.left(nodes) < 1:
            return False
        self._retries.append(now)
        return True

    def left(self, nodes: int) -> float:
        """Return the repeats that are left in this window."""
        allowed = self._ratio * len(self._first_attempts) + self._slack / max(nodes, 1)
        return _SAFETY_FACTOR * allowed - len(self._retries)

    def _expire(self, now: float) -> None:
        for times in (self._first_attempts, self._retries):
            while times and times[0] < now - self._window_s:
                times.popleft()
