"""Findings on requests reach all nodes, and cost nothing while there are none."""

import asyncio
from types import SimpleNamespace

import pytest

from baobabwing.gateway import findings as module
from baobabwing.gateway.decisions.quarantine import Quarantine
from baobabwing.gateway.findings import FindingsExchange
from tests.gateway.placement.fleet_model import Clock, SimulatedLoop

BAD = 2**63 + 5


class FakeLink:
    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address
        self.handler = None
        self.sent = 0

    def handle(self, kind, handler):
        self.handler = handler

    def send(self, address, message):
        self.sent += 1
        if address in self.fleet.cut or self.address in self.fleet.cut:
            return
        loop = asyncio.get_running_loop()
        target = self.fleet.nodes[address]
        loop.call_later(0.001, target.link.handler, message, self.address)


class FakeMembers:
    def __init__(self, fleet, work):
        self.fleet, self.work = fleet, work
        self.listeners = []

    def on_change(self, listener):
        self.listeners.append(listener)

    def hosts(self):
        side = self.work in self.fleet.noticed
        return [
            SimpleNamespace(work=work, incarnation=self.fleet.incarnations[work])
            for work in sorted(self.fleet.nodes)
            if (work in self.fleet.noticed) == side
        ]

    def ranked(self, resource, count):
        return self.hosts()[:count]

    def homes(self, resource, count):
        return [host.work for host in self.hosts()[:count]]

    def others(self):
        return [host for host in self.hosts() if host.work != self.work]


class Fleet:
    """Nodes in simulated time; the first two are told by all others."""

    def __init__(self, count):
        self.cut, self.noticed, self.nodes, self.incarnations = set(), set(), {}, {}
        for number in range(count):
            self.start(f"n{number:03}")

    def start(self, work):
        self.incarnations[work] = self.incarnations.get(work, 0) + 1
        members, link = FakeMembers(self, work), FakeLink(self, work)
        book = Quarantine()
        exchange = FindingsExchange(book=book, members=members, link=link)
        self.nodes[work] = SimpleNamespace(
            book=book, members=members, link=link, exchange=exchange, verdicts=[]
        )
        exchange.on_verdict = self.nodes[work].verdicts.append

    def run(self):
        for node in self.nodes.values():
            asyncio.ensure_future(node.exchange.run())

    def changed(self):
        for node in self.nodes.values():
            for listener in node.members.listeners:
                listener()

    def lost(self, work, upstream, now):
        self.nodes[work].book.lost(BAD, upstream, now=now)

    def holding(self, now):
        return [
            work for work, one in self.nodes.items() if one.book.held_s(BAD, now) > 0
        ]


@pytest.fixture
def simulated(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(module, "monotonic", clock)

    def play(count, story):
        loop = SimulatedLoop(clock)
        fleet = Fleet(count)

        async def whole():
            fleet.run()
            fleet.changed()
            await story(fleet, clock)

        try:
            loop.run_until_complete(whole())
        finally:
            tasks = asyncio.all_tasks(loop)
            for task in tasks:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
            loop.close()
        return fleet

    return play


@pytest.mark.parametrize("count", [1, 2, 7, 100])
def test_all_nodes_hold_back_what_two_of_them_found(simulated, count):
    async def story(fleet, clock):
        names = sorted(fleet.nodes)
        fleet.lost(names[-1], 1, clock())
        fleet.lost(names[len(names) // 2], 2, clock())
        await asyncio.sleep(0.5)
        assert len(fleet.holding(clock())) == count

    simulated(count, story)


def test_two_nodes_tell_all_verdicts_anew_where_they_may_be_lost(simulated):
    """The store came back from a copy that lacks them; nodes that start read it."""

    async def story(fleet, clock):
        fleet.lost("n003", 1, clock())
        fleet.lost("n004", 2, clock())
        await asyncio.sleep(0.5)
        for node in fleet.nodes.values():
            node.verdicts.clear()
            node.exchange.keep_verdicts()
        told = {work for work, one in fleet.nodes.items() if one.verdicts}
        assert told == {"n000", "n001"}
        (verdict,) = fleet.nodes["n000"].verdicts
        assert (verdict.digest, verdict.times) == (BAD, 1)

    simulated(5, story)


def test_collectors_that_found_one_end_each_add_them_up(simulated):
    async def story(fleet, clock):
        fleet.lost("n000", 1, clock())
        fleet.lost("n001", 2, clock())
        await asyncio.sleep(0.5)
        assert len(fleet.holding(clock())) == 5

    simulated(5, story)


def test_nothing_is_sent_while_nothing_is_found(simulated):
    async def story(fleet, clock):
        await asyncio.sleep(60.0)
        fleet.changed()
        await asyncio.sleep(60.0)

    fleet = simulated(20, story)
    assert sum(node.link.sent for node in fleet.nodes.values()) == 0


def test_findings_are_sent_some_times_and_no_more(simulated):
    async def story(fleet, clock):
        fleet.lost("n005", 1, clock())
        await asyncio.sleep(60.0)

    fleet = simulated(20, story)
    assert sum(node.link.sent for node in fleet.nodes.values()) == 2 * 6


def test_node_that_was_cut_off_is_told_when_it_is_back(simulated):
    """It found one end behind a cut, others found another; all hold it back after."""

    async def story(fleet, clock):
        fleet.cut = fleet.noticed = {"n004"}
        fleet.changed()
        fleet.lost("n004", 1, clock())
        fleet.lost("n003", 2, clock())
        await asyncio.sleep(20.0)
        assert fleet.holding(clock()) == []
        fleet.cut = fleet.noticed = set()
        fleet.changed()
        await asyncio.sleep(0.5)
        assert len(fleet.holding(clock())) == 5

    simulated(5, story)


def test_cut_that_no_member_noticed_delays_findings_only(simulated):
    async def story(fleet, clock):
        fleet.cut = {"n004"}
        fleet.lost("n004", 1, clock())
        fleet.lost("n003", 2, clock())
        await asyncio.sleep(3.0)
        fleet.cut = set()
        await asyncio.sleep(5.0)
        assert len(fleet.holding(clock())) == 5

    simulated(5, story)


def test_node_that_missed_a_hold_is_told_when_it_finds_one_more_end(simulated):
    async def story(fleet, clock):
        fleet.cut = {"n004"}
        fleet.lost("n002", 1, clock())
        fleet.lost("n003", 2, clock())
        await asyncio.sleep(9.0)
        fleet.cut = set()
        assert len(fleet.holding(clock())) == 4
        fleet.lost("n004", 3, clock())
        await asyncio.sleep(0.5)
        assert len(fleet.holding(clock())) == 5

    simulated(5, story)


def test_node_that_started_again_at_its_address_is_told(simulated):
    """It was killed and is back before anybody held it for dead."""

    async def story(fleet, clock):
        fleet.lost("n002", 1, clock())
        fleet.lost("n003", 2, clock())
        await asyncio.sleep(2.0)
        fleet.start("n004")
        asyncio.ensure_future(fleet.nodes["n004"].exchange.run())
        fleet.changed()
        await asyncio.sleep(0.5)
        assert "n004" in fleet.holding(clock())

    simulated(5, story)


def test_verdicts_outlive_both_nodes_that_add_up(simulated):
    async def story(fleet, clock):
        fleet.lost("n002", 1, clock())
        fleet.lost("n003", 2, clock())
        await asyncio.sleep(2.0)
        for work in ("n000", "n001"):
            fleet.start(work)
            asyncio.ensure_future(fleet.nodes[work].exchange.run())
        fleet.changed()
        await asyncio.sleep(0.5)
        assert len(fleet.holding(clock())) == 5

    simulated(5, story)


def test_request_that_was_served_at_one_node_is_released_at_all(simulated):
    async def story(fleet, clock):
        fleet.lost("n002", 1, clock())
        fleet.lost("n003", 2, clock())
        await asyncio.sleep(2.0)
        fleet.nodes["n004"].book.served(BAD)
        await asyncio.sleep(0.5)
        assert fleet.holding(clock()) == []

    simulated(5, story)


def test_verdicts_are_kept_by_the_two_that_all_others_tell(simulated):
    async def story(fleet, clock):
        fleet.lost("n002", 1, clock())
        fleet.lost("n003", 2, clock())
        await asyncio.sleep(2.0)

    fleet = simulated(5, story)
    assert [len(node.verdicts) for node in fleet.nodes.values()] == [1, 1, 0, 0, 0]
