"""Fair queueing between the organisations of one tier.

Start-time fair queueing: each organisation has a start tag in virtual time,
the organisation with the lowest tag is served next, and serving a request
advances its tag by the request's tokens divided by the organisation's weight.
An idle organisation starts again at the current virtual time or at its last
finish tag, whichever is later: it gains no credit by being idle.

References
----------
P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queueing: A Scheduling
Algorithm for Integrated Services Packet Switching Networks", SIGCOMM 1996.

"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush

from baobabwing.pools.permits import PlacementRequest

__all__ = ["FairQueue", "QueuedRequest"]

_MIN_WEIGHT = 1e-6
_MAX_FINISH_TAGS = 4096
_STALE_ENTRIES_SLACK = 64


class QueuedRequest:
    """A placement request that waits for a permit.

    :param number: position in the cell's order of arrival; unique.
    :param service_s: expected run time of the request.
    :param latest_start: time after which no upstream could finish the request
        before its deadline.

    ``cost`` is its number of tokens, and ``waiting`` whether it is still queued.
    """

    __slots__ = (
        "cost",
        "latest_start",
        "number",
        "queued_at",
        "request",
        "service_s",
        "sort_key",
        "waiting",
    )

    def __init__(
        self,
        *,
        request: PlacementRequest,
        number: int,
        queued_at: float,
        service_s: float,
        latest_start: float,
    ) -> None:
        self.request = request
        self.number = number
        self.queued_at = queued_at
        self.service_s = service_s
        self.latest_start = latest_start
        self.cost = max(request.prompt_tokens + request.output_tokens, 1)
        self.sort_key = (request.deadline, number)
        self.waiting = True


class _Flow:
    """The queued requests of one organisation, earliest deadline first."""

    __slots__ = ("cost", "items", "organisation", "start_tag", "weight", "work_s")

    def __init__(self, *, organisation: str, weight: float, start_tag: float) -> None:
        self.organisation = organisation
        self.weight = weight
        self.start_tag = start_tag
        self.cost = 0
        self.work_s = 0.0
        self.items: list[tuple[tuple[float, int], QueuedRequest]] = []


class FairQueue:
    """The queue of one tier.

    Notes: adding and removing cost O(log n) for n organisations with queued
    requests, plus an insertion in a list of the organisation's requests.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, int, _Flow]] = []
        self._pushes = 0
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}
        self._total_weight = 0.0
        self._length = 0
        self.work_s = 0.0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueuedRequest]:
        for flow in self._flows.values():
            for _, item in flow.items:
                yield item

    def add(self, item: QueuedRequest) -> None:
        """Queue a request behind its organisation's earlier deadlines."""
        flow = self._flows.get(item.request.organisation)
        if flow is None:
            flow = self._start_flow(item)
        insort(flow.items, (item.sort_key, item))
        flow.cost += item.cost
        flow.work_s += item.service_s
        self._length += 1
        self.work_s += item.service_s

    def remove(self, item: QueuedRequest) -> None:
        """Remove a request that is refused or withdrawn, without charging it."""
        self._remove(self._flows[item.request.organisation], item)

    def serve(self, item: QueuedRequest) -> None:
        """Remove a request that was granted and charge its organisation."""
        flow = self._flows[item.request.organisation]
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += item.cost / flow.weight
        self._finish_tags[flow.organisation] = flow.start_tag
        self._remove(flow, item)
        if flow.items:
            self._push(flow)
        elif not self._flows:
            self._end_busy_period()
        elif len(self._finish_tags) > _MAX_FINISH_TAGS:
            self._discard_old_tags()

    def head(self) -> QueuedRequest | None:
        """Return the next request to serve."""
        heap = self._heap
        while heap and not _is_current(heap[0]):
            heappop(heap)
        return heap[0][2].items[0][1] if heap else None

    def heads(self, limit: int) -> list[QueuedRequest]:
        """Return the next request of each of up to ``limit`` organisations.

        Notes: sorts the organisations with queued requests.
        """
        current = sorted(entry for entry in self._heap if _is_current(entry))
        return [entry[2].items[0][1] for entry in current[:limit]]

    def most_over_share(self) -> QueuedRequest | None:
        """Return the request to drop first when the queue is full.

        The one with the latest deadline of the organisation with the most
        queued tokens per weight. If it were the latest deadline of all, one
        organisation could push out the requests of all others by a flood of
        requests with early deadlines.
        """
        if not self._flows:
            return None
        flow = max(
            self._flows.values(), key=lambda f: (f.cost / f.weight, f.items[-1][0])
        )
        return flow.items[-1][1]

    def work_ahead_s(
        self, *, organisation: str, weight: float, deadline: float, service_s: float
    ) -> float:
        """Return the work that is served before a new request, in seconds.

        That is the organisation's own work with earlier deadlines, plus what
        the other organisations get by their weights while that work and the new
        request are served (processor sharing).
        """
        flow = self._flows.get(organisation)
        if flow is None:
            own_s = 0.0
            others_s = self.work_s
            other_weight = self._total_weight
        else:
            earlier_count = bisect_left(flow.items, ((deadline, 0),))
            own_s = flow.work_s * earlier_count / len(flow.items)
            others_s = self.work_s - flow.work_s
            other_weight = self._total_weight - flow.weight
        share_s = (own_s + service_s) * other_weight / max(weight, _MIN_WEIGHT)
        return own_s + min(others_s, share_s)

    def expected_late(
        self,
        meets_deadline: Callable[[QueuedRequest, float], bool],
        higher_tiers_s: float,
    ) -> list[QueuedRequest]:
        """Return the requests that are expected to miss their deadlines.

        :param meets_deadline: whether a request with this many seconds of work
            before it would meet its deadline.
        :param higher_tiers_s: work of higher tiers.
        :returns: the requests for which it is false; they do not count as work
            before others.
        """
        late: list[QueuedRequest] = []
        for flow in self._flows.values():
            others_s = self.work_s - flow.work_s
            weight_ratio = (self._total_weight - flow.weight) / flow.weight
            own_s = 0.0
            for _, item in flow.items:
                share_s = (own_s + item.service_s) * weight_ratio
                if meets_deadline(
                    item, higher_tiers_s + own_s + min(others_s, share_s)
                ):
                    own_s += item.service_s
                else:
                    late.append(item)
        return late

    def _start_flow(self, item: QueuedRequest) -> _Flow:
        name = item.request.organisation
        flow = _Flow(
            organisation=name,
            weight=max(item.request.weight, _MIN_WEIGHT),
            start_tag=max(self._virtual_time, self._finish_tags.get(name, 0.0)),
        )
        self._flows[name] = flow
        self._total_weight += flow.weight
        self._push(flow)
        return flow

    def _push(self, flow: _Flow) -> None:
        self._pushes += 1
        heappush(self._heap, (flow.start_tag, self._pushes, flow))
        if len(self._heap) > 2 * len(self._flows) + _STALE_ENTRIES_SLACK:
            self._heap = [entry for entry in self._heap if _is_current(entry)]
            heapify(self._heap)

    def _remove(self, flow: _Flow, item: QueuedRequest) -> None:
        del flow.items[bisect_left(flow.items, (item.sort_key,))]
        item.waiting = False
        flow.cost -= item.cost
        flow.work_s -= item.service_s
        self._length -= 1
        self.work_s = self.work_s - item.service_s if self._length else 0.0
        if not flow.items:
            del self._flows[flow.organisation]
            self._total_weight = (
                self._total_weight - flow.weight if self._flows else 0.0
            )

    def _end_busy_period(self) -> None:
        # With nothing queued no organisation is owed service. Without this, one
        # that was served alone for an hour would then wait behind all others.
        self._virtual_time = max(self._finish_tags.values())
        self._finish_tags.clear()

    def _discard_old_tags(self) -> None:
        now = self._virtual_time
        tags = {name: tag for name, tag in self._finish_tags.items() if tag > now}
        self._finish_tags = tags if len(tags) <= _MAX_FINISH_TAGS else {}


def _is_current(entry: tuple[float, int, _Flow]) -> bool:
    return bool(entry[2].items) and entry[0] == entry[2].start_tag
