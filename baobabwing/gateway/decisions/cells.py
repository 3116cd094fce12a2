"""Which upstreams of a pool are scheduled together."""

from __future__ import annotations

from collections.abc import Iterable

from baobabwing.fleet.draw import weighted_draw

__all__ = ["CELL_SIZE", "cell_layout"]

# Most upstreams of a cell, on average. One node orders the requests of a cell: at 16
# engines that is some 110 requests a second, 5 to 10% of a small host's core. Larger
# cells share their places better, smaller ones spread that work over more nodes.
CELL_SIZE = 16


def cell_layout(
    instances: Iterable[str], *, size: int = CELL_SIZE
) -> tuple[tuple[str, ...], ...]:
    """Divide the incarnations of a pool into cells.

    Nodes that see the same list divide it alike. One that comes or goes moves no
    other, as long as the number of cells stays.

    :param size: upstreams of a cell on average, at the most.
    :returns: incarnations of each cell, sorted; at least one cell.

    Notes
    -----
    Takes time in proportion to instances times cells.

    Examples
    --------
    >>> cell_layout(["b", "a"])
    (('a', 'b'),)

    """
    names = sorted(instances)
    count = max(-(-len(names) // size), 1)
    cells: list[list[str]] = [[] for _ in range(count)]
    for name in names:
        draws = [weighted_draw(str(cell), name, weight=1.0) for cell in range(count)]
        cells[draws.index(max(draws))].append(name)
    return tuple(tuple(cell) for cell in cells)
