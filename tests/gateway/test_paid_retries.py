"""Whatever reaches a second upstream has been paid for from the retry budget."""

import asyncio
import time

import pytest

from baobabwing.gateway.decisions.retry_budget import RetryBudget
from baobabwing.gateway.model import UpstreamEntry
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import NAMES, GatewayHarness, ask, free_address
from tests.gateway.test_stream_moves import (
    HEADERS,
    begin_at_the_slow_engine,
)
from tests.gateway.test_stream_moves import (
    configuration as slow_and_fast_engines,
)

REQUESTS = 6
_WAYS = []


def way(func):
    """Register a way in which requests come to a second upstream."""
    _WAYS.append(func)
    return func


async def ask_all(harness, target, headers=()):
    async def one(number):
        conn = await harness.caller()
        await ask(conn, target, f"r{number}", headers=headers)

    await asyncio.gather(*(one(number) for number in range(REQUESTS)))


@way
async def failures(harness):
    harness.behaviour["services"] = Behaviour(status=500)
    await ask_all(harness, "/safe/x")


@way
async def refusals(harness):
    harness.behaviour["services"] = Behaviour(refuse=True)
    await ask_all(harness, "/unsafe/x", [(NAMES.deadline, b"700")])


@way
async def lost_answers(harness):
    harness.behaviour["services-1"] = Behaviour(cut_after=1, reset=True)
    await ask_all(harness, "/safe/x")


@way
async def streams_that_are_cut(harness):
    harness.behaviour["engines"] = Behaviour(events=5, cut_after=2)
    await ask_all(harness, "/resumable/x")


@way
async def silent_upstreams(harness):
    harness.behaviour["services-1"] = Behaviour(mute=True)
    await ask_all(harness, "/safe/x", [(NAMES.deadline, b"2500")])


@way
async def unreachable_upstream_after_a_failure(harness):
    harness.behaviour["services"] = Behaviour(status=500)
    entries = [
        UpstreamEntry(instance=name, pool=pool, address=upstream.address, slots=4)
        for name, (upstream, pool) in harness.upstreams.items()
    ]
    unreachable = UpstreamEntry(
        instance="services-3", pool="services", address=free_address(), slots=4
    )
    harness.gateway.state.take_upstreams([*entries, unreachable], source="test")
    await ask_all(harness, "/safe/x")


@way
async def moves(harness):
    await begin_at_the_slow_engine(harness)
    await ask_all(harness, "/resumable/x", HEADERS)


@pytest.mark.parametrize("requests_come_again", _WAYS)
def test_each_further_arrival_is_a_retry_that_was_spent(
    run, monkeypatch, requests_come_again
):
    """A send that no budget counts adds to what all nodes may send together."""
    spent = []
    spend = RetryBudget.spend
    monkeypatch.setattr(
        RetryBudget, "spend", lambda budget: spent.append(1) or spend(budget)
    )
    cfg = slow_and_fast_engines() if requests_come_again is moves else None

    async def scenario():
        async with GatewayHarness(cfg) as harness:
            await requests_come_again(harness)
            arrived = [
                seen.request_id
                for upstream, _ in harness.upstreams.values()
                for seen in upstream.seen
                if seen.request_id.startswith("r")
            ]
            assert len(arrived) - len(set(arrived)) == len(spent) > 0
            for pool in harness.gateway.state.pools.values():
                assert pool.budget.remaining(time.monotonic()) <= pool.budget.capacity
                assert pool.budget.set_aside == 0

    run(scenario())
