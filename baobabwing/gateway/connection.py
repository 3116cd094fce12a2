"""An HTTP/1.1 connection: h11 parses and formats, asyncio transports."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import struct
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, TypeVar

import h11

from baobabwing.exceptions import (
    ConnectionLostError,
    ConnectionRefusedByPeerError,
    DescriptorShortageError,
    MalformedError,
    NoRoomError,
    PeerClosedError,
)
from baobabwing.gateway.held_bytes import Holding

__all__ = [
    "HttpConnection",
    "closed_by_peer",
    "enable_keepalive",
    "open_connection",
    "open_transport",
    "set_reset_on_close",
]

# Reading pauses while more bytes than this wait unparsed; a few events or one prompt.
_HIGH_WATER_BYTES = 64 * 1024
# Most bytes that are received at once.
_READ_BYTES = 64 * 1024
# While a caller's connection is not read, this often it is checked whether the caller
# has closed it. Upstreams may work on for half a second after that.
_CLOSED_CHECK_S = 0.2
# A caller that takes no byte of what waits for it for this long is given up.
_UNREAD_S = 30.0
# TCP keepalive: a peer that does not acknowledge is considered dead after about three
# seconds: one idle second, then a probe each second. The kernel accepts whole seconds
# only.
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
# Also decides when probes give up, whatever their number. A sound upstream may be
# silent for a second or so, and that may begin just before the first probe.
_UNACKED_TIMEOUT_MS = 3000
# Errors of a process or host that has no room for another socket.
_SHORTAGES = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
# Values of SO_LINGER: with zero seconds, closing the socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_NO_LINGER = struct.pack("ii", 0, 0)

_Protocol = TypeVar("_Protocol", bound=asyncio.BaseProtocol)


class _ReadBuffer(threading.local):
    """Buffer into which all connections of an event loop receive, one after another."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(_READ_BYTES))


_read_buffer = _ReadBuffer()


class HttpConnection(asyncio.BufferedProtocol):
    """One connection, read and written by a single task.

    :param role: ``h11.SERVER`` towards callers, ``h11.CLIENT`` towards upstreams.
    :param head_bytes: returns the maximum size of a head, which may change.
    :param on_open: called with this connection when a caller has connected.
    :param holding: counts the bytes that have been received and not handled yet.
    :param on_close: called with this connection once its socket is closed.
    :ivar on_gone: called once when the connection ends.
    :ivar on_unsolicited_data: if set, called when data arrives, which is then dropped.
    :ivar peer: address of the peer, as ``ip:port``.
    :ivar gone: whether the connection has ended.
    :ivar received: number of bytes received.
    """

    def __init__(
        self,
        *,
        role: Any,
        head_bytes: Callable[[], int],
        on_open: Callable[[HttpConnection], None] | None = None,
        holding: Holding | None = None,
        on_close: Callable[[HttpConnection], None] | None = None,
    ) -> None:
        self._holding = holding
        self._role = role
        self._head_bytes = head_bytes
        self._on_open = on_open
        self._on_close = on_close
        self.http = _new_parser(role)
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
        self._awaited_since: float | None = None
        self._received_before = 0
        self._unread_check: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and the address of the peer."""
        self.transport = transport
        host, port, *_ = transport.get_extra_info("peername") or ("?", 0)
        self.peer = f"{host}:{port}"
        if self._on_open is not None:
            self._on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to receive."""
        return _read_buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was received."""
        self.data_received(bytes(_read_buffer.view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser and wake the reader."""
        self.received += len(data)
        if self.on_unsolicited_data is not None:
            self.on_unsolicited_data()
            return
        self.http.receive_data(data)
        self._unread += len(data)
        too_much = self._unread > _HIGH_WATER_BYTES or not self._hold_unread()
        if too_much and not self._read_paused and self.transport:
            self._read_paused = True
            self.transport.pause_reading()
            if self._role is h11.SERVER:
                self._check_closed_later()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Handle the peer's EOF; the transport then closes itself."""
        self._eof_received = True
        self.http.receive_data(b"")
        self._mark_gone()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection; a reset does not complete an answer."""
        if exc is not None or not self._eof_received:
            self._reset_error = exc or ConnectionResetError("connection closed")
        self._mark_gone()
        if self._on_close is not None:
            self._on_close(self)

    def pause_writing(self) -> None:
        """Block writers: the peer reads more slowly than it is sent data."""
        self._write_paused = True
        if self._role is h11.SERVER:
            self.abort_when_unread()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._write_paused = False
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    async def next_event(self) -> Any:
        """Return the next h11 event.

        :raises ConnectionLostError: if the connection ended before it.
        :raises MalformedError: if the bytes received violate the protocol.
        :raises NoRoomError: if there is no room for the part of it that has come.
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
            if isinstance(event, h11.EndOfMessage):
                self._read_beyond_message()
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event
            self._check_incomplete(event)
            if self._reset_error is not None or (
                self._eof_received and event is h11.PAUSED
            ):
                raise self._lost_error()
            await self._wait_for_data()

    def _check_incomplete(self, event: Any) -> None:
        """Refuse a head that is over its limit before it is complete.

        The parser's own limit can't change while a connection is open.
        """
        self._unread = 0
        if event is not h11.NEED_DATA:
            return
        self._unread = len(self.http.trailing_data[0])
        if not self._hold_unread():
            self._holding.refuse(self._unread)
            raise NoRoomError("no room for a head", step="read", peer=self.peer)
        if self._unread > self._head_bytes():
            raise MalformedError(
                "head too long", status=431, step="read", peer=self.peer
            )

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
        """Whether it is open and no bytes follow the exchange that has ended."""
        return not self.gone and not self.http.trailing_data[0]

    def await_request(self) -> None:
        """Note that nothing of the next request has been read yet."""
        self._awaited_since = time.monotonic()
        self._received_before = self.received

    def take_request(self) -> None:
        """Note that a request is handled from now on."""
        self._awaited_since = None

    @property
    def idle_since(self) -> float | None:
        """When it began to wait for a request of which nothing has arrived."""
        untouched = self.received == self._received_before and self.clean
        return self._awaited_since if untouched else None

    @property
    def handed_over(self) -> bool:
        """Whether something else has taken over its transport."""
        return self.transport is not None and self.transport.get_protocol() is not self

    def abort_when_unread(self) -> None:
        """Abort once the peer takes no byte of what waits for it any more."""
        if self._unread_check is None:
            self._check_unread_later(self.unsent_bytes)

    def _check_unread_later(self, waiting: int) -> None:
        loop = asyncio.get_running_loop()
        self._unread_check = loop.call_later(_UNREAD_S, self._check_unread, waiting)

    def _check_unread(self, waiting: int) -> None:
        self._unread_check = None
        left = self.unsent_bytes
        if not left:
            return
        if left >= waiting:
            self.abort()
        else:
            self._check_unread_later(left)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and that the kernel has not taken yet."""
        if self.gone or self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    async def closes_within(self, seconds: float) -> bool:
        """Whether the connection ends within a time; nothing else may use it."""
        closed = asyncio.get_running_loop().create_future()
        self.on_gone = lambda: closed.done() or closed.set_result(None)
        try:
            if not self.gone:
                await asyncio.wait({closed}, timeout=seconds)
        finally:
            self.on_gone = None
        return self.gone

    def set_reset_on_close(self, enabled: bool) -> None:
        """Have the end of the connection, also that of the process, send a reset."""
        if not self.gone and self.transport is not None:
            set_reset_on_close(self.transport, enabled)

    def start_http(self) -> None:
        """Speak HTTP with whom the proxy at the other end has connected to."""
        self.http = _new_parser(self._role)
        self.received = 0

    def close(self) -> None:
        """Close after flushing what was written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once without flushing, so that the peer stops its work."""
        if self.transport is not None:
            self.transport.abort()

    def _hold_unread(self) -> bool:
        """Count what is not handled yet; return whether there is room for it."""
        if self._holding is None or self.gone:
            return True
        return self._holding.resize(self._unread)

    def _read_beyond_message(self) -> None:
        """Resume reading unless much waits beyond the message that is whole now.

        The end of a connection is not reported while it is not read, and nobody waits
        for data while the message is handled.
        """
        self._unread = len(self.http.trailing_data[0])
        self._hold_unread()
        if self._unread <= _HIGH_WATER_BYTES:
            self._resume_reading()

    def _resume_reading(self) -> None:
        if self._read_paused and self.transport is not None:
            self._read_paused = False
            self.transport.resume_reading()

    def _check_closed_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_CLOSED_CHECK_S, self._check_closed)

    def _check_closed(self) -> None:
        """Notice that the caller has closed a connection that is not read now.

        An upstream may close its own after an answer that has yet to be read.
        """
        if self.gone or not self._read_paused:
            return
        if closed_by_peer(self.transport):
            self.abort()
        else:
            self._check_closed_later()

    async def _wait_for_data(self) -> None:
        self._resume_reading()
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
        if self._holding is not None:
            self._holding.release()
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


def _new_parser(role: Any) -> h11.Connection:
    """Return a parser without a limit of its own on the size of a head."""
    return h11.Connection(role, max_incomplete_event_size=sys.maxsize)


def closed_by_peer(transport: asyncio.Transport) -> bool:
    """Whether the peer has closed a connection, however many bytes are unread."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def set_reset_on_close(transport: asyncio.Transport, enabled: bool) -> None:
    """Have the end of a connection, also that of the process, send a reset."""
    sock = transport.get_extra_info("socket")
    linger = _RESET_ON_CLOSE if enabled else _NO_LINGER
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def enable_keepalive(transport: asyncio.Transport) -> None:
    """Let the kernel detect a peer that is gone without closing the connection.

    If the peer's host loses power or the network path breaks, the connection stays open
    without traffic, and a reader would wait on it for ever.
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
    :param timeout_s: longest time to connect.
    :param head_bytes: maximum size of an answer's head.
    :raises ConnectionLostError: if the connection fails or times out.
    """
    conn = await open_transport(
        address,
        lambda: HttpConnection(role=h11.CLIENT, head_bytes=lambda: head_bytes),
        timeout_s=timeout_s,
    )
    conn.peer = address
    return conn


async def open_transport(
    address: str, make_protocol: Callable[[], _Protocol], *, timeout_s: float
) -> _Protocol:
    """Connect, and return the protocol of the connection.

    :param address: ``ip:port``.
    :param timeout_s: longest time to connect.
    :raises ConnectionRefusedByPeerError: if it is refused.
    :raises DescriptorShortageError: if this process can open none.
    :raises ConnectionLostError: if it fails otherwise, or times out.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, protocol = await loop.create_connection(
                make_protocol, host, int(port)
            )
    except ConnectionRefusedError as exc:
        raise ConnectionRefusedByPeerError(
            f"no connection: {exc!r}", step="connect", peer=address
        ) from exc
    except (OSError, TimeoutError) as exc:
        short = getattr(exc, "errno", None) in _SHORTAGES
        kind = DescriptorShortageError if short else ConnectionLostError
        raise kind(f"no connection: {exc!r}", step="connect", peer=address) from exc
    enable_keepalive(transport)
    return protocol
