"""Thread-safe retry budgets of one entry, shared by all its request threads."""

from __future__ import annotations

import threading

from baobabwing.requests.retries import RetryBudgets

__all__ = ["SharedRetryBudgets"]


class SharedRetryBudgets:
    """Allows a retry only within the budgets of the pool and of the organisation.

    Without the pool's budget, a pool that refuses everything would get each
    request several times; without the organisation's, a single organisation could
    exhaust the pool's budget.
    """

    def __init__(self) -> None:
        self._budgets = RetryBudgets()
        self._lock = threading.Lock()

    def count_request(self, pool: str, organisation: str, now: float) -> None:
        """Count a first attempt."""
        with self._lock:
            self._budgets.count_request(pool, organisation, now)

    def take_retry(self, pool: str, organisation: str, now: float) -> bool:
        """Charge one retry; return ``False`` if a budget is exhausted."""
        with self._lock:
            return self._budgets.take_retry(pool, organisation, now)
