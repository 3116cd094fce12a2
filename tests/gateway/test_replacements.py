"""What a search has found is used or given back, however its request goes on."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from baobabwing.gateway.call import Replacement
from baobabwing.gateway.decisions.scheduling import PlacementRequest
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import NAMES, GatewayHarness, ask, eventually, read, send
from tests.gateway.test_unresponsive_upstreams import (
    EVENTS,
    configuration,
    fill,
    remember_calls,
    running_call,
    whole,
)


def allow_one_retry(pool):
    pool.budget.reload(ratio=0.0, slack=2.0, window_s=10.0, now=time.monotonic())


async def find_replacement(harness):
    """Have a search find a replacement for the running stream by the last retry."""
    forwarder = harness.gateway.callers._forwarder
    pool = harness.gateway.state.pool("engines")
    allow_one_retry(pool)
    call = await running_call(harness)
    await eventually(lambda: call.last_event_at, "an event")
    current = SimpleNamespace(track=pool.scheduler.tracks[call.attempts[-1].upstream])
    search = forwarder._replacements.start(
        call, forwarder._replacements.find(call, pool, current)
    )
    assert await search is not None
    pool.budget.reload(ratio=0.0, slack=0.0, window_s=10.0, now=time.monotonic())
    other = {"engines-1": "engines-2", "engines-2": "engines-1"}
    harness.behaviour[other[current.track.entry.instance]] = Behaviour(events=EVENTS)


async def go_on_with_a_replacement_in_hand(harness, monkeypatch, behaviour):
    remember_calls(harness, monkeypatch)
    harness.behaviour["engines"] = behaviour
    conn = await harness.caller()
    answer = asyncio.ensure_future(ask(conn, "/resumable/x", "p1"))
    await find_replacement(harness)
    answer = await answer
    assert (answer.whole, answer.body) == (True, whole("p1"))
    assert harness.runs("p1") == 2


def test_stream_that_is_cut_goes_on_at_the_replacement_that_was_found(run, monkeypatch):
    async def scenario():
        async with GatewayHarness(configuration()) as harness:
            cut = Behaviour(events=EVENTS, gap_s=0.15, cut_after=1)
            await go_on_with_a_replacement_in_hand(harness, monkeypatch, cut)

    run(scenario())


def test_unresponsive_engine_is_left_for_the_replacement_that_was_found(
    run, monkeypatch
):
    async def scenario():
        async with GatewayHarness(configuration()) as harness:
            stall = Behaviour(events=EVENTS, stall_after=1, stall_s=60.0)
            await go_on_with_a_replacement_in_hand(harness, monkeypatch, stall)

    run(scenario())


async def start_search(harness, call):
    """Start a search that finds a slot, a connection and the only retry."""
    gateway = harness.gateway
    pool = gateway.state.pool("engines")
    allow_one_retry(pool)

    async def search():
        now = time.monotonic()
        request = PlacementRequest(
            rank=0, arrived_at=now, objective_at=now + 1.0, deadline_at=now + 5.0
        )
        grant = await pool.place(request, nodes=1)
        entry = grant.track.entry
        connection = await gateway.connections.acquire(entry.address, entry.instance)
        assert pool.budget.try_take(time.monotonic())
        return Replacement(grant=grant, connection=connection)

    replacements = gateway.callers._forwarder._replacements
    await asyncio.wait({replacements.start(call, search())})
    return pool, replacements


async def all_given_back(harness, pool):
    gateway = harness.gateway
    (queue,) = gateway._homes._queues.values()
    await eventually(lambda: queue.reserved_count == 0, "free slot at the home")
    assert not any(track.own for track in pool.scheduler.tracks.values())
    assert not gateway.connections._busy
    assert pool.budget.remaining(time.monotonic()) >= 1


def test_replacement_that_is_not_needed_is_given_back(run):
    async def scenario():
        async with GatewayHarness() as harness:
            call = SimpleNamespace(search=None)
            pool, replacements = await start_search(harness, call)
            await replacements.stop(call, pool)
            await all_given_back(harness, pool)

    run(scenario())


def test_replacement_is_given_back_if_its_caller_leaves_meanwhile(run):
    """The end of the search is awaited, and the caller leaves in just this turn."""

    async def scenario():
        async with GatewayHarness() as harness:
            call = SimpleNamespace(search=None)
            pool, replacements = await start_search(harness, call)
            stopping = asyncio.ensure_future(replacements.stop(call, pool))
            await asyncio.sleep(0)
            stopping.cancel()
            await asyncio.wait({stopping})
            await all_given_back(harness, pool)

    run(scenario())


@pytest.mark.parametrize("end", ["caller leaves", "deadline", "engine goes on", "cut"])
def test_search_that_still_waits_is_withdrawn_with_its_request(run, end):
    async def scenario():
        async with GatewayHarness(configuration()) as harness:
            fillers = await fill(harness, "engines-2")
            (queue,) = harness.gateway._homes._queues.values()
            harness.behaviour["engines-1"] = Behaviour(
                events=EVENTS,
                stall_after=2,
                stall_s=0.6 if end in ("engine goes on", "cut") else 60.0,
                cut_after=2 if end == "cut" else None,
            )
            conn = await harness.caller()
            deadline = [(NAMES.deadline, b"1500")]
            await send(conn, "/resumable/x", "p1", headers=deadline)
            await eventually(lambda: queue.scheduler.waiting, "search")
            if end == "caller leaves":
                conn.abort()
            else:
                answer = await read(conn)
                assert answer.whole == (end == "engine goes on")
            upstream, _ = harness.upstreams["engines-1"]
            await eventually(lambda: not upstream.working, "end of the run")
            await eventually(lambda: not queue.scheduler.waiting, "empty queue")
            for filler in fillers:
                filler.abort()
            await all_given_back(harness, harness.gateway.state.pool("engines"))

    run(scenario())
