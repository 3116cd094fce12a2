"""Budget of retries: requests that are sent to a second upstream."""

from __future__ import annotations

from collections import deque

__all__ = ["RetryBudget"]

# Share of the bound that is used. The windows of the nodes and of an outside observer
# are not aligned, so using all of it could exceed the bound in some windows.
_SAFETY_FACTOR = 0.7


class RetryBudget:
    """One node's share of the retries that all nodes may make for a pool.

    The ratio applies to each node's own requests, and the fixed allowance is split
    evenly, so the bound on the sum holds in every partition without coordination.

    :param ratio: allowed retries per request of a caller.
    :param slack: further retries allowed per window, over all nodes.
    :param window_s: length of the sliding window.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def reload(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Replace the bounds; the counts of the current window stay."""
        self._ratio, self._slack, self._window_s = ratio, slack, window_s

    def count_request(self, now: float) -> None:
        """Count the first attempt of a caller's request."""
        self._first_attempts.append(now)
        self._expire(now)

    def try_take(self, now: float, nodes: int) -> bool:
        """Consume one retry, if one is left.

        :param nodes: number of nodes among which the fixed allowance is split.
        :returns: whether the retry is allowed.
        """
        if self.remaining(now, nodes) < 1:
            return False
        self._retries.append(now)
        return True

    def give_back(self, now: float, *, since: float) -> None:
        """Give back a retry that was taken and not sent.

        The oldest one goes, so that the others count no shorter than they should.

        :param since: a time after which it was taken.
        """
        self._expire(now)
        if self._retries and since >= now - self._window_s:
            self._retries.popleft()

    def remaining(self, now: float, nodes: int) -> float:
        """Return the retries that are left in this window; may be negative.

        :param nodes: number of nodes among which the fixed allowance is split.
        """
        self._expire(now)
        allowed = self._ratio * len(self._first_attempts) + self._slack / max(nodes, 1)
        return _SAFETY_FACTOR * allowed - len(self._retries)

    def _expire(self, now: float) -> None:
        for times in (self._first_attempts, self._retries):
            while times and times[0] < now - self._window_s:
                times.popleft()
