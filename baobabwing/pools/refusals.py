"""Refusals with advice when to retry."""

from __future__ import annotations

from random import Random

from baobabwing.pools.permits import PlacementRequest, Refusal, RefusalCode
from baobabwing.pools.snapshot import RefusalCount

__all__ = ["RefusalFactory"]

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
RETRY_JITTER = 1.0


class RefusalFactory:
    """Creates refusals and counts them by tier and code.

    :param rng: source of the jitter of ``retry_after_s``, so that callers that
        are refused at the same time do not retry at the same time.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._counts: dict[tuple[int, str], int] = {}

    def create(
        self, request: PlacementRequest, code: RefusalCode, wait_s: float = 0.0
    ) -> Refusal:
        """Create and count a refusal.

        :param wait_s: expected wait of the request. The caller is advised to
            retry after one to two times this long, clamped to bounds first.
        """
        key = (request.tier_rank, code.value)
        self._counts[key] = self._counts.get(key, 0) + 1
        wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return Refusal(
            request_id=request.request_id,
            entry=request.entry,
            code=code.value,
            retry_after_s=wait_s * (1.0 + RETRY_JITTER * self._rng.random()),
        )

    def counts(self) -> tuple[RefusalCount, ...]:
        """Return the number of refusals so far, by tier and code."""
        return tuple(
            RefusalCount(tier_rank=rank, code=code, count=count)
            for (rank, code), count in sorted(self._counts.items())
        )
