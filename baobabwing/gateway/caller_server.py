"""Server side of callers' connections: one task each reads and answers requests."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import h11

from baobabwing.exceptions import ConnectionLostError, MalformedError, NoRoomError
from baobabwing.gateway.answers import CallerAnswer, Refusal
from baobabwing.gateway.connection import HttpConnection
from baobabwing.gateway.events import CONNECTION_FAULT
from baobabwing.gateway.forwarding import Forwarder
from baobabwing.gateway.held_bytes import Holding
from baobabwing.gateway.listener import Listener
from baobabwing.gateway.model import CallerLimits
from baobabwing.gateway.request_head import (
    Headers,
    RequestHead,
    read_request_head,
)
from baobabwing.gateway.state import GatewayState
from baobabwing.reports.events import log

__all__ = ["CallerServer"]

# A refused connection stays open this long, so that the caller can read the refusal.
_LINGER_S = 0.05
_FLUSH_CHECK_S = 0.01
# Shortest delay after which callers may come back that this node has no room for.
_NO_ROOM_RETRY_S = 0.2
# Colon, space and CRLF of a header line.
_HEADER_OVERHEAD_BYTES = 4


class CallerServer:
    """Accepts callers' connections and has their requests answered.

    :param state: configuration in force and phase of this node.
    :param forwarder: answers the requests.
    :param bound: as in :class:`Listener`.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        forwarder: Forwarder,
        bound: Callable[[], int] | None = None,
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        self._listener = Listener(
            serve=self._serve,
            head_bytes=lambda: self._limits_since(time.monotonic()).head_bytes,
            new_holding=state.held_requests.holding,
            name="callers",
            bound=bound,
        )
        self.open_requests = 0
        # Bytes received when a connection began to wait for a request; ``None`` while
        # its request is handled.
        self._received_before: dict[HttpConnection, int | None] = {}
        self._closing: set[HttpConnection] = set()

    async def start(self, address: str) -> None:
        """Start listening on ``ip:port``."""
        await self._listener.start(address)

    @property
    def listening(self) -> bool:
        """Whether callers can connect."""
        return self._listener.listening

    @property
    def open_connections(self) -> int:
        """Number of callers' open connections."""
        return self._listener.open_connections

    @property
    def busy(self) -> bool:
        """Whether a request or the bytes of an answer are on their way."""
        return bool(self.open_requests or self.reading or self.unsent)

    @property
    def reading(self) -> int:
        """Number of requests that have arrived in part."""
        return sum(
            1
            for conn, received in self._received_before.items()
            if received is not None and not _is_idle(conn, received)
        )

    @property
    def unsent(self) -> int:
        """Number of connections with bytes that were written and not sent yet."""
        conns = {*self._received_before, *self._closing}
        return sum(1 for conn in conns if conn.unsent_bytes)

    def close_idle(self) -> None:
        """Stop listening, and close the connections that wait for a request."""
        self._listener.close()
        for conn, received in self._received_before.items():
            if received is not None and _is_idle(conn, received):
                conn.close()

    def stop(self) -> None:
        """Stop listening, and abort connections in the middle of a request."""
        self._listener.stop()

    async def flush(self, timeout_s: float) -> None:
        """Wait until the last bytes of all answers are sent, for some time at most."""
        until = time.monotonic() + timeout_s
        while self.unsent and time.monotonic() < until:
            await asyncio.sleep(_FLUSH_CHECK_S)

    def _limits_since(self, began_at: float) -> CallerLimits:
        return self._state.caller_limits.loosest_since(began_at)

    async def _serve(self, conn: HttpConnection) -> None:
        self._received_before[conn] = conn.received
        try:
            while await self._serve_request(conn):
                conn.http.start_next_cycle()
            conn.close()
        except ConnectionLostError:
            conn.close()
        except asyncio.CancelledError:
            received = self._received_before[conn]
            if received is not None and _is_idle(conn, received):
                conn.close()
            else:
                conn.abort()
            raise
        except Exception as exc:
            # An error on one connection must not end the process.
            log(CONNECTION_FAULT, peer=conn.peer, error=repr(exc))
            conn.abort()
        finally:
            del self._received_before[conn]
            if conn.unsent_bytes:
                self._closing.add(conn)
                conn.on_gone = lambda: self._closing.discard(conn)

    async def _serve_request(self, conn: HttpConnection) -> bool:
        """Read and answer one request; return whether the connection can be reused."""
        self._received_before[conn] = conn.received
        conn.await_request()
        answer = CallerAnswer(conn=conn, is_last=partial(self._is_last, conn))
        with contextlib.ExitStack() as holdings:
            return await self._read_and_answer(conn, answer, holdings)

    async def _read_and_answer(
        self, conn: HttpConnection, answer: CallerAnswer, holdings: contextlib.ExitStack
    ) -> bool:
        """Read and answer one request; return whether the connection can be reused.

        :param holdings: gives back at its end what was kept of the request.
        """
        try:
            request = await self._read_head(conn)
            if request is None:
                return False
            arrived = time.monotonic()
            headers: Headers = list(request.headers.raw_items())
            _check_framing(headers, conn.peer)
            head_bytes = self._limits_since(arrived).head_bytes
            _check_size(request, head_bytes, conn.peer)
            request_head = read_request_head(
                request.method.decode("ascii"),
                request.target.decode("latin-1"),
                headers,
                self._state.settings.names,
            )
            holder = self._holder(request_head, conn)
            holding = self._state.held_requests.holding(holder)
            holdings.enter_context(holding)
            body = await self._read_body(conn, arrived, headers, holding)
            self._received_before[conn] = None
            conn.take_request()
        except MalformedError as exc:
            refusal = Refusal(status=exc.status, code="malformed")
            return await self._reject(conn, answer, refusal)
        except NoRoomError as exc:
            holdings.close()
            refusal = Refusal(
                status=503,
                code="no_room",
                retry_after_s=_NO_ROOM_RETRY_S * self._state.rng.uniform(1.0, 2.0),
                reason=exc.message,
            )
            return await self._reject(conn, answer, refusal)
        await self._answer(conn, answer, request_head, body, arrived)
        return answer.ended and conn.http.our_state is h11.DONE

    def _is_last(self, conn: HttpConnection) -> bool:
        """Whether no answer follows the present one, so that the caller goes elsewhere.

        A request that has arrived behind the present one is answered before that.
        """
        return self._state.leaving and not conn.http.trailing_data[0]

    async def _answer(
        self,
        conn: HttpConnection,
        answer: CallerAnswer,
        request_head: Any,
        body: bytes,
        arrived: float,
    ) -> None:
        work = asyncio.ensure_future(
            self._forwarder.handle(request_head, body, arrived, answer)
        )
        # If the caller disconnects, its request is cancelled at every stage: in the
        # queue, while being sent, or running at an upstream.
        conn.on_gone = work.cancel
        self.open_requests += 1
        try:
            await work
        except asyncio.CancelledError:
            if not conn.gone:
                work.cancel()
                raise
            raise ConnectionLostError(
                "caller left", step="answer", peer=conn.peer
            ) from None
        finally:
            self.open_requests -= 1
            conn.on_gone = None

    async def _read_head(self, conn: HttpConnection) -> h11.Request | None:
        """Return the next request; ``None`` if the caller sends no more."""
        received_before = conn.received if not conn.http.trailing_data[0] else -1
        try:
            event = await self._next_event(conn, _idle_timeout_s)
        except TimeoutError:
            if conn.received == received_before:
                return None
            event = await self._next_head(conn)
        return event if isinstance(event, h11.Request) else None

    async def _next_head(self, conn: HttpConnection) -> Any:
        try:
            return await self._next_event(conn, _head_timeout_s)
        except TimeoutError as exc:
            raise MalformedError(
                "head took too long", status=408, step="head", peer=conn.peer
            ) from exc

    async def _next_event(
        self, conn: HttpConnection, timeout_s: Callable[[CallerLimits], float]
    ) -> Any:
        """Return the next event of a connection.

        :param timeout_s: returns the longest time to wait under given limits.
        :raises TimeoutError: if it does not come under any limits that may be in use,
            also if they change meanwhile.
        """
        began_at = time.monotonic()
        while True:
            until = began_at + timeout_s(self._limits_since(began_at))
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    return await conn.next_event()
            except TimeoutError:
                if began_at + timeout_s(self._limits_since(began_at)) <= until:
                    raise

    def _holder(self, request_head: RequestHead, conn: HttpConnection) -> str:
        """Return whose room a body takes: its organisation's, or else its host's."""
        table = self._state.table
        organisation = table.organisation(request_head.key) if table else None
        return organisation.name if organisation else conn.peer.rpartition(":")[0]

    async def _read_body(
        self, conn: HttpConnection, arrived: float, headers: Headers, holding: Holding
    ) -> bytes:
        """Return the body of a request whose head has arrived.

        :param holding: counts its bytes and those of the head.
        :raises NoRoomError: if there is no room, at once for one of a stated length.
        """
        head_bytes = sum(len(name) + len(value) for name, value in headers)
        _hold(holding, head_bytes + _stated_length(headers), conn.peer)
        if conn.http.they_are_waiting_for_100_continue:
            await conn.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        while True:
            try:
                event = await self._next_event(conn, _idle_timeout_s)
            except TimeoutError as exc:
                raise MalformedError(
                    "body took too long", status=408, step="body", peer=conn.peer
                ) from exc
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ConnectionLostError("caller left", step="body", peer=conn.peer)
            size = len(body) + len(event.data)
            if size > self._limits_since(arrived).body_bytes:
                raise MalformedError(
                    "body too long", status=413, step="body", peer=conn.peer
                )
            _hold(holding, max(head_bytes + size, holding.size), conn.peer)
            body += event.data

    async def _reject(
        self, conn: HttpConnection, answer: CallerAnswer, refusal: Refusal
    ) -> bool:
        """Refuse, then close: where the next request starts is unknown."""
        answer.closes = True
        with contextlib.suppress(h11.LocalProtocolError):
            await answer.refuse(refusal)
        await asyncio.sleep(_LINGER_S)
        return False


def _idle_timeout_s(limits: CallerLimits) -> float:
    return limits.idle_timeout_s


def _head_timeout_s(limits: CallerLimits) -> float:
    return limits.head_timeout_s


def _is_idle(conn: HttpConnection, received: int) -> bool:
    """Whether nothing of a request has arrived.

    :param received: bytes received when the connection began to wait for it.
    """
    return conn.received == received and not conn.http.trailing_data[0]


def _hold(holding: Holding, size: int, peer: str) -> None:
    """Keep so many bytes of a request.

    :raises NoRoomError: if there is no room.
    """
    if not holding.resize(size):
        holding.refuse(size)
        raise NoRoomError("no room for a request", step="body", peer=peer)


def _stated_length(headers: Headers) -> int:
    """Return the length of a body; 0 if none is stated."""
    lengths = [value for name, value in headers if name.lower() == b"content-length"]
    return int(lengths[0]) if lengths else 0


def _check_size(request: h11.Request, max_bytes: int, peer: str) -> None:
    """Refuse a head over its limit that arrived in one piece.

    The parser checks the size only while the head is incomplete.
    """
    size = len(request.target) + sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in request.headers
    )
    if size > max_bytes:
        raise MalformedError("head too long", status=431, step="head", peer=peer)


def _check_framing(headers: Headers, peer: str) -> None:
    """Refuse a request with an ambiguous length or a repeated ``Host``.

    Against request smuggling: a proxy or upstream that reads another length would take
    the rest of the body for a request of its own.
    """
    names = [name.lower() for name, _ in headers]
    repeated = names.count(b"content-length") > 1 or names.count(b"host") > 1
    conflicting = b"content-length" in names and b"transfer-encoding" in names
    if repeated or conflicting:
        raise MalformedError(
            "ambiguous length or repeated host", step="head", peer=peer
        )
