"""Tunnels to upstreams for other nodes that have lost their own paths to them.

A node asks another one by ``CONNECT`` (RFC 9110, section 9.3.6) to reach an upstream.
From then on bytes pass unchanged, so slots, retries, limits and the end of the answer
stay with the node that serves the caller.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import h11

from baobabwing.exceptions import (
    ConnectionLostError,
    ConnectionRefusedByPeerError,
    DescriptorShortageError,
    MalformedError,
)
from baobabwing.gateway.connection import (
    HttpConnection,
    enable_keepalive,
    open_connection,
    set_reset_on_close,
)
from baobabwing.gateway.events import TUNNEL_REFUSED
from baobabwing.gateway.listener import Listener
from baobabwing.reports.events import log

__all__ = ["SplicedEnd", "TunnelServer", "open_tunnel"]

_HEAD_BYTES = 8192
# A node with most of its zone cut off lives on the others; this bounds the descriptors
# that one of them spends on tunnels.
_MAX_TUNNELS = 512
# A node that was late within the last seconds carries fewer. It carries some: all nodes
# may have been late at the same moment, and cut off nodes would then serve nobody.
_MAX_TUNNELS_WHEN_LATE = 16
# Longest time to receive the request for a tunnel.
_REQUEST_TIMEOUT_S = 1.0


class SplicedEnd(asyncio.Protocol):
    """One end of a tunnel; passes what it receives to the other end.

    :ivar other: the other end; ``None`` before the tunnel is complete.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: SplicedEnd | None = None
        self.lost = False
        self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and read nothing until there is another end."""
        self.transport = transport
        transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        self.other.transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading at the other end while this one takes no bytes."""
        if not self.other.lost:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on at the other end."""
        if not self.other.lost:
            self.other.transport.resume_reading()

    def eof_received(self) -> bool:
        """Record a regular end; the transport then closes itself."""
        self._ended = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other end in the same way, regularly or by a reset."""
        self.lost = True
        if self.other is None or self.other.lost:
            return
        if self._ended and exc is None:
            set_reset_on_close(self.other.transport, False)
            self.other.transport.close()
        else:
            self.other.transport.abort()


class TunnelServer:
    """Connects other nodes with upstreams.

    :param connect: opens a direct connection to an upstream; raises
        ``ConnectionLostError``.
    :param listed: whether an address is that of a listed upstream; there are no tunnels
        to other addresses.
    :param is_late: whether this node has lately been too busy to carry many.
    :param bound: as in :class:`Listener`; also the most tunnels.
    :ivar accepting: whether there are new tunnels; false while this node stops.
    :ivar active: number of open tunnels.
    """

    def __init__(
        self,
        *,
        connect: Callable[[str], Awaitable[SplicedEnd]],
        listed: Callable[[str], bool],
        is_late: Callable[[], bool] = lambda: False,
        bound: Callable[[], int] = lambda: _MAX_TUNNELS,
    ) -> None:
        self._connect = connect
        self._is_late = is_late
        self._listed = listed
        self._bound = bound
        self._listener = Listener(
            serve=self._serve,
            head_bytes=lambda: _HEAD_BYTES,
            name="tunnels",
            bound=bound,
        )
        self._tunnels: set[asyncio.Transport] = set()
        self.accepting = True

    async def start(self, address: str) -> None:
        """Start listening on ``ip:port``."""
        await self._listener.start(address)

    def stop(self) -> None:
        """Stop listening and abort all tunnels."""
        self._listener.stop()
        for transport in tuple(self._tunnels):
            transport.abort()

    @property
    def active(self) -> int:
        """Number of open tunnels."""
        self._tunnels = {
            transport for transport in self._tunnels if not transport.is_closing()
        }
        return len(self._tunnels)

    async def _serve(self, conn: HttpConnection) -> None:
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                request = await conn.next_event()
            if isinstance(request, h11.Request):
                await self._answer(conn, request)
                return
        except (ConnectionLostError, MalformedError, TimeoutError):
            pass
        conn.close()

    async def _answer(self, conn: HttpConnection, request: h11.Request) -> None:
        address = request.target.decode("latin-1")
        status = self._refusal(request, address)
        if status is None:
            try:
                upstream = await self._connect(address)
            except DescriptorShortageError:
                status = HTTPStatus.SERVICE_UNAVAILABLE
            except ConnectionLostError as exc:
                status = HTTPStatus.BAD_GATEWAY
                log(TUNNEL_REFUSED, peer=conn.peer, upstream=address, reason=str(exc))
            else:
                # This node may have begun to leave while it connected.
                if not self.accepting:
                    upstream.transport.abort()
                    status = HTTPStatus.SERVICE_UNAVAILABLE
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            reason = "no capacity" if self.accepting else "leaving"
            log(TUNNEL_REFUSED, peer=conn.peer, upstream=address, reason=reason)
        if status is not None:
            await conn.send(_response(status))
            await conn.send(h11.EndOfMessage())
            conn.close()
            return
        try:
            await conn.send(_response(HTTPStatus.OK))
        except ConnectionLostError:
            upstream.transport.abort()
            raise
        self._splice(conn.transport, upstream)

    def _refusal(self, request: h11.Request, address: str) -> HTTPStatus | None:
        """Return why there is no tunnel, as a status; ``None`` if there may be one."""
        if request.method != b"CONNECT":
            return HTTPStatus.METHOD_NOT_ALLOWED
        if not self._listed(address):
            return HTTPStatus.FORBIDDEN
        most = _MAX_TUNNELS_WHEN_LATE if self._is_late() else _MAX_TUNNELS
        if self.active >= min(most, self._bound()) or not self.accepting:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return None

    def _splice(self, transport: asyncio.Transport, upstream: SplicedEnd) -> None:
        """Connect both ends of a tunnel.

        An answer may end with its connection. If this process ends, the node at the
        other end must not take that for the end of the answer.
        """
        caller = SplicedEnd()
        caller.transport = transport
        caller.other, upstream.other = upstream, caller
        set_reset_on_close(transport, True)
        enable_keepalive(transport)
        transport.set_protocol(caller)
        self._tunnels.add(transport)
        upstream.transport.resume_reading()


def _response(status: HTTPStatus) -> h11.Response:
    headers = [] if status is HTTPStatus.OK else [(b"Content-Length", b"0")]
    return h11.Response(
        status_code=status, headers=headers, reason=status.phrase.encode()
    )


async def open_tunnel(
    relay: str, address: str, *, timeout_s: float, head_bytes: int
) -> HttpConnection:
    """Connect to an upstream through another node.

    :param relay: ``ip:port`` of the node's tunnels.
    :param address: ``ip:port`` of the upstream.
    :param timeout_s: longest time until the upstream is connected.
    :raises ConnectionRefusedByPeerError: if that node can't connect to the upstream.
    :raises ConnectionLostError: if there is no such connection in time.
    """
    conn = await open_connection(relay, timeout_s=timeout_s, head_bytes=head_bytes)
    try:
        async with asyncio.timeout(timeout_s):
            status = await _request_tunnel(conn, address)
    except (MalformedError, TimeoutError) as exc:
        conn.abort()
        raise ConnectionLostError(
            f"no tunnel: {exc!r}", step="connect", peer=relay
        ) from exc
    except BaseException:
        conn.abort()
        raise
    if status == HTTPStatus.BAD_GATEWAY:
        conn.abort()
        raise ConnectionRefusedByPeerError(
            "no path there either", step="connect", peer=relay
        )
    if status != HTTPStatus.OK:
        conn.abort()
        raise ConnectionLostError(
            f"no tunnel: status {status}", step="connect", peer=relay
        )
    conn.start_http()
    conn.peer = address
    return conn


async def _request_tunnel(conn: HttpConnection, address: str) -> int:
    target = address.encode()
    await conn.send(
        h11.Request(method="CONNECT", target=target, headers=[(b"Host", target)])
    )
    await conn.send(h11.EndOfMessage())
    event = await conn.next_event()
    return event.status_code if isinstance(event, h11.Response) else 0
