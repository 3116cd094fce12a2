"""Room that lower tiers leave for higher ones in engines without priorities.

Engines run first come, first served. A short chat that arrives behind a long
prefill of a lower tier waits for all of it, whatever our queue does. So lower
tiers leave some slots of each upstream free, run one long prefill at a time on
an engine, and never on all engines of a cell at once. All of this holds only
while a higher tier was seen lately, so that a night of batch work gets all.
"""

from __future__ import annotations

__all__ = [
    "LONG_PREFILL_S",
    "MOST_LOW_PREFILL_S",
    "Headroom",
    "most_engines_with_long_prefill",
    "prefill_fits",
    "reserved_slots",
]

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
        self._top_rank: int | None = None
        self._top_until = 0.0

    def saw(self, rank: int, now: float) -> None:
        """Note an ask of a tier."""
        self._seen[rank] = now
        if self._top_rank is None or rank <= self._top_rank:
            self._top_rank = rank
            self._top_until = now + UPPER_TIER_MEMORY_S

    def upper_present(self, rank: int, now: float) -> bool:
        """Return whether a tier above ``rank`` asked lately."""
        if now >= self._top_until:
            self._find_top(now)
        return self._top_rank is not None and rank > self._top_rank

    def lower_present(self, rank: int, now: float) -> bool:
        """Return whether a tier below ``rank`` asked lately."""
        since = now - UPPER_TIER_MEMORY_S
        return any(r > rank and at > since for r, at in self._seen.items())

    def _find_top(self, now: float) -> None:
        since = now - UPPER_TIER_MEMORY_S
        recent = [rank for rank, at in self._seen.items() if at > since]
        self._top_rank = min(recent, default=None)
        if self._top_rank is not None:
            self._top_until = self._seen[self._top_rank] + UPPER_TIER_MEMORY_S


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


def prefill_fits(running_s: float, prefill_s: float) -> bool:
    """Return whether a low-tier prefill keeps within an engine's bound.

    :param running_s: low-tier prefill that the engine has still to do.
    """
    return running_s <= 0.0 or running_s + prefill_s <= MOST_LOW_PREFILL_S
