"""Capacity that lower tiers leave to higher ones, as engines have no priorities.

Engines run requests first come, first served. A short chat that arrives behind
a long prefill of a lower tier waits for the whole prefill, whatever the cell's
queue does. So lower tiers leave some slots of each upstream free, run one long
prefill at a time on an engine, and never on all engines of a cell at once.
This applies only while a higher tier has had requests recently; batch work that
runs alone gets all slots.
"""

from __future__ import annotations

__all__ = [
    "LONG_PREFILL_S",
    "MAX_LOWER_TIER_PREFILL_S",
    "TierActivity",
    "lower_tier_prefill_fits",
    "max_long_prefill_engines",
    "reserved_slots",
]

TIER_ACTIVITY_WINDOW_S = 60.0
LONG_PREFILL_S = 0.05
MAX_LOWER_TIER_PREFILL_S = 0.25
_MIN_CAPACITY_TO_RESERVE = 4
_RESERVED_SLOTS_DIVISOR = 8
_CLEAR_ENGINES_DIVISOR = 4


class TierActivity:
    """Tracks which tiers had requests within the last minute."""

    def __init__(self) -> None:
        self._last_request_at: dict[int, float] = {}
        self._top_rank: int | None = None
        self._top_until = 0.0

    def record_request(self, rank: int, now: float) -> None:
        """Record a request of a tier."""
        self._last_request_at[rank] = now
        if self._top_rank is None or rank <= self._top_rank:
            self._top_rank = rank
            self._top_until = now + TIER_ACTIVITY_WINDOW_S

    def higher_tier_active(self, rank: int, now: float) -> bool:
        """Whether a tier above ``rank`` had a request within the window."""
        if now >= self._top_until:
            self._update_top_rank(now)
        return self._top_rank is not None and rank > self._top_rank

    def lower_tier_active(self, rank: int, now: float) -> bool:
        """Whether a tier below ``rank`` had a request within the window."""
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
    """Return how many slots of an upstream lower tiers leave free."""
    if capacity < _MIN_CAPACITY_TO_RESERVE:
        return 0
    return -(-capacity // _RESERVED_SLOTS_DIVISOR)


def max_long_prefill_engines(engines: int) -> int:
    """Return how many engines may run long lower-tier prefills at once."""
    if engines < 2:
        return engines
    return engines - max(engines // _CLEAR_ENGINES_DIVISOR, 1)


def lower_tier_prefill_fits(running_s: float, prefill_s: float) -> bool:
    """Whether a lower-tier prefill fits into the bound of an engine.

    :param running_s: remaining time of the engine's lower-tier prefills.
    :param prefill_s: expected time of the new prefill. It always fits if no
        other one is left.
    """
    return running_s <= 0.0 or running_s + prefill_s <= MAX_LOWER_TIER_PREFILL_S
