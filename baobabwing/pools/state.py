"""The account that the home of a cell keeps of its upstreams and permits."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.permits import Ask, LoadReport, Outcome
from baobabwing.pools.prefix_digest import BLOCK_TOKENS
from baobabwing.pools.prefix_index import PrefixIndex
from baobabwing.pools.queues import WaitingQueue
from baobabwing.pools.speeds import SpeedBook
from baobabwing.pools.tracking import Permit, TrackedUpstream
from baobabwing.reports.events import Event

__all__ = ["CellState", "Choice", "Notice"]

_REPORT_VALID_S = 2.0
_MOST_NOTICES = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An upstream that a policy chose for an ask.

    :param uncached: prompt tokens that it will probably have to prefill.
    :param low_prefill: whether the prefill counts against the bound on those
        of lower tiers.
    """

    upstream: TrackedUpstream
    uncached: int
    low_prefill: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Notice:
    """A log event to be written once the cell's lock is free again."""

    event: Event
    upstream: str
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class _PoolSpeed:
    """The best and the usual speeds of the upstreams that take work."""

    best_rate: float
    best_step_s: float
    best_head_s: float
    usual_rate: float
    usual_step_s: float
    usual_head_s: float
    best_service_s: float
    usual_service_s: float


class CellState:
    """Upstreams, permits in use and what was learned, without any policy.

    :param queue: holds the asks that wait; replaced when the policy changes.
    """

    def __init__(self, *, queue: WaitingQueue) -> None:
        self.queue = queue
        self.pool: Pool | None = None
        self.upstreams: dict[str, TrackedUpstream] = {}
        self.active: list[TrackedUpstream] = []
        self.open: dict[str, TrackedUpstream] = {}
        self.open_to_lower: dict[str, TrackedUpstream] = {}
        self.probes: list[TrackedUpstream] = []
        self.permits: dict[str, Permit] = {}
        self.prefixes = PrefixIndex()
        self.held_until = 0.0
        self.slots = 0
        self.reserved = 0
        self.expected_s = 0.0
        self.notices: list[Notice] = []
        self._book = SpeedBook()
        self._speed: _PoolSpeed | None = None

    def configure(self, pool: Pool, upstreams: Iterable[Upstream]) -> None:
        """Take a configuration; what was learned and is in use stays."""
        self.pool = pool
        wanted = {upstream.name: upstream for upstream in upstreams}
        for name, upstream in wanted.items():
            tracked = self.upstreams.get(name)
            if tracked is None:
                self._track(upstream, pool.kind)
                continue
            if tracked.address != upstream.address:
                self.prefixes.clear(name)
            tracked.reconfigure(upstream, pool.kind)
        for name, tracked in list(self.upstreams.items()):
            if name not in wanted:
                tracked.open_to_work = False
                self._drop_if_idle(tracked)
        self.refresh()

    def refresh(self) -> None:
        """Compute anew what is derived from all upstreams."""
        self.active = [u for u in self.upstreams.values() if u.open_to_work]
        self.probes = [u for u in self.probes if u.open_to_work]
        self.slots = sum(u.limit for u in self.active)
        self.reserved = sum(u.reserved for u in self.active)
        for upstream in self.upstreams.values():
            self.update_room(upstream)
        self._speed = _pool_speed(self.active) if self.active else None

    def set_limit(self, upstream: TrackedUpstream, limit: int) -> None:
        """Bound the requests that an upstream is given at one time."""
        upstream.limit = limit
        self.update_room(upstream)

    def update_room(self, upstream: TrackedUpstream) -> None:
        """Keep ``open`` to the upstreams that may be given something.

        And ``open_to_lower`` to those with more room than lower tiers leave
        free. Under load these are few, and a choice looks at no others.
        """
        room = upstream.limit - len(upstream.permits) - upstream.foreign
        if not upstream.open_to_work:
            room = 0
        upstream.room = room
        _keep(self.open, upstream, room > 0)
        _keep(self.open_to_lower, upstream, room > upstream.reserved)

    def least_s(self, ask: Ask, *, use_cache: bool) -> float:
        """Return the time the ask would take on the fastest idle upstream.

        :param use_cache: look up the prompt in the caches, which costs more.
        """
        speed = self._speed
        if speed is None or self.pool is None:
            return 0.0
        if self.pool.kind is PoolKind.SERVICE:
            return speed.best_service_s
        prompt = ask.prompt_tokens
        if use_cache and ask.prefix:
            depths = self.prefixes.cached_blocks(ask.prefix, self.upstreams)
            deepest = max(depths.values(), default=0)
            prompt = max(prompt - deepest * BLOCK_TOKENS, 0)
        prefill = prompt / speed.best_rate
        return speed.best_head_s + prefill + ask.output_tokens * speed.best_step_s

    def usual_s(self, ask: Ask) -> float:
        """Return the time the ask would take on a usual upstream under load."""
        speed = self._speed
        if speed is None or self.pool is None:
            return 0.0
        if self.pool.kind is PoolKind.SERVICE:
            return speed.usual_service_s
        prefill = ask.prompt_tokens / speed.usual_rate
        return speed.usual_head_s + prefill + ask.output_tokens * speed.usual_step_s

    def grant(self, ask: Ask, choice: Choice, attempt: int, now: float) -> Permit:
        """Account for a permit and return it."""
        upstream = choice.upstream
        batch = len(upstream.permits) + 1
        permit = Permit(
            request_id=ask.request_id,
            entry=ask.entry,
            upstream=upstream,
            attempt=attempt,
            granted_at=now,
            key=ask.key,
            organisation=ask.organisation,
            tier_rank=ask.tier_rank,
            prefix=ask.prefix,
        )
        permit.batch = batch
        permit.uncached = choice.uncached
        permit.wait_s = max(upstream.prefill_free_at - now, 0.0)
        permit.expected_s = permit.wait_s + upstream.request_s(
            choice.uncached, ask.output_tokens, batch
        )
        self._charge_prefill(permit, choice, now)
        if ask.prefix:
            self.prefixes.add(upstream.name, ask.prefix)
        self._count(permit, now)
        return permit

    def adopt(self, permit: Permit, now: float) -> None:
        """Account for a permit that another home gave."""
        self._count(permit, now)

    def unknown_upstream(self, name: str) -> TrackedUpstream:
        """Return an account for an upstream that no configuration named yet.

        A permit reported for it has to be counted all the same: the next
        configuration may bring the upstream with the request still running.
        """
        kind = self.pool.kind if self.pool else PoolKind.ENGINE
        pool = self.pool.name if self.pool else ""
        tracked = self._track(Upstream(name=name, pool=pool, address=""), kind)
        tracked.open_to_work = False
        return tracked

    def release(self, permit: Permit, outcome: str, now: float) -> None:
        """Take a permit out of the account."""
        upstream = permit.upstream
        del self.permits[permit.request_id]
        del upstream.permits[permit.request_id]
        self.expected_s -= permit.expected_s
        upstream.last_event_at = now
        if outcome == Outcome.ANSWERED:
            upstream.last_done_at = now
        else:
            upstream.prefill_free_at -= permit.prefill_s
            upstream.low_prefill_free_at -= permit.low_prefill_s
        if not upstream.permits:
            upstream.prefill_free_at = now
            upstream.low_prefill_free_at = now
        if not self.permits:
            self.expected_s = 0.0
        self.update_room(upstream)
        self._drop_if_idle(upstream)

    def correct(self, report: LoadReport, now: float) -> None:
        """Take a load report, as far as it knows more than we do.

        A report older than our last grant or end there has not seen it, and
        would make us count the same request twice or not at all.
        """
        upstream = self.upstreams.get(report.upstream)
        if upstream is None or report.measured_at <= upstream.reported_at:
            return
        upstream.reported = report.running + report.waiting
        upstream.reported_at = report.measured_at
        if report.measured_at <= upstream.last_event_at:
            return
        extra = upstream.reported - len(upstream.permits)
        upstream.foreign = min(max(extra, 0), upstream.capacity)
        upstream.foreign_until = report.measured_at + _REPORT_VALID_S
        self.update_room(upstream)
        prefill_s = report.waiting_prefill_tokens / upstream.speed.prefill_tokens_per_s
        free_at = report.measured_at + prefill_s
        upstream.prefill_free_at = max(upstream.prefill_free_at, free_at)

    def expire_reports(self, now: float) -> None:
        """Forget foreign load that no report confirmed lately."""
        for upstream in self.active:
            if upstream.foreign and now >= upstream.foreign_until:
                upstream.foreign = 0
                self.update_room(upstream)

    def notice(self, event: Event, upstream: str, reason: str = "") -> None:
        """Keep a log event for when the lock is free."""
        if len(self.notices) < _MOST_NOTICES:
            self.notices.append(Notice(event=event, upstream=upstream, reason=reason))

    def _track(self, upstream: Upstream, kind: PoolKind) -> TrackedUpstream:
        tracked = TrackedUpstream(
            upstream=upstream,
            kind=kind,
            speed=self._book.start(upstream),
            pooled=self._book.generation(upstream),
        )
        self.upstreams[upstream.name] = tracked
        return tracked

    def _drop_if_idle(self, upstream: TrackedUpstream) -> None:
        if upstream.open_to_work or upstream.permits:
            return
        if self.upstreams.pop(upstream.name, None):
            self.update_room(upstream)
            self.prefixes.clear(upstream.name)

    def _count(self, permit: Permit, now: float) -> None:
        upstream = permit.upstream
        self.permits[permit.request_id] = permit
        upstream.permits[permit.request_id] = permit
        upstream.last_event_at = now
        self.expected_s += permit.expected_s
        self.update_room(upstream)

    def _charge_prefill(self, permit: Permit, choice: Choice, now: float) -> None:
        upstream = permit.upstream
        if upstream.kind is PoolKind.SERVICE:
            return
        permit.prefill_s = choice.uncached / upstream.speed.prefill_tokens_per_s
        start = max(upstream.prefill_free_at, now)
        upstream.prefill_free_at = start + permit.prefill_s
        upstream.prefill_given += choice.uncached
        permit.prefill_mark = upstream.prefill_given
        if choice.low_prefill:
            permit.low_prefill_s = permit.prefill_s
            start = max(upstream.low_prefill_free_at, now)
            upstream.low_prefill_free_at = start + permit.low_prefill_s


def _keep(
    members: dict[str, TrackedUpstream], upstream: TrackedUpstream, wanted: bool
) -> None:
    if wanted:
        members[upstream.name] = upstream
    else:
        members.pop(upstream.name, None)


def _pool_speed(active: list[TrackedUpstream]) -> _PoolSpeed:
    speeds = [u.speed for u in active]
    loaded = [u.speed.step_s(max(u.capacity, 1)) for u in active]
    count = len(active)
    return _PoolSpeed(
        best_rate=max(s.prefill_tokens_per_s for s in speeds),
        best_step_s=min(s.step_s(1) for s in speeds),
        best_head_s=min(s.head_s for s in speeds),
        usual_rate=sum(s.prefill_tokens_per_s for s in speeds) / count,
        usual_step_s=sum(loaded) / count,
        usual_head_s=sum(s.head_s for s in speeds) / count,
        best_service_s=min(s.service_s for s in speeds),
        usual_service_s=sum(s.service_s for s in speeds) / count,
    )
