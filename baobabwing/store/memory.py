"""An in-memory table service with injected faults, for dry runs and tests."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from baobabwing.exceptions import (
    ConflictError,
    PlatformUnavailableError,
    PlatformUncertainError,
)
from baobabwing.store.tables import Insert, InsertResult, Row

__all__ = ["Call", "Fault", "MemoryTables"]


class Fault(StrEnum):
    """A fault that is injected into a call."""

    REFUSE = "refuse"
    LOSE_REQUEST = "lose_request"
    LOSE_ANSWER = "lose_answer"


@dataclass(frozen=True, kw_only=True)
class Call:
    """A call of the table service; ``key`` is empty for calls on many rows."""

    operation: str
    table: str
    key: str = ""


class MemoryTables:
    """Keeps rows in a dictionary and fails in the ways of the real service.

    :param on_call: called before each call; returns the fault to inject, if any.
        It may itself use the tables, to act as a concurrent writer.
    """

    def __init__(self, *, on_call: Callable[[Call], Fault | None] | None = None):
        self.on_call = on_call
        self._lock = threading.Lock()
        self._rows: dict[tuple[str, str], Row] = {}
        self._last_version = 0

    def read(self, table: str, key: str) -> Row | None:
        """Read a row."""

        def action() -> Row | None:
            row = self._rows.get((table, key))
            return _copy(row) if row else None

        return self._run(Call(operation="read", table=table, key=key), action)

    def put(self, table: str, key: str, value: Any, *, expected: int | None) -> int:
        """Write a row by compare-and-set."""

        def action() -> int:
            self._check_version(table, key, expected)
            return self._write(table, key, value)

        return self._run(Call(operation="put", table=table, key=key), action)

    def delete(self, table: str, key: str, *, expected: int) -> None:
        """Delete a row by compare-and-set."""

        def action() -> None:
            self._check_version(table, key, expected)
            del self._rows[table, key]

        self._run(Call(operation="delete", table=table, key=key), action)

    def insert_many(
        self, table: str, inserts: Iterable[Insert]
    ) -> tuple[InsertResult, ...]:
        """Insert each row whose key does not exist."""
        rows = tuple(inserts)

        def action() -> tuple[InsertResult, ...]:
            return tuple(self._insert(table, row) for row in rows)

        return self._run(Call(operation="insert", table=table), action)

    def list_items(self, table: str, prefix: str = "") -> tuple[Row, ...]:
        """List rows whose keys start with a prefix."""

        def action() -> tuple[Row, ...]:
            return tuple(
                _copy(row)
                for (row_table, key), row in sorted(self._rows.items())
                if row_table == table and key.startswith(prefix)
            )

        return self._run(Call(operation="list", table=table), action)

    def _run(self, call: Call, action: Callable[[], Any]) -> Any:
        fault = self.on_call(call) if self.on_call else None
        if fault is Fault.REFUSE:
            raise PlatformUnavailableError("refused", step=call.operation)
        if fault is Fault.LOSE_REQUEST:
            raise PlatformUncertainError("request lost", step=call.operation)
        with self._lock:
            result = action()
        if fault is Fault.LOSE_ANSWER:
            raise PlatformUncertainError("answer lost", step=call.operation)
        return result

    def _check_version(self, table: str, key: str, expected: int | None) -> None:
        row = self._rows.get((table, key))
        if (row.version if row else None) != expected:
            raise ConflictError(
                f"{table}/{key} has another version than expected", step="table"
            )

    def _write(self, table: str, key: str, value: Any) -> int:
        self._last_version += 1
        text = json.dumps(value, allow_nan=False)
        self._rows[table, key] = Row(key=key, version=self._last_version, value=text)
        return self._last_version

    def _insert(self, table: str, insert: Insert) -> InsertResult:
        row = self._rows.get((table, insert.key))
        if row is None:
            self._write(table, insert.key, insert.value)
        value = json.loads(self._rows[table, insert.key].value)
        return InsertResult(key=insert.key, inserted=row is None, value=value)


def _copy(row: Row) -> Row:
    """Return a copy of a row with its value, which is stored as JSON text, decoded."""
    return replace(row, value=json.loads(row.value))
