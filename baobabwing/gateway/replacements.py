"""Slots at other upstreams for requests that are still running at one."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from functools import partial
from typing import Protocol

from baobabwing.exceptions import (
    ConnectionLostError,
    DescriptorShortageError,
    NoSlotError,
)
from baobabwing.gateway.call import AttemptResult, Call, Replacement
from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.decisions.scheduling import Grant, PlacementRequest
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.request_recorder import RequestRecorder
from baobabwing.gateway.retries import Retries
from baobabwing.gateway.state import GatewayState
from baobabwing.gateway.upstream_connections import ConnectionPool

__all__ = ["Replacements"]

# Shortest time between two requests for a slot, or two looks at the retry budget.
_RECHECK_S = 0.1


class _MakePlacementRequest(Protocol):
    def __call__(
        self, call: Call, *, excluded: set[str] = ..., generated_tokens: int = ...
    ) -> PlacementRequest: ...


class Replacements:
    """Finds replacements for the upstreams of running requests.

    A running request leaves its upstream only for a :class:`Replacement`: a slot that
    is granted, a connection that is open and a retry that is paid for. Without one, the
    upstream that it has is the only one that may still answer.

    :param state: state of this node.
    :param connections: pool of persistent connections to upstreams.
    :param recorder: logs upstreams that can't be reached.
    :param retries: bounds on sends and retries.
    :param placement_request: returns the placement request of a call.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        connections: ConnectionPool,
        recorder: RequestRecorder,
        retries: Retries,
        placement_request: _MakePlacementRequest,
    ) -> None:
        self._state = state
        self._connections = connections
        self._recorder = recorder
        self._retries = retries
        self._placement_request = placement_request

    def may_seek(self, call: Call, pool: PoolRuntime) -> bool:
        """Whether a replacement would be of use now."""
        if self._retries.obstacle(call, AttemptResult.FAILED):
            return False
        return _found(call) is not None or self._retries.budget_left(pool) >= 1

    def start(
        self, call: Call, search: Coroutine[None, None, Replacement | None]
    ) -> asyncio.Task[Replacement | None]:
        """Run a search beside the current attempt of a call."""
        call.search = asyncio.ensure_future(search)
        return call.search

    def take_found(self, call: Call) -> bool:
        """Have a call go on at what its search has found; return whether it can."""
        found = _found(call)
        if found is None or not self._connections.may_use(found.connection):
            return False
        if self._retries.obstacle(call, AttemptResult.FAILED):
            return False
        call.replacement, call.search = found, None
        return True

    async def stop(self, call: Call, pool: PoolRuntime) -> None:
        """End the search of a call, and give back what it has found."""
        search, call.search = call.search, None
        if search is None:
            return
        search.cancel()
        # Called even if the caller leaves while the end of the search is awaited.
        search.add_done_callback(partial(self._give_back_found, pool))
        await asyncio.wait({search})

    def give_back(self, pool: PoolRuntime, replacement: Replacement) -> None:
        """Give back a replacement that is not used: slot, connection and retry."""
        self._release(pool, replacement)
        pool.budget.give_back()

    def _give_back_found(
        self, pool: PoolRuntime, search: asyncio.Task[Replacement | None]
    ) -> None:
        if not search.cancelled() and (found := search.result()) is not None:
            self.give_back(pool, found)

    def _release(self, pool: PoolRuntime, replacement: Replacement) -> None:
        entry = replacement.grant.track.entry
        self._connections.put_back(
            entry.address, entry.instance, replacement.connection
        )
        pool.free(replacement.grant, UpdateKind.RELEASED)

    async def find(
        self, call: Call, pool: PoolRuntime, current: Grant
    ) -> Replacement | None:
        """Find a replacement at any other upstream, however long that takes.

        :param current: the slot where the call runs.
        :returns: the replacement; ``None`` once there can be none.
        """
        excluded = {current.track.entry.instance}
        while not self._retries.obstacle(call, AttemptResult.FAILED):
            if self._retries.budget_left(pool) < 1:
                await asyncio.sleep(_RECHECK_S)
                continue
            request = self._placement_request(call, excluded=excluded)
            try:
                grant = await pool.place(request, self._state.nodes)
            except TimeoutError:
                return None
            except NoSlotError as exc:
                await asyncio.sleep(max(exc.retry_after_s, _RECHECK_S))
                continue
            found = await self._connect(call, pool, grant)
            if found is None:
                excluded.add(grant.track.entry.instance)
            elif self._take_retry(call, pool, found):
                return found
        return None

    async def find_faster(
        self, call: Call, pool: PoolRuntime, current: Grant, generated_tokens: int
    ) -> Replacement | None:
        """Find a replacement at a much faster upstream, if one has a slot now.

        :param current: the slot where the call runs.
        :param generated_tokens: tokens generated so far.
        """
        request = self._placement_request(call, generated_tokens=generated_tokens)
        grant = await pool.move(request, current)
        if grant is None:
            return None
        found = await self._connect(call, pool, grant)
        if found is not None and self._take_retry(call, pool, found):
            return found
        return None

    async def _connect(
        self, call: Call, pool: PoolRuntime, grant: Grant
    ) -> Replacement | None:
        """Connect to the upstream of a slot; release the slot if that fails."""
        entry = grant.track.entry
        try:
            connection = await self._connections.acquire(
                entry.address,
                entry.instance,
                request_id=call.request_head.request_id,
            )
        except DescriptorShortageError as exc:
            pool.free(grant, UpdateKind.RELEASED)
            self._recorder.unreachable(call, grant, exc)
            return None
        except ConnectionLostError as exc:
            grant.track.record_failure(time.monotonic(), hard=True)
            pool.free(grant, UpdateKind.LOST)
            self._recorder.unreachable(call, grant, exc)
            return None
        except asyncio.CancelledError:
            pool.free(grant, UpdateKind.RELEASED)
            raise
        return Replacement(grant=grant, connection=connection)

    def _take_retry(self, call: Call, pool: PoolRuntime, found: Replacement) -> bool:
        """Set a retry aside for a replacement; release it if there is none."""
        may_go_on = not self._retries.obstacle(call, AttemptResult.FAILED)
        if may_go_on and pool.budget.try_take(time.monotonic()):
            return True
        self._release(pool, found)
        return False


def _found(call: Call) -> Replacement | None:
    """Return what the search of a call has found; ``None`` if nothing yet."""
    search = call.search
    return search.result() if search is not None and search.done() else None
