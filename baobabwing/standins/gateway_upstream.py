"""Stand-in for a gateway's upstreams, with injectable faults per request."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter, defaultdict, deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import h11

from baobabwing.exceptions import ConnectionLostError, MalformedError
from baobabwing.gateway.connection import HttpConnection
from baobabwing.gateway.headers import HeaderNames
from baobabwing.gateway.listener import Listener

__all__ = [
    "Behaviour",
    "Fragility",
    "GatewayUpstream",
    "SeenRequest",
    "StreamRun",
]

_MAX_HEAD_BYTES = 65_536
# What an upstream sends at once that sends without end, and its pause.
_ENDLESS_PIECE_BYTES = 16_384
_ENDLESS_PAUSE_S = 0.001


@dataclass(frozen=True, kw_only=True)
class Behaviour:
    """How an upstream answers one request.

    :param status: status of an answer that is not a stream.
    :param delay_s: time before the answer.
    :param events: number of events to stream; 0 for a plain answer.
    :param gap_s: time after each event, or each piece of an endless answer.
    :param stall_after: send nothing for ``stall_s`` after this many events.
    :param stall_s: see ``stall_after``.
    :param cut_after: break off within the event after this many events; for a plain
        answer, after half of its body.
    :param reset: break off with a reset instead of a regular close.
    :param refuse: refuse with the header that states that the request was not run.
    :param mute: never answer.
    :param unframed: send neither length nor chunks; closing the connection ends the
        answer.
    :param padding: bytes added to each event or to a plain answer; of an endless
        answer, the size of its pieces.
    :param sized: state the length of the whole stream in its head.
    :param false_end: after ``cut_after``, send the last chunk, as if complete.
    :param extra: send a second answer after the first.
    :param late_copy: with ``refuse``, send the refusal a second time, just before the
        next answer on the connection.
    :param wrong_id: answer with another request's id.
    :param close: close the connection after the answer.
    :param leaving: announce in the answer that the upstream is leaving.
    :param retry_after: with ``refuse``, value of ``Retry-After`` in seconds.
    :param endless: send bytes until the connection is closed: ``noise`` or ``interim``
        answers in place of a head, ``unframed``, ``chunks`` or ``length`` (a huge one
        is stated) in place of a body, ``event`` or ``comments`` in place of events, or
        ``extra`` after a whole answer.
    :param crash: stop the whole upstream after ``delay_s``, with all requests that it
        is running.
    """

    status: int = 200
    delay_s: float = 0.0
    events: int = 0
    gap_s: float = 0.0
    stall_after: int | None = None
    stall_s: float = 0.0
    cut_after: int | None = None
    reset: bool = False
    refuse: bool = False
    mute: bool = False
    unframed: bool = False
    padding: int = 0
    sized: bool = False
    false_end: bool = False
    extra: bool = False
    late_copy: bool = False
    wrong_id: bool = False
    close: bool = False
    leaving: bool = False
    retry_after: bytes = b""
    crash: bool = False
    endless: str = ""


def _unframed_head(
    headers: Iterable[tuple[bytes, bytes]], status: bytes = b"200 OK"
) -> bytes:
    """Return a head to which h11 adds no framing."""
    start = b"HTTP/1.1 " + status
    lines = [start, *(name + b": " + value for name, value in headers)]
    return b"\r\n".join(lines) + b"\r\n\r\n"


@dataclass(frozen=True, kw_only=True)
class StreamRun:
    """One run of a stream.

    :param last_event: number of the event after which it goes on; 0 from the start.
    """

    request_id: str
    last_event: int
    began_at: float


def _event(number: int, request_id: str, padding: bytes) -> bytes:
    name = request_id.encode()
    return b"id: %d\ndata: piece %d of %s%s\n\n" % (number, number, name, padding)


@dataclass(frozen=True, kw_only=True)
class Fragility:
    """Room of an upstream that fails when it has to refuse too many requests.

    :param room: requests that it takes at the same time.
    :param per_s: refusals within a second beyond which it fails; stated in its answers.
    """

    room: int
    per_s: int


@dataclass(frozen=True, kw_only=True)
class SeenRequest:
    """A request as received by the upstream.

    :param at: monotonic time of its arrival.
    """

    method: str
    target: str
    headers: dict[bytes, bytes] = field(repr=False)
    body: bytes = field(repr=False)
    request_id: str = ""
    at: float = field(default_factory=time.monotonic)


class GatewayUpstream:
    """HTTP server that counts the requests it runs.

    :param instance: incarnation of the upstream; a request that expects another one
        is answered with 421 and not run.
    :param names: names of the headers in use.
    :param behave: function that chooses how a request is answered.
    :param on_crash: called with the request that crashed this upstream.
    :param fragility: room of an upstream that fails after refusals; ``None`` for one
        that takes all requests.
    :ivar leaving: whether all answers announce that the upstream is leaving.
    :ivar rate_limit: value of the header that states how many requests a second it
        takes; ``None`` for none.
    :ivar load: value of the header that reports its load; ``None`` for none.
    :ivar silent_until: monotonic time until which it sends nothing.
    :ivar seen: all requests received.
    :ivar runs: number of executions per request id.
    :ivar began: request id and monotonic start time of each execution.
    :ivar worked: request id, and monotonic times of begin and end of each execution.
    :ivar streams: streams that it began or went on with, in turn.
    :ivar working: number of requests being run.
    :ivar endless: number of connections on which it sends without end.
    :ivar left_early: number of requests whose connection closed before their end.
    :ivar bodies: body of the plain answer per request id.
    """

    def __init__(
        self,
        *,
        instance: str,
        names: HeaderNames,
        behave: Callable[[SeenRequest], Behaviour] = lambda request: Behaviour(),
        on_crash: Callable[[SeenRequest], None] = lambda request: None,
        fragility: Fragility | None = None,
    ) -> None:
        self.instance = instance
        self.names = names
        self.behave = behave
        self.on_crash = on_crash
        self.fragility = fragility
        self._refused_at: deque[float] = deque()
        self._late_copies: dict[HttpConnection, bytes] = {}
        self.leaving = False
        self.rate_limit: bytes | None = None
        self.load: bytes | None = None
        self.silent_until = 0.0
        self.seen: list[SeenRequest] = []
        self.runs: Counter[str] = Counter()
        self.began: list[tuple[str, float]] = []
        self.worked: list[tuple[str, float, float]] = []
        self.streams: list[StreamRun] = []
        self.working = 0
        self.endless = 0
        self.left_early = 0
        self.bodies: dict[str, bytes] = defaultdict(bytes)
        self._listener = Listener(serve=self._serve, head_bytes=lambda: _MAX_HEAD_BYTES)

    @property
    def address(self) -> str:
        """Listening address, ``ip:port``."""
        return self._listener.address

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen on ``ip:port``."""
        await self._listener.start(address)

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._listener.stop()

    async def _serve(self, conn: HttpConnection) -> None:
        with contextlib.suppress(ConnectionLostError, MalformedError):
            while True:
                request = await self._read(conn)
                await conn.write(self._late_copies.pop(conn, b""))
                if request is None or not await self._answer(conn, request):
                    break
                conn.http.start_next_cycle()
        self._late_copies.pop(conn, None)
        conn.abort()

    async def _read(self, conn: HttpConnection) -> SeenRequest | None:
        head = await conn.next_event()
        if not isinstance(head, h11.Request):
            return None
        body = b""
        while isinstance(event := await conn.next_event(), h11.Data):
            body += bytes(event.data)
        headers = {name.lower(): value for name, value in head.headers}
        request = SeenRequest(
            method=head.method.decode(),
            target=head.target.decode(),
            headers=headers,
            body=body,
            request_id=headers.get(self.names.request_id, b"").decode(),
        )
        self.seen.append(request)
        return request

    async def _answer(self, conn: HttpConnection, request: SeenRequest) -> bool:
        """Answer a request; return whether to keep the connection open."""
        expected = request.headers.get(self.names.expected_instance, b"").decode()
        if expected and expected != self.instance:
            await self._send_response(conn, request, 421, b"", not_run=True)
            return True
        behaviour = self.behave(request)
        full = self.fragility is not None and self.working >= self.fragility.room
        if full and self._fails_by_refusal():
            self.stop()
            self.on_crash(request)
            return False
        if behaviour.refuse and behaviour.endless:
            await self._send_endlessly(conn, request, behaviour)
        if behaviour.refuse or full:
            extra_headers = (
                [(b"Retry-After", behaviour.retry_after)]
                if behaviour.retry_after
                else []
            )
            await self._send_response(
                conn, request, 503, b"", not_run=True, extra_headers=extra_headers
            )
            if behaviour.late_copy:
                headers = [*self._refusal_headers(request), (b"Content-Length", b"0")]
                self._late_copies[conn] = _unframed_head(headers, b"503 Full")
            return True
        self.runs[request.request_id] += 1
        began_at = time.monotonic()
        self.began.append((request.request_id, began_at))
        self.working += 1
        try:
            return await self._run(conn, request, behaviour)
        except ConnectionLostError:
            self.left_early += 1
            raise
        finally:
            self.working -= 1
            self.worked.append((request.request_id, began_at, time.monotonic()))

    async def _run(
        self, conn: HttpConnection, request: SeenRequest, behaviour: Behaviour
    ) -> bool:
        if behaviour.mute:
            await self._work_for(conn, float("inf"))
        await self._work_for(conn, behaviour.delay_s)
        await self._keep_silence(conn)
        if behaviour.crash:
            self.stop()
            self.on_crash(request)
            return False
        if behaviour.endless:
            await self._send_endlessly(conn, request, behaviour)
            return False
        if behaviour.events:
            return await self._stream(conn, request, behaviour)
        body = b"answer to " + request.request_id.encode() + b"x" * behaviour.padding
        self.bodies[request.request_id] = body
        if behaviour.cut_after is not None or behaviour.unframed:
            await self._send_truncated(conn, request, behaviour, body)
            return False
        await self._send_response(
            conn, request, behaviour.status, body, wrong_id=behaviour.wrong_id
        )
        if behaviour.extra:
            await conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
        return not behaviour.close

    async def _send_endlessly(
        self, conn: HttpConnection, request: SeenRequest, behaviour: Behaviour
    ) -> None:
        """Send bytes until the connection is closed.

        :raises ConnectionLostError: once it is.
        """
        form = behaviour.endless
        headers = self._response_headers(request)
        if behaviour.refuse:
            headers.append((self.names.not_executed, b"1"))
        if form in ("event", "comments"):
            headers.append((b"Content-Type", b"text/event-stream"))
        head = _unframed_head(headers, b"%d X" % behaviour.status)
        chunk = b"x" * (behaviour.padding or _ENDLESS_PIECE_BYTES)
        starts = {
            "noise": b"",
            "interim": b"",
            "unframed": head,
            "chunks": head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n",
            "length": head[:-2] + b"Content-Length: 99999999999\r\n\r\n",
            "event": head + b"id: 1\ndata: ",
            "comments": head,
            "extra": head[:-2] + b"Content-Length: 5\r\n\r\nwhole",
        }
        pieces = {
            "interim": b"HTTP/1.1 100 Continue\r\n\r\n" * 100,
            "chunks": b"%x\r\n%b\r\n" % (len(chunk), chunk),
            "comments": b": x\n\n" * 1000,
        }
        await conn.write(starts[form])
        self.endless += 1
        try:
            while True:
                await conn.write(pieces.get(form, chunk))
                await asyncio.sleep(behaviour.gap_s or _ENDLESS_PAUSE_S)
        finally:
            self.endless -= 1

    async def _stream(
        self, conn: HttpConnection, request: SeenRequest, behaviour: Behaviour
    ) -> bool:
        last_event = int(request.headers.get(self.names.last_event, b"0"))
        self.streams.append(
            StreamRun(
                request_id=request.request_id,
                last_event=last_event,
                began_at=time.monotonic(),
            )
        )
        numbers = range(last_event + 1, behaviour.events + 1)
        padding = b"." * behaviour.padding
        events = [_event(number, request.request_id, padding) for number in numbers]
        size = len(b"".join(events))
        send_data = await self._start_stream(conn, request, behaviour, size)
        for number, event in zip(numbers, events, strict=True):
            if behaviour.cut_after is not None and number > behaviour.cut_after:
                await send_data(event[:9])
                if behaviour.false_end:
                    await conn.send(h11.EndOfMessage())
                    return True
                await self._break_off(conn, behaviour)
                return False
            await self._keep_silence(conn)
            await send_data(event)
            stalled = number == behaviour.stall_after
            await self._work_for(
                conn, behaviour.stall_s if stalled else behaviour.gap_s
            )
        if behaviour.unframed:
            conn.set_reset_on_close(False)
            conn.close()
            return False
        await conn.send(h11.EndOfMessage())
        return True

    async def _start_stream(
        self,
        conn: HttpConnection,
        request: SeenRequest,
        behaviour: Behaviour,
        size: int,
    ) -> Callable[[bytes], Awaitable[None]]:
        """Send the head of a stream; return the function that sends its pieces."""
        headers = [
            *self._response_headers(request),
            (b"Content-Type", b"text/event-stream"),
        ]
        if behaviour.unframed:
            # A crash between two events could not be told from the end of the stream.
            conn.set_reset_on_close(True)
            await conn.write(_unframed_head(headers))
            return conn.write
        if behaviour.sized:
            headers.append((b"Content-Length", b"%d" % size))
        else:
            headers.append((b"Transfer-Encoding", b"chunked"))
        await conn.send(h11.Response(status_code=200, headers=headers))
        return lambda piece: conn.send(h11.Data(data=piece))

    async def _send_truncated(
        self,
        conn: HttpConnection,
        request: SeenRequest,
        behaviour: Behaviour,
        body: bytes,
    ) -> None:
        headers = self._response_headers(request)
        if not behaviour.unframed:
            headers.append((b"Content-Length", b"%d" % len(body)))
        part = body if behaviour.cut_after is None else body[: len(body) // 2]
        await conn.write(_unframed_head(headers) + part)
        await self._break_off(conn, behaviour)

    async def _break_off(self, conn: HttpConnection, behaviour: Behaviour) -> None:
        await asyncio.sleep(0.02)
        conn.set_reset_on_close(behaviour.reset)
        if behaviour.reset:
            conn.abort()
        else:
            conn.close()

    async def _send_response(
        self,
        conn: HttpConnection,
        request: SeenRequest,
        status: int,
        body: bytes,
        *,
        not_run: bool = False,
        wrong_id: bool = False,
        extra_headers: Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        headers = self._response_headers(request, wrong_id=wrong_id)
        if not_run:
            headers = self._refusal_headers(request)
        headers.extend(extra_headers)
        headers.append((b"Content-Length", b"%d" % len(body)))
        await conn.send(h11.Response(status_code=status, headers=headers))
        await conn.send(h11.Data(data=body))
        await conn.send(h11.EndOfMessage())

    def _response_headers(
        self, request: SeenRequest, *, wrong_id: bool = False
    ) -> list[tuple[bytes, bytes]]:
        identity = b"another" if wrong_id else request.request_id.encode()
        headers = [
            (self.names.request_id, identity),
            (self.names.signature, b"signed-" + self.instance.encode()),
        ]
        if self.leaving or self.behave(request).leaving:
            headers.append((self.names.leaving, b"1"))
        return [*headers, *self._stated_limits()]

    def _refusal_headers(self, request: SeenRequest) -> list[tuple[bytes, bytes]]:
        return [
            (self.names.request_id, request.request_id.encode()),
            (self.names.not_executed, b"1"),
            *self._stated_limits(),
        ]

    def _stated_limits(self) -> list[tuple[bytes, bytes]]:
        stated = []
        if self.fragility is not None:
            stated.append((self.names.refusal_limit, b"%d" % self.fragility.per_s))
        if self.rate_limit is not None:
            stated.append((self.names.rate_limit, self.rate_limit))
        if self.load is not None:
            stated.append((self.names.load, self.load))
        return stated

    def _fails_by_refusal(self) -> bool:
        """Whether this upstream fails as it refuses one more request."""
        now = time.monotonic()
        self._refused_at.append(now)
        while self._refused_at[0] < now - 1.0:
            self._refused_at.popleft()
        return len(self._refused_at) > self.fragility.per_s

    async def _keep_silence(self, conn: HttpConnection) -> None:
        await self._work_for(conn, self.silent_until - time.monotonic())

    async def _work_for(self, conn: HttpConnection, seconds: float) -> None:
        """Wait, as if working on the request.

        :raises ConnectionLostError: if the gateway closes the connection meanwhile.
        """
        if seconds <= 0:
            return
        disconnected = asyncio.get_running_loop().create_future()
        conn.on_gone = lambda: disconnected.done() or disconnected.set_result(None)
        timeout = None if seconds == float("inf") else seconds
        done, _ = await asyncio.wait({disconnected}, timeout=timeout)
        conn.on_gone = None
        if done or conn.gone:
            raise ConnectionLostError("left", step="work", peer=conn.peer)
