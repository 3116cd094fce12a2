"""The state that a cell keeps of its upstreams and of permits in use."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.permits import LoadReport, Outcome, PlacementRequest
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
    """The upstream that a policy chose for a request.

    :param uncached_tokens: prompt tokens that it is expected to prefill.
    :param lower_tier_prefill: whether the prefill counts against the bound on
        long prefills of lower tiers.
    """

    upstream: TrackedUpstream
    uncached_tokens: int
    lower_tier_prefill: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class DeferredEvent:
    """A log event to be written after the cell's lock is released."""

    event: Event
    upstream: str
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class _PoolSpeed:
    """The best and the mean speeds of the active upstreams.

    :ivar typical_step_s: mean of the step times with all slots in use.
    """

    best_prefill_rate: float
    best_step_s: float
    best_overhead_s: float
    typical_prefill_rate: float
    typical_step_s: float
    typical_overhead_s: float
    best_service_s: float
    typical_service_s: float


class CellState:
    """Upstreams, permits in use and learned speeds, independent of the policy.

    :param queue: the queued requests; replaced when the policy changes.
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
        """Apply a configuration; learned speeds and permits in use are kept."""
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
                tracked.is_active = False
                self._drop_if_idle(tracked)
        self.refresh()

    def refresh(self) -> None:
        """Recompute the values that are derived from all upstreams."""
        self.active = [u for u in self.upstreams.values() if u.is_active]
        self.probes = [u for u in self.probes if u.is_active]
        self.total_slots = sum(u.limit for u in self.active)
        self.reserved_slots = sum(u.reserved for u in self.active)
        for upstream in self.upstreams.values():
            self.update_free_slots(upstream)
        self._speed = _pool_speed(self.active) if self.active else None

    def set_limit(self, upstream: TrackedUpstream, limit: int) -> None:
        """Set the number of requests that an upstream may run at once."""
        upstream.limit = limit
        self.update_free_slots(upstream)

    def update_free_slots(self, upstream: TrackedUpstream) -> None:
        """Update the free slots of an upstream and the sets derived from them.

        ``with_free_slots`` holds the upstreams with a free slot, and
        ``with_lower_tier_slots`` those with more free slots than are reserved
        for higher tiers. Under load both are small, and a policy looks at no
        other upstreams.
        """
        free_slots = upstream.limit - len(upstream.permits) - upstream.foreign_load
        if not upstream.is_active:
            free_slots = 0
        upstream.free_slots = free_slots
        _set_membership(self.with_free_slots, upstream, free_slots > 0)
        _set_membership(
            self.with_lower_tier_slots, upstream, free_slots > upstream.reserved
        )

    def min_duration_s(self, request: PlacementRequest, *, use_cache: bool) -> float:
        """Return the expected run time of a request on the fastest idle upstream.

        :param use_cache: look up the prompt in the prefix caches, which is slower.
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

    def typical_duration_s(self, request: PlacementRequest) -> float:
        """Return the expected run time on an average upstream under full load."""
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

    def grant(
        self, request: PlacementRequest, choice: Choice, attempt: int, now: float
    ) -> Permit:
        """Create a permit on the chosen upstream and account for it."""
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
        self._add_permit(permit, now)
        return permit

    def adopt(self, permit: Permit, now: float) -> None:
        """Account for a permit that an earlier home granted."""
        self._add_permit(permit, now)

    def track_unknown_upstream(self, name: str) -> TrackedUpstream:
        """Track and return an upstream that is not in the configuration yet.

        A permit reported for it has to be counted: the next configuration may
        add the upstream while the request is still running.
        """
        kind = self.pool.kind if self.pool else PoolKind.ENGINE
        pool = self.pool.name if self.pool else ""
        tracked = self._track(Upstream(name=name, pool=pool, address=""), kind)
        tracked.is_active = False
        return tracked

    def release(self, permit: Permit, outcome: str, now: float) -> None:
        """Remove a permit that has ended and release its slot."""
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

    def apply_load_report(self, report: LoadReport, now: float) -> None:
        """Correct an upstream's foreign load and prefill backlog by its report.

        A report measured before the cell's last grant or permit end there does
        not reflect it. Applying it would count a request twice or not at all.
        """
        upstream = self.upstreams.get(report.upstream)
        if upstream is None or report.measured_at <= upstream.reported_at:
            return
        upstream.reported_load = report.running + report.waiting
        upstream.reported_at = report.measured_at
        if report.measured_at <= upstream.last_event_at:
            return
        extra = upstream.reported_load - len(upstream.permits)
        upstream.foreign_load = min(max(extra, 0), upstream.capacity)
        upstream.foreign_load_until = report.measured_at + _REPORT_VALID_S
        self.update_free_slots(upstream)
        prefill_s = report.waiting_prefill_tokens / upstream.speed.prefill_tokens_per_s
        free_at = report.measured_at + prefill_s
        upstream.prefill_free_at = max(upstream.prefill_free_at, free_at)

    def expire_reports(self, now: float) -> None:
        """Drop foreign load that no recent report confirmed."""
        for upstream in self.active:
            if upstream.foreign_load and now >= upstream.foreign_load_until:
                upstream.foreign_load = 0
                self.update_free_slots(upstream)

    def defer_event(self, event: Event, upstream: str, reason: str = "") -> None:
        """Keep a log event until the cell's lock is released."""
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
        if upstream.is_active or upstream.permits:
            return
        if self.upstreams.pop(upstream.name, None):
            self.update_free_slots(upstream)
            self.prefixes.clear(upstream.name)

    def _add_permit(self, permit: Permit, now: float) -> None:
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
