"""Requests reach an upstream at most once; errors say whether they may have run."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from contextlib import contextmanager

import pytest

from baobabwing.entry.upstream import (
    CallerGoneError,
    ConnectionPool,
    UpstreamBrokenError,
    UpstreamUnreachableError,
    cancel,
    open_exchange,
    resume,
)
from baobabwing.exceptions import NotAdmittedError, RequestError

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: a1\r\n\r\nok"
GONE = b"HTTP/1.1 204 No Content\r\n\r\n"
REFUSED = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Admitted: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


Serve = Callable[["FakeUpstream", socket.socket], object]


class FakeUpstream:
    """Serves connections one after another, each with the next handler."""

    def __init__(self, serve: tuple[Serve, ...]) -> None:
        self.requests: list[bytes] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.closed = threading.Event()
        self.thread = threading.Thread(target=self._run, args=(serve,))
        self.thread.start()

    def _run(self, serve: tuple[Serve, ...]) -> None:
        for handle in serve:
            conn, _ = self.listener.accept()
            conn.settimeout(30)
            with conn:
                handle(self, conn)
            self.closed.set()

    def read(self, conn: socket.socket) -> None:
        raw = b""
        while not raw.endswith(b"\r\n\r\n"):
            raw += conn.recv(65536)
        self.requests.append(raw)


def answer(*answers: bytes) -> Serve:
    def serve(server: FakeUpstream, conn: socket.socket) -> None:
        for raw in answers:
            server.read(conn)
            conn.sendall(raw)

    return serve


def unresponsive(server: FakeUpstream, conn: socket.socket) -> None:
    server.read(conn)
    conn.recv(1)


@contextmanager
def upstream(*serve: Serve):
    server = FakeUpstream(serve)
    try:
        yield server
    finally:
        server.thread.join(30)
        server.listener.close()


def send_request(address: str, pool: ConnectionPool | None = None, **options):
    options.setdefault("headers", {"X-Request-Id": "a1"})
    options.setdefault("target", "/v1/completions")
    return open_exchange(
        address=address,
        method="GET",
        body=None,
        timeout_s=options.pop("timeout_s", 10),
        pool=pool or ConnectionPool(),
        **options,
    )


def test_head_and_the_bytes_received_with_it():
    with upstream(answer(OK)) as server:
        response = send_request(server.address)
        assert response.status == 200
        assert response.headers["x-request-id"] == "a1"
        assert response.content_length == 2
        response.sock.settimeout(10)
        rest = b"" if len(response.leftover) == 2 else response.sock.recv(2)
        assert response.leftover + rest == b"ok"
        response.discard()


def test_a_released_connection_is_used_again():
    pool = ConnectionPool()
    with upstream(answer(GONE, GONE)) as server:
        send_request(server.address, pool).release()
        send_request(server.address, pool).release()
        assert len(server.requests) == 2
    pool.close()


def test_a_closed_idle_connection_is_replaced_before_the_dispatch_mark():
    """An upstream closes an idle connection between two requests.

    The second request would be lost and, since it may have run, answered as
    unknown. The close is detected before anything is written: a new connection is
    made, and the dispatch is marked once.
    """
    pool = ConnectionPool()
    marks = []
    with upstream(answer(GONE), answer(GONE)) as server:
        first = send_request(server.address, pool)
        first.release()
        assert server.closed.wait(30)
        send_request(
            server.address, pool, before_send=lambda: marks.append(1)
        ).discard()
        assert marks == [1]
        assert len(server.requests) == 2


def test_idle_connections_expire():
    now = [0.0]
    pool = ConnectionPool(idle_timeout_s=4, clock=lambda: now[0])
    with upstream(answer(GONE)) as server:
        send_request(server.address, pool).release()
        now[0] = 5.0
        assert pool.take(server.address) is None


def test_no_connection_means_nothing_was_sent():
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    listener.close()
    marks = []
    with pytest.raises(UpstreamUnreachableError) as caught:
        send_request(f"127.0.0.1:{port}", before_send=lambda: marks.append(1))
    assert not caught.value.dispatched
    assert (caught.value.step, caught.value.peer) == ("connect", f"127.0.0.1:{port}")
    assert marks == []


def test_a_request_is_not_sent_again_after_its_first_byte():
    """An upstream receives a request, perhaps runs it, and dies without an answer.

    If the request were sent again, it might run twice. It is sent once, and the
    error says that it may have run.
    """
    pool = ConnectionPool()
    with upstream(answer(GONE, b"")) as server:
        send_request(server.address, pool).release()
        with pytest.raises(UpstreamBrokenError) as caught:
            send_request(server.address, pool)
        assert caught.value.dispatched
        assert len(server.requests) == 2


@pytest.mark.parametrize("error", [ConnectionResetError, TimeoutError, ValueError])
def test_nothing_is_sent_when_the_dispatch_mark_fails(error):
    """The request cannot be marked as dispatched, for any reason.

    It was not sent and must not be reported as possibly run, even if the error
    looks like a connection error.
    """
    received = []

    def fail() -> None:
        raise error

    with (
        upstream(lambda server, conn: received.append(conn.recv(100))) as server,
        pytest.raises(error),
    ):
        send_request(server.address, before_send=fail)
    assert received == [b""]


@pytest.mark.parametrize(
    "options", [{"target": "/a b"}, {"headers": {"X-A": "1\r\nX-B: 2"}}]
)
def test_a_malformed_head_is_refused_before_the_dispatch_mark(options):
    marks = []
    with (
        upstream(lambda server, conn: conn.recv(100)) as server,
        pytest.raises(RequestError),
    ):
        send_request(server.address, before_send=lambda: marks.append(1), **options)
    assert marks == []


def test_an_explicit_refusal_counts_as_not_run():
    with (
        upstream(answer(REFUSED)) as server,
        pytest.raises(NotAdmittedError) as caught,
    ):
        send_request(server.address)
    assert caught.value.peer == server.address


def test_other_refusals_are_answers():
    raw = REFUSED.replace(b"X-Not-Admitted: 1\r\n", b"")
    with upstream(answer(raw)) as server:
        response = send_request(server.address)
        assert response.status == 503
        response.discard()


def test_an_unresponsive_upstream_times_out():
    with (
        upstream(unresponsive) as server,
        pytest.raises(UpstreamBrokenError) as caught,
    ):
        send_request(server.address, timeout_s=0.05)
    assert "in time" in caught.value.message


def test_a_caller_that_disconnects_before_the_head_is_detected():
    near, far = socket.socketpair()
    with (
        near,
        upstream(unresponsive) as server,
        pytest.raises(CallerGoneError),
    ):
        send_request(server.address, caller_socket=near, before_send=far.close)


def test_resume_and_cancel_name_the_stream():
    pool = ConnectionPool()
    with upstream(answer(OK), answer(GONE, OK)) as server:
        resume(server.address, "a/1", 7, pool=pool).discard()
        assert cancel(server.address, "a/1", pool=pool)
        assert not cancel(server.address, "a/1", pool=pool)
    assert server.requests[0].startswith(b"GET /v1/streams/a%2F1 HTTP/1.1\r\n")
    assert b"Last-Event-ID: 7\r\n" in server.requests[0]
    assert server.requests[1].startswith(b"DELETE /v1/streams/a%2F1 ")
