"""The requests that this node owns, found again by their keys."""

from __future__ import annotations

import threading
from collections import OrderedDict

from baobabwing.requests.outcome import Outcome
from baobabwing.requests.request import Placement, Request, RequestState

__all__ = ["RequestRegistry"]


class RequestRegistry:
    """Open requests, and closed ones for as long as their keys are valid.

    :param retention_s: how long a closed request with a key is remembered. It
        must be at least the life of a key, so that a key that is still valid is
        always recognised and never dispatched a second time.
    """

    def __init__(self, *, retention_s: float) -> None:
        self._retention_s = retention_s
        self._by_key: dict[tuple[str, str], Request] = {}
        self._closed_at: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._open: dict[str, Request] = {}
        self._lock = threading.Lock()

    def enter(self, request: Request, now: float) -> Request | None:
        """Add a request unless its organisation used the key before.

        A key whose request ended as not run may be used again.

        :returns: the earlier request with the key, or ``None`` if it was added.
        """
        facts = request.facts
        with self._lock:
            self._forget_before(now - self._retention_s)
            scoped_key = (facts.organisation, facts.key)
            if facts.key:
                earlier = self._by_key.get(scoped_key)
                if earlier is not None and earlier.outcome is not Outcome.NOT_RUN:
                    return earlier
                self._by_key[scoped_key] = request
                self._closed_at.pop(scoped_key, None)
            self._open[facts.request_id] = request
        return None

    def find(self, organisation: str, key: str) -> Request | None:
        """Return the request of an organisation with this key."""
        with self._lock:
            return self._by_key.get((organisation, key))

    def knows(self, key: str) -> bool:
        """Tell whether any organisation has a request with this key here."""
        with self._lock:
            return any(stored_key == key for _, stored_key in self._by_key)

    def leave(self, request: Request, now: float) -> None:
        """Note that a request has closed."""
        facts = request.facts
        scoped_key = (facts.organisation, facts.key)
        with self._lock:
            self._open.pop(facts.request_id, None)
            if self._by_key.get(scoped_key) is request:
                self._closed_at[scoped_key] = now
                self._closed_at.move_to_end(scoped_key)

    def open_requests(self) -> tuple[Request, ...]:
        """Return all requests that have not closed."""
        with self._lock:
            return tuple(self._open.values())

    def dispatched_in(self, cell: str) -> list[tuple[Request, Placement]]:
        """Return the open requests of a cell that hold a place at an upstream."""
        dispatched = []
        for request in self.open_requests():
            placement = request.placement
            queued = request.state < RequestState.PERMITTED
            if placement is not None and placement.cell == cell and not queued:
                dispatched.append((request, placement))
        return dispatched

    def size(self) -> int:
        """Return how many requests are remembered."""
        with self._lock:
            return len(self._by_key) + len(self._open)

    def _forget_before(self, cutoff: float) -> None:
        while self._closed_at:
            scoped_key, closed_at = next(iter(self._closed_at.items()))
            if closed_at > cutoff:
                return
            del self._closed_at[scoped_key]
            del self._by_key[scoped_key]
