"""A stand-in for the upstreams of a gateway: services and engines with faults."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import h11

from baobabwing.exceptions import ConnectionLostError, MalformedError
from baobabwing.gateway.connection import HttpConnection
from baobabwing.gateway.headers import HeaderNames
from baobabwing.gateway.listener import Listener

__all__ = ["Behaviour", "GatewayUpstream", "SeenRequest"]

_HEAD_BYTES = 65_536
# Switched on, zero seconds: closing sends a reset.
_LINGER_NOT = struct.pack("ii", 1, 0)


@dataclass(frozen=True, kw_only=True)
class Behaviour:
    """How an upstream answers one request.

    :param status: of a whole answer.
    :param delay_s: before the answer.
    :param events: makes it a stream of so many events.
    :param gap_s: between two events.
    :param cut_after: break off after this many events, within the next one; for a
        plain answer, after half of its body.
    :param reset: break off by a reset instead of an end.
    :param refuse: state that the request was not run.
    :param mute: never answer.
    :param unframed: neither length nor chunks; the answer ends with its connection.
    :param extra: send a second answer after the first.
    :param wrong_id: answer with another request's id.
    :param close: end the connection after the answer.
    :param leaving: say that the upstream is leaving.
    :param retry_after: with ``refuse``, seconds for which it wants nothing more.
    :param crash: end the whole upstream, with all that it works on, as soon as the
        request begins to run.
    """

    status: int = 200
    delay_s: float = 0.0
    events: int = 0
    gap_s: float = 0.0
    cut_after: int | None = None
    reset: bool = False
    refuse: bool = False
    mute: bool = False
    unframed: bool = False
    extra: bool = False
    wrong_id: bool = False
    close: bool = False
    leaving: bool = False
    retry_after: bytes = b""
    crash: bool = False


@dataclass(frozen=True, kw_only=True)
class SeenRequest:
    """A request as it reached the upstream."""

    method: str
    target: str
    headers: dict[bytes, bytes] = field(repr=False)
    body: bytes = field(repr=False)
    request_id: str = ""


class GatewayUpstream:
    """An HTTP server that counts what it runs.

    :param instance: its incarnation; a request that is meant for another gets 421.
    :param names: headers in use.
    :param behave: chooses how a request is answered.
    :param on_crash: called with a request that has ended this upstream.
    :ivar leaving: whether all its answers say that it is leaving.
    """

    def __init__(
        self,
        *,
        instance: str,
        names: HeaderNames,
        behave: Callable[[SeenRequest], Behaviour] = lambda seen: Behaviour(),
        on_crash: Callable[[SeenRequest], None] = lambda seen: None,
    ) -> None:
        self.instance = instance
        self.names = names
        self.behave = behave
        self.on_crash = on_crash
        self.leaving = False
        self.seen: list[SeenRequest] = []
        self.runs: Counter[str] = Counter()
        self.began: list[tuple[str, float]] = []
        self.working = 0
        self.left_early = 0
        self.bodies: dict[str, bytes] = defaultdict(bytes)
        self._listener = Listener(serve=self._serve, head_bytes=lambda: _HEAD_BYTES)

    @property
    def address(self) -> str:
        """Where it listens, ``ip:port``."""
        return self._listener.address

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen on ``ip:port``."""
        await self._listener.start(address)

    def stop(self) -> None:
        """Listen no more and cut all connections."""
        self._listener.stop()

    async def _serve(self, conn: HttpConnection) -> None:
        with contextlib.suppress(ConnectionLostError, MalformedError):
            while True:
                seen = await self._read(conn)
                if seen is None or not await self._answer(conn, seen):
                    break
                conn.http.start_next_cycle()
        conn.abort()

    async def _read(self, conn: HttpConnection) -> SeenRequest | None:
        request = await conn.next_event()
        if not isinstance(request, h11.Request):
            return None
        body = b""
        while isinstance(event := await conn.next_event(), h11.Data):
            body += bytes(event.data)
        headers = {name.lower(): value for name, value in request.headers}
        seen = SeenRequest(
            method=request.method.decode(),
            target=request.target.decode(),
            headers=headers,
            body=body,
            request_id=headers.get(self.names.request_id, b"").decode(),
        )
        self.seen.append(seen)
        return seen

    async def _answer(self, conn: HttpConnection, seen: SeenRequest) -> bool:
        """Answer a request; return whether the connection goes on."""
        expected = seen.headers.get(self.names.expected_instance, b"").decode()
        if expected and expected != self.instance:
            await self._whole(conn, seen, 421, b"", not_run=True)
            return True
        how = self.behave(seen)
        if how.refuse:
            more = [(b"Retry-After", how.retry_after)] if how.retry_after else []
            await self._whole(conn, seen, 503, b"", not_run=True, more=more)
            return True
        self.runs[seen.request_id] += 1
        self.began.append((seen.request_id, time.monotonic()))
        self.working += 1
        try:
            return await self._run(conn, seen, how)
        except ConnectionLostError:
            self.left_early += 1
            raise
        finally:
            self.working -= 1

    async def _run(
        self, conn: HttpConnection, seen: SeenRequest, how: Behaviour
    ) -> bool:
        if how.mute:
            await self._wait(conn, float("inf"))
        await self._wait(conn, how.delay_s)
        if how.crash:
            self.stop()
            self.on_crash(seen)
            return False
        if how.events:
            return await self._stream(conn, seen, how)
        body = b"answer to " + seen.request_id.encode()
        self.bodies[seen.request_id] = body
        if how.cut_after is not None or how.unframed:
            await self._raw(conn, seen, how, body)
            return False
        await self._whole(conn, seen, how.status, body, wrong_id=how.wrong_id)
        if how.extra:
            await conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
        return not how.close

    async def _stream(
        self, conn: HttpConnection, seen: SeenRequest, how: Behaviour
    ) -> bool:
        last = int(seen.headers.get(self.names.last_event, b"0"))
        await conn.send(
            h11.Response(
                status_code=200,
                headers=[
                    *self._headers(seen),
                    (b"Content-Type", b"text/event-stream"),
                    (b"Transfer-Encoding", b"chunked"),
                ],
            )
        )
        for number in range(last + 1, how.events + 1):
            event = b"id: %d\ndata: piece %d of %s\n\n" % (
                number,
                number,
                seen.request_id.encode(),
            )
            if how.cut_after is not None and number > how.cut_after:
                await conn.send(h11.Data(data=event[:9]))
                await self._break(conn, how)
                return False
            await conn.send(h11.Data(data=event))
            await self._wait(conn, how.gap_s)
        await conn.send(h11.EndOfMessage())
        return True

    async def _raw(
        self, conn: HttpConnection, seen: SeenRequest, how: Behaviour, body: bytes
    ) -> None:
        lines = [b"HTTP/1.1 200 OK"]
        lines += [name + b": " + value for name, value in self._headers(seen)]
        if not how.unframed:
            lines.append(b"Content-Length: %d" % len(body))
        part = body if how.cut_after is None else body[: len(body) // 2]
        await conn.write(b"\r\n".join(lines) + b"\r\n\r\n" + part)
        await self._break(conn, how)

    async def _break(self, conn: HttpConnection, how: Behaviour) -> None:
        await asyncio.sleep(0.02)
        if how.reset:
            sock = conn.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT)
            conn.abort()
        else:
            conn.close()

    async def _whole(
        self,
        conn: HttpConnection,
        seen: SeenRequest,
        status: int,
        body: bytes,
        *,
        not_run: bool = False,
        wrong_id: bool = False,
        more: Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        headers = self._headers(seen, wrong_id=wrong_id)
        if not_run:
            headers = [(self.names.not_executed, b"1")]
        headers.extend(more)
        headers.append((b"Content-Length", b"%d" % len(body)))
        await conn.send(h11.Response(status_code=status, headers=headers))
        await conn.send(h11.Data(data=body))
        await conn.send(h11.EndOfMessage())

    def _headers(
        self, seen: SeenRequest, *, wrong_id: bool = False
    ) -> list[tuple[bytes, bytes]]:
        identity = b"another" if wrong_id else seen.request_id.encode()
        headers = [
            (self.names.request_id, identity),
            (self.names.signature, b"signed-" + self.instance.encode()),
        ]
        if self.leaving or self.behave(seen).leaving:
            headers.append((self.names.leaving, b"1"))
        return headers

    async def _wait(self, conn: HttpConnection, seconds: float) -> None:
        """Work for a while, or until the gateway closes the connection."""
        if seconds <= 0:
            return
        gone = asyncio.get_running_loop().create_future()
        conn.on_gone = lambda: gone.done() or gone.set_result(None)
        timeout = None if seconds == float("inf") else seconds
        done, _ = await asyncio.wait({gone}, timeout=timeout)
        conn.on_gone = None
        if done or conn.gone:
            raise ConnectionLostError("left", step="work", peer=conn.peer)
