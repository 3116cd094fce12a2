"""Upstreams whose answers state that they are leaving or accept no requests."""

import asyncio
import time

import pytest
import structlog

from baobabwing.gateway.upstream_connections import retry_after_s
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.gateway_fleet import GatewayFleet
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


async def ask_together(fleet, node, target, name, count=12):
    """Send so many requests at once that each upstream gets some of them."""
    answers = [fleet.ask(node, target, f"{name}-{number}") for number in range(count)]
    return await asyncio.gather(*answers)


async def until_reached(fleet, name, target):
    """Send requests to node 0 until the upstream has received one."""
    for turn in range(20):
        await ask_together(fleet, 0, target, f"first-{turn}")
        if fleet.at(name):
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
        async with GatewayFleet() as fleet:
            fleet.by_name[LEAVING[pool]] = Behaviour(
                leaving=True, events=5 if pool == "engines" else 0
            )
            await until_reached(fleet, LEAVING[pool], target)
            # A list older than the answer still shows the upstream as ready.
            fleet.list_all()
            before = len(fleet.at(LEAVING[pool]))
            for turn in range(4):
                answers = await ask_together(fleet, 0, target, f"after-{turn}")
                assert [one.status for one in answers] == [200] * 12
            assert len(fleet.at(LEAVING[pool])) == before

    run(scenario())


def test_home_grants_no_slots_at_an_engine_that_announced_leaving_to_one_node(run):
    """The other nodes received no answer of it, and their lists show it as ready."""

    async def scenario():
        async with GatewayFleet() as fleet:
            fleet.by_name["engines-1"] = Behaviour(leaving=True, events=5)
            await until_reached(fleet, "engines-1", "/stream/x")

            def homes_notified():
                entries = [
                    entry
                    for gateway in fleet.gateways
                    for queue in gateway._homes._queues.values()
                    for entry in (queue.scheduler.tracks["engines-1"].entry,)
                ]
                return entries and all(entry.draining for entry in entries)

            await eventually(homes_notified, "notification of the homes")
            before = len(fleet.at("engines-1"))
            for node in (1, 2):
                answers = await ask_together(fleet, node, "/stream/x", f"n{node}")
                assert [one.status for one in answers] == [200] * 12
            assert len(fleet.at("engines-1")) == before

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
        async with GatewayFleet(engines=2, services=2) as fleet:
            name = LEAVING[pool]
            closed = Behaviour(refuse=True, retry_after=b"1.5")
            fleet.by_name[name] = closed
            await until_reached(fleet, name, target)
            began, before, turn = time.monotonic(), len(fleet.at(name)), 0
            while time.monotonic() < began + 1.2:
                answers = await ask_together(fleet, 0, target, f"after-{turn}")
                assert [one.status for one in answers] == [200] * 12
                turn += 1
            assert turn > 2
            assert len(fleet.at(name)) - before <= 2
            del fleet.by_name[name]
            before = len(fleet.at(name))
            async with asyncio.timeout(10):
                while len(fleet.at(name)) == before:
                    await ask_together(fleet, 0, target, "late")

    run(scenario())


def test_pool_of_closed_upstreams_gets_no_requests(run):
    """Ejection is ignored if all upstreams are ejected; ``Retry-After`` is not."""

    async def scenario():
        async with GatewayFleet(services=2) as fleet:
            closed = Behaviour(refuse=True, retry_after=b"1.5")
            fleet.usual["services"] = closed
            await fleet.ask(0, "/unsafe/x", "first")
            await fleet.ask(0, "/unsafe/x", "second")
            names = [
                name for name, (_, of) in fleet.upstreams.items() if of == "services"
            ]
            assert all(fleet.at(name) for name in names)
            before = sum(len(fleet.at(name)) for name in names)
            for number in range(5):
                answer = await fleet.ask(
                    0, "/unsafe/x", f"n{number}", headers=[(NAMES.deadline, b"150")]
                )
                assert answer.status == 503
                assert float(answer.headers[b"retry-after"]) > 0
            assert sum(len(fleet.at(name)) for name in names) - before <= 2

    run(scenario())
