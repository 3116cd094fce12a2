"""A request that ends each upstream that begins to run it, and comes again."""

import asyncio
import time

import pytest

from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.bed import NAMES, eventually
from tests.gateway.fleet_bed import FleetBed

# Upstreams may end three times before anybody can be sure of the cause, and three
# times more in retries.
MOST_ENDED = 3 + 3
TIMES = 12


@pytest.mark.parametrize(
    "target", ["/stream/a", "/resumable/a", "/safe/a", "/unsafe/a"]
)
def test_request_that_crashes_upstreams_ends_few_of_them(run, target):
    """A league sends a request that its engines can't stand, again and again.

    Each time it came, to whichever node, one more engine ended, and up to eight
    streams of other callers broke with it: nodes held each failure against the engine,
    and nobody remembered the request. Seven and nine engines ended so under two
    requests, four and six of them after a third had ended. Evidence: under all of them
    was a request of one organisation, route, prompt length and estimate that had no
    event, at another node each time; the digest of path, caller and body, logged since,
    is the same each time here.
    """

    async def story():
        async with FleetBed() as bed:
            for turn in range(TIMES):
                await bed.ask(turn % 3, target, f"c{turn}", body=b"crash")
                await eventually(lambda: bed.whole, "upstreams are back")
            assert len(bed.crashed) <= MOST_ENDED

    run(story())


async def until_held(bed, target):
    """Send the request until upstreams have ended under it twice."""
    for turn in range(3):
        await bed.ask(turn % 3, target, f"c{turn}", body=b"crash")
        await eventually(lambda: bed.whole, "upstreams are back")
    assert len(bed.crashed) == 2


def held_everywhere(bed):
    now = time.monotonic()
    return all(one.state.quarantine.any_held(now) for one in bed.gateways)


@pytest.mark.parametrize(
    "target", ["/stream/a", "/resumable/a", "/safe/a", "/unsafe/a"]
)
def test_held_request_is_refused_at_once_by_every_node(run, target):
    """It is told when to come back, is not charged for, and has not run."""

    async def story():
        async with FleetBed() as bed:
            await until_held(bed, target)
            await eventually(lambda: held_everywhere(bed), "all nodes know")
            for node in range(3):
                answer = await bed.ask(node, target, f"held-{node}", body=b"crash")
                assert (answer.status, answer.whole) == (503, True)
                assert 0 < float(answer.headers[b"retry-after"]) <= 10.0
                assert bed.runs(f"held-{node}") == 0

    run(story())


def test_other_requests_are_served_meanwhile(run):
    """Those that ran beside it are no suspects once they were served."""

    async def story():
        async with FleetBed() as bed:
            for turn in range(6):
                beside = [
                    bed.ask(turn % 3, "/resumable/b", f"b{turn}-{n}", body=b"%d" % n)
                    for n in range(6)
                ]
                crash = bed.ask(turn % 3, "/resumable/b", f"c{turn}", body=b"crash")
                *answers, _ = await asyncio.gather(*beside, crash)
                assert [one.status for one in answers] == [200] * 6
                assert all(one.whole for one in answers)
                await eventually(lambda: bed.whole, "upstreams are back")
            assert len(bed.crashed) == 2

    run(story())


def test_same_question_of_many_callers_survives_upstreams_that_crash_beside_it(run):
    """All callers ask the same; upstreams end one after the other for other reasons.

    Each has some of these requests then. Held back, all callers would be refused.
    """

    async def story():
        async with FleetBed() as bed:
            bed.usual["services"] = Behaviour(delay_s=0.05)
            statuses = []

            async def keep_asking(caller):
                for turn in range(12):
                    answer = await bed.ask(
                        caller % 3, "/safe/same", f"s{caller}-{turn}", method="GET"
                    )
                    statuses.append(answer.status)

            callers = [asyncio.ensure_future(keep_asking(n)) for n in range(6)]
            for _ in range(4):
                await asyncio.sleep(0.07)
                bed.end("services")
                await eventually(lambda: bed.whole, "upstreams are back")
            await asyncio.gather(*callers)
            assert statuses.count(200) >= len(statuses) - 6
            last = await bed.ask(0, "/safe/same", "last", method="GET")
            assert last.status == 200

    run(story())


def test_mute_upstreams_hold_no_request_back(run):
    """Nothing shows that an upstream has ended there; it tells little."""

    async def story():
        async with FleetBed() as bed:
            bed.usual["services"] = Behaviour(mute=True)
            for turn in range(4):
                answer = await bed.ask(
                    turn % 3,
                    "/safe/m",
                    f"m{turn}",
                    headers=[(NAMES.deadline, b"400")],
                )
                assert answer.status in (502, 503, 504)
            (digest,) = bed.gateways[0].state.quarantine.digests()
            found = bed.gateways[0].state.quarantine.findings(digest, 0.0)
            assert {one.weight for one in found} == {1}
            bed.usual["services"] = Behaviour()
            answer = await bed.ask(0, "/safe/m", "m9")
            assert answer.status == 200

    run(story())
