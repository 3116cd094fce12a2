"""Client of the table service."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import urlencode

from baobabwing.exceptions import ConflictError, PlatformError
from baobabwing.store.http import PlatformAnswer, PlatformHttp, quote

__all__ = ["Insert", "InsertResult", "Row", "TableClient", "Tables"]

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_JSON = {"Content-Type": "application/json"}


@dataclass(frozen=True, kw_only=True)
class Row:
    """A row as it was read.

    :param version: version number of the row, for compare-and-set.
    """

    key: str
    version: int
    value: Any


@dataclass(frozen=True, kw_only=True)
class Insert:
    """A row to be written if its key does not exist."""

    key: str
    value: Any


@dataclass(frozen=True, kw_only=True)
class InsertResult:
    """Result of an :class:`Insert`.

    :param inserted: whether the row was written; false if the key existed.
    :param value: current value of the row.
    """

    key: str
    inserted: bool
    value: Any


class Tables(Protocol):
    """Interface of a table service; :class:`TableClient` documents its errors."""

    def read(self, table: str, key: str) -> Row | None:
        """Read a row."""

    def put(self, table: str, key: str, value: Any, *, expected: int | None) -> int:
        """Write a row by compare-and-set."""

    def delete(self, table: str, key: str, *, expected: int) -> None:
        """Delete a row by compare-and-set."""

    def insert_many(
        self, table: str, inserts: Iterable[Insert]
    ) -> tuple[InsertResult, ...]:
        """Insert each row whose key does not exist."""

    def list_items(self, table: str, prefix: str = "") -> tuple[Row, ...]:
        """List rows whose keys start with a prefix."""


class TableClient:
    """Client of the platform's table service; safe to share between threads.

    Nothing is retried here, since only the caller knows whether a write may be
    repeated.

    :param url: base URL of the platform's HTTP interface.
    :param timeout_s: longest wait for the connection, and for the answer.
    """

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._http = PlatformHttp(url=url, timeout_s=timeout_s)

    def read(self, table: str, key: str) -> Row | None:
        """Read a row.

        :returns: the row, or ``None`` if it does not exist.
        :raises PlatformUnavailableError: if the service did not answer.
        """
        answer = self._http.send("GET", _path(table, key), step="table read")
        if answer.status == _NOT_FOUND:
            return None
        document = self._decode_document(answer, "table read")
        return self._row({"key": key, **document}, "table read")

    def put(self, table: str, key: str, value: Any, *, expected: int | None) -> int:
        """Write a row if its version is the expected one.

        :param expected: current version of the row; ``None`` if the row must not
            exist.
        :returns: the new version of the row.
        :raises ConflictError: if the row has another version, or exists although
            it must not.
        :raises PlatformUnavailableError: if the write had no effect.
        :raises PlatformUncertainError: if the write may have had effect.
        """
        answer = self._http.send(
            "PUT",
            _path(table, key),
            step="table put",
            body=_encode({"value": value}),
            headers=_JSON | _precondition(expected),
        )
        if answer.status == _PRECONDITION_FAILED:
            raise self._conflict(table, key, "table put")
        document = self._decode_document(answer, "table put")
        return self._require_field(document, "version", int, "table put")

    def delete(self, table: str, key: str, *, expected: int) -> None:
        """Delete a row if its version is the expected one.

        :raises ConflictError: if the row has another version or does not exist.
        :raises PlatformUnavailableError: if the call had no effect.
        :raises PlatformUncertainError: if the call may have had effect.
        """
        answer = self._http.send(
            "DELETE",
            _path(table, key),
            step="table delete",
            headers=_precondition(expected),
        )
        if answer.status in (_PRECONDITION_FAILED, _NOT_FOUND):
            raise self._conflict(table, key, "table delete")
        if answer.status not in (_OK, _NO_CONTENT):
            raise self._http.unexpected_answer(
                f"status {answer.status}", step="table delete"
            )

    def insert_many(
        self, table: str, inserts: Iterable[Insert]
    ) -> tuple[InsertResult, ...]:
        """Insert each row whose key does not exist, in one request.

        :returns: one result for each insert, in the same order.
        :raises PlatformUnavailableError: if the write had no effect.
        :raises PlatformUncertainError: if the write may have had effect.
        """
        rows = [{"key": insert.key, "value": insert.value} for insert in inserts]
        answer = self._http.send(
            "POST",
            f"/tables/{quote(table)}",
            step="table insert",
            body=_encode({"inserts": rows}),
            headers=_JSON,
        )
        document = self._decode_document(answer, "table insert")
        results = self._require_field(document, "results", list, "table insert")
        if len(results) != len(rows):
            raise self._http.unexpected_answer(
                "wrong number of results", step="table insert"
            )
        return tuple(
            InsertResult(
                key=self._require_field(result, "key", str, "table insert"),
                inserted=self._require_field(result, "inserted", bool, "table insert"),
                value=result.get("value"),
            )
            for result in results
        )

    def list_items(self, table: str, prefix: str = "") -> tuple[Row, ...]:
        """List rows whose keys start with a prefix.

        :raises PlatformUnavailableError: if the service did not answer.
        """
        query = urlencode({"prefix": prefix})
        path = f"/tables/{quote(table)}?{query}"
        answer = self._http.send("GET", path, step="table list")
        document = self._decode_document(answer, "table list")
        items = self._require_field(document, "items", list, "table list")
        return tuple(self._row(item, "table list") for item in items)

    def _decode_document(self, answer: PlatformAnswer, step: str) -> dict:
        if answer.status != _OK:
            raise self._http.unexpected_answer(f"status {answer.status}", step=step)
        return answer.json_object(step=step, peer=self._http.url)

    def _row(self, item: dict, step: str) -> Row:
        return Row(
            key=self._require_field(item, "key", str, step),
            version=self._require_field(item, "version", int, step),
            value=item.get("value"),
        )

    def _require_field(self, item: dict, name: str, field_type: type, step: str) -> Any:
        value = item.get(name) if isinstance(item, dict) else None
        if not isinstance(value, field_type):
            raise self._http.unexpected_answer(f"answer without {name}", step=step)
        return value

    def _conflict(self, table: str, key: str, step: str) -> ConflictError:
        return ConflictError(
            f"{table}/{key} has another version than expected",
            step=step,
            peer=self._http.url,
        )


def _path(table: str, key: str) -> str:
    return f"/tables/{quote(table)}/{quote(key)}"


def _precondition(expected: int | None) -> dict[str, str]:
    if expected is None:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected}"'}


def _encode(value: object) -> bytes:
    try:
        return json.dumps(value, allow_nan=False).encode()
    except (TypeError, ValueError) as exc:
        raise PlatformError(
            f"value cannot be written as JSON: {exc}", step="table"
        ) from exc
