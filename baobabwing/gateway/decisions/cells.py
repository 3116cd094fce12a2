"""Which upstreams of a pool are scheduled together."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["CELL_SIZE", "cell_layout"]

# Most upstreams of a cell, on average. One node orders the requests of a cell: at 16
# engines that is some 110 requests a second, 5 to 10% of a small host's core. Larger
# cells share their places better, smaller ones spread that work over more nodes.
CELL_SIZE = 16
_HASH_BYTES = 8
# Multiplier of a 64-bit linear congruential generator, and its modulus.
_LCG = 2862933555777941757
_MODULUS = 1 << 64
_JUMP_RANGE = 1 << 31


def cell_layout(
    instances: Iterable[str], *, size: int = CELL_SIZE
) -> tuple[tuple[str, ...], ...]:
    """Divide the incarnations of a pool into cells.

    Nodes that see the same list divide it alike. One that comes or goes moves no
    other, as long as the number of cells stays; with one cell more, only as many move
    as belong there.

    :param size: upstreams of a cell on average, at the most.
    :returns: incarnations of each cell, sorted; at least one cell.

    Notes
    -----
    Takes time in proportion to instances, times the logarithm of cells.

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
