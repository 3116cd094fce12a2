"""Limit on the time that callers may take to send a request.

A caller that sends a byte every few seconds never exceeds the timeout of a single
read, and could occupy a thread indefinitely.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Iterator

__all__ = ["SlowSenderGuard"]

CHECK_INTERVAL_S = 0.5


class SlowSenderGuard:
    """Shuts down connections whose sender exceeds a time limit."""

    def __init__(self) -> None:
        self._watched: dict[int, tuple[float, socket.socket]] = {}
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that enforces the limits."""
        threading.Thread(target=self._run, name="slow-senders", daemon=True).start()

    def stop(self) -> None:
        """End the thread that enforces the limits."""
        self._stopping.set()

    @contextlib.contextmanager
    def limit(self, sock: socket.socket, seconds: float) -> Iterator[None]:
        """Shut the socket down if the block runs for longer than ``seconds``."""
        number = next(self._numbers)
        with self._lock:
            self._watched[number] = (time.monotonic() + seconds, sock)
        try:
            yield
        finally:
            with self._lock:
                del self._watched[number]

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            self._close_expired(time.monotonic())

    def _close_expired(self, now: float) -> None:
        with self._lock:
            for deadline, sock in self._watched.values():
                if deadline < now:
                    # Wakes the reading thread with an end of file. Closing the
                    # socket here could let another connection reuse its file
                    # descriptor, which the thread would then read from.
                    with contextlib.suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)
