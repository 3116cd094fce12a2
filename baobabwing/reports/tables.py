"""Plain text tables for terminals."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["format_table"]

GAP = "  "


def format_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a text table with a header.

    The first column is left-aligned, all others are right-aligned.
    """
    columns = list(zip(head, *rows, strict=True))
    widths = [max(len(cell) for cell in column) for column in columns]
    lines = [_line(row, widths) for row in (head, *rows)]
    lines.insert(1, GAP.join("-" * width for width in widths))
    return "\n".join(lines)


def _line(cells: Sequence[str], widths: Sequence[int]) -> str:
    first = cells[0].ljust(widths[0])
    rest = [
        cell.rjust(width) for cell, width in zip(cells[1:], widths[1:], strict=True)
    ]
    return GAP.join([first, *rest]).rstrip()
