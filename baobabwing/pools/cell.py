"""The home of a cell: orders its requests and gives permits."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from heapq import heappop, heappush
from random import Random
from threading import Lock
from zlib import crc32

from baobabwing.pools.catalogue import Pool, Upstream
from baobabwing.pools.events import CELL_HELD, CELL_RELEASED
from baobabwing.pools.expiry import ExpiryHeap
from baobabwing.pools.fairness import Queued
from baobabwing.pools.learning import learn
from baobabwing.pools.permits import (
    Ask,
    Decision,
    Done,
    Grant,
    Inflight,
    LoadReport,
    Outcome,
    Placement,
    Refusal,
    RefusalCode,
)
from baobabwing.pools.placements import Ending, Endings, Placements
from baobabwing.pools.policies import Hindrance, make_policy
from baobabwing.pools.queues import FifoQueue
from baobabwing.pools.refusals import RefusalWriter
from baobabwing.pools.snapshot import CellSnapshot, TierCount, upstream_snapshot
from baobabwing.pools.state import CellState, Choice
from baobabwing.pools.stragglers import StragglerWatch
from baobabwing.pools.tracking import Permit, TrackedUpstream
from baobabwing.reports.events import log

__all__ = ["ALL_ADMITTED", "NONE_ADMITTED", "Cell"]

ALL_ADMITTED = 255
NONE_ADMITTED = -1

_REVIEW_S = 0.25
_SCAN_S = 0.02
_HEADS_TRIED = 8
_SURE_OF_RUN = 0.9
_LEAST_ORPHAN_S = 1.0
_MOST_ORPHAN_S = 30.0
_MAY_HAVE_RUN = (Outcome.ANSWERED, Outcome.FAILED, Outcome.CANCELLED)


class Cell:
    """Queue, permits in use and placements of one group of upstreams.

    Every call takes the time, returns at once, and returns the decisions that
    it led to, also those on asks of others. All calls may come from any thread.

    :param name: of the cell; also seeds the jitter of its advice.
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
        self._watch = StragglerWatch(state=self._state)
        self._queued: dict[str, Queued] = {}
        self._expiries = ExpiryHeap()
        self._orphans: list[tuple[float, str, int]] = []
        self._placements = Placements()
        self._endings = Endings()
        self._arrivals = 0
        self._next_review = now
        self._next_scan = now
        self._granted: dict[int, int] = {}
        self._refusals = RefusalWriter(rng=self._rng)

    def configure(
        self, pool: Pool, upstreams: Iterable[Upstream], now: float
    ) -> list[Decision]:
        """Take a configuration of the pool and this cell's upstreams.

        :raises ConfigurationError: if the pool names an unknown policy.
        """
        with self._lock:
            self._advance(now)
            self._set_policy(pool.policy)
            self._state.configure(pool, upstreams)
            decisions = self._refuse_unplaceable()
            return self._settle(decisions)

    def submit(self, ask: Ask, now: float) -> list[Decision]:
        """Take an ask; repeating one changes nothing and repeats its decision."""
        with self._lock:
            self._advance(now)
            repeated = self._repeated(ask)
            if repeated is not None:
                return repeated
            return self._submit(ask)

    def withdraw(self, request_id: str, entry: str, now: float) -> list[Decision]:
        """Forget an ask whose caller is gone.

        A permit that is on its way to the entry is freed as well: the entry
        does not use a permit that it withdrew the ask for.
        """
        with self._lock:
            self._advance(now)
            item = self._queued.get(request_id)
            if item is not None and item.ask.entry == entry:
                self._dequeue(item)
            permit = self._state.permits.get(request_id)
            if permit is not None and permit.entry == entry:
                self._end(permit, Outcome.UNUSED, None)
            return self._settle([])

    def done(self, done: Done, now: float) -> list[Decision]:
        """Take the end of a permit; one that is not in use changes nothing."""
        with self._lock:
            self._advance(now)
            permit = self._state.permits.get(done.request_id)
            if permit is None or permit.upstream.name != done.upstream:
                return []
            self._end(permit, done.outcome, done)
            return self._settle([])

    def tick(self, now: float) -> list[Decision]:
        """Refuse what came too late and review the upstreams; every 20 ms."""
        with self._lock:
            self._advance(now)
            decisions = self._expire()
            self._free_orphans()
            if self._now >= self._next_review:
                self._next_review = self._now + _REVIEW_S
                decisions += self._review()
            decisions = self._settle(decisions)
        self._write_notices()
        return decisions

    def adopt(self, inflight: Iterable[Inflight], now: float) -> list[Decision]:
        """Count permits that an earlier home gave, as entries report them."""
        with self._lock:
            self._advance(now)
            for item in inflight:
                self._adopt(item)
            return self._settle([])

    def forget_entry(self, entry: str, now: float) -> list[Decision]:
        """Drop the asks of a dead entry and free its permits after a while.

        Its upstreams may go on with the requests, so that their slots count
        as taken until they would have ended.
        """
        with self._lock:
            self._advance(now)
            for item in [q for q in self._queued.values() if q.ask.entry == entry]:
                self._dequeue(item)
            for permit in self._state.permits.values():
                if permit.entry == entry and not permit.freed_at:
                    self._orphan(permit)
            return self._settle([])

    def holders(self, granted_before: float) -> frozenset[str]:
        """Return the entries that hold permits given before a moment."""
        with self._lock:
            return frozenset(
                permit.entry
                for permit in self._state.permits.values()
                if permit.granted_at < granted_before and not permit.freed_at
            )

    def reconcile(
        self, entry: str, held: Collection[str], granted_before: float, now: float
    ) -> list[Decision]:
        """Free the permits that an entry was given and does not have.

        The message that gives a permit back is sent once; it is lost with the
        connection it is on. The place would stay taken for ever, and the
        upstream would seem fuller each time that happens.

        :param held: requests that the entry says it has at upstreams.
        :param granted_before: when the entry was asked; a permit given later
            may not have arrived there by then.
        """
        with self._lock:
            self._advance(now)
            lost = [
                permit
                for permit in self._state.permits.values()
                if permit.entry == entry
                and permit.granted_at < granted_before
                and not permit.freed_at
                and permit.request_id not in held
            ]
            for permit in lost:
                self._end(permit, Outcome.UNUSED, None)
            return self._settle([])

    def hold(self, until: float) -> list[Decision]:
        """Admit cautiously until then: what is in flight is not all known."""
        with self._lock:
            self._state.held_until = until
            self._state.notice(CELL_HELD, "")
            return []

    def release(self) -> list[Decision]:
        """End a hold: all live entries have reported what they have in flight."""
        with self._lock:
            if self._state.held_until > self._now:
                self._state.notice(CELL_RELEASED, "")
            self._state.held_until = 0.0
            return self._settle([])

    def where(self, key: str) -> Placement | None:
        """Return where the request of a key was last permitted to go."""
        with self._lock:
            return self._placements.get(key, self._now)

    def floor(self) -> int:
        """Return the lowest tier rank that would be admitted now.

        ``ALL_ADMITTED`` if all would be, ``NONE_ADMITTED`` if none would.
        """
        with self._lock:
            return self._floor()

    def correct(self, report: LoadReport, now: float) -> list[Decision]:
        """Take an upstream's own report of its load."""
        with self._lock:
            self._advance(now)
            self._state.correct(report, self._now)
            return self._settle([])

    def cache_changed(
        self,
        upstream: str,
        now: float,
        *,
        stored: Sequence[int] = (),
        evicted: Sequence[int] = (),
        cleared: bool = False,
    ) -> list[Decision]:
        """Take cache events of an engine; ``cleared`` tells of a restart."""
        with self._lock:
            self._advance(now)
            tracked = self._state.upstreams.get(upstream)
            if tracked is None:
                return []
            if cleared:
                self._state.prefixes.clear(upstream)
                self._restarted(tracked)
            self._state.prefixes.discard(upstream, evicted)
            if stored:
                self._state.prefixes.add(upstream, stored)
            return self._settle([])

    def snapshot(self) -> CellSnapshot:
        """Return the cell's present state for status and metrics."""
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
                    for r, n in sorted(self._granted.items())
                ),
                refused=self._refusals.counts(),
                upstreams=tuple(map(upstream_snapshot, state.upstreams.values())),
            )

    def _advance(self, now: float) -> None:
        self._now = max(self._now, now)

    def _set_policy(self, name: str) -> None:
        if name == self._policy_name:
            return
        made = make_policy(name, state=self._state, rng=self._rng)
        queue = made.order()
        for item in sorted(self._queued.values(), key=lambda q: q.number):
            queue.add(item)
        self._state.queue = queue
        self._policy = made
        self._policy_name = name

    def _repeated(self, ask: Ask) -> list[Decision] | None:
        """Return the decision on an ask that came before, ``None`` for a new one."""
        permit = self._state.permits.get(ask.request_id)
        if permit is not None:
            if permit.entry != ask.entry:
                return [self._refusals.write(ask, RefusalCode.DUPLICATE)]
            if permit.upstream.name not in ask.exclude:
                return [_grant(permit)]
            # The entry asks again since that upstream refused: its report of
            # the refusal was overtaken, and the slot is free.
            self._end(permit, Outcome.NOT_ADMITTED, None)
        item = self._queued.get(ask.request_id)
        if item is not None:
            if item.ask.entry != ask.entry:
                return [self._refusals.write(ask, RefusalCode.DUPLICATE)]
            return []
        return self._ended(ask)

    def _ended(self, ask: Ask) -> list[Decision] | None:
        ending = self._endings.get(ask.request_id, self._now)
        if ending is None:
            return None
        if ending.refusal is not None:
            same = ending.exclude == ask.exclude and ending.refusal.entry == ask.entry
            return [ending.refusal] if same else None
        if ending.outcome in _MAY_HAVE_RUN:
            self._endings.put(ask.request_id, ending, self._now)
            return [self._refusals.write(ask, RefusalCode.CLOSED)]
        return None

    def _submit(self, ask: Ask) -> list[Decision]:
        item = self._new_item(ask)
        code = self._cannot_place(ask) or self._policy.admit(item, self._now)
        if code is not None:
            return self._settle([self._refuse(item, code)])
        self._enqueue(item)
        return self._settle([])

    def _new_item(self, ask: Ask) -> Queued:
        self._arrivals += 1
        least_s = self._state.least_s(ask, use_cache=False)
        return Queued(
            ask=ask,
            number=self._arrivals,
            queued_at=self._now,
            service_s=self._state.usual_s(ask),
            latest_start=ask.deadline - _SURE_OF_RUN * least_s,
        )

    def _cannot_place(self, ask: Ask) -> RefusalCode | None:
        if not self._state.active:
            return RefusalCode.NO_UPSTREAM
        if ask.exclude and all(u.name in ask.exclude for u in self._state.active):
            return RefusalCode.NO_UPSTREAM
        return None

    def _enqueue(self, item: Queued) -> None:
        self._queued[item.ask.request_id] = item
        self._state.queue.add(item)
        self._expiries.add(item, len(self._queued))

    def _dequeue(self, item: Queued) -> None:
        del self._queued[item.ask.request_id]
        self._state.queue.remove(item)

    def _settle(self, decisions: list[Decision]) -> list[Decision]:
        """Grant what can be granted, then refuse what the queue cannot hold."""
        if self._policy is None:
            return decisions
        self._drain(decisions)
        queue = self._state.queue
        while len(queue) > self._state.pool.queue_limit:
            item = queue.victim()
            self._dequeue(item)
            decisions.append(self._refuse(item, RefusalCode.OVERLOADED))
        return decisions

    def _drain(self, decisions: list[Decision]) -> None:
        for rank in self._state.queue.ranks():
            while True:
                hindrance = self._grant_next(rank, decisions)
                if hindrance is not None:
                    break
            if hindrance is not Hindrance.UNUSABLE:
                return

    def _grant_next(self, rank: int, decisions: list[Decision]) -> Hindrance | None:
        """Grant one ask of a tier, or return why none can be granted.

        Nothing of a lower tier may go before one that waits for load. What
        only this ask cannot use is offered to others.
        """
        queue = self._state.queue
        item = queue.head(rank)
        if item is None:
            return Hindrance.UNUSABLE
        choice = self._policy.choose(item.ask, self._now)
        if isinstance(choice, Choice):
            decisions.append(self._grant(item, choice))
            return None
        if choice is Hindrance.LOAD:
            return choice
        if choice is Hindrance.BUSY and self._now < self._next_scan:
            return choice
        self._next_scan = self._now + _SCAN_S
        for other in queue.heads(rank, _HEADS_TRIED)[1:]:
            second = self._policy.choose(other.ask, self._now)
            if isinstance(second, Choice):
                decisions.append(self._grant(other, second))
                return None
            if second is not Hindrance.UNUSABLE:
                choice = second
        return choice

    def _grant(self, item: Queued, choice: Choice) -> Grant:
        ask = item.ask
        del self._queued[ask.request_id]
        self._state.queue.serve(item)
        ending = self._endings.get(ask.request_id, self._now)
        attempt = ending.attempt + 1 if ending else 1
        permit = self._state.grant(ask, choice, attempt, self._now)
        if self._policy.relieves:
            self._watch.granted(permit)
        self._place(permit)
        rank = ask.tier_rank
        self._granted[rank] = self._granted.get(rank, 0) + 1
        return _grant(permit)

    def _place(self, permit: Permit) -> None:
        if not permit.key:
            return
        placement = Placement(
            upstream=permit.upstream.name, request_id=permit.request_id
        )
        self._placements.put(permit.key, placement, self._now)

    def _refuse(self, item: Queued, code: RefusalCode) -> Refusal:
        ask = item.ask
        refusal = self._refusals.write(ask, code, self._policy_wait_s(item))
        if self._policy is not None:
            self._policy.refused(item, code, self._now)
        before = self._endings.get(ask.request_id, self._now)
        ending = Ending(
            attempt=before.attempt if before else 0,
            refusal=refusal,
            exclude=ask.exclude,
        )
        self._endings.put(ask.request_id, ending, self._now)
        return refusal

    def _policy_wait_s(self, item: Queued) -> float:
        if self._policy is None:
            return 0.0
        return self._policy.wait_s(item, self._now)

    def _end(self, permit: Permit, outcome: str, done: Done | None) -> None:
        slowness = 0.0
        if done is not None and outcome == Outcome.ANSWERED:
            slowness = learn(permit, done)
        self._state.release(permit, outcome, self._now)
        if self._policy is not None and self._policy.relieves:
            self._watch.ended(permit, outcome, slowness, self._now)
        ending = Ending(attempt=permit.attempt, outcome=str(outcome))
        self._endings.put(permit.request_id, ending, self._now)

    def _expire(self) -> list[Decision]:
        decisions: list[Decision] = []
        while (item := self._expiries.pop_late(self._now)) is not None:
            if not self._may_still_start(item):
                self._dequeue(item)
                decisions.append(self._refuse(item, RefusalCode.QUEUE_TOO_LONG))
        return decisions

    def _may_still_start(self, item: Queued) -> bool:
        """Return whether a cached prefix leaves an ask more time to wait."""
        least_s = self._state.least_s(item.ask, use_cache=True)
        latest = item.ask.deadline - _SURE_OF_RUN * least_s
        if latest <= max(self._now, item.latest_start):
            return False
        item.latest_start = latest
        self._expiries.add(item, len(self._queued))
        return True

    def _orphan(self, permit: Permit) -> None:
        left_s = permit.granted_at + permit.expected_s - self._now
        left_s = min(max(left_s, _LEAST_ORPHAN_S), _MOST_ORPHAN_S)
        permit.freed_at = self._now + left_s
        freed = (permit.freed_at, permit.request_id, permit.attempt)
        heappush(self._orphans, freed)

    def _free_orphans(self) -> None:
        while self._orphans and self._orphans[0][0] <= self._now:
            _, request_id, attempt = heappop(self._orphans)
            permit = self._state.permits.get(request_id)
            if permit is not None and permit.attempt == attempt and permit.freed_at:
                self._end(permit, Outcome.CANCELLED, None)

    def _review(self) -> list[Decision]:
        self._state.expire_reports(self._now)
        if self._policy is not None and self._policy.relieves:
            self._watch.review(self._now)
        self._state.refresh()
        self._placements.expire(self._now)
        self._endings.expire(self._now)
        return self._refuse_out_of_reach()

    def _refuse_out_of_reach(self) -> list[Decision]:
        if self._policy is None or not len(self._state.queue):
            return []
        decisions: list[Decision] = []
        for item in self._policy.out_of_reach(self._now):
            self._dequeue(item)
            decisions.append(self._refuse(item, RefusalCode.QUEUE_TOO_LONG))
        return decisions

    def _refuse_unplaceable(self) -> list[Decision]:
        decisions: list[Decision] = []
        for item in list(self._queued.values()):
            code = self._cannot_place(item.ask)
            if code is not None:
                self._dequeue(item)
                decisions.append(self._refuse(item, code))
        return decisions

    def _adopt(self, item: Inflight) -> None:
        if item.request_id in self._state.permits:
            return
        queued = self._queued.get(item.request_id)
        if queued is not None:
            self._dequeue(queued)
        upstream = self._state.upstreams.get(item.upstream)
        if upstream is None:
            upstream = self._state.unknown_upstream(item.upstream)
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
        self._place(permit)

    def _restarted(self, upstream: TrackedUpstream) -> None:
        upstream.prefill_free_at = self._now
        upstream.low_prefill_free_at = self._now
        if self._policy is not None and self._policy.relieves:
            self._watch.restarted(upstream, self._now)

    def _floor(self) -> int:
        if self._policy is None or not self._state.active:
            return NONE_ADMITTED
        lowest = self._policy.lowest_admitted(self._now)
        floor = ALL_ADMITTED if lowest is None else lowest
        queue = self._state.queue
        if len(queue) >= self._state.pool.queue_limit:
            last = queue.victim()
            if last is not None:
                floor = min(floor, last.ask.tier_rank - 1)
        return floor

    def _write_notices(self) -> None:
        # Standard error may block; a log line written under the lock would
        # stop all permits of the cell for as long.
        with self._lock:
            notices = self._state.notices
            self._state.notices = []
        for notice in notices:
            log(
                notice.event,
                cell=self.name,
                upstream=notice.upstream,
                reason=notice.reason,
            )


def _grant(permit: Permit) -> Grant:
    return Grant(
        request_id=permit.request_id,
        entry=permit.entry,
        upstream=permit.upstream.name,
        attempt=permit.attempt,
    )
