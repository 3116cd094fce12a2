"""Records of where streams began, stored for nodes that start after all were killed.

While a pool has several versions, nodes tell each other where streams began. If all of
them are killed at once, only the store still knows. A record is written a moment after
its stream has begun; a stream whose record was not written in time is refused when its
caller takes it up.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from typing import Protocol

from baobabwing.exceptions import BaobabwingError
from baobabwing.gateway.decisions.stream_origins import BegunStreams, StreamOrigin
from baobabwing.gateway.events import ROW_UNREADABLE, STREAMS_UNSTORED
from baobabwing.gateway.placement.codec import decode, encode
from baobabwing.gateway.placement.messages import StreamRecord, StreamRecords
from baobabwing.reports.events import log

__all__ = ["RecordStore", "StreamArchive"]

# Interval between two writes of a node. Streams that began since the last one are
# refused after a kill of all nodes.
_WRITE_INTERVAL_S = 0.1
# A row holds what began within this time. A node has so many rows, written in turn;
# together they last longer than callers wait for a whole stream.
_ROW_S = 0.4
_ROWS = 80
# Records of one row: 27 kB, which a store of rows of 64 KiB takes in its encoding.
_MAX_PER_ROW = 1_500
# Streams that a node remembers to have written, so that none is written twice.
_MAX_REMEMBERED = 20_000
# A node that finds no record reads all rows again after this time at the earliest, or
# after the shorter one if the store did not answer.
_MIN_READ_INTERVAL_S = 2.0
_READ_RETRY_S = 0.5


class RecordStore(Protocol):
    """Where the records of all nodes are stored."""

    async def write(self, slot: int, data: bytes) -> None:
        """Write a row of this node.

        :raises BaobabwingError: if it may not have been written.
        """

    async def read(self) -> list[bytes]:
        """Read the rows of all nodes.

        :raises BaobabwingError: if the store does not answer.
        """


class StreamArchive:
    """Writes records of streams to a store, and reads those of all nodes.

    :ivar store: where records are stored; ``None`` if they are not.
    """

    def __init__(self) -> None:
        self.store: RecordStore | None = None
        self._pending: OrderedDict[int, StreamRecord] = OrderedDict()
        self._written: OrderedDict[int, None] = OrderedDict()
        self._dropped = 0
        self._slot = -1
        self._row: dict[int, StreamRecord] = {}
        self._found = BegunStreams()
        self._reading = asyncio.Lock()
        self._read_from = float("-inf")

    def add(self, record: StreamRecord) -> None:
        """Have a record written, unless it was; the oldest ones make room."""
        if self.store is None or record.stream in self._written:
            return
        self._pending[record.stream] = record
        if len(self._pending) > _MAX_PER_ROW:
            self._pending.popitem(last=False)
            self._dropped += 1

    async def run(self) -> None:
        """Write records for as long as the node runs."""
        while True:
            await asyncio.sleep(_WRITE_INTERVAL_S)
            if self._pending:
                await self._write()

    async def _write(self) -> None:
        # By the time of day, so that a node that starts again does not overwrite its
        # latest rows.
        slot = int(time.time() / _ROW_S) % _ROWS
        if slot != self._slot:
            self._slot, self._row = slot, {}
        row = self._row | self._pending
        records = tuple(row.values())[-_MAX_PER_ROW:]
        self._dropped += len(row) - len(records)
        if self._dropped:
            log(STREAMS_UNSTORED, streams=self._dropped, reason="too many")
            self._dropped = 0
        try:
            await self.store.write(slot, encode(StreamRecords(records=records)))
        except BaobabwingError as exc:
            log(STREAMS_UNSTORED, streams=len(self._pending), reason=str(exc))
            return
        self._row = row
        for stream in row:
            self._pending.pop(stream, None)
            self._written[stream] = None
        while len(self._written) > _MAX_REMEMBERED:
            self._written.popitem(last=False)

    async def find(self, stream: int) -> StreamOrigin | None:
        """Return where a stream began by the stored records; ``None`` if unknown."""
        async with self._reading:
            now = time.monotonic()
            origin = self._found.find(stream, now)
            if origin is None and self.store is not None and now >= self._read_from:
                await self._read()
                origin = self._found.find(stream, time.monotonic())
            return origin

    async def _read(self) -> None:
        try:
            rows = await self.store.read()
        except BaobabwingError as exc:
            log(STREAMS_UNSTORED, streams=0, reason=str(exc))
            self._read_from = time.monotonic() + _READ_RETRY_S
            return
        now = time.monotonic()
        self._read_from = now + _MIN_READ_INTERVAL_S
        self._found.expire(now)
        for data in rows:
            try:
                message = decode(data)
                if not isinstance(message, StreamRecords):
                    raise ValueError("not records of streams")
            except (BaobabwingError, ValueError) as exc:
                log(ROW_UNREADABLE, row="records of streams", error=repr(exc))
                continue
            for record in message.records:
                self._found.add(record.stream, record.origin, now + record.left_s)
