"""Records of streams are written to a store, and read by nodes that start."""

import asyncio

import pytest

from baobabwing.exceptions import ConnectionLostError
from baobabwing.gateway import stream_archive
from baobabwing.gateway.decisions.stream_origins import StreamOrigin
from baobabwing.gateway.placement.messages import StreamRecord
from baobabwing.gateway.stream_archive import StreamArchive

ORIGIN = StreamOrigin(pool=1, software=2)


class Rows:
    def __init__(self):
        self.rows = {}
        self.lost = False
        self.reads = 0

    async def write(self, slot, data):
        if self.lost:
            raise ConnectionLostError("away", step="write", peer="store")
        self.rows[slot] = data

    async def read(self):
        self.reads += 1
        if self.lost:
            raise ConnectionLostError("away", step="read", peer="store")
        return [b"", b"Sxx", b"\xff", *self.rows.values()]


def record(stream):
    return StreamRecord(stream=stream, origin=ORIGIN, left_s=10.0)


@pytest.mark.parametrize("lost_first", [False, True])
def test_records_that_were_written_are_found_by_a_node_that_starts(
    monkeypatch, lost_first
):
    monkeypatch.setattr(stream_archive, "_WRITE_INTERVAL_S", 0.01)

    async def scenario():
        writer, reader, rows = StreamArchive(), StreamArchive(), Rows()
        writer.store = reader.store = rows
        task = asyncio.ensure_future(writer.run())
        rows.lost = lost_first
        writer.add(record(7))
        await asyncio.sleep(0.05)
        rows.lost = False
        async with asyncio.timeout(5.0):
            while not rows.rows:
                await asyncio.sleep(0.01)
        written = dict(rows.rows)
        writer.add(record(7))
        await asyncio.sleep(0.05)
        assert rows.rows == written
        found = await asyncio.gather(*(reader.find(one) for one in (7, 7, 8, 9)))
        assert found == [ORIGIN, ORIGIN, None, None]
        assert rows.reads == 1
        task.cancel()

    asyncio.run(scenario())


def test_store_that_does_not_answer_is_not_asked_for_each_stream():
    async def scenario():
        archive = StreamArchive()
        archive.store = Rows()
        archive.store.lost = True
        assert [await archive.find(one) for one in (7, 8)] == [None, None]
        assert archive.store.reads == 1

    asyncio.run(scenario())
