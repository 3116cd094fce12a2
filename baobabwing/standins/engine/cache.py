"""The bounded prefix cache of a stand-in engine and the events about it."""

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
    """Cache events, told late and with gaps.

    :param lag_s: how late an event is told, in seconds.
    :param gap: share of the events that are never told.
    """

    def __init__(self, *, lag_s: float, gap: float, seed: int) -> None:
        self.lag_s = lag_s
        self._drop_probability = gap
        self._random = random.Random(seed)
        self._events: deque[_CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._next_number = 0

    def add(self, kind: str, block: int = 0) -> None:
        """Note an event; it takes a number even if it is never told."""
        number = self._next_number
        self._next_number += 1
        if self._random.random() >= self._drop_probability:
            event = _CacheEvent(n=number, kind=kind, block=block, at=time.monotonic())
            self._events.append(event)

    def after(self, number: int) -> dict[str, Any]:
        """Return the events from a number on that are old enough to be told.

        Costs time in the number of events kept.

        :param number: the ``next`` of the answer before, or 0. One that was
            never reached is of an earlier life of the engine, and gets the own
            ``next``, which is lower.
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
    """Blocks of prompts, the least recently used given up first.

    :param capacity_tokens: size; whole blocks only.
    :param events: gets every change.
    """

    def __init__(self, *, capacity_tokens: int, events: CacheEventLog) -> None:
        self._capacity = capacity_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events = events

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, blocks: Sequence[int]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        count = 0
        while count < len(blocks) and blocks[count] in self._blocks:
            count += 1
        self._mark_used(blocks[:count])
        return count

    def store(self, blocks: Sequence[int]) -> None:
        """Keep a prompt's blocks; of a prompt too large only the start."""
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
        """Return those of the blocks that are cached, in their order."""
        return [block for block in blocks if block in self._blocks]

    def clear(self) -> None:
        """Forget all blocks."""
        self._blocks.clear()
        self._events.add("cleared")

    def _mark_used(self, blocks: Sequence[int]) -> None:
        # Last block first: a block is useless once one before it is gone, so
        # the end of a prompt has to be evicted before its start.
        for block in reversed(blocks):
            self._blocks.move_to_end(block)


def _without_time(event: _CacheEvent) -> dict[str, Any]:
    document = asdict(event)
    del document["at"]
    return document
