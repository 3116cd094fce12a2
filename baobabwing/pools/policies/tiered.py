"""The default policy: strict tiers, deadlines, fair shares and headroom."""

from __future__ import annotations

from random import Random

from baobabwing.pools.fairness import QueuedRequest
from baobabwing.pools.headroom import (
    MAX_LOWER_TIER_PREFILL_S,
    TierActivity,
    max_long_prefill_engines,
)
from baobabwing.pools.load_refusals import LOAD_REFUSAL_RETENTION_S, LoadRefusal
from baobabwing.pools.permits import PlacementRequest, RefusalCode
from baobabwing.pools.policies.registry import PlacementBlocker, policy
from baobabwing.pools.policies.search import SERVICE_ESTIMATE_FACTOR, Search
from baobabwing.pools.queues import TierQueue, WaitingQueue
from baobabwing.pools.state import CellState, Choice

__all__ = ["TieredPolicy"]

# Estimates err both ways. A refusal is final, so it needs more certainty than
# a choice: expected waits are multiplied by 0.7, as run times are by 0.9.
_WAIT_ESTIMATE_FACTOR = 0.7
_PROBE_SLACK_FACTOR = 2.0


@policy("baobabwing")
class TieredPolicy:
    """Orders by tier, fair share and deadline; places by expected completion.

    The expected completion time of a request on an upstream is the prefill
    backlog there, plus its own uncached prompt at the learned prefill rate, plus
    its output at the learned step time of the batch that it would join. An
    upstream with a cached prefix is thus preferred exactly as long as the saved
    prefill is longer than the extra wait and the slower steps.
    """

    ejects_stragglers = True

    def __init__(self, *, state: CellState, rng: Random) -> None:
        self._state = state
        self._rng = rng
        self._tier_activity = TierActivity()
        self._load_refusals: dict[int, LoadRefusal] = {}

    def make_queue(self) -> WaitingQueue:
        """Return a queue with strict priority of tiers."""
        return TierQueue()

    def check_admission(self, item: QueuedRequest, now: float) -> RefusalCode | None:
        """Return a refusal code if the request would be late or its tier is closed.

        A tier is closed while a request of a higher tier is refused for load.
        """
        request = item.request
        self._tier_activity.record_request(request.tier_rank, now)
        if now > item.latest_start:
            min_duration_s = self._state.min_duration_s(request, use_cache=True)
            if now + SERVICE_ESTIMATE_FACTOR * min_duration_s > request.deadline:
                return RefusalCode.DEADLINE
        if self._is_closed_by_refusal(request.tier_rank, now):
            return RefusalCode.OVERLOADED
        wait_s = self.expected_wait_s(item, now)
        if wait_s and not _meets_deadline(item, wait_s, now):
            return RefusalCode.QUEUE_TOO_LONG
        return None

    def choose(
        self, request: PlacementRequest, now: float
    ) -> Choice | PlacementBlocker:
        """Return the upstream with the earliest expected completion.

        Notes: linear in the upstreams with free slots and in the prompt's blocks.
        """
        state = self._state
        leave_headroom = self._tier_activity.higher_tier_active(request.tier_rank, now)
        candidates = (
            state.with_lower_tier_slots if leave_headroom else state.with_free_slots
        )
        if state.probes:
            probe = self._probe_for(request, now, required=not candidates)
            if probe is not None:
                return probe
        if not candidates:
            return PlacementBlocker.NO_FREE_SLOT
        search = Search(
            request=request,
            now=now,
            leave_headroom=leave_headroom,
            long_prefill_allowed=self._may_start_long_prefill,
            held=now < state.held_until,
        )
        if request.prefix:
            search.cached = state.prefixes.cached_blocks(request.prefix, candidates)
        for upstream in candidates.values():
            search.consider(upstream)
        return search.result()

    def record_refusal(
        self, item: QueuedRequest, code: RefusalCode, now: float
    ) -> None:
        """Close lower tiers after a refusal because of too long a queue."""
        if code is not RefusalCode.QUEUE_TOO_LONG:
            return
        rank = item.request.tier_rank
        self._load_refusals[rank] = LoadRefusal(
            rank=rank,
            budget_s=item.request.deadline - item.queued_at,
            service_s=item.service_s,
            expires_at=now + LOAD_REFUSAL_RETENTION_S,
        )

    def expected_late(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests expected to miss their deadlines.

        Since they were admitted, work of a higher tier may have arrived or an
        upstream may have been lost.
        """

        def meets_deadline(item: QueuedRequest, ahead_s: float) -> bool:
            if not ahead_s:
                return True
            wait_s = self._wait_after_s(ahead_s, item.request.tier_rank, now)
            return _meets_deadline(item, wait_s, now)

        return self._state.queue.expected_late(meets_deadline)

    def expected_wait_s(self, item: QueuedRequest, now: float) -> float:
        """Return the expected wait for a permit, 0 if its tier has a free slot.

        Otherwise slots become free at the rate at which permits in use end, and
        the requests queued before it are served first.
        """
        request = item.request
        ahead_s = self._state.queue.work_ahead_s(request, item.service_s)
        if not ahead_s and self._has_free_slot(request.tier_rank, now):
            return 0.0
        return self._wait_after_s(ahead_s, request.tier_rank, now)

    def lowest_admitted(self, now: float) -> int | None:
        """Return the tier above the highest one that is refused for load now.

        ``None`` if no tier is refused for load.
        """
        refused_ranks = [
            refusal.rank
            for refusal in list(self._load_refusals.values())
            if self._still_applies(refusal, now)
        ]
        return min(refused_ranks) - 1 if refused_ranks else None

    def _is_closed_by_refusal(self, rank: int, now: float) -> bool:
        refusals = list(self._load_refusals.values())
        return any(
            refusal.rank < rank and self._still_applies(refusal, now)
            for refusal in refusals
        )

    def _still_applies(self, refusal: LoadRefusal, now: float) -> bool:
        if now < refusal.expires_at and not self._would_meet_deadline(refusal, now):
            return True
        del self._load_refusals[refusal.rank]
        return False

    def _would_meet_deadline(self, refusal: LoadRefusal, now: float) -> bool:
        queue = self._state.queue
        served_before = any(rank <= refusal.rank for rank in queue.ranks())
        if not served_before and self._has_free_slot(refusal.rank, now):
            return True
        ahead_s = queue.work_through_s(refusal.rank)
        wait_s = self._wait_after_s(ahead_s, refusal.rank, now)
        needed = (
            _WAIT_ESTIMATE_FACTOR * wait_s + SERVICE_ESTIMATE_FACTOR * refusal.service_s
        )
        return needed <= refusal.budget_s

    def _wait_after_s(self, ahead_s: float, rank: int, now: float) -> float:
        state = self._state
        slots = state.total_slots
        if self._tier_activity.higher_tier_active(rank, now):
            slots -= state.reserved_slots
        slots = max(slots, 1)
        running = len(state.permits)
        next_free_s = state.total_expected_s / running / slots if running else 0.0
        return next_free_s + ahead_s / slots

    def _has_free_slot(self, rank: int, now: float) -> bool:
        leave_headroom = self._tier_activity.higher_tier_active(rank, now)
        return bool(
            self._state.with_lower_tier_slots
            if leave_headroom
            else self._state.with_free_slots
        )

    def _may_start_long_prefill(self, now: float) -> bool:
        active = self._state.active
        max_free_at = now + MAX_LOWER_TIER_PREFILL_S
        busy = sum(u.lower_tier_prefill_free_at > max_free_at for u in active)
        return busy < max_long_prefill_engines(len(active))

    def _probe_for(
        self, request: PlacementRequest, now: float, *, required: bool
    ) -> Choice | None:
        # A probe may be slow again, so it uses a request of the lowest active
        # tier, and only one with twice its expected time left. If no other slot
        # is free, any tier is used: lower tiers are not served then, and a
        # recovered upstream would stay ejected for as long as the overload lasts.
        if not required and self._tier_activity.lower_tier_active(
            request.tier_rank, now
        ):
            return None
        slack = request.deadline - now
        for upstream in self._state.probes:
            if upstream.name in request.exclude:
                continue
            batch = len(upstream.permits) + 1
            if batch > upstream.capacity:
                continue
            total_s = upstream.request_s(
                request.prompt_tokens, request.output_tokens, batch
            )
            if _PROBE_SLACK_FACTOR * total_s <= slack:
                return Choice(upstream=upstream, uncached_tokens=request.prompt_tokens)
        return None


def _meets_deadline(item: QueuedRequest, wait_s: float, now: float) -> bool:
    needed_s = _WAIT_ESTIMATE_FACTOR * wait_s + SERVICE_ESTIMATE_FACTOR * item.service_s
    return now + needed_s <= item.request.deadline
