"""Verification of received answers against the expected output of their requests."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass

from baobabwing.bench.answers import Verdict
from baobabwing.bench.arrivals import Arrival, Form, prompt_text
from baobabwing.requests.outcome import Outcome
from baobabwing.standins.output import text

__all__ = ["Judgement", "Piece", "judge_stream", "judge_whole", "service_body"]

EVENT_END = b"\n\n"
DATA_PREFIX = b"data:"
END_MARKER = b"[DONE]"
OK_STATUS = 200
FIRST_ERROR_STATUS = 400
MS_PER_S = 1_000.0


@dataclass(frozen=True, kw_only=True)
class Piece:
    """Bytes returned by one read, with its time in seconds from the run's start."""

    at_s: float
    data: bytes


@dataclass(frozen=True, kw_only=True)
class Judgement:
    """Result of verifying an answer.

    :param code: error code, empty if the answer is correct.
    :param token_times: arrival time of each token of a stream.
    """

    verdict: Verdict
    code: str = ""
    token_times: tuple[float, ...] = ()


def service_body(arrival: Arrival) -> dict[str, object]:
    """Return the request body of a call to a plain service."""
    return {"request": arrival.index, "work": arrival.work}


def judge_whole(arrival: Arrival, status: int, body: bytes) -> Judgement:
    """Verify an answer that is not streamed, or an error response."""
    try:
        document = json.loads(body)
    except ValueError:
        return Judgement(verdict=_verdict_of_invalid_json(status), code="not_json")
    if status >= FIRST_ERROR_STATUS:
        return _judge_error(document)
    if arrival.form is Form.SERVICE:
        is_correct = _extract_echo(document) == service_body(arrival)
    else:
        is_correct = _extract_text(document) == _expected_text(arrival)
    if is_correct:
        return Judgement(verdict=Verdict.WHOLE)
    return Judgement(verdict=Verdict.WRONG, code="other_text")


def judge_stream(arrival: Arrival, pieces: Sequence[Piece]) -> Judgement:
    """Verify a stream of server-sent events.

    A stream that breaks off with a correct prefix is unknown rather than wrong.
    """
    words: list[str] = []
    times: list[float] = []
    for at_s, data in _events(pieces):
        if data == END_MARKER:
            return _judge_complete_text(arrival, "".join(words), times)
        document = json.loads(data)
        if "error" in document:
            return _with_times(_judge_error(document), times)
        piece = _extract_text(document)
        if piece:
            words.append(piece)
            times.append(at_s)
    return _judge_truncated_text(arrival, "".join(words), times)


def _judge_complete_text(
    arrival: Arrival, received: str, times: list[float]
) -> Judgement:
    if received.split() == _expected_text(arrival).split():
        return Judgement(verdict=Verdict.WHOLE, token_times=tuple(times))
    return Judgement(verdict=Verdict.WRONG, code="other_text", token_times=tuple(times))


def _judge_truncated_text(
    arrival: Arrival, received: str, times: list[float]
) -> Judgement:
    words = received.split()
    if words == _expected_text(arrival).split()[: len(words)]:
        code, verdict = "broken_stream", Verdict.UNKNOWN
    else:
        code, verdict = "other_text", Verdict.WRONG
    return Judgement(verdict=verdict, code=code, token_times=tuple(times))


def _judge_error(document: object) -> Judgement:
    error = document.get("error") if isinstance(document, dict) else None
    if not isinstance(error, dict):
        return Judgement(verdict=Verdict.ERROR, code="no_error_object")
    code = str(error.get("code", ""))
    outcome = error.get("outcome")
    if outcome == Outcome.NOT_RUN:
        return Judgement(verdict=Verdict.SHED, code=code)
    if outcome in (Outcome.UNKNOWN, Outcome.PARTIAL):
        return Judgement(verdict=Verdict.UNKNOWN, code=code)
    return Judgement(verdict=Verdict.ERROR, code=code)


def _with_times(judgement: Judgement, times: list[float]) -> Judgement:
    return Judgement(
        verdict=judgement.verdict, code=judgement.code, token_times=tuple(times)
    )


def _verdict_of_invalid_json(status: int) -> Verdict:
    return Verdict.UNKNOWN if status == OK_STATUS else Verdict.ERROR


def _expected_text(arrival: Arrival) -> str:
    return text(prompt_text(arrival), arrival.output_tokens)


def _extract_text(document: dict) -> str:
    choices = document.get("choices") or [{}]
    choice = choices[0]
    part = choice.get("delta") or choice.get("message") or {}
    return part.get("content") or choice.get("text") or ""


def _extract_echo(document: dict) -> object:
    echo = document.get("echo")
    if not isinstance(echo, str):
        return echo
    try:
        return json.loads(echo)
    except ValueError:
        return echo


def _events(pieces: Sequence[Piece]) -> list[tuple[float, bytes]]:
    """Return the data of each complete event with the arrival time of its end."""
    events = []
    remainder = b""
    for piece in pieces:
        *complete_events, remainder = (remainder + piece.data).split(EVENT_END)
        for event in complete_events:
            for line in event.split(b"\n"):
                if line.startswith(DATA_PREFIX):
                    data = line.removeprefix(DATA_PREFIX).strip()
                    events.append((piece.at_s, data))
    return events
