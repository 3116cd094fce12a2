"""Bound on the time that callers may take to send a request.

A caller that sends a byte every few seconds never runs into the timeout of a
single read, and holds a thread for as long as it likes.
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
    """Ends the connections whose sender takes too long."""

    def __init__(self) -> None:
        self._watched: dict[int, tuple[float, socket.socket]] = {}
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin to watch."""
        threading.Thread(target=self._run, name="slow-senders", daemon=True).start()

    def stop(self) -> None:
        """Watch no more."""
        self._stopping.set()

    @contextlib.contextmanager
    def limit(self, sock: socket.socket, seconds: float) -> Iterator[None]:
        """End the connection if the block takes longer than this."""
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
                    # Wakes the thread that reads, with an end of the stream;
                    # closing here could give the number of the socket away to
                    # another connection that the thread would then read.
                    with contextlib.suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)
