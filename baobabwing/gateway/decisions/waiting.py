"""Priority queue of the requests that wait for a slot."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import TypeVar

__all__ = ["PlacementRequest", "WaitingRequests"]

# Keys of removed requests stay in the heaps. The heaps are rebuilt without them once
# they hold more than twice as many keys as requests wait, plus this many.
_MIN_SWEEP_SIZE = 64

_Key = TypeVar("_Key", bound=tuple)


@dataclass(kw_only=True, eq=False)
class PlacementRequest:
    """Placement request.

    :param rank: urgency of its organisation, or else of its route; 0 goes first.
    :param route_rank: urgency of its route, between requests of equal rank.
    :param arrived_at: when the request arrived from its caller.
    :param objective_at: when its answer, or first event, starts to count as late.
    :param deadline_at: until when a slot is still useful.
    :param ends_at: when its caller stops waiting for the end of the answer.
    :param prompt_tokens: tokens to be processed before the first event.
    :param expected_output_tokens: estimated number of generated tokens.
    :param prioritized: whether work was already done for it, or it was refused before;
        such a request goes first among the late ones.
    :param has_run: whether an upstream may have run it. Refused, its caller would get a
        failure or an answer that ends early; others are told when to come back.
    :param length_class: how long its output is expected to take, in powers of two; 0
        for one that is not long. Set by the scheduler.
    :param software: CRC-32 of the only version of software that may go on with its
        stream; 0 if any may run it.
    :param excluded: incarnations that it must not be sent to again.
    :param unusable_crcs: crcs of incarnations that the requesting node can't use.
    :param zone: CRC-32 of its node's availability zone; 0 if unknown, or if it is
        placed without regard to zones.
    :param expected_bytes: bytes that it and its answer will probably have.
    :param requested_at: when this scheduler received the placement request.
    :param number: identifies the placement request within the process.
    """

    rank: int
    route_rank: int = 0
    arrived_at: float
    objective_at: float
    deadline_at: float
    ends_at: float = float("inf")
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    prioritized: bool = False
    has_run: bool = False
    length_class: int = 0
    software: int = 0
    excluded: set[str] = field(default_factory=set)
    unusable_crcs: set[int] = field(default_factory=set)
    zone: int = 0
    expected_bytes: int = 0
    requested_at: float = 0.0
    number: int = field(default_factory=itertools.count(1).__next__)

    @property
    def is_restricted(self) -> bool:
        """Whether it may go to some upstreams only."""
        return bool(self.excluded or self.software)

    @property
    def urgency(self) -> tuple[int, int]:
        """Its ranks; the lower goes first."""
        return self.rank, self.route_rank


class WaitingRequests:
    """Queue of requests; those that can still meet their objective go first.

    Requests in time are ordered by urgency; then streams that go on before those that
    begin, as they can use the upstreams of one version only; then by the length of
    their outputs, as several short ones can be served instead of a long one, then by
    objective, the earliest first. Of the late requests, those that have run go first,
    as they can't come back later, and streams that go on. The others are ordered by
    urgency; then those that were refused before go first, as their next refusal is
    final; then the newest, as the callers of the oldest are the first to give up.
    Length does not count among the late ones, so that long outputs get a part of the
    slots under any load.

    Taking the first request takes logarithmic time. A scan of the whole queue for each
    message made the cost of a message at a home grow with its queue: 0.13 ms with 300
    requests, against some 0.03 ms now.

    :param is_late: whether a request can no longer meet its objective. A late request
        must stay late. Called only for requests at the head of the queue, except by
        :meth:`late`.
    """

    def __init__(self, *, is_late: Callable[[PlacementRequest, float], bool]) -> None:
        self._is_late = is_late
        self._requests: dict[int, PlacementRequest] = {}
        self._by_zone: dict[
            int, dict[tuple[int, int], dict[int, PlacementRequest]]
        ] = {}
        self._on_time: list[tuple[int, int, bool, int, float, int]] = []
        self._late: list[tuple[bool, int, int, bool, float, int]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[PlacementRequest]:
        return iter(self._requests.values())

    def __contains__(self, request: PlacementRequest) -> bool:
        return request.number in self._requests

    def add(self, request: PlacementRequest) -> None:
        """Queue a request."""
        self._requests[request.number] = request
        if request.zone:
            of_zone = self._by_zone.setdefault(request.zone, {})
            of_zone.setdefault(request.urgency, {})[request.number] = request
        heapq.heappush(self._on_time, _in_time_key(request))

    def remove(self, request: PlacementRequest) -> None:
        """Remove a request; does nothing if it is not queued."""
        self._pop(request.number)
        if (
            len(self._on_time) + len(self._late)
            > 2 * len(self._requests) + _MIN_SWEEP_SIZE
        ):
            self._on_time = self._without_removed(self._on_time)
            self._late = self._without_removed(self._late)

    def take_first(self, now: float) -> PlacementRequest:
        """Remove and return the request that goes first.

        :raises IndexError: if the queue is empty.
        """
        while self._on_time:
            request = self._requests.get(heapq.heappop(self._on_time)[-1])
            if request is None:
                continue
            if not self._is_late(request, now):
                return self._pop(request.number)
            heapq.heappush(self._late, (*_late_key(request), request.number))
        request = self.take_late()
        if request is None:
            raise IndexError("no request is queued")
        return request

    def take_late(self) -> PlacementRequest | None:
        """Remove and return the first of the requests that were found to be late."""
        while self._late:
            request = self._pop(heapq.heappop(self._late)[-1])
            if request is not None:
                return request
        return None

    def by_urgency(self) -> list[PlacementRequest]:
        """Return all requests, the most urgent first, and those that have run."""
        return sorted(self._requests.values(), key=_urgency_key)

    def late(self, now: float) -> list[PlacementRequest]:
        """Return the late requests, in the order in which they would be taken."""
        late = [
            request
            for request in self._requests.values()
            if self._is_late(request, now)
        ]
        late.sort(key=_late_key)
        return late

    def of_zone(self, zone: int) -> dict[tuple[int, int], dict[int, PlacementRequest]]:
        """Return the requests of a zone by their ranks, in the order of queueing."""
        return self._by_zone.get(zone, {})

    def _pop(self, number: int) -> PlacementRequest | None:
        request = self._requests.pop(number, None)
        if request is not None and request.zone:
            of_zone = self._by_zone[request.zone]
            of_rank = of_zone[request.urgency]
            del of_rank[number]
            if not of_rank:
                del of_zone[request.urgency]
        return request

    def in_time(self, now: float) -> list[PlacementRequest]:
        """Return the requests in time, in the order in which they would be taken."""
        in_time = [
            request
            for request in self._requests.values()
            if not self._is_late(request, now)
        ]
        in_time.sort(key=_in_time_key)
        return in_time

    def _without_removed(self, heap: list[_Key]) -> list[_Key]:
        kept = [key for key in heap if key[-1] in self._requests]
        heapq.heapify(kept)
        return kept


def _in_time_key(
    request: PlacementRequest,
) -> tuple[int, int, bool, int, float, int]:
    return (
        request.rank,
        request.route_rank,
        not request.software,
        request.length_class,
        request.objective_at,
        request.number,
    )


def _urgency_key(request: PlacementRequest) -> tuple[bool, int, int, float]:
    return (
        not (request.has_run or request.software),
        request.rank,
        request.route_rank,
        request.objective_at,
    )


def _late_key(request: PlacementRequest) -> tuple[bool, int, int, bool, float]:
    return (
        not (request.has_run or request.software),
        request.rank,
        request.route_rank,
        not request.prioritized,
        -request.arrived_at,
    )
