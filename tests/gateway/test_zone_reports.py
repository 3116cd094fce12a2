"""The zones' price gets to the pools, and a node logs what it decided itself."""

import dataclasses
import random

import structlog

from baobabwing.gateway.decisions.scheduling import PoolScheduler
from baobabwing.gateway.decisions.zone_choice import zone_crc
from baobabwing.gateway.model import UpstreamEntry
from baobabwing.gateway.settings import GatewaySettings, SharedMachineSettings
from baobabwing.gateway.state import GatewayState
from baobabwing.gateway.zone_reports import log_zone_changes


def test_changed_price_applies_to_pools_that_exist():
    def priced(price):
        shared = SharedMachineSettings(zone_price_s_per_mb=price)
        return dataclasses.replace(settings, shared_machines=shared)

    settings = GatewaySettings(name="n", callers="a", peers="b", work="c")
    state = GatewayState(settings=priced(2.0), rng=random.Random(1))
    scheduler = state.pool("p").scheduler
    assert scheduler.zone_price_s_per_mb == 2.0
    state.reload(priced(0.0))
    assert scheduler.zone_price_s_per_mb == 0.0


def test_start_and_stop_are_logged_once_with_the_name_of_the_zone():
    scheduler = PoolScheduler(engine=None, rng=random.Random(1))
    scheduler.set_upstreams(
        [UpstreamEntry(instance="s", pool="p", address="a", zone="za")]
    )
    zone = zone_crc("za")
    with structlog.testing.capture_logs() as lines:
        scheduler.zones.record_too_few(zone, 0.0)
        scheduler.zones.record_too_few(zone, 0.1)
        scheduler.zones.record_need(zone, 0, 1, 5.0)
        for _ in range(2):
            log_zone_changes(scheduler, "p")
    assert [(line["event"], line["zone"]) for line in lines] == [
        ("zone_sends_out", "za"),
        ("zone_keeps_in", "za"),
    ]
