"""Table service: versioned rows that are changed by compare-and-set."""

from __future__ import annotations

import threading
import time
from collections import defaultdict, deque
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from baobabwing.exceptions import ConflictError
from baobabwing.standins.platform.history import History, Row

__all__ = ["Insert", "InsertResult", "TableService"]

WRITES_KEPT = 100_000


@dataclass(frozen=True, kw_only=True)
class Insert:
    """A row of a batch, inserted if its key is absent."""

    key: str
    value: Any


@dataclass(frozen=True, kw_only=True)
class InsertResult:
    """Result of an insert.

    :param inserted: whether the row was inserted.
    :param value: value of the row now; the existing value if not inserted.
    """

    key: str
    inserted: bool
    value: Any


@dataclass(frozen=True, kw_only=True)
class _Write:
    at: float
    table: str
    key: str
    version: int
    kind: str


class TableService:
    """All tables of the platform, with atomic operations."""

    def __init__(self) -> None:
        self._tables: dict[str, History] = defaultdict(History)
        self._writes: deque[_Write] = deque(maxlen=WRITES_KEPT)
        self._lock = threading.Lock()

    def read(self, table: str, key: str, age_s: float = 0.0) -> Row | None:
        """Return a row as it was ``age_s`` seconds ago, or none if it was absent."""
        with self._lock:
            return self._tables[table].read(key, age_s)

    def items(
        self, table: str, prefix: str, age_s: float = 0.0
    ) -> list[tuple[str, Row]]:
        """Return the rows with a key prefix, sorted, as of ``age_s`` seconds ago."""
        with self._lock:
            return self._tables[table].items(prefix, age_s)

    def put(self, table: str, key: str, value: Any, *, base: int | None) -> Row:
        """Write a row if it is at the expected version.

        :param base: expected version, or none if the row must be absent.
        :raises ConflictError: if the row is at another version.
        """
        with self._lock:
            self._check_version(table, key, base)
            return self._write(table, key, value, kind="put")

    def delete(self, table: str, key: str, *, base: int) -> None:
        """Delete a row if it is at the expected version.

        :raises ConflictError: if the row is at another version or absent.
        """
        with self._lock:
            self._check_version(table, key, base)
            self._write(table, key, None, kind="delete")

    def insert_many(self, table: str, inserts: Sequence[Insert]) -> list[InsertResult]:
        """Insert the rows whose keys are absent; return one result per row."""
        with self._lock:
            return [self._insert(table, item) for item in inserts]

    def writes(self, after: int = 0) -> list[dict[str, Any]]:
        """Return the kept writes that took effect, from a position on."""
        with self._lock:
            return [asdict(write) for write in list(self._writes)[after:]]

    def _check_version(self, table: str, key: str, base: int | None) -> None:
        row = self._tables[table].read(key)
        current = None if row is None else row.version
        if current != base:
            raise ConflictError(f"the row is at version {current}", step="table")

    def _insert(self, table: str, insert: Insert) -> InsertResult:
        row = self._tables[table].read(insert.key)
        inserted = row is None
        if row is None:
            row = self._write(table, insert.key, insert.value, kind="insert")
        return InsertResult(key=insert.key, inserted=inserted, value=row.value)

    def _write(self, table: str, key: str, value: Any, *, kind: str) -> Row:
        row = self._tables[table].write(key, value, deleted=kind == "delete")
        write = _Write(
            at=time.time(), table=table, key=key, version=row.version, kind=kind
        )
        self._writes.append(write)
        return row
