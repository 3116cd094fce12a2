"""Requests that reach a second upstream, counted at the upstreams of one window."""

import asyncio
import contextlib

import pytest

from baobabwing.exceptions import BaobabwingError
from baobabwing.gateway.settings import RetrySettings
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.gateway_fleet import GatewayFleet

NODES = 4
REPEATS = RetrySettings(ratio=0.2, slack=40.0, window_s=8.0)
CALLERS = 4
# Time between two requests of a caller, and between two changes.
PAUSE_S = 0.12
STEP_S = 0.8


def at_once(fleet):
    return [tuple(range(NODES))]


def in_turn(fleet):
    return [(node,) for node in range(NODES)]


def twice(fleet):
    return 2 * at_once(fleet)


async def keep_asking(fleet, node, name, ended):
    """Send requests to a node one after the other, whatever becomes of them."""
    number = 0
    while not ended.is_set():
        number += 1
        # The node may be down.
        with contextlib.suppress(OSError, BaobabwingError):
            await fleet.ask(
                node,
                "/safe/x",
                f"{name}-{number}",
                headers=[(b"x-deadline-ms", b"700")],
            )
        await asyncio.sleep(PAUSE_S)


def arrivals(fleet):
    """Return the times of first arrivals, and of all further ones."""
    seen = sorted(
        (request.at, request.request_id)
        for upstream, _ in fleet.upstreams.values()
        for request in upstream.seen
    )
    first, further, known = [], [], set()
    for at, request_id in seen:
        (further if request_id in known else first).append(at)
        known.add(request_id)
    return first, further


def worst_excess(fleet):
    """Return the largest excess over the bound in any window."""
    first, further = arrivals(fleet)

    def count(times, begin):
        return sum(begin <= at < begin + REPEATS.window_s for at in times)

    return max(
        count(further, begin)
        - REPEATS.slack
        - REPEATS.ratio
        * max(count(first, begin - back * REPEATS.window_s) for back in (0, 0.5, 1))
        for begin in further
    )


@pytest.mark.parametrize("restarts", [at_once, in_turn, twice])
@pytest.mark.parametrize(
    "behaviour", [Behaviour(refuse=True), Behaviour(status=500, delay_s=0.002)]
)
def test_nodes_that_restart_send_no_more_retries_than_others(run, restarts, behaviour):
    """Each start brought a whole new allowance of retries within the same window."""

    async def scenario():
        async with GatewayFleet(nodes=NODES, services=8, repeats=REPEATS) as fleet:
            fleet.usual["services"] = behaviour
            ended = asyncio.Event()
            callers = [
                asyncio.ensure_future(
                    keep_asking(fleet, node, f"caller-{node}-{number}", ended)
                )
                for node in range(NODES)
                for number in range(CALLERS)
            ]
            await asyncio.sleep(STEP_S)
            for nodes in restarts(fleet):
                await fleet.restart(*nodes)
                await asyncio.sleep(STEP_S)
            ended.set()
            await asyncio.gather(*callers)
            assert worst_excess(fleet) <= 0

    run(scenario())
