"""Digests of requests: equal for repetitions, different for other requests."""

import pytest
import structlog

from baobabwing.gateway.digest import request_digest
from baobabwing.gateway.request_head import RequestHead
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import NAMES, GatewayHarness, ask

USUAL = {"method": "POST", "host": "a.example", "target": "/x/1", "key": "k"}


def digest(body=b"text", **changes):
    return request_digest(RequestHead(headers=[], **{**USUAL, **changes}), body)


def test_request_id_and_other_headers_do_not_count():
    repeated = digest(request_id="other", deadline_s=1.0, last_event="4", tokens_in=7)
    assert repeated == digest()


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "GET"},
        {"host": "b.example"},
        {"target": "/x/2"},
        {"target": "/x/1?page=2"},
        {"key": "other"},
        {"body": b"texts"},
        # The same characters, divided between target and key in another way.
        {"target": "/x/1k", "key": ""},
    ],
)
def test_method_host_path_key_and_body_count(changes):
    assert digest(**changes) != digest()


def test_characters_outside_latin_1_are_accepted():
    assert digest(target="/日") != digest(target="/x")


def failed_lines(run, target, behaviour):
    async def story():
        async with GatewayHarness() as harness:
            harness.behaviour["engines"] = behaviour
            conn = await harness.caller()
            await ask(conn, target, "d1", headers=[(NAMES.last_event, b"0")])

    with structlog.testing.capture_logs() as lines:
        run(story())
    return [line for line in lines if line["event"] == "upstream_failed"]


def test_failed_attempt_is_logged_with_digest_and_progress(run):
    (line,) = failed_lines(run, "/stream/x", Behaviour(events=9, cut_after=2))
    assert len(line["digest"]) == 16
    assert line["events"] == 2
    assert line["age_ms"] >= line["begun_ms"] >= 0


def test_each_failed_attempt_is_logged(run):
    lines = failed_lines(run, "/resumable/x", Behaviour(events=9, cut_after=2))
    assert [line["events"] for line in lines] == [2, 0]
    assert lines[0]["digest"] == lines[1]["digest"]
    assert lines[1]["begun_ms"] is None
