"""Index of the prompt blocks in the prefix caches of upstreams."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

__all__ = ["PrefixIndex"]

_DEFAULT_LIMIT = 65536
_MAX_MISSING_BLOCKS = 2
_MAX_BITS = 256


class PrefixIndex:
    """An approximate index of the prompt caches of a cell's upstreams.

    It is filled from the prompts that were sent to each upstream and corrected
    by cache events. Events arrive late and some are lost, so the index only
    helps to find a cheaper upstream, and no decision depends on its being right.

    Each digest maps to a bit mask of the upstreams that hold it, and each
    upstream owns one bit of the masks. After a restart it gets a new bit,
    which drops all its blocks at once without a walk over the index.

    :param limit: maximum number of digests; the least recently added go first.
    """

    def __init__(self, *, limit: int = _DEFAULT_LIMIT) -> None:
        self._limit = limit
        self._holders: OrderedDict[int, int] = OrderedDict()
        self._bits: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._live_bits = 0
        self._next_bit = 0

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, upstream: str, digests: Iterable[int]) -> None:
        """Record that the upstream holds, or soon will hold, these blocks."""
        bit = self._bit_of(upstream)
        holders = self._holders
        for digest in digests:
            holders[digest] = holders.get(digest, 0) | bit
            holders.move_to_end(digest)
        while len(holders) > self._limit:
            holders.popitem(last=False)

    def discard(self, upstream: str, digests: Iterable[int]) -> None:
        """Record that the upstream evicted these blocks."""
        bit = self._bits.get(upstream, 0)
        for digest in digests:
            mask = self._holders.get(digest, 0)
            if not mask & bit:
                continue
            self._holders[digest] = mask & ~bit
            if not mask & ~bit & self._live_bits:
                del self._holders[digest]

    def clear(self, upstream: str) -> None:
        """Drop all blocks of an upstream that restarted, left or cleared its cache."""
        bit = self._bits.pop(upstream, 0)
        self._names.pop(bit, None)
        self._live_bits &= ~bit

    def cached_blocks(
        self, prefix: Sequence[int], upstreams: Iterable[str]
    ) -> dict[str, int]:
        """Return the number of leading blocks that each upstream probably holds.

        A digest covers all blocks before it, so a cached block implies the
        blocks before it. A few missing blocks are attributed to lost events.

        Notes: linear in the blocks up to the first unknown ones.
        """
        bits = self._bits
        wanted = 0
        for name in upstreams:
            wanted |= bits.get(name, 0)
        if not wanted:
            return {}
        holders = self._holders
        matches = []
        missed = 0
        for depth, digest in enumerate(prefix, start=1):
            mask = holders.get(digest, 0) & wanted
            if mask:
                matches.append((depth, mask))
                continue
            missed += 1
            if missed > _MAX_MISSING_BLOCKS:
                break
        return self._deepest(matches, wanted)

    def _deepest(self, matches: list[tuple[int, int]], wanted: int) -> dict[str, int]:
        depths: dict[str, int] = {}
        assigned = 0
        for depth, mask in reversed(matches):
            unassigned = mask & ~assigned
            assigned |= mask
            while unassigned:
                bit = unassigned & -unassigned
                depths[self._names[bit]] = depth
                unassigned ^= bit
            if assigned == wanted:
                break
        return depths

    def _bit_of(self, upstream: str) -> int:
        bit = self._bits.get(upstream)
        if bit is not None:
            return bit
        if self._next_bit >= _MAX_BITS:
            self._reset()
        bit = 1 << self._next_bit
        self._next_bit += 1
        self._bits[upstream] = bit
        self._names[bit] = upstream
        self._live_bits |= bit
        return bit

    def _reset(self) -> None:
        # Bits of restarted upstreams stay set in old entries. Without a reset
        # the masks would grow with each restart for the lifetime of the home.
        # The index is approximate and is soon filled again.
        self._holders.clear()
        self._bits.clear()
        self._names.clear()
        self._live_bits = 0
        self._next_bit = 0
