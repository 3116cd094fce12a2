"""The platform's clients against a server that answers, refuses and breaks off."""

import contextlib
import json
import socket
import threading

import pytest

from baobabwing.exceptions import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUncertainError,
)
from baobabwing.store.hosts import ListedHost, list_hosts, register_host
from baobabwing.store.objects import read_object, write_object
from baobabwing.store.tables import Insert, InsertResult, Row, TableClient
from baobabwing.store.weights import WeightGrant, request_weights

TIMEOUT_S = 10.0
HANG = "hang"


class Server:
    """Sends prepared answers, one per connection, and records the requests."""

    def __init__(self):
        self.answers = []
        self.requests = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self._unanswered = []
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self.requests.append(_read_request(conn))
            answer = self.answers.pop(0)
            if answer is HANG:
                self._unanswered.append(conn)
                continue
            conn.sendall(answer)
            conn.close()

    def close(self):
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        for conn in (self._listener, *self._unanswered):
            conn.close()


def _read_request(conn):
    data = b""
    while b"\r\n\r\n" not in data:
        data += conn.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:])
    while len(body) < int(fields.get("content-length", 0)):
        body += conn.recv(65536)
    return lines[0], fields, body


def answer(status, value=None, *, headers=""):
    body = b"" if value is None else json.dumps(value).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}"
    return f"{head}Connection: close\r\n\r\n".encode() + body


@pytest.fixture
def server():
    running_server = Server()
    yield running_server
    running_server.close()


@pytest.fixture
def tables(server):
    return TableClient(url=server.url, timeout_s=TIMEOUT_S)


def test_read(server, tables):
    server.answers = [answer(200, {"version": 3, "value": {"a": 1}}), answer(404)]
    assert tables.read("t", "history/1") == Row(
        key="history/1", version=3, value={"a": 1}
    )
    assert tables.read("t", "k") is None
    assert server.requests[0][0] == "GET /tables/t/history/1 HTTP/1.1"


def test_put(server, tables):
    server.answers = [answer(200, {"version": 4}), answer(200, {"version": 1})]
    assert tables.put("t", "k", [1], expected=3) == 4
    assert tables.put("t", "k", [1], expected=None) == 1
    assert server.requests[0][1]["if-match"] == '"3"'
    assert server.requests[1][1]["if-none-match"] == "*"
    assert json.loads(server.requests[0][2]) == {"value": [1]}


def test_insert_list_delete(server, tables):
    result = {"key": "k", "inserted": False, "value": 7}
    server.answers = [
        answer(200, {"results": [result]}),
        answer(200, {"items": [{"key": "k", "version": 1, "value": 7}]}),
        answer(204),
    ]
    assert tables.insert_many("t", [Insert(key="k", value=8)]) == (
        InsertResult(key="k", inserted=False, value=7),
    )
    assert tables.list_items("t", "k&") == (Row(key="k", version=1, value=7),)
    tables.delete("t", "k", expected=1)
    assert server.requests[1][0] == "GET /tables/t?prefix=k%26 HTTP/1.1"


def test_conflict(server, tables):
    server.answers = [answer(412), answer(412)]
    with pytest.raises(ConflictError):
        tables.put("t", "k", 1, expected=1)
    with pytest.raises(ConflictError):
        tables.delete("t", "k", expected=1)


@pytest.mark.parametrize("status", [429, 503])
def test_refusals_had_no_effect(server, tables, status):
    server.answers = [answer(status)]
    with pytest.raises(PlatformUnavailableError):
        tables.put("t", "k", 1, expected=1)


@pytest.mark.parametrize(
    "failed_answer",
    [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", answer(500)],
)
def test_lost_answer_of_a_write_is_uncertain(server, tables, failed_answer):
    """Guards against a write that is reported without effect but is in force.

    The service accepts a write and the connection breaks before the answer. The
    client must report that the effect is unknown; a read has none.
    """
    server.answers = [failed_answer, failed_answer]
    with pytest.raises(PlatformUncertainError):
        tables.put("t", "k", 1, expected=1)
    with pytest.raises(PlatformUnavailableError):
        tables.read("t", "k")


def test_timeout_of_a_write_is_uncertain(server):
    server.answers = [HANG, HANG]
    tables = TableClient(url=server.url, timeout_s=0.05)
    with pytest.raises(PlatformUncertainError):
        tables.insert_many("t", [Insert(key="k", value=1)])
    with pytest.raises(PlatformUnavailableError):
        tables.list_items("t")


def test_refused_connection_had_no_effect(server, tables):
    server.close()
    with pytest.raises(PlatformUnavailableError) as caught:
        tables.put("t", "k", 1, expected=1)
    assert caught.value.step == "table put"
    assert caught.value.peer == server.url


@pytest.mark.parametrize("value", [None, [], {"version": "3"}, {"other": 1}])
def test_malformed_answers_are_errors(server, tables, value):
    server.answers = [answer(200, value)]
    with pytest.raises(PlatformError):
        tables.read("t", "k")


def test_hosts(server):
    host = ListedHost(
        name="e1", zone="a", region="r", peer="127.0.0.1:9", http="127.0.0.1:8"
    )
    good = {"name": "e1", "zone": "a", "region": "r", "peer": "127.0.0.1:9"}
    good |= {"http": "127.0.0.1:8", "state": "live", "since": 3}
    server.answers = [
        answer(200, {"hosts": [good, {"name": "half"}, 7, good | {"state": "odd"}]}),
        answer(200, {}),
    ]
    assert list_hosts(url=server.url, timeout_s=TIMEOUT_S) == (host,)
    register_host(host, url=server.url, timeout_s=TIMEOUT_S)
    assert json.loads(server.requests[1][2])["state"] == "live"


def test_weights(server):
    server.answers = [answer(200, {}), answer(429, headers="Retry-After: 2\r\n")]
    endpoint = {"url": server.url, "timeout_s": TIMEOUT_S}
    assert request_weights("m", **endpoint) == WeightGrant(granted=True)
    assert request_weights("m", **endpoint) == WeightGrant(
        granted=False, retry_after_s=2.0
    )


def test_objects(server):
    server.answers = [answer(200, {}), answer(200, 5), answer(404)]
    endpoint = {"url": server.url, "timeout_s": TIMEOUT_S}
    write_object("a/b", b"x", **endpoint)
    assert read_object("a/b", **endpoint) == b"5"
    assert read_object("a/b", **endpoint) is None
