"""baobabwing's own policy: strict tiers, deadlines, fairness and headroom."""

from __future__ import annotations

from random import Random

from baobabwing.pools.catalogue import PoolKind
from baobabwing.pools.fairness import Queued
from baobabwing.pools.headroom import (
    LONG_PREFILL_S,
    MOST_LOW_PREFILL_S,
    Headroom,
    most_engines_with_long_prefill,
    prefill_fits,
    reserved_slots,
)
from baobabwing.pools.permits import Ask, RefusalCode
from baobabwing.pools.policies.registry import Hindrance, policy
from baobabwing.pools.prefix_digest import BLOCK_TOKENS
from baobabwing.pools.queues import TierQueue, WaitingQueue
from baobabwing.pools.shedding import SHED_MEMORY_S, ShedMark
from baobabwing.pools.state import CellState, Choice
from baobabwing.pools.tracking import TrackedUpstream

__all__ = ["TieredPolicy"]

# Estimates err both ways. A refusal is final, so it needs more certainty than
# a choice: waits count for 0.7 and runs for 0.9 of what is expected.
_SURE_OF_WAIT = 0.7
_SURE_OF_RUN = 0.9
_CROWDING_S = 0.001
_PROBE_SLACK = 2.0
_HELD_PART = 4
_NOTHING_CACHED: dict[str, int] = {}


@policy("baobabwing")
class TieredPolicy:
    """Order by tier, deadline and fair share; choose by expected completion.

    The expected completion of a request on an upstream is the prefill waiting
    there, its own uncached prompt at the learned rate, and its output at the
    learned step time under the batch it would join. A cached prefix is thus
    followed exactly as long as the prefill it saves is more than the wait and
    the slower steps it costs.
    """

    relieves = True

    def __init__(self, *, state: CellState, rng: Random) -> None:
        self._state = state
        self._rng = rng
        self._headroom = Headroom()
        self._shed: ShedMark | None = None

    def order(self) -> WaitingQueue:
        """Return a queue of strict tiers."""
        return TierQueue()

    def admit(self, item: Queued, now: float) -> RefusalCode | None:
        """Refuse what cannot be in time, and what is below a tier refused."""
        ask = item.ask
        self._headroom.saw(ask.tier_rank, now)
        if now > item.latest_start:
            return RefusalCode.DEADLINE
        if self._is_closed(ask.tier_rank, now):
            return RefusalCode.OVERLOADED
        latest = ask.deadline - _SURE_OF_RUN * item.service_s
        if now + _SURE_OF_WAIT * self.wait_s(item, now) > max(latest, now):
            return RefusalCode.QUEUE_TOO_LONG
        return None

    def choose(self, ask: Ask, now: float) -> Choice | Hindrance:
        """Return the upstream that probably completes the ask first.

        Notes: linear in the cell's upstreams and the prompt's blocks.
        """
        state = self._state
        if state.probes:
            probe = self._probe_for(ask, now)
            if probe is not None:
                return probe
        cached = (
            state.prefixes.cached_blocks(ask.prefix) if ask.prefix else _NOTHING_CACHED
        )
        bounded = self._headroom.upper_present(ask.tier_rank, now)
        long_allowed = not bounded or self._another_long_prefill(now)
        held = now < state.held_until
        slack = ask.deadline - now
        hindrance = Hindrance.LOAD
        best: TrackedUpstream | None = None
        best_s = float("inf")
        best_uncached = 0
        best_long = False
        for upstream in state.active:
            running = len(upstream.permits)
            room = upstream.limit - running - upstream.foreign
            if bounded:
                room -= reserved_slots(upstream.capacity)
            if held:
                room = min(room, _held_limit(upstream) - running)
            if room <= 0:
                continue
            if ask.exclude and upstream.name in ask.exclude:
                if hindrance is Hindrance.LOAD:
                    hindrance = Hindrance.UNUSABLE
                continue
            if upstream.kind is PoolKind.SERVICE:
                total = upstream.speed.service_s
                uncached = 0
                is_long = False
            else:
                depth = cached.get(upstream.name, 0)
                uncached = max(ask.prompt_tokens - depth * BLOCK_TOKENS, 0)
                speed = upstream.speed
                prefill_s = uncached / speed.prefill_tokens_per_s
                is_long = bounded and prefill_s > LONG_PREFILL_S
                if is_long and not (
                    (long_allowed or prefill_s <= MOST_LOW_PREFILL_S)
                    and prefill_fits(upstream, prefill_s, now)
                ):
                    hindrance = Hindrance.PREFILL
                    continue
                total = (
                    max(upstream.prefill_free_at - now, 0.0)
                    + speed.head_s
                    + prefill_s
                    + ask.output_tokens * speed.step_s(running + 1)
                )
            if _SURE_OF_RUN * total > slack:
                if hindrance is Hindrance.LOAD:
                    hindrance = Hindrance.UNUSABLE
                continue
            total += _CROWDING_S * running
            if total < best_s:
                best = upstream
                best_s = total
                best_uncached = uncached
                best_long = is_long
        if best is None:
            return hindrance
        return Choice(upstream=best, uncached=best_uncached, low_prefill=best_long)

    def refused(self, item: Queued, code: RefusalCode, now: float) -> None:
        """Close the lower tiers after a refusal for too long a queue."""
        if code is not RefusalCode.QUEUE_TOO_LONG:
            return
        rank = item.ask.tier_rank
        shed = self._shed
        if shed is not None and shed.rank < rank and now < shed.until:
            return
        self._shed = ShedMark(
            rank=rank,
            budget_s=item.ask.deadline - item.queued_at,
            service_s=item.service_s,
            until=now + SHED_MEMORY_S,
        )

    def wait_s(self, item: Queued, now: float) -> float:
        """Return how long an ask would wait: none while its tier has room.

        Otherwise the slots come free at the rate at which permits in use end,
        and serve first what is queued before the ask.
        """
        ask = item.ask
        ahead = self._state.queue.work_ahead_s(ask, item.service_s)
        if not ahead and self._has_room(ask.tier_rank, now):
            return 0.0
        return self._wait_after_s(ahead, ask.tier_rank, now)

    def lowest_admitted(self, now: float) -> int | None:
        """Return the tier that was refused last, while it still would be."""
        shed = self._shed
        if shed is not None and self._is_closed(shed.rank + 1, now):
            return shed.rank
        return None

    def _is_closed(self, rank: int, now: float) -> bool:
        shed = self._shed
        if shed is None or rank <= shed.rank:
            return False
        if now >= shed.until or self._would_be_in_time(shed, now):
            self._shed = None
            return False
        return True

    def _would_be_in_time(self, shed: ShedMark, now: float) -> bool:
        queue = self._state.queue
        served_before = any(rank <= shed.rank for rank in queue.ranks())
        if not served_before and self._has_room(shed.rank, now):
            return True
        ahead = queue.work_through_s(shed.rank)
        wait_s = self._wait_after_s(ahead, shed.rank, now)
        needed = _SURE_OF_WAIT * wait_s + _SURE_OF_RUN * shed.service_s
        return needed <= shed.budget_s

    def _wait_after_s(self, ahead_s: float, rank: int, now: float) -> float:
        state = self._state
        slots = state.slots
        if self._headroom.upper_present(rank, now):
            slots -= sum(reserved_slots(u.capacity) for u in state.active)
        slots = max(slots, 1)
        running = len(state.permits)
        next_free_s = state.expected_s / running / slots if running else 0.0
        return next_free_s + ahead_s / slots

    def _has_room(self, rank: int, now: float) -> bool:
        bounded = self._headroom.upper_present(rank, now)
        for upstream in self._state.active:
            kept = reserved_slots(upstream.capacity) if bounded else 0
            if upstream.free() > kept:
                return True
        return False

    def _another_long_prefill(self, now: float) -> bool:
        active = self._state.active
        latest = now + MOST_LOW_PREFILL_S
        busy = sum(u.low_prefill_free_at > latest for u in active)
        return busy < most_engines_with_long_prefill(len(active))

    def _probe_for(self, ask: Ask, now: float) -> Choice | None:
        # A probe may well be late again. It is made with the lowest tier that
        # asks, and only if twice its expected time still fits.
        if self._headroom.lower_present(ask.tier_rank, now):
            return None
        slack = ask.deadline - now
        for upstream in self._state.probes:
            if upstream.name in ask.exclude:
                continue
            running = len(upstream.permits) + 1
            if running > upstream.capacity:
                continue
            total = upstream.request_s(ask.prompt_tokens, ask.output_tokens, running)
            if _PROBE_SLACK * total <= slack:
                return Choice(upstream=upstream, uncached=ask.prompt_tokens)
        return None


def _held_limit(upstream: TrackedUpstream) -> int:
    return max(upstream.capacity // _HELD_PART, 1)
