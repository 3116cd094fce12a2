"""Fair order between the organisations of one tier.

Start-time fair queueing: each organisation has a start tag in virtual time,
the lowest tag is served next, and serving costs the organisation its tokens
divided by its weight. An organisation that was idle starts at the present
virtual time, so that it can neither save up nor owe service.

References
----------
P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queueing: A Scheduling
Algorithm for Integrated Services Packet Switching Networks", SIGCOMM 1996.

"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush

from baobabwing.pools.permits import Ask

__all__ = ["FairQueue", "QueuedRequest"]

_MIN_WEIGHT = 1e-6
_MAX_FINISH_TAGS = 4096
_STALE_ENTRIES_SLACK = 64


class QueuedRequest:
    """An ask that waits for a permit.

    :param number: order of arrival in the cell; unique.
    :param service_s: expected time of the request once it runs.
    :param latest_start: after this no upstream could finish it in time.
    """

    __slots__ = (
        "request",
        "cost",
        "latest_start",
        "number",
        "queued_at",
        "service_s",
        "sort_key",
        "waiting",
    )

    def __init__(
        self,
        *,
        request: Ask,
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
    """The queued asks of one organisation, earliest deadline first."""

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

    Notes: adding and taking cost O(log n) for n organisations with work, plus
    a move within a list of the organisation's own asks.
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
        """Queue an ask behind those of its organisation that are due earlier."""
        flow = self._flows.get(item.request.organisation)
        if flow is None:
            flow = self._start_flow(item)
        insort(flow.items, (item.sort_key, item))
        flow.cost += item.cost
        flow.work_s += item.service_s
        self._length += 1
        self.work_s += item.service_s

    def remove(self, item: QueuedRequest) -> None:
        """Take out an ask that is refused or withdrawn; it is not charged."""
        self._remove(self._flows[item.request.organisation], item)

    def serve(self, item: QueuedRequest) -> None:
        """Take out an ask that was granted and charge its organisation."""
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
        """Return the next ask to serve."""
        heap = self._heap
        while heap and not _is_current(heap[0]):
            heappop(heap)
        return heap[0][2].items[0][1] if heap else None

    def heads(self, limit: int) -> list[QueuedRequest]:
        """Return the next ask of each of up to ``most`` organisations, in order.

        Notes: sorts the organisations with work.
        """
        current = sorted(entry for entry in self._heap if _is_current(entry))
        return [entry[2].items[0][1] for entry in current[:limit]]

    def most_over_share(self) -> QueuedRequest | None:
        """Return the ask to drop first when the queue is full.

        The latest due of the organisation with the most queued tokens for its
        weight: were it the latest due of all, one organisation's flood of
        early deadlines would push out everybody else's requests.
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
        """Return the work that is served before a new ask of an organisation.

        Bounded by processor sharing: while the organisation's own earlier work
        and the new ask are served, the others get their weights' share.
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
        """Return the asks that would be served too late.

        :param reaches: whether an ask with so much work before it is in time.
        :param above_s: work of higher tiers.
        :returns: those for which it is false; they count as no work for others.
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
        # Nobody waits, so nobody is owed: without this an organisation that
        # was served alone for an hour would wait behind all others afterwards.
        self._virtual_time = max(self._finish_tags.values())
        self._finish_tags.clear()

    def _discard_old_tags(self) -> None:
        now = self._virtual_time
        tags = {name: tag for name, tag in self._finish_tags.items() if tag > now}
        self._finish_tags = tags if len(tags) <= _MAX_FINISH_TAGS else {}


def _is_current(entry: tuple[float, int, _Flow]) -> bool:
    return bool(entry[2].items) and entry[0] == entry[2].start_tag
