"""One HTTP/1.1 connection: h11 for the protocol, asyncio for the bytes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import h11

from baobabwing.exceptions import (
    ConnectionLostError,
    MalformedError,
    PeerClosedError,
)

__all__ = ["HttpConnection", "open_connection"]

# Unread bytes beyond which the peer is not read from; a few events or one prompt.
_HIGH_WATER_BYTES = 64 * 1024
# A peer that does not acknowledge is taken for gone after about two seconds: one
# idle second, then a probe a second. Whole seconds are the least that the kernel
# takes.
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_UNACKED_TIMEOUT_MS = 2000


class HttpConnection(asyncio.Protocol):
    """Both directions of one connection, read and written by one task.

    :param role: ``h11.SERVER`` towards callers, ``h11.CLIENT`` towards upstreams.
    :param head_bytes: longest head that is accepted.
    :param on_open: called with this connection when a caller has connected.
    """

    def __init__(
        self,
        *,
        role: Any,
        head_bytes: int,
        on_open: Callable[[HttpConnection], None] | None = None,
    ) -> None:
        self._role = role
        self._head_bytes = head_bytes
        self._on_open = on_open
        self.http = h11.Connection(role, max_incomplete_event_size=head_bytes)
        self.transport: asyncio.Transport | None = None
        self.on_gone: Callable[[], None] | None = None
        self.on_unsolicited_data: Callable[[], None] | None = None
        self.peer = ""
        self.gone = False
        self.received = 0
        self._reset_error: Exception | None = None
        self._eof_received = False
        self._readable: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._write_paused = False
        self._unread = 0
        self._read_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self.transport = transport
        host, port, *_ = transport.get_extra_info("peername") or ("?", 0)
        self.peer = f"{host}:{port}"
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Hand bytes to the parser and wake the reader."""
        self.received += len(data)
        if self.on_unsolicited_data is not None:
            self.on_unsolicited_data()
            return
        self.http.receive_data(data)
        self._unread += len(data)
        if (
            self._unread > _HIGH_WATER_BYTES
            and not self._read_paused
            and self.transport
        ):
            self._read_paused = True
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Note the peer's end; the transport closes itself."""
        self._eof_received = True
        self.http.receive_data(b"")
        self._mark_gone()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection; a reset is no end of an answer."""
        if exc is not None or not self._eof_received:
            self._reset_error = exc or ConnectionResetError("connection closed")
        self._mark_gone()

    def pause_writing(self) -> None:
        """Hold writers back: the peer reads slower than it is sent to."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._write_paused = False
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    async def next_event(self) -> Any:
        """Return the next event of the protocol.

        :raises ConnectionLostError: if the connection ended before it.
        :raises MalformedError: if the bytes are no such event.
        """
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as exc:
                if self._eof_received or self._reset_error:
                    raise self._lost_error() from exc
                raise MalformedError(
                    str(exc), status=exc.error_status_hint, step="read", peer=self.peer
                ) from exc
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event
            self._unread = 0
            if self._reset_error is not None or (
                self._eof_received and event is h11.PAUSED
            ):
                raise self._lost_error()
            await self._wait_for_data()

    async def send(self, event: Any) -> None:
        """Write an event, waiting while the peer does not read.

        :raises ConnectionLostError: if the connection is gone.
        """
        data = self.http.send(event)
        await self.write(data or b"")

    async def write(self, data: bytes) -> None:
        """Write raw bytes, waiting while the peer does not read.

        :raises ConnectionLostError: if the connection is gone.
        """
        if self.gone or self.transport is None:
            raise self._lost_error()
        if data:
            self.transport.write(data)
        while self._write_paused and not self.gone:
            self._writable = asyncio.get_running_loop().create_future()
            await self._writable
        if self.gone:
            raise self._lost_error()

    @property
    def clean(self) -> bool:
        """Whether nothing was read beyond the exchange that has ended."""
        return not self.gone and not self.http.trailing_data[0]

    def close(self) -> None:
        """Close after what was written has gone out."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, so that the peer stops its work."""
        if self.transport is not None:
            self.transport.abort()

    async def _wait_for_data(self) -> None:
        if self._read_paused and self.transport is not None:
            self._read_paused = False
            self.transport.resume_reading()
        self._readable = asyncio.get_running_loop().create_future()
        try:
            await self._readable
        finally:
            self._readable = None

    def _wake_reader(self) -> None:
        if self._readable is not None and not self._readable.done():
            self._readable.set_result(None)

    def _mark_gone(self) -> None:
        newly_gone = not self.gone
        self.gone = True
        self._wake_reader()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        if newly_gone and self.on_gone is not None:
            self.on_gone()

    def _lost_error(self) -> ConnectionLostError:
        reason = str(self._reset_error or "connection ended")
        by_peer = self._reset_error is None or isinstance(
            self._reset_error, ConnectionError
        )
        kind = PeerClosedError if by_peer else ConnectionLostError
        return kind(reason, step="exchange", peer=self.peer)


def _enable_keepalive(transport: asyncio.Transport) -> None:
    """Have the kernel notice a peer that is gone without a word.

    A connection whose peer lost power, or whose path is cut, stays open and
    silent for good; a reader would wait on it for ever.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKED_TIMEOUT_MS)


async def open_connection(
    address: str, *, timeout_s: float, head_bytes: int
) -> HttpConnection:
    """Connect to an upstream, a peer or the platform.

    :param address: ``ip:port``.
    :raises ConnectionLostError: if it cannot be reached in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                lambda: HttpConnection(role=h11.CLIENT, head_bytes=head_bytes),
                host,
                int(port),
            )
    except (OSError, TimeoutError) as exc:
        raise ConnectionLostError(
            f"no connection: {exc!r}", step="connect", peer=address
        ) from exc
    _enable_keepalive(conn.transport)
    conn.peer = address
    return conn
