"""Upstreams that say in an answer that they leave, or that they want nothing more."""

import asyncio
import time

import pytest
import structlog

from baobabwing.gateway.exchange import retry_after_s
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.bed import NAMES, Bed, ask, eventually
from tests.gateway.fleet_bed import FleetBed


def test_log_tells_once_that_an_upstream_said_it_leaves(run):
    async def story():
        async with Bed() as bed:
            bed.behaviour["services-1"] = Behaviour(leaving=True)
            conn = await bed.caller()
            for number in range(12):
                await ask(conn, "/safe/x", f"s{number}")

    with structlog.testing.capture_logs() as lines:
        run(story())
    (line,) = [one for one in lines if one["event"] == "upstream_said_leaving"]
    assert (line["upstream"], line["listed_draining"]) == ("services-1", False)


LEAVING = {"services": "services-1", "engines": "engines-1"}


async def ask_together(bed, node, target, name, count=12):
    """Ask so many times at once that each upstream gets some of it."""
    asked = [bed.ask(node, target, f"{name}-{number}") for number in range(count)]
    return await asyncio.gather(*asked)


async def until_reached(bed, name, target):
    """Ask node 0 until an upstream has answered there."""
    for turn in range(20):
        await ask_together(bed, 0, target, f"first-{turn}")
        if bed.at(name):
            return
    raise AssertionError("no answer of it")


@pytest.mark.parametrize(
    ("pool", "target"),
    [
        ("services", "/safe/x"),
        ("services", "/unsafe/x"),
        ("engines", "/stream/x"),
        ("engines", "/resumable/x"),
    ],
)
def test_upstream_that_said_it_leaves_gets_nothing_new(run, pool, target):
    """The store is away while an engine says that it leaves, in its answers only.

    Nodes went on sending to it for 6 s and more, until the store was back and took the
    engine's row: the list was all that told them. Cause: the word in the answer was not
    read. Evidence: requests reached it long after line 2507 of the node that sent them,
    while the list said "ready"; services, which have no home, got them as well.
    """

    async def story():
        async with FleetBed() as bed:
            bed.by_name[LEAVING[pool]] = Behaviour(
                leaving=True, events=5 if pool == "engines" else 0
            )
            await until_reached(bed, LEAVING[pool], target)
            # Lists that are older than the answer go on saying that it is ready.
            bed.list_all()
            before = len(bed.at(LEAVING[pool]))
            for turn in range(4):
                answers = await ask_together(bed, 0, target, f"after-{turn}")
                assert [one.status for one in answers] == [200] * 12
            assert len(bed.at(LEAVING[pool])) == before

    run(story())


def test_home_gives_no_more_places_at_an_engine_that_one_node_heard_leaves(run):
    """The other nodes had no answer of it, and their lists say that it is ready."""

    async def story():
        async with FleetBed() as bed:
            bed.by_name["engines-1"] = Behaviour(leaving=True, events=5)
            await until_reached(bed, "engines-1", "/stream/x")

            def known():
                entries = [
                    entry
                    for one in bed.gateways
                    for queue in one._homes._queues.values()
                    for entry in (queue.scheduler.tracks["engines-1"].entry,)
                ]
                return entries and all(entry.draining for entry in entries)

            await eventually(known, "homes know")
            before = len(bed.at("engines-1"))
            for node in (1, 2):
                answers = await ask_together(bed, node, "/stream/x", f"n{node}")
                assert [one.status for one in answers] == [200] * 12
            assert len(bed.at("engines-1")) == before

    run(story())


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"1.5", 1.5), (b"2", 2.0), (b"0", 0.0), (b"-3", 0.0), (b"nan", 0.0)]
    + [(b"inf", 3600.0), (b"Wed, 21 Oct 2026 07:28:00 GMT", 0.0), (b"", 0.0)],
)
def test_time_for_which_an_upstream_wants_nothing(value, seconds):
    assert retry_after_s(value) == seconds


@pytest.mark.parametrize(
    ("pool", "target"), [("services", "/unsafe/x"), ("engines", "/stream/x")]
)
def test_upstream_that_wants_nothing_for_a_while_gets_nothing(run, pool, target):
    """A full upstream turns a request away and says for how long it wants no more.

    Nodes came back after a tenth of a second, as to any that is full, and sent it a
    request for each that found no better place.
    """

    async def story():
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

    run(story())


def test_pool_that_wants_nothing_gets_nothing(run):
    """Where all are set aside, being set aside says nothing; this does."""

    async def story():
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

    run(story())
