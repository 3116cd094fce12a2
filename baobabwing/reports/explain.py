"""One request's story, put together from the log lines of several nodes."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Story", "explain", "render"]

# What says how a request ended, strongest first.
_DECIDING = (
    "request_late_or_failed",
    "request_refused",
    "caller_left",
    "limit_reached",
    "request_ended",
)
_LEFT_OUT = "lines_left_out"
_HIDDEN = ("event", "number", "level", "node", "timestamp", "steady_s", "request")


@dataclass(frozen=True, kw_only=True)
class Story:
    """What log lines say of one request.

    :param lines: its lines by node and steady time.
    :param around: changes of what those nodes believed within the same time.
    :param deciding: the line that says how it ended, if there is one.
    :param left_out: lines that these nodes left out, by number.
    :param unreadable: lines that are no events, cut ones among them.
    """

    request: str
    lines: tuple[dict[str, Any], ...]
    around: tuple[dict[str, Any], ...] = ()
    deciding: dict[str, Any] | None = None
    left_out: dict[str, int] = field(default_factory=dict)
    unreadable: int = 0


def explain(request: str, sources: Iterable[Iterable[str]]) -> Story:
    """Return the story of a request.

    Steady clocks of two nodes have nothing to do with each other, so that lines are
    put in order within a node; a caller's attempt goes to one node only.

    :param sources: log lines, one iterable a file.
    """
    found: list[dict[str, Any]] = []
    beliefs: list[dict[str, Any]] = []
    left_out: dict[str, int] = {}
    unreadable = 0
    for source in sources:
        for text in source:
            line = _parse(text)
            if line is None:
                unreadable += bool(text.strip())
            elif line.get("request") == request:
                found.append(line)
            elif line["event"] == _LEFT_OUT:
                _add(left_out, line.get("counts", {}))
            elif "request" not in line:
                beliefs.append(line)
    found.sort(key=_order)
    return Story(
        request=request,
        lines=tuple(found),
        around=tuple(_around(found, beliefs)),
        deciding=_decide(found),
        left_out=left_out,
        unreadable=unreadable,
    )


def render(story: Story) -> str:
    """Return a story as text for a person."""
    if not story.lines:
        text = [f"no line names request {story.request}"]
    else:
        text = [f"request {story.request}"]
        merged = sorted([*story.lines, *story.around], key=_order)
        begin = story.lines[0].get("steady_s", 0.0)
        text.extend(_line(one, begin) for one in merged)
    if story.deciding is not None:
        text.append(f"decided by: {story.deciding['event']}: {_fields(story.deciding)}")
    if story.left_out:
        counts = ", ".join(f"{n} x {count}" for n, count in story.left_out.items())
        text.append(f"left out by these nodes, by number: {counts}")
    if story.unreadable:
        text.append(f"{story.unreadable} lines could not be read")
    return "\n".join(text)


def _parse(text: str) -> dict[str, Any] | None:
    start = text.find("{")
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    return line if isinstance(line, dict) and "event" in line else None


def _order(line: dict[str, Any]) -> tuple[str, float]:
    return str(line.get("node", "")), float(line.get("steady_s", 0.0))


def _add(totals: dict[str, int], counts: dict[str, int]) -> None:
    for number, count in counts.items():
        totals[number] = totals.get(number, 0) + int(count)


def _around(
    found: list[dict[str, Any]], beliefs: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    spans: dict[str, tuple[float, float]] = {}
    for line in found:
        node, at = _order(line)
        low, high = spans.get(node, (at, at))
        spans[node] = (min(low, at), max(high, at))
    near = []
    for line in beliefs:
        node, at = _order(line)
        if node in spans and spans[node][0] <= at <= spans[node][1]:
            near.append(line)
    return near


def _decide(found: list[dict[str, Any]]) -> dict[str, Any] | None:
    for event in _DECIDING:
        for line in reversed(found):
            if line["event"] == event:
                return line
    return None


def _line(line: dict[str, Any], begin: float) -> str:
    after_ms = (float(line.get("steady_s", 0.0)) - begin) * 1000
    mark = " " if "request" in line else "~"
    node = line.get("node", "?")
    return f"{mark} {after_ms:+9.1f} ms  {node}  {line['event']}: {_fields(line)}"


def _fields(line: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _HIDDEN and value not in ("", None)
    )
