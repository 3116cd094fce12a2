"""A request that crashes each upstream that begins to run it, and is repeated."""

import asyncio
import contextlib
import itertools
import time
from http import HTTPStatus

import pytest

from baobabwing.gateway.tunnels import TunnelServer
from baobabwing.gateway.upstream_connections import UpstreamConnection
from baobabwing.standins.gateway_upstream import Behaviour
from baobabwing.standins.loopback_proxy import LoopbackProxy
from tests.gateway.gateway_fleet import GatewayFleet
from tests.gateway.harness import NAMES, eventually

# Three crashes may pass before the request is quarantined, and three more in retries.
MAX_CRASHES = 3 + 3
REPETITIONS = 12
# Time in which nodes have found out whether an upstream has ended, and told the others.
PROBES_S = 0.5


@pytest.mark.parametrize(
    "target", ["/stream/a", "/resumable/a", "/safe/a", "/unsafe/a"]
)
def test_request_that_crashes_upstreams_is_quarantined_after_few_crashes(run, target):
    """An organisation repeats a request that crashes the engines that run it.

    Without a quarantine each repetition, at any node, crashed one more engine and broke
    up to eight streams of other callers: nodes attributed each failure to the engine,
    not to the request. Two requests crashed seven and nine engines, four and six of
    them after the third crash. The digest of path, caller and body identifies the
    request at all nodes.
    """

    async def scenario():
        async with GatewayFleet() as fleet:
            for turn in range(REPETITIONS):
                await fleet.ask(turn % 3, target, f"c{turn}", body=b"crash")
                await eventually(lambda: fleet.all_running, "upstreams are back")
            assert len(fleet.crashed) <= MAX_CRASHES

    run(scenario())


async def crash_until_quarantined(fleet, target):
    """Send the request until it has crashed two upstreams."""
    for turn in range(3):
        await fleet.ask(turn % 3, target, f"c{turn}", body=b"crash")
        await eventually(lambda: fleet.all_running, "upstreams are back")
    assert len(fleet.crashed) == 2


def quarantined_everywhere(fleet):
    now = time.monotonic()
    return all(gateway.state.quarantine.any_held(now) for gateway in fleet.gateways)


@pytest.mark.parametrize(
    "target", ["/stream/a", "/resumable/a", "/safe/a", "/unsafe/a"]
)
def test_quarantined_request_is_refused_by_every_node(run, target):
    """The refusal says when to retry, and no upstream runs the request."""

    async def scenario():
        async with GatewayFleet() as fleet:
            await crash_until_quarantined(fleet, target)
            await eventually(lambda: quarantined_everywhere(fleet), "quarantined")
            for node in range(3):
                answer = await fleet.ask(node, target, f"held-{node}", body=b"crash")
                assert (answer.status, answer.whole) == (503, True)
                assert 0 < float(answer.headers[b"retry-after"]) <= 10.0
                assert fleet.runs(f"held-{node}") == 0

    run(scenario())


def test_requests_that_run_beside_a_crashing_one_are_served(run):
    """They are not suspected any more once they have been served."""

    async def scenario():
        async with GatewayFleet() as fleet:
            for turn in range(6):
                others = [
                    fleet.ask(turn % 3, "/resumable/b", f"b{turn}-{n}", body=b"%d" % n)
                    for n in range(6)
                ]
                crash = fleet.ask(turn % 3, "/resumable/b", f"c{turn}", body=b"crash")
                *answers, _ = await asyncio.gather(*others, crash)
                assert [answer.status for answer in answers] == [200] * 6
                assert all(answer.whole for answer in answers)
                await eventually(lambda: fleet.all_running, "upstreams are back")
            assert len(fleet.crashed) == 2

    run(scenario())


def test_request_of_many_callers_is_not_quarantined_for_unrelated_crashes(run):
    """All callers send the same request while upstreams crash for other reasons.

    Each of these upstreams runs some of the requests. A quarantine would refuse all
    callers.
    """

    async def scenario():
        async with GatewayFleet() as fleet:
            fleet.usual["services"] = Behaviour(delay_s=0.05)
            statuses = []

            async def keep_asking(caller):
                for turn in range(12):
                    answer = await fleet.ask(
                        caller % 3, "/safe/same", f"s{caller}-{turn}", method="GET"
                    )
                    statuses.append(answer.status)

            callers = [asyncio.ensure_future(keep_asking(n)) for n in range(6)]
            for _ in range(4):
                await asyncio.sleep(0.07)
                fleet.crash("services")
                await eventually(lambda: fleet.all_running, "upstreams are back")
            await asyncio.gather(*callers)
            assert statuses.count(200) >= len(statuses) - 6
            last = await fleet.ask(0, "/safe/same", "last", method="GET")
            assert last.status == 200

    run(scenario())


def test_unresponsive_upstreams_quarantine_no_request(run):
    """A timeout does not show that an upstream has crashed, and has a low weight."""

    async def scenario():
        async with GatewayFleet() as fleet:
            fleet.usual["services"] = Behaviour(mute=True)
            for turn in range(4):
                answer = await fleet.ask(
                    turn % 3,
                    "/safe/m",
                    f"m{turn}",
                    headers=[(NAMES.deadline, b"400")],
                )
                assert answer.status in (502, 503, 504)
            (digest,) = fleet.gateways[0].state.quarantine.digests()
            reports = fleet.gateways[0].state.quarantine.findings(digest, 0.0)
            assert {report.weight for report in reports} == {1}
            fleet.usual["services"] = Behaviour()
            answer = await fleet.ask(0, "/safe/m", "m9")
            assert answer.status == 200

    run(scenario())


def test_request_cut_by_upstreams_that_stay_up_is_not_quarantined(run):
    """Each cut answer was taken for a crash, and all copies were refused for 10 s."""

    async def scenario():
        async with GatewayFleet() as fleet:
            fleet.usual["services"] = Behaviour(cut_after=1)
            turns = itertools.count()

            def cut_by():
                return sum(bool(fleet.at(name)) for name in fleet.upstreams)

            while cut_by() < 2:
                turn = next(turns)
                answer = await fleet.ask(turn % 3, "/unsafe/cut", f"c{turn}")
                assert answer.status == 502
            fleet.usual["services"] = Behaviour()
            for node in range(3):
                answer = await fleet.ask(node, "/unsafe/cut", f"after-{node}")
                assert answer.status == 200

    run(scenario())


def test_stream_is_resumed_although_a_copy_was_cut_elsewhere(run):
    """Its upstream and the copy's stay up; no copy has been served so far."""
    cut = Behaviour(events=5, cut_after=2)
    fresh_runs = set()

    def by_request(seen):
        if NAMES.last_event not in seen.headers:
            fresh_runs.add(seen.request_id)
            return cut
        return Behaviour(mute=True) if seen.request_id == "copy" else None

    async def scenario():
        async with GatewayFleet() as fleet:
            fleet.by_request = by_request
            copy = asyncio.ensure_future(fleet.ask(0, "/resumable/c", "copy"))
            await eventually(lambda: fleet.runs("copy") == 2, "the copy is resumed")
            cut_at = next(
                name
                for name, (upstream, _) in fleet.upstreams.items()
                if any(NAMES.last_event not in seen.headers for seen in upstream.seen)
            )
            cutting, _ = fleet.upstreams.pop(cut_at)
            fleet.list_all()
            answer = await fleet.ask(1, "/resumable/c", "later")
            copy.cancel()
            cutting.stop()
            assert (answer.status, answer.whole) == (200, True)
            assert answer.body.count(b"data: ") == 5
            assert fresh_runs == {"copy", "later"}

    run(scenario())


@contextlib.asynccontextmanager
async def behind_proxies(fleet, *, refuses_after_s=0.0, cut_off=lambda port: False):
    """Put a proxy in front of each upstream; those of replacements have none."""
    proxies = {
        name: LoopbackProxy(target=upstream.address, cut_off=cut_off)
        for name, (upstream, _) in fleet.upstreams.items()
    }
    for proxy in proxies.values():
        proxy.refuses_after_s = refuses_after_s
        await proxy.start()
    fleet.list_all({name: proxy.address for name, proxy in proxies.items()})
    try:
        yield list(proxies.values())
    finally:
        for proxy in proxies.values():
            proxy.stop()


@pytest.mark.parametrize("refuses_after_s", [0.0, 0.3])
def test_crash_behind_a_proxy_that_accepts_connections_is_certain(run, refuses_after_s):
    """Seven upstreams ended whose proxies closed late: each was taken to be up."""

    async def scenario():
        async with (
            GatewayFleet(services=3) as fleet,
            behind_proxies(fleet, refuses_after_s=refuses_after_s),
        ):
            for turn in range(3):
                await fleet.ask(turn, "/safe/a", f"first-{turn}", body=b"other")
            await fleet.ask(0, "/safe/a", "c1", body=b"crash")
            await eventually(lambda: quarantined_everywhere(fleet), "quarantined")
            assert len(fleet.crashed) == 2

    run(scenario())


@pytest.fixture
def slow_connects(monkeypatch):
    """Connections that took longer to open than upstreams take to crash."""
    monkeypatch.setattr(
        UpstreamConnection, "may_have_closed_before_request", lambda self, now: True
    )


@pytest.mark.usefixtures("slow_connects")
def test_crash_on_a_connection_that_opened_slowly_is_certain(run):
    """Beside load a third upstream crashed before the request was quarantined."""

    async def scenario():
        async with GatewayFleet() as fleet:
            await crash_until_quarantined(fleet, "/resumable/a")
            await eventually(lambda: quarantined_everywhere(fleet), "quarantined")

    run(scenario())


def test_crash_is_certain_to_a_single_node(run):
    """With no other node to ask, its own refused connection has to be enough."""

    async def scenario():
        async with GatewayFleet(nodes=1) as fleet:
            for turn in range(3):
                await fleet.ask(0, "/resumable/a", f"c{turn}", body=b"crash")
                await eventually(lambda: fleet.all_running, "upstreams are back")
            assert len(fleet.crashed) == 2

    run(scenario())


@pytest.mark.usefixtures("slow_connects")
def test_crash_is_certain_while_the_other_nodes_are_late(run, monkeypatch):
    """Late nodes open no tunnels, so they can't tell whether an upstream has ended."""

    async def scenario():
        async with GatewayFleet() as fleet:
            monkeypatch.setattr(TunnelServer, "_refusal", refuse_as_late)
            await crash_until_quarantined(fleet, "/resumable/a")

    run(scenario())


def refuse_as_late(server, request, address):
    return HTTPStatus.SERVICE_UNAVAILABLE


@pytest.mark.usefixtures("slow_connects")
def test_proxy_that_closes_at_once_is_no_evidence_against_a_request(run):
    """Its upstream may have ended before the request arrived."""

    async def scenario():
        async with GatewayFleet(services=3) as fleet, behind_proxies(fleet):
            await fleet.ask(0, "/safe/a", "c1", body=b"crash")
            assert len(fleet.crashed) == 2
            # The probes take less time than the restarts.
            await eventually(lambda: fleet.all_running, "upstreams are back")
            assert not any(
                gateway.state.quarantine.any_held(time.monotonic())
                for gateway in fleet.gateways
            )

    run(scenario())


@pytest.mark.parametrize("target", ["/unsafe/a", "/safe/a"])
def test_request_is_not_quarantined_when_all_paths_close_connections(run, target):
    """All nodes were cut off while copies of it ran at several upstreams.

    Each new connection was accepted and closed, as by a proxy whose upstream has ended.
    All nodes refused the request for 10 s, although no upstream had ended.
    """

    async def scenario():
        cut = []
        async with (
            GatewayFleet(services=4) as fleet,
            behind_proxies(fleet, cut_off=lambda port: bool(cut)) as proxies,
        ):
            fleet.usual["services"] = Behaviour(delay_s=0.4)
            copies = [
                asyncio.ensure_future(fleet.ask(node, target, f"c{node}-{copy}"))
                for node in range(3)
                for copy in range(2)
            ]
            await asyncio.sleep(0.2)
            assert sum(bool(fleet.at(name)) for name in fleet.upstreams) > 1
            cut.append(True)
            for proxy in proxies:
                proxy.reset_cut_off()
            await asyncio.gather(*copies)
            await asyncio.sleep(PROBES_S)
            assert fleet.crashed == []
            assert not any(
                gateway.state.quarantine.any_held(time.monotonic())
                for gateway in fleet.gateways
            )

    run(scenario())
