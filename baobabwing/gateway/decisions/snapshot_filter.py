"""Upstreams that had left and are listed again by a restored store."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

from baobabwing.gateway.model import UpstreamEntry

__all__ = ["SnapshotFilter"]

# Maximum number of departed upstreams to remember. A snapshot is some seconds old, in
# which a few dozen upstreams leave at most.
_MAX_DEPARTED = 1024


class SnapshotFilter:
    """Filter of outdated entries after the store was restored from an older snapshot.

    A restored store lists upstreams that have ended since the snapshot, and lists as
    ready those that have announced since that they leave. Requests would be sent to an
    address that may belong to another process by now, or to an upstream that accepts no
    more. A running upstream writes its entry again, and the store drops an entry that
    is not renewed. So an outdated entry stays unconfirmed until it differs from the
    snapshot, or until the store would have dropped it.

    :param renewed_s: time after which an entry that is still listed must have been
        renewed.
    """

    def __init__(self, *, renewed_s: float) -> None:
        self._renewed_s = renewed_s
        self._in_service: dict[str, UpstreamEntry] = {}
        self._departed: OrderedDict[str, None] = OrderedDict()
        self._unconfirmed: dict[str, UpstreamEntry] = {}
        self._until = 0.0

    @property
    def in_service(self) -> set[str]:
        """Incarnations of the upstreams in service."""
        return set(self._in_service)

    def set_in_service(self, in_service: Iterable[UpstreamEntry]) -> None:
        """Replace the upstreams in service; those left out count as departed."""
        previous = self._in_service
        self._in_service = {entry.instance: entry for entry in in_service}
        for instance in previous.keys() - self._in_service.keys():
            self._departed[instance] = None
        for instance in self._in_service.keys() & self._departed.keys():
            del self._departed[instance]
        while len(self._departed) > _MAX_DEPARTED:
            self._departed.popitem(last=False)

    def begin_restore(self, listed: Iterable[UpstreamEntry], now: float) -> list[str]:
        """Handle the first list of a store that was restored from a snapshot.

        :returns: incarnations of the unconfirmed entries, sorted.
        """
        self._until = now + self._renewed_s
        self._unconfirmed = {
            one.instance: one for one in listed if self._is_outdated(one)
        }
        return sorted(self._unconfirmed)

    def filter_entries(
        self, listed: Iterable[UpstreamEntry], now: float
    ) -> list[UpstreamEntry]:
        """Return the entries to use, given those that are listed.

        An unconfirmed entry is left out, or set to draining if its upstream is still in
        service.
        """
        if now >= self._until:
            self._unconfirmed.clear()
        return [
            resolved
            for entry in listed
            if (resolved := self._resolve(entry)) is not None
        ]

    def next_filter_s(self, now: float) -> float | None:
        """Return the seconds until :meth:`filter_entries` is due; ``None`` if not.

        It is due once the unconfirmed entries count as renewed.
        """
        return max(self._until - now, 0.0) if self._unconfirmed else None

    def _is_outdated(self, entry: UpstreamEntry) -> bool:
        """Whether its upstream has departed, or drains while the entry says ready."""
        current = self._in_service.get(entry.instance)
        if current is None:
            return entry.instance in self._departed
        return current.draining and not entry.draining

    def _resolve(self, entry: UpstreamEntry) -> UpstreamEntry | None:
        unconfirmed = self._unconfirmed.get(entry.instance)
        if unconfirmed is None:
            return entry
        if entry != unconfirmed:
            # Written after the store was restored, so the upstream runs.
            del self._unconfirmed[entry.instance]
            return entry
        if entry.instance in self._in_service:
            return replace(entry, draining=True)
        return None
