"""Peers are sent what changed, and the whole where that is not known."""

import dataclasses

import pytest

from baobabwing.brands.catalogue import Brand
from baobabwing.exceptions import PlatformUnavailableError
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.node.spread import WHOLE_LOOK_EVERY, ConfigurationSpreader
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
    """Notes what is read, and can hide the history."""

    def __init__(self, tables):
        self.tables = tables
        self.read_keys = []
        self.hidden = False

    def read(self, table, key):
        self.read_keys.append(key)
        if self.hidden and key.startswith(HISTORY_PREFIX):
            return None
        return self.tables.read(table, key)


class Wire:
    """Carries questions to another node's spreader, and keeps the answers."""

    def __init__(self):
        self.teller = None
        self.answers = []

    def call_and_wait(self, address, query, timeout_s):
        answer = self.teller.answer(query)
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


def make_spreader(name, wire, names=("teller", "asker")):
    members = tuple(Member(host=host(one), state=MemberState.ALIVE) for one in names)
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
def asker(wire):
    return make_spreader("asker", wire)


@pytest.fixture
def teller(wire):
    wire.teller = make_spreader("teller", wire)
    return wire.teller


def hold(spreader, *versions):
    for cfg in versions:
        assert spreader._keeper.offer(cfg, source="test")


def catch_up(asker, version):
    asker.heard(version, host("teller"))
    assert asker.catch_up()
    return asker._keeper.current()


def test_a_look_at_the_store_reads_the_document_only_when_there_is_a_new_one(wire):
    """460 nodes would read 2.4 MB ten times a second to find nothing new.

    The history's next row is asked for instead. A publisher that died before it
    wrote that row is found by a look at the whole, now and then.
    """
    fleet = [f"n{number}" for number in range(460)]
    wire.teller = looker = make_spreader("asker", wire, fleet)
    looker._tables = MemoryTables()
    publish(looker._tables, base=0, cfg=FIRST)
    looker.look()
    assert looker._keeper.current().version == 1
    looker._tables = CountingTables(looker._tables)
    for _ in range(WHOLE_LOOK_EVERY - 1):
        looker.look()
    assert CURRENT_KEY not in looker._tables.read_keys
    publish(looker._tables.tables, base=1, cfg=changed(FIRST, 2))
    looker.look()
    assert looker._keeper.current().version == 2
    looker._tables.hidden = True
    publish(looker._tables.tables, base=2, cfg=changed(FIRST, 3))
    for _ in range(WHOLE_LOOK_EVERY):
        looker.look()
    assert looker._keeper.current().version == 3


def test_a_small_site_looks_at_the_whole_each_time(wire):
    """A change would not be in force within seconds at a site of three nodes.

    Its publisher died before it wrote the history; only the document tells.
    """
    wire.teller = looker = make_spreader("asker", wire)
    tables = MemoryTables()
    publish(tables, base=0, cfg=FIRST)
    looker._tables = CountingTables(tables)
    looker.look()
    looker._tables.hidden = True
    publish(tables, base=1, cfg=changed(FIRST, 2))
    looker.look()
    assert looker._keeper.current().version == 2


def test_a_peer_one_version_behind_is_sent_the_change_only(asker, teller, wire):
    """At size, every change would send 330 KB to each of 460 nodes."""
    second = changed(FIRST, 2)
    hold(asker, FIRST)
    hold(teller, FIRST, second)
    assert catch_up(asker, 2) == second
    assert len(wire.answers) == 1
    assert not wire.answers[0].document
    assert len(wire.answers[0].deltas) < 300


def test_a_peer_that_is_far_behind_is_sent_the_whole(asker, teller, wire):
    """A node that was frozen over changes nobody remembers would stay behind."""
    latest = changed(FIRST, 9)
    hold(asker, FIRST)
    hold(teller, latest)
    assert catch_up(asker, 9) == latest
    assert wire.answers[-1].document


def test_changes_that_do_not_fit_are_followed_by_the_whole(asker, teller, wire):
    """A node would stay behind for ever, asking for the same changes.

    Both hold a version of the same number whose items stand in another order,
    so that the peer's change leads somewhere else.
    """
    other = dataclasses.replace(FIRST, brands=FIRST.brands[::-1])
    latest = changed(FIRST, 2)
    hold(asker, other)
    hold(teller, FIRST, latest)
    assert catch_up(asker, 2) == latest
    assert [bool(one.deltas) for one in wire.answers] == [True, False]
