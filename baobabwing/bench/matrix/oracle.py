"""The judge: what upstreams executed against what callers were told.

It knows nothing of the product but its promises. It takes the upstreams' own
records and the callers' transcripts, and says which promise was broken where.
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
    """A promise that was broken.

    :param promise: ``once``, ``not_run``, ``whole``, ``unasked`` or ``leaving``.
    """

    promise: str
    what: str


def judge(
    transcripts: Sequence[Transcript],
    executions: Iterable[Executed],
    *,
    epoch_s: float = 0.0,
) -> list[Breach]:
    """Return every broken promise.

    :param epoch_s: by what the transcripts' clock is ahead of the executions'.

    :param transcripts: of all tries, those that were cut off included.
    :param executions: of all upstreams, those that died included.
    """
    executed = list(executions)
    return [
        *_more_than_once(executed),
        *_false_not_run(transcripts, executed, epoch_s),
        *_wrong_answers(transcripts),
        *_unasked(transcripts, executed),
    ]


def judge_leaving(
    executions: Iterable[Executed], *, upstream: str, since_s: float, bound_s: float
) -> list[Breach]:
    """Return what a leaving upstream was given after the bound.

    :param since_s: when it began to leave, on the executions' clock.
    """
    return [
        Breach(promise="leaving", what=f"{one.attempt} at {one.started_s - since_s:g}")
        for one in executions
        if one.upstream == upstream and one.started_s > since_s + bound_s
    ]


def _more_than_once(executed: Sequence[Executed]) -> list[Breach]:
    counts: dict[str, int] = defaultdict(int)
    for one in executed:
        counts[f"key {one.key}" if one.key else f"request {_request_of(one)}"] += 1
    return [
        Breach(promise="once", what=f"{name} was executed {count} times")
        for name, count in counts.items()
        if count > 1
    ]


def _false_not_run(
    transcripts: Sequence[Transcript], executed: Sequence[Executed], epoch_s: float
) -> list[Breach]:
    """Find what ran although its caller was told that it did not and would not.

    What ran after that was told is right only if the caller tried again.
    """
    tries: dict[str, list[Transcript]] = defaultdict(list)
    runs: dict[str, list[Executed]] = defaultdict(list)
    for script in transcripts:
        tries[script.job.key].append(script)
    for one in executed:
        runs[one.key].append(one)
    breaches = []
    for script in transcripts:
        if script.ending is not Ending.NOT_RUN:
            continue
        told_s = script.ended_s - epoch_s
        key = script.job.key
        again = any(one.sent_s >= script.ended_s for one in tries[key] if key)
        request = script.request_id.split(".")[0]
        if any(
            (key and (one.started_s <= told_s or not again))
            or (request and _request_of(one) == request)
            for one in (runs[key] if key else executed)
        ):
            what = f"{key or request}: {script.error.get('code')}"
            breaches.append(Breach(promise="not_run", what=what))
    return breaches


def _wrong_answers(transcripts: Sequence[Transcript]) -> list[Breach]:
    breaches = []
    for script in transcripts:
        right = _is_right_booking if script.job.service else _is_right_chat
        if not right(script):
            what = f"{script.job.text[:40]!r}: {script.ending}, {len(script.words)}"
            breaches.append(Breach(promise="whole", what=what))
    return breaches


def _unasked(
    transcripts: Sequence[Transcript], executed: Sequence[Executed]
) -> list[Breach]:
    """Find executions that no caller asked for.

    To a plain service everything is a call; a look at its state or a second
    request on behalf of one that is over would run it.
    """
    keys = {script.job.key for script in transcripts}
    return [
        Breach(promise="unasked", what=f"{one.upstream}: {one.attempt}")
        for one in executed
        if one.key not in keys
    ]


def _is_right_chat(script: Transcript) -> bool:
    expected = [token(script.job.text, index) for index in range(script.job.tokens)]
    expected = expected[script.first :]
    if script.ending is Ending.WHOLE:
        return script.words == expected
    return script.words == expected[: len(script.words)]


def _is_right_booking(script: Transcript) -> bool:
    if script.ending is not Ending.WHOLE:
        return not script.words
    echo = script.document.get("echo", "")
    same_key = script.document.get("key") == script.job.key
    return same_key and json.loads(echo) == {"text": script.job.text}


def _request_of(one: Executed) -> str:
    """Return the request that an attempt belongs to."""
    return one.attempt.split(".")[0]
