"""Crash reports reach all nodes, and no message is sent while there are none."""

import asyncio
from types import SimpleNamespace

import pytest

from baobabwing.gateway import crash_reports
from baobabwing.gateway.crash_reports import CrashReportExchange
from baobabwing.gateway.decisions.quarantine import Quarantine
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
        partition = self.work in self.fleet.detected
        return [
            SimpleNamespace(work=work, incarnation=self.fleet.incarnations[work])
            for work in sorted(self.fleet.nodes)
            if (work in self.fleet.detected) == partition
        ]

    def ranked(self, resource, count):
        return self.hosts()[:count]

    def homes(self, resource, count):
        return [host.work for host in self.hosts()[:count]]

    def others(self):
        return [host for host in self.hosts() if host.work != self.work]


class Fleet:
    """Nodes in simulated time; the first two are the collectors.

    :ivar cut: nodes whose messages are lost.
    :ivar detected: those whose partition the membership has detected.
    """

    def __init__(self, count):
        self.cut, self.detected, self.nodes, self.incarnations = set(), set(), {}, {}
        for number in range(count):
            self.start(f"n{number:03}")

    def start(self, work):
        self.incarnations[work] = self.incarnations.get(work, 0) + 1
        members, link = FakeMembers(self, work), FakeLink(self, work)
        book = Quarantine()
        exchange = CrashReportExchange(book=book, members=members, link=link)
        self.nodes[work] = SimpleNamespace(
            book=book, members=members, link=link, exchange=exchange, verdicts=[]
        )
        exchange.on_verdict = self.nodes[work].verdicts.append

    def run(self):
        for node in self.nodes.values():
            asyncio.ensure_future(node.exchange.run())

    def notify_members_changed(self):
        for node in self.nodes.values():
            for listener in node.members.listeners:
                listener()

    def record_crash(self, work, upstream, now):
        self.nodes[work].book.lost(BAD, upstream, now=now)

    def quarantining(self, now):
        return [
            work for work, node in self.nodes.items() if node.book.held_s(BAD, now) > 0
        ]


@pytest.fixture
def simulated(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(crash_reports, "monotonic", clock)

    def play(count, scenario):
        loop = SimulatedLoop(clock)
        fleet = Fleet(count)

        async def whole():
            fleet.run()
            fleet.notify_members_changed()
            await scenario(fleet, clock)

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
def test_all_nodes_quarantine_a_request_that_crashed_upstreams_of_two(simulated, count):
    async def scenario(fleet, clock):
        names = sorted(fleet.nodes)
        fleet.record_crash(names[-1], 1, clock())
        fleet.record_crash(names[len(names) // 2], 2, clock())
        await asyncio.sleep(0.5)
        assert len(fleet.quarantining(clock())) == count

    simulated(count, scenario)


def test_collectors_repeat_all_verdicts_once_they_may_be_lost(simulated):
    """The store was restored from a snapshot without the quarantined requests.

    Nodes that start read them there.
    """

    async def scenario(fleet, clock):
        fleet.record_crash("n003", 1, clock())
        fleet.record_crash("n004", 2, clock())
        await asyncio.sleep(0.5)
        for node in fleet.nodes.values():
            node.verdicts.clear()
            node.exchange.keep_verdicts()
        called = {work for work, node in fleet.nodes.items() if node.verdicts}
        assert called == {"n000", "n001"}
        (verdict,) = fleet.nodes["n000"].verdicts
        assert (verdict.digest, verdict.times) == (BAD, 1)

    simulated(5, scenario)


def test_collectors_add_up_the_crashes_that_they_report_themselves(simulated):
    async def scenario(fleet, clock):
        fleet.record_crash("n000", 1, clock())
        fleet.record_crash("n001", 2, clock())
        await asyncio.sleep(0.5)
        assert len(fleet.quarantining(clock())) == 5

    simulated(5, scenario)


def test_nothing_is_sent_without_crash_reports(simulated):
    async def scenario(fleet, clock):
        await asyncio.sleep(60.0)
        fleet.notify_members_changed()
        await asyncio.sleep(60.0)

    fleet = simulated(20, scenario)
    assert sum(node.link.sent for node in fleet.nodes.values()) == 0


def test_each_report_is_sent_six_times_to_each_collector(simulated):
    async def scenario(fleet, clock):
        fleet.record_crash("n005", 1, clock())
        await asyncio.sleep(60.0)

    fleet = simulated(20, scenario)
    assert sum(node.link.sent for node in fleet.nodes.values()) == 2 * 6


def test_reports_are_exchanged_once_a_partition_ends(simulated):
    """Each partition has one crash; only both together quarantine the request."""

    async def scenario(fleet, clock):
        fleet.cut = fleet.detected = {"n004"}
        fleet.notify_members_changed()
        fleet.record_crash("n004", 1, clock())
        fleet.record_crash("n003", 2, clock())
        await asyncio.sleep(20.0)
        assert fleet.quarantining(clock()) == []
        fleet.cut = fleet.detected = set()
        fleet.notify_members_changed()
        await asyncio.sleep(0.5)
        assert len(fleet.quarantining(clock())) == 5

    simulated(5, scenario)


def test_undetected_partition_only_delays_reports(simulated):
    async def scenario(fleet, clock):
        fleet.cut = {"n004"}
        fleet.record_crash("n004", 1, clock())
        fleet.record_crash("n003", 2, clock())
        await asyncio.sleep(3.0)
        fleet.cut = set()
        await asyncio.sleep(5.0)
        assert len(fleet.quarantining(clock())) == 5

    simulated(5, scenario)


def test_node_that_lost_a_quarantine_receives_it_after_its_next_crash_report(simulated):
    async def scenario(fleet, clock):
        fleet.cut = {"n004"}
        fleet.record_crash("n002", 1, clock())
        fleet.record_crash("n003", 2, clock())
        await asyncio.sleep(9.0)
        fleet.cut = set()
        assert len(fleet.quarantining(clock())) == 4
        fleet.record_crash("n004", 3, clock())
        await asyncio.sleep(0.5)
        assert len(fleet.quarantining(clock())) == 5

    simulated(5, scenario)


def test_node_that_restarted_at_its_address_receives_the_quarantines(simulated):
    """It restarted before any member declared it dead."""

    async def scenario(fleet, clock):
        fleet.record_crash("n002", 1, clock())
        fleet.record_crash("n003", 2, clock())
        await asyncio.sleep(2.0)
        fleet.start("n004")
        asyncio.ensure_future(fleet.nodes["n004"].exchange.run())
        fleet.notify_members_changed()
        await asyncio.sleep(0.5)
        assert "n004" in fleet.quarantining(clock())

    simulated(5, scenario)


def test_quarantines_outlive_both_collectors(simulated):
    async def scenario(fleet, clock):
        fleet.record_crash("n002", 1, clock())
        fleet.record_crash("n003", 2, clock())
        await asyncio.sleep(2.0)
        for work in ("n000", "n001"):
            fleet.start(work)
            asyncio.ensure_future(fleet.nodes[work].exchange.run())
        fleet.notify_members_changed()
        await asyncio.sleep(0.5)
        assert len(fleet.quarantining(clock())) == 5

    simulated(5, scenario)


def test_request_that_was_served_at_one_node_is_cleared_at_all(simulated):
    async def scenario(fleet, clock):
        fleet.record_crash("n002", 1, clock())
        fleet.record_crash("n003", 2, clock())
        await asyncio.sleep(2.0)
        fleet.nodes["n004"].book.served(BAD)
        await asyncio.sleep(0.5)
        assert fleet.quarantining(clock()) == []

    simulated(5, scenario)


def test_verdicts_are_passed_on_by_the_collectors_only(simulated):
    async def scenario(fleet, clock):
        fleet.record_crash("n002", 1, clock())
        fleet.record_crash("n003", 2, clock())
        await asyncio.sleep(2.0)

    fleet = simulated(5, scenario)
    assert [len(node.verdicts) for node in fleet.nodes.values()] == [1, 1, 0, 0, 0]


def test_quarantine_that_is_over_is_not_renewed_by_nodes_that_start(simulated):
    """Each node that started counted the old crashes anew, and refused the request.

    So nodes that started one after the other refused a sound request at all nodes for
    as long as such starts went on, although no upstream had ended since.
    """

    async def scenario(fleet, clock):
        fleet.record_crash("n002", 1, clock())
        fleet.record_crash("n003", 2, clock())
        await asyncio.sleep(11.0)
        assert fleet.quarantining(clock()) == []
        for work in sorted(fleet.nodes):
            fleet.start(work)
            asyncio.ensure_future(fleet.nodes[work].exchange.run())
            fleet.notify_members_changed()
            await asyncio.sleep(2.0)
            assert fleet.quarantining(clock()) == []
        fleet.record_crash("n002", 3, clock())
        await asyncio.sleep(0.5)
        assert len(fleet.quarantining(clock())) == 5
        assert fleet.nodes["n000"].book.held_s(BAD, clock()) > 70.0

    simulated(5, scenario)
