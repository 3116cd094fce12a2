"""The search for the upstream that completes an ask first."""

from __future__ import annotations

from collections.abc import Callable

from baobabwing.pools.catalogue import PoolKind
from baobabwing.pools.headroom import (
    LONG_PREFILL_S,
    MOST_LOW_PREFILL_S,
    prefill_fits,
)
from baobabwing.pools.permits import Ask
from baobabwing.pools.policies.registry import Hindrance
from baobabwing.pools.prefix_digest import BLOCK_TOKENS
from baobabwing.pools.state import Choice
from baobabwing.pools.tracking import TrackedUpstream

__all__ = ["SURE_OF_RUN", "Search"]

# A run counts for less than is expected where a request would be given up.
SURE_OF_RUN = 0.9
_CROWDING_S = 0.001
_HELD_PART = 4
_NOTHING_CACHED: dict[str, int] = {}


class Search:
    """The best upstream so far for one ask, and what hinders the others.

    :param bounded: whether the ask leaves room for higher tiers.
    :param long_prefill_allowed: tells whether one more engine may start a long
        prefill; asked once at most.
    :param held: whether the cell admits cautiously.
    """

    __slots__ = (
        "_ask",
        "_best",
        "_best_long",
        "_best_s",
        "_best_uncached",
        "_bounded",
        "_held",
        "_hindrance",
        "_long_allowed",
        "_long_prefill_allowed",
        "_now",
        "_slack_s",
        "cached",
    )

    def __init__(
        self,
        *,
        ask: Ask,
        now: float,
        bounded: bool,
        long_prefill_allowed: Callable[[float], bool],
        held: bool,
    ) -> None:
        self._ask = ask
        self._now = now
        self._bounded = bounded
        self._long_prefill_allowed = long_prefill_allowed
        self._long_allowed: bool | None = None
        self._held = held
        self._slack_s = (ask.deadline - now) / SURE_OF_RUN
        self._hindrance = Hindrance.LOAD
        self._best: TrackedUpstream | None = None
        self._best_s = float("inf")
        self._best_uncached = 0
        self._best_long = False
        self.cached = _NOTHING_CACHED

    def consider(self, upstream: TrackedUpstream) -> None:
        """Compare one upstream with the best so far."""
        if self._held and not _has_room_while_held(upstream):
            return
        if upstream.name in self._ask.exclude:
            self._hinder(Hindrance.UNUSABLE)
        elif upstream.kind is PoolKind.SERVICE:
            self._compare(upstream, upstream.speed.service_s, 0, False)
        else:
            self._consider_engine(upstream)

    def result(self) -> Choice | Hindrance:
        """Return the best upstream, or why there is none."""
        if self._best is None:
            return self._hindrance
        return Choice(
            upstream=self._best,
            uncached=self._best_uncached,
            low_prefill=self._best_long,
        )

    def _consider_engine(self, upstream: TrackedUpstream) -> None:
        ask = self._ask
        speed = upstream.speed
        uncached = ask.prompt_tokens
        if self.cached:
            uncached -= self.cached.get(upstream.name, 0) * BLOCK_TOKENS
            uncached = max(uncached, 0)
        prefill_s = uncached / speed.prefill_tokens_per_s
        is_long = self._bounded and prefill_s > LONG_PREFILL_S
        if is_long and not self._long_fits(upstream, prefill_s):
            self._hinder(Hindrance.BUSY)
            return
        total_s = speed.head_s + prefill_s
        total_s += ask.output_tokens * speed.step_s(len(upstream.permits) + 1)
        if upstream.prefill_free_at > self._now:
            total_s += upstream.prefill_free_at - self._now
        delay_s = prefill_s * self._upper_running(upstream) if is_long else 0.0
        self._compare(upstream, total_s, uncached, is_long, delay_s)

    def _upper_running(self, upstream: TrackedUpstream) -> int:
        # An engine decodes slowly while it prefills: a chat of 30 tokens that
        # runs beside a long prompt of a lower tier stands still for all of it.
        rank = self._ask.tier_rank
        return sum(permit.tier_rank < rank for permit in upstream.permits.values())

    def _long_fits(self, upstream: TrackedUpstream, prefill_s: float) -> bool:
        if prefill_s > MOST_LOW_PREFILL_S and not self._another_long_prefill():
            return False
        return prefill_fits(upstream.low_prefill_free_at - self._now, prefill_s)

    def _another_long_prefill(self) -> bool:
        if self._long_allowed is None:
            self._long_allowed = self._long_prefill_allowed(self._now)
        return self._long_allowed

    def _compare(
        self,
        upstream: TrackedUpstream,
        total_s: float,
        uncached: int,
        is_long: bool,
        delay_s: float = 0.0,
    ) -> None:
        if total_s > self._slack_s:
            # Too slow even when idle, it is no loss to this ask if another
            # gets it. Too busy only, it must not go to a lower tier: the ask
            # would be refused for load with lower-tier work admitted.
            idle_s = upstream.request_s(uncached, self._ask.output_tokens, 1)
            too_slow = idle_s > self._slack_s
            self._hinder(Hindrance.UNUSABLE if too_slow else Hindrance.BUSY)
            return
        total_s += _CROWDING_S * len(upstream.permits) + delay_s
        if total_s < self._best_s:
            self._best = upstream
            self._best_s = total_s
            self._best_uncached = uncached
            self._best_long = is_long

    def _hinder(self, hindrance: Hindrance) -> None:
        # What is busy now will be its own soon; that outweighs what is not.
        if self._hindrance is not Hindrance.BUSY:
            self._hindrance = hindrance


def _has_room_while_held(upstream: TrackedUpstream) -> bool:
    most = max(upstream.capacity // _HELD_PART, 1)
    return len(upstream.permits) < most
