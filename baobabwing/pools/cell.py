"""The scheduler of one cell: queues placement requests and grants permits."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from heapq import heappop, heappush
from random import Random
from threading import Lock
from zlib import crc32

from baobabwing.pools.catalogue import Pool, Upstream
from baobabwing.pools.events import CELL_HELD, CELL_RELEASED
from baobabwing.pools.expiry import ExpiryHeap
from baobabwing.pools.fairness import QueuedRequest
from baobabwing.pools.permits import (
    Decision,
    Grant,
    InflightPermit,
    LoadReport,
    Outcome,
    PermitEnd,
    Placement,
    PlacementRequest,
    Refusal,
    RefusalCode,
)
from baobabwing.pools.placements import Ending, Endings, Placements
from baobabwing.pools.policies import PlacementBlocker, make_policy
from baobabwing.pools.queues import FifoQueue
from baobabwing.pools.refusals import RefusalFactory
from baobabwing.pools.snapshot import CellSnapshot, TierCount, upstream_snapshot
from baobabwing.pools.speed_updates import update_speeds
from baobabwing.pools.state import CellState, Choice
from baobabwing.pools.stragglers import StragglerDetector
from baobabwing.pools.tracking import Permit, TrackedUpstream
from baobabwing.reports.events import log

__all__ = ["ALL_ADMITTED", "NONE_ADMITTED", "Cell"]

ALL_ADMITTED = 255
NONE_ADMITTED = -1

_REVIEW_INTERVAL_S = 0.25
_SCAN_INTERVAL_S = 0.02
_MAX_SCANNED_HEADS = 8
# Expected run times are multiplied by this before a request is refused, as
# estimates err both ways and a refusal is final.
_SERVICE_ESTIMATE_FACTOR = 0.9
_MIN_ORPHAN_S = 1.0
_MAX_ORPHAN_S = 30.0
_MAY_HAVE_RUN = (Outcome.ANSWERED, Outcome.FAILED, Outcome.CANCELLED)


class Cell:
    """The queue, permits in use and placements of one group of upstreams.

    No method blocks on anything but the cell's lock. Each method that can
    change the state returns all decisions that result, including decisions on
    requests of other entries. All methods are thread-safe.

    :param name: name of the cell; also seeds the jitter of ``retry_after_s``.
    :param now: monotonic time in seconds.
    """

    def __init__(self, *, name: str, now: float) -> None:
        self.name = name
        self._lock = Lock()
        self._now = now
        self._rng = Random(crc32(name.encode()))
        self._state = CellState(queue=FifoQueue())
        self._policy_name = ""
        self._policy = None
        self._stragglers = StragglerDetector(state=self._state)
        self._queued: dict[str, QueuedRequest] = {}
        self._expiries = ExpiryHeap()
        self._orphans: list[tuple[float, str, int]] = []
        self._placements = Placements()
        self._endings = Endings()
        self._arrivals = 0
        self._next_review = now
        self._next_scan = now
        self._grant_counts: dict[int, int] = {}
        self._refusals = RefusalFactory(rng=self._rng)

    def configure(
        self, pool: Pool, upstreams: Iterable[Upstream], now: float
    ) -> list[Decision]:
        """Apply a configuration of the pool and of this cell's upstreams.

        :raises ConfigurationError: if the pool names an unknown policy.
        """
        with self._lock:
            self._advance(now)
            self._set_policy(pool.policy)
            self._state.configure(pool, upstreams)
            decisions = self._refuse_unplaceable()
            return self._process_queue(decisions)

    def submit(self, request: PlacementRequest, now: float) -> list[Decision]:
        """Grant, queue or refuse a placement request.

        Submitting a request again returns its earlier decision and changes
        nothing.
        """
        with self._lock:
            self._advance(now)
            repeated = self._repeated_decision(request)
            if repeated is not None:
                return repeated
            return self._submit(request)

    def withdraw(self, request_id: str, entry: str, now: float) -> list[Decision]:
        """Remove a request whose caller has disconnected.

        A permit that is in transit to the entry is released as well: an entry
        never uses a permit for a request that it has withdrawn.
        """
        with self._lock:
            self._advance(now)
            item = self._queued.get(request_id)
            if item is not None and item.request.entry == entry:
                self._dequeue(item)
            permit = self._state.permits.get(request_id)
            if permit is not None and permit.entry == entry:
                self._end_permit(permit, Outcome.UNUSED, None)
            return self._process_queue([])

    def end_permit(self, end: PermitEnd, now: float) -> list[Decision]:
        """Release a permit that has ended; ignored if it is not in use."""
        with self._lock:
            self._advance(now)
            permit = self._state.permits.get(end.request_id)
            if permit is None or permit.upstream.name != end.upstream:
                return []
            self._end_permit(permit, end.outcome, end)
            return self._process_queue([])

    def tick(self, now: float) -> list[Decision]:
        """Refuse expired requests and review the upstreams.

        To be called every 20 ms.
        """
        with self._lock:
            self._advance(now)
            decisions = self._refuse_expired()
            self._release_orphans()
            if self._now >= self._next_review:
                self._next_review = self._now + _REVIEW_INTERVAL_S
                decisions += self._review()
            decisions = self._process_queue(decisions)
        self._log_deferred_events()
        return decisions

    def adopt(self, inflight: Iterable[InflightPermit], now: float) -> list[Decision]:
        """Account for permits of an earlier home that entries report in use."""
        with self._lock:
            self._advance(now)
            for item in inflight:
                self._adopt(item)
            return self._process_queue([])

    def remove_entry(self, entry: str, now: float) -> list[Decision]:
        """Drop the queued requests of a dead entry and release its permits later.

        The upstreams may continue to run the requests, so their slots stay
        reserved until the expected end of each request, within bounds.
        """
        with self._lock:
            self._advance(now)
            for item in [q for q in self._queued.values() if q.request.entry == entry]:
                self._dequeue(item)
            for permit in self._state.permits.values():
                if permit.entry == entry and not permit.orphaned_until:
                    self._orphan_permit(permit)
            return self._process_queue([])

    def entries_with_permits(self, granted_before: float) -> frozenset[str]:
        """Return the entries that hold permits granted before ``granted_before``."""
        with self._lock:
            return frozenset(
                permit.entry
                for permit in self._state.permits.values()
                if permit.granted_at < granted_before and not permit.orphaned_until
            )

    def reconcile(
        self,
        entry: str,
        reported_requests: Collection[str],
        granted_before: float,
        now: float,
    ) -> list[Decision]:
        """Release the permits that were granted to an entry and that it lacks.

        The message that returns a permit is sent once and is lost if its
        connection breaks. Without this call each such loss would reserve a slot
        of the upstream for ever.

        :param reported_requests: ids of the requests that the entry reports at
            upstreams.
        :param granted_before: when the report was requested; a permit granted
            later may not have reached the entry by then.
        """
        with self._lock:
            self._advance(now)
            missing = [
                permit
                for permit in self._state.permits.values()
                if permit.entry == entry
                and permit.granted_at < granted_before
                and not permit.orphaned_until
                and permit.request_id not in reported_requests
            ]
            for permit in missing:
                self._end_permit(permit, Outcome.UNUSED, None)
            return self._process_queue([])

    def hold(self, until: float) -> list[Decision]:
        """Limit each upstream to a part of its capacity until ``until``.

        For a new home, which does not know all requests in flight yet.
        """
        with self._lock:
            self._state.held_until = until
            self._state.defer_event(CELL_HELD, "")
            return []

    def release(self) -> list[Decision]:
        """End a hold: all live entries have reported their requests in flight."""
        with self._lock:
            if self._state.held_until > self._now:
                self._state.defer_event(CELL_RELEASED, "")
            self._state.held_until = 0.0
            return self._process_queue([])

    def last_placement(self, key: str) -> Placement | None:
        """Return the upstream of the last permit for the request with a key."""
        with self._lock:
            return self._placements.get(key, self._now)

    def floor(self) -> int:
        """Return the rank of the lowest tier that would be admitted now.

        ``ALL_ADMITTED`` if every tier would be, ``NONE_ADMITTED`` if none would.
        """
        with self._lock:
            return self._floor()

    def apply_load_report(self, report: LoadReport, now: float) -> list[Decision]:
        """Correct the account of an upstream by its own load report."""
        with self._lock:
            self._advance(now)
            self._state.apply_load_report(report, self._now)
            return self._process_queue([])

    def apply_cache_events(
        self,
        upstream: str,
        now: float,
        *,
        stored: Sequence[int] = (),
        evicted: Sequence[int] = (),
        cleared: bool = False,
    ) -> list[Decision]:
        """Apply the cache events of an engine.

        :param stored: digests of the prompt blocks that it added to its cache.
        :param evicted: digests of the blocks that it removed.
        :param cleared: whether its cache was emptied, which means a restart.
        """
        with self._lock:
            self._advance(now)
            tracked = self._state.upstreams.get(upstream)
            if tracked is None:
                return []
            if cleared:
                self._state.prefixes.clear(upstream)
                self._handle_restart(tracked)
            self._state.prefixes.discard(upstream, evicted)
            if stored:
                self._state.prefixes.add(upstream, stored)
            return self._process_queue([])

    def snapshot(self) -> CellSnapshot:
        """Return the cell's current state for status and metrics."""
        with self._lock:
            state = self._state
            queued = sorted(state.queue.lengths().items())
            return CellSnapshot(
                name=self.name,
                pool=state.pool.name if state.pool else "",
                policy=self._policy_name,
                held=self._now < state.held_until,
                floor=self._floor(),
                in_flight=len(state.permits),
                queued=tuple(TierCount(tier_rank=r, count=n) for r, n in queued),
                granted=tuple(
                    TierCount(tier_rank=r, count=n)
                    for r, n in sorted(self._grant_counts.items())
                ),
                refused=self._refusals.counts(),
                upstreams=tuple(map(upstream_snapshot, state.upstreams.values())),
            )

    def _advance(self, now: float) -> None:
        self._now = max(self._now, now)

    def _set_policy(self, name: str) -> None:
        if name == self._policy_name:
            return
        policy = make_policy(name, state=self._state, rng=self._rng)
        queue = policy.make_queue()
        for item in sorted(self._queued.values(), key=lambda q: q.number):
            queue.add(item)
        self._state.queue = queue
        self._policy = policy
        self._policy_name = name

    def _repeated_decision(self, request: PlacementRequest) -> list[Decision] | None:
        """Return the decision on a repeated request, ``None`` for a new one.

        An empty list if the request is queued.
        """
        permit = self._state.permits.get(request.request_id)
        if permit is not None:
            if permit.entry != request.entry:
                return [self._refusals.create(request, RefusalCode.DUPLICATE)]
            if permit.upstream.name not in request.exclude:
                return [_to_grant(permit)]
            # That upstream refused the request, and this retry arrived before
            # the report of the refusal. The slot is free.
            self._end_permit(permit, Outcome.NOT_ADMITTED, None)
        item = self._queued.get(request.request_id)
        if item is not None:
            if item.request.entry != request.entry:
                return [self._refusals.create(request, RefusalCode.DUPLICATE)]
            return []
        return self._decision_on_ended(request)

    def _decision_on_ended(self, request: PlacementRequest) -> list[Decision] | None:
        ending = self._endings.get(request.request_id, self._now)
        if ending is None:
            return None
        if ending.refusal is not None:
            same = (
                ending.exclude == request.exclude
                and ending.refusal.entry == request.entry
            )
            return [ending.refusal] if same else None
        if ending.outcome in _MAY_HAVE_RUN:
            self._endings.put(request.request_id, ending, self._now)
            return [self._refusals.create(request, RefusalCode.CLOSED)]
        return None

    def _submit(self, request: PlacementRequest) -> list[Decision]:
        item = self._new_item(request)
        code = self._unplaceable_code(request) or self._policy.check_admission(
            item, self._now
        )
        if code is not None:
            return self._process_queue([self._refuse(item, code)])
        self._enqueue(item)
        return self._process_queue([])

    def _new_item(self, request: PlacementRequest) -> QueuedRequest:
        self._arrivals += 1
        min_duration_s = self._state.min_duration_s(request, use_cache=False)
        return QueuedRequest(
            request=request,
            number=self._arrivals,
            queued_at=self._now,
            service_s=self._state.typical_duration_s(request),
            latest_start=request.deadline - _SERVICE_ESTIMATE_FACTOR * min_duration_s,
        )

    def _unplaceable_code(self, request: PlacementRequest) -> RefusalCode | None:
        if not self._state.active:
            return RefusalCode.NO_UPSTREAM
        if request.exclude and all(
            u.name in request.exclude for u in self._state.active
        ):
            return RefusalCode.NO_UPSTREAM
        return None

    def _enqueue(self, item: QueuedRequest) -> None:
        self._queued[item.request.request_id] = item
        self._state.queue.add(item)
        self._expiries.add(item, len(self._queued))

    def _dequeue(self, item: QueuedRequest) -> None:
        del self._queued[item.request.request_id]
        self._state.queue.remove(item)

    def _process_queue(self, decisions: list[Decision]) -> list[Decision]:
        """Grant queued requests, then shed those that exceed the queue limit."""
        if self._policy is None:
            return decisions
        self._grant_waiting(decisions)
        queue = self._state.queue
        while len(queue) > self._state.pool.queue_limit:
            item = queue.victim()
            self._dequeue(item)
            decisions.append(self._refuse(item, RefusalCode.OVERLOADED))
        return decisions

    def _grant_waiting(self, decisions: list[Decision]) -> None:
        for rank in self._state.queue.ranks():
            while True:
                blocker = self._grant_next(rank, decisions)
                if blocker is not None:
                    break
            if blocker is not PlacementBlocker.UNUSABLE:
                return

    def _grant_next(
        self, rank: int, decisions: list[Decision]
    ) -> PlacementBlocker | None:
        """Grant one request of a tier, or return why none can be granted.

        While a request waits because of load, no lower tier is served. Free
        upstreams that are only unusable for this request are offered to others.
        """
        queue = self._state.queue
        item = queue.head(rank)
        if item is None:
            return PlacementBlocker.UNUSABLE
        choice = self._policy.choose(item.request, self._now)
        if isinstance(choice, Choice):
            decisions.append(self._grant(item, choice))
            return None
        if choice is PlacementBlocker.NO_FREE_SLOT:
            return choice
        if choice is PlacementBlocker.BUSY and self._now < self._next_scan:
            return choice
        self._next_scan = self._now + _SCAN_INTERVAL_S
        for other in queue.heads(rank, _MAX_SCANNED_HEADS)[1:]:
            other_choice = self._policy.choose(other.request, self._now)
            if isinstance(other_choice, Choice):
                decisions.append(self._grant(other, other_choice))
                return None
            if other_choice is not PlacementBlocker.UNUSABLE:
                choice = other_choice
        return choice

    def _grant(self, item: QueuedRequest, choice: Choice) -> Grant:
        request = item.request
        del self._queued[request.request_id]
        self._state.queue.serve(item)
        ending = self._endings.get(request.request_id, self._now)
        attempt = ending.attempt + 1 if ending else 1
        permit = self._state.grant(request, choice, attempt, self._now)
        if self._policy.ejects_stragglers:
            self._stragglers.record_grant(permit)
        self._record_placement(permit)
        rank = request.tier_rank
        self._grant_counts[rank] = self._grant_counts.get(rank, 0) + 1
        return _to_grant(permit)

    def _record_placement(self, permit: Permit) -> None:
        if not permit.key:
            return
        placement = Placement(
            upstream=permit.upstream.name, request_id=permit.request_id
        )
        self._placements.put(permit.key, placement, self._now)

    def _refuse(self, item: QueuedRequest, code: RefusalCode) -> Refusal:
        request = item.request
        refusal = self._refusals.create(request, code, self._expected_wait_s(item))
        if self._policy is not None:
            self._policy.record_refusal(item, code, self._now)
        previous = self._endings.get(request.request_id, self._now)
        ending = Ending(
            attempt=previous.attempt if previous else 0,
            refusal=refusal,
            exclude=request.exclude,
        )
        self._endings.put(request.request_id, ending, self._now)
        return refusal

    def _expected_wait_s(self, item: QueuedRequest) -> float:
        if self._policy is None:
            return 0.0
        return self._policy.expected_wait_s(item, self._now)

    def _end_permit(self, permit: Permit, outcome: str, end: PermitEnd | None) -> None:
        slowness = 0.0
        if end is not None and outcome == Outcome.ANSWERED:
            slowness = update_speeds(permit, end)
        self._state.release(permit, outcome, self._now)
        if self._policy is not None and self._policy.ejects_stragglers:
            self._stragglers.record_end(permit, outcome, slowness, self._now)
        ending = Ending(attempt=permit.attempt, outcome=str(outcome))
        self._endings.put(permit.request_id, ending, self._now)

    def _refuse_expired(self) -> list[Decision]:
        decisions: list[Decision] = []
        while (item := self._expiries.pop_expired(self._now)) is not None:
            if not self._may_still_start(item):
                self._dequeue(item)
                decisions.append(self._refuse(item, RefusalCode.QUEUE_TOO_LONG))
        return decisions

    def _may_still_start(self, item: QueuedRequest) -> bool:
        """Whether a cached prefix gives a request more time to wait.

        If so, its latest start is moved and it is queued for expiry again.
        """
        min_duration_s = self._state.min_duration_s(item.request, use_cache=True)
        latest = item.request.deadline - _SERVICE_ESTIMATE_FACTOR * min_duration_s
        if latest <= max(self._now, item.latest_start):
            return False
        item.latest_start = latest
        self._expiries.add(item, len(self._queued))
        return True

    def _orphan_permit(self, permit: Permit) -> None:
        remaining_s = permit.granted_at + permit.expected_s - self._now
        remaining_s = min(max(remaining_s, _MIN_ORPHAN_S), _MAX_ORPHAN_S)
        permit.orphaned_until = self._now + remaining_s
        orphan = (permit.orphaned_until, permit.request_id, permit.attempt)
        heappush(self._orphans, orphan)

    def _release_orphans(self) -> None:
        while self._orphans and self._orphans[0][0] <= self._now:
            _, request_id, attempt = heappop(self._orphans)
            permit = self._state.permits.get(request_id)
            if (
                permit is not None
                and permit.attempt == attempt
                and permit.orphaned_until
            ):
                self._end_permit(permit, Outcome.CANCELLED, None)

    def _review(self) -> list[Decision]:
        self._state.expire_reports(self._now)
        if self._policy is not None and self._policy.ejects_stragglers:
            self._stragglers.review(self._now)
        self._state.refresh()
        self._placements.expire(self._now)
        self._endings.expire(self._now)
        return self._refuse_expected_late()

    def _refuse_expected_late(self) -> list[Decision]:
        if self._policy is None or not len(self._state.queue):
            return []
        decisions: list[Decision] = []
        for item in self._policy.expected_late(self._now):
            self._dequeue(item)
            decisions.append(self._refuse(item, RefusalCode.QUEUE_TOO_LONG))
        return decisions

    def _refuse_unplaceable(self) -> list[Decision]:
        decisions: list[Decision] = []
        for item in list(self._queued.values()):
            code = self._unplaceable_code(item.request)
            if code is not None:
                self._dequeue(item)
                decisions.append(self._refuse(item, code))
        return decisions

    def _adopt(self, item: InflightPermit) -> None:
        if item.request_id in self._state.permits:
            return
        queued = self._queued.get(item.request_id)
        if queued is not None:
            self._dequeue(queued)
        upstream = self._state.upstreams.get(item.upstream)
        if upstream is None:
            upstream = self._state.track_unknown_upstream(item.upstream)
        permit = Permit(
            request_id=item.request_id,
            entry=item.entry,
            upstream=upstream,
            attempt=1,
            granted_at=self._now,
            key=item.key,
            organisation=item.organisation,
            tier_rank=item.tier_rank,
        )
        self._state.adopt(permit, self._now)
        self._record_placement(permit)

    def _handle_restart(self, upstream: TrackedUpstream) -> None:
        upstream.prefill_free_at = self._now
        upstream.lower_tier_prefill_free_at = self._now
        if self._policy is not None and self._policy.ejects_stragglers:
            self._stragglers.handle_restart(upstream, self._now)

    def _floor(self) -> int:
        if self._policy is None or not self._state.active:
            return NONE_ADMITTED
        lowest = self._policy.lowest_admitted(self._now)
        floor = ALL_ADMITTED if lowest is None else lowest
        queue = self._state.queue
        if len(queue) >= self._state.pool.queue_limit:
            candidate = queue.victim()
            if candidate is not None:
                floor = min(floor, candidate.request.tier_rank - 1)
        return floor

    def _log_deferred_events(self) -> None:
        # Standard error may block. Writing under the lock would block all
        # grants of the cell for as long.
        with self._lock:
            deferred_events = self._state.deferred_events
            self._state.deferred_events = []
        for defer_event in deferred_events:
            log(
                defer_event.event,
                cell=self.name,
                upstream=defer_event.upstream,
                reason=defer_event.reason,
            )


def _to_grant(permit: Permit) -> Grant:
    return Grant(
        request_id=permit.request_id,
        entry=permit.entry,
        upstream=permit.upstream.name,
        attempt=permit.attempt,
    )
