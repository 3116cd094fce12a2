"""An upstream that pauses is left only once another one is sure to go on."""

import asyncio
import time

import pytest

from baobabwing.gateway.decisions.quarantine import CrashReport, CrashReportKind
from baobabwing.gateway.model import RouteKind, UpstreamEntry
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import (
    NAMES,
    GatewayHarness,
    ask,
    default_configuration,
    eventually,
    free_address,
    route,
    send,
)

EVENTS = 6
# Longer than the timeouts of the routes below, and than the time after which a request
# without a slot is refused.
PAUSE_S = 1.6
PAUSING_STREAM = Behaviour(events=EVENTS, stall_after=2, stall_s=PAUSE_S)
PAUSING_ANSWER = Behaviour(delay_s=PAUSE_S, events=EVENTS)
ENDLESS = Behaviour(events=400, gap_s=0.05)


def configuration():
    usual = default_configuration()
    resumable = route(
        "resumable",
        "/resumable/",
        RouteKind.STREAM,
        resumable=True,
        attempts=2,
        gap_objective_s=0.1,
    )
    routes = [one for one in usual.routes if one.name != "resumable"]
    return default_configuration(routes=(*routes, resumable))


def whole(request_id, first=1):
    return b"".join(
        b"id: %d\ndata: piece %d of %s\n\n" % (n, n, request_id.encode())
        for n in range(first, EVENTS + 1)
    )


async def fill(harness, engine, count=5):
    """Take all slots of an engine, and the one in excess of them."""
    others = {name for name in harness.upstreams if name != engine}
    harness.list_all(without=others)
    harness.behaviour[engine] = ENDLESS
    conns = [await harness.caller() for _ in range(count)]
    for number, conn in enumerate(conns):
        await send(conn, "/stream/x", f"fill{number}")
    upstream, _ = harness.upstreams[engine]
    await eventually(lambda: upstream.working == count, "full engine")
    harness.list_all()
    return conns


async def no_slot_elsewhere(harness):
    await fill(harness, "engines-2")


async def no_connection_elsewhere(harness):
    entries = [
        UpstreamEntry(
            instance=name,
            pool="engines",
            address=harness.upstreams[name][0].address
            if name == "engines-1"
            else free_address(),
            slots=4,
        )
        for name in ("engines-1", "engines-2")
    ]
    pool = harness.gateway.state.pool("engines")
    harness.gateway.state.take_upstreams(entries, source="test")
    pool.scheduler.tracks["engines-2"].event_interval_s = 1.0
    pool.scheduler.tracks["engines-1"].event_interval_s = 0.001


async def retry_budget_used_up(harness):
    pool = harness.gateway.state.pool("engines")
    pool.budget.reload(ratio=0.0, slack=1.0, window_s=10.0, now=time.monotonic())


async def quarantined_elsewhere(harness):
    """Another node reports the request while it runs."""

    async def report():
        upstream, _ = harness.upstreams["engines-1"]
        await eventually(lambda: upstream.working, "run")
        call = await running_call(harness)
        found = CrashReport(
            digest=call.digest, kind=CrashReportKind.HELD, times=1, left_s=30.0
        )
        harness.gateway.state.quarantine.hear(found, time.monotonic())

    harness.reporting = asyncio.ensure_future(report())


async def running_call(harness):
    await eventually(lambda: harness.calls, "a call")
    return harness.calls[0]


OBSTACLES = [
    no_slot_elsewhere,
    no_connection_elsewhere,
    retry_budget_used_up,
    quarantined_elsewhere,
]


def remember_calls(harness, monkeypatch):
    """Keep the calls that the gateway serves in ``harness.calls``."""
    harness.calls = []
    forwarder = harness.gateway.callers._forwarder
    serve = forwarder._serve

    async def remember(call, pool):
        harness.calls.append(call)
        await serve(call, pool)

    monkeypatch.setattr(forwarder, "_serve", remember)


@pytest.mark.parametrize("behaviour", [PAUSING_STREAM, PAUSING_ANSWER])
@pytest.mark.parametrize("obstacle", OBSTACLES)
def test_paused_answer_is_not_given_up_before_its_replacement_is_assured(
    run, monkeypatch, obstacle, behaviour
):
    """The engine goes on after its pause; nothing else could have."""

    async def scenario():
        async with GatewayHarness(configuration()) as harness:
            remember_calls(harness, monkeypatch)
            await obstacle(harness)
            harness.behaviour["engines-1"] = behaviour
            harness.behaviour.setdefault("engines-2", behaviour)
            conn = await harness.caller()
            answer = await ask(conn, "/resumable/x", "p1")
            assert (answer.status, answer.whole) == (200, True)
            assert answer.body == whole("p1")
            assert harness.runs("p1") == 1

    run(scenario())


def test_service_that_pauses_is_not_left_for_a_slot_that_comes_too_late(run):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.list_all(without=("services-1",))
            harness.behaviour["services-2"] = Behaviour(mute=True)
            fillers = [await harness.caller() for _ in range(8)]
            for number, conn in enumerate(fillers):
                await send(conn, "/unsafe/x", f"fill{number}")
            upstream, _ = harness.upstreams["services-2"]
            await eventually(lambda: upstream.working == 8, "full service")
            harness.list_all()
            harness.behaviour["services-1"] = Behaviour(delay_s=0.8)
            conn = await harness.caller()
            deadline = [(NAMES.deadline, b"1500")]
            answer = await ask(conn, "/safe/x", "s1", method="GET", headers=deadline)
            assert (answer.status, answer.body) == (200, b"answer to s1")

    run(scenario())


async def lose_first_engine_while_the_other_is_full(behaviour):
    """Return once a stream has gone on at a slot that came free late.

    :param behaviour: how the first engine of the stream stops to send.
    """
    async with GatewayHarness(configuration()) as harness:
        fillers = await fill(harness, "engines-2")
        harness.behaviour["engines-1"] = behaviour
        conn = await harness.caller()
        answer = asyncio.ensure_future(ask(conn, "/resumable/x", "p1"))
        await eventually(lambda: harness.runs("p1") == 1, "first run")
        # The stream must outlast the time after which late requests are refused.
        await asyncio.sleep(PAUSE_S)
        harness.behaviour["engines-2"] = Behaviour(events=EVENTS)
        fillers[0].abort()
        answer = await answer
        assert (answer.whole, answer.body) == (True, whole("p1"))
        assert harness.runs("p1") == 2


def test_unresponsive_engine_is_left_as_soon_as_a_slot_is_free(run):
    silent = Behaviour(events=EVENTS, stall_after=2, stall_s=60.0)
    run(lose_first_engine_while_the_other_is_full(silent))


def test_stream_whose_engine_ended_waits_for_a_slot_elsewhere(run):
    """A refusal would cut it, where a request that has not run comes back."""
    cut = Behaviour(events=EVENTS, cut_after=2)
    run(lose_first_engine_while_the_other_is_full(cut))


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour(events=EVENTS, gap_s=0.4),
        Behaviour(events=EVENTS, stall_after=2, stall_s=0.4, cut_after=2),
    ],
)
def test_engine_is_not_ejected_for_the_silence_of_one_request(
    run, monkeypatch, behaviour
):
    """A request pauses at it several times, or once before it is cut."""

    async def scenario():
        async with GatewayHarness(configuration()) as harness:
            remember_calls(harness, monkeypatch)
            await fill(harness, "engines-2")
            harness.behaviour["engines-1"] = behaviour
            conn = await harness.caller()
            await send(conn, "/resumable/x", "p1")
            await eventually(lambda: len(harness.calls) == 6, "call")
            call = harness.calls[-1]
            await eventually(lambda: call.attempts and call.attempts[0].ended, "end")
            await asyncio.sleep(0.2)
            (queue,) = harness.gateway._homes._queues.values()
            for scheduler in (
                queue.scheduler,
                harness.gateway.state.pool("engines").scheduler,
            ):
                track = scheduler.tracks["engines-1"]
                assert (0 < track.failure_rate < 0.3, track.eject_until) == (True, 0.0)

    run(scenario())
