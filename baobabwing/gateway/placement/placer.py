"""Slot requests to the homes of cells, with retries and failover to other homes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from baobabwing.exceptions import NoSlotError
from baobabwing.gateway.decisions.cell_queue import SlotReservation, UpdateKind
from baobabwing.gateway.decisions.scheduling import Grant, PlacementRequest
from baobabwing.gateway.decisions.tracking import InFlightRequest, UpstreamTrack
from baobabwing.gateway.events import HOME_SILENT
from baobabwing.gateway.loop_delay import LoopDelayMonitor
from baobabwing.gateway.members import Members
from baobabwing.gateway.placement.cell_homes import (
    CellPool,
    cell_resource,
    reservation_report_interval_s,
)
from baobabwing.gateway.placement.cell_selector import CellSelector
from baobabwing.gateway.placement.codec import name_crc
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.home_timeouts import HomeTimeouts
from baobabwing.gateway.placement.messages import (
    CellKey,
    CellLoad,
    Granted,
    Queued,
    Refused,
    ReservationReport,
    ReservationReportAck,
    SlotRequest,
)
from baobabwing.gateway.placement.update_buffer import UpdateBuffer
from baobabwing.reports.events import log

__all__ = ["GrantedSlot", "Placer"]

# Times that a request is sent to a home that answers other requests but not this one.
_MAX_SENDS = 4
# Homes of a cell that are tried in turn before this node places a request itself.
_MAX_HOMES = 3
# Homes don't refuse requests that have run. In a cell that stays full such a request
# would wait until its deadline, so it chooses a cell again after this time; the order
# of a queue does not depend on when a request came to it. The same holds for streams
# that go on at one version, as a home may not list its engines yet.
_MAX_CELL_WAIT_S = 0.5
# Interval between reports of the requests that are queued at a home. Only the answers
# to these reports show that the home still runs.
_WAITING_REPORT_INTERVAL_S = 0.1
# In larger fleets the interval grows with the number of nodes, so that the reports do
# not overload the homes.
_MAX_NODES_AT_FULL_RATE = 12
# Report intervals without a message after which a home counts as unresponsive.
_MAX_LOST_REPORTS = 4
# Queued requests that one report lists; bounds the datagram.
_MAX_WAITING_PER_REPORT = 200
# Remaining time sent for a request that has no end, or a later one.
_MAX_REMAINING_S = 3600.0
# A sleep between reports that overruns twice its time by this shows that the process
# was stalled.
_STALL_S = 0.04


class _SlowHomeError(Exception):
    """No home has answered a request in time."""


_Result = Grant | NoSlotError | _SlowHomeError | None


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantedSlot:
    """Slot that a home granted to a request of this node.

    :param track: the upstream of the slot, as this node sees it.
    :param home: address of the home that granted it.
    :param state: load of the cell when it was granted.
    """

    cell: CellKey
    pool: CellPool
    track: UpstreamTrack
    home: str
    state: CellLoad


@dataclass(kw_only=True, eq=False)
class _PendingRequest:
    """A request for a slot that its home has neither granted nor refused.

    :param home: address of the home that it was sent to.
    :param on_result: called with the grant, with ``None`` if this home yields none and
        another attempt may be made, or with an error if the home refuses.
    :param requested_at: when it was first sent, on the monotonic clock.
    :param sends: times it was sent, the first included.
    :param acknowledged: whether the home has answered that it is queued.
    :param timer: fires if the home does not answer.
    """

    message: SlotRequest
    home: str
    request: PlacementRequest
    pool: CellPool
    on_result: Callable[[_Result], None]
    requested_at: float
    sends: int = 0
    acknowledged: bool = False
    timer: asyncio.TimerHandle | None = None


class Placer:
    """Requests slots for this node's requests from the homes of cells.

    :param link: sends and receives the messages.
    :param members: the fleet's membership, which ranks the homes of each cell.
    :param rng: picks the cells at random, and this node's number.
    :param watch: measures how late this process's event loop runs.
    """

    def __init__(
        self,
        *,
        link: GatewayLink,
        members: Members,
        rng: Random,
        watch: LoopDelayMonitor,
    ) -> None:
        self._loop_watch = watch
        self._link = link
        self._members = members
        self._node = rng.getrandbits(32)
        self._pending: dict[int, _PendingRequest] = {}
        self._granted_slots: dict[int, GrantedSlot] = {}
        self._updates = UpdateBuffer(link=link, node=self._node)
        self._reported_cells: set[CellKey] = set()
        self._last_home: dict[CellKey, str] = {}
        self._cell_selector = CellSelector(node=self._node, rng=rng)
        self._timeouts = HomeTimeouts()
        link.handle(Queued, self._handle_queued)
        link.handle(Granted, self._handle_granted)
        link.handle(Refused, self._handle_refused)
        link.handle(ReservationReportAck, self._handle_report_ack)
        members.on_change(self._withdraw_from_former_homes)

    async def place(
        self,
        pool: CellPool,
        request: PlacementRequest,
        *,
        max_answer_s: float | None = None,
    ) -> Grant | None:
        """Wait for a slot from the home of a cell.

        :param max_answer_s: how long to wait for a home to grant, queue or refuse the
            request; ``None``: as long as the home answers others.
        :returns: the grant, or ``None`` if no home granted or refused a slot; the
            caller then places the request itself.
        :raises NoSlotError: if the home expects no slot to become free in time.
        """
        attempts = 0
        answer_by = None
        if max_answer_s is not None:
            answer_by = time.monotonic() + max_answer_s
        while attempts < _MAX_HOMES:
            key = self._cell_selector.choose(pool, request.software)
            home = self._home_of(key, pool) if key is not None else None
            if home is None:
                return None
            if answer_by is not None and answer_by <= time.monotonic():
                # A home had queued the request.
                answer_by = time.monotonic() + max_answer_s
            try:
                async with asyncio.timeout(self._cell_wait_s(home, pool, request)):
                    grant = await self._request_slot(
                        home, key, pool, request, answer_by=answer_by
                    )
            except TimeoutError:
                continue
            except _SlowHomeError:
                return None
            if grant is not None:
                return grant
            attempts += 1
        return None

    def _cell_wait_s(
        self, home: str, pool: CellPool, request: PlacementRequest
    ) -> float | None:
        """Return how long a request waits in one cell; ``None``: no limit."""
        may_wait_elsewhere = request.has_run or request.software
        if not may_wait_elsewhere or len(pool.layout) == 1:
            return None
        return _MAX_CELL_WAIT_S + self._timeouts.retry_interval_s(home)

    async def move(
        self, pool: CellPool, request: PlacementRequest, grant: Grant
    ) -> Grant | None:
        """Request a slot at a much faster engine for a request that is running.

        :param grant: the slot at which it runs now.
        :returns: the new grant; ``None`` if there is none at once.
        """
        slot = self._granted_slots.get(grant.request.number)
        home = self._home_of(slot.cell, pool) if slot else None
        if home is None:
            return None
        try:
            return await self._request_slot(
                home, slot.cell, pool, request, moves_from=grant.track.crc
            )
        except NoSlotError:
            return None

    def note(
        self, grant: Grant, kind: UpdateKind, interval_s: float | None = None
    ) -> None:
        """Send a status update of a request to the home that granted its slot.

        A kind that ends the request releases the slot.

        :param interval_s: mean time between its events; for a first event the time
            from the grant to it.
        """
        number = grant.request.number
        slot = self._granted_slots.get(number)
        if slot is None:
            return
        home = self._home_of(slot.cell, slot.pool)
        if home is not None:
            self._updates.add(home, slot.cell, number, kind, interval_s)
        if kind.releases_slot:
            del self._granted_slots[number]

    def state_of(self, pool: CellPool) -> CellLoad | None:
        """Return a pool's load as reported by its homes; ``None`` if none is recent."""
        return self._cell_selector.state_of(pool)

    def ticket(self, grant: Grant) -> GrantedSlot | None:
        """Return the slot of a request, or ``None`` if no home granted it."""
        return self._granted_slots.get(grant.request.number)

    def list_pool(self, pool: CellPool) -> None:
        """Withdraw pending requests whose cell is gone with a change of its pool.

        Nothing is granted there any more. Their callers try again with another cell.
        """
        for pending in tuple(self._pending.values()):
            key = pending.message.cell
            if key.pool == pool.crc and key.index >= len(pool.layout):
                self._withdraw_pending(pending)

    async def run(self) -> None:
        """Report to the homes at intervals, and exclude those that do not respond."""
        reservations_sent_at = 0.0
        while True:
            started_at = time.monotonic()
            delay_s = _WAITING_REPORT_INTERVAL_S * max(
                1.0, self._members.total / _MAX_NODES_AT_FULL_RATE
            )
            await asyncio.sleep(delay_s)
            if time.monotonic() - started_at > 2 * delay_s + _STALL_S:
                # This process was stalled; the answers are still in its socket.
                self._timeouts.reset_after_stall(time.monotonic())
                continue
            self._exclude_unresponsive(_MAX_LOST_REPORTS * delay_s)
            include_reserved = (
                started_at - reservations_sent_at
                >= reservation_report_interval_s(self._members.total) - delay_s
            )
            reservations_sent_at = (
                started_at if include_reserved else reservations_sent_at
            )
            self._send_reports(include_reserved=include_reserved)

    # Slot requests and their answers.

    async def _request_slot(
        self,
        home: str,
        key: CellKey,
        pool: CellPool,
        request: PlacementRequest,
        *,
        moves_from: int = 0,
        answer_by: float | None = None,
    ) -> Grant | None:
        fut: asyncio.Future[Grant | None] = asyncio.get_running_loop().create_future()

        def on_result(result: _Result) -> None:
            if isinstance(result, Exception) and not fut.done():
                fut.set_exception(result)
            elif not fut.done():
                fut.set_result(result)
            elif isinstance(result, Grant):
                self._release_unused(result)

        pending = _PendingRequest(
            message=self._build_request(request, key, pool, moves_from=moves_from),
            home=home,
            request=request,
            pool=pool,
            on_result=on_result,
            requested_at=time.monotonic(),
        )
        self._start(pending)
        if answer_by is not None:
            loop = asyncio.get_running_loop()
            wait_s = max(answer_by - time.monotonic(), 0.0)
            loop.call_later(wait_s, self._leave_slow_home, pending)
        try:
            return await fut
        except asyncio.CancelledError:
            self._withdraw(pending, fut)
            raise

    def _start(self, pending: _PendingRequest) -> None:
        self._pending[pending.message.number] = pending
        self._send(pending)

    def _send(self, pending: _PendingRequest) -> None:
        pending.sends += 1
        key = pending.message.cell
        if self._last_home.get(key) != pending.home:
            # A new home has no record of this node's slots at the cell's engines.
            self._last_home[key] = pending.home
            self._send_report(key, pending.home)
        # Releases go first: a home answers a new request under the same number with
        # the slot it still has on record for it.
        self._updates.flush()
        self._link.send(pending.home, pending.message)
        self._timeouts.record_request(pending.home, time.monotonic())
        retry_interval_s = self._timeouts.retry_interval_s(pending.home)
        delay_s = retry_interval_s * 2 ** max(pending.sends - 2, 0)
        loop = asyncio.get_running_loop()
        pending.timer = loop.call_later(delay_s, self._on_answer_timeout, pending)

    def _on_answer_timeout(self, pending: _PendingRequest) -> None:
        if pending.acknowledged or pending.message.number not in self._pending:
            return
        unresponsive_s = self._timeouts.unresponsive_s(pending.home, time.monotonic())
        if unresponsive_s >= self._timeouts.timeout_s(pending.home):
            self._exclude_home(pending.home)
        elif pending.sends >= _MAX_SENDS:
            self._finish(pending, None)
        else:
            self._send(pending)

    def _leave_slow_home(self, pending: _PendingRequest) -> None:
        """Withdraw a request that its home has not answered."""
        waits = self._pending.get(pending.message.number) is pending
        if waits and not pending.acknowledged:
            self._withdraw_pending(pending, _SlowHomeError())

    def _finish(self, pending: _PendingRequest, result: _Result) -> None:
        self._pending.pop(pending.message.number, None)
        if pending.timer is not None:
            pending.timer.cancel()
        pending.on_result(result)

    def _withdraw(
        self, pending: _PendingRequest, fut: asyncio.Future[Grant | None]
    ) -> None:
        """Withdraw a slot request that was cancelled, or release the slot it got."""
        if self._pending.pop(pending.message.number, None) is not None:
            if pending.timer is not None:
                pending.timer.cancel()
            key, number = pending.message.cell, pending.message.number
            self._updates.add(pending.home, key, number, UpdateKind.RELEASED, None)
            return
        succeeded = fut.done() and not fut.cancelled() and fut.exception() is None
        # The slot may have been granted just before the request was cancelled.
        if succeeded and fut.result() is not None:
            self._release_unused(fut.result())

    def _release_unused(self, grant: Grant) -> None:
        """Release a slot whose request has ended before it learned of the grant."""
        self.note(grant, UpdateKind.RELEASED)
        grant.track.remove_request(grant.request.number)

    def _handle_queued(self, message: Queued, address: str) -> None:
        pending = self._record_answer(address, message)
        if pending is not None:
            pending.acknowledged = True

    def _handle_granted(self, message: Granted, address: str) -> None:
        pending = self._record_answer(address, message)
        if pending is None:
            if message.number not in self._granted_slots:
                # The request has ended, or another home has placed it.
                kind = UpdateKind.RELEASED
                self._updates.add(address, message.cell, message.number, kind, None)
            return
        track = pending.pool.scheduler.track(message.upstream)
        now = time.monotonic()
        usable = track is not None and track.is_open(now)
        if not usable or not track.may_continue(pending.request.software):
            # The home's list of engines differs from this node's, or the engine accepts
            # nothing from this node now. The next attempt excludes it.
            pending.request.unusable_crcs.add(message.upstream)
            kind = UpdateKind.RELEASED
            self._updates.add(address, message.cell, message.number, kind, None)
            self._finish(pending, None)
            return
        predicted_s = message.predicted_s
        grant = Grant(
            request=pending.request,
            track=track,
            predicted_s=predicted_s,
            granted_at=now,
            has_permit=message.has_permit,
        )
        self._granted_slots[message.number] = GrantedSlot(
            cell=message.cell,
            pool=pending.pool,
            track=track,
            home=address,
            state=message.state,
        )
        track.add_request(
            message.number,
            InFlightRequest(
                prompt_tokens=pending.request.prompt_tokens,
                sent_at=now,
                predicted_s=predicted_s,
            ),
        )
        self._finish(pending, grant)

    def _handle_refused(self, message: Refused, address: str) -> None:
        pending = self._record_answer(address, message)
        if pending is not None:
            no_slot = NoSlotError(
                "the home expects no free slot before the request's deadline",
                retry_after_s=message.retry_after_s,
                step="place",
                peer=address,
            )
            self._finish(pending, no_slot)

    def _handle_report_ack(self, message: ReservationReportAck, address: str) -> None:
        self._record_message(address, message.cell, message.state)
        for number in message.unknown:
            pending = self._pending.get(number)
            if pending is not None and pending.home == address:
                self._link.send(address, self._rebuild_request(pending))

    def _build_request(
        self,
        request: PlacementRequest,
        key: CellKey,
        pool: CellPool,
        *,
        moves_from: int = 0,
    ) -> SlotRequest:
        now = time.monotonic()
        weighs_zones = pool.scheduler.weighs_zones
        excluded = (
            *map(name_crc, request.excluded),
            *request.unusable_crcs,
            *(track.crc for track in pool.scheduler.closed(now)),
        )
        return SlotRequest(
            node=self._node,
            number=request.number,
            cell=key,
            rank=request.rank,
            route_rank=request.route_rank,
            waited_s=now - request.arrived_at,
            objective_s=request.objective_at - now,
            deadline_s=request.deadline_at - now,
            ends_s=min(request.ends_at - now, _MAX_REMAINING_S),
            prompt_tokens=request.prompt_tokens,
            expected_out=request.expected_output_tokens,
            committed=request.prioritized,
            has_run=request.has_run,
            excluded=tuple(dict.fromkeys(excluded)),
            moves_from=moves_from,
            software=request.software,
            zone=request.zone if weighs_zones else 0,
            expected_bytes=request.expected_bytes if weighs_zones else 0,
        )

    def _rebuild_request(self, pending: _PendingRequest) -> SlotRequest:
        """Return the message of a pending request with its relative times updated."""
        return self._build_request(
            pending.request,
            pending.message.cell,
            pending.pool,
            moves_from=pending.message.moves_from,
        )

    # Homes of the cells, and whether they respond.

    def _home_of(self, key: CellKey, pool: CellPool) -> str | None:
        """Return the first home in the cell's ranking that is not excluded."""
        now = time.monotonic()
        resource = cell_resource(pool.name, key.index)
        for address in self._members.homes(resource, _MAX_HOMES):
            if not self._timeouts.is_excluded(address, now):
                return address
        return None

    def _record_answer(
        self, address: str, message: Queued | Granted | Refused
    ) -> _PendingRequest | None:
        """Record an answer; return the pending request that it answers, if any.

        A request may have left the cell of the answer, or its home.
        """
        pending = self._pending.get(message.number)
        if pending is not None and (
            pending.home != address or pending.message.cell != message.cell
        ):
            pending = None
        answer_s = None
        if pending is not None and not pending.acknowledged:
            answer_s = time.monotonic() - pending.requested_at
        self._record_message(address, message.cell, message.state, answer_s)
        return pending

    def _record_message(
        self,
        address: str,
        key: CellKey,
        state: CellLoad,
        answer_s: float | None = None,
    ) -> None:
        now = time.monotonic()
        self._timeouts.record_message(address, now, answer_s)
        self._cell_selector.record(key, state, now)

    @property
    def slowest_answer_s(self) -> float:
        """Mean answer time of the slowest home, in seconds; 0 before any answer."""
        return self._timeouts.slowest_answer_s

    def _exclude_home(self, address: str) -> None:
        """Exclude an unresponsive home for a while, and end the requests sent to it.

        Their callers try again with the next home.
        """
        now = time.monotonic()
        requests = [one for one in self._pending.values() if one.home == address]
        log(
            HOME_SILENT,
            peer=address,
            asked=len(requests),
            heard_s=round(self._timeouts.since_message_s(address, now), 3),
            limit_s=round(self._timeouts.timeout_s(address), 3),
            answer_ms=round(1000 * self._timeouts.mean_answer_s(address), 1),
            own_late_ms=round(1000 * self._loop_watch.late_s, 1),
            avoided_s=self._timeouts.exclude(address, now),
        )
        for pending in requests:
            self._finish(pending, None)

    def _exclude_unresponsive(self, timeout_s: float) -> None:
        now = time.monotonic()
        homes = {
            pending.home for pending in self._pending.values() if pending.acknowledged
        }
        for address in homes:
            if self._timeouts.since_message_s(address, now) > timeout_s:
                self._exclude_home(address)

    def _withdraw_from_former_homes(self) -> None:
        """Withdraw pending requests whose cell has another home now.

        Their callers try again with the new home.
        """
        for pending in tuple(self._pending.values()):
            home = self._home_of(pending.message.cell, pending.pool)
            if home is not None and home != pending.home:
                self._withdraw_pending(pending)

    def _withdraw_pending(
        self, pending: _PendingRequest, result: _Result = None
    ) -> None:
        """Withdraw a request from its home; its caller may make another attempt."""
        key, number = pending.message.cell, pending.message.number
        self._updates.add(pending.home, key, number, UpdateKind.RELEASED, None)
        self._finish(pending, result)

    # Reports to the homes.

    def _send_reports(self, *, include_reserved: bool) -> None:
        cells = {
            pending.message.cell: pending.home
            for pending in self._pending.values()
            if pending.acknowledged
        }
        if include_reserved:
            reserved = {slot.cell: slot.pool for slot in self._granted_slots.values()}
            for key, pool in reserved.items():
                cells.setdefault(key, self._home_of(key, pool))
            # One more report after the last slot was released, in case the update of
            # its release was lost.
            for key in self._reported_cells - set(reserved):
                cells.setdefault(key, self._last_home.get(key))
            self._reported_cells = set(reserved)
        for key, home in cells.items():
            if home is not None:
                self._send_report(key, home)

    def _send_report(self, key: CellKey, home: str) -> None:
        reservations = [
            _reservation(number, slot)
            for number, slot in self._granted_slots.items()
            if slot.cell == key
        ]
        waiting = [
            number
            for number, pending in self._pending.items()
            if pending.home == home
            and pending.acknowledged
            and pending.message.cell == key
        ]
        self._link.send(
            home,
            ReservationReport(
                node=self._node,
                cell=key,
                reservations=tuple(reservations),
                waiting=tuple(waiting[:_MAX_WAITING_PER_REPORT]),
                complete=len(waiting) <= _MAX_WAITING_PER_REPORT,
            ),
        )


def _reservation(number: int, slot: GrantedSlot) -> SlotReservation:
    item = slot.track.own.get(number)
    return SlotReservation(
        number=number,
        upstream=slot.track.crc,
        unread_tokens=item.prompt_tokens if item else 0,
    )
