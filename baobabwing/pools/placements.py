"""Bounded memories of where requests went and how they ended."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

from baobabwing.pools.permits import Placement, Refusal

__all__ = [
    "ENDING_RETENTION_S",
    "PLACEMENT_RETENTION_S",
    "Ending",
    "Endings",
    "Placements",
    "RetentionMap",
]

PLACEMENT_RETENTION_S = 600.0
ENDING_RETENTION_S = 60.0
_MAX_PLACEMENTS = 65536
_MAX_ENDINGS = 16384

ValueT = TypeVar("ValueT")


class RetentionMap(Generic[ValueT]):
    """A map whose entries vanish after a time, with a bound on their number.

    :param retention_s: how long an entry is kept after it was last put.
    :param limit: most entries; the oldest go first.
    """

    def __init__(self, *, retention_s: float, limit: int) -> None:
        self._retention_s = retention_s
        self._limit = limit
        self._entries: OrderedDict[str, tuple[float, ValueT]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, key: str, value: ValueT, now: float) -> None:
        """Keep a value; the oldest goes when there are too many."""
        self._entries[key] = (now + self._retention_s, value)
        self._entries.move_to_end(key)
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def get(self, key: str, now: float) -> ValueT | None:
        """Return the value, or ``None`` when there is none or it is too old."""
        entry = self._entries.get(key)
        if entry is None or entry[0] <= now:
            return None
        return entry[1]

    def expire(self, now: float) -> None:
        """Drop entries that are too old."""
        entries = self._entries
        while entries and next(iter(entries.values()))[0] <= now:
            entries.popitem(last=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """How the last permit or refusal of a request ended.

    :param attempt: permits given to the request so far.
    :param outcome: of the last permit, or an empty string.
    :param refusal: the refusal, if the request was refused.
    :param exclude: what the refused ask excluded.
    """

    attempt: int
    outcome: str = ""
    refusal: Refusal | None = None
    exclude: tuple[str, ...] = ()


class Placements(RetentionMap[Placement]):
    """Where the request of each key went."""

    def __init__(self) -> None:
        super().__init__(retention_s=PLACEMENT_RETENTION_S, limit=_MAX_PLACEMENTS)


class Endings(RetentionMap[Ending]):
    """How recent requests ended, so that repeated messages change nothing.

    Kept for far longer than a message can be under way. An entry never asks
    again for a request that ended, so that this guards against copies only.
    """

    def __init__(self) -> None:
        super().__init__(retention_s=ENDING_RETENTION_S, limit=_MAX_ENDINGS)
