"""All nodes together stay within the rate limits that upstreams state."""

import asyncio
import contextlib
import time

import pytest

from baobabwing.exceptions import BaobabwingError
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.gateway_fleet import GatewayFleet

NODES = 6
PER_S = 2
WINDOW_S = 4.0
# What the operators allow in a window.
MOST = 1.5 * PER_S * WINDOW_S + 5
CALLERS = 12
PAUSE_S = 0.03
# Time from the first statement until the operators count.
STABLE_S = 2.5
_LOADS = []


def load(func):
    """Register a way in which requests come while upstreams state limits."""
    _LOADS.append(func)
    return func


def limit(fleet, *names, value=b"%d" % PER_S):
    for name in names:
        fleet.upstreams[name][0].rate_limit = value


async def ask_until(fleet, caller, target, ended):
    number = 0
    statuses = []
    while not ended.is_set():
        number += 1
        # The node may be down.
        with contextlib.suppress(OSError, BaobabwingError):
            answer = await fleet.ask(
                caller % NODES,
                target,
                f"{caller}-{number}",
                headers=[(b"x-deadline-ms", b"900")],
            )
            statuses.append(answer.status)
        await asyncio.sleep(PAUSE_S)
    return statuses


def most_in_a_window(upstream, since):
    times = [seen.at for seen in upstream.seen if seen.at >= since]
    return max(
        (sum(begin <= at < begin + WINDOW_S for at in times) for begin in times),
        default=0,
    )


async def rush(fleet, *targets, change=None, seconds=WINDOW_S + 1.0):
    """Load all nodes; return when the operators begin to count, and all statuses."""
    ended = asyncio.Event()
    callers = [
        asyncio.ensure_future(
            ask_until(fleet, number, targets[number % len(targets)], ended)
        )
        for number in range(CALLERS)
    ]
    await asyncio.sleep(STABLE_S)
    since = time.monotonic()
    if change is not None:
        await change()
    await asyncio.sleep(seconds)
    ended.set()
    statuses = [status for each in await asyncio.gather(*callers) for status in each]
    return since, statuses


def assert_within(fleet, since, *names):
    for name in names:
        assert 1 <= most_in_a_window(fleet.upstreams[name][0], since) <= MOST, name


@load
async def services(fleet):
    limit(fleet, "services-1")
    since, statuses = await rush(fleet, "/safe/x", "/unsafe/x")
    assert_within(fleet, since, "services-1")
    assert statuses.count(200) >= 0.98 * len(statuses)


@load
async def engines(fleet):
    """The engines without a limit are full: the others are used up to theirs."""
    limit(fleet, "engines-1", "engines-2")
    fleet.usual["engines"] = Behaviour(events=5, gap_s=0.06)
    since, statuses = await rush(fleet, "/stream/x", "/resumable/x")
    assert_within(fleet, since, "engines-1", "engines-2")
    for name in ("engines-1", "engines-2"):
        assert most_in_a_window(fleet.upstreams[name][0], since) >= PER_S * WINDOW_S / 2
    assert statuses.count(200) >= 0.9 * len(statuses)


@load
async def all_services(fleet):
    names = ("services-1", "services-2", "services-3")
    limit(fleet, *names)
    since, statuses = await rush(fleet, "/safe/x", "/unsafe/x")
    assert_within(fleet, since, *names)
    assert statuses.count(200) >= len(names) * PER_S * WINDOW_S
    assert set(statuses) == {200, 503}


@load
async def all_engines(fleet):
    names = ("engines-1", "engines-2", "engines-3", "engines-4")
    limit(fleet, *names)
    since, statuses = await rush(fleet, "/stream/x")
    assert_within(fleet, since, *names)
    assert statuses.count(200) >= len(names) * PER_S * WINDOW_S
    assert set(statuses) == {200, 503}


@load
async def retries(fleet):
    """All but the limited service fail, so that each request is to be retried there."""
    limit(fleet, "services-1")
    fleet.by_name["services-2"] = Behaviour(status=500)
    fleet.by_name["services-3"] = Behaviour(status=500)
    since, _ = await rush(fleet, "/safe/x")
    assert_within(fleet, since, "services-1")


@load
async def streams_that_break_off(fleet):
    """All engines but one break streams off, which go on at the limited one."""
    limit(fleet, "engines-1")
    fleet.usual["engines"] = Behaviour(events=5, cut_after=2)
    fleet.by_name["engines-1"] = Behaviour(events=5)
    since, _ = await rush(fleet, "/resumable/x")
    assert_within(fleet, since, "engines-1")


@load
async def killed_nodes(fleet):
    """Nodes that start know nothing of the limit; the others keep it meanwhile."""
    limit(fleet, "engines-1", "services-1")
    since, _ = await rush(
        fleet, "/stream/x", "/safe/x", change=lambda: fleet.restart(0, 1, 2)
    )
    # Each node that starts may send one request until it knows.
    for name in ("engines-1", "services-1"):
        most = most_in_a_window(fleet.upstreams[name][0], since)
        assert 1 <= most <= MOST + 3, name


@pytest.mark.parametrize("play", _LOADS)
def test_nodes_together_stay_within_a_stated_limit(run, play):
    """Upstreams that had stated what they take got all that nodes had for them."""

    async def scenario():
        async with GatewayFleet(nodes=NODES, engines=4, services=3) as fleet:
            fleet.usual["services"] = Behaviour(delay_s=0.01)
            await play(fleet)

    run(scenario())
