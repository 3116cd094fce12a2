"""Upstreams that had left, and that an older copy of their list shows again."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

from baobabwing.gateway.model import UpstreamEntry

__all__ = ["RevivalGuard"]

# Upstreams that are gone and remembered. A copy is some seconds old, in which a few
# dozen leave at the most.
_MAX_DEPARTED = 1024


class RevivalGuard:
    """Doubts what an older copy says of upstreams that had left or were leaving.

    A store that comes back from a copy lists upstreams that have ended since, and shows
    those as ready that had said that they leave. Requests would be sent to an address
    that may be another's by now, or to an upstream that takes no more. Whoever is there
    writes its entry again; an entry that nobody renews is dropped. So such an entry
    counts once it is another than in the copy, or after the time in which it would
    have been dropped.

    :param renewed_s: after which an entry that is still listed is one that is renewed.
    """

    def __init__(self, *, renewed_s: float) -> None:
        self._renewed_s = renewed_s
        self._in_service: dict[str, UpstreamEntry] = {}
        self._departed: OrderedDict[str, None] = OrderedDict()
        self._unconfirmed: dict[str, UpstreamEntry] = {}
        self._until = 0.0

    @property
    def in_service(self) -> set[str]:
        """The upstreams that are used."""
        return set(self._in_service)

    def note(self, in_service: Iterable[UpstreamEntry]) -> None:
        """Take which upstreams are used from now on."""
        previous = self._in_service
        self._in_service = {entry.instance: entry for entry in in_service}
        for instance in previous.keys() - self._in_service.keys():
            self._departed[instance] = None
        for instance in self._in_service.keys() & self._departed.keys():
            del self._departed[instance]
        while len(self._departed) > _MAX_DEPARTED:
            self._departed.popitem(last=False)

    def restored(self, listed: Iterable[UpstreamEntry], now: float) -> list[str]:
        """Take the first list of a store that came back from a copy.

        :returns: the upstreams that are doubted.
        """
        self._until = now + self._renewed_s
        self._unconfirmed = {
            one.instance: one for one in listed if self._is_outdated(one)
        }
        return sorted(self._unconfirmed)

    def settle(
        self, listed: Iterable[UpstreamEntry], now: float
    ) -> list[UpstreamEntry]:
        """Return the entries to believe, given those that are listed."""
        if now >= self._until:
            self._unconfirmed.clear()
        return [
            resolved
            for entry in listed
            if (resolved := self._resolve(entry)) is not None
        ]

    def due_s(self, now: float) -> float | None:
        """Return when to settle again, if entries are doubted."""
        return max(self._until - now, 0.0) if self._unconfirmed else None

    def _is_outdated(self, entry: UpstreamEntry) -> bool:
        known = self._in_service.get(entry.instance)
        if known is None:
            return entry.instance in self._departed
        return known.draining and not entry.draining

    def _resolve(self, entry: UpstreamEntry) -> UpstreamEntry | None:
        unconfirmed = self._unconfirmed.get(entry.instance)
        if unconfirmed is None:
            return entry
        if entry != unconfirmed:
            # Written since the store is back, by one that is there.
            del self._unconfirmed[entry.instance]
            return entry
        if entry.instance in self._in_service:
            return replace(entry, draining=True)
        return None
