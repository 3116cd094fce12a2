"""Bounded prefix cache of a stand-in engine and the log of its changes."""

from __future__ import annotations

import random
import time
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from baobabwing.standins.blocks import BLOCK_TOKENS

__all__ = ["CacheEventLog", "PrefixCache"]

EVENTS_KEPT = 8192
EVENTS_PER_ANSWER = 1024


@dataclass(frozen=True, kw_only=True)
class _CacheEvent:
    n: int
    kind: str
    block: int
    at: float


class CacheEventLog:
    """Log of cache events that is reported with a lag and with missing events.

    :param lag_s: age in seconds from which an event is reported.
    :param gap: probability, 0 to 1, that an event is dropped from the log.
    :param seed: seed of the random choice of dropped events.
    """

    def __init__(self, *, lag_s: float, gap: float, seed: int) -> None:
        self.lag_s = lag_s
        self._drop_probability = gap
        self._random = random.Random(seed)
        self._events: deque[_CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._next_number = 0

    def add(self, kind: str, block: int = 0) -> None:
        """Add an event; a dropped event uses up a sequence number too."""
        number = self._next_number
        self._next_number += 1
        if self._random.random() >= self._drop_probability:
            event = _CacheEvent(n=number, kind=kind, block=block, at=time.monotonic())
            self._events.append(event)

    def after(self, number: int) -> dict[str, Any]:
        """Return the events from a sequence number on that are older than the lag.

        Takes time linear in the number of events kept.

        :param number: ``next`` of the previous answer, or 0. A number above the
            next one of this log was issued by an earlier incarnation of the engine; the
            answer then holds no events and the lower current ``next``.
        """
        if number > self._next_number:
            return {"next": self._next_number, "events": []}
        newest_reported = time.monotonic() - self.lag_s
        events = [
            event
            for event in self._events
            if event.n >= number and event.at <= newest_reported
        ]
        events = events[:EVENTS_PER_ANSWER]
        next_number = events[-1].n + 1 if events else number
        return {
            "next": next_number,
            "events": [_without_time(event) for event in events],
        }


class PrefixCache:
    """Cache of prompt blocks with least-recently-used eviction.

    :param capacity_tokens: capacity in tokens, rounded down to whole blocks.
    :param events: log to which every change is added.
    """

    def __init__(self, *, capacity_tokens: int, events: CacheEventLog) -> None:
        self._capacity = capacity_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events = events

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, blocks: Sequence[int]) -> int:
        """Return how many leading blocks are cached, and mark these as used."""
        count = 0
        while count < len(blocks) and blocks[count] in self._blocks:
            count += 1
        self._mark_used(blocks[:count])
        return count

    def store(self, blocks: Sequence[int]) -> None:
        """Cache a prompt's blocks, as many leading ones as the capacity allows."""
        kept = blocks[: self._capacity]
        for block in kept:
            if block not in self._blocks:
                self._blocks[block] = None
                self._events.add("stored", block)
        self._mark_used(kept)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._events.add("evicted", block)

    def present(self, blocks: Iterable[int]) -> list[int]:
        """Return the given blocks that are cached, in the given order."""
        return [block for block in blocks if block in self._blocks]

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()
        self._events.add("cleared")

    def _mark_used(self, blocks: Sequence[int]) -> None:
        # Last block first, so that the end of a prompt is evicted before its start:
        # a block cannot be matched once a block before it is evicted.
        for block in reversed(blocks):
            self._blocks.move_to_end(block)


def _without_time(event: _CacheEvent) -> dict[str, Any]:
    document = asdict(event)
    del document["at"]
    return document
