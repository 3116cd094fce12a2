"""Token bucket for the stand-in platform's rate limits."""

from __future__ import annotations

import threading
import time

__all__ = ["RateLimit"]


class RateLimit:
    """Token bucket that limits operations per second.

    :param rate: operations per second.
    :param burst: operations that may run at once after an idle time.
    """

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def take(self, rate: float | None = None) -> float:
        """Take a token for one operation, if there is one.

        :param rate: rate to use instead of the configured one.
        :returns: 0 if the operation may run, else the seconds after which to retry.
        """
        rate = self._rate if rate is None else rate
        with self._lock:
            now = time.monotonic()
            refilled = self._tokens + (now - self._refilled_at) * rate
            self._tokens = min(self._burst, refilled)
            self._refilled_at = now
            if self._tokens >= 1.0:
                self._tokens -= 1.0
                return 0.0
            return (1.0 - self._tokens) / rate if rate > 0 else 1.0
