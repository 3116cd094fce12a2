"""Buffer for placement requests that reach a new home before it may admit any.

When a home dies during a burst, the entries resubmit their requests to its
successor, but not all at the same time. Admitting them in order of arrival would
admit a lower tier while a request of a higher tier, queued at the old home, is
still in transit.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from baobabwing.pools.permits import PlacementRequest

__all__ = ["AdmissionBuffer"]


class AdmissionBuffer:
    """Holds the placement requests of newly acquired cells for a short time."""

    def __init__(self) -> None:
        self._requests: dict[str, dict[tuple[str, str], PlacementRequest]] = {}
        self._until: dict[str, float] = {}
        self._lock = threading.RLock()

    def begin(self, cell: str, until: float) -> None:
        """Start to buffer the requests of a cell.

        :param until: when :meth:`overdue` reports the cell.
        """
        with self._lock:
            self._requests[cell] = {}
            self._until[cell] = until

    def add(self, cell: str, request: PlacementRequest) -> bool:
        """Buffer a request; return ``False`` if the cell's are not buffered."""
        with self._lock:
            buffered = self._requests.get(cell)
            if buffered is None:
                return False
            buffered[request.entry, request.request_id] = request
            return True

    def remove(self, cell: str, entry: str, request_id: str) -> None:
        """Remove a request that its entry has withdrawn."""
        with self._lock:
            self._requests.get(cell, {}).pop((entry, request_id), None)

    def forget_entry(self, entry: str) -> None:
        """Remove the requests of an entry that has died."""
        with self._lock:
            for cell, buffered in self._requests.items():
                self._requests[cell] = {
                    key: request for key, request in buffered.items() if key[0] != entry
                }

    def drain(self, cell: str, submit: Callable[[PlacementRequest], None]) -> None:
        """Submit the requests of a cell, highest tier and earliest deadline first.

        :meth:`add` blocks until the last of them has been submitted.
        """
        with self._lock:
            buffered = self._requests.get(cell, {})
            for request in sorted(buffered.values(), key=_admission_order):
                submit(request)
            self.discard(cell)

    def discard(self, cell: str) -> None:
        """Remove all requests of a cell and stop buffering them."""
        with self._lock:
            self._requests.pop(cell, None)
            self._until.pop(cell, None)

    def overdue(self, now: float) -> list[str]:
        """Return the cells whose requests are due to be submitted."""
        with self._lock:
            return [cell for cell, until in self._until.items() if until <= now]


def _admission_order(request: PlacementRequest) -> tuple[int, float]:
    return request.tier_rank, request.deadline
