"""Reading from an upstream that may be unresponsive."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from baobabwing.exceptions import UnresponsiveError
from baobabwing.gateway.call import Call
from baobabwing.gateway.decisions.scheduling import Grant
from baobabwing.gateway.events import UPSTREAM_UNRESPONSIVE
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.replacements import Replacements
from baobabwing.reports.events import log

__all__ = ["read_while_responsive"]

# A call that may be retried seeks another upstream after this many times the usual
# response time, and not before the minimum: ordinary queueing takes up to that long.
_SERVICE_TIMEOUT_RATIO = 6.0
_MIN_SERVICE_TIMEOUT_S = 0.12
# A resumable stream seeks another upstream if its own sent nothing on any stream of
# this node for this many times the gap objective. Prefill of several long prompts may
# take as long, so the stream stays until another upstream can take it.
_STREAM_TIMEOUT_GAPS = 2.0
# Before its first event, a stream waits at least this many times the predicted time.
_FIRST_EVENT_TIMEOUT_RATIO = 3.0
# Before an upstream counts as unresponsive, its connection is read once more for this
# long: if this node itself was stalled, the answer may be unread in the socket buffer
# when the timers fire.
_FINAL_READ_S = 0.005

_Read = TypeVar("_Read")


async def read_while_responsive(
    call: Call,
    pool: PoolRuntime,
    grant: Grant,
    read: Callable[[], Awaitable[_Read]],
    *,
    replacements: Replacements,
) -> _Read:
    """Read from an upstream; leave it if it is unresponsive and another one is ready.

    :param read: reads the next part of the answer; may be cancelled and called again.
    :param replacements: finds the other one.
    :raises UnresponsiveError: if the call goes on at ``call.replacement``.
    """
    timeout_s = wait_s = _response_timeout_s(call, grant)
    while True:
        try:
            async with asyncio.timeout(wait_s):
                return await read()
        except TimeoutError:
            idle_s = time.monotonic() - max(grant.track.received_at, grant.granted_at)
            unresponsive = timeout_s is not None and idle_s >= timeout_s
            if not unresponsive or not replacements.may_seek(call, pool):
                wait_s = timeout_s
            elif wait_s != _FINAL_READ_S:
                wait_s = _FINAL_READ_S
            else:
                break
    _log_unresponsive(call, grant, idle_s, timeout_s)
    if not call.unresponsive:
        call.unresponsive = True
        pool.report_unresponsive(grant)
    return await _read_until_replaced(
        call, pool, grant, read, replacements=replacements
    )


async def _read_until_replaced(
    call: Call,
    pool: PoolRuntime,
    grant: Grant,
    read: Callable[[], Awaitable[_Read]],
    *,
    replacements: Replacements,
) -> _Read:
    """Read on while a replacement is sought; what comes first decides.

    If the reading fails, the search stays with the call.
    """
    if not replacements.take_found(call):
        await replacements.stop(call, pool)
        search = replacements.start(call, replacements.find(call, pool, grant))
        reading = asyncio.ensure_future(read())
        try:
            await asyncio.wait({reading, search}, return_when=asyncio.FIRST_COMPLETED)
            if reading.done() or not replacements.take_found(call):
                answer = await reading
                await replacements.stop(call, pool)
                return answer
        finally:
            _cancel(reading)
    raise UnresponsiveError("unresponsive", step="wait", peer=grant.track.entry.address)


def _cancel(task: asyncio.Task) -> None:
    """Cancel a task whose result is not needed."""
    task.cancel()
    task.add_done_callback(lambda ended: ended.cancelled() or ended.exception())


def _log_unresponsive(
    call: Call, grant: Grant, idle_s: float, timeout_s: float
) -> None:
    log(
        UPSTREAM_UNRESPONSIVE,
        request=call.request_head.request_id,
        upstream=grant.track.entry.instance,
        idle_ms=round(1000 * idle_s, 1),
        timeout_ms=round(1000 * timeout_s, 1),
        predicted_ms=round(1000 * grant.predicted_s, 1),
        own=len(grant.track.own),
        events=call.splitter.events - call.prior_events,
        prompt_tokens=grant.request.prompt_tokens,
        left_ms=round(1000 * (call.ends_at - time.monotonic()), 1),
    )


def _response_timeout_s(call: Call, grant: Grant) -> float | None:
    """Return how long to wait for an unresponsive upstream; ``None``: no limit."""
    route = call.route
    if not route.repeatable or call.runs >= route.attempts:
        return None
    if not route.streams:
        response_s = (
            grant.track.event_interval_s
            or _MIN_SERVICE_TIMEOUT_S / _SERVICE_TIMEOUT_RATIO
        )
        return max(_SERVICE_TIMEOUT_RATIO * response_s, _MIN_SERVICE_TIMEOUT_S)
    gap_s = _STREAM_TIMEOUT_GAPS * route.gap_objective_s
    if call.first_event_at is None:
        return max(gap_s, _FIRST_EVENT_TIMEOUT_RATIO * grant.predicted_s)
    return gap_s
