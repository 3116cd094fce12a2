"""Queues of a cell: strict tiers with fairness inside, and plain arrival order."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol

from baobabwing.pools.fairness import FairQueue, QueuedRequest
from baobabwing.pools.permits import Ask

__all__ = ["FifoQueue", "TierQueue", "WaitingQueue"]


class WaitingQueue(Protocol):
    """What a cell needs of a queue; the order is the policy's."""

    def __len__(self) -> int:
        """Return how many asks wait."""

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over all asks, in no promised order."""

    def add(self, item: QueuedRequest) -> None:
        """Queue an ask."""

    def remove(self, item: QueuedRequest) -> None:
        """Take out an ask that got no permit."""

    def serve(self, item: QueuedRequest) -> None:
        """Take out an ask that got a permit."""

    def ranks(self) -> list[int]:
        """Return the tier ranks with work, in the order they are served."""

    def head(self, rank: int) -> QueuedRequest | None:
        """Return the next ask of a rank."""

    def heads(self, rank: int, limit: int) -> list[QueuedRequest]:
        """Return the asks of a rank that may be tried, in order."""

    def victim(self) -> QueuedRequest | None:
        """Return the ask to drop when the queue is full."""

    def work_ahead_s(self, request: Ask, service_s: float) -> float:
        """Return the work that would be served before a new ask, in seconds."""

    def work_through_s(self, rank: int) -> float:
        """Return the work of a tier and of those served before it."""

    def expected_late(
        self, meets_deadline: Callable[[QueuedRequest, float], bool]
    ) -> list[QueuedRequest]:
        """Return the asks that would be served too late."""

    def lengths(self) -> dict[int, int]:
        """Return how many asks wait in each tier."""


class TierQueue:
    """Strict order of tiers, fair order between organisations inside a tier."""

    def __init__(self) -> None:
        self._tiers: dict[int, FairQueue] = {}
        self._ranks: list[int] = []
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueuedRequest]:
        for rank in self._ranks:
            yield from self._tiers[rank]

    def add(self, item: QueuedRequest) -> None:
        """Queue an ask in its tier."""
        rank = item.request.tier_rank
        tier = self._tiers.get(rank)
        if tier is None:
            tier = self._tiers[rank] = FairQueue()
            self._ranks = sorted(self._tiers)
        tier.add(item)
        self._length += 1

    def remove(self, item: QueuedRequest) -> None:
        """Take out an ask that got no permit."""
        self._tiers[item.request.tier_rank].remove(item)
        self._length -= 1

    def serve(self, item: QueuedRequest) -> None:
        """Take out an ask that got a permit and charge its organisation."""
        self._tiers[item.request.tier_rank].serve(item)
        self._length -= 1

    def ranks(self) -> list[int]:
        """Return the ranks with work, highest tier first."""
        return [rank for rank in self._ranks if len(self._tiers[rank])]

    def head(self, rank: int) -> QueuedRequest | None:
        """Return the next ask of a rank."""
        return self._tiers[rank].head()

    def heads(self, rank: int, limit: int) -> list[QueuedRequest]:
        """Return the next asks of a rank, one for each organisation."""
        return self._tiers[rank].heads(limit)

    def victim(self) -> QueuedRequest | None:
        """Return an ask of the lowest tier with work."""
        for rank in reversed(self._ranks):
            item = self._tiers[rank].most_over_share()
            if item is not None:
                return item
        return None

    def work_ahead_s(self, request: Ask, service_s: float) -> float:
        """Return the work of higher tiers and the fair share of the own tier."""
        ahead_s = 0.0
        for rank in self._ranks:
            if rank > request.tier_rank:
                break
            tier = self._tiers[rank]
            if rank < request.tier_rank:
                ahead_s += tier.work_s
            elif len(tier):
                ahead_s += tier.work_ahead_s(
                    organisation=request.organisation,
                    weight=request.weight,
                    deadline=request.deadline,
                    service_s=service_s,
                )
        return ahead_s

    def work_through_s(self, rank: int) -> float:
        """Return the work of a tier and of all above it."""
        return sum(self._tiers[r].work_s for r in self._ranks if r <= rank)

    def expected_late(
        self, meets_deadline: Callable[[QueuedRequest, float], bool]
    ) -> list[QueuedRequest]:
        """Return the asks that would be served too late.

        :param reaches: whether an ask with so much work before it is in time.
        """
        late: list[QueuedRequest] = []
        higher_tiers_s = 0.0
        for rank in self._ranks:
            tier = self._tiers[rank]
            tier_late = tier.expected_late(meets_deadline, higher_tiers_s)
            higher_tiers_s += tier.work_s - sum(item.service_s for item in tier_late)
            late += tier_late
        return late

    def lengths(self) -> dict[int, int]:
        """Return how many asks wait in each tier."""
        return {rank: len(self._tiers[rank]) for rank in self.ranks()}


class FifoQueue:
    """First come, first served, blind to tiers; the order of the baselines."""

    def __init__(self) -> None:
        self._items: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._items.values()))

    def add(self, item: QueuedRequest) -> None:
        """Queue an ask behind all others."""
        self._items[item.number] = item

    def remove(self, item: QueuedRequest) -> None:
        """Take out an ask that got no permit."""
        del self._items[item.number]
        item.waiting = False

    def serve(self, item: QueuedRequest) -> None:
        """Take out an ask that got a permit."""
        self.remove(item)

    def ranks(self) -> list[int]:
        """Return one rank for all: the order knows no tiers."""
        return [0] if self._items else []

    def head(self, rank: int) -> QueuedRequest | None:
        """Return the oldest ask."""
        return next(iter(self._items.values()), None)

    def heads(self, rank: int, limit: int) -> list[QueuedRequest]:
        """Return the oldest asks."""
        return list(self._items.values())[:limit]

    def victim(self) -> QueuedRequest | None:
        """Return the newest ask."""
        return self._items[next(reversed(self._items))] if self._items else None

    def work_ahead_s(self, request: Ask, service_s: float) -> float:
        """Return the work of all that came before."""
        return self.work_through_s(request.tier_rank)

    def work_through_s(self, rank: int) -> float:
        """Return the work of all that wait."""
        return sum(item.service_s for item in self._items.values())

    def expected_late(
        self, meets_deadline: Callable[[QueuedRequest, float], bool]
    ) -> list[QueuedRequest]:
        """Return nothing: this order knows no deadlines."""
        return []

    def lengths(self) -> dict[int, int]:
        """Return how many asks wait in each tier."""
        counts: dict[int, int] = {}
        for item in self._items.values():
            counts[item.request.tier_rank] = counts.get(item.request.tier_rank, 0) + 1
        return counts
