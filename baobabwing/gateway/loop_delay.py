"""Measurement of the event loop's delay.

Messages of peers are handled late by as much.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from baobabwing.gateway.events import PROCESS_LATE
from baobabwing.reports.events import log

__all__ = ["LoopDelayMonitor"]

# Length of the timer whose delay is measured. Ten wake-ups a second take some 0.15% of
# a core. A delay that is shorter than this may fall between two of them.
_TIMER_S = 0.1
# The maximum over this time is kept, and logged at most once.
_WINDOW_S = 1.0
# Shorter delays are not logged: ordinary work in the loop causes them.
_MIN_LOGGED_S = 0.04


class LoopDelayMonitor:
    """Measures how much later than due the event loop runs its timers.

    A loop is late while it runs something else, or while the process is suspended. The
    messages of peers then wait in its sockets, unread.

    :param busy: returns the processor time in seconds that the process has used, which
        distinguishes an overloaded process from one that did not get a processor.
    :ivar ran_at: a time at which the loop still ran without a delay. A signal that is
        handled now was sent later than that.
    """

    def __init__(self, *, busy: Callable[[], float] = time.process_time) -> None:
        self._busy = busy
        self._longest_s = 0.0
        self._previous_longest_s = 0.0
        self._window_started_at = self.ran_at = time.monotonic()
        self._used_before_s = busy()

    @property
    def late_s(self) -> float:
        """Longest delay of the last one to two seconds, in seconds."""
        return max(self._longest_s, self._previous_longest_s)

    async def run(self) -> None:
        """Measure for as long as the process runs."""
        while True:
            due = time.monotonic() + _TIMER_S
            await asyncio.sleep(_TIMER_S)
            self.record_wakeup(due, time.monotonic())

    def record_wakeup(self, due: float, now: float) -> None:
        """Record the delay of a timer.

        :param due: when it was due.
        :param now: when the loop ran it.
        """
        # After a delay another thread may take a signal later than the loop wakes up.
        self.ran_at = now if now - due < _MIN_LOGGED_S else due - _TIMER_S
        self._longest_s = max(self._longest_s, now - due)
        if now - self._window_started_at < _WINDOW_S:
            return
        used_s = self._busy()
        if self._longest_s >= _MIN_LOGGED_S:
            log(
                PROCESS_LATE,
                late_ms=round(self._longest_s * 1000, 1),
                busy_ms=round((used_s - self._used_before_s) * 1000, 1),
                over_ms=round((now - self._window_started_at) * 1000, 1),
            )
        self._previous_longest_s, self._longest_s = self._longest_s, 0.0
        self._window_started_at, self._used_before_s = now, used_s
