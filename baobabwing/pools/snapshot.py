"""What a cell tells of itself for status and metrics."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.pools.tracking import TrackedUpstream

__all__ = [
    "CellSnapshot",
    "RefusalCount",
    "TierCount",
    "UpstreamSnapshot",
    "upstream_snapshot",
]


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


def upstream_snapshot(upstream: TrackedUpstream) -> UpstreamSnapshot:
    """Return an upstream's account at this moment."""
    batch = max(len(upstream.permits), 1)
    return UpstreamSnapshot(
        name=upstream.name,
        standing=upstream.standing.value,
        open_to_work=upstream.open_to_work,
        in_flight=len(upstream.permits),
        limit=upstream.limit,
        capacity=upstream.capacity,
        prefill_tokens_per_s=upstream.speed.prefill_tokens_per_s,
        step_ms=upstream.speed.step_s(batch) * 1000.0,
        service_ms=upstream.speed.service_s * 1000.0,
    )
