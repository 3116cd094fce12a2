"""Backup copies of placements that only one node would hold.

The placement of a keyed request is held by the home of the cell and by the entry.
If one node is both and dies, the placement would be lost, and a retry of the caller
would be answered "unknown" although its stream still runs. Such an entry therefore
sends the placement to the next home in the ranking before it dispatches the request.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from baobabwing.wire.messages import PlacementNotice, WhereAnswer

__all__ = ["PlacementBackups"]

RETENTION_S = 600.0
MAX_KEPT = 50_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Backup:
    answer: WhereAnswer
    expires_at: float


class PlacementBackups:
    """Placements copied from other nodes, bounded in age and number.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._backups: OrderedDict[str, _Backup] = OrderedDict()
        self._lock = threading.Lock()

    def store(self, notice: PlacementNotice) -> None:
        """Store a placement; a later one for the same key replaces it."""
        answer = WhereAnswer(
            known=True,
            upstream=notice.upstream,
            request_id=notice.request_id,
            sure=True,
        )
        backup = _Backup(answer=answer, expires_at=self._clock() + RETENTION_S)
        with self._lock:
            self._backups[notice.key] = backup
            self._backups.move_to_end(notice.key)
            self._evict()

    def find(self, key: str) -> WhereAnswer | None:
        """Return the placement of a key, ``None`` if there is none or it expired."""
        with self._lock:
            backup = self._backups.get(key)
        if backup is None or backup.expires_at < self._clock():
            return None
        return backup.answer

    def _evict(self) -> None:
        """Remove expired placements, and the oldest ones above the limit."""
        now = self._clock()
        while self._backups:
            oldest = next(iter(self._backups.values()))
            if oldest.expires_at >= now and len(self._backups) <= MAX_KEPT:
                return
            self._backups.popitem(last=False)
