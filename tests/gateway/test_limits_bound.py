"""The bound on an organisation's units holds while nodes and messages fail."""

import dataclasses

import pytest

from tests.gateway.limits_model import RATE, SPEC, WINDOW_S, LimitsFleet, bound, play

NODES = 24
OVERLOAD = 8.0


def assert_bound_holds(fleet, since=0.0):
    assert fleet.max_units_in_window(since) <= bound(fleet.spec)


@pytest.mark.parametrize("seed", range(3))
def test_late_messages_cause_refusals_and_keep_the_bound(monkeypatch, seed):
    """Each message during an overload arrives up to two seconds late."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES, seed=seed)

    async def scenario():
        await fleet.load(4, 0.5)
        fleet.max_jitter_s = 2.0
        await fleet.load(14, OVERLOAD)

    play(fleet, scenario)
    assert_bound_holds(fleet)


@pytest.mark.parametrize("seed", range(2))
def test_lost_messages_cause_refusals_and_keep_the_bound(monkeypatch, seed):
    """Two messages in five are lost during an overload."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES, seed=seed)

    async def scenario():
        await fleet.load(4, 0.5)
        fleet.loss = 0.4
        await fleet.load(14, OVERLOAD)

    play(fleet, scenario)
    assert_bound_holds(fleet)


@pytest.mark.parametrize("seed", range(3))
def test_failures_of_the_aggregators_keep_the_bound(monkeypatch, seed):
    """Both aggregators are killed eight times, every 1.5 s."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES, seed=seed)

    async def scenario():
        await fleet.load(4, 0.5)
        for _ in range(8):
            for name in fleet.aggregators():
                fleet.kill(name, restart_s=1.0)
            await fleet.load(1.5, OVERLOAD)

    play(fleet, scenario)
    assert_bound_holds(fleet)


@pytest.mark.parametrize(("nodes", "seed"), [(NODES, 0), (NODES, 1), (86, 2)])
def test_nodes_that_are_killed_and_restarted_keep_the_bound(monkeypatch, nodes, seed):
    """A third of the nodes is killed every two seconds."""
    fleet = LimitsFleet(monkeypatch, nodes=nodes, seed=seed)

    async def scenario():
        await fleet.load(4, 0.5)
        for _ in range(7):
            for name in fleet.sample(1 / 3):
                fleet.kill(name, restart_s=1.0)
            await fleet.load(2, OVERLOAD)

    play(fleet, scenario)
    assert_bound_holds(fleet)


@pytest.mark.parametrize("seed", range(3))
def test_start_of_all_nodes_at_once_keeps_the_bound(monkeypatch, seed):
    """All nodes are killed at the limit, and know no other node when they restart."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES, seed=seed)

    async def scenario():
        await fleet.load(4, 0.5)
        await fleet.load(9, OVERLOAD, slots_free=0.5)
        for name in sorted(fleet.nodes):
            fleet.kill(name, restart_s=1.0)
        await fleet.load(10, OVERLOAD, slots_free=0.5)

    play(fleet, scenario)
    assert_bound_holds(fleet)


@pytest.mark.parametrize("seed", range(2))
def test_join_of_three_quarters_of_the_nodes_keeps_the_bound(monkeypatch, seed):
    """Three times as many nodes join within three seconds of an overload."""
    fleet = LimitsFleet(monkeypatch, nodes=8, seed=seed)

    async def scenario():
        await fleet.load(4, 0.5)
        await fleet.load(4, OVERLOAD)
        fleet.start_all(range(100, 124), spread_s=3.0)
        await fleet.load(12, OVERLOAD)

    play(fleet, scenario)
    assert_bound_holds(fleet)


@pytest.mark.parametrize("seed", range(2))
def test_partition_at_the_start_of_an_overload_keeps_the_bound(monkeypatch, seed):
    """A third of the nodes is partitioned within half a second of an overload."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES, seed=seed)

    async def scenario():
        await fleet.load(4, 0.5)
        await fleet.load(0.1 + 0.2 * seed, OVERLOAD)
        fleet.partition(fleet.sample(0.35))
        await fleet.load(7, OVERLOAD)
        fleet.heal()
        await fleet.load(8, OVERLOAD)

    play(fleet, scenario)
    assert_bound_holds(fleet)


def test_lasting_partition_keeps_the_bound(monkeypatch):
    """Two halves are partitioned for 36 s; dead nodes have to count for longer."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES)

    async def scenario():
        await fleet.load(4, 0.5)
        fleet.partition(fleet.sample(0.5))
        await fleet.load(36, 4.0)

    play(fleet, scenario)
    assert_bound_holds(fleet)


@pytest.mark.parametrize("seed", range(2))
def test_refunded_units_are_not_used_twice(monkeypatch, seed):
    """Engines are full at first, so that waiting requests refund their units late."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES, seed=seed)

    async def scenario():
        await fleet.load(4, 0.5)
        await fleet.load(8, OVERLOAD, wait_s=3.0, placed=0.1)
        await fleet.load(8, OVERLOAD, wait_s=3.0)

    play(fleet, scenario)
    assert_bound_holds(fleet)


@pytest.mark.parametrize("seed", range(2))
def test_retries_of_requests_count_against_the_limit(monkeypatch, seed):
    """Three in ten requests of an overload run at a second upstream as well."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES, seed=seed)
    fleet.retries = 0.3

    async def scenario():
        await fleet.load(4, 0.5)
        await fleet.load(14, OVERLOAD)

    play(fleet, scenario)
    assert_bound_holds(fleet)


@pytest.mark.parametrize("seed", range(2))
def test_lowered_limit_is_in_force_one_window_later(monkeypatch, seed):
    """A limit is lowered to a fifth during an overload, within 2 s at all nodes."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES, seed=seed)
    lower = dataclasses.replace(SPEC, rate_per_s=0.2 * RATE, burst=0.2 * RATE)

    async def scenario():
        await fleet.load(9, OVERLOAD)
        fleet.change_limit(lower, spread_s=2.0)
        await fleet.load(16, OVERLOAD)

    play(fleet, scenario)
    changed = fleet.began + 9.0
    assert_bound_holds(fleet, since=changed + 2.0 + WINDOW_S)


@pytest.mark.parametrize("seed", range(2))
def test_limit_that_was_removed_is_in_force_once_it_is_restored(monkeypatch, seed):
    """Each node starts the organisation's counts from zero again, at another time."""
    fleet = LimitsFleet(monkeypatch, nodes=NODES, seed=seed)

    async def scenario():
        await fleet.load(9, OVERLOAD)
        fleet.change_limit(dataclasses.replace(SPEC, rate_per_s=0.0), spread_s=1.0)
        await fleet.load(2, 0.0)
        fleet.change_limit(SPEC, spread_s=1.0)
        await fleet.load(14, OVERLOAD)

    play(fleet, scenario)
    assert_bound_holds(fleet, since=fleet.began + 9.0 + 2.0 + 1.0)


@pytest.mark.parametrize("nodes", [8, NODES])
@pytest.mark.parametrize("load", [0.4, 0.8])
def test_organisation_below_its_limit_is_not_refused(monkeypatch, nodes, load):
    fleet = LimitsFleet(monkeypatch, nodes=nodes)

    async def scenario():
        await fleet.load(25, load)

    play(fleet, scenario)
    assert fleet.refused == []


@pytest.mark.parametrize("nodes", [8, NODES])
def test_organisation_over_its_limit_gets_95_percent_of_it(monkeypatch, nodes):
    fleet = LimitsFleet(monkeypatch, nodes=nodes)

    async def scenario():
        await fleet.load(4, 0.5)
        await fleet.load(30, 4.0)

    play(fleet, scenario)
    begin = fleet.began + 4.0 + WINDOW_S
    units = fleet.units_between(begin, begin + 2 * WINDOW_S)
    assert units >= 0.95 * RATE * 2 * WINDOW_S
