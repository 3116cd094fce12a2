"""Connections to upstreams: one request, sent at most once, and its answer's head."""

from __future__ import annotations

import http.client
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from urllib.parse import quote

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from baobabwing.exceptions import (
    BaobabwingError,
    NotAdmittedError,
    RequestError,
    UpstreamError,
)

__all__ = [
    "CallerGoneError",
    "ConnectionPool",
    "UpstreamAnswer",
    "UpstreamBrokenError",
    "UpstreamUnreachableError",
    "cancel",
    "open_exchange",
    "resume",
]

CONNECT_TIMEOUT_S = 1.0
# The stand-ins' servers, like most, close an idle connection after 10 s. Well
# below that, so that a request hardly ever meets a connection being closed.
IDLE_TIMEOUT_S = 4.0
IDLE_LIMIT_PER_ADDRESS = 64
CONTROL_TIMEOUT_S = 2.0
LEFTOVER_BYTES = 65_536
KEEP_WAITING_CHECK_S = 0.25
NOT_ADMITTED_HEADER = "X-Not-Admitted"
NOT_ADMITTED_STATUSES = frozenset({429, 503})
REQUEST_ID_HEADER = "X-Request-Id"

_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class UpstreamUnreachableError(UpstreamError):
    """No connection was made, so nothing of the request was sent."""

    dispatched = False


class UpstreamBrokenError(UpstreamError):
    """The exchange broke or timed out after its first byte may have gone."""

    dispatched = True


class CallerGoneError(BaobabwingError):
    """The caller closed its connection before its answer was whole."""


class _HookError(Exception):
    """What the caller's hook raised; kept apart from errors of the connection."""


class _Connection(HTTPConnection):
    """A connection that never reconnects by itself and tells of its first byte."""

    # A silent reconnect of the library could send a request a second time.
    auto_open = 0

    def __init__(self, *, host: str, port: int, timeout_s: float) -> None:
        super().__init__(host, port, timeout=timeout_s)
        self.before_send: Callable[[], None] | None = None
        self.raw: http.client.HTTPResponse | None = None
        self.written = False

    def send(self, data: object) -> None:
        if not self.written:
            self._call_before_send()
        super().send(data)

    def _call_before_send(self) -> None:
        try:
            if self.before_send is not None:
                self.before_send()
        except Exception as exc:
            raise _HookError from exc
        self.written = True

    def response_class(
        self, sock: socket.socket, *args: object, **options: object
    ) -> http.client.HTTPResponse:
        self.raw = http.client.HTTPResponse(sock, *args, **options)
        return self.raw


@dataclass(frozen=True, kw_only=True)
class _IdleConnection:
    conn: _Connection
    idle_since: float


class ConnectionPool:
    """Idle kept-alive connections, by address of the upstream.

    :param idle_limit: most idle connections that are kept for one address.
    :param idle_timeout_s: idle connections older than this are closed unused.
    :param clock: a monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        idle_limit: int = IDLE_LIMIT_PER_ADDRESS,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._idle_limit = idle_limit
        self._idle_timeout_s = idle_timeout_s
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[str, deque[_IdleConnection]] = {}

    def take(self, address: str) -> _Connection | None:
        """Return a live idle connection, the last used first, or none.

        A connection that is readable while idle was closed by its upstream or
        holds bytes nobody asked for; it is closed here, before anything of a
        request is written to it.
        """
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    self._idle.pop(address, None)
                    return None
                newest = idle.pop()
            usable = self._clock() - newest.idle_since <= self._idle_timeout_s
            if usable and newest.conn.is_connected:
                return newest.conn
            newest.conn.close()

    def put(self, address: str, conn: _Connection) -> None:
        """Keep a connection whose last answer was read to its end."""
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append(_IdleConnection(conn=conn, idle_since=self._clock()))
            evicted = idle.popleft() if len(idle) > self._idle_limit else None
        if evicted is not None:
            evicted.conn.close()

    def forget(self, address: str) -> None:
        """Close all idle connections of an upstream that has left."""
        with self._lock:
            idle = self._idle.pop(address, ())
        for entry in idle:
            entry.conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.forget(address)


@dataclass(frozen=True, kw_only=True)
class UpstreamAnswer:
    """The head of an answer, and the socket its body is read from.

    Whoever holds it calls :meth:`release` once the body was read to its end, or
    :meth:`discard` otherwise; each may be called again without effect.

    :param headers: of the answer; looked up without regard to case.
    :param leftover: bytes of the body that came along with the head.
    :param chunked: whether the body is in chunked transfer coding.
    :param content_length: of the body, or none if only its end tells.
    :param keep: whether the upstream keeps the connection after the body.
    :param peer: address of the upstream.
    """

    status: int
    headers: Mapping[str, str]
    sock: socket.socket
    leftover: bytes
    chunked: bool
    content_length: int | None
    keep: bool
    peer: str
    _conn: _Connection = field(repr=False)
    _response: HTTPResponse = field(repr=False)
    _pool: ConnectionPool = field(repr=False)
    _closed: threading.Event = field(default_factory=threading.Event, repr=False)

    @property
    def request_id(self) -> str:
        """Return the attempt this answer says it belongs to."""
        return self.headers.get(REQUEST_ID_HEADER, "")

    def release(self) -> None:
        """Keep the connection for another request, if the upstream does."""
        if not self.keep:
            self.discard()
            return
        if self._closed.is_set():
            return
        self._closed.set()
        self._response.close()
        self._pool.put(self.peer, self._conn)

    def discard(self) -> None:
        """Close the connection; what is still on its way is dropped."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._response.close()
        self._conn.close()


_POOL = ConnectionPool()


def open_exchange(
    *,
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes | None,
    timeout_s: float,
    before_send: Callable[[], None] | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    caller_socket: socket.socket | None = None,
    keep_waiting: Callable[[], bool] | None = None,
    pool: ConnectionPool = _POOL,
) -> UpstreamAnswer:
    """Send one request, at most once, and read the head of its answer.

    A kept-alive connection that is found closed is replaced by a fresh one, but
    only before anything of the request was written. After the first byte nothing
    is ever sent again, whatever fails.

    :param address: ``host:port`` of the upstream.
    :param target: path and query.
    :param timeout_s: longest wait for the first byte of the answer.
    :param before_send: called immediately before the first byte is written; what
        it raises goes through, and then nothing was sent.
    :param caller_socket: watched while the head is awaited, if given.
    :param wanted: asked now and then while the head is awaited, if given along
        with ``caller_socket``; once it says false, nothing is waited for any more.
    :returns: the head; the body is still to be read from its socket.
    :raises UpstreamUnreachableError: if nothing was sent (``dispatched`` is false).
    :raises UpstreamBrokenError: if the request may have run.
    :raises NotAdmittedError: if the upstream says that it ran nothing of it.
    :raises CallerGoneError: if the caller left before the head came.
    """
    conn = pool.take(address) or _connect(address, connect_timeout_s)
    try:
        conn.before_send = before_send
        conn.written = False
        conn.timeout = timeout_s
        _send(conn, method, target, headers, body, address)
        if caller_socket is not None:
            _await_head(conn, caller_socket, timeout_s, address, keep_waiting)
        answer = _read_head(conn, address, pool)
    except BaseException:
        conn.close()
        raise
    if _is_not_admitted(answer):
        answer.discard()
        raise NotAdmittedError(
            f"the upstream did not admit the request, status {answer.status}",
            step="dispatch",
            peer=address,
        )
    return answer


def resume(
    address: str,
    attempt: str,
    last_event_id: int | None,
    *,
    timeout_s: float = CONTROL_TIMEOUT_S,
    pool: ConnectionPool = _POOL,
) -> UpstreamAnswer:
    """Ask an engine to go on with a stream after an event, or from its start.

    :param last_event_id: the last event that the caller has, if it has any.
    :returns: the answer; its status is 404 if the engine does not know the stream.
    :raises UpstreamError: if the engine cannot be reached or does not answer.
    """
    headers = {"Accept": "text/event-stream", REQUEST_ID_HEADER: attempt}
    if last_event_id is not None:
        headers["Last-Event-ID"] = str(last_event_id)
    return open_exchange(
        address=address,
        method="GET",
        target=_stream_target(attempt),
        headers=headers,
        body=None,
        timeout_s=timeout_s,
        pool=pool,
    )


def cancel(
    address: str,
    attempt: str,
    *,
    timeout_s: float = CONTROL_TIMEOUT_S,
    pool: ConnectionPool = _POOL,
) -> bool:
    """Tell an engine to stop a stream that nobody wants any more.

    :returns: whether the engine says that the stream no longer runs.
    :raises UpstreamError: if the engine cannot be reached or does not answer.
    """
    answer = open_exchange(
        address=address,
        method="DELETE",
        target=_stream_target(attempt),
        headers={REQUEST_ID_HEADER: attempt},
        body=None,
        timeout_s=timeout_s,
        pool=pool,
    )
    if answer.status == http.HTTPStatus.NO_CONTENT:
        answer.release()
        return True
    answer.discard()
    return False


def _stream_target(attempt: str) -> str:
    return f"/v1/streams/{quote(attempt, safe='')}"


def _connect(address: str, timeout_s: float) -> _Connection:
    host, _, port = address.rpartition(":")
    try:
        conn = _Connection(host=host.strip("[]"), port=int(port), timeout_s=timeout_s)
        conn.connect()
    except (OSError, HTTPError, ValueError) as exc:
        raise UpstreamUnreachableError(
            f"no connection: {type(exc).__name__}", step="connect", peer=address
        ) from exc
    return conn


def _send(
    conn: _Connection,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes | None,
    address: str,
) -> None:
    try:
        conn.request(
            method,
            target,
            body=body,
            headers=headers,
            preload_content=False,
            decode_content=False,
            enforce_content_length=False,
        )
    except _HookError as exc:
        raise exc.__cause__ from None
    except (BrokenPipeError, ConnectionResetError):
        # An upstream that refuses early closes while the body is still on its
        # way; its refusal is there to be read all the same.
        return
    except (OSError, HTTPError, http.client.HTTPException, ValueError) as exc:
        raise _failed_send(conn, address, exc) from exc


def _failed_send(conn: _Connection, address: str, exc: Exception) -> BaobabwingError:
    if conn.written:
        return _broken("send", address, exc)
    return RequestError(
        "the request's target or headers cannot be sent on",
        status=http.HTTPStatus.BAD_REQUEST,
        code="malformed_head",
        step="send",
        peer=address,
    )


def _await_head(
    conn: _Connection,
    caller_socket: socket.socket,
    timeout_s: float,
    address: str,
    keep_waiting: Callable[[], bool] | None,
) -> None:
    """Wait for the answer, or for the caller to leave.

    A caller that shuts down its sending side counts as gone, although HTTP would
    allow it to read on: it is how closing shows, and work for nobody is waste.
    """
    caller = caller_socket.fileno()
    poll = select.poll()
    poll.register(conn.sock, select.POLLIN)
    poll.register(caller, select.POLLRDHUP)
    end = time.monotonic() + timeout_s
    ready: dict[int, int] = {}
    while (
        not ready
        and time.monotonic() < end
        and (keep_waiting is None or keep_waiting())
    ):
        pause_s = (
            timeout_s if keep_waiting is None else min(timeout_s, KEEP_WAITING_CHECK_S)
        )
        ready = dict(poll.poll(pause_s * 1000))
    if ready.get(caller, 0) & _DISCONNECTED and len(ready) == 1:
        raise CallerGoneError("the caller left", step="await head")
    if not ready:
        raise UpstreamBrokenError("no answer in time", step="await head", peer=address)


def _read_head(conn: _Connection, address: str, pool: ConnectionPool) -> UpstreamAnswer:
    # The connection forgets its socket if the answer ends with the connection.
    sock = conn.sock
    try:
        response = conn.getresponse()
        raw = conn.raw
        leftover = _take_leftover(sock, raw)
    except (OSError, HTTPError, http.client.HTTPException) as exc:
        raise _broken("read head", address, exc) from exc
    return UpstreamAnswer(
        status=response.status,
        headers=response.headers,
        sock=sock,
        leftover=leftover,
        chunked=bool(raw.chunked),
        content_length=raw.length,
        keep=not raw.will_close,
        peer=address,
        _conn=conn,
        _response=response,
        _pool=pool,
    )


def _take_leftover(sock: socket.socket, raw: http.client.HTTPResponse) -> bytes:
    """Empty the library's read buffer without waiting for more."""
    if raw.fp is None:
        return b""
    sock.settimeout(0)
    return raw.fp.read1(LEFTOVER_BYTES) or b""


def _is_not_admitted(answer: UpstreamAnswer) -> bool:
    return (
        answer.status in NOT_ADMITTED_STATUSES
        and answer.headers.get(NOT_ADMITTED_HEADER) == "1"
    )


def _broken(step: str, address: str, exc: Exception) -> UpstreamBrokenError:
    text = "no answer in time" if isinstance(exc, TimeoutError) else "broken"
    return UpstreamBrokenError(f"{text}: {type(exc).__name__}", step=step, peer=address)
