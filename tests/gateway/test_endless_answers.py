"""An upstream sends bytes without end until its connection is closed."""

import asyncio
import dataclasses

import pytest

from baobabwing.gateway.connection import HttpConnection
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import (
    NAMES,
    GatewayHarness,
    ask,
    default_configuration,
    eventually,
)

HEADS = ("noise", "interim")
BODIES = ("unframed", "chunks")
EVENTS = ("event", "comments")
# What one answer may take of a node's memory.
MAX_RECEIVED_BYTES = 8 * 1024 * 1024
# Callers wait for longer than the tests do.
PATIENT = [(NAMES.deadline, b"60000")]


@pytest.fixture(autouse=True)
def received(monkeypatch):
    """Count the bytes that the gateway receives from upstreams."""

    counts = []
    receive = HttpConnection.data_received

    def count(conn, data):
        counts.append(len(data))
        receive(conn, data)

    monkeypatch.setattr(HttpConnection, "data_received", count)
    return counts


def patient_configuration():
    cfg = default_configuration()
    routes = (dataclasses.replace(route, timeout_s=60.0) for route in cfg.routes)
    return dataclasses.replace(cfg, routes=tuple(routes))


def sending_without_end(harness):
    return sum(upstream.endless for upstream, _ in harness.upstreams.values())


@pytest.mark.parametrize("form", [*HEADS, *BODIES, *EVENTS])
def test_endless_answer_is_closed_and_the_request_is_served_elsewhere(
    run, form, received
):
    """It was read into memory until the caller's deadline, and then given up."""

    async def scenario():
        pool = "engines" if form in EVENTS else "services"
        target = "/resumable/x" if form in EVENTS else "/safe/x"
        async with GatewayHarness(patient_configuration()) as harness:
            harness.behaviour[f"{pool}-1"] = Behaviour(endless=form)
            for number in range(6):
                conn = await harness.caller()
                answer = await ask(conn, target, f"c{number}", headers=PATIENT)
                assert (answer.status, answer.whole) == (200, True)
                conn.close()
            seen = harness.upstreams[f"{pool}-1"][0].seen
            assert 1 <= len(seen) < 6
            await eventually(lambda: not sending_without_end(harness), "closed")
            assert sum(received) < MAX_RECEIVED_BYTES * len(seen)

    run(scenario())


@pytest.mark.parametrize("form", [*BODIES, *EVENTS])
def test_endless_answer_to_a_request_that_may_run_once_ends(run, form):
    async def scenario():
        pool = "engines" if form in EVENTS else "services"
        target = "/stream/x" if form in EVENTS else "/unsafe/x"
        async with GatewayHarness(patient_configuration()) as harness:
            harness.behaviour[pool] = Behaviour(endless=form)
            conn = await harness.caller()
            answer = await ask(conn, target, "c1", headers=PATIENT)
            assert not (answer.status == 200 and answer.whole)
            await eventually(lambda: not sending_without_end(harness), "closed")

    run(scenario())


def test_bytes_after_a_whole_answer_end_the_connection(run):
    """Unread, they kept the connection open, and it was offered to the next request."""

    async def scenario():
        async with GatewayHarness(patient_configuration()) as harness:
            harness.behaviour["services"] = Behaviour(endless="extra")
            for number in range(3):
                conn = await harness.caller()
                answer = await ask(conn, "/unsafe/x", f"c{number}")
                assert (answer.status, answer.body) == (200, b"whole")
                conn.close()
            await eventually(lambda: not sending_without_end(harness), "closed")

    run(scenario())


def test_long_answer_to_a_slow_reader_is_whole(run):
    """It takes longer than an endless one may, with many pauses."""

    async def scenario():
        async with GatewayHarness(patient_configuration()) as harness:
            harness.behaviour["engines"] = Behaviour(
                events=150, gap_s=0.01, padding=20_000
            )
            conn = await harness.caller()
            asked = asyncio.ensure_future(ask(conn, "/stream/x", "c1"))
            await asyncio.sleep(0)
            answer = await asked
            assert (answer.status, answer.whole) == (200, True)
            assert answer.body.count(b"data: ") == 150

    run(scenario())


def test_stream_of_more_events_than_tokens_ends(run):
    """Events of the right form came without end, too."""

    async def scenario():
        async with GatewayHarness(patient_configuration()) as harness:
            harness.behaviour["engines"] = Behaviour(events=100_000, gap_s=0.001)
            conn = await harness.caller()
            headers = [*PATIENT, (NAMES.tokens, b"100,40")]
            answer = await ask(conn, "/stream/x", "c1", headers=headers)
            assert not answer.whole
            assert answer.body.count(b"data: ") <= 2 * 40 + 16
            await eventually(
                lambda: all(not one.working for one, _ in harness.upstreams.values()),
                "the engine stops",
            )

    run(scenario())
