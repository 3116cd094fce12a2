"""Phases of a rollout, its exposure budget and the upstreams of its requests."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.gateway.decisions.rollouts import Rollout, RolloutPhase, next_phase
from baobabwing.gateway.decisions.version_evidence import (
    TIME_CLASSES,
    Aspect,
    EvidenceBook,
    SeriesCounts,
    SeriesKey,
)
from baobabwing.gateway.model import RolloutOrder, UpstreamEntry
from baobabwing.gateway.settings import RolloutSettings

SHARE, SLACK = 0.1, 50.0
DURATION_S = 12.0
ROUTE = 5


def make_rollout(seed=1, slack=SLACK):
    order = RolloutOrder(pool="p", number=3, version="v2", duration_s=DURATION_S)
    budget = RolloutSettings(share=SHARE, slack=slack, stop_s=5.0)
    return Rollout(order=order, settings=budget, rng=random.Random(seed), now=0.0)


def upstream(number, version):
    return UpstreamEntry(
        instance=f"{version}-{number}", pool="p", address="", version=version
    )


OLD = [upstream(n, "v1") for n in range(10)]
NEW = [upstream(n, "v2") for n in range(10)]


@pytest.mark.parametrize(
    ("phase", "served"),
    [
        (RolloutPhase.CANARY, {"v1", "v0"}),
        (RolloutPhase.PROMOTED, {"v2"}),
        (RolloutPhase.ROLLED_BACK, {"v1", "v0"}),
        (RolloutPhase.DONE, {"v2"}),
    ],
)
def test_requests_go_to_the_versions_of_the_phase(phase, served):
    rollout = make_rollout()
    entries = [upstream(1, "v0"), upstream(1, "v1"), upstream(1, "v2")]
    rollout.list_versions(entries)
    rollout.advance(phase, 1.0)
    assert {one.version for one in entries if rollout.serves(one)} == served


def test_version_that_comes_after_the_rollout_is_served():
    rollout = make_rollout()
    rollout.list_versions([*OLD, *NEW])
    rollout.advance(RolloutPhase.DONE, 1.0)
    later = upstream(1, "v3")
    rollout.list_versions([*NEW, later])
    assert rollout.serves(later)
    assert not rollout.serves(OLD[0])


@given(phases=st.lists(st.sampled_from(RolloutPhase), max_size=6))
def test_order_of_reports_does_not_change_the_phase(phases):
    rollout = make_rollout()
    for phase in phases:
        rollout.hear(phase, 0.0, 1.0)
    assert rollout.phase is max(phases, default=RolloutPhase.CANARY)


def test_node_that_hears_no_decider_sends_no_canary_requests():
    rollout = make_rollout()
    rollout.sent("r", is_new=False)
    draws = {True: 0, False: 0}
    for _ in range(200):
        draws[rollout.draw("r", 0.0, nodes=1)] += 1
    assert draws[True] == 0
    rollout.hear(RolloutPhase.CANARY, 0.0, 0.0)
    assert any(rollout.draw("r", 0.1, nodes=1) for _ in range(200))
    assert not any(rollout.draw("r", 2.1, nodes=1) for _ in range(200))


@settings(max_examples=30, deadline=None, derandomize=True)
@given(
    nodes=st.sampled_from([1, 2, 58, 195]),
    requests=st.integers(0, 4000),
    restarts=st.integers(0, 8),
    seed=st.integers(0, 1000),
)
def test_canary_requests_of_all_nodes_stay_within_the_budget(
    nodes, requests, restarts, seed
):
    """Nodes hear nothing of each other's requests, and some start anew meanwhile."""
    rng = random.Random(seed)
    rollouts = [make_rollout(seed * 1000 + n) for n in range(nodes)]
    for rollout in rollouts:
        rollout.hear(RolloutPhase.CANARY, 0.0, 0.0)
    restart_at = {rng.randrange(max(requests, 1)) for _ in range(restarts)}
    exposed = 0
    for number in range(requests):
        index = rng.randrange(nodes)
        if number in restart_at:
            rollouts[index] = make_rollout(seed * 1000 + nodes + number)
            rollouts[index].hear(RolloutPhase.CANARY, 0.0, 0.0)
        route = rng.choice("aab")
        new = rollouts[index].draw(route, 1.0, nodes=nodes)
        rollouts[index].sent(route, is_new=new)
        exposed += new
    assert exposed <= SHARE * requests + SLACK


def test_routes_with_few_requests_get_canary_requests_too():
    rollout, exposed = make_rollout(), {"many": 0, "few": 0}
    rollout.hear(RolloutPhase.CANARY, 0.0, 0.0)
    for number in range(2000):
        route = "few" if number % 20 == 0 else "many"
        new = rollout.draw(route, 1.0, nodes=1)
        rollout.sent(route, is_new=new)
        exposed[route] += new
    assert exposed["few"] >= 0.5 * exposed["many"]


def test_each_new_upstream_gets_canary_requests_in_turn():
    rollout, used = make_rollout(), set()
    for second in range(10):
        now = rollout.canary_instances([*OLD, *NEW], second + 0.5)
        assert len(now) == 1
        used |= now
    assert used == {one.instance for one in NEW}


def evidence(bad=0, good=0):
    """Return evidence with 200 good answers of the old version."""
    book = EvidenceBook()
    for new, failed, answered in ((False, 0, 200), (True, bad, good)):
        key = SeriesKey(route=ROUTE, aspect=Aspect.ANSWER, new=new)
        times = (0,) * 10 + (answered,) + (0,) * (TIME_CLASSES - 11)
        book.hear(1, [SeriesCounts(key=key, failed=failed, times=times)])
    return book


@pytest.mark.parametrize(
    ("now", "bad", "good", "majority", "phase"),
    [
        (1.0, 0, 100, True, RolloutPhase.CANARY),
        (1.0, 20, 20, True, RolloutPhase.ROLLED_BACK),
        (1.0, 20, 20, False, RolloutPhase.ROLLED_BACK),
        (9.8, 0, 100, True, RolloutPhase.PROMOTED),
        (9.8, 0, 100, False, RolloutPhase.CANARY),
        (9.8, 0, 5, True, RolloutPhase.CANARY),
        (11.0, 0, 5, True, RolloutPhase.PROMOTED),
        (11.0, 0, 0, True, RolloutPhase.ROLLED_BACK),
        (11.0, 0, 0, False, RolloutPhase.CANARY),
        (9.8, 4, 4, True, RolloutPhase.CANARY),
        (11.0, 6, 4, True, RolloutPhase.ROLLED_BACK),
    ],
)
def test_phase_follows_from_evidence_and_time(now, bad, good, majority, phase):
    found = next_phase(make_rollout(), evidence(bad, good), now, majority=majority)
    assert found is phase


def test_version_that_turns_bad_after_its_promotion_is_rolled_back():
    rollout = make_rollout()
    rollout.advance(RolloutPhase.PROMOTED, 9.8)
    found = next_phase(rollout, evidence(20, 20), 9.9, majority=True)
    assert found is RolloutPhase.ROLLED_BACK
    found = next_phase(rollout, evidence(0, 100), 10.3, majority=True)
    assert found is RolloutPhase.DONE


@pytest.mark.parametrize(
    ("bad", "good", "promoted_s", "phase"),
    [
        (0, 20, 0.3, RolloutPhase.PROMOTED),
        (0, 20, 0.4, RolloutPhase.DONE),
        (2, 4, 0.4, RolloutPhase.PROMOTED),
        (5, 10, 0.4, RolloutPhase.PROMOTED),
        (2, 4, 0.8, RolloutPhase.DONE),
        (5, 10, 0.8, RolloutPhase.ROLLED_BACK),
    ],
)
def test_promoted_version_is_done_only_if_its_evidence_allows(
    bad, good, promoted_s, phase
):
    """A version that failed on one route was done 0.4 s after its promotion."""
    rollout = make_rollout()
    rollout.advance(RolloutPhase.PROMOTED, 10.0)
    now = 10.0 + promoted_s
    assert next_phase(rollout, evidence(bad, good), now, majority=True) is phase


def test_doubtful_version_is_promoted_at_the_last_moment():
    """A good one was rolled back, without the evidence of all requests."""
    found = next_phase(make_rollout(), evidence(3, 9), 11.0, majority=True)
    assert found is RolloutPhase.PROMOTED
