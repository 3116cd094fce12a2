"""Context managers that set socket timeouts for a block of code."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Iterator

__all__ = ["kernel_timeouts", "interpreter_timeout"]


@contextlib.contextmanager
def interpreter_timeout(sock: socket.socket, timeout_s: float) -> Iterator[None]:
    """Use the interpreter's timeout; a call that times out raises TimeoutError."""
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
    """Use the kernel's timeouts; a call that times out raises BlockingIOError.

    With the interpreter's timeout, ``poll`` is called before each ``recv`` and
    ``send``; with the kernel's timeouts there is one system call per block.

    :param receive_s: timeout of ``recv``; 0 for none.
    :param send_s: timeout of ``send``; 0 for none.
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
    # The socket may have been closed in the meantime.
    with contextlib.suppress(OSError):
        _set_kernel_timeouts(sock, 0.0, 0.0)
        sock.settimeout(timeout_s)


def _timeval(seconds: float) -> bytes:
    whole = int(seconds)
    return struct.pack("@ll", whole, int((seconds - whole) * 1_000_000))
