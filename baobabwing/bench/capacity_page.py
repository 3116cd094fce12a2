"""Puts the tables of ``docs/CAPACITY.md`` between their marks.

``python -m baobabwing.bench.capacity_page`` writes the page anew from the figures
in ``docs/capacity``; with ``--check`` it only tells whether they agree.
"""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Annotated

import typer

import baobabwing.bench.capacity_page_events
import baobabwing.bench.capacity_page_misfits
import baobabwing.bench.capacity_page_roles  # noqa: F401  (adds its tables, as the two above)
from baobabwing.bench.capacity_page_registry import (
    Measured,
    render_table,
    table_names,
)
from baobabwing.bench.slopes.measure import FOLDER, MEMBERSHIP, load_runs, load_slopes
from baobabwing.exceptions import BaobabwingError

__all__ = ["CapacityPageError", "main", "read_measured", "write_tables"]

PAGE = Path("docs/CAPACITY.md")
MEMBERSHIP_COMMAND = (
    "python -m baobabwing.bench.membership --sizes 3,12,48 "
    "--output docs/capacity/membership.json"
)
_BLOCK = re.compile(
    r"(<!-- table (?P<name>[a-z-]+) -->\n).*?(<!-- end of table -->)", re.DOTALL
)


class CapacityPageError(BaobabwingError):
    """The page has a mark for a table that there is not, or lacks one."""


def read_measured(folder: Path) -> Measured:
    """Read all figures of a folder.

    :raises OSError: if a file cannot be read.
    """
    commands = {MEMBERSHIP: MEMBERSHIP_COMMAND}
    for path in sorted(folder.glob("*.json")):
        document = json.loads(path.read_text(encoding="utf-8"))
        if isinstance(document, dict):
            commands[path.stem] = document["command"]
    return Measured(
        slopes=load_slopes(folder), runs=load_runs(folder), commands=commands
    )


def write_tables(page: str, measured: Measured) -> str:
    """Return the page with each table as the figures give it.

    :raises CapacityPageError: if the page's marks and the tables differ.
    """
    marked = [found["name"] for found in _BLOCK.finditer(page)]
    if sorted(marked) != sorted(table_names()):
        different = sorted(set(marked) ^ set(table_names()))
        raise CapacityPageError(
            f"tables without a mark or marks without a table, or marked twice: "
            f"{', '.join(different) or ', '.join(marked)}",
            step="capacity page",
        )
    return _BLOCK.sub(
        lambda found: (
            found[1] + "\n" + render_table(found["name"], measured) + "\n\n" + found[3]
        ),
        page,
    )


def main(
    check: Annotated[bool, typer.Option(help="Write nothing.")] = False,
    page: Annotated[Path, typer.Option(help="The page.")] = PAGE,
    folder: Annotated[Path, typer.Option(help="The figures.")] = FOLDER,
) -> None:
    """Write the tables of the page, or check them."""
    before = page.read_text(encoding="utf-8")
    after = write_tables(before, read_measured(folder))
    if check and before != after:
        typer.echo(f"{page} is not what {folder} gives; run make capacity", err=True)
        raise typer.Exit(code=1)
    if not check:
        page.write_text(after, encoding="utf-8")


if __name__ == "__main__":
    typer.run(main)
