import json
import socket

import pytest
import urllib3

from baobabwing.exceptions import RequestError
from baobabwing.standins.faults import FaultBoard, FaultOrder, fault_kinds

CONNECTION_ERROR = urllib3.exceptions.HTTPError


def read_raw(address, path, body, *, until):
    """Send one request and return the bytes received once a condition on them holds."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        head = f"POST {path} HTTP/1.1\r\nHost: s\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)
        received = b""
        while not until(received):
            piece = sock.recv(65536)
            assert piece, received
            received += piece
    return received


def test_a_counted_fault_applies_count_times():
    board = FaultBoard(kind="service")
    board.set(FaultOrder(name="refuse", count=2))
    assert [bool(board.consume("refuse")) for _ in range(3)] == [True, True, False]


def test_an_uncounted_fault_applies_until_it_is_cleared():
    board = FaultBoard(kind="engine")
    board.set(FaultOrder(name="slow", value=3))
    assert [board.number("slow", 1.0) for _ in range(3)] == [3.0, 3.0, 3.0]
    board.clear()
    assert board.number("slow", 1.0) == 1.0


def test_a_fault_expires_after_for_ms():
    board = FaultBoard(kind="platform")
    board.set(FaultOrder(name="down", for_ms=0))
    assert board.peek("down") is None
    board.set(FaultOrder(name="down", for_ms=600_000))
    assert board.peek("down")


@pytest.mark.parametrize(
    "document",
    [
        {},
        {"fault": "no_such"},
        {"fault": "lose_answer"},
        {"fault": "refuse", "count": 0},
        {"fault": "refuse", "count": "2"},
        {"fault": "slow", "value": "fast"},
        {"fault": "slow", "value": -1},
        {"fault": "slow", "for_ms": "long"},
        {"fault": "die_at", "value": 3},
        {"fault": "cut_peer", "names": [1]},
    ],
)
def test_an_unknown_or_malformed_fault_is_refused(document):
    board = FaultBoard(kind="engine")
    with pytest.raises(RequestError):
        board.set(FaultOrder.parse(document))


def test_every_fault_has_a_meaning():
    assert all(kind.meaning and kind.kinds for kind in fault_kinds())


def test_a_refused_call_was_not_run(start):
    service = start("service")
    service.fault("refuse", count=2)
    answers = [service.call("POST", "/book", "x") for _ in range(3)]
    assert [answer.status for answer in answers] == [503, 503, 200]
    assert answers[0].headers["X-Not-Admitted"] == "1"
    assert len(service.executions()) == 1


def test_a_dropped_answer_had_its_effect(start):
    """A call is run, but the caller gets no answer.

    The connection breaks after the service has run the call and before the answer,
    so only the record shows that the call was run.
    """
    service = start("service")
    service.fault("drop_after_effect", count=1)
    with pytest.raises(CONNECTION_ERROR):
        service.call("POST", "/book", "x", Idempotency_Key="k")
    (execution,) = service.executions()
    assert (execution["key"], execution["state"]) == ("k", "finished")
    assert service.call("POST", "/book", "x").status == 200


def test_an_answer_is_sent_twice_on_one_connection(start):
    """A caller gets the answer to another request.

    The upstream sends its answer twice. The second copy stays on the kept-alive
    connection, where a client could take it for the answer to its next request.
    """
    service = start("service")
    service.fault("answer_twice", count=1)
    received = read_raw(
        service.address,
        "/book",
        b"one",
        until=lambda data: data.count(b'"echo":"one"}') == 2,
    )
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert len(service.executions()) == 1


def test_a_stream_is_sent_twice_on_one_connection(start):
    engine = start("engine", "--model", "m")
    engine.fault("answer_twice", count=1)
    body = {"model": "m", "prompt": "p", "max_tokens": 2, "stream": True}
    received = read_raw(
        engine.address,
        "/v1/completions",
        json.dumps(body).encode(),
        until=lambda data: data.count(b"\r\n0\r\n\r\n") == 2,
    )
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert received.count(b"id: 1\n") == 2


def test_engine_faults_after_the_effect_leave_the_request_executed(start, until):
    engine = start("engine", "--model", "m")
    body = {"model": "m", "prompt": "p", "max_tokens": 2, "stream": True}
    engine.fault("fail", count=1)
    assert engine.call("POST", "/v1/completions", body).status == 500
    for name in ("drop_after_effect", "cut_stream_after"):
        engine.fault(name, count=1)
        with pytest.raises(CONNECTION_ERROR):
            engine.call("POST", "/v1/completions", body)
    assert engine.call("POST", "/v1/completions", body).status == 200
    until(lambda: engine.states() == ["finished"] * 4)


def test_a_frozen_engine_stalls_until_the_fault_is_cleared(start, until):
    """An engine hangs without exiting.

    Streams stall and new calls get no answer until the fault is cleared.
    """
    engine = start("engine", "--model", "m", "--step-ms", "1")
    body = {"model": "m", "prompt": "p", "max_tokens": 20_000, "stream": True}
    conn = engine.begin("/v1/completions", body, X_Request_Id="a")
    until(lambda: engine.states() == ["running"])
    engine.fault("freeze", value=600_000)
    short_timeout_pool = urllib3.PoolManager(retries=False, timeout=0.2)
    with pytest.raises(urllib3.exceptions.TimeoutError):
        short_timeout_pool.request("GET", f"http://{engine.address}/load")
    tokens_when_frozen = engine.executions()[0]["output_tokens"]
    with pytest.raises(urllib3.exceptions.TimeoutError):
        short_timeout_pool.request("GET", f"http://{engine.address}/load")
    assert engine.executions()[0]["output_tokens"] == tokens_when_frozen
    assert engine.call("DELETE", "/control/faults").status == 204
    until(lambda: engine.executions()[0]["output_tokens"] > tokens_when_frozen)
    conn.close()


def test_calls_from_a_cut_peer_are_aborted(start):
    service = start("service")
    service.fault("cut_peer", names=["127.0.0.1"])
    with pytest.raises(CONNECTION_ERROR):
        service.call("POST", "/book", "x")
    assert service.executions() == []
    assert service.json("GET", "/control/faults")["active"][0]["name"] == "cut_peer"


@pytest.mark.parametrize(
    ("step", "states"),
    [("received", []), ("admitted", ["waiting"]), ("answered", ["finished"])],
)
def test_the_record_file_survives_a_crash_at_each_step(start, tmp_path, step, states):
    """A service crashes while it runs a call.

    Its memory is lost, so only the record's file shows whether the call was run.
    """
    path = tmp_path / "record"
    service = start("service", "--record", str(path))
    service.fault("die_at", value=step)
    with pytest.raises(CONNECTION_ERROR):
        service.call("POST", "/book", "x", Idempotency_Key="k")
    assert service.process.wait(20) == 1
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [line["state"] for line in lines][-1:] == states
    assert {line["key"] for line in lines} <= {"k"}


def test_the_fault_die_ends_the_process(start):
    platform = start("platform")
    platform.fault("die")
    assert platform.process.wait(20) == 1
