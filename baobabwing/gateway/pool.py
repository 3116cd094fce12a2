"""One pool at one node: reserves and releases slots at its upstreams."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from random import Random
from typing import Protocol

from baobabwing.exceptions import NoSlotError
from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.decisions.plain_slots import HomeBackoff, needs_home
from baobabwing.gateway.decisions.rate_limits import RateLimits
from baobabwing.gateway.decisions.retry_budget import RetryBudget
from baobabwing.gateway.decisions.scheduling import (
    Grant,
    PlacementRequest,
    PoolScheduler,
)
from baobabwing.gateway.decisions.stream_origins import SoftwareHistory
from baobabwing.gateway.decisions.told_load import USUAL_PERCENT, ToldLoad
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.decisions.zone_choice import AnswerSize
from baobabwing.gateway.events import (
    MACHINES_SHARED,
    PLACED_ALONE,
    RATE_LIMIT,
    REFUSAL_LIMIT,
)
from baobabwing.gateway.placement.cell_homes import CellPool
from baobabwing.gateway.placement.messages import CellLoad
from baobabwing.gateway.placement.placer import Placer
from baobabwing.gateway.zone_reports import log_zone_changes
from baobabwing.reports.events import log

__all__ = ["PoolRuntime"]

# If no home responds, a node places requests itself for this long before it contacts
# the homes again.
_LOCAL_PLACEMENT_S = 0.25
# Longest wait of a request for a plain service until a home answers: an eighth of the
# shortest usual objectives, which are some 400 ms.
_MAX_PLAIN_ANSWER_S = 0.05
# An upstream that crashed is replaced after some seconds.
_SOFTWARE_RETRY_AFTER_S = 1.0

# Part of the time to its deadline for which the most urgent request waits for a permit
# where all upstreams have rate limits, and the longest wait. Less urgent ones wait
# shorter, and so leave the permits to it.
_PERMIT_WAIT_SHARE = 0.5
_MAX_PERMIT_WAIT_S = 1.0
# Time without a report of work time after which a pool no longer counts as sharing its
# machines: longer than the pauses of a pool with few requests.
_SHARING_TIMEOUT_S = 60.0

# Interval at which requests that wait here for a slot in their zone are looked at, as
# they may have to leave it to be in time.
_ZONE_CHECK_S = 0.05

_PlaceAside = Callable[[PlacementRequest], Grant | None]


class _Permit(Protocol):
    granted: bool
    seconds: float


class Permits(Protocol):
    """What a pool needs of :class:`~baobabwing.gateway.send_permits.SendPermits`."""

    async def obtain(
        self, pool: PoolRuntime, track: UpstreamTrack, wait_s: float
    ) -> _Permit:
        """Obtain a permit for one request to a limited upstream."""

    def announce(self, pool: PoolRuntime, track: UpstreamTrack, *, new: bool) -> None:
        """Tell the other nodes what an answer states of a limit."""


class PoolRuntime:
    """Reserves and releases slots of one pool at this node.

    Requests for engines are placed by the home of a cell, which receives those of all
    nodes: engines admit in order of arrival, so requests must be queued where they can
    be ordered. Requests for plain services are placed by this node: they take some ms,
    and the round trip to a home would be a large part of that. Services that share
    their machines take longer; if the nodes outnumber their slots, a home grants these.

    :param scheduler: this node's own measurements of the upstreams; places requests for
        plain services, and all requests while no home responds.
    :param placer: client of the homes; ``None`` if this node does not use homes.
    :param software: versions that the upstreams have had lately; none by default.
    :param share_plain_slots: whether homes grant the slots of few plain services.
    :param rng: spreads the times after which an overloaded home is asked again.
    :ivar answer_size: mean size of the pool's answers.
    :ivar place_aside: returns a slot at an upstream of the pool that the scheduler does
        not list, for a stream that goes on, or ``None``.
    :ivar permits: grants the sends to upstreams with rate limits, and tells the other
        nodes of these; ``None`` if nothing is limited.
    :ivar on_refusal: called with the crc of a plain service that has refused a request
        while there is a limit on refusals.
    """

    def __init__(
        self,
        *,
        name: str,
        scheduler: PoolScheduler,
        budget: RetryBudget,
        placer: Placer | None,
        software: SoftwareHistory | None = None,
        share_plain_slots: bool = True,
        rng: Random | None = None,
    ) -> None:
        self.scheduler = scheduler
        self.budget = budget
        self.rate_limits = RateLimits()
        self.cells = CellPool(
            name=name, scheduler=scheduler, rate_limits=self.rate_limits
        )
        self._placer = placer
        self._share_plain_slots = share_plain_slots
        self._backoff = HomeBackoff(rng=rng or Random())
        self._waiters: dict[int, asyncio.Future[Grant]] = {}
        self.software = software or SoftwareHistory()
        self.answer_size = AnswerSize()
        self.place_aside: _PlaceAside = lambda request: None
        self.permits: Permits | None = None
        self.on_refusal: Callable[[int], None] = lambda upstream: None
        self._reopening: asyncio.TimerHandle | None = None
        self._sharing_until = 0.0

    async def place(self, request: PlacementRequest, nodes: int) -> Grant:
        """Reserve a slot at an upstream, waiting until one is free.

        :param nodes: number of nodes that share the pool.
        :raises TimeoutError: if no slot became free before the request's deadline.
        :raises NoSlotError: if no slot can become free before that deadline.
        """
        self.scheduler.nodes = max(nodes, 1)
        if request.software and not self.scheduler.has_software(
            request.software, request.excluded
        ):
            return await self._place_aside(request)
        permit_by = time.monotonic() + self._permit_wait_s(request)
        async with asyncio.timeout_at(request.deadline_at):
            while True:
                await self._wait_until_open(request, permit_by)
                grant = await self._place_once(request, nodes)
                if grant is not None and await self.permit(grant, permit_by):
                    return grant

    async def _place_once(self, request: PlacementRequest, nodes: int) -> Grant | None:
        """Reserve a slot by the home of a cell, or by this node's own knowledge."""
        if not self._uses_homes():
            self.scheduler.max_own, self.scheduler.alone = None, False
            return await self._place_locally(request)
        if self.scheduler.engine is None:
            grant = await self._place_plain(request)
        else:
            grant = await self._placer.place(self.cells, request)
        if grant is None:
            grant = await self._place_without_home(request, nodes)
        return grant

    async def _place_plain(self, request: PlacementRequest) -> Grant | None:
        """Reserve a slot at a plain service by a home, if one answers in time."""
        if not self._backoff.may_ask(time.monotonic()):
            return None
        try:
            grant = await self._placer.place(
                self.cells, request, max_answer_s=_MAX_PLAIN_ANSWER_S
            )
        except NoSlotError:
            self._backoff.record_answer()
            raise
        if grant is None:
            self._backoff.record_silence(time.monotonic(), self.scheduler.nodes)
        else:
            self._backoff.record_answer()
        return grant

    def _uses_homes(self) -> bool:
        """Whether the homes of the cells place requests of this pool."""
        if self._placer is None:
            return False
        if self.scheduler.engine is not None:
            return True
        return self._share_plain_slots and needs_home(
            self.scheduler, self.scheduler.nodes
        )

    async def permit(self, grant: Grant, permit_by: float = 0.0) -> bool:
        """Obtain a permit for a slot at an upstream with a rate limit.

        A slot from a home that knows the limit has one already. Without one the slot is
        released, and the upstream left until its next permit.

        :param permit_by: until when the request waits for the permit if no upstream
            without a limit is open.
        :returns: whether the request may be sent.
        """
        track, request, now = grant.track, grant.request, time.monotonic()
        limited = self.permits is not None and self.rate_limits.get(track.crc)
        if not limited or grant.has_permit:
            return True
        try:
            wait_s = 0.0 if self._any_unlimited(request) else permit_by - now
            permit = await self.permits.obtain(self, track, max(wait_s, 0.0))
        except asyncio.CancelledError:
            self._release_unused(grant)
            raise
        if not permit.granted:
            self._release_unused(grant)
            self.scheduler.close(track, time.monotonic() + permit.seconds)
            asyncio.get_running_loop().call_later(permit.seconds, self.pump)
        return permit.granted

    def _release_unused(self, grant: Grant) -> None:
        self._notify_home(grant, UpdateKind.RELEASED)
        grant.track.remove_request(grant.request.number)

    def _any_unlimited(self, request: PlacementRequest) -> bool:
        """Whether an upstream without a rate limit is open for a request."""
        now = time.monotonic()
        return any(
            self.rate_limits.get(track.crc) is None
            for instance, track in self.scheduler.tracks.items()
            if instance not in request.excluded and track.is_usable(now)
        )

    def _permit_wait_s(self, request: PlacementRequest) -> float:
        """Return how long a request waits for a permit where all have rate limits."""
        left_s = max(request.deadline_at - time.monotonic(), 0.0)
        wait_s = _PERMIT_WAIT_SHARE * left_s / (1 + request.rank)
        return min(wait_s, _MAX_PERMIT_WAIT_S)

    async def _place_aside(self, request: PlacementRequest) -> Grant:
        """Reserve a slot outside the scheduler for a stream that goes on.

        :raises NoSlotError: if no upstream of its version has a free slot.
        """
        grant = self.place_aside(request)
        if grant is None or not await self.permit(grant):
            raise NoSlotError(
                "no upstream of the stream's version serves",
                retry_after_s=_SOFTWARE_RETRY_AFTER_S,
                step="place",
            )
        return grant

    def pause_upstream(self, grant: Grant, seconds: float) -> None:
        """Send nothing to an upstream for the time stated in its ``Retry-After``."""
        until = time.monotonic() + seconds
        self.scheduler.close(grant.track, until)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self.pump)

    def record_refusal(self, grant: Grant) -> None:
        """Record that an upstream refused a request for load.

        Of an engine, the home learns it too, and decides when it gets requests again.
        """
        now = time.monotonic()
        if self._placer is not None and self.scheduler.engine is not None:
            grant.track.record_refusal(now)
            return
        self.scheduler.record_refusal(grant.track, now)
        if self.scheduler.refusal_limit.in_force:
            self.on_refusal(grant.track.crc)

    def note_refusal(self, upstream: int, per_s: float) -> None:
        """Record that an upstream has refused a request of another node.

        :param upstream: crc of its incarnation.
        :param per_s: the limit on its refusals a second.
        """
        self.note_refusal_limit(per_s)
        track = self.scheduler.track(upstream)
        if track is not None:
            self.scheduler.record_refusal(track, time.monotonic())

    def note_refusal_limit(self, per_s: float | None) -> None:
        """Record what an answer says of the limit on refusals of all upstreams."""
        limit = self.scheduler.refusal_limit
        if limit.per_s != per_s:
            log(REFUSAL_LIMIT, pool=self.cells.name, before=limit.per_s, per_s=per_s)
            limit.per_s = per_s

    def note_rate_limit(
        self, track: UpstreamTrack, per_s: float | None, *, sent_at: float
    ) -> None:
        """Record what an answer says of an upstream's rate limit.

        :param per_s: the limit; ``None`` if the answer states none.
        :param sent_at: when the request was sent. An answer to one that was sent before
            this node learned of the limit may be from before it began.
        """
        limit = self.rate_limits.get(track.crc)
        before = limit.per_s if limit is not None else None
        if per_s is not None:
            changed = self.rate_limits.set(track.crc, per_s, time.monotonic())
        elif limit is None or sent_at <= limit.learned_at:
            return
        else:
            changed = self.rate_limits.end(track.crc)
        if self.permits is not None:
            self.permits.announce(self, track, new=changed)
        if changed:
            log(
                RATE_LIMIT,
                pool=self.cells.name,
                upstream=track.entry.instance,
                before=before,
                per_s=per_s,
                by="answer",
            )

    def note_load(
        self, track: UpstreamTrack, load: ToldLoad | None, now: float
    ) -> None:
        """Record what an answer reports of its upstream's load.

        :param load: ``None`` if the answer reports none.
        """
        if load is None:
            return
        track.record_told_load(load)
        if load.work_percent is None:
            return
        self._sharing_until = max(self._sharing_until, now + _SHARING_TIMEOUT_S)
        if not self.scheduler.shares_machines:
            self._set_sharing(True, upstream=track.entry.instance)
            self._end_sharing_when_due()

    def _set_sharing(self, shares: bool, *, upstream: str = "") -> None:
        self.scheduler.shares_machines = shares
        log(MACHINES_SHARED, pool=self.cells.name, shared=shares, upstream=upstream)

    def _end_sharing_when_due(self) -> None:
        left_s = self._sharing_until - time.monotonic()
        if left_s > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(left_s, self._end_sharing_when_due)
        else:
            self._set_sharing(False)

    def reported_work(self) -> dict[str, float]:
        """Return the mean and the highest reported work time, 1 being usual.

        Empty unless the pool shares its machines.
        """
        percents = [
            track.usual_work.percent
            for track in self.scheduler.tracks.values()
            if track.usual_work.percent is not None
        ]
        if not (self.scheduler.shares_machines and percents):
            return {}
        mean, highest = sum(percents) / len(percents), max(percents)
        return {"mean": mean / USUAL_PERCENT, "highest": highest / USUAL_PERCENT}

    def any_open(self, excluded: AbstractSet[str], software: int = 0) -> bool:
        """Whether an upstream accepts requests, beside those that are excluded.

        :param excluded: instances.
        :param software: CRC-32 of the only version that counts; 0 for any.
        """
        now = time.monotonic()
        return any(
            track.is_open(now)
            for instance, track in self.scheduler.tracks.items()
            if instance not in excluded and track.may_continue(software)
        )

    def report_leaving(self, grant: Grant) -> None:
        """Notify the home of the cell that an engine announced that it is leaving."""
        self._notify_home(grant, UpdateKind.LEAVING)

    def report_unresponsive(self, grant: Grant) -> None:
        """Record that an upstream sends nothing, here and at the home of the cell."""
        grant.track.record_failure(time.monotonic())
        self._notify_home(grant, UpdateKind.UNRESPONSIVE)

    async def move(self, request: PlacementRequest, grant: Grant) -> Grant | None:
        """Request a slot at a much faster upstream for a running request.

        :param grant: the slot at which it runs now.
        :returns: the new slot; ``None`` if there is none at once.
        """
        if self._placer is None or self.scheduler.engine is None:
            return None
        moved = await self._placer.move(self.cells, request, grant)
        return moved if moved is not None and await self.permit(moved) else None

    def free(self, grant: Grant, kind: UpdateKind, pace_s: float | None = None) -> None:
        """Release a slot.

        :param kind: how the request ended at the upstream.
        :param pace_s: mean time between the events of its stream.
        """
        self._notify_home(grant, kind, pace_s)
        grant.track.remove_request(grant.request.number)
        held_s = time.monotonic() - grant.granted_at
        self.scheduler.record_holding(held_s, grant.request.number)
        self.pump()

    def describe(self, grant: Grant) -> dict[str, object]:
        """Return the granting home, its queue length and free slots, for the log."""
        ticket = self._placer.ticket(grant) if self._placer else None
        if ticket is None:
            return {"home": "", "queued": len(self.scheduler.waiting)}
        return {
            "home": ticket.home,
            "cell": ticket.cell.index,
            "queued": ticket.state.queued,
            "free": ticket.state.free,
        }

    def first_event(self, grant: Grant) -> None:
        """Record the first event of a request: its prompt has been read."""
        now = time.monotonic()
        grant.track.record_first_event(grant.request.number, now)
        self._notify_home(grant, UpdateKind.FIRST, now - grant.granted_at)

    def pump(self) -> None:
        """Grant free slots to the requests queued at this node."""
        now = time.monotonic()
        for grant in self.scheduler.grants(now):
            future = self._waiters.get(grant.request.number)
            if future is not None and not future.done():
                future.set_result(grant)
            else:
                grant.track.remove_request(grant.request.number)
        log_zone_changes(self.scheduler, self.cells.name)
        if self.scheduler.waiting:
            self._pump_when_open(now)

    def _pump_when_open(self, now: float) -> None:
        """Pump again once the next closed upstream opens."""
        reopens_in_s = self.scheduler.reopens_in_s(now)
        if self.scheduler.weighs_zones:
            reopens_in_s = _earlier(reopens_in_s, _ZONE_CHECK_S)
        if reopens_in_s <= 0:
            return
        if self._reopening is not None:
            self._reopening.cancel()
        loop = asyncio.get_running_loop()
        self._reopening = loop.call_later(reopens_in_s, self.pump)

    def _home_state(self) -> CellLoad | None:
        """Return the load as the homes reported it, if these place the requests."""
        return self._placer.state_of(self.cells) if self._uses_homes() else None

    @property
    def queued(self) -> int:
        """Requests queued for a slot: at the home if its state is known, else here."""
        state = self._home_state()
        return state.queued if state else len(self.scheduler.waiting)

    @property
    def turnover_s(self) -> float:
        """Mean time between two releases of a slot."""
        state = self._home_state()
        if state is not None:
            return state.turnover_s
        return self.scheduler.turnover_s(time.monotonic())

    def opens_in_s(self) -> float:
        """Return the time until an upstream is open; 0 or less if one is now."""
        now = time.monotonic()
        return self.scheduler.opens_at(now) - now

    def places_free(self) -> bool:
        """Whether a request would now get a slot without delaying another one."""
        state = self._home_state()
        if state is not None:
            return state.queued == 0 and state.free > 0
        free = self.scheduler.free_slots(time.monotonic())
        return not self.scheduler.waiting and free > 0

    async def _wait_until_open(
        self, request: PlacementRequest, permit_by: float
    ) -> None:
        """Wait while all upstreams of the pool are closed.

        :param permit_by: until when the request waits for upstreams with rate limits.
        :raises NoSlotError: if they stay closed for longer, or past its deadline.
        """
        wait_s = self.opens_in_s()
        if wait_s <= 0:
            return
        until = (
            min(request.deadline_at, permit_by)
            if self.rate_limits
            else (request.deadline_at)
        )
        if time.monotonic() + wait_s >= until:
            raise NoSlotError(
                "all upstreams are closed", retry_after_s=wait_s, step="place"
            )
        await asyncio.sleep(wait_s)

    def _notify_home(
        self, grant: Grant, kind: UpdateKind, pace_s: float | None = None
    ) -> None:
        if self._placer is not None:
            self._placer.note(grant, kind, pace_s)

    async def _place_without_home(
        self, request: PlacementRequest, nodes: int
    ) -> Grant | None:
        """Place a request without a home, within this node's share of the slots."""
        tracks = self.scheduler.tracks.values()
        slots = sum(track.slots for track in tracks)
        most = max(slots // max(nodes, 1), 1)
        if self.scheduler.engine is None:
            self.scheduler.go_alone(time.monotonic())
        else:
            self.scheduler.max_own = most
        log(PLACED_ALONE, pool=self.cells.name, most=most)
        try:
            async with asyncio.timeout(_LOCAL_PLACEMENT_S):
                return await self._place_locally(request)
        except TimeoutError:
            return None

    async def _place_locally(self, request: PlacementRequest) -> Grant:
        future: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        self._waiters[request.number] = future
        self.scheduler.submit(request)
        self.pump()
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            # The slot may have been granted at the moment at which the caller left.
            if future.done():
                future.result().track.remove_request(request.number)
            raise
        finally:
            self._waiters.pop(request.number, None)
            self.scheduler.withdraw(request)


def _earlier(reopens_in_s: float, check_s: float) -> float:
    """Return the time to the next look at the queue.

    :param reopens_in_s: time until an upstream opens; 0 or less if none is closed.
    """
    return min(reopens_in_s, check_s) if reopens_in_s > 0 else check_s
