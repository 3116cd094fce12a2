"""Peers are sent what changed, and the whole where that is not known."""

import dataclasses

import pytest

from baobabwing.brands.catalogue import Brand
from baobabwing.exceptions import PlatformUnavailableError
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.node.spread import ConfigurationSpreader
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.keeper import ConfigurationKeeper

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


class Wire:
    """Carries questions to another node's spreader, and keeps the answers."""

    def __init__(self):
        self.teller = None
        self.answers = []

    def ask(self, address, query, timeout_s):
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


def make_spreader(name, wire):
    members = tuple(
        Member(host=host(one), state=MemberState.ALIVE) for one in ("teller", "asker")
    )
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
