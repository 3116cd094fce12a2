"""A request's trace from the logs of several nodes."""

import json

from typer.testing import CliRunner

from baobabwing.cli.main import app
from baobabwing.reports.explain import explain, render


def line(event, at, node="n1", **fields):
    return json.dumps({"event": event, "steady_s": at, "node": node, **fields})


LOG = [
    line("request_sent", 10.0, request="r1", upstream="i-1", waited_ms=3.0),
    line("source_lost", 10.1, table="servers"),
    line("request_repeated", 10.2, request="r1", after="failed"),
    line("request_sent", 10.2, request="other"),
    line("request_late_or_failed", 10.9, request="r1", outcome="late"),
    line("source_regained", 30.0),
    line("lines_left_out", 31.0, counts={"1502": 4}),
    '{"event": "cut in the mid',
]


def test_lines_in_order_with_what_the_node_believed_meanwhile():
    trace = explain("r1", [reversed(LOG)])
    events = [one["event"] for one in trace.lines]
    assert events == ["request_sent", "request_repeated", "request_late_or_failed"]
    assert [one["event"] for one in trace.around] == ["source_lost"]
    assert trace.deciding["event"] == "request_late_or_failed"
    assert trace.left_out == {"1502": 4}
    assert trace.unreadable == 1


def test_text_names_the_deciding_step_and_what_is_missing():
    text = render(explain("r1", [LOG]))
    assert "decided by: request_late_or_failed: outcome=late" in text
    assert "1502 x 4" in text
    assert "1 lines could not be read" in text


def test_lines_of_a_bench_with_words_before_them_are_read():
    trace = explain("r1", [["  10.0 node-1 " + one for one in LOG]])
    assert len(trace.lines) == 3


def test_command(tmp_path):
    file = tmp_path / "n1.log"
    file.write_text("\n".join(LOG))
    found = CliRunner().invoke(app, ["explain", "r1", str(file)])
    assert found.exit_code == 0
    assert "decided by" in found.output
    missing = CliRunner().invoke(app, ["explain", "nobody", str(file)])
    assert missing.exit_code == 1
