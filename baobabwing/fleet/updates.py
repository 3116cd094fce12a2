"""Updates that are piggybacked on datagrams a bounded number of times."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from baobabwing.wire.datagram import MAX_UPDATES, MemberRecord, record_size

__all__ = ["UpdateQueue", "fit_records"]


@dataclass
class _Entry:
    record: MemberRecord
    left: int


class UpdateQueue:
    """The newest update of each member, least transmitted first."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, record: MemberRecord, *, transmissions: int) -> None:
        """Add an update; it replaces an older one of the same member."""
        with self._lock:
            self._entries[record.name] = _Entry(record, transmissions)

    def clear(self) -> None:
        """Drop all updates."""
        with self._lock:
            self._entries.clear()

    def take(self, budget_bytes: int) -> tuple[MemberRecord, ...]:
        """Return updates that fit, and count one transmission for each.

        An update is dropped after its last transmission, which bounds its cost. A
        node that missed it is repaired through the digest.
        """
        with self._lock:
            entries = sorted(self._entries.values(), key=lambda e: -e.left)
            fitting = fit_records([entry.record for entry in entries], budget_bytes)
            for record in fitting:
                self._count_transmission(record.name)
            return fitting

    def _count_transmission(self, name: str) -> None:
        entry = self._entries[name]
        entry.left -= 1
        if entry.left <= 0:
            del self._entries[name]


def fit_records(
    records: list[MemberRecord], budget_bytes: int
) -> tuple[MemberRecord, ...]:
    """Return the leading records whose estimated size fits into the budget."""
    fitting = []
    for record in records[:MAX_UPDATES]:
        budget_bytes -= record_size(record)
        if budget_bytes < 0:
            break
        fitting.append(record)
    return tuple(fitting)
