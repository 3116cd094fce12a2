"""Hosts and engines leave under load, over real processes."""

import time
from dataclasses import replace

import pytest
from pytest_bdd import given, scenarios, then, when

from baobabwing.bench.matrix.caller import Ending, Follower
from baobabwing.bench.matrix.oracle import judge, judge_leaving
from baobabwing.bench.matrix.scene import is_overfull
from baobabwing.pools.catalogue import UpstreamState

scenarios("leaving.feature")

FOLLOWERS = 5
BEFORE, AFTER = 20, 60
BOUND_S = 3.0
STOP_S = 30.0
ENGINE = "engine-1"


@pytest.fixture
def followers(trial):
    known = tuple(trial.site.nodes.values())
    credential = trial.site.shape.credential_key("pocitos", "chat")
    started = [
        Follower(known=known, credential=credential, seed=f"seed-{number}").start()
        for number in range(FOLLOWERS)
    ]
    yield started
    for one in started:
        one.stop()


def _told(followers):
    return [script for one in followers for script in one.transcripts]


def _ended(followers):
    return sum(script.ending is not None for script in _told(followers))


def _has_run(trial, engine):
    return any(one.upstream == engine for one in trial.executions())


@given("callers that follow the address answers", target_fixture="load")
def _load(trial, followers):
    # What is claimed of an engine is claimed of one that had work before: of twenty
    # answers none may come from it.
    trial.wait(lambda: _ended(followers) >= BEFORE and _has_run(trial, ENGINE))
    return followers


@when(
    "every host is stopped and started again, one after another",
    target_fixture="statuses",
)
def _restart_all(trial, load):
    statuses = []
    for name in trial.site.nodes:
        statuses.append(trial.site.group.stop(name, timeout_s=STOP_S))
        trial.site.heal()
    return statuses


@when("an operator marks an engine as leaving", target_fixture="since_s")
def _mark_leaving(trial, load):
    before = trial.site.accepted()

    def edit(cfg):
        return replace(
            cfg,
            upstreams=tuple(
                replace(one, state=UpstreamState.LEAVING) if one.name == ENGINE else one
                for one in cfg.upstreams
            ),
        )

    since_s = time.time()
    trial.site.change(edit)
    ended = _ended(load)
    trial.wait(lambda: time.time() > since_s + BOUND_S and _ended(load) > ended + AFTER)
    for one in load:
        one.stop()
    trial.site.change(lambda cfg: replace(cfg, upstreams=before.upstreams))
    return since_s


@when("an engine refuses all work from now on", target_fixture="since_s")
def _refuse(trial, load):
    trial.site.fault(ENGINE, "refuse")
    since_s = time.time()
    ended = _ended(load)
    trial.wait(lambda: _ended(load) > ended + AFTER)
    return since_s


@then("that engine was given nothing new after 3 seconds")
def _nothing_after(trial, since_s):
    runs = trial.executions()
    since = since_s - trial.epoch_s
    assert any(one.upstream == ENGINE for one in runs if one.started_s < since)
    assert not judge_leaving(runs, upstream=ENGINE, since_s=since, bound_s=BOUND_S)


@then("that engine ran nothing new")
def _ran_nothing(trial, since_s):
    since = since_s - trial.epoch_s
    runs = trial.executions()
    assert not judge_leaving(runs, upstream=ENGINE, since_s=since, bound_s=0.0)


@then("no caller saw a failed request")
def _none_failed(load):
    for one in load:
        one.stop()
    failed = [script for script in _told(load) if script.ending is not Ending.WHOLE]
    assert not failed


@then("every request ran at most once")
def _once(trial, load):
    assert not judge(_told(load), trial.executions(), epoch_s=trial.epoch_s)


@then("every stop ended with exit status 0")
def _exit_0(statuses):
    assert statuses == [0, 0, 0]


@given("a chat turn that streams from a host", target_fixture="streaming")
def _streaming(trial):
    return _begin(trial, tokens=200)


@given("a season draw that streams from a host", target_fixture="streaming")
def _long_streaming(trial):
    return _begin(trial, tokens=500)


@given(
    "a chat turn that waits at a host, with all engines busy",
    target_fixture="streaming",
)
def _waiting(trial, busy):
    # As long as what fills the engines, so that no place is left for it.
    job = trial.bound_job("node-1", deadline_ms=60_000, tokens=2_000)
    first = trial.begin(job, "node-1")
    trial.wait(lambda: trial.site.open_requests("node-1") == 1)
    assert not trial.executions(job)
    return job, first


@pytest.fixture
def busy(trial):
    tries = [
        trial.begin(trial.job(tokens=2_000, deadline_ms=60_000), "node-2")
        for _ in range(18)
    ]
    try:
        trial.wait(lambda: is_overfull(trial.site, "node-2", tries))
        yield tries
    finally:
        for one in tries:
            one.leave()
        assert trial.site.wait_idle(timeout_s=STOP_S)


@then('the caller is told "not run"')
def _told_not_run(streaming, busy):
    _, first = streaming
    assert first.wait().ending is Ending.NOT_RUN
    # Told at once, and not when the engines came free.
    assert all(len(one.transcript.words) < 2_000 for one in busy)


@then("it never ran")
def _never_ran(trial, streaming, busy):
    job, _ = streaming
    for one in busy:
        one.leave()
    assert trial.site.wait_idle(timeout_s=STOP_S)
    assert not trial.executions(job)


def _begin(trial, *, tokens):
    job = trial.bound_job("node-1", tokens=tokens)
    first = trial.begin(job, "node-1")
    assert first.wait_words(3)
    return job, first


@when("the host is told to stop")
def _stop(trial, streaming):
    trial.site.stop_node("node-1")


@when("the host is told to stop, twice")
def _stop_twice(trial, streaming):
    trial.site.stop_node("node-1")
    trial.wait(lambda: "node-1" not in trial.site.members("node-2"))
    trial.site.stop_node("node-1")


@then("the caller gets the whole answer from it")
def _whole(streaming):
    job, first = streaming
    script = first.wait()
    assert (script.ending, len(script.words)) == (Ending.WHOLE, job.tokens)


@then("the host ends with exit status 0")
def _ends(trial):
    assert trial.site.group.get("node-1").popen.wait(STOP_S) == 0


@then("the host ends before the draw does")
def _ends_early(trial, streaming):
    job, first = streaming
    trial.site.group.get("node-1").popen.wait(STOP_S)
    assert len(first.wait().words) < job.tokens


@then("the caller has the whole answer after a second try")
def _second_try(trial, streaming):
    job, first = streaming
    script = trial.caller.finish(job, first, trial.others("node-1"))
    assert script.ending is Ending.WHOLE
    assert len(trial.caller.words_of(job)) == job.tokens
    assert trial.breaches() == []
