"""Timeouts of sockets for the length of a block of code."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Iterator

__all__ = ["kernel_timeouts", "interpreter_timeout"]


@contextlib.contextmanager
def interpreter_timeout(sock: socket.socket, timeout_s: float) -> Iterator[None]:
    """Let the interpreter keep the time; a call that timed out raises TimeoutError."""
    before = sock.gettimeout()
    sock.settimeout(timeout_s)
    try:
        yield
    finally:
        _restore(sock, before)


@contextlib.contextmanager
def kernel_timeouts(
    sock: socket.socket, *, receive_s: float = 0.0, send_s: float = 0.0
) -> Iterator[None]:
    """Let the kernel keep the time of a socket's calls.

    With a timeout of its own the interpreter calls ``poll`` before each ``recv``
    and ``send``; with the kernel's there is one call a block. A call that timed
    out shows as ``BlockingIOError``.
    """
    before = sock.gettimeout()
    sock.settimeout(None)
    _set_kernel_timeouts(sock, receive_s, send_s)
    try:
        yield
    finally:
        _restore(sock, before)


def _set_kernel_timeouts(sock: socket.socket, receive_s: float, send_s: float) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _timeval(receive_s))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _timeval(send_s))


def _restore(sock: socket.socket, timeout_s: float | None) -> None:
    # The socket may have been closed meanwhile; then there is nothing to restore.
    with contextlib.suppress(OSError):
        _set_kernel_timeouts(sock, 0.0, 0.0)
        sock.settimeout(timeout_s)


def _timeval(seconds: float) -> bytes:
    whole = int(seconds)
    return struct.pack("@ll", whole, int((seconds - whole) * 1_000_000))
