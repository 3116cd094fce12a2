"""The moments at which queued asks run out of time."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from baobabwing.pools.fairness import QueuedRequest

__all__ = ["ExpiryHeap"]

_EXPIRED_ENTRIES_SLACK = 256


class ExpiryHeap:
    """Queued asks by the latest moment at which they may start.

    Asks that got a decision stay until their moment comes or there are too
    many of them.

    Notes: adding and popping cost O(log n).
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, QueuedRequest]] = []

    def add(self, item: QueuedRequest, waiting: int) -> None:
        """Add an ask.

        :param waiting: how many asks wait; bounds what is kept of the others.
        """
        heappush(self._entries, (item.latest_start, item.number, item))
        if len(self._entries) > 2 * waiting + _EXPIRED_ENTRIES_SLACK:
            self._entries = [entry for entry in self._entries if entry[2].waiting]
            heapify(self._entries)

    def pop_expired(self, now: float) -> QueuedRequest | None:
        """Return an ask that still waits and may not start any more."""
        entries = self._entries
        while entries and (entries[0][0] < now or not entries[0][2].waiting):
            item = heappop(entries)[2]
            if item.waiting:
                return item
        return None
