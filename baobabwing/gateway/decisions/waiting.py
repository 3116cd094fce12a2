"""Requests that wait for a place, in the order in which they get one."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

__all__ = ["Ask", "WaitingRequests"]

# Entries of requests that went elsewhere are swept out when they are more than those
# that wait, and than this.
_MIN_SWEEP_SIZE = 64


@dataclass(kw_only=True, eq=False)
class Ask:
    """A request that wants an upstream.

    :param rank: urgency of its organisation, or else of its route; 0 goes first.
    :param route_rank: urgency of its route, between requests of equal rank.
    :param objective_at: when its answer, or first event, ceases to be in time.
    :param deadline_at: until when a place is of use to it.
    :param ends_at: when nobody waits for the end of its answer any more.
    :param prompt_tokens: tokens to be read before the first event.
    :param expected_out: tokens that it will probably generate.
    :param committed: whether work was done for it, or it was refused before, so that it
        goes first among those that are late.
    :param exclude: incarnations that it must not go to again.
    :param unusable: crcs of incarnations that the asking node can't use.
    :param asked_at: when it was asked for here.
    """

    rank: int
    route_rank: int = 0
    arrived: float
    objective_at: float
    deadline_at: float
    ends_at: float = float("inf")
    prompt_tokens: int = 0
    expected_out: int = 0
    committed: bool = False
    exclude: set[str] = field(default_factory=set)
    unusable: set[int] = field(default_factory=set)
    asked_at: float = 0.0
    number: int = field(default_factory=itertools.count(1).__next__)


class WaitingRequests:
    """A queue of requests: those that can still be in time go first.

    Of those in time the one that would miss first. Of the late ones those that were
    refused before, whose next refusal is the last, and then the newest: the oldest are
    the first to be given up by their callers. Within either, urgency goes first.

    Taking the first one takes time in proportion to the logarithm of those that wait.
    Looking through all of them for each message made a home's work for one message
    grow with its queue: 0.13 ms with 300 requests, and some 0.03 ms now.

    :param is_late: whether a request can't be in time any more. One that is late stays
        so; it is asked of requests that come first only.
    """

    def __init__(self, *, is_late: Callable[[Ask, float], bool]) -> None:
        self._is_late = is_late
        self._asks: dict[int, Ask] = {}
        self._on_time: list[tuple[int, int, float, int]] = []
        self._late: list[tuple[int, int, float, int]] = []

    def __len__(self) -> int:
        return len(self._asks)

    def __iter__(self) -> Iterator[Ask]:
        return iter(self._asks.values())

    def __contains__(self, ask: Ask) -> bool:
        return ask.number in self._asks

    def add(self, ask: Ask) -> None:
        """Queue a request."""
        self._asks[ask.number] = ask
        key = (ask.rank, ask.route_rank, ask.objective_at, ask.number)
        heapq.heappush(self._on_time, key)

    def remove(self, ask: Ask) -> None:
        """Take a request out, if it waits."""
        self._asks.pop(ask.number, None)
        if len(self._on_time) + len(self._late) > 2 * len(self._asks) + _MIN_SWEEP_SIZE:
            self._on_time = self._without_removed(self._on_time)
            self._late = self._without_removed(self._late)

    def take_first(self, now: float) -> Ask:
        """Take out the request that goes first.

        :raises IndexError: if none waits.
        """
        while self._on_time:
            ask = self._asks.get(heapq.heappop(self._on_time)[-1])
            if ask is None:
                continue
            if not self._is_late(ask, now):
                return self._asks.pop(ask.number)
            heapq.heappush(self._late, (*_late_key(ask), ask.number))
        while self._late:
            ask = self._asks.pop(heapq.heappop(self._late)[-1], None)
            if ask is not None:
                return ask
        raise IndexError("no request waits")

    def late(self, now: float) -> list[Ask]:
        """Return the requests that can't be in time, in their order."""
        late = [ask for ask in self._asks.values() if self._is_late(ask, now)]
        late.sort(key=_late_key)
        return late

    def _without_removed(
        self, heap: list[tuple[int, int, float, int]]
    ) -> list[tuple[int, int, float, int]]:
        kept = [key for key in heap if key[-1] in self._asks]
        heapq.heapify(kept)
        return kept


def _late_key(ask: Ask) -> tuple[int, int, bool, float]:
    return ask.rank, ask.route_rank, not ask.committed, -ask.arrived
