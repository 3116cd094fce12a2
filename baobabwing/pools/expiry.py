"""The times at which queued requests expire."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from baobabwing.pools.fairness import QueuedRequest

__all__ = ["ExpiryHeap"]

_STALE_ENTRIES_SLACK = 256


class ExpiryHeap:
    """A heap of queued requests, ordered by their latest start.

    Requests that have left the queue stay in the heap until their latest start
    has passed, or until there are too many of them.

    Notes: adding and popping cost O(log n).
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, QueuedRequest]] = []

    def add(self, item: QueuedRequest, waiting: int) -> None:
        """Add a request.

        :param waiting: number of queued requests; the heap holds at most twice
            as many entries, plus a constant.
        """
        heappush(self._entries, (item.latest_start, item.number, item))
        if len(self._entries) > 2 * waiting + _STALE_ENTRIES_SLACK:
            self._entries = [entry for entry in self._entries if entry[2].waiting]
            heapify(self._entries)

    def pop_expired(self, now: float) -> QueuedRequest | None:
        """Remove and return a queued request whose latest start has passed."""
        entries = self._entries
        while entries and (entries[0][0] < now or not entries[0][2].waiting):
            item = heappop(entries)[2]
            if item.waiting:
                return item
        return None
