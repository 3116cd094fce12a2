"""The sockets of calls that are being answered, to be cut when the node ends."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

__all__ = ["OpenCalls"]


class OpenCalls:
    """Knows the sockets that threads wait on while they answer callers.

    A thread that moves a long stream looks at nothing but its two sockets. A stop
    whose time is over therefore ends it through them.
    """

    def __init__(self) -> None:
        self._sockets: dict[int, socket.socket] = {}
        self._lock = threading.Lock()
        self._stopping = False

    @property
    def stopping(self) -> bool:
        """Whether the node ends, and open answers are left to other nodes."""
        return self._stopping

    @contextlib.contextmanager
    def tracking(self, sock: socket.socket) -> Iterator[None]:
        """Hold a socket open to being cut for as long as a block runs."""
        with self._lock:
            self._sockets[id(sock)] = sock
            stopping = self._stopping
        if stopping:
            _cut(sock)
        try:
            yield
        finally:
            with self._lock:
                self._sockets.pop(id(sock), None)

    def cut(self) -> int:
        """Cut all sockets, those to come included, and return how many were open."""
        with self._lock:
            self._stopping = True
            sockets = list(self._sockets.values())
        for sock in sockets:
            _cut(sock)
        return len(sockets)


def _cut(sock: socket.socket) -> None:
    # Whoever closed it meanwhile has nothing more to be cut.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
