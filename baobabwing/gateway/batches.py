"""Division of what is sent into datagrams."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import islice
from typing import TypeVar

__all__ = ["batches"]

_Item = TypeVar("_Item")


def batches(items: Iterable[_Item], size: int) -> Iterator[tuple[_Item, ...]]:
    """Return items in tuples of at most ``size``, in order.

    Examples
    --------
    >>> list(batches("abcde", 2))
    [('a', 'b'), ('c', 'd'), ('e',)]

    """
    remaining = iter(items)
    while batch := tuple(islice(remaining, size)):
        yield batch
