"""Test oracle that compares the upstreams' executions with the callers' transcripts.

It depends only on the guarantees of the product and not on its implementation, and
reports every violated guarantee.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from baobabwing.bench.executions import Executed
from baobabwing.bench.matrix.caller import Ending, Transcript
from baobabwing.standins.output import token

__all__ = ["Breach", "judge", "judge_leaving"]


@dataclass(frozen=True, kw_only=True)
class Breach:
    """Violation of a guarantee.

    :param promise: violated guarantee: ``once``, ``not_run``, ``whole``, ``unasked``
        or ``leaving``.
    :param what: details of the violation.
    """

    promise: str
    what: str


def judge(
    transcripts: Sequence[Transcript],
    executions: Iterable[Executed],
    *,
    epoch_s: float = 0.0,
) -> list[Breach]:
    """Return all violations.

    :param transcripts: transcripts of all attempts, including interrupted ones.
    :param executions: executions of all upstreams, including killed ones.
    :param epoch_s: offset of the transcripts' clock from that of the executions.
    """
    executed = list(executions)
    return [
        *_duplicate_executions(executed),
        *_false_not_run(transcripts, executed, epoch_s),
        *_wrong_answers(transcripts),
        *_unrequested_executions(transcripts, executed),
    ]


def judge_leaving(
    executions: Iterable[Executed], *, upstream: str, since_s: float, bound_s: float
) -> list[Breach]:
    """Return the executions that a leaving upstream started after the time bound.

    :param since_s: when the upstream started to leave, on the executions' clock.
    :param bound_s: time after which it must not receive further requests.
    """
    return [
        Breach(
            promise="leaving",
            what=f"{execution.attempt} at {execution.started_s - since_s:g}",
        )
        for execution in executions
        if execution.upstream == upstream and execution.started_s > since_s + bound_s
    ]


def _duplicate_executions(executed: Sequence[Executed]) -> list[Breach]:
    counts: dict[str, int] = defaultdict(int)
    for execution in executed:
        counts[
            f"key {execution.key}"
            if execution.key
            else f"request {_request_id_of(execution)}"
        ] += 1
    return [
        Breach(promise="once", what=f"{name} was executed {count} times")
        for name, count in counts.items()
        if count > 1
    ]


def _false_not_run(
    transcripts: Sequence[Transcript], executed: Sequence[Executed], epoch_s: float
) -> list[Breach]:
    """Find requests that ran although their caller was told "not run".

    An execution that starts after this answer is valid only if the caller retried.
    """
    attempts: dict[str, list[Transcript]] = defaultdict(list)
    runs: dict[str, list[Executed]] = defaultdict(list)
    for transcript in transcripts:
        attempts[transcript.job.key].append(transcript)
    for execution in executed:
        runs[execution.key].append(execution)
    breaches = []
    for transcript in transcripts:
        if transcript.ending is not Ending.NOT_RUN:
            continue
        answered_s = transcript.ended_s - epoch_s
        key = transcript.job.key
        retried = any(
            attempt.sent_s >= transcript.ended_s for attempt in attempts[key] if key
        )
        request = transcript.request_id.split(".")[0]
        if any(
            (key and (execution.started_s <= answered_s or not retried))
            or (request and _request_id_of(execution) == request)
            for execution in (runs[key] if key else executed)
        ):
            what = f"{key or request}: {transcript.error.get('code')}"
            breaches.append(Breach(promise="not_run", what=what))
    return breaches


def _wrong_answers(transcripts: Sequence[Transcript]) -> list[Breach]:
    breaches = []
    for transcript in transcripts:
        is_correct = _is_correct_booking if transcript.job.service else _is_correct_chat
        if not is_correct(transcript):
            what = (
                f"{transcript.job.text[:40]!r}: {transcript.ending},"
                f" {len(transcript.words)}"
            )
            breaches.append(Breach(promise="whole", what=what))
    return breaches


def _unrequested_executions(
    transcripts: Sequence[Transcript], executed: Sequence[Executed]
) -> list[Breach]:
    """Find executions that no caller requested.

    A plain service executes every call, so a status query or a repeated call on
    behalf of a finished request would be an execution too.
    """
    keys = {transcript.job.key for transcript in transcripts}
    return [
        Breach(promise="unasked", what=f"{execution.upstream}: {execution.attempt}")
        for execution in executed
        if execution.key not in keys
    ]


def _is_correct_chat(transcript: Transcript) -> bool:
    expected = [
        token(transcript.job.text, index) for index in range(transcript.job.tokens)
    ]
    expected = expected[transcript.first :]
    if transcript.ending is Ending.WHOLE:
        return transcript.words == expected
    return transcript.words == expected[: len(transcript.words)]


def _is_correct_booking(transcript: Transcript) -> bool:
    if transcript.ending is not Ending.WHOLE:
        return not transcript.words
    echo = transcript.document.get("echo", "")
    same_key = transcript.document.get("key") == transcript.job.key
    return same_key and json.loads(echo) == {"text": transcript.job.text}


def _request_id_of(execution: Executed) -> str:
    """Return the id of the request that an attempt belongs to."""
    return execution.attempt.split(".")[0]
