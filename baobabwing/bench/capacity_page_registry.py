"""The tables of the capacity page, in a registry that a decorator fills."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from baobabwing.bench.slopes.end_to_end import EndToEnd
from baobabwing.bench.slopes.fitting import Slope

__all__ = ["Measured", "render_table", "table", "table_names"]


@dataclass(frozen=True, kw_only=True)
class Measured:
    """All that the page rests on.

    :param commands: of each measurement, by the name of its file.
    """

    slopes: dict[str, Slope]
    runs: Sequence[EndToEnd]
    commands: dict[str, str]

    def at(self, name: str, size: float) -> float:
        """Return a cost at a size, by its line."""
        return self.slopes[name].at(size)


Render = Callable[[Measured], list[str]]

_TABLES: dict[str, Render] = {}


def table_names() -> tuple[str, ...]:
    """Return the names of all tables."""
    return tuple(_TABLES)


def render_table(name: str, measured: Measured) -> str:
    """Return a table as Markdown.

    :raises KeyError: if there is none of that name.
    """
    return "\n".join(_TABLES[name](measured))


def table(name: str) -> Callable[[Render], Render]:
    """Add a function that makes a table from what was measured."""

    def register(render: Render) -> Render:
        _TABLES[name] = render
        return render

    return register
