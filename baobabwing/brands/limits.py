"""Limits of an organisation on one node: token buckets and a concurrency limit."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from baobabwing.brands.catalogue import Limits

__all__ = ["Charge", "Exceeded", "LimitName", "OrganisationLimiter", "TokenBucket"]

_BURST_S = 1.0
_CONCURRENCY_RETRY_S = 1.0


class LimitName(StrEnum):
    """The limit that a request exceeds."""

    REQUESTS = "requests_per_s"
    TOKENS = "tokens_per_s"
    CONCURRENCY = "concurrency"


@dataclass(frozen=True, kw_only=True, slots=True)
class Charge:
    """The charge of an admitted request, to be settled when the request has ended.

    :param tokens: estimate of its prompt and output tokens.
    """

    tokens: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Exceeded:
    """The refusal of a request that exceeds a limit.

    :param retry_after_s: time after which the request would be admitted if no other
        request arrived meanwhile.
    """

    limit: LimitName
    retry_after_s: float


class TokenBucket:
    """A token bucket; every call is passed the time.

    The level falls below zero when a request costs more than its estimate. Nothing
    is admitted until the bucket is refilled from this debt.

    :param rate: tokens added per second; 0 for no limit.
    :param now: monotonic seconds; the bucket starts full.
    """

    def __init__(self, *, rate: float, now: float) -> None:
        self._rate = rate
        self._level = self._burst()
        self._filled_at = now

    def level(self, now: float) -> float:
        """Return the tokens in the bucket; negative for a debt."""
        self._fill(now)
        return self._level

    def wait_s(self, amount: float, now: float) -> float:
        """Return the time until ``amount`` may be taken; 0 if it may be taken now.

        An amount above the burst requires a full bucket and leaves a debt, since
        otherwise it could never be taken.
        """
        if not self._rate:
            return 0.0
        self._fill(now)
        missing = min(amount, self._burst()) - self._level
        return max(missing, 0.0) / self._rate

    def take(self, amount: float, now: float) -> None:
        """Take an amount, which may leave a debt."""
        if self._rate:
            self._fill(now)
            self._level -= amount

    def refund(self, amount: float, now: float) -> None:
        """Put back an amount that was taken in excess; a negative one takes more."""
        if self._rate:
            self._fill(now)
            self._level = min(self._level + amount, self._burst())

    def change_rate(self, rate: float, now: float) -> None:
        """Change the rate; the level stays the same share of the burst."""
        if rate == self._rate:
            return
        self._fill(now)
        old_burst = self._burst()
        self._rate = rate
        self._level = (
            self._level / old_burst * self._burst() if old_burst else self._burst()
        )

    def _burst(self) -> float:
        return max(self._rate * _BURST_S, 1.0) if self._rate else 0.0

    def _fill(self, now: float) -> None:
        elapsed_s = max(now - self._filled_at, 0.0)
        self._level = min(self._level + elapsed_s * self._rate, self._burst())
        self._filled_at = max(now, self._filled_at)


class OrganisationLimiter:
    """Enforces the limits of one organisation, or a slice of them, on one node.

    Not thread-safe; the caller must hold a lock.

    :param limits: 0 stands for no limit.
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
        """Charge a request by its estimate against all limits, or refuse it.

        A refused request is charged against none of them.

        :param tokens: estimate of its prompt and output tokens.
        """
        max_open = self._limits.concurrency
        if max_open and self._open >= max_open:
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
        """Replace the estimate by the usage of a request that has ended.

        :param tokens: tokens that the request used; 0 if it did not run.
        """
        self._tokens.refund(charge.tokens - tokens, now)
        self._open -= 1

    def change(self, limits: Limits, now: float) -> None:
        """Apply new limits; open requests and debts are kept."""
        self._limits = limits
        self._requests.change_rate(limits.requests_per_s, now)
        self._tokens.change_rate(limits.tokens_per_s, now)
