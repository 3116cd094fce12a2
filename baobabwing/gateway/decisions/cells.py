"""Division of a pool into cells, whose upstreams are scheduled together."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["CELL_SIZE", "cell_layout"]

# Upper bound of the mean number of upstreams of a cell. One node schedules all requests
# of a cell: with 16 engines these are some 110 requests a second, which take 5 to 10%
# of a small host's core. Larger cells use their slots better, smaller ones spread the
# scheduling work over more nodes.
CELL_SIZE = 16
_HASH_BYTES = 8
# Multiplier and modulus of the 64-bit linear congruential generator of jump hashing,
# and the range of the numbers that are taken from it.
_LCG = 2862933555777941757
_MODULUS = 1 << 64
_JUMP_RANGE = 1 << 31


def cell_layout(
    instances: Iterable[str], *, size: int = CELL_SIZE
) -> tuple[tuple[str, ...], ...]:
    """Divide the incarnations of a pool into cells.

    The layout depends on the set of incarnations only, so nodes with the same list get
    the same layout. As long as the number of cells stays the same, an incarnation that
    is added or removed moves no other one. An additional cell only takes over its own
    share of the incarnations.

    :param instances: incarnations in any order.
    :param size: upper bound of the mean number of upstreams of a cell.
    :returns: incarnations of each cell, sorted; at least one cell.

    Notes
    -----
    Takes O(n log n) time for n incarnations.

    References
    ----------
    .. [1] J. Lamping and E. Veach, "A fast, minimal memory, consistent hash
       algorithm", arXiv:1406.2294, 2014.

    Examples
    --------
    >>> cell_layout(["b", "a"])
    (('a', 'b'),)

    """
    names = sorted(instances)
    count = max(-(-len(names) // size), 1)
    cells: list[list[str]] = [[] for _ in range(count)]
    for name in names:
        cells[_jump(_hash(name), count)].append(name)
    return tuple(tuple(cell) for cell in cells)


def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def _jump(key: int, buckets: int) -> int:
    """Return the bucket of a key by jump consistent hashing."""
    bucket, next_bucket = 0, 0
    while next_bucket < buckets:
        bucket = next_bucket
        key = (key * _LCG + 1) % _MODULUS
        next_bucket = int((bucket + 1) * (_JUMP_RANGE / ((key >> 33) + 1)))
    return bucket
