"""Requests that reach a new home before it may order them.

When a home dies in the middle of a burst, the entries ask its successor again,
each a moment after the other. Whoever asks first must not go first: a lower
tier would be admitted with a higher one, queued at the old home, on its way.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from baobabwing.pools.permits import Ask

__all__ = ["AdmissionBuffer"]


class AdmissionBuffer:
    """Asks of cells that were just taken, kept back for a short while."""

    def __init__(self) -> None:
        self._requests: dict[str, dict[tuple[str, str], Ask]] = {}
        self._until: dict[str, float] = {}
        self._lock = threading.RLock()

    def begin(self, cell: str, until: float) -> None:
        """Keep the asks of a cell back from now on.

        :param until: when they are to be let through at the latest.
        """
        with self._lock:
            self._requests[cell] = {}
            self._until[cell] = until

    def add(self, cell: str, ask: Ask) -> bool:
        """Keep an ask back; false if the cell's asks are not kept any more."""
        with self._lock:
            kept = self._requests.get(cell)
            if kept is None:
                return False
            kept[ask.entry, ask.request_id] = ask
            return True

    def remove(self, cell: str, entry: str, request_id: str) -> None:
        """Forget an ask that nobody waits for any more."""
        with self._lock:
            self._requests.get(cell, {}).pop((entry, request_id), None)

    def forget_entry(self, entry: str) -> None:
        """Forget the asks of an entry that has died."""
        with self._lock:
            for cell, kept in self._requests.items():
                self._requests[cell] = {
                    slot: ask for slot, ask in kept.items() if slot[0] != entry
                }

    def drain(self, cell: str, submit: Callable[[Ask], None]) -> None:
        """Let the asks of a cell through, highest tier and earliest deadline first.

        New asks wait until the last of them has been submitted.
        """
        with self._lock:
            kept = self._requests.get(cell, {})
            for ask in sorted(kept.values(), key=_admission_order):
                submit(ask)
            self.discard(cell)

    def discard(self, cell: str) -> None:
        """Forget all asks of a cell."""
        with self._lock:
            self._requests.pop(cell, None)
            self._until.pop(cell, None)

    def overdue(self, now: float) -> list[str]:
        """Return the cells whose asks were kept back for long enough."""
        with self._lock:
            return [cell for cell, until in self._until.items() if until <= now]


def _admission_order(ask: Ask) -> tuple[int, float]:
    return ask.tier_rank, ask.deadline
