"""The load client against a stand-in engine and against broken answers."""

import contextlib
import re
import socket
import threading
import time

import pytest

from baobabwing.bench.answers import Verdict
from baobabwing.bench.arrivals import Lengths, Phase, Stream, draw_arrivals
from baobabwing.bench.control import answers_ok, clear_faults, get_json, set_fault
from baobabwing.bench.driver import Plan, drive, main, read_answers, write_plan
from baobabwing.bench.executions import by_request, merge_records
from baobabwing.bench.ports import free_port
from baobabwing.bench.processes import LOOPBACK, ProcessGroup
from baobabwing.bench.scenarios import BOOKING, CHAT_TURN, COLOUR_HISTORY
from baobabwing.bench.shapes import tijera
from baobabwing.bench.standin_arguments import engine_arguments, service_arguments

SHORT = Lengths(minimum=3, maximum=12)
SECONDS = 1.0
LOAD = 0.03


@pytest.fixture(scope="module")
def group(tmp_path_factory):
    with ProcessGroup(folder=tmp_path_factory.mktemp("standins")) as group:
        yield group


@pytest.fixture(scope="module")
def engine(group):
    listen = f"{LOOPBACK}:{free_port()}"
    arguments = engine_arguments(
        tijera().engines[2], listen=listen, models=["assistant-8b"]
    )
    return _start(group, "engine", arguments, listen)


@pytest.fixture(scope="module")
def service(group):
    listen = f"{LOOPBACK}:{free_port()}"
    arguments = service_arguments(tijera().services[0], listen=listen)
    return _start(group, "service", arguments, listen)


def _start(group, name, arguments, listen):
    group.start_python(name, ["-m", "baobabwing.cli.standin", *arguments[1:]])
    group.wait_ready(name, lambda: answers_ok(listen, "/control/parameters"))
    return listen


def _arrivals(work, *, load=LOAD, seconds=SECONDS):
    stream = Stream(work=work, phases=(Phase(start=0.0, end=1.0, load=load),))
    return draw_arrivals(tijera(), [stream], seed=3, seconds=seconds)


def _plan(node, arrivals, run="t"):
    return Plan(
        run=run,
        nodes=(node,),
        start_at=time.monotonic() + 0.05,
        seed=1,
        keys={},
        arrivals=tuple(arrivals),
        direct=True,
        pauses_s=(0.01,),
    )


def test_streams_of_an_engine_are_whole_and_timed(engine):
    arrivals = _arrivals(CHAT_TURN)
    answers = drive(_plan(engine, arrivals, run="chat"))
    assert len(answers) == len(arrivals) > 1
    assert {one.verdict for one in answers} == {Verdict.WHOLE}
    for answer in answers:
        tokens = arrivals[answer.index].output_tokens
        assert len(answer.gaps_ms) == tokens - 1
        assert arrivals[answer.index].at_s <= answer.sent_s
        assert answer.sent_s < answer.first_s <= answer.end_s


def test_service_calls_are_matched_with_the_service_own_record(service):
    arrivals = _arrivals(BOOKING, load=0.01)
    answers = drive(_plan(service, arrivals, run="book"))
    assert {one.verdict for one in answers} == {Verdict.WHOLE}
    record = get_json(service, "/control/record")["executions"]
    executed = by_request(answers, merge_records("service-1", record, epoch_s=0.0))
    assert {index: len(found) for index, found in executed.items()} == {
        arrival.index: 1 for arrival in arrivals
    }


def test_plan_and_answers_pass_through_files(engine, tmp_path):
    arrivals = _arrivals(COLOUR_HISTORY, load=0.2)
    plan_path, answers_path = tmp_path / "plan.json", tmp_path / "answers.json"
    write_plan(plan_path, _plan(engine, arrivals, run="file"))
    assert main([str(plan_path), str(answers_path)]) == 0
    answers = read_answers(answers_path)
    assert {one.index for one in answers} == {one.index for one in arrivals}
    assert {one.verdict for one in answers} == {Verdict.WHOLE}


def test_stream_cut_by_the_upstream_is_unknown(engine):
    """Guard against counting a truncated stream as served.

    The engine sends three correct tokens and closes the connection without the end
    marker, so the caller has only a part of the answer.
    """
    set_fault(engine, "cut_stream_after", value=3)
    try:
        arrivals = [one for one in _arrivals(CHAT_TURN) if one.output_tokens > 3]
        answers = drive(_plan(engine, arrivals, run="cut"))
    finally:
        clear_faults(engine)
    assert {one.verdict for one in answers} == {Verdict.UNKNOWN}


def test_refused_connection_is_an_error_and_sends_nothing():
    address = f"{LOOPBACK}:{free_port()}"
    arrivals = _arrivals(CHAT_TURN)[:2]
    answers = drive(_plan(address, arrivals))
    assert [one.verdict for one in answers] == [Verdict.ERROR, Verdict.ERROR]


def test_connection_closed_without_an_answer_is_unknown():
    """The outcome is unknown if a node dies after it has received the request."""
    with socket.create_server((LOOPBACK, 0)) as server:
        threading.Thread(target=_accept_and_close, args=(server,), daemon=True).start()
        address = f"{LOOPBACK}:{server.getsockname()[1]}"
        (answer,) = drive(_plan(address, _arrivals(CHAT_TURN)[:1]))
    assert answer.verdict is Verdict.UNKNOWN
    assert answer.code.startswith("broken_")


def test_caller_asks_again_with_the_same_key_after_a_break(engine):
    """Guard against a retry with a new key, which could run the request twice.

    The first connection is closed without an answer, as if the node died while it
    relayed one; the second connection reaches an engine.
    """
    received = bytearray()
    with socket.create_server((LOOPBACK, 0)) as server:
        address = f"{LOOPBACK}:{server.getsockname()[1]}"
        threading.Thread(
            target=_close_then_proxy, args=(server, engine, received), daemon=True
        ).start()
        (answer,) = drive(_plan(address, _arrivals(CHAT_TURN)[:1], run="again"))
    assert (answer.verdict, answer.tries) == (Verdict.WHOLE, 2)
    assert _idempotency_keys(received) == [answer.key, answer.key]


def _accept_and_close(server):
    while True:
        try:
            conn, _ = server.accept()
        except OSError:
            return
        with conn:
            conn.recv(65_536)


def _close_then_proxy(server, engine, received):
    conn, _ = server.accept()
    with conn:
        received += conn.recv(65_536)
    conn, _ = server.accept()
    host, _, port = engine.partition(":")
    with conn, socket.create_connection((host, int(port))) as upstream:
        conn.settimeout(0.2)
        with contextlib.suppress(TimeoutError):
            while data := conn.recv(65_536):
                received += data
                upstream.sendall(data)
        while data := upstream.recv(65_536):
            conn.sendall(data)


def _idempotency_keys(received):
    return re.findall(r"Idempotency-Key: (\S+)", received.decode())
