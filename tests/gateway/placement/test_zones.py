"""Zones of requests in a fleet with real placers and homes, in simulated time."""

import pytest
import structlog

from baobabwing.gateway.placement.codec import encode
from baobabwing.gateway.placement.messages import SlotRequest
from tests.gateway.placement import fleet_model
from tests.gateway.placement.fleet_model import ModelFleet, run_scenario

ZONES = ("za", "zb", "zc")
# 15 engines with five slots, each held for 0.5 s.
FULL_PER_S = 15 * 5 / 0.5


def make_fleet(monkeypatch, price=5.0):
    return ModelFleet(
        monkeypatch,
        nodes=9,
        engines=15,
        slots=5,
        message_cpu_s=0.0005,
        zones=ZONES,
        zone_price_s_per_mb=price,
    )


def crossed_share(fleet):
    seconds = fleet.seconds.values()
    placed = sum(len(second.waits_s) for second in seconds)
    return sum(second.crossed for second in seconds) / placed


@pytest.mark.parametrize(("price", "low", "high"), [(5.0, 0, 0.02), (0.0, 0.5, 0.8)])
def test_homes_keep_requests_in_the_zone_of_their_node(monkeypatch, price, low, high):
    """The zone and the price have to reach the home."""
    fleet = make_fleet(monkeypatch, price)

    async def scenario():
        await fleet.load(0.6 * FULL_PER_S, 10)

    run_scenario(fleet, scenario)
    assert low <= crossed_share(fleet) <= high


def test_zone_at_twice_its_demand_is_logged_by_the_home(monkeypatch):
    fleet = make_fleet(monkeypatch)

    async def scenario():
        await fleet.load(2 * FULL_PER_S / 3, 8, pools=fleet.pools[::3])

    with structlog.testing.capture_logs() as lines:
        run_scenario(fleet, scenario)
    started = [line for line in lines if line["event"] == "zone_sends_out"]
    assert [(line["pool"], line["cell"], line["zone"]) for line in started] == [
        ("p", 0, "za")
    ]
    waits_s = [wait for one in fleet.seconds.values() for wait in one.waits_s]
    assert sum(wait < 0.5 for wait in waits_s) > 0.95 * len(waits_s)
    assert crossed_share(fleet) < 0.65


def test_partition_between_two_zones_loses_no_request(monkeypatch):
    """Each side has a home of its own, which sees a part of the demand of all zones."""
    fleet = make_fleet(monkeypatch)

    async def scenario():
        await fleet.load(0.5 * FULL_PER_S, 4)
        fleet.cut_zones = ("za", "zb")
        await fleet.load(0.5 * FULL_PER_S, 8)
        fleet.cut_zones = ()
        await fleet.load(0.5 * FULL_PER_S, 4)

    run_scenario(fleet, scenario)
    requested = sum(second.requested for second in fleet.seconds.values())
    refused = sum(second.refused for second in fleet.seconds.values())
    assert refused < 0.01 * requested
    assert crossed_share(fleet) < 0.1


@pytest.mark.parametrize("price", [0.0, 5.0])
def test_zone_is_sent_only_where_it_is_used(monkeypatch, price):
    """Without a price, messages are those of earlier builds."""
    sent = []
    monkeypatch.setattr(
        fleet_model, "encode", lambda message: sent.append(message) or encode(message)
    )
    fleet = make_fleet(monkeypatch, price)

    async def scenario():
        await fleet.load(0.3 * FULL_PER_S, 1)

    run_scenario(fleet, scenario)
    zoned = {
        (message.zone != 0, message.expected_bytes)
        for message in sent
        if isinstance(message, SlotRequest)
    }
    assert zoned == ({(True, 10_000)} if price else {(False, 0)})
