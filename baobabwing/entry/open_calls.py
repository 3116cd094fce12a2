"""Sockets of calls in progress, which are shut down when the node stops."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

__all__ = ["OpenCalls"]


class OpenCalls:
    """Tracks the sockets on which threads wait while they answer callers.

    A thread that relays a long stream waits on nothing but its two sockets. A stop
    whose deadline has passed therefore ends the thread by shutting them down.
    """

    def __init__(self) -> None:
        self._sockets: dict[int, socket.socket] = {}
        self._lock = threading.Lock()
        self._stopping = False

    @property
    def stopping(self) -> bool:
        """Whether the node stops and leaves open answers to other nodes."""
        return self._stopping

    @contextlib.contextmanager
    def tracking(self, sock: socket.socket) -> Iterator[None]:
        """Track a socket while the block runs; shut it down if the node stops."""
        with self._lock:
            self._sockets[id(sock)] = sock
            stopping = self._stopping
        if stopping:
            _shut_down(sock)
        try:
            yield
        finally:
            with self._lock:
                self._sockets.pop(id(sock), None)

    def shut_down(self) -> int:
        """Shut down all tracked sockets, and those tracked later.

        :returns: the number of sockets that were tracked.
        """
        with self._lock:
            self._stopping = True
            sockets = list(self._sockets.values())
        for sock in sockets:
            _shut_down(sock)
        return len(sockets)


def _shut_down(sock: socket.socket) -> None:
    # The socket may have been closed in the meantime.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
