"""Partitioning of a pool into cells, each scheduled by one home."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

from baobabwing.pools.catalogue import Pool, Upstream

__all__ = ["cell_names", "cell_resource", "preferred_cell", "upstreams_of_cell"]


def cell_names(pool: Pool, upstreams: Sequence[Upstream]) -> tuple[str, ...]:
    """Return the names of a pool's cells.

    :param upstreams: the upstreams of the pool, in any order.
    :returns: ``pool/0``, ``pool/1`` and so on; at least one name.
    """
    count = max(1, math.ceil(len(upstreams) / pool.cell_size))
    return tuple(f"{pool.name}/{number}" for number in range(count))


def upstreams_of_cell(
    cell: str, pool: Pool, upstreams: Sequence[Upstream]
) -> tuple[Upstream, ...]:
    """Return the upstreams that belong to a cell.

    An upstream belongs to the cell with the highest hash for it (rendezvous
    hashing), so adding one moves no other while the number of cells is the same.

    :complexity: O(upstreams x cells).
    """
    names = cell_names(pool, upstreams)
    if len(names) == 1:
        return tuple(upstreams)
    return tuple(
        upstream
        for upstream in upstreams
        if _rendezvous_choice(upstream.name, names) == cell
    )


def preferred_cell(cells: Sequence[str], affinity: str) -> str:
    """Return the cell that is tried first for requests with an affinity key.

    :param affinity: a key that is equal for requests that share a prompt prefix.
    """
    return cells[0] if len(cells) == 1 else _rendezvous_choice(affinity, cells)


def cell_resource(cell: str) -> str:
    """Return the resource name that determines a cell's home."""
    return f"cell:{cell}"


def _rendezvous_choice(item: str, names: Sequence[str]) -> str:
    return max(names, key=lambda name: _hash(f"{name}\0{item}"))


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
