"""Homes of cells that are busy, against homes that are gone, in simulated time."""

import pytest

from tests.gateway.placement.fleet_model import ModelFleet, run_scenario

NODES = 18
SLOTS = 6
# A home reads some 430 messages a second; the calm load brings 220, the rush 440.
MESSAGE_CPU_S = 0.0023
BASE_RATE = 60
PEAK_RATE = 130


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overloaded_home_is_not_excluded(monkeypatch, seed):
    """Callers waited and were turned away for long after a short rush had ended.

    A rush brought the home of a cell more messages than it could read at once. Its
    answers took 100 ms, all nodes took it for dead after 80, told the next home all
    they had, and asked both again: more messages than the rush itself. The next home
    fell behind in turn; nodes then placed by themselves, and engines got more than
    they have places for.

    Evidence: the logs of all nodes name homes as silent 55 to 75 times a second for
    30 s, 16 s of them after the rush, while these homes ran, handled 300 to 1,000
    messages a second and were themselves late by under 60 ms. Without a charge for
    processor time twice as many requests were answered in time.
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
    # A node may err once, when the rush begins; its next question goes back.
    assert len(fleet.exclusion_times) <= NODES
    assert sum(second.placed_locally for second in seconds) == 0
    assert sum(second.refused for second in seconds) == 0
    assert fleet.max_in_flight <= SLOTS + 1
    assert max(seconds[-4].waits_s) < 0.1


@pytest.mark.parametrize("rate", [BASE_RATE, PEAK_RATE])
def test_dead_home_is_excluded_within_half_a_second(monkeypatch, rate):
    """The home of a cell loses power while callers ask for places.

    Nobody says so. Whoever asks it, or waits there, asks the next home instead, within
    0.1 s where answers came fast, and within 0.5 s where the home was behind already.
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
