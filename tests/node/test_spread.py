"""Peers are sent the deltas, or the document where no deltas are known."""

import dataclasses

import pytest

from baobabwing.brands.catalogue import Brand
from baobabwing.exceptions import PlatformUnavailableError
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.node.spread import MAX_FULL_POLL_EVERY, ConfigurationSpreader
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import CURRENT_KEY, HISTORY_PREFIX
from baobabwing.settings.keeper import ConfigurationKeeper
from baobabwing.settings.publish import publish
from baobabwing.store.memory import MemoryTables

FIRST = Configuration(
    version=1, brands=tuple(Brand(name=f"brand-{n}") for n in range(2000))
)


def changed(cfg, version):
    return dataclasses.replace(
        cfg, version=version, brands=(*cfg.brands, Brand(name=f"new-{version}"))
    )


class DownTables:
    def read(self, table, key):
        raise PlatformUnavailableError("down")


class CountingTables:
    """Records the keys that are read, and can hide the history."""

    def __init__(self, tables):
        self.tables = tables
        self.read_keys = []
        self.hides_history = False

    def read(self, table, key):
        self.read_keys.append(key)
        if self.hides_history and key.startswith(HISTORY_PREFIX):
            return None
        return self.tables.read(table, key)


class Wire:
    """Passes queries to another node's spreader, and records the answers."""

    def __init__(self):
        self.reporter = None
        self.answers = []

    def call_and_wait(self, address, query, timeout_s):
        answer = self.reporter.answer(query)
        self.answers.append(answer)
        return answer


def host(name):
    return Host(
        name=name,
        incarnation=1,
        zone="a",
        region="r",
        peer="127.0.0.1:1",
        http="127.0.0.1:2",
    )


def make_spreader(name, wire, names=("reporter", "requester")):
    members = tuple(Member(host=host(item), state=MemberState.ALIVE) for item in names)
    return ConfigurationSpreader(
        me=host(name),
        keeper=ConfigurationKeeper(),
        tables=DownTables(),
        peers=wire,
        view=lambda: FleetView(members=members),
        on_heard_platform=lambda: None,
    )


@pytest.fixture
def wire():
    return Wire()


@pytest.fixture
def requester(wire):
    return make_spreader("requester", wire)


@pytest.fixture
def reporter(wire):
    wire.reporter = make_spreader("reporter", wire)
    return wire.reporter


def apply_versions(spreader, *versions):
    for cfg in versions:
        assert spreader._keeper.offer(cfg, source="test")


def catch_up(requester, version):
    requester.heard(version, host("reporter"))
    assert requester.catch_up()
    return requester._keeper.current()


def test_polls_of_a_large_fleet_read_the_document_only_for_a_new_version(wire):
    """Guards against 460 nodes reading 2.4 MB ten times a second without a change.

    Most polls read only the next row of the history. If a publisher died before
    it wrote that row, a poll that reads the document finds the new version.
    """
    fleet = [f"n{number}" for number in range(460)]
    wire.reporter = spreader = make_spreader("requester", wire, fleet)
    spreader._tables = MemoryTables()
    publish(spreader._tables, base=0, cfg=FIRST)
    spreader.look()
    assert spreader._keeper.current().version == 1
    spreader._tables = CountingTables(spreader._tables)
    for _ in range(MAX_FULL_POLL_EVERY - 1):
        spreader.look()
    assert CURRENT_KEY not in spreader._tables.read_keys
    publish(spreader._tables.tables, base=1, cfg=changed(FIRST, 2))
    spreader.look()
    assert spreader._keeper.current().version == 2
    spreader._tables.hides_history = True
    publish(spreader._tables.tables, base=2, cfg=changed(FIRST, 3))
    for _ in range(MAX_FULL_POLL_EVERY):
        spreader.look()
    assert spreader._keeper.current().version == 3


def test_small_site_reads_the_document_at_each_poll(wire):
    """Guards against a change that takes too long to be in force at a small site.

    Its publisher died before it wrote the history, so that only the document shows
    the new version.
    """
    wire.reporter = spreader = make_spreader("requester", wire)
    tables = MemoryTables()
    publish(tables, base=0, cfg=FIRST)
    spreader._tables = CountingTables(tables)
    spreader.look()
    spreader._tables.hides_history = True
    publish(tables, base=1, cfg=changed(FIRST, 2))
    spreader.look()
    assert spreader._keeper.current().version == 2


def test_peer_one_version_behind_is_sent_only_the_deltas(requester, reporter, wire):
    """Guards against sending 330 KB to each of 460 nodes at every change."""
    second = changed(FIRST, 2)
    apply_versions(requester, FIRST)
    apply_versions(reporter, FIRST, second)
    assert catch_up(requester, 2) == second
    assert len(wire.answers) == 1
    assert not wire.answers[0].document
    assert len(wire.answers[0].deltas) < 300


def test_peer_that_is_far_behind_is_sent_the_document(requester, reporter, wire):
    """Guards against a node that stays behind because no peer has its deltas."""
    latest = changed(FIRST, 9)
    apply_versions(requester, FIRST)
    apply_versions(reporter, latest)
    assert catch_up(requester, 9) == latest
    assert wire.answers[-1].document


def test_deltas_that_do_not_apply_are_followed_by_the_document(
    requester, reporter, wire
):
    """Guards against a node that requests the same deltas forever.

    Both nodes hold documents with the same version but another order of items, so
    that the peer's deltas do not apply.
    """
    other = dataclasses.replace(FIRST, brands=FIRST.brands[::-1])
    latest = changed(FIRST, 2)
    apply_versions(requester, other)
    apply_versions(reporter, FIRST, latest)
    assert catch_up(requester, 2) == latest
    assert [bool(answer.deltas) for answer in wire.answers] == [True, False]
