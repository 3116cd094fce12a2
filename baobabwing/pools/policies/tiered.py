"""baobabwing's own policy: strict tiers, deadlines, fairness and headroom."""

from __future__ import annotations

from random import Random

from baobabwing.pools.fairness import Queued
from baobabwing.pools.headroom import (
    MOST_LOW_PREFILL_S,
    Headroom,
    most_engines_with_long_prefill,
)
from baobabwing.pools.permits import Ask, RefusalCode
from baobabwing.pools.policies.registry import Hindrance, policy
from baobabwing.pools.policies.search import SURE_OF_RUN, Search
from baobabwing.pools.queues import TierQueue, WaitingQueue
from baobabwing.pools.shedding import SHED_MEMORY_S, ShedMark
from baobabwing.pools.state import CellState, Choice

__all__ = ["TieredPolicy"]

# Estimates err both ways. A refusal is final, so it needs more certainty than
# a choice: waits count for 0.7 of what is expected, as runs do for 0.9.
_SURE_OF_WAIT = 0.7
_PROBE_SLACK = 2.0


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
        self._shed: dict[int, ShedMark] = {}

    def order(self) -> WaitingQueue:
        """Return a queue of strict tiers."""
        return TierQueue()

    def admit(self, item: Queued, now: float) -> RefusalCode | None:
        """Refuse what cannot be in time, and what is below a tier refused."""
        ask = item.ask
        self._headroom.saw(ask.tier_rank, now)
        if now > item.latest_start:
            least_s = self._state.least_s(ask, use_cache=True)
            if now + SURE_OF_RUN * least_s > ask.deadline:
                return RefusalCode.DEADLINE
        if self._is_closed(ask.tier_rank, now):
            return RefusalCode.OVERLOADED
        wait_s = self.wait_s(item, now)
        if wait_s and not _in_time(item, wait_s, now):
            return RefusalCode.QUEUE_TOO_LONG
        return None

    def choose(self, ask: Ask, now: float) -> Choice | Hindrance:
        """Return the upstream that probably completes the ask first.

        Notes: linear in the upstreams with room and the prompt's blocks.
        """
        state = self._state
        bounded = self._headroom.upper_present(ask.tier_rank, now)
        candidates = state.open_to_lower if bounded else state.open
        if state.probes:
            probe = self._probe_for(ask, now, must=not candidates)
            if probe is not None:
                return probe
        if not candidates:
            return Hindrance.LOAD
        search = Search(
            ask=ask,
            now=now,
            bounded=bounded,
            long_prefill_allowed=self._another_long_prefill,
            held=now < state.held_until,
        )
        if ask.prefix:
            search.cached = state.prefixes.cached_blocks(ask.prefix, candidates)
        for upstream in candidates.values():
            search.consider(upstream)
        return search.result()

    def refused(self, item: Queued, code: RefusalCode, now: float) -> None:
        """Close the lower tiers after a refusal for too long a queue."""
        if code is not RefusalCode.QUEUE_TOO_LONG:
            return
        rank = item.ask.tier_rank
        self._shed[rank] = ShedMark(
            rank=rank,
            budget_s=item.ask.deadline - item.queued_at,
            service_s=item.service_s,
            until=now + SHED_MEMORY_S,
        )

    def out_of_reach(self, now: float) -> list[Queued]:
        """Return the queued asks that can no longer be in time.

        Work that came later in a higher tier, or an upstream lost, may have
        put them out of reach since they were admitted.
        """

        def reaches(item: Queued, ahead_s: float) -> bool:
            if not ahead_s:
                return True
            wait_s = self._wait_after_s(ahead_s, item.ask.tier_rank, now)
            return _in_time(item, wait_s, now)

        return self._state.queue.out_of_reach(reaches)

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
        """Return the tier above the highest one that is refused for load now."""
        refused = [m.rank for m in list(self._shed.values()) if self._holds(m, now)]
        return min(refused) - 1 if refused else None

    def _is_closed(self, rank: int, now: float) -> bool:
        marks = list(self._shed.values())
        return any(mark.rank < rank and self._holds(mark, now) for mark in marks)

    def _holds(self, shed: ShedMark, now: float) -> bool:
        if now < shed.until and not self._would_be_in_time(shed, now):
            return True
        del self._shed[shed.rank]
        return False

    def _would_be_in_time(self, shed: ShedMark, now: float) -> bool:
        queue = self._state.queue
        served_before = any(rank <= shed.rank for rank in queue.ranks())
        if not served_before and self._has_room(shed.rank, now):
            return True
        ahead = queue.work_through_s(shed.rank)
        wait_s = self._wait_after_s(ahead, shed.rank, now)
        needed = _SURE_OF_WAIT * wait_s + SURE_OF_RUN * shed.service_s
        return needed <= shed.budget_s

    def _wait_after_s(self, ahead_s: float, rank: int, now: float) -> float:
        state = self._state
        slots = state.slots
        if self._headroom.upper_present(rank, now):
            slots -= state.reserved
        slots = max(slots, 1)
        running = len(state.permits)
        next_free_s = state.expected_s / running / slots if running else 0.0
        return next_free_s + ahead_s / slots

    def _has_room(self, rank: int, now: float) -> bool:
        bounded = self._headroom.upper_present(rank, now)
        return bool(self._state.open_to_lower if bounded else self._state.open)

    def _another_long_prefill(self, now: float) -> bool:
        active = self._state.active
        latest = now + MOST_LOW_PREFILL_S
        busy = sum(u.low_prefill_free_at > latest for u in active)
        return busy < most_engines_with_long_prefill(len(active))

    def _probe_for(self, ask: Ask, now: float, *, must: bool) -> Choice | None:
        # A probe may well be late again. It is made with the lowest tier that
        # asks, and only if twice its expected time still fits. With nothing
        # else free any tier makes it: lower ones get no turn then, and a
        # recovered upstream would stay out for as long as the overload lasts.
        if not must and self._headroom.lower_present(ask.tier_rank, now):
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


def _in_time(item: Queued, wait_s: float, now: float) -> bool:
    needed_s = _SURE_OF_WAIT * wait_s + SURE_OF_RUN * item.service_s
    return now + needed_s <= item.ask.deadline
