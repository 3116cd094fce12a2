"""Limits of an organisation on one node: rates by token buckets, concurrency."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from baobabwing.brands.catalogue import Limits

__all__ = ["Charge", "Exceeded", "LimitName", "OrganisationLimiter", "TokenBucket"]

_BURST_S = 1.0
_CONCURRENCY_RETRY_S = 1.0


class LimitName(StrEnum):
    """Which limit a request ran into."""

    REQUESTS = "requests_per_s"
    TOKENS = "tokens_per_s"
    CONCURRENCY = "concurrency"


@dataclass(frozen=True, kw_only=True, slots=True)
class Charge:
    """What an admitted request was charged; hand it back to settle.

    :param tokens: estimate of its prompt and output tokens.
    """

    tokens: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Exceeded:
    """A request that is over a limit.

    :param retry_after_s: when it would be admitted if nothing else came.
    """

    limit: LimitName
    retry_after_s: float


class TokenBucket:
    """A rate with a burst; the clock is passed in.

    The level may fall below zero when a request turns out to cost more than
    its estimate; nothing is admitted until the debt is paid off by time.

    :param rate: tokens added a second; 0 for no bound.
    :param now: monotonic seconds; the bucket starts full.
    """

    def __init__(self, *, rate: float, now: float) -> None:
        self._rate = rate
        self._level = self._burst()
        self._filled_at = now

    def level(self, now: float) -> float:
        """Return what may be taken now; negative for a debt."""
        self._fill(now)
        return self._level

    def wait_s(self, amount: float, now: float) -> float:
        """Return when ``amount`` may be taken; 0 for now.

        An amount above the burst needs a full bucket and leaves a debt: it
        could never be taken otherwise.
        """
        if not self._rate:
            return 0.0
        self._fill(now)
        missing = min(amount, self._burst()) - self._level
        return max(missing, 0.0) / self._rate

    def take(self, amount: float, now: float) -> None:
        """Take an amount, into debt if need be."""
        if self._rate:
            self._fill(now)
            self._level -= amount

    def refund(self, amount: float, now: float) -> None:
        """Return what was taken too much; negative takes more."""
        if self._rate:
            self._fill(now)
            self._level = min(self._level + amount, self._burst())

    def change_rate(self, rate: float, now: float) -> None:
        """Change the rate; the share of the burst that is left stays the same."""
        if rate == self._rate:
            return
        self._fill(now)
        before = self._burst()
        self._rate = rate
        self._level = self._level / before * self._burst() if before else self._burst()

    def _burst(self) -> float:
        return max(self._rate * _BURST_S, 1.0) if self._rate else 0.0

    def _fill(self, now: float) -> None:
        passed = max(now - self._filled_at, 0.0)
        self._level = min(self._level + passed * self._rate, self._burst())
        self._filled_at = max(now, self._filled_at)


class OrganisationLimiter:
    """Holds one organisation to its limits, or to a slice of them, on one node.

    Not thread safe: the owner holds its lock.

    :param limits: bounds; 0 stands for no bound.
    :param now: monotonic seconds.
    """

    def __init__(self, *, limits: Limits, now: float) -> None:
        self._limits = limits
        self._requests = TokenBucket(rate=limits.requests_per_s, now=now)
        self._tokens = TokenBucket(rate=limits.tokens_per_s, now=now)
        self._open = 0

    @property
    def open(self) -> int:
        """Requests admitted and not settled yet."""
        return self._open

    def admit(self, tokens: float, now: float) -> Charge | Exceeded:
        """Charge a request by its estimate, all limits or none.

        :param tokens: estimate of its prompt and output tokens.
        """
        most = self._limits.concurrency
        if most and self._open >= most:
            return Exceeded(
                limit=LimitName.CONCURRENCY, retry_after_s=_CONCURRENCY_RETRY_S
            )
        wait_s = self._requests.wait_s(1.0, now)
        if wait_s > 0.0:
            return Exceeded(limit=LimitName.REQUESTS, retry_after_s=wait_s)
        wait_s = self._tokens.wait_s(tokens, now)
        if wait_s > 0.0:
            return Exceeded(limit=LimitName.TOKENS, retry_after_s=wait_s)
        self._requests.take(1.0, now)
        self._tokens.take(tokens, now)
        self._open += 1
        return Charge(tokens=tokens)

    def settle(self, charge: Charge, tokens: float, now: float) -> None:
        """Replace the estimate by the fact when the request has ended.

        :param tokens: tokens it really used; 0 if it did not run.
        """
        self._tokens.refund(charge.tokens - tokens, now)
        self._open -= 1

    def change(self, limits: Limits, now: float) -> None:
        """Take new bounds; open requests and debts stay."""
        self._limits = limits
        self._requests.change_rate(limits.requests_per_s, now)
        self._tokens.change_rate(limits.tokens_per_s, now)
