"""The retry budgets of one entry, used by the threads of all its requests."""

from __future__ import annotations

import threading

from baobabwing.requests.retries import RetryBudgets

__all__ = ["RetryBook"]


class RetryBook:
    """Grants a retry only if both the pool and the organisation have one left.

    Without the first, a pool that refuses everything would get each request
    several times; without the second, one organisation could use up the pool's.
    """

    def __init__(self) -> None:
        self._budgets = RetryBudgets()
        self._lock = threading.Lock()

    def count_request(self, pool: str, organisation: str, now: float) -> None:
        """Count a first attempt."""
        with self._lock:
            self._budgets.count_request(pool, organisation, now)

    def take(self, pool: str, organisation: str, now: float) -> bool:
        """Take one retry; false if a budget is used up."""
        with self._lock:
            return self._budgets.take_retry(pool, organisation, now)
