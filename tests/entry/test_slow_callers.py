"""Idle and slow callers do not prevent others from being served."""

import http.client
import socket
import time
from types import SimpleNamespace

import pytest

import baobabwing.entry.operations  # noqa: F401, I001  (registers the routes)
from baobabwing.bench.ports import free_port
from baobabwing.entry import server as server_module
from baobabwing.entry.server import EntryServer
from baobabwing.settings.schema import NodeLimits


@pytest.fixture
def address():
    return ("127.0.0.1", free_port())


@pytest.fixture
def entry(address, monkeypatch):
    monkeypatch.setattr(server_module, "HEAD_LIMIT_S", 1.0)
    limits = NodeLimits(worker_threads=4, connections=1200)
    settings = SimpleNamespace(http=f"{address[0]}:{address[1]}", limits=limits)
    server = EntryServer(context=SimpleNamespace(settings=settings))
    server.start()
    yield server
    server.stop()


def is_answered(address):
    conn = http.client.HTTPConnection(*address, timeout=5)
    try:
        conn.request("GET", "/healthz")
        return conn.getresponse().status == 200
    finally:
        conn.close()


def closed_by_peer(sock):
    sock.settimeout(20)
    try:
        return sock.recv(1024) == b"" or closed_by_peer(sock)
    except ConnectionResetError:
        return True


def test_a_thousand_idle_connections_leave_the_node_answering(entry, address):
    """A thousand connections are opened and send nothing.

    If each were passed to a thread, all threads would wait for them until they
    time out, and no caller would be served by an idle host.
    """
    idle = [socket.create_connection(address) for _ in range(1000)]
    assert all(is_answered(address) for _ in range(20))
    for sock in idle:
        sock.close()


def test_callers_that_send_a_byte_at_a_time_are_ended(entry, address):
    """Four callers that send single bytes would occupy all four threads for ever.

    Each byte arrives before the timeout of a read, so only a limit on the complete
    head disconnects them.
    """
    drips = [socket.create_connection(address) for _ in range(4)]
    for sock in drips:
        sock.sendall(b"GET /healthz HTTP/1.1\r\nX-A: ")
    end = time.monotonic() + 20
    alive = set(drips)
    while alive and time.monotonic() < end:
        for sock in tuple(alive):
            try:
                sock.sendall(b"a")
            except OSError:
                alive.discard(sock)
        time.sleep(0.05)
    assert not alive
    assert is_answered(address)


def test_connections_beyond_the_limit_are_closed(entry, address):
    entry._server._connection_limit = 2
    first = [socket.create_connection(address) for _ in range(2)]
    end = time.monotonic() + 10
    while entry._server.open_connections < 2:
        assert time.monotonic() < end
    third = socket.create_connection(address)
    assert closed_by_peer(third)
    for sock in first:
        sock.close()
    third.close()
