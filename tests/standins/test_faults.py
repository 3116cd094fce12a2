import json
import socket

import pytest
import urllib3

from baobabwing.exceptions import RequestError
from baobabwing.standins.faults import FaultBoard, FaultOrder, fault_kinds

BROKEN = urllib3.exceptions.HTTPError


def read_raw(address, path, body, *, until):
    """Send one request and return the bytes of the connection up to a mark."""
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


def test_a_counted_fault_shows_as_often_as_asked():
    board = FaultBoard(kind="service")
    board.set(FaultOrder(name="refuse", count=2))
    assert [bool(board.consume("refuse")) for _ in range(3)] == [True, True, False]


def test_an_uncounted_fault_shows_until_it_is_cleared():
    board = FaultBoard(kind="engine")
    board.set(FaultOrder(name="slow", value=3))
    assert [board.number("slow", 1.0) for _ in range(3)] == [3.0, 3.0, 3.0]
    board.clear()
    assert board.number("slow", 1.0) == 1.0


def test_a_fault_ends_by_itself():
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
def test_a_fault_that_an_engine_does_not_know_is_refused(document):
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
    """A booking is made but the app hears nothing.

    The service runs the call, then the connection breaks before the answer;
    only the record tells that the call was run.
    """
    service = start("service")
    service.fault("drop_after_effect", count=1)
    with pytest.raises(BROKEN):
        service.call("POST", "/book", "x", Idempotency_Key="k")
    (execution,) = service.executions()
    assert (execution["key"], execution["state"]) == ("k", "finished")
    assert service.call("POST", "/book", "x").status == 200


def test_an_answer_comes_twice_on_one_connection(start):
    """A caller is given somebody else's answer.

    The upstream sends its answer twice, and the second copy waits on the kept
    connection, where a careless client takes it for the next request's answer.
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


def test_a_stream_comes_twice_on_one_connection(start):
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


def test_an_engine_can_fail_cut_and_drop_and_has_run_each_time(start, until):
    engine = start("engine", "--model", "m")
    body = {"model": "m", "prompt": "p", "max_tokens": 2, "stream": True}
    engine.fault("fail", count=1)
    assert engine.call("POST", "/v1/completions", body).status == 500
    for name in ("drop_after_effect", "cut_stream_after"):
        engine.fault(name, count=1)
        with pytest.raises(BROKEN):
            engine.call("POST", "/v1/completions", body)
    assert engine.call("POST", "/v1/completions", body).status == 200
    until(lambda: engine.states() == ["finished"] * 4)


def test_a_frozen_engine_keeps_still_until_it_is_cleared(start, until):
    """An engine hangs without dying.

    Streams stop, new calls get no answer, and all of it goes on afterwards.
    """
    engine = start("engine", "--model", "m", "--step-ms", "1")
    body = {"model": "m", "prompt": "p", "max_tokens": 20_000, "stream": True}
    conn = engine.begin("/v1/completions", body, X_Request_Id="a")
    until(lambda: engine.states() == ["running"])
    engine.fault("freeze", value=600_000)
    hung = urllib3.PoolManager(retries=False, timeout=0.2)
    with pytest.raises(urllib3.exceptions.TimeoutError):
        hung.request("GET", f"http://{engine.address}/load")
    made = engine.executions()[0]["output_tokens"]
    with pytest.raises(urllib3.exceptions.TimeoutError):
        hung.request("GET", f"http://{engine.address}/load")
    assert engine.executions()[0]["output_tokens"] == made
    assert engine.call("DELETE", "/control/faults").status == 204
    until(lambda: engine.executions()[0]["output_tokens"] > made)
    conn.close()


def test_whatever_comes_from_a_cut_peer_is_cut(start):
    service = start("service")
    service.fault("cut_peer", names=["127.0.0.1"])
    with pytest.raises(BROKEN):
        service.call("POST", "/book", "x")
    assert service.executions() == []
    assert service.json("GET", "/control/faults")["active"][0]["name"] == "cut_peer"


@pytest.mark.parametrize(
    ("step", "states"),
    [("received", []), ("admitted", ["waiting"]), ("answered", ["finished"])],
)
def test_the_record_outlives_a_death_at_each_step(start, tmp_path, step, states):
    """A service dies while it works for a caller.

    Its memory is gone; only the file tells whether the call was run.
    """
    path = tmp_path / "record"
    service = start("service", "--record", str(path))
    service.fault("die_at", value=step)
    with pytest.raises(BROKEN):
        service.call("POST", "/book", "x", Idempotency_Key="k")
    assert service.process.wait(20) == 1
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [each["state"] for each in lines][-1:] == states
    assert {each["key"] for each in lines} <= {"k"}


def test_death_on_demand(start):
    platform = start("platform")
    platform.fault("die")
    assert platform.process.wait(20) == 1
