"""The versions of services' workers, as kept for nodes that start."""

import asyncio
import random

from baobabwing.gateway.position import Position
from baobabwing_platform import software_rows
from baobabwing_platform.eras import StoreEras
from baobabwing_platform.software_rows import SoftwareRows
from baobabwing_platform.store import StoreClient
from tests.platform_adapter.standin_store import StandinStore, StoreFault

KEY = "software/engines"


def with_rows(monkeypatch, story, *, delay_s=0.0, may_write=lambda: True):
    monkeypatch.setattr(software_rows, "_MIN_DELAY_S", delay_s)
    monkeypatch.setattr(software_rows, "_MAX_DELAY_S", delay_s + 0.02)
    monkeypatch.setattr(software_rows, "_RETRY_S", 0.02)

    async def scenario():
        store = StandinStore()
        await store.start()
        listed = {"engines": frozenset({"v1"}), "empty": frozenset()}
        rows = [
            SoftwareRows(
                client=StoreClient(address=store.address, eras=StoreEras()),
                table="fleet",
                listed=lambda: listed,
                may_write=may_write,
                on_stored=lambda stored, position: None,
                rng=random.Random(seed),
            )
            for seed in range(3)
        ]
        tasks = [asyncio.ensure_future(one.run()) for one in rows]
        async with asyncio.timeout(10.0):
            await story(store, listed, rows)
        for task in tasks:
            task.cancel()
        store.stop()

    asyncio.run(scenario())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def listed_in(store):
    row = store.read("fleet", KEY)
    return row and row["listed"]


def test_nodes_write_each_change_once(monkeypatch):
    async def story(store, listed, rows):
        for one in rows:
            one.check()
        await until(lambda: listed_in(store) == ["v1"])
        listed["engines"] = frozenset({"v1", "v2"})
        for one in rows:
            one.check()
        await until(lambda: listed_in(store) == ["v1", "v2"])
        await until(lambda: not any(one._outdated() for one in rows))
        written = [call for call in store.calls if "rows-tx" in call]
        assert len(written) <= 2 * len(rows)
        assert store.read("fleet", "software/empty") is None

    with_rows(monkeypatch, story)


def test_change_is_written_once_the_store_is_back(monkeypatch):
    async def story(store, listed, rows):
        store.fault = StoreFault.BUSY
        rows[0].check()
        await asyncio.sleep(0.1)
        assert listed_in(store) is None
        store.fault = StoreFault.NONE
        await until(lambda: listed_in(store) == ["v1"])

    with_rows(monkeypatch, story)


def test_change_is_written_by_a_node_that_follows_the_store_later(monkeypatch):
    """A node that did not follow the store at that moment never wrote its change."""
    asked = []

    def may_write():
        asked.append(True)
        return len(asked) > 1

    async def story(store, listed, rows):
        rows[0].check()
        await until(lambda: listed_in(store) == ["v1"])

    with_rows(monkeypatch, story, may_write=may_write)


def test_version_that_is_held_is_written_without_the_usual_delay(monkeypatch):
    async def story(store, listed, rows):
        value = {"listed": ["v1"], "gone": {}, "since_s": 0.0}
        position = Position(version=store.write("fleet", KEY, value))
        rows[0].take(listed, position)
        listed["engines"] = frozenset({"v1", "v2"})
        rows[0].check()
        await until(lambda: listed_in(store) == ["v1", "v2"])

    with_rows(monkeypatch, story, delay_s=60.0)


def test_nodes_that_list_different_versions_do_not_keep_writing(monkeypatch):
    """Each read after its write that the other one had written, and wrote at once."""

    async def story(store, listed, rows):
        value = {"listed": ["v1"], "gone": {}, "since_s": 0.0}
        position = Position(version=store.write("fleet", KEY, value))
        rows[1]._listed = lambda: {"engines": frozenset({"v2"})}
        rows[0]._on_stored, rows[1]._on_stored = rows[1].take, rows[0].take
        rows[0].take(listed, position)

        def writes():
            return sum("rows-tx" in call for call in store.calls)

        await until(writes)
        await asyncio.sleep(0.5)
        assert writes() < 30

    with_rows(monkeypatch, story, delay_s=60.0)


def test_node_that_hears_of_a_write_reads_no_rows(monkeypatch):
    async def story(store, listed, rows):
        rows[0].check()
        rows[0].take(dict(listed), Position(version=1))
        await asyncio.sleep(0.1)
        assert store.calls == []

    with_rows(monkeypatch, story)
