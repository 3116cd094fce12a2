"""A stand-in of the platform's workers that always reads, and so sees each close."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

__all__ = ["Run", "Worker"]

_REQUEST_ID = "x-baobabwing-request-id"
_EXPECTED = "x-baobabwing-expected-instance"


@dataclass(kw_only=True)
class Run:
    """A request that a worker has received.

    :ivar arrived_at: when it was complete, by the monotonic clock.
    :ivar ended_at: when the work on it ended; ``None`` while it goes on.
    :ivar dropped: whether the work ended because the connection closed.
    """

    worker: str
    request_id: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float = field(default_factory=time.monotonic)
    ended_at: float | None = None
    dropped: bool = False


class Worker:
    """HTTP/1.1 server that runs requests and drops those whose connection closes.

    :param name: its id; a request that expects another one gets 421.
    :param work: works on a request, and returns the body of its answer.
    :ivar rejects: whether it rejects a request, which then does not run.
    :ivar repeats: whether it sends a second copy of an answer, late, at the point
        where the next one is expected; given the request and whether it was rejected.
    :ivar runs: all requests that it has begun to run.
    :ivar answers: number of its answers, without second copies.
    :ivar repeated: number of these.
    """

    def __init__(self, *, name: str, work: Callable[[Run], Awaitable[bytes]]) -> None:
        self.name = name
        self.work = work
        self.rejects: Callable[[Run], bool] = lambda run: False
        self.repeats: Callable[[Run, bool], bool] = lambda run, rejected: False
        self.runs: list[Run] = []
        self.answers = 0
        self.repeated = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self, self._connections), "127.0.0.1", 0
        )
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.transport.abort()


class _Connection(asyncio.Protocol):
    def __init__(self, worker: Worker, connections: set[_Connection]) -> None:
        self._worker = worker
        self._connections = connections
        self._data = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._late_copy = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._connections.add(self)

    def data_received(self, data: bytes) -> None:
        self._data += data
        if self._task is None:
            self._begin()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def _begin(self) -> None:
        end = self._data.find(b"\r\n\r\n")
        if end < 0:
            return
        first, *lines = self._data[:end].decode("latin-1").split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        size = int(headers.get("content-length", 0))
        if len(self._data) < end + 4 + size:
            return
        body = bytes(self._data[end + 4 : end + 4 + size])
        del self._data[: end + 4 + size]
        run = Run(
            worker=self._worker.name,
            request_id=headers.get(_REQUEST_ID, ""),
            target=first.split(" ")[1],
            headers=headers,
            body=body,
        )
        self._task = asyncio.ensure_future(self._run(run))

    async def _run(self, run: Run) -> None:
        late_copy, self._late_copy = self._late_copy, b""
        self.transport.write(late_copy)
        expected = run.headers.get(_EXPECTED, self._worker.name)
        rejected = expected != self._worker.name or self._worker.rejects(run)
        if expected != self._worker.name:
            answer = _answer(run, 421, b"")
        elif rejected:
            answer = _answer(run, 503, b"")
        else:
            self._worker.runs.append(run)
            try:
                body = await self._worker.work(run)
            except asyncio.CancelledError:
                run.ended_at, run.dropped = time.monotonic(), True
                raise
            run.ended_at = time.monotonic()
            answer = _answer(run, 200, body)
        self._worker.answers += 1
        if self._worker.repeats(run, rejected):
            self._worker.repeated += 1
            self._late_copy = answer
        self.transport.write(answer)
        self._task = None
        if self._data:
            self._begin()


def _answer(run: Run, status: int, body: bytes) -> bytes:
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        f"X-Baobabwing-Request-Id: {run.request_id}",
        f"Content-Length: {len(body)}",
    ]
    if status == HTTPStatus.OK:
        lines.append(f"X-Baobabwing-Response-Signature: {run.worker}.{run.request_id}")
    else:
        lines.append("X-Baobabwing-Not-Executed: 1")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
