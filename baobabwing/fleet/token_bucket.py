"""A token bucket that bounds the rate of unsolicited datagrams."""

from __future__ import annotations

import threading

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens that are refilled at a constant rate up to a maximum.

    :param rate: tokens refilled per second.
    :param burst: maximum number of tokens.
    """

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0
        self._lock = threading.Lock()

    def take(self, amount: float, *, now: float) -> bool:
        """Take tokens if enough are left; return whether they were taken.

        :param now: seconds of a monotonic clock.
        """
        with self._lock:
            refill = max(0.0, now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
            self._refilled_at = now
            if self._tokens < amount:
                return False
            self._tokens -= amount
            return True
