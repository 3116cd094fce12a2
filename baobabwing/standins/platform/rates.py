"""A token bucket for the stand-in platform's limits."""

from __future__ import annotations

import threading
import time

__all__ = ["RateLimit"]


class RateLimit:
    """Lets a number of operations a second pass.

    :param rate: operations a second.
    :param burst: operations that may pass at once after a pause.
    """

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def take(self, rate: float | None = None) -> float:
        """Let one operation pass, if it may.

        :param rate: a rate to be used in place of the own one.
        :returns: 0, or the seconds after which it may be tried again.
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
