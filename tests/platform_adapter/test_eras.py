"""Which answers of the store may be used."""

import asyncio

import pytest

from baobabwing.exceptions import PlatformUnavailableError, PlatformUncertainError
from baobabwing_platform.eras import EraError, StoreEras
from baobabwing_platform.store import StoreClient
from tests.platform_adapter.standin_store import StandinStore


def take(eras, text):
    return eras.accept(text, step="/rows-get", peer="store")


def test_each_change_is_told_once():
    eras = StoreEras()
    changes = []
    eras.on_change = lambda: changes.append(eras)
    assert [take(eras, text) for text in ("4", "4", "5", "5")] == [4, 4, 5, 5]
    eras.record(5, source="peer")
    eras.record(7, source="peer")
    assert len(changes) == 2


def test_store_that_names_no_era_is_used():
    eras = StoreEras()
    assert take(eras, None) == 0
    assert take(eras, None) == 0
    assert take(eras, "1") == 1


def test_late_answer_of_an_earlier_era_is_dropped():
    """The store came back from a copy, as a peer says; an answer from before arrives.

    It would bring back rows and a configuration that are gone.
    """
    eras = StoreEras()
    take(eras, "1")
    eras.record(2, source="peer")
    with pytest.raises(EraError):
        take(eras, "1")
    assert take(eras, "2") == 2


@pytest.mark.parametrize("text", [None, "", "two", "-1", "1.5", "²", " 2"])
def test_answer_without_an_era_is_refused_where_others_name_one(text):
    eras = StoreEras()
    take(eras, "1")
    with pytest.raises(EraError):
        take(eras, text)


def test_call_without_an_era_counts_as_unanswered():
    """A write may have been done all the same; a read has told nothing."""

    async def story():
        store = StandinStore()
        await store.start()
        client = StoreClient(address=store.address, eras=StoreEras())
        await client.put("fleet", "a", {"n": 1})
        store.era_text = lambda era: "none"
        with pytest.raises(PlatformUncertainError):
            await client.put("fleet", "a", {"n": 2})
        with pytest.raises(PlatformUnavailableError):
            await client.read_all("fleet")
        store.era_text = str
        found = await client.read_all("fleet")
        assert [row.value for row in found.rows] == [{"n": 2}]
        store.stop()
        await asyncio.sleep(0)

    asyncio.run(story())


def test_pages_of_two_eras_are_not_put_together():
    """The store comes back from a copy while a table of many rows is being read."""

    async def story():
        store = StandinStore()
        await store.start()
        for number in range(600):
            store.write("servers", f"i-{number:05}", {"n": number})
        snapshot = store.take_snapshot()
        client = StoreClient(address=store.address, eras=StoreEras())
        exchange = client._exchange

        async def restored_after(*call):
            answer = await exchange(*call)
            if store.era == 1:
                store.restore(snapshot)
            return answer

        client._exchange = restored_after
        with pytest.raises(PlatformUnavailableError):
            await client.read_all("servers")
        assert len((await client.read_all("servers")).rows) == 600
        store.stop()
        await asyncio.sleep(0)

    asyncio.run(story())
