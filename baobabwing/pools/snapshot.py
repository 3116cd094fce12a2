"""What a cell tells of itself for status and metrics."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CellSnapshot", "RefusalCount", "TierCount", "UpstreamSnapshot"]


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamSnapshot:
    """One upstream as its home sees it."""

    name: str
    standing: str
    open_to_work: bool
    in_flight: int
    limit: int
    capacity: int
    prefill_tokens_per_s: float
    step_ms: float
    service_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TierCount:
    """A count for one tier."""

    tier_rank: int
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalCount:
    """Refusals of one tier for one reason since the cell was made."""

    tier_rank: int
    code: str
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CellSnapshot:
    """A cell at one moment; counts are since the cell was made.

    :param floor: lowest tier rank that would be admitted, see ``Cell.floor``.
    """

    name: str
    pool: str
    policy: str
    held: bool
    floor: int
    in_flight: int
    queued: tuple[TierCount, ...]
    granted: tuple[TierCount, ...]
    refused: tuple[RefusalCount, ...]
    upstreams: tuple[UpstreamSnapshot, ...]
