"""Callers that use a stopping node's connections until it is gone."""

import asyncio

import pytest

from baobabwing.gateway.model import EngineSpec, PoolSpec
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import (
    NAMES,
    GatewayHarness,
    ask,
    default_configuration,
    eventually,
    read,
    send,
)

GAP_S = 0.05
# The harness stops within 3 s.
SHORT, LONG = 6, 80
DEADLINE = (NAMES.deadline, b"20000")


def configuration():
    engine = EngineSpec(slots=4, kv_tokens=100_000, tokens_per_event=1)
    pools = (PoolSpec(name="services"), PoolSpec(name="engines", engine=engine))
    return default_configuration(pools=pools)


def stream(harness, events):
    harness.behaviour["engines"] = Behaviour(events=events, gap_s=GAP_S)
    hint = (NAMES.length_hint, b"%d" % events)
    return [DEADLINE, hint, (NAMES.tokens, b"10,%d" % (2 * events))]


async def learn_speeds(harness):
    """Have both engines answer once."""
    headers = stream(harness, SHORT)
    conns = [await harness.caller() for _ in range(6)]
    await asyncio.gather(
        *(
            ask(conn, "/resumable/x", f"w{number}", headers=headers)
            for number, conn in enumerate(conns)
        )
    )
    tracks = harness.gateway.state.pool("engines").scheduler.tracks.values()
    assert all(track.event_interval_s for track in tracks)


def test_request_that_cannot_be_whole_before_the_stop_is_refused_unrun(run):
    """An engine ran it, and the answer was cut in the middle as the node ended."""

    async def scenario():
        async with GatewayHarness(configuration()) as harness:
            await learn_speeds(harness)
            conn = await harness.caller()
            assert (await ask(conn, "/safe/x", "kept")).status == 200
            harness.gateway.leave()
            await eventually(lambda: not harness.gateway.state.ready, "leaving")
            headers = stream(harness, LONG)
            answer = await ask(conn, "/resumable/x", "long", headers=headers)
            assert (answer.status, harness.runs("long")) == (503, 0)
            assert answer.headers[b"connection"] == b"close"
            assert float(answer.headers[b"retry-after"]) <= 0.1

    run(scenario())


@pytest.mark.parametrize(
    "target", ["/safe/x", "/unsafe/x", "/resumable/x", "/stream/x"]
)
def test_request_that_can_be_whole_before_the_stop_is_served(run, target):
    async def scenario():
        async with GatewayHarness(configuration()) as harness:
            await learn_speeds(harness)
            conn = await harness.caller()
            assert (await ask(conn, "/safe/x", "kept")).status == 200
            harness.gateway.leave()
            await eventually(lambda: not harness.gateway.state.ready, "leaving")
            headers = stream(harness, SHORT)
            answer = await ask(conn, target, "short", headers=headers)
            assert (answer.status, answer.whole) == (200, True)
            assert answer.headers[b"connection"] == b"close"

    run(scenario())


def test_request_that_waits_for_a_slot_is_refused_once_it_would_be_cut(run):
    """It was sent when the slot came, with too little time left."""

    async def scenario():
        async with GatewayHarness(configuration()) as harness:
            await learn_speeds(harness)
            headers = stream(harness, 40)
            for number in range(10):
                conn = await harness.caller()
                await send(conn, "/resumable/x", f"fill{number}", headers=headers)
            await eventually(
                lambda: sum(one.working for one, _ in harness.upstreams.values()) >= 8,
                "all slots are taken",
            )
            conn = await harness.caller()
            await send(conn, "/resumable/x", "waits", headers=headers)
            await asyncio.sleep(0.1)
            harness.gateway.leave()
            answer = await read(conn)
            assert (answer.status, harness.runs("waits")) == (503, 0)

    run(scenario())


def test_answer_that_is_cut_all_the_same_is_counted(run):
    async def scenario():
        async with GatewayHarness(configuration()) as harness:
            await learn_speeds(harness)
            headers = stream(harness, SHORT)
            harness.behaviour["engines"] = Behaviour(
                events=9, stall_after=2, stall_s=60
            )
            conn = await harness.caller()
            await send(conn, "/stream/x", "stalls", headers=headers)
            await eventually(lambda: harness.runs("stalls"), "run")
            harness.gateway.leave()
            answer = await read(conn)
            assert not answer.whole
            counted = harness.gateway.metrics.requests
            assert counted.labels("engines", "0", "stopped").value == 1

    run(scenario())
