"""What a search has found is used or given back, however its request goes on."""

import asyncio
import time
from types import SimpleNamespace

from baobabwing.gateway.call import Replacement
from baobabwing.gateway.decisions.scheduling import PlacementRequest
from tests.gateway.harness import GatewayHarness, eventually


def allow_one_retry(pool):
    pool.budget.reload(ratio=0.0, slack=2.0, window_s=10.0)


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
        assert pool.budget.try_take(time.monotonic(), nodes=1)
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
    assert pool.budget.remaining(time.monotonic(), nodes=1) >= 1


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
