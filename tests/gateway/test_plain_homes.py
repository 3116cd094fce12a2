"""Requests for plain services whose slots a home grants, by a whole gateway."""

import contextlib

from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import GatewayHarness, ask, eventually

# More than the slots of both services.
NODES = 100


@contextlib.asynccontextmanager
async def sharing_harness():
    """Yield a gateway that is its own home, a caller, and its queue of services."""
    async with GatewayHarness() as harness:
        pool = harness.gateway.state.pool("services")
        pool.scheduler.shares_machines = True
        place = pool.place
        pool.place = lambda request, nodes: place(request, NODES)
        conn = await harness.caller()
        assert (await ask(conn, "/safe/x", "first")).status == 200
        (queue,) = harness.gateway._homes._queues.values()
        yield harness, conn, queue


def usable(queue) -> list[UpstreamTrack]:
    return [track for track in queue.scheduler.tracks.values() if track.is_usable(0.0)]


def test_home_learns_answer_times(run):
    async def scenario():
        async with sharing_harness() as (harness, conn, queue):
            harness.behaviour["services"] = Behaviour(delay_s=0.05)
            for number in range(4):
                assert (await ask(conn, "/safe/x", f"a{number}")).status == 200
            await eventually(lambda: not queue.reserved_count, "slots are released")
            times = [
                track.event_interval_s for track in queue.scheduler.tracks.values()
            ]
            assert max(seconds or 0.0 for seconds in times) >= 0.05

    run(scenario())


def test_answered_failures_eject_no_service_at_the_home(run):
    async def scenario():
        async with sharing_harness() as (harness, conn, queue):
            harness.behaviour["services"] = Behaviour(status=500)
            for number in range(8):
                assert (await ask(conn, "/unsafe/x", f"f{number}")).status == 500
            await eventually(lambda: not queue.reserved_count, "slots are released")
            assert len(usable(queue)) == 2

    run(scenario())


def test_refused_request_is_placed_by_the_home_again(run):
    async def scenario():
        async with sharing_harness() as (harness, conn, queue):
            harness.behaviour["services-1"] = Behaviour(refuse=True)
            for number in range(4):
                assert (await ask(conn, "/unsafe/x", f"r{number}")).status == 200
                assert harness.runs(f"r{number}") == 1
            await eventually(lambda: not queue.reserved_count, "slots are released")
            refused = [
                track.entry.name
                for track in queue.scheduler.tracks.values()
                if track.refused_at
            ]
            assert refused == ["services-1"]

    run(scenario())


def test_limit_on_refusals_ends_the_requests_to_the_home(run):
    async def scenario():
        async with sharing_harness() as (harness, conn, queue):
            pool = harness.gateway.state.pool("services")
            await eventually(lambda: not queue.reserved_count, "slots are released")
            last_used_at = queue.last_used_at
            pool.note_refusal_limit(8.0)
            harness.behaviour["services"] = Behaviour(status=500)
            assert (await ask(conn, "/unsafe/x", "l1")).status == 500
            assert queue.last_used_at == last_used_at

    run(scenario())
