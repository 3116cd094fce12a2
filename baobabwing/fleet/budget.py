"""A token bucket that bounds what a node sends of its own accord."""

from __future__ import annotations

import threading

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens that come back at a rate, up to a burst.

    :param rate: tokens that come back each second.
    :param burst: most tokens at one time.
    """

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0
        self._lock = threading.Lock()

    def take(self, amount: float, *, now: float) -> bool:
        """Take tokens, all or none.

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
