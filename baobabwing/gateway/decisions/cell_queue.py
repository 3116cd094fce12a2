"""Request queue and slot reservations of one cell, as kept by its home.

The home orders the placement requests of all nodes and counts the reservations at each
engine. All its state is soft: every node periodically reports its reservations and its
waiting requests, so a new home has rebuilt the state after one round of reports.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from random import Random
from typing import NamedTuple

from baobabwing.gateway.decisions.rate_limits import RateLimits
from baobabwing.gateway.decisions.refusal_limit import RefusalLimit
from baobabwing.gateway.decisions.scheduling import (
    Grant,
    PlacementRequest,
    PoolScheduler,
)
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

__all__ = ["CellQueue", "ReportResult", "RequestKey", "SlotReservation", "UpdateKind"]

# A new home has no record of the requests that already run at the engines. Nodes
# report them with their first placement request; those with traffic send one within
# some 50 ms.
_COLLECTION_S = 0.06
# A new home has granted no slots yet, so its grant rate says nothing about how many
# become free. For this long after its first grants it removes no unservable request.
_EXPIRY_DELAY_S = 1.0
# A node that has sent nothing for this many report intervals counts as dead, and its
# requests as ended.
_NODE_TIMEOUT_REPORTS = 3.5
# A report may have been sent before the node received grants younger than this.
_IN_TRANSIT_S = 0.25


class RequestKey(NamedTuple):
    """Identity of a request: the node that serves it, and its number at that node."""

    node: int
    number: int


class UpdateKind(IntEnum):
    """Event of a request that a node reports; the numbers are the wire values.

    ``FIRST``: the first event arrived. ``DONE``: the answer is complete.
    ``FAILED``: the engine failed the request. ``LOST``: the engine no longer runs.
    ``FULL``: the engine refused the request for load. ``RELEASED``: the request ended
    for reasons unrelated to the engine. ``LEAVING``: the engine announced that it
    leaves. ``UNRESPONSIVE``: the engine sends the node nothing. The request goes on
    after ``FIRST``, ``LEAVING`` and ``UNRESPONSIVE``.
    """

    FIRST = 1
    DONE = 2
    FAILED = 3
    LOST = 4
    FULL = 5
    RELEASED = 6
    LEAVING = 7
    UNRESPONSIVE = 8

    @property
    def releases_slot(self) -> bool:
        """Whether the request releases its slot."""
        return self not in _GOES_ON


_GOES_ON = (UpdateKind.FIRST, UpdateKind.LEAVING, UpdateKind.UNRESPONSIVE)


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotReservation:
    """Slot reservation that a node reports.

    :param number: number of the request at that node.
    :param upstream: crc of the engine's incarnation.
    :param unread_tokens: prompt tokens that the engine has yet to process.
    """

    number: int
    upstream: int
    unread_tokens: int


@dataclass(frozen=True, kw_only=True)
class ReportResult:
    """What differed between a node's report and the home's state.

    :param unknown_requests: requests that wait at the node, but are not queued here.
    :param unreceived_grants: grants of requests that the node still reports as
        waiting; it probably did not receive them.
    :param released: whether a reservation was released because the report left it out.
    """

    unknown_requests: tuple[int, ...] = ()
    unreceived_grants: tuple[tuple[RequestKey, Grant], ...] = ()
    released: bool = False


class CellQueue:
    """Queue and slot reservations of one cell; does no I/O and reads no clock.

    :param engine: figures of the cell's engines.
    :param rng: breaks ties.
    :param now: when this node became the cell's home.
    :param refusal_limit: limit on refusals of the engines; by default none.
    :param rate_limits: limits that the engines state; by default none.
    :ivar grants_from: when the first grants are given.
    :ivar last_used_at: when a node last sent something about this cell.
    """

    def __init__(
        self,
        *,
        engine: EngineSpec | None,
        rng: Random,
        now: float,
        refusal_limit: RefusalLimit | None = None,
        rate_limits: RateLimits | None = None,
    ) -> None:
        self.scheduler = PoolScheduler(
            engine=engine,
            rng=rng,
            refusal_limit=refusal_limit,
            rate_limits=rate_limits,
        )
        self.scheduler.at_home = True
        self.grants_from = now + _COLLECTION_S
        self.last_used_at = now
        self._waiting: dict[RequestKey, PlacementRequest] = {}
        self._reserved: dict[RequestKey, Grant] = {}
        self._holder_by_number: dict[int, RequestKey] = {}
        self._received_at: dict[int, float] = {}
        self._holders_by_node: defaultdict[int, set[RequestKey]] = defaultdict(set)

    def set_upstreams(self, entries: Iterable[UpstreamEntry]) -> None:
        """Set the engines of the cell."""
        self.scheduler.set_upstreams(entries)

    def submit(
        self, holder: RequestKey, request: PlacementRequest, now: float
    ) -> Grant | None:
        """Queue a request, or return its grant if it already has one."""
        self._record_received(holder.node, now)
        grant = self._reserved.get(holder)
        if grant is not None or holder in self._waiting:
            return grant
        self._waiting[holder] = request
        self._register(holder, request)
        self.scheduler.submit(request)
        return None

    def grant_move(
        self, holder: RequestKey, request: PlacementRequest, upstream: int, now: float
    ) -> Grant | None:
        """Reserve a slot at a much faster engine for a running request, if one is free.

        A request that already has its slot keeps it: the grant was lost or is late.

        :param upstream: crc of the engine where it runs.
        """
        self._record_received(holder.node, now)
        if holder in self._reserved:
            return self._reserved[holder]
        current = self.scheduler.track(upstream)
        grant = (
            self.scheduler.grant_faster(request, current, now)
            if current is not None
            else None
        )
        if grant is not None:
            self._register(holder, request)
            self._reserved[holder] = grant
        return grant

    def grants(self, now: float) -> list[tuple[RequestKey, Grant]]:
        """Grant all slots that can be granted now."""
        if now < self.grants_from:
            return []
        granted = []
        for grant in self.scheduler.grants(now):
            holder = self._holder_by_number[grant.request.number]
            del self._waiting[holder]
            self._reserved[holder] = grant
            granted.append((holder, grant))
        return granted

    def remove_unservable(
        self, now: float
    ) -> list[tuple[RequestKey, PlacementRequest, float]]:
        """Remove queued requests that will hardly get a slot before their deadline.

        :returns: the requests, the most urgent first, each with the estimated seconds
            until a slot is free.
        """
        if now < self.grants_from + _EXPIRY_DELAY_S:
            return []
        removed = []
        for request, wait_s in self.scheduler.remove_unservable(now):
            holder = self._unregister(request)
            del self._waiting[holder]
            removed.append((holder, request, wait_s))
        return removed

    def apply_update(
        self, holder: RequestKey, kind: UpdateKind, interval_s: float | None, now: float
    ) -> None:
        """Apply an event that a node reports about its request.

        :param interval_s: mean time between its events. With ``FIRST``, the time to the
            first event as measured by the node, since a busy home handles the report
            late.
        """
        self._record_received(holder.node, now)
        if holder in self._waiting:
            self._withdraw(holder)
            return
        grant = self._reserved.get(holder)
        if grant is None:
            return
        if kind is UpdateKind.LEAVING:
            return
        if kind is UpdateKind.UNRESPONSIVE:
            grant.track.record_failure(now)
            return
        if kind is UpdateKind.FIRST:
            first_at = now if interval_s is None else grant.granted_at + interval_s
            grant.track.record_first_event(grant.request.number, first_at)
            return
        self._record_outcome(grant.track, kind, interval_s, now)
        self.scheduler.record_holding(now - grant.granted_at, grant.request.number)
        self._release(holder)

    def apply_report(
        self,
        node: int,
        reservations: Iterable[SlotReservation],
        waiting: Iterable[int],
        now: float,
        *,
        complete: bool = True,
    ) -> ReportResult:
        """Reconcile the state with a node's report on this cell.

        A request that the report leaves out has ended, and the message about its end
        was lost.

        :param reservations: all slot reservations of the node.
        :param waiting: numbers of its waiting requests.
        :param complete: whether ``waiting`` is complete.
        """
        self._record_received(node, now)
        reported = set()
        for reservation in reservations:
            holder = RequestKey(node, reservation.number)
            reported.add(holder)
            self._adopt(holder, reservation, now)
        queued = {RequestKey(node, number) for number in waiting}
        released = self._release_unreported(
            node, reported | queued, now, complete=complete
        )
        unreceived = [holder for holder in queued if holder in self._reserved]
        return ReportResult(
            unknown_requests=tuple(
                holder.number
                for holder in queued
                if holder not in self._waiting and holder not in self._reserved
            ),
            unreceived_grants=tuple(
                (holder, self._reserved[holder]) for holder in unreceived
            ),
            released=released,
        )

    def expire(self, now: float, *, repeat_s: float) -> None:
        """Remove expired requests, and all requests of unresponsive nodes.

        :param repeat_s: interval between two reports of a node.
        """
        timeout_s = _NODE_TIMEOUT_REPORTS * repeat_s
        for holder, request in tuple(self._waiting.items()):
            if request.deadline_at <= now:
                self._withdraw(holder)
        unresponsive = {
            node
            for node, received_at in self._received_at.items()
            if now - received_at > timeout_s
        }
        for node in unresponsive:
            del self._received_at[node]
        for holder in [key for key in self._waiting if key.node in unresponsive]:
            self._withdraw(holder)
        for holder in [key for key in self._reserved if key.node in unresponsive]:
            self._release(holder)

    def remove_node(self, node: int) -> bool:
        """Remove a node that has ended, with all its requests.

        :returns: whether it had any requests here.
        """
        self._received_at.pop(node, None)
        holders = tuple(self._holders_by_node.get(node, ()))
        for holder in holders:
            if holder in self._waiting:
                self._withdraw(holder)
            else:
                self._release(holder)
        return bool(holders)

    def upstream_of(self, holder: RequestKey) -> UpstreamEntry | None:
        """Return the engine at which a request has its slot, or ``None``."""
        grant = self._reserved.get(holder)
        return grant.track.entry if grant is not None else None

    def is_waiting(self, holder: RequestKey) -> bool:
        """Whether a request is queued and has no slot yet."""
        return holder in self._waiting

    def copy_intervals(self, measured: Mapping[str, UpstreamTrack]) -> None:
        """Take over the event intervals that this node measured itself.

        Requests keep the slot of a plain service for the time of an answer.

        :param measured: the node's own tracks by incarnation.
        """
        answers_s = []
        for instance, track in self.scheduler.tracks.items():
            if instance in measured:
                track.event_interval_s = measured[instance].event_interval_s
                answers_s.append(track.event_interval_s)
        known_s = [answer_s for answer_s in answers_s if answer_s is not None]
        if self.scheduler.engine is None and known_s:
            self.scheduler.holding_s = sum(known_s) / len(known_s)

    def share_reports(self, tracks: Mapping[str, UpstreamTrack]) -> None:
        """Use the work times that the upstreams report to this node.

        :param tracks: the node's own tracks by incarnation, which it goes on to update.
        """
        for instance, track in self.scheduler.tracks.items():
            if instance in tracks:
                track.usual_work = tracks[instance].usual_work

    @property
    def idle(self) -> bool:
        """Whether there are neither queued requests nor reservations."""
        return not self._waiting and not self._reserved

    @property
    def reserved_count(self) -> int:
        """Number of slot reservations."""
        return len(self._reserved)

    def _record_received(self, node: int, now: float) -> None:
        self._received_at[node] = now
        self.last_used_at = now

    def _record_outcome(
        self,
        track: UpstreamTrack,
        kind: UpdateKind,
        interval_s: float | None,
        now: float,
    ) -> None:
        if interval_s is not None:
            track.record_interval(interval_s)
        if kind is UpdateKind.DONE:
            track.record_success()
        elif kind in (UpdateKind.FAILED, UpdateKind.LOST):
            track.record_failure(now, hard=kind is UpdateKind.LOST)
        elif kind is UpdateKind.FULL:
            self.scheduler.record_refusal(track, now)

    def _adopt(
        self, holder: RequestKey, reservation: SlotReservation, now: float
    ) -> None:
        """Record a reservation that another home granted before.

        The node knows where its request runs; what this home has recorded for it
        otherwise is from before the node asked the other home.
        """
        existing = self._reserved.get(holder)
        if existing is not None and existing.track.crc == reservation.upstream:
            if reservation.unread_tokens == 0:
                existing.track.record_first_event(existing.request.number)
            return
        track = self.scheduler.track(reservation.upstream)
        if track is None:
            return
        if existing is not None:
            self._release(holder)
        elif holder in self._waiting:
            self._withdraw(holder)
        request = PlacementRequest(
            rank=0,
            arrived_at=now,
            objective_at=now,
            deadline_at=now,
            prompt_tokens=reservation.unread_tokens,
        )
        grant = self.scheduler.adopt(
            request, track, now, started=reservation.unread_tokens == 0
        )
        self._register(holder, request)
        self._reserved[holder] = grant

    def _release_unreported(
        self, node: int, reported: set[RequestKey], now: float, *, complete: bool
    ) -> bool:
        """Remove the requests that a report left out.

        :returns: whether a reservation was released.
        """
        reflected_until = now - _IN_TRANSIT_S
        released = False
        for holder in tuple(self._holders_by_node.get(node, ())):
            if holder in reported:
                continue
            request, grant = self._waiting.get(holder), self._reserved.get(holder)
            if (
                complete
                and request is not None
                and request.requested_at < reflected_until
            ):
                self._withdraw(holder)
            if grant is not None and grant.granted_at < reflected_until:
                self._release(holder)
                released = True
        return released

    def _withdraw(self, holder: RequestKey) -> None:
        request = self._waiting.pop(holder)
        self._unregister(request)
        self.scheduler.withdraw(request)

    def _release(self, holder: RequestKey) -> None:
        grant = self._reserved.pop(holder)
        self._unregister(grant.request)
        grant.track.remove_request(grant.request.number)

    def _register(self, holder: RequestKey, request: PlacementRequest) -> None:
        self._holder_by_number[request.number] = holder
        self._holders_by_node[holder.node].add(holder)

    def _unregister(self, request: PlacementRequest) -> RequestKey:
        holder = self._holder_by_number.pop(request.number)
        of_node = self._holders_by_node[holder.node]
        of_node.discard(holder)
        if not of_node:
            del self._holders_by_node[holder.node]
        return holder
