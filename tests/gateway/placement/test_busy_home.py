"""Overloaded homes compared with dead ones, in simulated time."""

import pytest

from tests.gateway.placement.fleet_model import ModelFleet, run_scenario

NODES = 18
SLOTS = 6
# A home handles some 430 messages a second. The base rate causes 220, the peak 440.
MESSAGE_CPU_S = 0.0023
BASE_RATE = 60
PEAK_RATE = 130


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overloaded_home_is_not_excluded(monkeypatch, seed):
    """Nodes exclude a home that only answers late, and overload the next home in turn.

    With a fixed timeout of 80 ms all nodes excluded a home whose answers took 100 ms in
    a burst. They sent reservation reports to the next home and repeated their requests
    to both, which was more work than the burst. Nodes then placed requests themselves,
    and engines got more requests than they have slots.

    A fleet under load logged 55 to 75 exclusions a second for 30 s, 16 s of them after
    the burst. Its homes handled 300 to 1,000 messages a second all the while, and their
    own loops were late by less than 60 ms. With messages that cost no processor time,
    twice as many requests were answered before their deadline.
    """
    fleet = ModelFleet(
        monkeypatch,
        nodes=NODES,
        engines=15,
        slots=SLOTS,
        message_cpu_s=MESSAGE_CPU_S,
        seed=seed,
    )

    async def scenario():
        await fleet.load(BASE_RATE, 3.0)
        await fleet.load(PEAK_RATE, 4.0)
        await fleet.load(BASE_RATE, 6.0)

    run_scenario(fleet, scenario)
    seconds = [fleet.seconds[key] for key in sorted(fleet.seconds)]
    # Each node may exclude the home once, when the burst begins.
    assert len(fleet.exclusion_times) <= NODES
    assert sum(second.placed_locally for second in seconds) == 0
    assert sum(second.refused for second in seconds) == 0
    # The scheduler sends an engine one request more than its slots.
    assert fleet.max_in_flight <= SLOTS + 1
    assert max(seconds[-4].waits_s) < 0.1


@pytest.mark.parametrize("rate", [BASE_RATE, PEAK_RATE])
def test_dead_home_is_excluded_within_half_a_second(monkeypatch, rate):
    """The home of a cell loses power, and no membership update reports it.

    Requests sent to it or queued there go to the next home: within 0.1 s if the home
    answered fast, and within 0.5 s if it was overloaded before.
    """
    fleet = ModelFleet(
        monkeypatch, nodes=NODES, engines=15, slots=SLOTS, message_cpu_s=0.0015
    )

    async def scenario():
        await fleet.load(rate, 3.0)
        next(iter(fleet.links.values())).stopped = True
        await fleet.load(rate, 3.0)

    run_scenario(fleet, scenario)
    waits = [wait for second in fleet.seconds.values() for wait in second.waits_s]
    assert fleet.exclusion_times
    assert max(waits) < 0.6
    assert sum(second.refused for second in fleet.seconds.values()) == 0
