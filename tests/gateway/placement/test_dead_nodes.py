"""Slots of nodes that died, in simulated time."""

from tests.gateway.placement.fleet_model import ModelFleet, run_scenario

NODES = 195
# A death is declared after up to 0.5 s to the next probe, 0.4 s to the suspicion and
# 0.7 s more.
DETECTION_DELAY_S = 1.7


def test_slots_of_dead_nodes_are_released_when_the_death_is_declared(monkeypatch):
    """Half of the nodes are killed at once while engines are two thirds full.

    The home counted the dead nodes' slots as taken until several of their reports were
    missing: 4.6 s in a fleet of 195 nodes, and 1.4 s in one of 60. Requests of other
    nodes expired after 3 s, although the engines had dropped those of the dead nodes.
    """
    fleet = ModelFleet(
        monkeypatch, nodes=NODES, engines=15, slots=4, message_cpu_s=0.0002
    )

    async def scenario():
        await fleet.load(60, 3.0, hold_s=0.7)
        await fleet.kill(0.5, detection_delay_s=DETECTION_DELAY_S)
        fleet.seconds.clear()
        await fleet.load(60, 4.0, hold_s=0.7)

    run_scenario(fleet, scenario)
    seconds = [fleet.seconds[key] for key in sorted(fleet.seconds)]
    assert sum(second.refused for second in seconds) == 0
    waits = [wait for second in seconds for wait in second.waits_s]
    assert max(waits) < DETECTION_DELAY_S + 0.3
    later_waits = [wait for second in seconds[3:] for wait in second.waits_s]
    assert max(later_waits) < 0.2
