"""Network traffic of a node for placement, by the size of the fleet."""

import statistics

from tests.gateway.placement.fleet_model import (
    ModelFleet,
    PerResourceMembers,
    run_scenario,
)

RATE_PER_NODE = 6.0
SECONDS = 8.0


def median_and_max_kb_per_s(monkeypatch, nodes):
    """Return the traffic of the median node and of the busiest one, in kB/s.

    Both directions count, with IP and UDP headers. Each node gets six requests a
    second; there are five engines for eight nodes, with seven slots each, and no burst.
    """
    fleet = ModelFleet(
        monkeypatch,
        nodes=nodes,
        engines=nodes * 5 // 8,
        slots=7,
        message_cpu_s=0.0001,
        members=PerResourceMembers,
    )

    async def scenario():
        await fleet.load(nodes * RATE_PER_NODE, 2.0)
        for link in fleet.links.values():
            link.bytes = 0
        await fleet.load(nodes * RATE_PER_NODE, SECONDS)

    run_scenario(fleet, scenario)
    rates = [link.bytes / SECONDS / 1000 for link in fleet.links.values()]
    return statistics.median(rates), max(rates)


def test_traffic_per_node_does_not_grow_with_the_fleet(monkeypatch):
    """Traffic that grows with the fleet would limit its size.

    Measured: 1.8, 1.7 and 1.6 KB/s for the median node, and 41 to 46 for the busiest
    home. Load reports from each node to all others were 173 KB/s at 72 nodes.
    """
    medians, maxima = zip(
        *(median_and_max_kb_per_s(monkeypatch, nodes) for nodes in (24, 48, 96)),
        strict=True,
    )
    assert max(medians) < 2.0
    assert max(maxima) < 50.0
    assert medians[2] <= medians[0] * 1.1
