"""Policies of ordinary balancers, to compare with under the same bench.

They dispatch each request at once, first come first served, and leave all
waiting to the upstreams: no tiers, no deadlines, no bound on what they send.
"""

from __future__ import annotations

from random import Random

from baobabwing.pools.fairness import QueuedRequest
from baobabwing.pools.permits import Ask, RefusalCode
from baobabwing.pools.policies.registry import PlacementBlocker, policy
from baobabwing.pools.queues import FifoQueue, WaitingQueue
from baobabwing.pools.state import CellState, Choice
from baobabwing.pools.tracking import TrackedUpstream

__all__ = ["LeastReportedLoad", "RandomChoice", "RoundRobin", "TwoChoices"]


class _ImmediatePolicy:
    """What the baselines share: dispatch at once to the one they pick."""

    ejects_stragglers = False

    def __init__(self, *, state: CellState, rng: Random) -> None:
        self._state = state
        self._rng = rng

    def make_queue(self) -> WaitingQueue:
        """Return a queue in order of arrival."""
        return FifoQueue()

    def check_admission(self, item: QueuedRequest, now: float) -> RefusalCode | None:
        """Admit everything."""
        return None

    def choose(self, request: Ask, now: float) -> Choice | PlacementBlocker:
        """Return the upstream picked among those not excluded."""
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
        """Keep no memory of refusals."""

    def expected_late(self, now: float) -> list[QueuedRequest]:
        """Give up on nothing."""
        return []

    def expected_wait_s(self, item: QueuedRequest, now: float) -> float:
        """Return no wait: requests wait in the upstreams, out of sight."""
        return 0.0

    def lowest_admitted(self, now: float) -> int | None:
        """Admit all tiers."""
        return None

    def _pick(self, candidates: list[TrackedUpstream]) -> TrackedUpstream:
        raise NotImplementedError


@policy("random")
class RandomChoice(_ImmediatePolicy):
    """Any upstream, by chance."""

    def _pick(self, candidates: list[TrackedUpstream]) -> TrackedUpstream:
        return self._rng.choice(candidates)


@policy("round_robin")
class RoundRobin(_ImmediatePolicy):
    """One upstream after the other."""

    def __init__(self, *, state: CellState, rng: Random) -> None:
        super().__init__(state=state, rng=rng)
        self._turn = -1

    def _pick(self, candidates: list[TrackedUpstream]) -> TrackedUpstream:
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@policy("least_reported_load")
class LeastReportedLoad(_ImmediatePolicy):
    """The upstream whose last report was lowest, however old the report."""

    def _pick(self, candidates: list[TrackedUpstream]) -> TrackedUpstream:
        lowest = min(u.reported for u in candidates)
        return self._rng.choice([u for u in candidates if u.reported == lowest])


@policy("two_choices")
class TwoChoices(_ImmediatePolicy):
    """The one with less in flight by our own count, of two by chance.

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
