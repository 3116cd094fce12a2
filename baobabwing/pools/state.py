"""The account that the home of a cell keeps of its upstreams and permits."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.permits import Ask, LoadReport, Outcome
from baobabwing.pools.prefix_digest import BLOCK_TOKENS
from baobabwing.pools.prefix_index import PrefixIndex
from baobabwing.pools.queues import WaitingQueue
from baobabwing.pools.speeds import GenerationSpeeds
from baobabwing.pools.tracking import Permit, TrackedUpstream
from baobabwing.reports.events import Event

__all__ = ["CellState", "Choice", "DeferredEvent"]

_REPORT_VALID_S = 2.0
_MAX_DEFERRED_EVENTS = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An upstream that a policy chose for an ask.

    :param uncached: prompt tokens that it will probably have to prefill.
    :param low_prefill: whether the prefill counts against the bound on those
        of lower tiers.
    """

    upstream: TrackedUpstream
    uncached_tokens: int
    lower_tier_prefill: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class DeferredEvent:
    """A log event to be written once the cell's lock is free again."""

    event: Event
    upstream: str
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class _PoolSpeed:
    """The best and the usual speeds of the upstreams that take work."""

    best_prefill_rate: float
    best_step_s: float
    best_overhead_s: float
    typical_prefill_rate: float
    typical_step_s: float
    typical_overhead_s: float
    best_service_s: float
    typical_service_s: float


class CellState:
    """Upstreams, permits in use and what was learned, without any policy.

    :param queue: holds the asks that wait; replaced when the policy changes.
    """

    def __init__(self, *, queue: WaitingQueue) -> None:
        self.queue = queue
        self.pool: Pool | None = None
        self.upstreams: dict[str, TrackedUpstream] = {}
        self.active: list[TrackedUpstream] = []
        self.with_free_slots: dict[str, TrackedUpstream] = {}
        self.with_lower_tier_slots: dict[str, TrackedUpstream] = {}
        self.probes: list[TrackedUpstream] = []
        self.permits: dict[str, Permit] = {}
        self.prefixes = PrefixIndex()
        self.held_until = 0.0
        self.total_slots = 0
        self.reserved_slots = 0
        self.total_expected_s = 0.0
        self.deferred_events: list[DeferredEvent] = []
        self._generation_speeds = GenerationSpeeds()
        self._speed: _PoolSpeed | None = None

    def configure(self, pool: Pool, upstreams: Iterable[Upstream]) -> None:
        """Take a configuration; what was learned and is in use stays."""
        self.pool = pool
        configured = {upstream.name: upstream for upstream in upstreams}
        for name, upstream in configured.items():
            tracked = self.upstreams.get(name)
            if tracked is None:
                self._track(upstream, pool.kind)
                continue
            if tracked.address != upstream.address:
                self.prefixes.clear(name)
            tracked.reconfigure(upstream, pool.kind)
        for name, tracked in list(self.upstreams.items()):
            if name not in configured:
                tracked.open_to_work = False
                self._drop_if_idle(tracked)
        self.refresh()

    def refresh(self) -> None:
        """Compute anew what is derived from all upstreams."""
        self.active = [u for u in self.upstreams.values() if u.open_to_work]
        self.probes = [u for u in self.probes if u.open_to_work]
        self.total_slots = sum(u.limit for u in self.active)
        self.reserved_slots = sum(u.reserved for u in self.active)
        for upstream in self.upstreams.values():
            self.update_free_slots(upstream)
        self._speed = _pool_speed(self.active) if self.active else None

    def set_limit(self, upstream: TrackedUpstream, limit: int) -> None:
        """Bound the requests that an upstream is given at one time."""
        upstream.limit = limit
        self.update_free_slots(upstream)

    def update_free_slots(self, upstream: TrackedUpstream) -> None:
        """Keep ``open`` to the upstreams that may be given something.

        And ``open_to_lower`` to those with more room than lower tiers leave
        free. Under load these are few, and a choice looks at no others.
        """
        free_slots = upstream.limit - len(upstream.permits) - upstream.foreign_load
        if not upstream.open_to_work:
            free_slots = 0
        upstream.free_slots = free_slots
        _set_membership(self.with_free_slots, upstream, free_slots > 0)
        _set_membership(
            self.with_lower_tier_slots, upstream, free_slots > upstream.reserved
        )

    def min_duration_s(self, request: Ask, *, use_cache: bool) -> float:
        """Return the time the ask would take on the fastest idle upstream.

        :param use_cache: look up the prompt in the caches, which costs more.
        """
        speed = self._speed
        if speed is None or self.pool is None:
            return 0.0
        if self.pool.kind is PoolKind.SERVICE:
            return speed.best_service_s
        prompt = request.prompt_tokens
        if use_cache and request.prefix:
            depths = self.prefixes.cached_blocks(request.prefix, self.upstreams)
            deepest = max(depths.values(), default=0)
            prompt = max(prompt - deepest * BLOCK_TOKENS, 0)
        prefill = prompt / speed.best_prefill_rate
        return (
            speed.best_overhead_s + prefill + request.output_tokens * speed.best_step_s
        )

    def typical_duration_s(self, request: Ask) -> float:
        """Return the time the ask would take on a usual upstream under load."""
        speed = self._speed
        if speed is None or self.pool is None:
            return 0.0
        if self.pool.kind is PoolKind.SERVICE:
            return speed.typical_service_s
        prefill = request.prompt_tokens / speed.typical_prefill_rate
        return (
            speed.typical_overhead_s
            + prefill
            + request.output_tokens * speed.typical_step_s
        )

    def grant(self, request: Ask, choice: Choice, attempt: int, now: float) -> Permit:
        """Account for a permit and return it."""
        upstream = choice.upstream
        batch = len(upstream.permits) + 1
        permit = Permit(
            request_id=request.request_id,
            entry=request.entry,
            upstream=upstream,
            attempt=attempt,
            granted_at=now,
            key=request.key,
            organisation=request.organisation,
            tier_rank=request.tier_rank,
            prefix=request.prefix,
        )
        permit.batch = batch
        permit.uncached_tokens = choice.uncached_tokens
        permit.wait_s = max(upstream.prefill_free_at - now, 0.0)
        permit.expected_s = permit.wait_s + upstream.request_s(
            choice.uncached_tokens, request.output_tokens, batch
        )
        self._charge_prefill(permit, choice, now)
        if request.prefix:
            self.prefixes.add(upstream.name, request.prefix)
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
        self.total_expected_s -= permit.expected_s
        upstream.last_event_at = now
        if outcome == Outcome.ANSWERED:
            upstream.last_done_at = now
        else:
            upstream.prefill_free_at -= permit.prefill_s
            upstream.lower_tier_prefill_free_at -= permit.lower_tier_prefill_s
        if not upstream.permits:
            upstream.prefill_free_at = now
            upstream.lower_tier_prefill_free_at = now
        if not self.permits:
            self.total_expected_s = 0.0
        self.update_free_slots(upstream)
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
        upstream.foreign_load = min(max(extra, 0), upstream.capacity)
        upstream.foreign_load_until = report.measured_at + _REPORT_VALID_S
        self.update_free_slots(upstream)
        prefill_s = report.waiting_prefill_tokens / upstream.speed.prefill_tokens_per_s
        free_at = report.measured_at + prefill_s
        upstream.prefill_free_at = max(upstream.prefill_free_at, free_at)

    def expire_reports(self, now: float) -> None:
        """Forget foreign load that no report confirmed lately."""
        for upstream in self.active:
            if upstream.foreign_load and now >= upstream.foreign_load_until:
                upstream.foreign_load = 0
                self.update_free_slots(upstream)

    def defer_event(self, event: Event, upstream: str, reason: str = "") -> None:
        """Keep a log event for when the lock is free."""
        if len(self.deferred_events) < _MAX_DEFERRED_EVENTS:
            self.deferred_events.append(
                DeferredEvent(event=event, upstream=upstream, reason=reason)
            )

    def _track(self, upstream: Upstream, kind: PoolKind) -> TrackedUpstream:
        tracked = TrackedUpstream(
            upstream=upstream,
            kind=kind,
            speed=self._generation_speeds.initial_speed(upstream),
            generation_speed=self._generation_speeds.generation_speed(upstream),
        )
        self.upstreams[upstream.name] = tracked
        return tracked

    def _drop_if_idle(self, upstream: TrackedUpstream) -> None:
        if upstream.open_to_work or upstream.permits:
            return
        if self.upstreams.pop(upstream.name, None):
            self.update_free_slots(upstream)
            self.prefixes.clear(upstream.name)

    def _count(self, permit: Permit, now: float) -> None:
        upstream = permit.upstream
        self.permits[permit.request_id] = permit
        upstream.permits[permit.request_id] = permit
        upstream.last_event_at = now
        self.total_expected_s += permit.expected_s
        self.update_free_slots(upstream)

    def _charge_prefill(self, permit: Permit, choice: Choice, now: float) -> None:
        upstream = permit.upstream
        if upstream.kind is PoolKind.SERVICE:
            return
        permit.prefill_s = choice.uncached_tokens / upstream.speed.prefill_tokens_per_s
        start = max(upstream.prefill_free_at, now)
        upstream.prefill_free_at = start + permit.prefill_s
        upstream.granted_prefill_tokens += choice.uncached_tokens
        permit.granted_prefill_tokens_after = upstream.granted_prefill_tokens
        if choice.lower_tier_prefill:
            permit.lower_tier_prefill_s = permit.prefill_s
            start = max(upstream.lower_tier_prefill_free_at, now)
            upstream.lower_tier_prefill_free_at = start + permit.lower_tier_prefill_s


def _set_membership(
    members: dict[str, TrackedUpstream], upstream: TrackedUpstream, member: bool
) -> None:
    if member:
        members[upstream.name] = upstream
    else:
        members.pop(upstream.name, None)


def _pool_speed(active: list[TrackedUpstream]) -> _PoolSpeed:
    speeds = [u.speed for u in active]
    loaded = [u.speed.step_s(max(u.capacity, 1)) for u in active]
    count = len(active)
    return _PoolSpeed(
        best_prefill_rate=max(s.prefill_tokens_per_s for s in speeds),
        best_step_s=min(s.step_s(1) for s in speeds),
        best_overhead_s=min(s.overhead_s for s in speeds),
        typical_prefill_rate=sum(s.prefill_tokens_per_s for s in speeds) / count,
        typical_step_s=sum(loaded) / count,
        typical_overhead_s=sum(s.overhead_s for s in speeds) / count,
        best_service_s=min(s.service_s for s in speeds),
        typical_service_s=sum(s.service_s for s in speeds) / count,
    )
