"""Answers of the store that are longer than any that is sound."""

import asyncio

import pytest

from baobabwing.exceptions import PlatformError
from baobabwing.gateway import foreign_values
from baobabwing_platform import store
from baobabwing_platform.eras import StoreEras
from baobabwing_platform.store import StoreClient
from baobabwing_platform.watching import TableWatch
from tests.gateway.endless_server import HEADS, EndlessServer
from tests.platform_adapter.standin_store import StandinStore
from tests.platform_adapter.test_store import eventually


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
@pytest.mark.parametrize(
    "call",
    [
        lambda client: client.read_all("servers"),
        lambda client: client.changes("servers", 1, 0.0),
        lambda client: client.put("fleet", "n", {}),
    ],
    ids=["page", "changes", "write"],
)
def test_answer_without_end_is_not_kept(head, call):
    async def story():
        async with EndlessServer(head) as endless:
            client = StoreClient(
                address=endless.address, eras=StoreEras(), timeout_s=20.0
            )
            with pytest.raises(PlatformError):
                await call(client)
            assert endless.sent <= store._MAX_ANSWER_BYTES + 8 * 1024 * 1024

    asyncio.run(story())


@pytest.mark.parametrize(
    ("module", "bound", "most"),
    [
        (store, "_MAX_ANSWER_BYTES", 200_000),
        (foreign_values, "_MAX_VALUES", 4000),
    ],
)
def test_changes_too_long_for_one_answer_are_read_page_by_page(
    monkeypatch, module, bound, most
):
    monkeypatch.setattr(module, bound, most)

    async def story():
        standin, looks = StandinStore(), []
        await standin.start()
        standin.write("servers", "first", {"n": 0})
        client = StoreClient(address=standin.address, eras=StoreEras())
        watch = TableWatch(table="servers", client=client, on_snapshot=looks.append)
        task = asyncio.ensure_future(watch.run())
        await eventually(lambda: looks, "first look")
        for number in range(1200):
            standin.write("servers", f"i-{number:05}", {"n": number, "x": "x" * 100})
        await eventually(lambda: len(looks[-1].rows) == 1201, "all rows")
        reads = sum("rows-get" in call for call in standin.calls)
        standin.write("servers", "last", {"n": 0})
        await eventually(lambda: "last" in looks[-1].rows, "a change after them")
        assert reads == 4
        assert sum("rows-get" in call for call in standin.calls) == reads
        task.cancel()
        client.close()
        standin.stop()
        await asyncio.sleep(0)

    asyncio.run(story())


@pytest.mark.parametrize(
    "odd",
    ["[" * 100_000 + "]" * 100_000, "[" * 100_000, f"[{'[],' * 500_000}1]"],
    ids=["deep", "open", "many"],
)
def test_answer_that_fills_the_memory_once_decoded_is_refused(odd):
    async def story():
        async with EndlessServer(HEADS["close"]) as server:
            text = f'{{"rows": [], "ver": 1, "x": {odd}}}'
            server.body = text.encode()
            client = StoreClient(
                address=server.address, eras=StoreEras(), timeout_s=20.0
            )
            with pytest.raises(PlatformError):
                await client.read_all("servers")

    asyncio.run(story())


class PagesWithoutEnd(StandinStore):
    """Says of each page that more follow.

    :ivar advance: whether a page has other rows than the one before.
    """

    def __init__(self, *, advance):
        super().__init__()
        self.advance, self.pages = advance, 0

    async def _answer(self, target, body):
        self.pages += 1
        key = f"i-{self.pages if self.advance else 0:09}"
        row = {"table": "servers", "part": "", "key": key, "ver": 1, "value": "e30="}
        answer = {"rows": [row], "ver": 1, "has_more": True, "x": "x" * 1_000_000}
        return 200, answer


@pytest.mark.parametrize("advance", [True, False])
def test_table_without_end_is_not_kept(advance):
    async def story():
        standin = PagesWithoutEnd(advance=advance)
        await standin.start()
        client = StoreClient(address=standin.address, eras=StoreEras(), timeout_s=20.0)
        with pytest.raises(PlatformError):
            async with asyncio.timeout(20):
                await client.read_all("servers")
        assert standin.pages <= 40
        client.close()
        standin.stop()
        await asyncio.sleep(0)

    asyncio.run(story())
