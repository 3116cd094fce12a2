"""Refusals with advice when to come back."""

from __future__ import annotations

from random import Random

from baobabwing.pools.permits import Ask, Refusal, RefusalCode
from baobabwing.pools.snapshot import RefusalCount

__all__ = ["RefusalWriter"]

LEAST_RETRY_AFTER_S = 0.5
MOST_RETRY_AFTER_S = 30.0
RETRY_SPREAD = 1.0


class RefusalWriter:
    """Writes refusals, and counts them by tier and code.

    :param rng: spreads the advice, so that callers who are refused together
        do not come back together.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._counts: dict[tuple[int, str], int] = {}

    def write(self, ask: Ask, code: RefusalCode, wait_s: float = 0.0) -> Refusal:
        """Return a refusal.

        :param wait_s: how long the ask would have waited; the caller is told
            to come back after one to two times as long, within bounds.
        """
        counted = (ask.tier_rank, code.value)
        self._counts[counted] = self._counts.get(counted, 0) + 1
        wait_s = min(max(wait_s, LEAST_RETRY_AFTER_S), MOST_RETRY_AFTER_S)
        return Refusal(
            request_id=ask.request_id,
            entry=ask.entry,
            code=code.value,
            retry_after_s=wait_s * (1.0 + RETRY_SPREAD * self._rng.random()),
        )

    def counts(self) -> tuple[RefusalCount, ...]:
        """Return the refusals so far, by tier and code."""
        return tuple(
            RefusalCount(tier_rank=rank, code=code, count=count)
            for (rank, code), count in sorted(self._counts.items())
        )
