"""Rows of other writers: left out with a reason, while all others are followed."""

import asyncio
import base64
import json

import pytest

from baobabwing.gateway.document_distribution import Document, DocumentName
from baobabwing.gateway.position import Position
from baobabwing.reports import events
from baobabwing_platform import settings_file
from baobabwing_platform.eras import StoreEras
from baobabwing_platform.node import PlatformNode
from baobabwing_platform.store import StoreClient, _row
from baobabwing_platform.watching import TableSnapshot
from tests.platform_adapter import demo
from tests.platform_adapter.standin_store import StandinStore
from tests.platform_adapter.test_documents import WORKER
from tests.platform_adapter.test_store import Followed, eventually

SURROGATE = '"\\ud800"'
# What a field may hold, as JSON.
ODD = {
    "lists-40": "[" * 40 + "]" * 40,
    "lists-900": "[" * 900 + "]" * 900,
    "lists-100000": "[" * 100_000 + "]" * 100_000,
    "objects-300": '{"a":' * 300 + "1" + "}" * 300,
    **{f"digits-{count}": "7" * count for count in (20, 400, 4300, 5000)},
    "negative": "-" + "7" * 400,
    "infinite": "1e999",
    "minus-infinite": "-1e999",
    "nan": "NaN",
    "constant": "Infinity",
    "surrogate": SURROGATE,
    "surrogate-inside": '"a\\udfffb"',
    "surrogate-key": '{"\\udc00": 1}',
    "lines": '"a\\r\\nX: y"',
    "zero": '"a\\u0000"',
    "spaces": '" "',
    "long": '"' + "x" * 100_000 + '"',
    "port-0": '"10.0.0.9:0"',
    "port-minus": '"10.0.0.9:-1"',
    "port-70000": '"10.0.0.9:70000"',
    "port-digits": '"10.0.0.9:' + "9" * 5000 + '"',
    "null": "null",
    "true": "true",
    "zero-number": "0",
    "fraction": "1.5",
    "list": "[]",
    "object": '{"a": []}',
}
VALUES = [b"", b"\xff\xfe", b"null", b"[]", b"7", b'"\\ud800"', b"{", b"[" * 100_000]
MANY = b'{"a": [' + b"[]," * 500_000 + b"1]}"
KEYS = ["", " a", "\ud800", "a\udfff", "a\r\nb", "a\0", "k" * 100_000]
PLACES = pytest.mark.parametrize("key", ["a-odd", "z-odd"])
STARTS = pytest.mark.parametrize("at_start", [True, False])
FORMS = pytest.mark.parametrize("form", ODD)


class Lines:
    """Stands in for the outlet of log lines."""

    def __init__(self):
        self.lines = []

    def offer(self, *, name, fields, **more):
        json.dumps(fields, default=repr).encode()
        self.lines.append((name, fields))

    def named(self, row):
        return [name for name, fields in self.lines if fields.get("row") == row]


@pytest.fixture
def lines(monkeypatch):
    taken = Lines()
    monkeypatch.setattr(events, "_OUTLETS", [taken])
    return taken


def data_with(value, field, form):
    """Return a row's bytes with an odd field."""
    text = json.dumps(value | {field: "ODD-FIELD"})
    return text.replace('"ODD-FIELD"', ODD[form]).encode()


class Table:
    """Rows of one table, as the store answers them."""

    def __init__(self):
        self.rows, self._version = {}, 0

    def put(self, key, data):
        value = data if isinstance(data, bytes) else json.dumps(data).encode()
        self.put_item(key, {"value": base64.b64encode(value).decode()})

    def put_item(self, key, item):
        self._version += 1
        self.rows[key] = _row({"key": key, "ver": self._version, **item})

    def snapshot(self):
        position = Position(version=self._version)
        return TableSnapshot(
            rows=dict(self.rows), position=position, after_outage=False
        )


def new_node(tmp_path, store="127.0.0.1:9"):
    file = tmp_path / "node.conf"
    file.write_text(demo.settings_text(0, store))
    return PlatformNode(settings=settings_file.load(file))


def addresses(node):
    return {address for address, _ in node.gateway.state.listed()}


def follow_workers(node, at_start, put_odd):
    """Write workers and an odd row, and have one of the workers replaced afterwards."""
    table = Table()
    puts = [
        lambda: [table.put(f"m-{n}", sound_worker(n)) for n in range(3)],
        put_odd(table),
    ]
    for put in reversed(puts) if at_start else puts:
        put()
        if not at_start:
            node._handle_workers_table(table.snapshot())
    node._handle_workers_table(table.snapshot())
    table.put("m-1", sound_worker(7) | {"born": WORKER["born"] + 1})
    node._handle_workers_table(table.snapshot())


def sound_worker(number):
    return {**WORKER, "address": f"10.0.0.{number + 1}:80"}


SOUND = {"10.0.0.1:80", "10.0.0.8:80", "10.0.0.3:80"}


@FORMS
@pytest.mark.parametrize("field", [*WORKER, "unknown"])
@PLACES
@STARTS
def test_odd_row_of_a_worker_stops_no_list(tmp_path, lines, form, field, key, at_start):
    """Nodes stopped following the list, and sent to workers that had been replaced."""
    row = sound_worker(8)

    async def story():
        node = new_node(tmp_path)
        put = lambda table: lambda: table.put(key, data_with(row, field, form))  # noqa: E731
        follow_workers(node, at_start, put)
        used = addresses(node)
        assert used - {row["address"]} == SOUND
        left_out = row["address"] not in used
        assert len(lines.named(key)) == left_out
        # Numbers of other types mean that a version can't be ordered.
        if "surrogate" in form or field not in ("version", "unknown", *UNUSED):
            assert left_out or is_sound(field, form)

    asyncio.run(story())


UNUSED = ("cold_remaining_ms",)


def is_sound(field, form):
    if field in ("service", "zone") and form.startswith("port-"):
        return True
    return (field, form) == ("sequence", "zero-number")


def test_version_of_an_odd_row_is_reported_and_counted_once(tmp_path, lines):
    async def story():
        node, table = new_node(tmp_path), Table()
        for number, value in enumerate([b"{", b"{", b"[]", sound_worker(1), b"[]"]):
            table.put("odd", value)
            table.put("m-0", sound_worker(0) | {"slots": number + 1})
            node._handle_workers_table(table.snapshot())
        assert len(lines.named("odd")) == 3
        assert node.gateway.metrics.unreadable_rows.labels("servers").value == 3

    asyncio.run(story())


@pytest.mark.parametrize("data", VALUES)
@PLACES
@STARTS
def test_odd_value_stops_no_list(tmp_path, lines, data, key, at_start):
    async def story():
        node = new_node(tmp_path)
        follow_workers(node, at_start, lambda table: lambda: table.put(key, data))
        assert addresses(node) == SOUND
        assert lines.named(key) == ["upstream_unreadable"]

    asyncio.run(story())


@pytest.mark.parametrize("item", [{}, {"value": 7}, {"value": "%"}, {"value": "é"}])
@STARTS
def test_value_that_is_no_base64_stops_no_list(tmp_path, lines, item, at_start):
    async def story():
        node = new_node(tmp_path)
        put = lambda table: lambda: table.put_item("odd", item)  # noqa: E731
        follow_workers(node, at_start, put)
        assert addresses(node) == SOUND
        assert lines.named("odd") == ["upstream_unreadable"]

    asyncio.run(story())


@pytest.mark.parametrize("key", KEYS)
@STARTS
def test_odd_key_stops_no_list(tmp_path, lines, key, at_start):
    async def story():
        node = new_node(tmp_path)
        put = lambda table: lambda: table.put(key, sound_worker(8))  # noqa: E731
        follow_workers(node, at_start, put)
        assert addresses(node) == SOUND
        assert lines.named(key) == ["upstream_unreadable"]

    asyncio.run(story())


@FORMS
@pytest.mark.parametrize("field", ["service", "to", "duration_s", "unknown"])
@PLACES
def test_odd_order_stops_no_configuration(tmp_path, lines, form, field, key):
    """A configuration after an odd order was never in force."""
    order = {"service": key, "to": "v2", "duration_s": 12}

    async def story():
        node, table = new_node(tmp_path), Table()
        table.put("config", demo.configuration(1))
        table.put(f"rollout/{key}", data_with(order, field, form))
        node._handle_operator_table(table.snapshot())
        table.put("config", demo.configuration(2))
        node._handle_operator_table(table.snapshot())
        assert node.gateway.state.version == 2
        assert len(lines.named(f"rollout/{key}")) <= 1
        if "surrogate" in form:
            assert lines.named(f"rollout/{key}") == ["rollout_unreadable"]

    asyncio.run(story())


@FORMS
@pytest.mark.parametrize("part", ["routes", "services", "tenants"])
def test_odd_configuration_leaves_the_earlier_one(tmp_path, lines, form, part):
    """A name that can't be encoded ended the task that follows the table."""

    async def story():
        node, table = new_node(tmp_path), Table()
        table.put("config", demo.configuration(1))
        node._handle_operator_table(table.snapshot())
        for field in demo.configuration(2)[part][0]:
            odd = demo.configuration(2)
            odd[part][0][field] = "ODD-FIELD"
            text = json.dumps(odd).replace('"ODD-FIELD"', ODD[form])
            table.put("config", text.encode())
            node._handle_operator_table(table.snapshot())
            left_out = node.gateway.state.version == 1
            assert left_out or "surrogate" not in form
            if left_out:
                assert lines.lines[-1][0] == "configuration_unreadable"
                reported = len(lines.lines)
                table.put("other", {})
                node._handle_operator_table(table.snapshot())
                assert len(lines.lines) == reported
        table.put("config", demo.configuration(3))
        node._handle_operator_table(table.snapshot())
        assert node.gateway.state.version == 3

    asyncio.run(story())


SOFTWARE = {"listed": ["v1"], "gone": {"v0": 1.0}, "since_s": 1.0}
HELD = {"times": 1, "until_ms": 1_790_000_000_000}
VERDICT = {"order": 3, "state": "done"}
FLEET_ROWS = {
    "node/a": {"peer": "127.0.0.1:9", "zone": "z", "era": 1, "seen_s": 1.0},
    "held/0a": HELD,
    "part/0a": HELD,
    "rollout/p": VERDICT,
    "software/p": SOFTWARE,
}
FLEET_KEYS = ["node/\ud800", f"held/{'f' * 40}", "held/-1", "part/\ud800", "held/x"]
FLEET_KEYS += ["rollout/\ud800", "software/\ud800", "software/", "odd", "\ud800"]


def all_odd(value):
    return [data_with(value, field, form) for field in value for form in ODD]


@pytest.mark.parametrize("key", FLEET_ROWS)
def test_odd_rows_of_the_own_table_stop_nothing(tmp_path, lines, key):
    """A node that starts goes on to write its own row, and hears of the others."""

    async def story():
        store = StandinStore()
        await store.start()
        for number, data in enumerate(all_odd(FLEET_ROWS[key])):
            name = f"{key}{number:04}" if "0a" not in key else f"{key}{number:04x}"
            store.write_bytes("fleet", name, data)
        for odd in FLEET_KEYS:
            value = FLEET_ROWS.get(odd[:4] + "/a", FLEET_ROWS[key])
            store.write("fleet", odd, value)
        store.write("fleet", "node/zz", FLEET_ROWS["node/a"])
        node = new_node(tmp_path, store.address)
        task = asyncio.ensure_future(node._sync_fleet_table())
        own = "node/front-z-0"
        await eventually(lambda: task.done() or own in store.keys("fleet"))
        assert not task.done()
        assert "zz" in {host.name for host in node.gateway.members._candidates}
        for odd in FLEET_KEYS:
            assert len(lines.named(odd)) == 1
        task.cancel()
        store.stop()
        await asyncio.sleep(0)

    asyncio.run(story())


def test_odd_records_of_streams_stop_no_reading(tmp_path, lines):
    async def story():
        store = StandinStore()
        await store.start()
        for number, data in enumerate(all_odd({"records": "AA=="})):
            store.write_bytes("streams", f"x/{number}", data)
        node = new_node(tmp_path, store.address)
        for _ in range(2):
            rows = await node.gateway.origins.archive.store.read()
        reported = [name for name, _ in lines.lines if name == "row_unreadable"]
        assert len(reported) + len(rows) == len(ODD)
        store.stop()
        await asyncio.sleep(0)

    asyncio.run(story())


@pytest.mark.parametrize("data", [SURROGATE.encode(), b'{"version": "\\udc80"}'])
def test_watch_goes_on_past_odd_rows(data):
    """The row stands in the middle of many pages, also under an odd key."""

    async def story():
        async with Followed() as one:
            one.store.write_bytes("servers", "a-odd", data)
            one.store.write_bytes("servers", "\ud800", data)
            one.store.write("servers", "z", {"n": 1})
            await eventually(lambda: one.rows.get("z") == {"n": 1})
            assert one.rows["a-odd"] is None
            assert one.rows["\ud800"] is None

    asyncio.run(story())


@pytest.mark.parametrize("count", [499, 500, 501])
def test_odd_key_at_the_end_of_a_page_hides_no_later_page(count):
    async def story():
        store = StandinStore()
        await store.start()
        for number in range(count - 1):
            store.write("servers", f"i-{number:05}", {"n": number})
        store.write("servers", "i-\ud800", {"n": -1})
        store.write("servers", "i-\uffee", {"n": -2})
        client = StoreClient(address=store.address, eras=StoreEras())
        found = await client.read_all("servers")
        assert len({row.key for row in found.rows}) == count + 1
        store.stop()
        await asyncio.sleep(0)

    asyncio.run(story())


def peer_list(rows, key, odd):
    """Return a list of workers as a peer of another build may hand it on."""
    text = json.dumps(rows)[:-1].encode()
    return text + f", {json.dumps(key)}: ".encode() + odd + b"}"


@FORMS
@pytest.mark.parametrize("field", [*WORKER, "unknown"])
def test_odd_row_from_a_peer_hides_no_other(tmp_path, lines, form, field):
    """Nodes far from the store ended the task that follows their peers."""
    odd = sound_worker(8)
    rows = {f"m-{number}": sound_worker(number) for number in range(3)}

    async def story():
        node = new_node(tmp_path)
        data = peer_list(rows, "a-odd", data_with(odd, field, form))
        hand_on(node, 1, data)
        rows["m-1"] = sound_worker(7) | {"born": WORKER["born"] + 1}
        hand_on(node, 2, peer_list(rows, "a-odd", data_with(odd, field, form)))
        assert addresses(node) - {odd["address"]} == SOUND
        left_out = odd["address"] not in addresses(node)
        assert len(lines.named("a-odd")) == left_out
        assert left_out or "surrogate" not in form

    asyncio.run(story())


def hand_on(node, version, data, name=DocumentName.UPSTREAMS):
    document = Document(position=Position(version=version), data=data)
    node._handle_peer_document(name, document)


@pytest.mark.parametrize("odd", [b'"\xff"', b'{"version": "\xed\xa0\x80"}', b"[" * 40])
def test_bytes_from_a_peer_that_are_no_text_hide_no_other(tmp_path, lines, odd):
    rows = {f"m-{number}": sound_worker(number) for number in (0, 7, 2)}

    async def story():
        node = new_node(tmp_path)
        closed = odd + b"]" * odd.count(b"[")
        hand_on(node, 1, peer_list(rows, "a-odd", closed))
        assert addresses(node) == SOUND
        assert lines.named("a-odd") == ["upstream_unreadable"]

    asyncio.run(story())


@pytest.mark.parametrize("name", DocumentName)
@pytest.mark.parametrize("data", [*VALUES, b"{}", b"[[]]", b'{"a": 1}', b"1e999", MANY])
def test_odd_document_of_a_peer_changes_nothing(tmp_path, name, data):
    async def story():
        node = new_node(tmp_path)
        hand_on(node, 1, data, name)
        assert node.gateway.state.version == 0
        assert addresses(node) == set()

    asyncio.run(story())


def test_reason_is_handed_on_and_logged_once(tmp_path, lines):
    """Two nodes read the same list, one from the store and one from the other."""

    async def story():
        node, table = new_node(tmp_path), Table()
        table.put("odd", b"\xff")
        table.put("m-0", sound_worker(0))
        node._handle_workers_table(table.snapshot())
        hand_on(node, 7, node.gateway.sharing._documents[DocumentName.UPSTREAMS].data)
        assert lines.named("odd") == ["upstream_unreadable"]
        assert addresses(node) == {"10.0.0.1:80"}

    asyncio.run(story())
