"""Tables in Markdown and numbers in them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

__all__ = ["markdown_table", "short"]


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a table."""
    lines = [_line(head), "|" + "---|" * len(head)]
    return [*lines, *(_line(row) for row in rows)]


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def short(value: float) -> str:
    """Return a number with three digits that count."""
    if not value:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"
