"""Room that lower tiers leave for higher ones in engines without priorities.

Engines run first come, first served. A short chat that arrives behind a long
prefill of a lower tier waits for all of it, whatever our queue does. So lower
tiers leave some slots of each upstream free, run one long prefill at a time on
an engine, and never on all engines of a cell at once. All of this holds only
while a higher tier was seen lately, so that a night of batch work gets all.
"""

from __future__ import annotations

from baobabwing.pools.tracking import TrackedUpstream

__all__ = ["Headroom", "reserved_slots"]

UPPER_TIER_MEMORY_S = 60.0
LONG_PREFILL_S = 0.05
MOST_LOW_PREFILL_S = 0.25
_LEAST_CAPACITY_TO_RESERVE = 4
_RESERVED_PART = 8
_CLEAR_ENGINES_PART = 4


class Headroom:
    """Remembers which tiers ask, and bounds the lower ones."""

    def __init__(self) -> None:
        self._seen: dict[int, float] = {}

    def saw(self, rank: int, now: float) -> None:
        """Note an ask of a tier."""
        self._seen[rank] = now

    def upper_present(self, rank: int, now: float) -> bool:
        """Return whether a tier above ``rank`` asked lately."""
        since = now - UPPER_TIER_MEMORY_S
        return any(r < rank and at > since for r, at in self._seen.items())

    def lower_present(self, rank: int, now: float) -> bool:
        """Return whether a tier below ``rank`` asked lately."""
        since = now - UPPER_TIER_MEMORY_S
        return any(r > rank and at > since for r, at in self._seen.items())


def reserved_slots(capacity: int) -> int:
    """Return the slots of an upstream that lower tiers leave free."""
    if capacity < _LEAST_CAPACITY_TO_RESERVE:
        return 0
    return -(-capacity // _RESERVED_PART)


def most_engines_with_long_prefill(engines: int) -> int:
    """Return on how many engines lower tiers may run long prefills at once."""
    if engines < 2:
        return engines
    return engines - max(engines // _CLEAR_ENGINES_PART, 1)


def prefill_fits(upstream: TrackedUpstream, prefill_s: float, now: float) -> bool:
    """Return whether a low-tier prefill keeps within the engine's bound."""
    running_s = upstream.low_prefill_free_at - now
    return running_s <= 0.0 or running_s + prefill_s <= MOST_LOW_PREFILL_S
