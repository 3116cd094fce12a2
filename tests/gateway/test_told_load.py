"""Upstreams that report their load, and how long work takes on their machines."""

import asyncio
import time

import pytest
import structlog

from baobabwing.gateway.decisions.told_load import parse_told_load
from baobabwing.gateway.headers import HeaderNames
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import NAMES, GatewayHarness, ask, eventually


async def ask_reporting(harness, load, target="/safe/x"):
    """Send a request to an upstream that reports a load; return the scheduler."""
    pool = "engines" if target.startswith("/stream") else "services"
    harness.list_all(without=(f"{pool}-2",))
    harness.upstreams[f"{pool}-1"][0].load = load
    deadline = (NAMES.deadline, b"500")
    await ask(await harness.caller(), target, "r", headers=(deadline,))
    return harness.gateway.state.pool(pool).scheduler


@pytest.mark.parametrize("target", ["/safe/x", "/stream/x"])
@pytest.mark.parametrize(
    ("load", "shares"),
    [(None, False), (b"3,0,5", False), (b"3,0,5,x", False), (b"3,0,5,170", True)],
)
def test_pool_shares_machines_once_work_time_is_reported(run, target, load, shares):
    async def scenario():
        async with GatewayHarness() as harness:
            scheduler = await ask_reporting(harness, load, target)
            assert scheduler.shares_machines is shares
            (track,) = scheduler.tracks.values()
            assert (track.told is None) is (load is None)
            if load:
                assert (track.told.running, track.told.slots) == (3, 5)

    run(scenario())


def test_refusal_reports_load_too(run):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.behaviour["services"] = Behaviour(refuse=True)
            assert (await ask_reporting(harness, b"5,9,5,170")).shares_machines

    run(scenario())


def test_answer_of_a_proxy_or_another_incarnation_reports_nothing(run):
    """The upstream that was asked would be taken for as slow as another one."""

    async def scenario():
        async with GatewayHarness() as harness:
            upstream, _ = harness.upstreams["services-1"]
            upstream.names = HeaderNames(signature=b"x-unsigned")
            scheduler = await ask_reporting(harness, b"3,0,5,170")
            assert not scheduler.shares_machines
            upstream.names, upstream.instance = HeaderNames(), "services-9"
            scheduler = await ask_reporting(harness, b"3,0,5,170")
            assert not scheduler.shares_machines
            assert [track.told for track in scheduler.tracks.values()] == [None]

    run(scenario())


def test_rejected_figures_and_work_times_are_counted(run):
    async def scenario():
        async with GatewayHarness() as harness:
            with structlog.testing.capture_logs() as lines:
                await ask_reporting(harness, b"3,-,5,170")
                await ask_reporting(harness, b"3,0,5,130")
            gateway = harness.gateway
            await gateway._answer_metrics("GET", "/metrics")
            rejected = gateway.metrics.rejected_figures.labels("services").value
            assert rejected == 1
            work = gateway.metrics.reported_work.values
            assert set(work) == {("services", "mean"), ("services", "highest")}
            assert all(1.3 < value < 1.7 for value in work.values())
            sent = [line for line in lines if line["event"] == "request_sent"]
            assert "told" not in sent[0]
            assert sent[1]["told"] == [3, None, 5, 170]

    run(scenario())


def test_sharing_ends_a_minute_after_the_last_report(run):
    async def scenario():
        async with GatewayHarness() as harness:
            pool = harness.gateway.state.pool("services")
            track = next(iter(pool.scheduler.tracks.values()))
            now = time.monotonic()
            with structlog.testing.capture_logs() as lines:
                for age_s in (59.9, 59.6):
                    load = parse_told_load(b"3,0,5,170", now - age_s)
                    pool.note_load(track, load, now - age_s)
                await asyncio.sleep(0.2)
                assert pool.scheduler.shares_machines
                pool.note_load(track, parse_told_load(b"3,0,5", now), now)
                await eventually(lambda: not pool.scheduler.shares_machines)
            shared = [line["shared"] for line in lines if "shared" in line]
            assert shared == [True, False]

    run(scenario())
