"""Reconstruct what happened to one request from the log lines of several nodes."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

__all__ = ["RequestTrace", "explain", "render"]

# Events that state how a request ended; the first one found, in this order, wins.
_DECIDING_EVENTS = (
    "request_late_or_failed",
    "request_refused",
    "caller_left",
    "limit_reached",
    "request_ended",
)
_DROPPED_LINES_EVENT = "lines_left_out"
_OMITTED_FIELDS = (
    "event",
    "number",
    "level",
    "node",
    "timestamp",
    "steady_s",
    "request",
)


@dataclass(frozen=True, kw_only=True)
class RequestTrace:
    """Log lines of one request and their context.

    :param request: id of the request.
    :param lines: lines of the request, sorted by node and steady clock.
    :param around: lines without a request id that the same nodes logged between
        the first and the last line of the request.
    :param deciding: the line that states how the request ended, if any.
    :param taken_up_by: requests by which its caller took up the stream that it began.
    :param left_out: number of lines dropped to bound the log volume, by event
        number, over all sources.
    :param unreadable: number of non-empty lines that are not events, such as
        truncated ones.
    """

    request: str
    lines: tuple[dict[str, Any], ...]
    around: tuple[dict[str, Any], ...] = ()
    deciding: dict[str, Any] | None = None
    taken_up_by: tuple[str, ...] = ()
    left_out: dict[str, int] = field(default_factory=dict)
    unreadable: int = 0


def explain(request: str, sources: Iterable[Iterable[str]]) -> RequestTrace:
    """Return the trace of a request.

    The steady clocks of two nodes are unrelated, so lines are ordered only within
    a node. Each attempt of a caller goes to a single node.

    :param request: id of the request.
    :param sources: log lines, one iterable per file.
    """
    request_lines: list[dict[str, Any]] = []
    state_changes: list[dict[str, Any]] = []
    taken_up_by: dict[str, None] = {}
    left_out: dict[str, int] = {}
    unreadable = 0
    for source in sources:
        for text in source:
            line = _parse(text)
            if line is None:
                unreadable += bool(text.strip())
            elif line.get("request") == request:
                request_lines.append(line)
            elif line["event"] == _DROPPED_LINES_EVENT:
                _add_counts(left_out, line.get("counts", {}))
            elif line.get("resumes") == request and "request" in line:
                taken_up_by[line["request"]] = None
            elif "request" not in line:
                state_changes.append(line)
    request_lines.sort(key=_sort_key)
    return RequestTrace(
        request=request,
        lines=tuple(request_lines),
        around=tuple(_state_changes_within(request_lines, state_changes)),
        deciding=_deciding_line(request_lines),
        taken_up_by=tuple(taken_up_by),
        left_out=left_out,
        unreadable=unreadable,
    )


def render(trace: RequestTrace) -> str:
    """Return a trace as readable text."""
    if not trace.lines:
        text = [f"no line names request {trace.request}"]
    else:
        text = [f"request {trace.request}"]
        merged = sorted([*trace.lines, *trace.around], key=_sort_key)
        start_s = trace.lines[0].get("steady_s", 0.0)
        text.extend(_format_line(one, start_s) for one in merged)
    if trace.deciding is not None:
        text.append(
            f"decided by: {trace.deciding['event']}: {_format_fields(trace.deciding)}"
        )
    if trace.taken_up_by:
        text.append(f"its stream was taken up by: {', '.join(trace.taken_up_by)}")
    if trace.left_out:
        counts = ", ".join(f"{n} x {count}" for n, count in trace.left_out.items())
        text.append(f"left out by these nodes, by number: {counts}")
    if trace.unreadable:
        text.append(f"{trace.unreadable} lines could not be read")
    return "\n".join(text)


def _parse(text: str) -> dict[str, Any] | None:
    start = text.find("{")
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    return line if isinstance(line, dict) and "event" in line else None


def _sort_key(line: dict[str, Any]) -> tuple[str, float]:
    return str(line.get("node", "")), float(line.get("steady_s", 0.0))


def _add_counts(totals: dict[str, int], counts: dict[str, int]) -> None:
    for number, count in counts.items():
        totals[number] = totals.get(number, 0) + int(count)


def _state_changes_within(
    request_lines: list[dict[str, Any]], state_changes: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    spans: dict[str, tuple[float, float]] = {}
    for line in request_lines:
        node, at = _sort_key(line)
        low, high = spans.get(node, (at, at))
        spans[node] = (min(low, at), max(high, at))
    concurrent = []
    for line in state_changes:
        node, at = _sort_key(line)
        if node in spans and spans[node][0] <= at <= spans[node][1]:
            concurrent.append(line)
    return concurrent


def _deciding_line(request_lines: list[dict[str, Any]]) -> dict[str, Any] | None:
    for event in _DECIDING_EVENTS:
        for line in reversed(request_lines):
            if line["event"] == event:
                return line
    return None


def _format_line(line: dict[str, Any], start_s: float) -> str:
    after_ms = (float(line.get("steady_s", 0.0)) - start_s) * 1000
    marker = " " if "request" in line else "~"
    node = line.get("node", "?")
    return (
        f"{marker} {after_ms:+9.1f} ms  {node}  {line['event']}: {_format_fields(line)}"
    )


def _format_fields(line: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _OMITTED_FIELDS and value not in ("", None)
    )
