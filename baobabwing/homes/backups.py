"""Second copies of what only one node would know: where keys were dispatched.

The home of a cell knows where a keyed request went, and so does its entry. Where
one node is both, its death would take all knowledge with it, and a caller's
second try could only be told "unknown" though its stream still runs. Such an
entry therefore tells the node that would be home next, before it dispatches.
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
    until: float


class PlacementBackups:
    """What other nodes told this one in case they die; bounded in time and number.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._backups: OrderedDict[str, _Backup] = OrderedDict()
        self._lock = threading.Lock()

    def keep(self, notice: PlacementNotice) -> None:
        """Keep a notice; a later one for the same key counts."""
        answer = WhereAnswer(
            known=True,
            upstream=notice.upstream,
            request_id=notice.request_id,
            sure=True,
        )
        kept = _Backup(answer=answer, until=self._clock() + RETENTION_S)
        with self._lock:
            self._backups[notice.key] = kept
            self._backups.move_to_end(notice.key)
            self._evict()

    def find(self, key: str) -> WhereAnswer | None:
        """Return where the request with a key was about to be dispatched."""
        with self._lock:
            kept = self._backups.get(key)
        if kept is None or kept.until < self._clock():
            return None
        return kept.answer

    def _evict(self) -> None:
        now = self._clock()
        while self._backups:
            oldest = next(iter(self._backups.values()))
            if oldest.until >= now and len(self._backups) <= MAX_KEPT:
                return
            self._backups.popitem(last=False)
