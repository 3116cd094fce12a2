"""Cells whose home is this node: queues slot requests and grants slots."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from baobabwing.gateway.decisions.cell_queue import CellQueue, RequestKey, UpdateKind
from baobabwing.gateway.decisions.cells import cell_layout
from baobabwing.gateway.decisions.rate_limits import RateLimits
from baobabwing.gateway.decisions.scheduling import (
    Grant,
    PlacementRequest,
    PoolScheduler,
)
from baobabwing.gateway.decisions.stream_origins import software_crc
from baobabwing.gateway.events import (
    CELL_DROPPED,
    CELL_LOAD,
    CELL_TAKEN,
    REQUESTS_SHED,
)
from baobabwing.gateway.members import Members
from baobabwing.gateway.model import UpstreamEntry
from baobabwing.gateway.placement.codec import name_crc
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import (
    CellKey,
    CellLoad,
    Granted,
    Queued,
    Refused,
    RequestUpdates,
    ReservationReport,
    ReservationReportAck,
    SlotRequest,
)
from baobabwing.gateway.zone_reports import log_zone_changes
from baobabwing.reports.events import log

__all__ = [
    "CellHomes",
    "CellPool",
    "cell_resource",
    "reservation_report_interval_s",
]

# Interval at which unresponsive nodes, expired requests and engines whose ejection has
# ended are handled.
_TICK_S = 0.1
# The same while upstreams share their machines: requests that will not be served are
# refused within an eighth of their objective, of which the shortest are some 0.4 s.
_SHARING_TICK_S = 0.05
# Interval at which a node reports its slots at the engines of a cell, so that a new
# home learns them soon. It grows with the fleet above this many nodes, which keeps the
# reports at some 2 KB/s.
_RESERVATION_REPORT_INTERVAL_S = 0.4
_MAX_NODES_AT_FULL_RATE = 60
# Shortest delay after which a refused request may be retried: a slot becomes free every
# few tens of ms.
_MIN_RETRY_AFTER_S = 0.2
# A cell without requests for this long is dropped; another node is its home now.
_IDLE_TIMEOUT_S = 60.0
_LOAD_LOG_INTERVAL_S = 1.0


def reservation_report_interval_s(nodes: int) -> float:
    """Return the interval at which each of ``nodes`` nodes reports its slots."""
    return _RESERVATION_REPORT_INTERVAL_S * max(1.0, nodes / _MAX_NODES_AT_FULL_RATE)


def cell_resource(pool: str, index: int) -> str:
    """Return the name by which the members rank the homes of a cell."""
    return f"cell/{pool}/{index}"


class CellPool:
    """The engines of one pool, divided into cells.

    :param name: name of the pool.
    :param scheduler: the pool's scheduler at this node, with its own measurements of
        the engines.
    :param rate_limits: limits that the engines state; by default none.
    """

    def __init__(
        self,
        *,
        name: str,
        scheduler: PoolScheduler,
        rate_limits: RateLimits | None = None,
    ) -> None:
        self.name = name
        self.crc = name_crc(name)
        self.scheduler = scheduler
        self.rate_limits = RateLimits() if rate_limits is None else rate_limits
        self._entries: dict[str, UpstreamEntry] = {}
        self._layout: tuple[tuple[str, ...], ...] | None = None
        self._index_by_crc: dict[int, int] | None = None

    def set_upstreams(self, entries: Iterable[UpstreamEntry]) -> None:
        """Replace the list of engines; it is divided into cells when one is needed.

        While thousands of upstreams register, lists follow each other faster than
        requests.
        """
        self._entries = {entry.instance: entry for entry in entries}
        self._layout = self._index_by_crc = None

    @property
    def layout(self) -> tuple[tuple[str, ...], ...]:
        """Incarnations of each cell."""
        if self._layout is None:
            self._layout = cell_layout(self._entries)
        return self._layout

    def index_of(self, upstream: int) -> int:
        """Return the cell of an upstream; 0 for one that is in no cell.

        :param upstream: crc of its incarnation.
        """
        if self._index_by_crc is None:
            self._index_by_crc = {
                name_crc(instance): index
                for index, cell in enumerate(self.layout)
                for instance in cell
            }
        return self._index_by_crc.get(upstream, 0)

    def has_software(self, index: int, software: int) -> bool:
        """Whether an engine of a cell that does not leave may go on with a stream.

        :param software: CRC-32 of the version that began the stream; 0 if none has.
        """
        return software == 0 or any(
            software_crc(entry.version) == software and not entry.draining
            for entry in self.entries(index)
        )

    def entries(self, index: int) -> tuple[UpstreamEntry, ...]:
        """Return the engines of a cell; empty if the pool has no such cell."""
        if index >= len(self.layout):
            return ()
        return tuple(self._entries[name] for name in self.layout[index])


@dataclass(kw_only=True)
class _CellWork:
    """Messages of a cell, and their processor time, since its load was last logged."""

    messages: int = 0
    cpu_s: float = 0.0


class CellHomes:
    """Queues of the cells for which this or other nodes send requests here.

    A node that receives a request for a cell acts as its home. While the members'
    views of the fleet differ, two nodes may do so at once. Each then counts only a part
    of the requests at the engines, and the engines queue the excess themselves. Nothing
    else depends on a cell having a single home.

    :param link: sends and receives the messages.
    :param members: the fleet's membership.
    :param rng: breaks ties, and spreads the times after which requests are retried.
    :ivar on_leaving: called with an engine that a node reports to be leaving.
    :ivar on_refused_for_in_time: called with a pool's name and how many of its requests
        were refused because those in time need the slots.
    """

    def __init__(self, *, link: GatewayLink, members: Members, rng: Random) -> None:
        self._link = link
        self._members = members
        self._rng = rng
        self._pools: dict[int, CellPool] = {}
        self._queues: dict[CellKey, CellQueue] = {}
        self._addresses: dict[int, str] = {}
        self._scheduled: set[CellKey] = set()
        self._unacknowledged: dict[CellKey, set[RequestKey]] = defaultdict(set)
        self._loads: dict[CellKey, _CellWork] = defaultdict(_CellWork)
        self.on_leaving: Callable[[UpstreamEntry], object] = lambda entry: None
        self.on_refused_for_in_time: Callable[[str, int], object] = _ignore_refused
        members.on_change(self._drop_departed)
        link.handle(SlotRequest, self._measured(self._handle_slot_request))
        link.handle(RequestUpdates, self._measured(self._handle_updates))
        link.handle(ReservationReport, self._measured(self._handle_report))

    def list_pool(self, pool: CellPool) -> None:
        """Add a pool, or apply changes of its engines or of their figures."""
        self._pools[pool.crc] = pool
        for key, queue in self._queues.items():
            if key.pool == pool.crc:
                queue.scheduler.set_engine(pool.scheduler.engine)
                queue.scheduler.set_limits(
                    pool.scheduler.refusal_limit, pool.rate_limits
                )
                queue.set_upstreams(pool.entries(key.index))
                self._schedule_placement(key)

    async def run(self) -> None:
        """Expire, refuse and place queued requests and log the load of the cells."""
        logged_at = time.monotonic()
        while True:
            await asyncio.sleep(self._tick_s())
            now = time.monotonic()
            if now - logged_at >= _LOAD_LOG_INTERVAL_S:
                logged_at = now
                self._log_load()
            for key, queue in tuple(self._queues.items()):
                self._copy_sharing(key, queue)
                queue.expire(
                    now, repeat_s=reservation_report_interval_s(self._members.total)
                )
                self._shed(key, queue, now)
                if queue.idle and now - queue.last_used_at > _IDLE_TIMEOUT_S:
                    del self._queues[key]
                    log(CELL_DROPPED, pool=self._pool_name(key), cell=key.index)
                else:
                    self._place_waiting(key)

    def _tick_s(self) -> float:
        sharing = any(
            queue.scheduler.shares_machines for queue in self._queues.values()
        )
        return _SHARING_TICK_S if sharing else _TICK_S

    def _copy_sharing(self, key: CellKey, queue: CellQueue) -> None:
        pool = self._pools.get(key.pool)
        if pool is not None:
            queue.scheduler.shares_machines = pool.scheduler.shares_machines
            if queue.scheduler.shares_machines:
                queue.share_reports(pool.scheduler.tracks)
            queue.scheduler.zone_price_s_per_mb = pool.scheduler.zone_price_s_per_mb
            queue.scheduler.serve_in_time = pool.scheduler.serve_in_time

    def _shed(self, key: CellKey, queue: CellQueue, now: float) -> None:
        """Refuse the queued requests that will hardly get a slot in time."""
        refused_before = queue.scheduler.refused_for_in_time
        shed = queue.remove_unservable(now)
        refused_for_in_time = queue.scheduler.refused_for_in_time - refused_before
        if refused_for_in_time:
            self.on_refused_for_in_time(self._pool_name(key), refused_for_in_time)
        for holder, _, wait_s in shed:
            self._refuse(key, queue, holder, wait_s, now)
        if shed:
            _, first, _ = shed[0]
            left_over = queue.scheduler.slots_left_over(now)
            log(
                REQUESTS_SHED,
                pool=self._pool_name(key),
                cell=key.index,
                refused=len(shed),
                prioritized=sum(request.prioritized for _, request, _ in shed),
                waiting=len(queue.scheduler.waiting),
                slots_per_s=queue.scheduler.late_slots_per_s(now),
                left_over=None if left_over is None else round(left_over, 1),
                late_ms=round(1000 * (now - first.objective_at), 1),
                left_ms=round(1000 * (first.deadline_at - now), 1),
            )

    def _measured(
        self, handler: Callable[[Any, str], None]
    ) -> Callable[[Any, str], None]:
        """Wrap a handler to count a cell's messages and their processor time."""

        def handle(message: Any, address: str) -> None:
            started_at = time.thread_time()
            handler(message, address)
            load = self._loads[message.cell]
            load.messages += 1
            load.cpu_s += time.thread_time() - started_at

        return handle

    def _log_load(self) -> None:
        for key, load in self._loads.items():
            queue = self._queues.get(key)
            if queue is None:
                continue
            log(
                CELL_LOAD,
                pool=self._pool_name(key),
                cell=key.index,
                messages=load.messages,
                spent_ms=round(1000 * load.cpu_s, 1),
                waiting=len(queue.scheduler.waiting),
                held=queue.reserved_count,
            )
        self._loads.clear()

    def _handle_slot_request(self, message: SlotRequest, address: str) -> None:
        now = time.monotonic()
        key = message.cell
        queue = self._queue_for(key, now)
        self._record_address(message.node, address)
        holder = RequestKey(message.node, message.number)
        request = _placement_request(message, queue, now)
        if message.moves_from:
            grant = queue.grant_move(holder, request, message.moves_from, now)
            if grant is None:
                self._refuse(key, queue, holder, 0.0, now)
                return
        else:
            grant = queue.submit(holder, request, now)
        if grant is not None:
            self._send_grant(key, queue, holder, grant, now)
            return
        self._unacknowledged[key].add(holder)
        self._schedule_placement(key)

    def _handle_updates(self, message: RequestUpdates, address: str) -> None:
        now = time.monotonic()
        queue = self._queue_for(message.cell, now)
        self._record_address(message.node, address)
        ended = False
        for update in message.updates:
            holder = RequestKey(message.node, update.number)
            queue.apply_update(holder, update.kind, update.interval_s, now)
            ended = ended or update.kind.releases_slot
            if update.kind is UpdateKind.LEAVING:
                self._report_leaving(queue, holder)
        if ended:
            self._schedule_placement(message.cell)

    def _report_leaving(self, queue: CellQueue, holder: RequestKey) -> None:
        """Call ``on_leaving`` with the engine at which a request has its slot."""
        entry = queue.upstream_of(holder)
        if entry is not None:
            self.on_leaving(entry)

    def _handle_report(self, message: ReservationReport, address: str) -> None:
        now = time.monotonic()
        key = message.cell
        queue = self._queue_for(key, now)
        self._record_address(message.node, address)
        result = queue.apply_report(
            message.node,
            message.reservations,
            message.waiting,
            now,
            complete=message.complete,
        )
        for holder, grant in result.unreceived_grants:
            self._send_grant(key, queue, holder, grant, now)
        state = self._cell_state(queue, now)
        answer = ReservationReportAck(
            cell=key, unknown=result.unknown_requests, state=state
        )
        self._link.send(address, answer)
        if result.released:
            self._schedule_placement(key)

    def _record_address(self, node: int, address: str) -> None:
        """Record a node's address; nodes recorded there before have ended."""
        if self._addresses.get(node) == address:
            return
        self._drop_nodes(
            [other for other, known in self._addresses.items() if known == address]
        )
        self._addresses[node] = address

    def _drop_departed(self) -> None:
        """Drop the nodes that have died or left, as the membership reports."""
        departed = self._members.gone()
        self._drop_nodes(
            [node for node, address in self._addresses.items() if address in departed]
        )

    def _drop_nodes(self, nodes: Iterable[int]) -> None:
        """Drop nodes that have ended, with their slots and queued requests.

        Otherwise the slots of a dead node stay taken until several of its reports are
        missing, and the interval of reports grows with the fleet: with half of 195
        nodes killed, engines seemed full for 4.6 s and got nothing. Dropping them takes
        as long as the detection of a death, 1.7 s, or until the node has restarted.
        """
        for node in nodes:
            del self._addresses[node]
            for key, queue in self._queues.items():
                if queue.remove_node(node):
                    self._schedule_placement(key)

    def _queue_for(self, key: CellKey, now: float) -> CellQueue:
        """Return the queue of a cell; a new one if this node becomes its home."""
        queue = self._queues.get(key)
        if queue is not None:
            return queue
        pool = self._pools.get(key.pool)
        engine = pool.scheduler.engine if pool else None
        limit = pool.scheduler.refusal_limit if pool else None
        queue = CellQueue(
            engine=engine,
            rng=self._rng,
            now=now,
            refusal_limit=limit,
            rate_limits=pool.rate_limits if pool else None,
        )
        self._queues[key] = queue
        self._copy_sharing(key, queue)
        if pool is not None:
            queue.set_upstreams(pool.entries(key.index))
            queue.copy_intervals(pool.scheduler.tracks)
        log(CELL_TAKEN, pool=self._pool_name(key), cell=key.index)
        loop = asyncio.get_running_loop()
        loop.call_later(queue.grants_from - now, self._place_waiting, key)
        return queue

    def _schedule_placement(self, key: CellKey) -> None:
        """Place queued requests once, after all messages that have arrived."""
        if key not in self._scheduled:
            self._scheduled.add(key)
            asyncio.get_running_loop().call_soon(self._run_placement, key)

    def _run_placement(self, key: CellKey) -> None:
        self._scheduled.discard(key)
        started_at = time.thread_time()
        self._place_waiting(key)
        self._send_queued(key)
        self._loads[key].cpu_s += time.thread_time() - started_at

    def _send_queued(self, key: CellKey) -> None:
        """Acknowledge new requests that got no slot.

        Without an answer their nodes would treat the request, or this home, as lost.
        """
        unacknowledged = self._unacknowledged.pop(key, ())
        queue = self._queues.get(key)
        if queue is None:
            return
        state = self._cell_state(queue, time.monotonic())
        for holder in unacknowledged:
            if queue.is_waiting(holder):
                queued = Queued(number=holder.number, cell=key, state=state)
                self._link.send(self._addresses[holder.node], queued)

    def _place_waiting(self, key: CellKey) -> None:
        """Grant free slots to queued requests."""
        queue = self._queues.get(key)
        if queue is None:
            return
        now = time.monotonic()
        for holder, grant in queue.grants(now):
            self._send_grant(key, queue, holder, grant, now)
        log_zone_changes(queue.scheduler, self._pool_name(key), cell=key.index)

    def _send_grant(
        self,
        key: CellKey,
        queue: CellQueue,
        holder: RequestKey,
        grant: Grant,
        now: float,
    ) -> None:
        granted = Granted(
            number=holder.number,
            cell=key,
            upstream=grant.track.crc,
            predicted_s=grant.predicted_s,
            has_permit=grant.has_permit,
            state=self._cell_state(queue, now),
        )
        self._link.send(self._addresses[holder.node], granted)

    def _refuse(
        self,
        key: CellKey,
        queue: CellQueue,
        holder: RequestKey,
        wait_s: float,
        now: float,
    ) -> None:
        wait_s = max(wait_s, _MIN_RETRY_AFTER_S)
        refused = Refused(
            number=holder.number,
            cell=key,
            # Spread, so that requests refused together are not retried together.
            retry_after_s=wait_s * self._rng.uniform(0.8, 1.2),
            state=self._cell_state(queue, now),
        )
        self._link.send(self._addresses[holder.node], refused)

    def _cell_state(self, queue: CellQueue, now: float) -> CellLoad:
        scheduler = queue.scheduler
        return CellLoad(
            queued=len(scheduler.waiting),
            free=scheduler.free_slots(now),
            turnover_s=scheduler.turnover_s(now),
        )

    def _pool_name(self, key: CellKey) -> str:
        pool = self._pools.get(key.pool)
        return pool.name if pool else f"crc {key.pool}"


def _ignore_refused(pool: str, count: int) -> None:
    pass


def _placement_request(
    message: SlotRequest, queue: CellQueue, now: float
) -> PlacementRequest:
    excluded = {
        track.entry.instance
        for track in queue.scheduler.tracks.values()
        if track.crc in message.excluded
    }
    return PlacementRequest(
        rank=message.rank,
        route_rank=message.route_rank,
        arrived_at=now - message.waited_s,
        objective_at=now + message.objective_s,
        deadline_at=now + message.deadline_s,
        ends_at=now + message.ends_s,
        prompt_tokens=message.prompt_tokens,
        expected_output_tokens=message.expected_out,
        prioritized=message.committed,
        has_run=message.has_run,
        software=message.software,
        excluded=excluded,
        zone=message.zone,
        expected_bytes=message.expected_bytes,
        requested_at=now,
    )
