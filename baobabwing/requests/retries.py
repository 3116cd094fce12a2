"""Retry budgets, which keep retries from amplifying an overload."""

from __future__ import annotations

from collections import OrderedDict, deque

__all__ = ["RetryBudget", "RetryBudgets"]

RETRY_FRACTION = 0.1
MIN_RETRIES = 3
_WINDOW_S = 10.0
_BUCKET_S = 1.0
_MAX_BUDGETS = 4096


class _Bucket:
    """Number of events within one second."""

    __slots__ = ("count", "number")

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.count = 0


class _WindowCount:
    """Number of events within a sliding window, in buckets of one second."""

    def __init__(self) -> None:
        self._buckets: deque[_Bucket] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        self._expire(now)
        number = int(now // _BUCKET_S)
        if not self._buckets or self._buckets[-1].number < number:
            self._buckets.append(_Bucket(number=number))
        self._buckets[-1].count += 1
        self._total += 1

    def total(self, now: float) -> int:
        """Return the number of events within the window."""
        self._expire(now)
        return self._total

    def _expire(self, now: float) -> None:
        oldest = (now - _WINDOW_S) // _BUCKET_S
        while self._buckets and self._buckets[0].number <= oldest:
            self._total -= self._buckets.popleft().count


class RetryBudget:
    """Retry budget in proportion to the first attempts within the window.

    :param fraction: retries allowed per first attempt.
    :param min_retries: retries allowed within the window at any traffic, so that
        the only request of an organisation with little traffic may be retried.
    """

    def __init__(
        self, *, fraction: float = RETRY_FRACTION, min_retries: int = MIN_RETRIES
    ) -> None:
        self._fraction = fraction
        self._min_retries = min_retries
        self._requests = _WindowCount()
        self._retries = _WindowCount()

    def count_request(self, now: float) -> None:
        """Count a first attempt; retries must not be counted here."""
        self._requests.add(now)

    def allows(self, now: float) -> bool:
        """Whether one more retry is within the budget."""
        limit = max(self._fraction * self._requests.total(now), self._min_retries)
        return self._retries.total(now) + 1 <= limit

    def take(self, now: float) -> None:
        """Count a retry."""
        self._retries.add(now)


class RetryBudgets:
    """Budgets of pools and of organisations; a retry is charged to both.

    Not thread-safe: the caller has to hold a lock.
    """

    def __init__(self) -> None:
        self._pools: OrderedDict[str, RetryBudget] = OrderedDict()
        self._organisations: OrderedDict[str, RetryBudget] = OrderedDict()

    def count_request(self, pool: str, organisation: str, now: float) -> None:
        """Count the first attempt of a request."""
        _budget(self._pools, pool).count_request(now)
        _budget(self._organisations, organisation).count_request(now)

    def take_retry(self, pool: str, organisation: str, now: float) -> bool:
        """Charge a retry to both budgets, or to neither if one is exhausted.

        :returns: whether the retry is allowed; if not, the caller gets an error at
            once.
        """
        both = (_budget(self._pools, pool), _budget(self._organisations, organisation))
        if not all(budget.allows(now) for budget in both):
            return False
        for budget in both:
            budget.take(now)
        return True


def _budget(budgets: OrderedDict[str, RetryBudget], name: str) -> RetryBudget:
    budget = budgets.get(name)
    if budget is None:
        budget = budgets[name] = RetryBudget()
    budgets.move_to_end(name)
    while len(budgets) > _MAX_BUDGETS:
        budgets.popitem(last=False)
    return budget
