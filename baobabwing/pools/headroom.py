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
    "MAX_LOWER_TIER_PREFILL_S",
    "TierActivity",
    "max_long_prefill_engines",
    "lower_tier_prefill_fits",
    "reserved_slots",
]

TIER_ACTIVITY_WINDOW_S = 60.0
LONG_PREFILL_S = 0.05
MAX_LOWER_TIER_PREFILL_S = 0.25
_MIN_CAPACITY_TO_RESERVE = 4
_RESERVED_SLOTS_DIVISOR = 8
_CLEAR_ENGINES_DIVISOR = 4


class TierActivity:
    """Remembers which tiers ask, and bounds the lower ones."""

    def __init__(self) -> None:
        self._last_request_at: dict[int, float] = {}
        self._top_rank: int | None = None
        self._top_until = 0.0

    def record_request(self, rank: int, now: float) -> None:
        """Note an ask of a tier."""
        self._last_request_at[rank] = now
        if self._top_rank is None or rank <= self._top_rank:
            self._top_rank = rank
            self._top_until = now + TIER_ACTIVITY_WINDOW_S

    def higher_tier_active(self, rank: int, now: float) -> bool:
        """Return whether a tier above ``rank`` asked lately."""
        if now >= self._top_until:
            self._update_top_rank(now)
        return self._top_rank is not None and rank > self._top_rank

    def lower_tier_active(self, rank: int, now: float) -> bool:
        """Return whether a tier below ``rank`` asked lately."""
        since = now - TIER_ACTIVITY_WINDOW_S
        return any(
            r > rank and requested_at > since
            for r, requested_at in self._last_request_at.items()
        )

    def _update_top_rank(self, now: float) -> None:
        since = now - TIER_ACTIVITY_WINDOW_S
        recent = [
            rank
            for rank, requested_at in self._last_request_at.items()
            if requested_at > since
        ]
        self._top_rank = min(recent, default=None)
        if self._top_rank is not None:
            self._top_until = (
                self._last_request_at[self._top_rank] + TIER_ACTIVITY_WINDOW_S
            )


def reserved_slots(capacity: int) -> int:
    """Return the slots of an upstream that lower tiers leave free."""
    if capacity < _MIN_CAPACITY_TO_RESERVE:
        return 0
    return -(-capacity // _RESERVED_SLOTS_DIVISOR)


def max_long_prefill_engines(engines: int) -> int:
    """Return on how many engines lower tiers may run long prefills at once."""
    if engines < 2:
        return engines
    return engines - max(engines // _CLEAR_ENGINES_DIVISOR, 1)


def lower_tier_prefill_fits(running_s: float, prefill_s: float) -> bool:
    """Return whether a low-tier prefill keeps within an engine's bound.

    :param running_s: low-tier prefill that the engine has still to do.
    """
    return running_s <= 0.0 or running_s + prefill_s <= MAX_LOWER_TIER_PREFILL_S
