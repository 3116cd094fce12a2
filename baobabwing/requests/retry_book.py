"""Retry budgets of all pools and organisations of one entry."""

from __future__ import annotations

import threading
from collections import defaultdict

from baobabwing.requests.retries import RetryBudget

__all__ = ["RetryBook"]


class RetryBook:
    """Grants a retry only if both the pool and the organisation have one left.

    Without the first, a pool that refuses everything would get each request
    several times; without the second, one organisation could use up the pool's.
    """

    def __init__(self) -> None:
        self._pools: dict[str, RetryBudget] = defaultdict(RetryBudget)
        self._organisations: dict[str, RetryBudget] = defaultdict(RetryBudget)
        self._lock = threading.Lock()

    def count_request(self, pool: str, organisation: str, now: float) -> None:
        """Count a first attempt."""
        with self._lock:
            self._pools[pool].count_request(now)
            self._organisations[organisation].count_request(now)

    def take(self, pool: str, organisation: str, now: float) -> bool:
        """Take one retry; false if a budget is used up."""
        with self._lock:
            budgets = (self._pools[pool], self._organisations[organisation])
            if not all(budget.allows(now) for budget in budgets):
                return False
            for budget in budgets:
                budget.take(now)
            return True
