"""The end of a process whose graceful shutdown does not end by itself."""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable

from baobabwing.gateway.events import STOP_ENDED
from baobabwing.reports.events import log
from baobabwing.reports.outlet import LineOutlet

__all__ = ["LastResort"]

# Time reserved for the last lines of the log.
_MARGIN_S = 0.1


class LastResort:
    """Ends the process when the time of a stop is over, whatever still runs.

    A thread that hangs, a task that ignores its cancellation or a busy event loop would
    keep it from ending.

    :param stop_s: returns the time from the signal to the end.
    :param outlet: flushed before the end.
    """

    def __init__(self, *, stop_s: Callable[[], float], outlet: LineOutlet) -> None:
        self._stop_s = stop_s
        self._outlet = outlet
        self._told_at = 0.0
        # A signal handler may interrupt any code, so it must not wait for a lock; to
        # release one takes none.
        self._told = threading.Lock()
        self._told.acquire()

    def start(self) -> None:
        """Start the thread that waits."""
        threading.Thread(target=self._run, name="last resort", daemon=True).start()

    def leave(self, told_at: float) -> None:
        """Begin the time of a stop; may be called by a signal handler, repeatedly."""
        if not self._told_at:
            self._told_at = told_at
            self._told.release()

    def _run(self) -> None:
        self._told.acquire()
        ends_at = self._told_at + self._stop_s() - _MARGIN_S
        time.sleep(max(0.0, ends_at - time.monotonic()))
        log(STOP_ENDED, after_ms=round(1000 * (time.monotonic() - self._told_at), 1))
        self._outlet.close(_MARGIN_S)
        os._exit(0)
