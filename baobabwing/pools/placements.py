"""Bounded records of where requests were placed and how they ended."""

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
    """A map of limited size whose entries expire.

    :param retention_s: how long an entry is kept after it was last put.
    :param limit: maximum number of entries; the oldest are dropped first.
    """

    def __init__(self, *, retention_s: float, limit: int) -> None:
        self._retention_s = retention_s
        self._limit = limit
        self._entries: OrderedDict[str, tuple[float, ValueT]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, key: str, value: ValueT, now: float) -> None:
        """Store a value and drop the oldest ones above the limit."""
        self._entries[key] = (now + self._retention_s, value)
        self._entries.move_to_end(key)
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def get(self, key: str, now: float) -> ValueT | None:
        """Return the value, ``None`` if there is none or it has expired."""
        entry = self._entries.get(key)
        if entry is None or entry[0] <= now:
            return None
        return entry[1]

    def expire(self, now: float) -> None:
        """Drop expired entries."""
        entries = self._entries
        while entries and next(iter(entries.values()))[0] <= now:
            entries.popitem(last=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """How the last attempt of a request ended: its permit's outcome or a refusal.

    :param attempt: number of permits granted to the request so far.
    :param outcome: outcome of the last permit, or an empty string.
    :param refusal: the refusal, if the request was refused.
    :param exclude: upstreams that the refused request excluded.
    """

    attempt: int
    outcome: str = ""
    refusal: Refusal | None = None
    exclude: tuple[str, ...] = ()


class Placements(RetentionMap[Placement]):
    """The last placement of the request of each key."""

    def __init__(self) -> None:
        super().__init__(retention_s=PLACEMENT_RETENTION_S, limit=_MAX_PLACEMENTS)


class Endings(RetentionMap[Ending]):
    """The ends of recent requests, which make repeated messages idempotent.

    Kept for much longer than a message can be in transit. An entry never
    submits an ended request again, so only duplicates of messages are affected.
    """

    def __init__(self) -> None:
        super().__init__(retention_s=ENDING_RETENTION_S, limit=_MAX_ENDINGS)
