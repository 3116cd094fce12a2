"""Scenarios of outcomes under faults, over real processes."""

import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabwing.bench.matrix.caller import Ending
from baobabwing.bench.matrix.oracle import judge
from baobabwing.bench.matrix.scene import Scene, get_step
from baobabwing.bench.matrix.strikes import get_strike

scenarios("outcomes.feature")

ENDINGS = {
    "the whole answer": {Ending.WHOLE},
    '"not run"': {Ending.NOT_RUN},
    '"unknown"': {Ending.UNKNOWN},
    'a part or "unknown"': {Ending.PARTIAL, Ending.UNKNOWN},
    "the truth": {Ending.WHOLE, Ending.NOT_RUN, Ending.UNKNOWN, Ending.PARTIAL},
}
IDLE_S = 20.0


def _scene(trial, **kind):
    return Scene(
        site=trial.site,
        caller=trial.caller,
        epoch_s=time.time(),
        strike=get_strike("nothing"),
        **kind,
    )


@given("a chat turn with a key that is bound to its host", target_fixture="scene")
def _chat_turn(trial):
    return _scene(trial, service=False, own_key=False)


@given("a booking with a key that is bound to its host", target_fixture="scene")
def _bound_booking(trial):
    return _scene(trial, service=True, own_key=False)


@given("a booking with a key of the caller's own", target_fixture="scene")
def _own_booking(trial):
    return _scene(trial, service=True, own_key=True)


@when(
    parsers.re(
        r"(?P<fault>.+) (?P<step>(before|while|at|after) "
        r"(it arrives|it is queued|its dispatch|it streams( at length)?|its answer))$"
    )
)
def _strike(scene, fault, step):
    scene.strike = get_strike(fault)
    get_step(step)(scene)


@when("the caller tries again at other hosts", target_fixture="last")
def _try_again(scene):
    return scene.try_again()


@pytest.fixture
def breaches(scene):
    """What the judge finds once nothing runs any more."""
    scene.recover()
    assert scene.site.wait_idle(timeout_s=IDLE_S)
    return judge(
        scene.caller.transcripts, scene.all_executions(), epoch_s=scene.epoch_s
    )


def _of(breaches, promise):
    return [one for one in breaches if one.promise == promise]


@then("it ran at most once")
def _ran_once(breaches):
    assert not _of(breaches, "once")
    assert not _of(breaches, "unasked")


@then('nobody was told "not run" of what ran')
def _no_false_not_run(breaches):
    assert not _of(breaches, "not_run")


@then(parsers.re(r"every answer is the (engine|service)'s own, .*"))
def _right_answers(breaches):
    assert not _of(breaches, "whole")


@then(parsers.parse("the caller has at last {ending}"))
def _has_at_last(scene, last, ending):
    assert last.ending in ENDINGS[ending], last
    if last.ending is Ending.WHOLE and not last.job.service:
        assert len(scene.caller.words_of(last.job)) == last.job.tokens
