"""Each request is counted once, under its outcome."""

import asyncio
import re

import pytest
import structlog

from baobabwing.gateway.metrics import Outcome
from baobabwing.gateway.model import CallerLimits
from baobabwing.gateway.request_head import PromptPart, RequestHead
from baobabwing.gateway.request_recorder import part_names
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import (
    NAMES,
    GatewayHarness,
    ask,
    default_configuration,
    eventually,
    organisation,
    send,
)


def counts(harness):
    by_outcome = {}
    for metric in harness.gateway.metrics.requests.collect():
        for sample in metric.samples:
            if sample.name.endswith("_total") and sample.value:
                outcome = sample.labels["outcome"]
                by_outcome[outcome] = by_outcome.get(outcome, 0) + sample.value
    return by_outcome


CASES = [
    ("/safe/x", Behaviour(), Outcome.IN_TIME),
    ("/stream/x", Behaviour(events=3), Outcome.IN_TIME),
    ("/unsafe/x", Behaviour(refuse=True), Outcome.REFUSED),
    ("/unsafe/x", Behaviour(cut_after=0), Outcome.FAILED),
    ("/unsafe/x", Behaviour(status=500), Outcome.UPSTREAM_FAILURE),
    ("/stream/x", Behaviour(events=9, cut_after=2), Outcome.BROKEN),
    ("/nowhere/x", Behaviour(), Outcome.REFUSED),
]


@pytest.mark.parametrize(("target", "behaviour", "outcome"), CASES)
def test_each_outcome_is_counted_once(run, target, behaviour, outcome):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.behaviour.update(services=behaviour, engines=behaviour)
            conn = await harness.caller()
            await ask(conn, target, "c1")
            await eventually(lambda: counts(harness), "a count")
            assert counts(harness) == {outcome: 1.0}

    run(scenario())


def test_caller_that_leaves_is_counted_once(run):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.behaviour["engines"] = Behaviour(events=500, gap_s=0.05)
            conn = await harness.caller()
            await send(conn, "/stream/x", "l1")
            await eventually(lambda: harness.runs("l1") == 1)
            conn.abort()
            await eventually(lambda: counts(harness), "a count")
            assert counts(harness) == {Outcome.CALLER_LEFT: 1.0}

    run(scenario())


def test_no_secret_and_no_text_of_a_caller_is_logged(run):
    """Logs are passed on to other people by on-call engineers.

    They must contain no key and no text of a request or an answer.
    """

    async def scenario():
        cfg = default_configuration(
            organisations=(organisation("acme", "secret-key"),),
            keys_required=True,
            limits=CallerLimits(),
        )
        async with GatewayHarness(cfg) as harness:
            conn = await harness.caller()
            for target in ("/safe/x", "/unsafe/x", "/stream/x", "/nowhere/x"):
                for key in (b"secret-key", b"wrong-key"):
                    await ask(
                        conn,
                        target,
                        f"{target}-{key}",
                        body=b"private words",
                        headers=[(NAMES.key, key)],
                    )

    with structlog.testing.capture_logs() as lines:
        run(scenario())
    text = repr(lines)
    assert len(lines) > 8
    for secret in ("secret-key", "wrong-key", "private words", "piece 1"):
        assert secret not in text.replace("-b'secret-key'", "").replace(
            "-b'wrong-key'", ""
        )


def test_metrics_are_rendered(run):
    async def scenario():
        async with GatewayHarness() as harness:
            conn = await harness.caller()
            await ask(conn, "/safe/x", "m1")
            await asyncio.sleep(0)
            text = harness.gateway.metrics.render().decode()
            name = "baobabwing_gateway_requests_total"
            labels = 'outcome="in_time",pool="services",tier="0"'
            assert f"{name}{{{labels}}} 1.0" in text
            assert (
                'baobabwing_gateway_connect_seconds_count{pool="services"} 1.0' in text
            )

    run(scenario())


@pytest.mark.parametrize(
    ("target", "behaviour", "reason"),
    [
        ("/stream/x", Behaviour(events=9, cut_after=2), "all runs used"),
        ("/unsafe/x", Behaviour(cut_after=0), "all runs used"),
        ("/safe/x", Behaviour(mute=True), "deadline"),
        ("/stream/x", Behaviour(events=3), ""),
    ],
)
def test_line_of_a_failed_request_names_why_it_got_no_further_attempt(
    run, target, behaviour, reason
):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.behaviour.update(services=behaviour, engines=behaviour)
            conn = await harness.caller()
            with structlog.testing.capture_logs() as lines:
                await ask(conn, target, "c1", headers=[(NAMES.deadline, b"400")])
                await eventually(lambda: counts(harness), "a count")
            reasons = [line["reason"] for line in lines if line["number"] == 1507]
            assert reasons == ([reason] if reason else [])

    run(scenario())


def test_home_logs_the_late_requests_that_it_refuses(run):
    async def scenario():
        async with GatewayHarness() as harness:
            harness.list_all(without=("engines-2",))
            harness.behaviour["engines"] = Behaviour(events=400, gap_s=0.05)
            fillers = [await harness.caller() for _ in range(5)]
            for number, conn in enumerate(fillers):
                await send(conn, "/stream/x", f"fill{number}")
            upstream, _ = harness.upstreams["engines-1"]
            await eventually(lambda: upstream.working == 5, "full engine")
            conn = await harness.caller()
            with structlog.testing.capture_logs() as lines:
                answer = await ask(conn, "/stream/x", "c1")
            assert answer.status == 503
            (shed,) = [line for line in lines if line["number"] == 3512]
            assert (shed["refused"], shed["prioritized"]) == (1, 0)
            assert (shed["waiting"], shed["slots_per_s"]) == (0, 0.0)
            assert shed["late_ms"] > -1000 and shed["left_ms"] > 0

    run(scenario())


def test_answers_that_were_broken_off_are_counted_by_framing(run):
    async def scenario():
        async with GatewayHarness() as harness:
            conn = await harness.caller()
            for unframed in (False, True):
                harness.behaviour["engines"] = Behaviour(
                    events=9, cut_after=2, unframed=unframed
                )
                await ask(conn, "/stream/x", f"t{unframed}")
                conn = await harness.caller()
            metric = harness.gateway.metrics.truncated_answers
            found = {
                sample.labels["framing"]: sample.value
                for family in metric.collect()
                for sample in family.samples
                if sample.name.endswith("_total")
            }
            assert found == {"chunks": 1.0, "close": 1.0}

    run(scenario())


def test_line_of_a_send_names_the_software_and_the_stream_that_goes_on(run):
    async def scenario():
        harness = GatewayHarness()
        harness.software = {"engines-1": "v1.1", "engines-2": "v1.1"}
        async with harness:
            headers = [(NAMES.last_event, b"2"), (NAMES.resumes, b"first")]
            with structlog.testing.capture_logs() as lines:
                conn = await harness.caller()
                await ask(conn, "/resumable/x", "second", headers=headers)
            (sent,) = [line for line in lines if line["event"] == "request_sent"]
            assert sent["software"] == "v1.1"
            assert (sent["last_event"], sent["resumes"]) == ("2", "first")

    run(scenario())


def test_failed_attempt_names_the_parts_that_others_may_share():
    """Crashes of requests that have one part in common looked unrelated."""
    head = RequestHead(
        method="POST",
        target="/",
        headers=[],
        parts=tuple(PromptPart(name=name, tokens=9) for name in ("a", "b", "own")),
    )
    assert part_names(head) == ["a", "b"]


@pytest.mark.parametrize(
    ("zone", "upstream_zone", "crossing"),
    [("za", "za", "within"), ("za", "zb", "across"), ("za", "", "unknown")],
)
def test_what_crosses_zones_is_counted_and_logged(run, zone, upstream_zone, crossing):
    async def scenario():
        async with GatewayHarness(zone=zone, upstream_zone=upstream_zone) as harness:
            conn = await harness.caller()
            await ask(conn, "/safe/x", "z1", body=b"0123456789")
            await ask(conn, "/stream/x", "z2", body=b"0123456789")
            await asyncio.sleep(0)
            return harness.gateway.metrics.render().decode()

    with structlog.testing.capture_logs() as lines:
        text = run(scenario())
    for pool in ("services", "engines"):
        labels = f'{{crossing="{crossing}",pool="{pool}"}}'
        assert f"baobabwing_gateway_zone_sends_total{labels} 1.0" in text
        (size,) = re.findall(
            rf"^baobabwing_gateway_zone_bytes_total{labels} (\S+)$", text, re.M
        )
        assert float(size) > 10
    named = [line.get("zone") for line in lines if line["event"] == "request_sent"]
    assert named == [upstream_zone if crossing == "across" else None] * 2
