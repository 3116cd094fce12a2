"""Orders to roll out versions, and the rows with their state."""

import asyncio
from types import SimpleNamespace

import pytest

from baobabwing.exceptions import ConflictError
from baobabwing.gateway.decisions.rollouts import RolloutPhase
from baobabwing.gateway.model import RolloutOrder
from baobabwing_platform.eras import StoreEras
from baobabwing_platform.rollout_rows import (
    OrderRows,
    RolloutRows,
    decode_orders,
    encode_orders,
)
from baobabwing_platform.store import Row, StoreClient
from tests.platform_adapter.standin_store import StandinStore, StoreFault

KEY = "rollout/services"
ORDER = RolloutOrder(pool="services", number=9, version="v2", duration_s=12.0)
VALUE = {"service": "services", "to": "v2", "duration_s": 12}


def rows(value, version=9, key=KEY):
    return {
        key: Row(key=key, version=version, value=value),
        "config": Row(key="config", version=1, value={}),
    }


def test_order_is_decoded_and_passed_on():
    orders = OrderRows().decode(rows(VALUE))
    assert orders == [ORDER]
    assert decode_orders(encode_orders(orders)) == orders


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        {},
        VALUE | {"service": "others"},
        VALUE | {"to": ""},
        VALUE | {"to": 2},
        VALUE | {"duration_s": "12"},
        VALUE | {"duration_s": True},
        VALUE | {"duration_s": 0},
        VALUE | {"duration_s": float("nan")},
        {"service": "services", "to": "v2"},
    ],
)
def test_unreadable_order_leaves_the_earlier_one(value):
    decoder = OrderRows()
    assert decoder.decode(rows(value)) == []
    decoder.decode(rows(VALUE))
    assert decoder.decode(rows(value, version=12)) == [ORDER]


@pytest.mark.parametrize("data", [b"", b"{}x", b"[[1]]", b'[["p", 1, "v", -1]]', b"7"])
def test_malformed_document_of_orders_is_refused(data):
    with pytest.raises(ValueError):
        decode_orders(data)


class Exchange:
    """What is stored, as the writer passes it on."""

    def __init__(self):
        self.found = []
        self.open = []

    def undecided(self):
        return self.open

    def stored(self, order, phase, now):
        self.found.append(phase)


def with_rows(story):
    async def play():
        store, exchange = StandinStore(), Exchange()
        await store.start()
        client = StoreClient(address=store.address, eras=StoreEras())
        writer = RolloutRows(client=client, exchange=exchange, table="fleet")
        task = asyncio.ensure_future(writer.run())
        try:
            async with asyncio.timeout(10.0):
                await story(
                    SimpleNamespace(store=store, exchange=exchange, rows=writer)
                )
        finally:
            task.cancel()
            client.close()
            store.stop()

    asyncio.run(play())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_state_is_written_for_the_operator_and_for_nodes_that_start():
    async def story(one):
        one.rows.schedule_write(ORDER, RolloutPhase.CANARY)
        await until(lambda: RolloutPhase.CANARY in one.exchange.found)
        assert one.store.read("status", KEY) == {"state": "running", "to": "v2"}
        one.rows.schedule_write(ORDER, RolloutPhase.DONE)
        await until(lambda: RolloutPhase.DONE in one.exchange.found)
        assert one.store.read("status", KEY) == {"state": "done", "to": "v2"}
        assert one.store.read("fleet", KEY) == {"state": "done", "order": 9}

    with_rows(story)


def test_first_verdict_stays():
    async def story(one):
        one.store.write("fleet", KEY, {"state": "rolled_back", "order": 9})
        one.rows.schedule_write(ORDER, RolloutPhase.DONE)
        await until(lambda: RolloutPhase.ROLLED_BACK in one.exchange.found)
        assert one.store.read("fleet", KEY) == {"state": "rolled_back", "order": 9}
        assert one.store.read("status", KEY) is None

    with_rows(story)


def test_verdict_on_an_earlier_order_is_replaced_and_one_on_a_later_order_stays():
    async def story(one):
        one.store.write("fleet", KEY, {"state": "done", "order": 4})
        one.rows.schedule_write(ORDER, RolloutPhase.ROLLED_BACK)
        await until(lambda: RolloutPhase.ROLLED_BACK in one.exchange.found)
        one.store.write("fleet", KEY, {"state": "running", "order": 11})
        one.rows.schedule_write(ORDER, RolloutPhase.DONE)
        await until(lambda: one.exchange.found[-1] is None)
        assert one.store.read("fleet", KEY) == {"state": "running", "order": 11}

    with_rows(story)


def test_state_is_written_once_the_store_is_back():
    async def story(one):
        one.store.fault = StoreFault.BUSY
        one.rows.schedule_write(ORDER, RolloutPhase.ROLLED_BACK)
        await until(lambda: len(one.store.calls) > 2)
        one.store.fault = StoreFault.NONE
        await until(lambda: RolloutPhase.ROLLED_BACK in one.exchange.found)
        assert one.store.read("status", KEY) == {"state": "rolled_back", "to": "v2"}

    with_rows(story)


def test_verdict_of_another_node_is_read_while_there_is_none():
    async def story(one):
        one.exchange.open = [ORDER]
        one.rows.schedule_write(ORDER, RolloutPhase.CANARY)
        await until(lambda: RolloutPhase.CANARY in one.exchange.found)
        one.store.write("fleet", KEY, {"state": "done", "order": 9})
        await until(lambda: RolloutPhase.DONE in one.exchange.found)

    with_rows(story)


def test_rows_are_written_together_or_not_at_all():
    async def story(one):
        client = StoreClient(address=one.store.address, eras=StoreEras())
        one.store.write("fleet", "a", {"n": 1})
        with pytest.raises(ConflictError):
            await client.put_rows(
                [("status", "b", {}), ("fleet", "a", {"n": 2})],
                expected=[("fleet", "a", 0)],
            )
        client.close()
        assert one.store.read("status", "b") is None
        assert one.store.read("fleet", "a") == {"n": 1}

    with_rows(story)
