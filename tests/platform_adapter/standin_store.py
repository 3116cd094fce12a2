"""A stand-in for the platform's metadata store, with injected faults."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import h11

from baobabwing.exceptions import ConnectionLostError, MalformedError
from baobabwing.gateway.connection import HttpConnection
from baobabwing.gateway.listener import Listener

__all__ = ["StandinStore", "StoreSnapshot", "StoreFault"]

_MAX_HEAD_BYTES = 65_536
_PAGE_ROWS = 500
_READ_ONLY = ("op", "servers")


class StoreFault(Enum):
    """Fault that the store injects into calls."""

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    SILENT = "silent"
    RESET = "reset"
    LOSE_ANSWERS = "lose_answers"
    READ_ONLY = "read_only"


@dataclass(frozen=True, kw_only=True)
class _Entry:
    table: str
    key: str
    value: str | None
    ver: int

    def encode(self) -> dict[str, Any]:
        row = {"table": self.table, "part": "", "key": self.key, "ver": self.ver}
        if self.value is None:
            return {**row, "tombstone": True}
        return {**row, "value": self.value}


@dataclass(frozen=True, kw_only=True)
class StoreSnapshot:
    """All rows as they were at one version."""

    version: int
    rows: dict[tuple[str, str], _Entry]


class StandinStore:
    """Rows in memory, one version counter, and long polls for changes.

    :ivar era: incremented by each restore from a snapshot.
    :ivar era_text: returns what the header of each answer says of the era; ``None``
        for no such header.
    """

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.era = 1
        self.era_text: Callable[[int], str | None] = str
        self.calls: list[str] = []
        self._version = 0
        self._rows: dict[tuple[str, str], _Entry] = {}
        self._history: list[_Entry] = []
        self._history_from = 0
        self._changed = asyncio.Event()
        self._listener = Listener(serve=self._serve, head_bytes=lambda: _MAX_HEAD_BYTES)

    @property
    def address(self) -> str:
        """Address the store listens on, ``ip:port``."""
        return self._listener.address

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen on ``ip:port``."""
        await self._listener.start(address)

    def stop(self) -> None:
        """Stop listening and cut all connections."""
        self._listener.stop()

    def write(self, table: str, key: str, value: dict[str, Any] | None) -> int:
        """Write a row as the operator or a worker does; ``None`` removes it."""
        if value is None:
            return self._apply([(table, key, None)])
        return self.write_bytes(table, key, json.dumps(value).encode())

    def write_bytes(self, table: str, key: str, data: bytes) -> int:
        """Write a row that holds any bytes."""
        return self._apply([(table, key, base64.b64encode(data).decode())])

    def read(self, table: str, key: str) -> dict[str, Any] | None:
        """Return a row's value."""
        entry = self._rows.get((table, key))
        return None if entry is None else json.loads(base64.b64decode(entry.value))

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table."""
        return sorted(key for name, key in self._rows if name == table)

    def forget_history(self) -> None:
        """Drop all changes so far; requests for them are answered with 410."""
        self._history.clear()
        self._history_from = self._version

    def take_snapshot(self) -> StoreSnapshot:
        """Return a snapshot of all rows as they are now."""
        return StoreSnapshot(version=self._version, rows=dict(self._rows))

    def restore(self, snapshot: StoreSnapshot, *, keep_calls: bool = False) -> None:
        """Restore a snapshot and begin an era: later writes are lost.

        Versions assigned since the snapshot are assigned again.

        :param keep_calls: keep waiting calls open; otherwise all connections are cut,
            as after a short outage.
        """
        self._rows = dict(snapshot.rows)
        self._version = snapshot.version
        self._history = [entry for entry in self._history if entry.ver <= self._version]
        self._history_from = min(self._history_from, self._version)
        self.era += 1
        if not keep_calls:
            self.cut_connections()
        self._wake_waiting_calls()

    def cut_connections(self) -> None:
        """Cut all connections."""
        self._listener.cut()

    def _apply(self, rows: list[tuple[str, str, str | None]]) -> int:
        self._version += 1
        for table, key, value in rows:
            entry = _Entry(table=table, key=key, value=value, ver=self._version)
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = entry
            self._history.append(entry)
        self._wake_waiting_calls()
        return self._version

    def _wake_waiting_calls(self) -> None:
        """Wake the calls that wait for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, conn: HttpConnection) -> None:
        with contextlib.suppress(ConnectionLostError, MalformedError):
            try:
                while await self._serve_request(conn):
                    conn.http.start_next_cycle()
            finally:
                conn.abort()

    async def _serve_request(self, conn: HttpConnection) -> bool:
        request = await conn.next_event()
        if not isinstance(request, h11.Request):
            return False
        body = b""
        while isinstance(event := await conn.next_event(), h11.Data):
            body += bytes(event.data)
        target = request.target.decode()
        self.calls.append(f"{request.method.decode()} {target}")
        fault = self.fault
        if fault is StoreFault.RESET:
            return False
        if fault is StoreFault.SILENT:
            await asyncio.Event().wait()
        refuses = fault is StoreFault.READ_ONLY and request.method == b"POST"
        if refuses or fault in (StoreFault.BUSY, StoreFault.MANY):
            await self._send(conn, 429 if fault is StoreFault.MANY else 503, {})
            return True
        status, answer = await self._answer(target, body)
        if fault is StoreFault.LOSE_ANSWERS:
            return False
        await self._send(conn, status, answer)
        return True

    async def _answer(self, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        path, _, text = target.partition("?")
        query = {
            name: values[0] for name, values in urllib.parse.parse_qs(text).items()
        }
        if path == "/rows-get":
            return 200, self._read_page(query)
        if path == "/rows-feed":
            return await self._read_changes(query)
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _read_page(self, query: dict[str, str]) -> dict[str, Any]:
        start, end = query.get("from", ""), query.get("to")
        limit = int(query.get("limit", _PAGE_ROWS))
        matching = sorted(
            (
                entry
                for (table, key), entry in self._rows.items()
                if table == query["table"]
                and key >= start
                and (end is None or key < end)
            ),
            key=lambda entry: entry.key,
        )
        rows = [entry.encode() for entry in matching[:limit]]
        return self._with_version({"rows": rows, "has_more": len(matching) > limit})

    async def _read_changes(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if not self._history_from <= after <= self._version:
                return 410, {}
            changes = [
                entry.encode()
                for entry in self._history
                if entry.table == query["table"] and entry.ver > after
            ]
            left_s = until - time.monotonic()
            if changes or left_s <= 0:
                return 200, self._with_version({"rows": changes})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        writes = [*call["puts"], *call["remove"]]
        if any(row["table"] in _READ_ONLY for row in writes):
            return 403, {}
        unmet = []
        for row in call["precondition"]:
            entry = self._rows.get((row["table"], row["key"]))
            if (entry.ver if entry else 0) != row["ver"]:
                unmet.extend([entry.encode()] if entry else [])
                return 412, self._with_version({"rows": unmet})
        rows = [(row["table"], row["key"], row.get("value")) for row in writes]
        self._apply(rows)
        return 200, self._with_version({})

    def _with_version(self, answer: dict[str, Any]) -> dict[str, Any]:
        return {**answer, "ver": self._version, "now_ms": int(time.monotonic() * 1000)}

    async def _send(
        self, conn: HttpConnection, status: int, answer: dict[str, Any]
    ) -> None:
        data = json.dumps(answer).encode()
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(data)),
        ]
        era = self.era_text(self.era)
        if era is not None:
            headers.append((b"Store-Era", era.encode()))
        await conn.send(h11.Response(status_code=status, headers=headers))
        await conn.send(h11.Data(data=data))
        await conn.send(h11.EndOfMessage())
