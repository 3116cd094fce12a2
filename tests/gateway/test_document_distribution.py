"""Documents that nodes fetch from each other."""

import asyncio
import time
import zlib
from types import SimpleNamespace

import pytest

from baobabwing.exceptions import WireError
from baobabwing.fleet.host import Host
from baobabwing.gateway import document_distribution
from baobabwing.gateway.document_distribution import (
    MAX_LIST_AGE_S,
    Document,
    DocumentDistribution,
    DocumentName,
)
from baobabwing.gateway.plain_http import PlainServer
from baobabwing.gateway.position import Position
from tests.gateway.endless_server import HEADS, EndlessServer
from tests.gateway.harness import eventually, free_address
from tests.gateway.placement.fleet_model import Clock

CFG = DocumentName.CONFIGURATION


def document_of(version, data):
    return Document(position=Position(version=version), data=data)


class FixedMembers:
    """Members that a test sets."""

    def __init__(self, name, hosts):
        self.settings = SimpleNamespace(name=name)
        self.hosts = hosts
        self.joining = False

    def serving(self):
        return tuple(self.hosts)

    def others(self):
        return [host for host in self.hosts if host.name != self.settings.name]

    def ranked(self, resource, count):
        return self.hosts[:count]


class Fleet:
    """Nodes that serve documents to each other over real connections."""

    def __init__(self, count):
        self.hosts = [
            Host(
                name=f"n{number:02}",
                incarnation=1,
                zone="z",
                region="r",
                peer=free_address(),
                http="",
            )
            for number in range(count)
        ]
        self.nodes = [
            DocumentDistribution(
                members=FixedMembers(host.name, self.hosts),
                on_document=lambda name, document: None,
            )
            for host in self.hosts
        ]
        self.servers = [PlainServer(answer=node.answer) for node in self.nodes]
        self.tasks = []

    async def __aenter__(self):
        for server, host in zip(self.servers, self.hosts, strict=True):
            await server.start(host.peer)
        self.tasks = [asyncio.ensure_future(node.run()) for node in self.nodes]
        return self

    async def __aexit__(self, *exc_info):
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.stop()
        await asyncio.sleep(0)


def test_change_that_one_node_reads_reaches_all_nodes(run):
    """Only one node reads a change from the store; all get the whole document."""

    async def story():
        async with Fleet(12) as fleet:
            document = document_of(7, b"{}" * 5000)
            fleet.nodes[0].keep(CFG, document)
            for node in fleet.nodes:
                await eventually(lambda node=node: node.position(CFG).version == 7)
                assert node._documents[CFG] == document

    run(story())


def test_gap_between_checks_of_the_list_is_noted(monkeypatch):
    """A node that was out of step vouched for all that it had seen before."""
    clock = Clock()
    monkeypatch.setattr(document_distribution.time, "monotonic", clock)
    node = DocumentDistribution(
        members=FixedMembers("n", []), on_document=lambda name, document: None
    )
    for _ in range(3):
        node.note_store_answer()
        clock.now += MAX_LIST_AGE_S - 0.1
    assert node.list_followed_since == float("-inf")
    clock.now += 1.0
    node.note_store_answer()
    assert node.list_followed_since == node.list_checked_at == clock.now


def test_changes_in_quick_succession_are_batched(run):
    """Dozens of upstreams register one after the other.

    Without a pause each node fetched the whole list for every single one, from each of
    its two sources: 48 lists in 5 s. It must fetch a few of them, and the last one.
    """

    async def story():
        async with Fleet(12) as fleet:
            positions = []
            fleet.nodes[11]._on_document = lambda name, document: positions.append(
                document.position.version
            )
            began = time.monotonic()
            for version in range(1, 101):
                for node in fleet.nodes[:4]:
                    node.keep(CFG, document_of(version, b"{}"))
                await asyncio.sleep(0.01)
            await eventually(lambda: fleet.nodes[11].position(CFG).version == 100)
            calls = (
                time.monotonic() - began
            ) / document_distribution._BATCH_DELAY_S + 1
            assert len(positions) <= document_distribution._SOURCES * calls
            assert len(positions) < 100

    run(story())


def test_documents_that_cost_much_are_fetched_less_often(run):
    """Lists of 3,000 upstreams took a third of a core of each node while they came."""
    work_s = 0.04

    def take(name, document):
        taken.append(document.position.version)
        ends_at = time.thread_time() + work_s
        while time.thread_time() < ends_at:
            pass

    taken = []

    async def scenario():
        async with Fleet(12) as fleet:
            fleet.nodes[11]._on_document = take
            for name in document_distribution._NEEDED:
                fleet.nodes[11].keep(name, document_of(1, b"{}"))
            began = time.monotonic()
            for version in range(2, 151):
                for node in fleet.nodes[:4]:
                    node.keep(CFG, document_of(version, b"{}"))
                await asyncio.sleep(0.01)
            await eventually(lambda: taken and taken[-1] == 150)
            pause_s = document_distribution._PAUSE_PER_WORK * work_s
            pauses = (time.monotonic() - began) / pause_s + 1
            assert len(taken) <= document_distribution._SOURCES * pauses

    run(scenario())


def test_document_is_compressed_once_for_all_peers(run, monkeypatch):
    """A source compressed the list of upstreams anew for each of dozens of peers."""
    compressed = []
    compress = document_distribution.zlib.compress

    def count(data, level):
        compressed.append(data)
        return compress(data, level)

    monkeypatch.setattr(document_distribution.zlib, "compress", count)

    async def scenario():
        node = DocumentDistribution(
            members=FixedMembers("n", []), on_document=lambda name, document: None
        )
        node.keep(CFG, document_of(1, b"one"))
        query = f"/documents?{CFG.value}=0.0"
        first = await node.answer("GET", query)
        assert (await node.answer("GET", query)).body == first.body
        assert compressed == [b"one"]
        node.keep(CFG, document_of(2, b"two"))
        await node.answer("GET", query)
        assert compressed == [b"one", b"two"]

    run(scenario())


def test_older_document_changes_nothing(run):
    async def story():
        async with Fleet(3) as fleet:
            fleet.nodes[0].keep(CFG, document_of(7, b"new"))
            await eventually(lambda: fleet.nodes[2].position(CFG).version == 7)
            fleet.nodes[1].keep(CFG, document_of(6, b"old"))
            fleet.nodes[1].keep(CFG, document_of(8, b"newest"))
            await eventually(lambda: fleet.nodes[2].position(CFG).version == 8)

    run(story())


def test_all_nodes_of_a_small_fleet_follow_the_store_and_some_of_a_large_one(run):
    async def story():
        small, large = Fleet(7), Fleet(72)
        assert all(node.follows_store for node in small.nodes)
        following = [node.follows_store for node in large.nodes]
        assert following == [True] * 9 + [False] * 63

    run(story())


def test_number_of_followers_is_bounded_in_a_fleet_of_hundreds(run):
    async def story():
        fleets = [Fleet(96), Fleet(300)]
        following = [
            sum(node.follows_store for node in fleet.nodes) for fleet in fleets
        ]
        assert following == [12, 12]

    run(story())


def test_node_that_joins_reads_once_and_then_waits_for_the_others(run, monkeypatch):
    """Hundreds of nodes start at once, and each reads the documents that it needs.

    All of them also started a long poll of the store, which nearly all gave up a moment
    later. A node that finds no other node still follows the store after a timeout.
    """
    monkeypatch.setattr(document_distribution, "_NO_SOURCE_S", 0.3)

    async def story():
        node = Fleet(12).nodes[11]
        node._members.joining = True
        assert node.follows_store
        for name in DocumentName:
            node.keep(name, document_of(1, b"{}"))
        assert not node.follows_store
        node._members.hosts = node._members.hosts[11:]
        await eventually(lambda: node.follows_store)

    run(story())


def test_node_whose_sources_lost_the_store_follows_it_itself(run, monkeypatch):
    """The nodes that follow the store are partitioned from it, and this one is not.

    It must not miss a change, so it follows the store itself after a timeout.
    """
    monkeypatch.setattr(document_distribution, "_NO_SOURCE_S", 0.3)
    monkeypatch.setattr(document_distribution, "_LONG_POLL_S", 0.1)

    async def story():
        async with Fleet(12) as fleet:
            for node in fleet.nodes[:4]:
                node.store_away = False
            await asyncio.sleep(0.5)
            assert not fleet.nodes[11].follows_store
            for node in fleet.nodes[:4]:
                node.store_away = True
            await eventually(lambda: fleet.nodes[11].follows_store)

    run(story())


def test_node_reports_when_all_its_sources_have_answered(run):
    """Before that, a source may have a newer configuration than the node.

    Both sources are unavailable at first; then one answers, and then the other.
    """

    async def story():
        async with Fleet(3) as fleet:
            for server in fleet.servers[:2]:
                server.stop()
            node = DocumentDistribution(
                members=FixedMembers("n02", fleet.hosts),
                on_document=lambda name, document: None,
            )
            task = asyncio.ensure_future(node.run())
            await eventually(lambda: not node._answered)
            for server, host in zip(fleet.servers[:2], fleet.hosts, strict=False):
                assert not node.heard.is_set()
                await server.start(host.peer)
            await eventually(node.heard.is_set)
            task.cancel()

    run(story())


def test_node_without_sources_stops_waiting_once_it_has_joined(run):
    async def story():
        node = Fleet(1).nodes[0]
        node._members.joining = True
        task = asyncio.ensure_future(node.run())
        await asyncio.sleep(2 * document_distribution._RETRY_S)
        assert not node.heard.is_set()
        node._members.joining = False
        await eventually(node.heard.is_set)
        task.cancel()

    run(story())


def test_list_of_a_later_era_replaces_one_of_a_higher_version(run):
    """The store was restored from an older snapshot, which one node has read.

    The lists of the others have higher versions, of the era before.
    """

    async def story():
        async with Fleet(12) as fleet:
            name = DocumentName.UPSTREAMS
            old = Document(position=Position(era=1, version=900), data=b"old")
            new = Document(position=Position(era=2, version=300), data=b"new")
            for node in fleet.nodes:
                node.keep(name, old)
            fleet.nodes[0].keep(name, new)
            for node in fleet.nodes:
                await eventually(lambda node=node: node._documents[name] == new)

    run(story())


def test_source_that_fails_is_replaced(run):
    """A node that others follow is killed. A change still reaches them."""

    async def story():
        async with Fleet(12) as fleet:
            fleet.nodes[1].keep(CFG, document_of(1, b"a"))
            await eventually(lambda: fleet.nodes[11].position(CFG).version == 1)
            for node in fleet.nodes:
                node._members.hosts = [
                    host for host in fleet.hosts if host.name != "n00"
                ]
            fleet.servers[0].stop()
            fleet.nodes[1].keep(CFG, document_of(2, b"b"))
            for node in fleet.nodes[1:]:
                await eventually(lambda node=node: node.position(CFG).version == 2)

    run(story())


@pytest.mark.parametrize(
    "body", [b"", b"1 configuration:7", b"1 other:1:0\n", b"1 configuration:7:3\nabc"]
)
def test_malformed_answers_are_refused(body):
    with pytest.raises(WireError):
        document_distribution._decode(body, "peer")


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_answer_without_end_is_not_kept(run, monkeypatch, head):
    monkeypatch.setattr(document_distribution, "_TIMEOUT_S", 20.0)

    async def story():
        node = Fleet(1).nodes[0]
        async with EndlessServer(head) as endless:
            source = Host(
                name="n",
                incarnation=1,
                zone="z",
                region="r",
                peer=endless.address,
                http="",
            )
            node._members.hosts = [source] * 12
            with pytest.raises(WireError):
                await node._follow_source(0, source)
            most = document_distribution._MAX_ANSWER_BYTES + 8 * 1024 * 1024
            assert endless.sent <= most

    run(story())


@pytest.mark.parametrize("documents", [1, 4])
def test_documents_that_grow_without_bound_are_refused(documents):
    size = 2 * document_distribution._MAX_DOCUMENTS_BYTES // documents
    data = zlib.compress(b" " * size)
    heads = [f"{name.value}:0.7:{len(data)}" for name in DocumentName][:documents]
    body = " ".join(["1", *heads]).encode() + b"\n" + documents * data
    with pytest.raises(WireError):
        document_distribution._decode(body, "peer")


def test_document_that_comes_twice_is_refused():
    data = zlib.compress(b"{}")
    head = " ".join(["1", *[f"configuration:0.7:{len(data)}"] * 5])
    with pytest.raises(WireError):
        document_distribution._decode(head.encode() + b"\n" + 5 * data, "peer")


def test_peer_of_an_earlier_build_gets_no_document_that_it_does_not_know(run):
    """It would take the whole answer for malformed."""

    async def scenario():
        node = Fleet(1).nodes[0]
        for name in DocumentName:
            node.keep(name, document_of(3, b"data"))
        answer = await node.answer("GET", "/documents?configuration=0&upstreams=0")
        assert b"configuration:" in answer.body and b"upstreams:" in answer.body
        assert b"rollouts:" not in answer.body
        answer = await node.answer("GET", "/documents?configuration=x&rollouts=1")
        assert b"configuration:" in answer.body and b"rollouts:" in answer.body

    run(scenario())
