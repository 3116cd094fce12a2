"""Snapshots of a cell's state for status reports and metrics."""

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
    """State of one upstream at its home.

    :param standing: a value of ``tracking.Standing``.
    :param open_to_work: whether it may be given new requests.
    :param limit: number of requests that it may run now.
    :param step_ms: expected decoding step with the requests in flight.
    """

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
    """Number of refusals of one tier with one code since the cell was created."""

    tier_rank: int
    code: str
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CellSnapshot:
    """State of a cell.

    :param held: whether admission is limited, see ``Cell.hold``.
    :param floor: rank of the lowest tier that would be admitted, see
        ``Cell.floor``.
    :param queued: current number of queued requests by tier.
    :param granted: permits granted since the cell was created, by tier.
    :param refused: refusals since the cell was created, by tier and code.
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
    """Return the current state of an upstream."""
    batch = max(len(upstream.permits), 1)
    return UpstreamSnapshot(
        name=upstream.name,
        standing=upstream.standing.value,
        open_to_work=upstream.is_active,
        in_flight=len(upstream.permits),
        limit=upstream.limit,
        capacity=upstream.capacity,
        prefill_tokens_per_s=upstream.speed.prefill_tokens_per_s,
        step_ms=upstream.speed.step_s(batch) * 1000.0,
        service_ms=upstream.speed.service_s * 1000.0,
    )
