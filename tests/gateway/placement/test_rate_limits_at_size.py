"""Rate limits of upstreams hold over 6 to 460 nodes that die, join and are cut off."""

import asyncio

import pytest

from tests.gateway.placement.fleet_model import run_scenario
from tests.gateway.placement.permit_model import PermitFleet

WINDOW_S = 4.0
STABLE_S = 3.0
UPSTREAMS = 8
SIZES = [6, 60, 300, 460]
# Engines, services that each node picks itself, and services that a home picks.
KINDS = pytest.mark.parametrize(
    ("plain", "shares"),
    [(False, False), (True, False), (True, True)],
    ids=["engines", "services", "shared_services"],
)


def most_allowed(per_s):
    """Return what the operators allow in a window."""
    return 1.5 * per_s * WINDOW_S + 5


def nothing(fleet):
    pass


def half_are_killed(fleet):
    fleet.kill_nodes(fleet.total // 2)


def half_are_cut_off(fleet):
    fleet.cut(fleet.total // 2)


def many_join(fleet):
    fleet.join(max(fleet.total // 10, 2))


def some_are_killed_and_others_join(fleet):
    fleet.kill_nodes(max(fleet.total // 10, 1))
    fleet.later(1.0, lambda: fleet.join(max(fleet.total // 10, 1)))


def homes_restart(fleet):
    fleet.restart_homes(listed_after_s=0.4)


@pytest.mark.parametrize("nodes", SIZES)
@KINDS
@pytest.mark.parametrize(
    "change",
    [
        nothing,
        half_are_killed,
        half_are_cut_off,
        many_join,
        some_are_killed_and_others_join,
        homes_restart,
    ],
)
def test_upstreams_get_what_they_state_and_no_more(
    monkeypatch, change, plain, shares, nodes
):
    """A limit of two requests a second is one in minutes for each of many nodes."""
    fleet = PermitFleet(
        monkeypatch,
        nodes=nodes,
        upstreams=UPSTREAMS,
        plain=plain,
        shares=shares,
        slots=4,
    )
    limited = {"e0": 1.9, "e1": 0.7, "e2": 12.0}

    async def scenario():
        rate = 60.0 if plain else 40.0
        hold_s = 0.05 if plain else 0.6
        await fleet.load(rate, 2.0, first_event_s=0.02, hold_s=hold_s)
        fleet.limits = limited
        since = fleet.clock.now + STABLE_S
        await fleet.load(rate, STABLE_S, first_event_s=0.02, hold_s=hold_s)
        change(fleet)
        await fleet.load(rate, 10.0, first_event_s=0.02, hold_s=hold_s)
        await asyncio.sleep(2.0)
        for name, per_s in limited.items():
            most = fleet.most(name, since)
            assert most <= most_allowed(per_s), f"{most} at {name} of {per_s}"
        late = fleet.clock.now - 2.0 - WINDOW_S
        for name, per_s in limited.items():
            in_last = sum(late <= at < late + WINDOW_S for at in fleet.arrivals[name])
            assert in_last >= 0.3 * min(per_s, 4.0) * WINDOW_S - 1, (
                f"{in_last} at {name}"
            )

    run_scenario(fleet, scenario)


@pytest.mark.parametrize("nodes", [6, 300])
@KINDS
def test_requests_beyond_all_limits_are_refused_soon(monkeypatch, plain, shares, nodes):
    """All upstreams take less than is asked: the rest is told when to come back."""
    fleet = PermitFleet(
        monkeypatch,
        nodes=nodes,
        upstreams=UPSTREAMS,
        plain=plain,
        shares=shares,
        slots=4,
    )

    async def scenario():
        await fleet.load(40.0, 2.0, first_event_s=0.02, hold_s=0.05)
        fleet.limits = {f"e{number}": 2.0 for number in range(UPSTREAMS)}
        since = fleet.clock.now + STABLE_S
        await fleet.load(40.0, STABLE_S, first_event_s=0.02, hold_s=0.05)
        before = sum(map(len, fleet.arrivals.values()))
        await fleet.load(40.0, 8.0, first_event_s=0.02, hold_s=0.05)
        used = (sum(map(len, fleet.arrivals.values())) - before) / 8.0
        assert used >= 0.7 * 2.0 * UPSTREAMS
        for name in fleet.limits:
            assert fleet.most(name, since) <= most_allowed(2.0)
        assert fleet.refused > 0

    run_scenario(fleet, scenario)


@KINDS
def test_limit_that_ends_is_forgotten_by_all_nodes(monkeypatch, plain, shares):
    fleet = PermitFleet(
        monkeypatch, nodes=60, upstreams=4, plain=plain, shares=shares, slots=4
    )

    async def scenario():
        await fleet.load(40.0, 1.0, first_event_s=0.02, hold_s=0.05)
        fleet.limits = {"e0": 2.0, "e1": 0.0}
        await fleet.load(40.0, 4.0, first_event_s=0.02, hold_s=0.05)
        assert all(len(pool.rate_limits) == 2 for pool in fleet.pools)
        fleet.limits = {}
        await fleet.load(40.0, 8.0, first_event_s=0.02, hold_s=0.05)
        assert not any(len(pool.rate_limits) for pool in fleet.pools)

    run_scenario(fleet, scenario)
