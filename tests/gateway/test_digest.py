"""The same request has the same digest each time, and no other has it."""

import pytest
import structlog

from baobabwing.gateway.digest import request_digest
from baobabwing.gateway.envelope import Envelope
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.bed import NAMES, Bed, ask

USUAL = {"method": "POST", "host": "a.example", "target": "/x/1", "key": "k"}


def digest(body=b"text", **changes):
    return request_digest(Envelope(headers=[], **{**USUAL, **changes}), body)


def test_what_differs_each_time_does_not_count():
    again = digest(request_id="other", deadline_s=1.0, last_event="4", tokens_in=7)
    assert again == digest()


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "GET"},
        {"host": "b.example"},
        {"target": "/x/2"},
        {"target": "/x/1?page=2"},
        {"key": "other"},
        {"body": b"texts"},
        # The same letters, divided in another way.
        {"target": "/x/1k", "key": ""},
    ],
)
def test_caller_path_and_body_count(changes):
    assert digest(**changes) != digest()


def test_letters_outside_latin_do_not_break_it():
    assert digest(target="/日") != digest(target="/x")


def failed_lines(run, target, how):
    async def story():
        async with Bed() as bed:
            bed.behaviour["engines"] = how
            conn = await bed.caller()
            await ask(conn, target, "d1", headers=[(NAMES.last_event, b"0")])

    with structlog.testing.capture_logs() as lines:
        run(story())
    return [line for line in lines if line["event"] == "upstream_failed"]


def test_log_of_a_failed_try_tells_the_request_and_whether_it_had_begun(run):
    (line,) = failed_lines(run, "/stream/x", Behaviour(events=9, cut_after=2))
    assert len(line["digest"]) == 16
    assert line["events"] == 2
    assert line["age_ms"] >= line["begun_ms"] >= 0


def test_each_try_is_told_by_itself(run):
    lines = failed_lines(run, "/resumable/x", Behaviour(events=9, cut_after=2))
    assert [line["events"] for line in lines] == [2, 0]
    assert lines[0]["digest"] == lines[1]["digest"]
    assert lines[1]["begun_ms"] is None
