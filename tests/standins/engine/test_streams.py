import json
import socket

import pytest
import urllib3

from baobabwing.standins.output import text

CHAT = "/v1/chat/completions"


def chat(content, *, max_tokens, stream=True):
    return {
        "model": "m",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    }


def read_events(answer):
    return parse_events(answer.data)


def parse_events(body):
    """Return the ids of the events, their joined text and whether the stream ended."""
    numbers, pieces, done = [], [], False
    for block in body.decode().split("\n\n"):
        if block == "data: [DONE]":
            done = True
        elif block:
            number, data = block.split("\n")
            numbers.append(int(number.removeprefix("id: ")))
            chunk = json.loads(data.removeprefix("data: "))
            pieces.append(chunk["choices"][0]["delta"]["content"])
    return numbers, "".join(pieces), done


@pytest.fixture
def engine(start):
    return start("engine", "--model", "m", "--step-ms", "2")


def test_streamed_and_plain_answers_hold_the_text_determined_by_the_prompt(engine):
    streamed = engine.call("POST", CHAT, chat("book a cut", max_tokens=30))
    whole = engine.json("POST", CHAT, chat("book a cut", max_tokens=30, stream=False))
    expected = text("book a cut", 30)
    assert read_events(streamed) == (list(range(30)), expected, True)
    assert whole["choices"][0]["message"]["content"] == expected
    assert whole["usage"]["completion_tokens"] == 30


def test_attempts_are_echoed_and_recorded(engine):
    answer = engine.call(
        "POST",
        CHAT,
        chat("hello there", max_tokens=3),
        X_Request_Id="a-1",
        Idempotency_Key="k-1",
    )
    assert answer.headers["X-Request-Id"] == "a-1"
    assert '"id":"a-1"' in answer.data.decode()
    (execution,) = engine.executions()
    assert (execution["attempt"], execution["key"]) == ("a-1", "k-1")
    assert (execution["prompt_tokens"], execution["output_tokens"]) == (2, 3)
    assert execution["state"] == "finished"


def test_a_repeated_attempt_is_run_and_recorded_again(engine):
    for _ in range(2):
        engine.call("POST", CHAT, chat("hello", max_tokens=2), X_Request_Id="a-1")
    assert [execution["attempt"] for execution in engine.executions()] == ["a-1", "a-1"]


def test_a_cut_stream_keeps_running_and_is_resumed_at_its_offset(engine):
    """A caller's answer breaks off before its end.

    The connection between node and engine is cut after 10 tokens. The engine keeps
    producing tokens, and the node resumes from the last event id it received.
    """
    engine.fault("cut_stream_after", value=10, count=1)
    broken = engine.open(CHAT, chat("draw", max_tokens=60), X_Request_Id="a-1")
    received = b""
    with pytest.raises(urllib3.exceptions.ProtocolError):
        for piece in broken.stream(1024):
            received += piece
    assert received.decode().count("id: ") == 10
    rest = engine.call("GET", "/v1/streams/a-1", Last_Event_ID="9")
    numbers, pieces, done = read_events(rest)
    assert (numbers, done) == (list(range(10, 60)), True)
    assert pieces == " " + text("draw", 60).split(" ", 10)[10]
    assert len(engine.executions()) == 1


def test_a_disconnected_caller_does_not_stop_its_stream(engine, until):
    """A node crashes while an engine runs a request for it.

    The connection closes without a cancel. The engine keeps running the request, so
    that the node that takes over finds the whole output.
    """
    body = json.dumps(chat("draw", max_tokens=80)).encode()
    host, port = engine.address.split(":")
    with socket.create_connection((host, int(port))) as sock:
        head = f"POST {CHAT} HTTP/1.1\r\nHost: e\r\nX-Request-Id: a-1\r\n"
        sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        sock.recv(1)
    until(lambda: engine.states() == ["finished"])
    whole = engine.call("GET", "/v1/streams/a-1")
    assert read_events(whole) == (list(range(80)), text("draw", 80), True)


def test_an_unknown_stream_is_not_found_and_its_cancel_ignored(engine):
    assert engine.call("GET", "/v1/streams/none").status == 404
    assert engine.call("DELETE", "/v1/streams/none").status == 204


def test_finished_output_expires(start, until):
    engine = start("engine", "--model", "m", "--keep-s", "0.05")
    engine.call("POST", CHAT, chat("hello", max_tokens=1), X_Request_Id="a-1")
    until(lambda: engine.call("GET", "/v1/streams/a-1").status == 404)


def test_cancel_ends_a_stream_early(engine, until):
    answer = engine.open(CHAT, chat("long", max_tokens=9000), X_Request_Id="a-1")
    assert engine.call("DELETE", "/v1/streams/a-1").status == 204
    (execution,) = engine.executions()
    assert execution["state"] == "cancelled"
    assert execution["output_tokens"] < 9000
    with pytest.raises(urllib3.exceptions.ProtocolError):
        assert answer.read()


def test_a_slow_reader_gets_everything_and_delays_no_other_stream(start, until):
    """A caller that does not read delays the streams of other callers.

    The connection's buffers fill, so the engine's loop cannot write to it. If the
    loop blocked on the write, all other streams of the batch would stall.
    """
    engine = start(
        "engine", "--model", "m", "--step-ms", "0.01", "--step-ms-per-sequence", "0"
    )
    conn = engine.begin(CHAT, chat("slow", max_tokens=32_000))
    until(lambda: engine.states() == ["running"])
    quick = engine.call("POST", CHAT, chat("quick", max_tokens=20))
    assert read_events(quick)[2]
    until(lambda: engine.states() == ["finished", "finished"])
    numbers, pieces, done = parse_events(conn.getresponse().read())
    assert (numbers, done) == (list(range(32_000)), True)
    assert pieces == text("slow", 32_000)
    conn.close()


@pytest.mark.parametrize(
    "document",
    [
        {"model": "m"},
        {"model": "m", "messages": []},
        {"model": "m", "messages": [{"role": "user"}]},
        {**chat("x", max_tokens=0)},
        {**chat("x", max_tokens=True)},
        {**chat("x", max_tokens=10**9)},
    ],
)
def test_a_malformed_request_is_refused_and_not_run(engine, document):
    assert engine.call("POST", CHAT, document).status == 400
    assert engine.executions() == []
