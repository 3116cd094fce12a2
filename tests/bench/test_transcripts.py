"""An answer counts as whole only if it is complete and belongs to the request."""

import json

import pytest

from baobabwing.bench.answers import Verdict
from baobabwing.bench.arrivals import Arrival, Form, prompt_text
from baobabwing.bench.transcripts import Piece, judge_stream, judge_whole, service_body
from baobabwing.standins.output import text

OUTPUT_TOKENS = 6


def _arrival(index=4, form=Form.CHAT):
    return Arrival(
        index=index,
        at_s=0.0,
        work="chat-turn",
        tier="chat",
        rank=1,
        organisation="salto",
        pool="assistant",
        target="assistant-8b",
        form=form,
        group=0,
        shared_tokens=3,
        own_tokens=2,
        output_tokens=OUTPUT_TOKENS,
        stream=True,
        non_idempotent=False,
        own_key=False,
        deadline_ms=1_000,
    )


def _events(words):
    chunks = [{"choices": [{"delta": {"content": word}}]} for word in words]
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, json.dumps(chunk).encode())
        for number, chunk in enumerate(chunks)
    )


def _words(arrival):
    words = text(prompt_text(arrival), arrival.output_tokens).split()
    return [words[0], *(f" {word}" for word in words[1:])]


def _judge(data):
    return judge_stream(_arrival(), [Piece(at_s=1.0, data=data)])


DONE = b"data: [DONE]\n\n"


def test_whole_stream_is_whole_however_it_is_cut_into_pieces():
    data = _events(_words(_arrival())) + DONE
    for size in (1, 7, len(data)):
        pieces = [
            Piece(at_s=float(start), data=data[start : start + size])
            for start in range(0, len(data), size)
        ]
        judgement = judge_stream(_arrival(), pieces)
        assert judgement.verdict is Verdict.WHOLE
        assert len(judgement.token_times) == OUTPUT_TOKENS


def test_stream_without_its_end_marker_is_unknown():
    assert _judge(_events(_words(_arrival()))).verdict is Verdict.UNKNOWN


def test_stream_that_ends_early_with_an_end_marker_is_wrong():
    """Guard against presenting a truncated answer to the caller as complete."""
    assert _judge(_events(_words(_arrival())[:-1]) + DONE).verdict is Verdict.WRONG


def test_stream_that_repeats_a_token_is_wrong():
    """Guard against resuming a stream one token too early, which repeats a word."""
    words = _words(_arrival())
    assert _judge(_events([*words[:3], *words[2:]]) + DONE).verdict is Verdict.WRONG


@pytest.mark.parametrize("end", [b"", DONE])
def test_answer_of_another_request_is_wrong(end):
    other = _words(_arrival(index=5))
    assert _judge(_events(other) + end).verdict is Verdict.WRONG


@pytest.mark.parametrize(
    ("outcome", "verdict"),
    [
        ("not_run", Verdict.SHED),
        ("unknown", Verdict.UNKNOWN),
        ("partial", Verdict.UNKNOWN),
        ("", Verdict.ERROR),
    ],
)
def test_errors_are_judged_by_the_outcome_that_the_system_told(outcome, verdict):
    error = {"error": {"code": "some_code", "outcome": outcome, "message": ""}}
    judgement = judge_whole(_arrival(), 503, json.dumps(error).encode())
    assert (judgement.verdict, judgement.code) == (verdict, "some_code")
    event = b"data: %s\n\n" % json.dumps(error).encode()
    assert _judge(_events(_words(_arrival())[:2]) + event).verdict is verdict


def test_echo_of_a_service_must_be_the_call_own():
    arrival = _arrival(form=Form.SERVICE)
    right = {"echo": json.dumps(service_body(arrival))}
    other = {"echo": json.dumps(service_body(_arrival(index=9, form=Form.SERVICE)))}
    assert judge_whole(arrival, 200, json.dumps(right).encode()).verdict == "whole"
    assert judge_whole(arrival, 200, json.dumps(other).encode()).verdict == "wrong"


def test_body_cut_short_is_unknown():
    assert judge_whole(_arrival(), 200, b'{"choices": [').verdict is Verdict.UNKNOWN
