"""Upstreams whose answers state that they are leaving or accept no requests."""

import asyncio
import time

import pytest
import structlog

from baobabwing.gateway.upstream_connections import retry_after_s
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.gateway_fleet import FleetBed
from tests.gateway.harness import NAMES, GatewayHarness, ask, eventually


def test_announced_leaving_is_logged_once(run):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.behaviour["services-1"] = Behaviour(leaving=True)
            conn = await harness.caller()
            for number in range(12):
                await ask(conn, "/safe/x", f"s{number}")

    with structlog.testing.capture_logs() as lines:
        run(scenario())
    (line,) = [one for one in lines if one["event"] == "upstream_said_leaving"]
    assert (line["upstream"], line["listed_draining"]) == ("services-1", False)


LEAVING = {"services": "services-1", "engines": "engines-1"}


async def ask_together(bed, node, target, name, count=12):
    """Send so many requests at once that each upstream gets some of them."""
    answers = [bed.ask(node, target, f"{name}-{number}") for number in range(count)]
    return await asyncio.gather(*answers)


async def until_reached(bed, name, target):
    """Send requests to node 0 until the upstream has received one."""
    for turn in range(20):
        await ask_together(bed, 0, target, f"first-{turn}")
        if bed.at(name):
            return
    raise AssertionError("the upstream received no request")


@pytest.mark.parametrize(
    ("pool", "target"),
    [
        ("services", "/safe/x"),
        ("services", "/unsafe/x"),
        ("engines", "/stream/x"),
        ("engines", "/resumable/x"),
    ],
)
def test_upstream_that_announced_leaving_gets_no_new_requests(run, pool, target):
    """An upstream announces in an answer that it leaves; the store is unavailable.

    Nodes that ignored the header kept sending requests to it for 6 s and more, long
    after they had logged event 2507, until the store was available again and the list
    of upstreams was updated. Services, which have no home, were affected as well.
    """

    async def scenario():
        async with FleetBed() as bed:
            bed.by_name[LEAVING[pool]] = Behaviour(
                leaving=True, events=5 if pool == "engines" else 0
            )
            await until_reached(bed, LEAVING[pool], target)
            # A list older than the answer still shows the upstream as ready.
            bed.list_all()
            before = len(bed.at(LEAVING[pool]))
            for turn in range(4):
                answers = await ask_together(bed, 0, target, f"after-{turn}")
                assert [one.status for one in answers] == [200] * 12
            assert len(bed.at(LEAVING[pool])) == before

    run(scenario())


def test_home_grants_no_slots_at_an_engine_that_announced_leaving_to_one_node(run):
    """The other nodes received no answer of it, and their lists show it as ready."""

    async def scenario():
        async with FleetBed() as bed:
            bed.by_name["engines-1"] = Behaviour(leaving=True, events=5)
            await until_reached(bed, "engines-1", "/stream/x")

            def homes_notified():
                entries = [
                    entry
                    for gateway in bed.gateways
                    for queue in gateway._homes._queues.values()
                    for entry in (queue.scheduler.tracks["engines-1"].entry,)
                ]
                return entries and all(entry.draining for entry in entries)

            await eventually(homes_notified, "notification of the homes")
            before = len(bed.at("engines-1"))
            for node in (1, 2):
                answers = await ask_together(bed, node, "/stream/x", f"n{node}")
                assert [one.status for one in answers] == [200] * 12
            assert len(bed.at("engines-1")) == before

    run(scenario())


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"1.5", 1.5), (b"2", 2.0), (b"0", 0.0), (b"-3", 0.0), (b"nan", 0.0)]
    + [(b"inf", 3600.0), (b"Wed, 21 Oct 2026 07:28:00 GMT", 0.0), (b"", 0.0)],
)
def test_retry_after_is_decoded(value, seconds):
    assert retry_after_s(value) == seconds


@pytest.mark.parametrize(
    ("pool", "target"), [("services", "/unsafe/x"), ("engines", "/stream/x")]
)
def test_closed_upstream_gets_no_requests_until_its_retry_after(run, pool, target):
    """A full upstream refuses a request with ``Retry-After``.

    Nodes that ignored the header tried it again after a tenth of a second, as with any
    full upstream, and sent it each request for which they had no better slot.
    """

    async def scenario():
        async with FleetBed(engines=2, services=2) as bed:
            name = LEAVING[pool]
            closed = Behaviour(refuse=True, retry_after=b"1.5")
            bed.by_name[name] = closed
            await until_reached(bed, name, target)
            began, before, turn = time.monotonic(), len(bed.at(name)), 0
            while time.monotonic() < began + 1.2:
                answers = await ask_together(bed, 0, target, f"after-{turn}")
                assert [one.status for one in answers] == [200] * 12
                turn += 1
            assert turn > 2
            assert len(bed.at(name)) - before <= 2
            del bed.by_name[name]
            before = len(bed.at(name))
            async with asyncio.timeout(10):
                while len(bed.at(name)) == before:
                    await ask_together(bed, 0, target, "late")

    run(scenario())


def test_pool_of_closed_upstreams_gets_no_requests(run):
    """Ejection is ignored if all upstreams are ejected; ``Retry-After`` is not."""

    async def scenario():
        async with FleetBed(services=2) as bed:
            closed = Behaviour(refuse=True, retry_after=b"1.5")
            bed.usual["services"] = closed
            await bed.ask(0, "/unsafe/x", "first")
            await bed.ask(0, "/unsafe/x", "second")
            names = [
                name for name, (_, of) in bed.upstreams.items() if of == "services"
            ]
            assert all(bed.at(name) for name in names)
            before = sum(len(bed.at(name)) for name in names)
            for number in range(5):
                answer = await bed.ask(
                    0, "/unsafe/x", f"n{number}", headers=[(NAMES.deadline, b"150")]
                )
                assert answer.status == 503
                assert float(answer.headers[b"retry-after"]) > 0
            assert sum(len(bed.at(name)) for name in names) - before <= 2

    run(scenario())
