"""Keyed values with their past versions, for lagging and stale reads."""

from __future__ import annotations

import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

__all__ = ["History", "Row"]

VERSIONS_KEPT = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One version of a key.

    :param version: number that grows with every change of the key, deletions too.
    :param value: any JSON value; none for a deletion.
    :param deleted: whether this version is a deletion.
    :param at: monotonic time of the change, in seconds.
    """

    version: int
    value: Any
    deleted: bool
    at: float


class History:
    """Map of keys to their latest versions, whose numbers never decrease."""

    def __init__(self) -> None:
        self._rows: dict[str, deque[Row]] = {}
        self.lock = threading.RLock()

    def read(self, key: str, age_s: float = 0.0) -> Row | None:
        """Return a key's row as it was ``age_s`` seconds ago.

        :returns: none if the row was absent, or if that version is no longer kept.
        """
        with self.lock:
            rows = self._rows.get(key, ())
            newest_at = time.monotonic() - age_s
            for row in reversed(rows):
                if row.at <= newest_at:
                    return None if row.deleted else row
            return None

    def version(self, key: str) -> int:
        """Return a key's last version number, also if deleted; 0 if never written."""
        with self.lock:
            rows = self._rows.get(key)
            return rows[-1].version if rows else 0

    def write(self, key: str, value: Any, *, deleted: bool = False) -> Row:
        """Append a new version of a key."""
        with self.lock:
            rows = self._rows.setdefault(key, deque(maxlen=VERSIONS_KEPT))
            version = rows[-1].version + 1 if rows else 1
            row = Row(
                version=version, value=value, deleted=deleted, at=time.monotonic()
            )
            rows.append(row)
            return row

    def items(self, prefix: str = "", age_s: float = 0.0) -> list[tuple[str, Row]]:
        """Return the rows with a key prefix, sorted, as of ``age_s`` seconds ago."""
        with self.lock:
            keys = sorted(key for key in self._rows if key.startswith(prefix))
            rows = [(key, self.read(key, age_s)) for key in keys]
        return [(key, row) for key, row in rows if row is not None]
