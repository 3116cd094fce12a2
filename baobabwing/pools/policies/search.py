"""Search for the upstream with the earliest expected completion."""

from __future__ import annotations

from collections.abc import Callable

from baobabwing.pools.catalogue import PoolKind
from baobabwing.pools.headroom import (
    LONG_PREFILL_S,
    MAX_LOWER_TIER_PREFILL_S,
    lower_tier_prefill_fits,
)
from baobabwing.pools.permits import PlacementRequest
from baobabwing.pools.policies.registry import PlacementBlocker
from baobabwing.pools.prefix_digest import BLOCK_TOKENS
from baobabwing.pools.state import Choice
from baobabwing.pools.tracking import TrackedUpstream

__all__ = ["SERVICE_ESTIMATE_FACTOR", "Search"]

# Expected run times are multiplied by this where a request could be refused for
# its deadline: estimates err both ways, and a refusal is final.
SERVICE_ESTIMATE_FACTOR = 0.9
# Added to the expected completion for each request in flight on the upstream.
_CROWDING_PENALTY_S = 0.001
# An upstream without a request for this long goes before others that are hardly faster
# by what was learned: the share of its expected completion that is compared.
_UNUSED_S = 2.0
_UNUSED_SHARE = 0.7
# During a hold an upstream runs this part of its capacity.
_HELD_CAPACITY_DIVISOR = 4
_NO_CACHED_BLOCKS: dict[str, int] = {}


class Search:
    """The best upstream so far for one request, and why others do not qualify.

    :param leave_headroom: whether the request has to leave slots and prefill
        time to higher tiers.
    :param long_prefill_allowed: returns whether one more engine may start a
        long prefill of a lower tier; called at most once.
    :param held: whether the cell uses only a part of its capacity, see
        ``Cell.hold``.

    ``cached`` maps upstreams to the leading prompt blocks in their caches.
    """

    __slots__ = (
        "_best",
        "_best_long",
        "_best_s",
        "_best_uncached",
        "_blocker",
        "_held",
        "_leave_headroom",
        "_long_allowed",
        "_long_prefill_allowed",
        "_now",
        "_request",
        "_slack_s",
        "cached",
    )

    def __init__(
        self,
        *,
        request: PlacementRequest,
        now: float,
        leave_headroom: bool,
        long_prefill_allowed: Callable[[float], bool],
        held: bool,
    ) -> None:
        self._request = request
        self._now = now
        self._leave_headroom = leave_headroom
        self._long_prefill_allowed = long_prefill_allowed
        self._long_allowed: bool | None = None
        self._held = held
        self._slack_s = (request.deadline - now) / SERVICE_ESTIMATE_FACTOR
        self._blocker = PlacementBlocker.NO_FREE_SLOT
        self._best: TrackedUpstream | None = None
        self._best_s = float("inf")
        self._best_uncached = 0
        self._best_long = False
        self.cached = _NO_CACHED_BLOCKS

    def consider(self, upstream: TrackedUpstream) -> None:
        """Compare an upstream with the best one so far."""
        if self._held and not _has_free_slot_while_held(upstream):
            return
        if upstream.name in self._request.exclude:
            self._record_blocker(PlacementBlocker.UNUSABLE)
        elif upstream.kind is PoolKind.SERVICE:
            self._compare(upstream, upstream.speed.service_s, 0, False)
        else:
            self._consider_engine(upstream)

    def result(self) -> Choice | PlacementBlocker:
        """Return the best upstream, or why no upstream qualifies."""
        if self._best is None:
            return self._blocker
        return Choice(
            upstream=self._best,
            uncached_tokens=self._best_uncached,
            lower_tier_prefill=self._best_long,
        )

    def _consider_engine(self, upstream: TrackedUpstream) -> None:
        request = self._request
        speed = upstream.speed
        uncached_tokens = request.prompt_tokens
        if self.cached:
            uncached_tokens -= self.cached.get(upstream.name, 0) * BLOCK_TOKENS
            uncached_tokens = max(uncached_tokens, 0)
        prefill_s = uncached_tokens / speed.prefill_tokens_per_s
        is_long_prefill = self._leave_headroom and prefill_s > LONG_PREFILL_S
        if is_long_prefill and not self._long_prefill_fits(upstream, prefill_s):
            self._record_blocker(PlacementBlocker.BUSY)
            return
        completion_s = speed.overhead_s + prefill_s
        completion_s += request.output_tokens * speed.step_s(len(upstream.permits) + 1)
        if upstream.prefill_free_at > self._now:
            completion_s += upstream.prefill_free_at - self._now
        delay_s = (
            prefill_s * self._higher_tier_running(upstream) if is_long_prefill else 0.0
        )
        self._compare(upstream, completion_s, uncached_tokens, is_long_prefill, delay_s)

    def _higher_tier_running(self, upstream: TrackedUpstream) -> int:
        # An engine hardly decodes while it prefills: a chat of 30 tokens that
        # runs beside a long prompt of a lower tier stalls for the whole prefill.
        rank = self._request.tier_rank
        return sum(permit.tier_rank < rank for permit in upstream.permits.values())

    def _long_prefill_fits(self, upstream: TrackedUpstream, prefill_s: float) -> bool:
        if prefill_s > MAX_LOWER_TIER_PREFILL_S and not self._may_start_long_prefill():
            return False
        return lower_tier_prefill_fits(
            upstream.lower_tier_prefill_free_at - self._now, prefill_s
        )

    def _may_start_long_prefill(self) -> bool:
        if self._long_allowed is None:
            self._long_allowed = self._long_prefill_allowed(self._now)
        return self._long_allowed

    def _compare(
        self,
        upstream: TrackedUpstream,
        completion_s: float,
        uncached_tokens: int,
        is_long_prefill: bool,
        delay_s: float = 0.0,
    ) -> None:
        if completion_s > self._slack_s:
            # If the upstream is too slow even when idle, this request loses
            # nothing when another takes the slot. If it is only too busy, the
            # slot must not go to a lower tier: this request would be refused
            # for load while lower-tier work is admitted.
            idle_s = upstream.request_s(uncached_tokens, self._request.output_tokens, 1)
            too_slow_when_idle = idle_s > self._slack_s
            self._record_blocker(
                PlacementBlocker.UNUSABLE
                if too_slow_when_idle
                else PlacementBlocker.BUSY
            )
            return
        if self._is_unused(upstream):
            completion_s *= _UNUSED_SHARE
        completion_s += _CROWDING_PENALTY_S * len(upstream.permits) + delay_s
        if completion_s < self._best_s:
            self._best = upstream
            self._best_s = completion_s
            self._best_uncached = uncached_tokens
            self._best_long = is_long_prefill

    def _is_unused(self, upstream: TrackedUpstream) -> bool:
        """Whether an upstream has had no request for a while.

        What was learned of its speed may be out of date, and only requests renew it.
        """
        unused_s = self._now - upstream.last_event_at
        return not upstream.permits and unused_s >= _UNUSED_S

    def _record_blocker(self, blocker: PlacementBlocker) -> None:
        # A busy upstream will be usable soon, so BUSY outweighs UNUSABLE: lower
        # tiers have to wait.
        if self._blocker is not PlacementBlocker.BUSY:
            self._blocker = blocker


def _has_free_slot_while_held(upstream: TrackedUpstream) -> bool:
    limit = max(upstream.capacity // _HELD_CAPACITY_DIVISOR, 1)
    return len(upstream.permits) < limit
