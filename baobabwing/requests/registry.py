"""Registry of the requests that this node owns, indexed by idempotency key."""

from __future__ import annotations

import threading
from collections import OrderedDict

from baobabwing.requests.outcome import Outcome
from baobabwing.requests.request import Placement, Request, RequestState

__all__ = ["RequestRegistry"]


class RequestRegistry:
    """Open requests, and closed ones for as long as their keys are valid.

    :param retention_s: time for which a closed request with a key is kept, in
        seconds. It must be at least the lifetime of a key, so that a valid key is
        always recognised and never dispatched a second time.
    """

    def __init__(self, *, retention_s: float) -> None:
        self._retention_s = retention_s
        self._by_key: dict[tuple[str, str], Request] = {}
        self._closed_at: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._open: dict[str, Request] = {}
        self._lock = threading.Lock()

    def register(self, request: Request, now: float) -> Request | None:
        """Add a request unless its organisation has used the key before.

        A key whose request ended as ``NOT_RUN`` may be used again.

        :returns: the earlier request with the key, or ``None`` if the request was
            added.
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
        """Return an organisation's request with this key, or ``None``."""
        with self._lock:
            return self._by_key.get((organisation, key))

    def has_key(self, key: str) -> bool:
        """Whether a request with this key is registered for any organisation."""
        with self._lock:
            return any(stored_key == key for _, stored_key in self._by_key)

    def mark_closed(self, request: Request, now: float) -> None:
        """Record that a request has closed, and start its retention."""
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

    def permitted_in(self, cell: str) -> list[tuple[Request, Placement]]:
        """Return a cell's open requests that have a permit, with their placements."""
        permitted = []
        for request in self.open_requests():
            placement = request.placement
            queued = request.state < RequestState.PERMITTED
            if placement is not None and placement.cell == cell and not queued:
                permitted.append((request, placement))
        return permitted

    def size(self) -> int:
        """Return the number of entries: requests with a key plus open requests."""
        with self._lock:
            return len(self._by_key) + len(self._open)

    def _forget_before(self, cutoff: float) -> None:
        while self._closed_at:
            scoped_key, closed_at = next(iter(self._closed_at.items()))
            if closed_at > cutoff:
                return
            del self._closed_at[scoped_key]
            del self._by_key[scoped_key]
