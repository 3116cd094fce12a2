"""The oracle detects each kind of violation and reports no false ones."""

import json

from baobabwing.bench.executions import Executed
from baobabwing.bench.matrix.caller import Ending, Job, Transcript
from baobabwing.bench.matrix.oracle import judge, judge_leaving
from baobabwing.standins.output import token

JOB = Job(text="a cut", key="k", tokens=4)
BOOKING = Job(text="a cut", key="b", service=True)
WORDS = [token("a cut", index) for index in range(4)]


def _script(ending, words=(), *, job=JOB, **fields):
    return Transcript(job=job, address="n", ending=ending, words=list(words), **fields)


def _ran(key="k", attempt="r.e1", upstream="e1", started_s=0.0):
    return Executed(
        upstream=upstream,
        attempt=attempt,
        key=key,
        prompt_tokens=1,
        cached_tokens=0,
        prefilled_tokens=1,
        output_tokens=4,
        state="finished",
        started_s=started_s,
        finished_s=1.0,
    )


def _promises(scripts, executed):
    asked = [_script(Ending.UNKNOWN), *scripts]
    return [one.promise for one in judge(asked, executed)]


def test_nothing_broken():
    scripts = [
        _script(Ending.BROKEN, WORDS[:2]),
        _script(Ending.WHOLE, WORDS[2:], first=2),
        _script(Ending.NOT_RUN, job=Job(text="x", key="other")),
        _script(Ending.UNKNOWN),
    ]
    assert _promises(scripts, [_ran()]) == []


def test_two_executions_of_a_key():
    assert _promises([], [_ran(), _ran(attempt="r2.e2", upstream="e2")]) == ["once"]


def test_two_executions_of_one_attempt():
    assert _promises([], [_ran(), _ran()]) == ["once"]


def test_two_executions_of_a_request_without_a_key():
    ran = [_ran("", "r.e1"), _ran("", "r.e2", "e2")]
    assert _promises([_script(Ending.UNKNOWN, job=Job(text="x"))], ran) == ["once"]


def test_false_not_run():
    assert _promises([_script(Ending.NOT_RUN)], [_ran()]) == ["not_run"]
    keyless = _script(Ending.NOT_RUN, job=Job(text="x"), request_id="r")
    assert _promises([keyless], [_ran("", "r.e1")]) == ["not_run"]


def test_not_run_and_then_tried_again():
    told = _script(Ending.NOT_RUN, sent_s=1.0, ended_s=2.0)
    again = _script(Ending.WHOLE, WORDS, sent_s=3.0, ended_s=5.0)
    assert _promises([told, again], [_ran(started_s=4.0)]) == []
    assert _promises([told, again], [_ran(started_s=1.5)]) == ["not_run"]
    assert _promises([told], [_ran(started_s=4.0)]) == ["not_run"]


def test_answers_that_are_not_the_engines():
    swapped = [WORDS[1], WORDS[0], *WORDS[2:]]
    cases = (
        _script(Ending.WHOLE, WORDS[:3]),
        _script(Ending.WHOLE, [*WORDS, WORDS[0]]),
        _script(Ending.WHOLE, swapped),
        _script(Ending.BROKEN, WORDS[1:2]),
        _script(Ending.PARTIAL, ["other"]),
        _script(Ending.WHOLE, WORDS, first=1),
    )
    for script in cases:
        assert _promises([script], []) == ["whole"], script


def test_booking_of_another():
    for document in (
        {"key": "other", "echo": json.dumps({"text": "a cut"})},
        {"key": "b", "echo": json.dumps({"text": "a shave"})},
    ):
        script = _script(Ending.WHOLE, job=BOOKING, document=document)
        assert _promises([script], []) == ["whole"]
    right = {"key": "b", "echo": json.dumps({"text": "a cut"})}
    assert _promises([_script(Ending.WHOLE, job=BOOKING, document=right)], []) == []


def test_execution_that_nobody_asked_for():
    assert _promises([_script(Ending.WHOLE, WORDS)], [_ran(), _ran("")]) == ["unasked"]


def test_work_for_a_leaving_upstream():
    ran = [_ran(started_s=4.0), _ran(started_s=4.2), _ran(upstream="e2", started_s=9.0)]
    found = judge_leaving(ran, upstream="e1", since_s=1.0, bound_s=3.1)
    assert len(found) == 1
