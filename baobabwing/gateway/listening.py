"""Waiting for an upstream, but not for one that has gone mute."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from baobabwing.exceptions import ConnectionLostError
from baobabwing.gateway.call import Call
from baobabwing.gateway.decisions.scheduling import Grant
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.state import GatewayState

__all__ = ["read_while_responsive"]

# A repeatable call whose upstream is silent this many times its usual time goes
# elsewhere; below the floor, ordinary queueing would do it.
_SERVICE_TIMEOUT_RATIO = 6.0
_MIN_SERVICE_TIMEOUT_S = 0.12
# A resumable stream leaves an upstream from which nothing came on any stream for
# this many times the longest pause that is in time. Long prompts beside it make
# one stream pause for half a second, but not all of them for twice that.
_STREAM_TIMEOUT_GAPS = 2.0
# Before a first event also for this many times what was predicted.
_FIRST_EVENT_TIMEOUT_RATIO = 3.0
# Before an upstream counts as mute, its connection is read once more for this long: if
# this node itself stood still, the answer may lie there unread while timers are due.
_FINAL_READ_S = 0.005

_Read = TypeVar("_Read")


async def read_while_responsive(
    call: Call,
    pool: PoolRuntime,
    grant: Grant,
    read: Callable[[], Awaitable[_Read]],
    *,
    state: GatewayState,
) -> _Read:
    """Read from an upstream; give up on one that is mute, if another may be tried.

    :param state: tells how many nodes share the budget of second tries.
    :raises ConnectionLostError: if it is mute and another may be tried.
    """
    timeout_s = wait_s = _response_timeout_s(call, grant)
    while True:
        try:
            async with asyncio.timeout(wait_s):
                return await read()
        except TimeoutError as exc:
            idle_s = time.monotonic() - max(grant.track.heard_at, grant.since)
            unresponsive = timeout_s is not None and idle_s >= timeout_s
            # Nothing is broken off that could not go on elsewhere.
            if not unresponsive or pool.budget.left(state.nodes) < 1:
                wait_s = timeout_s
            elif wait_s != _FINAL_READ_S:
                wait_s = _FINAL_READ_S
            else:
                raise ConnectionLostError(
                    "mute", step="wait", peer=grant.track.entry.address
                ) from exc


def _response_timeout_s(call: Call, grant: Grant) -> float | None:
    """Return how long an upstream may be silent before another is tried."""
    route = call.route
    if not route.repeatable or call.runs >= route.attempts:
        return None
    if not route.streams:
        response_s = (
            grant.track.pace_s or _MIN_SERVICE_TIMEOUT_S / _SERVICE_TIMEOUT_RATIO
        )
        return max(_SERVICE_TIMEOUT_RATIO * response_s, _MIN_SERVICE_TIMEOUT_S)
    gap_s = _STREAM_TIMEOUT_GAPS * route.gap_objective_s
    if call.first_event_at is None:
        return max(gap_s, _FIRST_EVENT_TIMEOUT_RATIO * grant.predicted_s)
    return gap_s
