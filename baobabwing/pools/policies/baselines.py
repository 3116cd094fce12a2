"""Policies of common load balancers, as baselines for benchmarks.

They dispatch each request at once, first come, first served, and let all
requests wait in the upstreams: no tiers, no deadlines, and no limit on the
requests in flight.
"""

from __future__ import annotations

from random import Random

from baobabwing.pools.fairness import QueuedRequest
from baobabwing.pools.permits import PlacementRequest, RefusalCode
from baobabwing.pools.policies.registry import PlacementBlocker, policy
from baobabwing.pools.queues import FifoQueue, WaitingQueue
from baobabwing.pools.state import CellState, Choice
from baobabwing.pools.tracking import TrackedUpstream

__all__ = ["LeastReportedLoad", "RandomChoice", "RoundRobin", "TwoChoices"]


class _ImmediatePolicy:
    """Base class: dispatches each request at once to the picked upstream."""

    ejects_stragglers = False

    def __init__(self, *, state: CellState, rng: Random) -> None:
        self._state = state
        self._rng = rng

    def make_queue(self) -> WaitingQueue:
        """Return a first-come, first-served queue."""
        return FifoQueue()

    def check_admission(self, item: QueuedRequest, now: float) -> RefusalCode | None:
        """Admit every request."""
        return None

    def choose(
        self, request: PlacementRequest, now: float
    ) -> Choice | PlacementBlocker:
        """Return the upstream picked among those that are not excluded."""
        candidates = self._state.active
        if request.exclude:
            candidates = [u for u in candidates if u.name not in request.exclude]
        if not candidates:
            return PlacementBlocker.UNUSABLE
        return Choice(
            upstream=self._pick(candidates), uncached_tokens=request.prompt_tokens
        )

    def record_refusal(
        self, item: QueuedRequest, code: RefusalCode, now: float
    ) -> None:
        """Do nothing; refusals do not affect later requests."""

    def expected_late(self, now: float) -> list[QueuedRequest]:
        """Return nothing; queued requests are never given up early."""
        return []

    def expected_wait_s(self, item: QueuedRequest, now: float) -> float:
        """Return 0; requests wait in the upstreams, where it is not known."""
        return 0.0

    def lowest_admitted(self, now: float) -> int | None:
        """Return ``None``; all tiers are admitted."""
        return None

    def _pick(self, candidates: list[TrackedUpstream]) -> TrackedUpstream:
        raise NotImplementedError


@policy("random")
class RandomChoice(_ImmediatePolicy):
    """Picks an upstream uniformly at random."""

    def _pick(self, candidates: list[TrackedUpstream]) -> TrackedUpstream:
        return self._rng.choice(candidates)


@policy("round_robin")
class RoundRobin(_ImmediatePolicy):
    """Picks the upstreams in turn."""

    def __init__(self, *, state: CellState, rng: Random) -> None:
        super().__init__(state=state, rng=rng)
        self._turn = -1

    def _pick(self, candidates: list[TrackedUpstream]) -> TrackedUpstream:
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@policy("least_reported_load")
class LeastReportedLoad(_ImmediatePolicy):
    """Picks an upstream with the lowest last reported load, however old."""

    def _pick(self, candidates: list[TrackedUpstream]) -> TrackedUpstream:
        lowest = min(u.reported_load for u in candidates)
        return self._rng.choice([u for u in candidates if u.reported_load == lowest])


@policy("two_choices")
class TwoChoices(_ImmediatePolicy):
    """Picks two upstreams at random and takes the one with fewer in flight.

    Requests in flight are those that this cell granted.

    References
    ----------
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
    IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.

    """

    def _pick(self, candidates: list[TrackedUpstream]) -> TrackedUpstream:
        if len(candidates) == 1:
            return candidates[0]
        pair = self._rng.sample(candidates, 2)
        return min(pair, key=lambda u: len(u.permits))
