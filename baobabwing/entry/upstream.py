"""Client connections to upstreams, which send a request at most once."""

from __future__ import annotations

import http.client
import io
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
# The stand-ins' servers, like most, close an idle connection after 10 s. This is
# well below, so that a request rarely meets a connection that is being closed.
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
    """No connection could be made; nothing of the request was sent."""

    dispatched = False


class UpstreamBrokenError(UpstreamError):
    """The exchange failed or timed out when its first byte may have been sent."""

    dispatched = True


class CallerGoneError(BaobabwingError):
    """The caller closed its connection before it had the complete answer."""


class _HookError(Exception):
    """Wraps an error of the ``before_send`` hook, to tell it from network errors."""


class _HeadReader(io.BufferedReader):
    """Reads the lines of a head, which ends with an empty one.

    The library takes the end of the connection for the end of the headers.
    """

    def readline(self, size: int | None = -1) -> bytes:
        line = super().readline(size)
        at_limit = size is not None and len(line) == size
        if not line.endswith(b"\n") and not at_limit:
            raise http.client.RemoteDisconnected("connection closed within the head")
        return line


class _Connection(HTTPConnection):
    """A connection that never reconnects, with a hook before its first byte."""

    # An automatic reconnect of the library could send a request a second time.
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
        self.raw.fp = _HeadReader(self.raw.fp.detach())
        return self.raw


@dataclass(frozen=True, kw_only=True)
class _IdleConnection:
    conn: _Connection
    idle_since: float


class ConnectionPool:
    """Idle keep-alive connections, by address of the upstream.

    :param idle_limit: maximum number of idle connections per address.
    :param idle_timeout_s: connections that were idle for longer are closed instead
        of being used again.
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
        """Return the most recently used live idle connection, or ``None``.

        A connection that is readable while idle was closed by its upstream or
        holds unexpected bytes; it is closed here, before anything of a request is
        written to it.
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
        """Store a connection whose last answer was read to its end."""
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append(_IdleConnection(conn=conn, idle_since=self._clock()))
            evicted = idle.popleft() if len(idle) > self._idle_limit else None
        if evicted is not None:
            evicted.conn.close()

    def forget(self, address: str) -> None:
        """Close all idle connections to one address."""
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
    """The head of an answer, and the socket from which its body is read.

    The reader calls :meth:`release` once the body was read to its end, or
    :meth:`discard` otherwise. Further calls of either have no effect.

    :param headers: headers of the answer; names are case-insensitive.
    :param leftover: bytes of the body that were received along with the head.
    :param chunked: whether the body is in chunked transfer coding.
    :param content_length: remaining length of the body, or ``None`` if unknown.
    :param keep: whether the upstream keeps the connection open after the body.
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
        """Attempt id in the head of the answer, or an empty string."""
        return self.headers.get(REQUEST_ID_HEADER, "")

    def release(self) -> None:
        """Return the connection to the pool, or close it if the upstream does."""
        if not self.keep:
            self.discard()
            return
        if self._closed.is_set():
            return
        self._closed.set()
        self._response.close()
        self._pool.put(self.peer, self._conn)

    def discard(self) -> None:
        """Close the connection, dropping unread bytes."""
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

    A pooled connection that turns out to be closed is replaced by a new one, but
    only before anything of the request was written. After the first byte nothing
    is sent again, whatever fails.

    :param address: ``host:port`` of the upstream.
    :param target: path and query.
    :param timeout_s: longest wait for the first byte of the answer.
    :param before_send: called immediately before the first byte is written; its
        exceptions propagate, and then nothing was sent.
    :param caller_socket: monitored for a disconnect while waiting for the head, if
        given.
    :param keep_waiting: polled every ``KEEP_WAITING_CHECK_S`` while waiting for the
        head, if given along with ``caller_socket``; the wait ends once it returns
        ``False``.
    :returns: the head; the body is still to be read from its socket.
    :raises UpstreamUnreachableError: if nothing was sent (``dispatched`` is false).
    :raises UpstreamBrokenError: if the request may have run.
    :raises NotAdmittedError: if the upstream states that it ran nothing of it.
    :raises RequestError: if the target or a header is malformed; nothing was sent.
    :raises CallerGoneError: if the caller disconnected before the head arrived.
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
    """Request the rest of a stream from an engine, or the whole stream.

    :param last_event_id: number of the last event that the caller has, or ``None``
        to start with the first event.
    :returns: the answer; its status is 404 if the engine does not have the stream.
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
    """Cancel a stream at an engine.

    :returns: whether the engine confirmed that the stream no longer runs.
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
            f"cannot connect: {type(exc).__name__}", step="connect", peer=address
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
        # An upstream that refuses early closes the connection while the body is
        # still in transit; its refusal can be read all the same.
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
    """Wait until the answer begins or the caller disconnects.

    A caller that shuts down its sending side counts as disconnected, although HTTP
    allows it to read on: a closed connection looks the same, and work for a
    departed caller is wasted.
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
    # The connection drops its reference to the socket if the answer ends with it.
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
