"""Line charts as inline SVG."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from html import escape

__all__ = ["Threshold", "line_chart"]

WIDTH = 640
HEIGHT = 160
LEFT = 48
BOTTOM = 22
TOP = 10
RIGHT = 10
HEADROOM = 1.1


@dataclass(frozen=True, kw_only=True)
class Threshold:
    """A value that a chart marks with a labelled horizontal line."""

    value: float
    label: str


def line_chart(
    points: Sequence[tuple[float, float]],
    *,
    title: str,
    thresholds: Sequence[Threshold],
) -> str:
    """Return an SVG element with one line over time.

    :param points: pairs of seconds since 1970 and value, sorted by time.
    :param thresholds: drawn if they fit the scale of the points; the lowest is
        always drawn.
    """
    if not points:
        return f'<p class="none">{escape(title)}: no data</p>'
    lowest = min((line.value for line in thresholds), default=1.0)
    top = max([value for _, value in points] + [lowest]) * HEADROOM
    start_s, end_s = points[0][0], points[-1][0]

    def _x(at_s: float) -> float:
        span_s = (end_s - start_s) or 1.0
        return LEFT + (at_s - start_s) / span_s * (WIDTH - LEFT - RIGHT)

    def _y(value: float) -> float:
        return HEIGHT - BOTTOM - value / top * (HEIGHT - BOTTOM - TOP)

    path = " ".join(f"{_x(at_s):.1f},{_y(value):.1f}" for at_s, value in points)
    marks = [
        _threshold(line, _y(line.value)) for line in thresholds if line.value <= top
    ]
    return "\n".join(
        (
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img"'
            f' aria-label="{escape(title, quote=True)}">',
            f"<title>{escape(title)}</title>",
            _axis(start_s, end_s, top),
            *marks,
            f'<polyline class="burn" points="{path}"/>',
            "</svg>",
        )
    )


def _threshold(line: Threshold, y: float) -> str:
    return (
        f'<line class="limit" x1="{LEFT}" x2="{WIDTH - RIGHT}"'
        f' y1="{y:.1f}" y2="{y:.1f}"/>'
        f'<text x="{WIDTH - RIGHT}" y="{y - 3:.1f}" text-anchor="end">'
        f"{escape(line.label)}</text>"
    )


def _axis(start_s: float, end_s: float, top: float) -> str:
    floor = HEIGHT - BOTTOM
    return (
        f'<line class="axis" x1="{LEFT}" x2="{WIDTH - RIGHT}"'
        f' y1="{floor}" y2="{floor}"/>'
        f'<line class="axis" x1="{LEFT}" x2="{LEFT}" y1="{TOP}" y2="{floor}"/>'
        f'<text x="{LEFT - 4}" y="{TOP + 8}" text-anchor="end">{top:.3g}</text>'
        f'<text x="{LEFT - 4}" y="{floor}" text-anchor="end">0</text>'
        f'<text x="{LEFT}" y="{HEIGHT - 6}">{_clock(start_s)}</text>'
        f'<text x="{WIDTH - RIGHT}" y="{HEIGHT - 6}" text-anchor="end">'
        f"{_clock(end_s)}</text>"
    )


def _clock(at_s: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(at_s))
