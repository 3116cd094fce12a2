"""Request queues of a cell: by tier with fair shares, and in arrival order."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol

from baobabwing.pools.fairness import FairQueue, QueuedRequest
from baobabwing.pools.permits import PlacementRequest

__all__ = ["FifoQueue", "TierQueue", "WaitingQueue"]


class WaitingQueue(Protocol):
    """Interface of a cell's queue; the scheduling policy chooses the order."""

    def __len__(self) -> int:
        """Return the number of queued requests."""

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over all queued requests, in no particular order."""

    def add(self, item: QueuedRequest) -> None:
        """Queue a request."""

    def remove(self, item: QueuedRequest) -> None:
        """Remove a request that was not granted."""

    def serve(self, item: QueuedRequest) -> None:
        """Remove a request that was granted."""

    def ranks(self) -> list[int]:
        """Return the ranks with queued requests, in the order they are served."""

    def head(self, rank: int) -> QueuedRequest | None:
        """Return the next request of a rank."""

    def heads(self, rank: int, limit: int) -> list[QueuedRequest]:
        """Return up to ``limit`` requests of a rank to try, in order."""

    def victim(self) -> QueuedRequest | None:
        """Return the request to drop when the queue is full."""

    def work_ahead_s(self, request: PlacementRequest, service_s: float) -> float:
        """Return the work served before a new request, in seconds of one slot."""

    def work_through_s(self, rank: int) -> float:
        """Return the work of a tier and of the tiers served before it."""

    def expected_late(
        self, meets_deadline: Callable[[QueuedRequest, float], bool]
    ) -> list[QueuedRequest]:
        """Return the requests that are expected to miss their deadlines."""

    def lengths(self) -> dict[int, int]:
        """Return the number of queued requests by tier rank."""


class TierQueue:
    """A queue with strict priority of tiers and fair shares within each tier."""

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
        """Queue a request in its tier."""
        rank = item.request.tier_rank
        tier = self._tiers.get(rank)
        if tier is None:
            tier = self._tiers[rank] = FairQueue()
            self._ranks = sorted(self._tiers)
        tier.add(item)
        self._length += 1

    def remove(self, item: QueuedRequest) -> None:
        """Remove a request that was not granted."""
        self._tiers[item.request.tier_rank].remove(item)
        self._length -= 1

    def serve(self, item: QueuedRequest) -> None:
        """Remove a request that was granted and charge its organisation."""
        self._tiers[item.request.tier_rank].serve(item)
        self._length -= 1

    def ranks(self) -> list[int]:
        """Return the ranks with queued requests, highest tier first."""
        return [rank for rank in self._ranks if len(self._tiers[rank])]

    def head(self, rank: int) -> QueuedRequest | None:
        """Return the next request of a rank."""
        return self._tiers[rank].head()

    def heads(self, rank: int, limit: int) -> list[QueuedRequest]:
        """Return the next request of each of up to ``limit`` organisations."""
        return self._tiers[rank].heads(limit)

    def victim(self) -> QueuedRequest | None:
        """Return a request of the lowest tier with queued requests."""
        for rank in reversed(self._ranks):
            item = self._tiers[rank].most_over_share()
            if item is not None:
                return item
        return None

    def work_ahead_s(self, request: PlacementRequest, service_s: float) -> float:
        """Return the work of higher tiers plus that due first in the same tier."""
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
        """Return the work of a tier and of all higher tiers."""
        return sum(self._tiers[r].work_s for r in self._ranks if r <= rank)

    def expected_late(
        self, meets_deadline: Callable[[QueuedRequest, float], bool]
    ) -> list[QueuedRequest]:
        """Return the requests that are expected to miss their deadlines.

        :param meets_deadline: whether a request with this many seconds of work
            before it would meet its deadline.
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
        """Return the number of queued requests by tier rank."""
        return {rank: len(self._tiers[rank]) for rank in self.ranks()}


class FifoQueue:
    """A first-come, first-served queue without tiers, for the baseline policies."""

    def __init__(self) -> None:
        self._items: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._items.values()))

    def add(self, item: QueuedRequest) -> None:
        """Queue a request behind all others."""
        self._items[item.number] = item

    def remove(self, item: QueuedRequest) -> None:
        """Remove a request that was not granted."""
        del self._items[item.number]
        item.waiting = False

    def serve(self, item: QueuedRequest) -> None:
        """Remove a request that was granted."""
        self.remove(item)

    def ranks(self) -> list[int]:
        """Return a single rank for all requests, as this queue ignores tiers."""
        return [0] if self._items else []

    def head(self, rank: int) -> QueuedRequest | None:
        """Return the oldest request."""
        return next(iter(self._items.values()), None)

    def heads(self, rank: int, limit: int) -> list[QueuedRequest]:
        """Return the oldest requests."""
        return list(self._items.values())[:limit]

    def victim(self) -> QueuedRequest | None:
        """Return the newest request."""
        return self._items[next(reversed(self._items))] if self._items else None

    def work_ahead_s(self, request: PlacementRequest, service_s: float) -> float:
        """Return the work of all queued requests."""
        return self.work_through_s(request.tier_rank)

    def work_through_s(self, rank: int) -> float:
        """Return the work of all queued requests."""
        return sum(item.service_s for item in self._items.values())

    def expected_late(
        self, meets_deadline: Callable[[QueuedRequest, float], bool]
    ) -> list[QueuedRequest]:
        """Return nothing, as this queue ignores deadlines."""
        return []

    def lengths(self) -> dict[int, int]:
        """Return the number of queued requests by tier rank."""
        counts: dict[int, int] = {}
        for item in self._items.values():
            counts[item.request.tier_rank] = counts.get(item.request.tier_rank, 0) + 1
        return counts
