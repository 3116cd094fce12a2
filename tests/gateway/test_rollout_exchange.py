"""Rollouts over a fleet in simulated time, beside faults of nodes, links and store."""

import pytest

from baobabwing.gateway.decisions.rollouts import RolloutPhase
from tests.gateway.rollout_model import Play, Version, play_rollout

BAD = {
    "failing": Version(failing=0.4),
    "slow": Version(slower=4.0),
    "late": Version(failing=0.5, bad_from_s=5.0),
    "route": Version(failing=0.5, bad_routes=("check",)),
}
FAULTS = {
    "none": {},
    "loss": {"loss": 0.2},
    "restarts": {"restarts": (1.5, 3.0, 4.5)},
    "partition": {"cut": ((2.0, 5.0, 1),)},
    "store": {"store_away": ((1.0, 8.0),)},
}


@pytest.fixture
def play(monkeypatch):
    return lambda **options: play_rollout(Play(**options), monkeypatch.setattr)


@pytest.mark.parametrize("nodes", [6, 58])
@pytest.mark.parametrize("kind", BAD)
def test_bad_version_is_rolled_back_within_the_budget(play, kind, nodes):
    played = play(new=BAD[kind], nodes=nodes)
    assert played.verdict is RolloutPhase.ROLLED_BACK
    assert played.verdict_s < played.duration_s
    assert played.budget_used <= 1.0
    assert played.stopped_after_s <= 5.0


@pytest.mark.parametrize("fault", FAULTS)
def test_bad_version_is_rolled_back_beside_faults(play, fault):
    played = play(new=BAD["failing"], **FAULTS[fault])
    assert played.verdict is RolloutPhase.ROLLED_BACK
    assert played.verdict_s < played.duration_s
    assert played.budget_used <= 1.0
    assert played.stopped_after_s <= 5.0


@pytest.mark.parametrize("fault", FAULTS)
def test_good_version_is_done_by_the_deadline_beside_faults(play, fault):
    played = play(**FAULTS[fault])
    assert played.verdict is RolloutPhase.DONE
    assert played.verdict_s < played.duration_s


def test_both_versions_that_fail_alike_are_no_reason_to_roll_back(play):
    played = play(new=Version(failing=0.3), old=Version(failing=0.3))
    assert played.verdict is RolloutPhase.DONE


def test_nothing_is_sent_to_a_bad_version_while_the_store_is_away(play):
    """The nodes tell each other, and write the verdict once the store is back."""
    played = play(new=BAD["slow"], store_away=((0.0, 10.0),))
    assert played.verdict is RolloutPhase.ROLLED_BACK
    assert max(at for at, new in played.sent if new) < 5.0


@pytest.mark.parametrize(
    "kind, phase",
    [("good", RolloutPhase.DONE), ("failing", RolloutPhase.ROLLED_BACK)],
)
def test_node_that_was_cut_off_at_the_end_hears_of_it_afterwards(play, kind, phase):
    """It went on with the old version, whose upstreams had stopped."""
    new = BAD.get(kind, Version())
    played = play(new=new, cut=((1.0, 20.0, -1),), after_s=10.0)
    assert played.phases == {phase}


FAILED_ONCE = {
    507: {"new": Version(failing=0.4, bad_routes=("check",)), "nodes": 58}
    | FAULTS["restarts"],
    510: {},
}


@pytest.mark.parametrize("seed", FAILED_ONCE)
def test_rollouts_that_ended_wrongly_once(play, seed):
    """A version that fails on one route was done, and a good one rolled back."""
    options = FAILED_ONCE[seed]
    played = play(seed=seed, **options)
    if "new" not in options:
        assert played.verdict is RolloutPhase.DONE
        return
    assert played.verdict is RolloutPhase.ROLLED_BACK
    assert played.budget_used <= 1.0


def test_version_that_fails_on_a_small_route_of_195_nodes_is_rolled_back(play):
    """It was done: 1 of 10 such plays, with six bad answers found of 31."""
    bad = Version(failing=0.4, bad_routes=("check",))
    played = play(seed=3007, nodes=195, new=bad, **FAULTS["restarts"])
    assert played.verdict is RolloutPhase.ROLLED_BACK
    assert played.budget_used <= 1.0
