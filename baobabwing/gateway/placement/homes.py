"""The cells whose home this node is: answers those that ask for places."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from baobabwing.gateway.decisions.cell_queue import CellQueue, Holder, NoteKind
from baobabwing.gateway.decisions.cells import cell_layout
from baobabwing.gateway.decisions.scheduling import Ask, Grant, PoolScheduler
from baobabwing.gateway.events import CELL_DROPPED, CELL_LOAD, CELL_TAKEN
from baobabwing.gateway.members import Members
from baobabwing.gateway.model import UpstreamEntry
from baobabwing.gateway.placement.codec import crc
from baobabwing.gateway.placement.link import WorkLink
from baobabwing.gateway.placement.messages import (
    CellKey,
    CellState,
    Granted,
    Queued,
    Refused,
    RequestUpdates,
    ReservationReport,
    ReservationReportAck,
    SlotRequest,
)
from baobabwing.reports.events import log

__all__ = ["CellHomes", "CellPool", "reservation_report_interval_s"]

# Silent nodes, requests whose time is over, and engines that were set aside for a
# while are looked at this often.
_TICK_S = 0.1
# What a node holds at the engines of a cell is repeated this often, so that a home
# that was just taken over knows it soon; in large fleets less often, so that it stays
# some 2 KB/s.
_RESERVATION_REPORT_INTERVAL_S = 0.4
_MAX_NODES_AT_FULL_RATE = 60
# Sooner nobody should come back: a place becomes free each few tens of ms.
_MIN_RETRY_AFTER_S = 0.2
# A cell that nobody asks for is forgotten; another node is its home now.
_IDLE_TIMEOUT_S = 60.0
_LOAD_LOG_INTERVAL_S = 1.0


def reservation_report_interval_s(nodes: int) -> float:
    """Return how often each of so many nodes repeats what it holds."""
    return _RESERVATION_REPORT_INTERVAL_S * max(1.0, nodes / _MAX_NODES_AT_FULL_RATE)


class CellPool:
    """The engines of one pool, divided into cells.

    :param name: the pool's.
    :param scheduler: what this node itself has seen of the engines.
    """

    def __init__(self, *, name: str, scheduler: PoolScheduler) -> None:
        self.name = name
        self.crc = crc(name)
        self.scheduler = scheduler
        self.layout: tuple[tuple[str, ...], ...] = ((),)
        self._entries: dict[str, UpstreamEntry] = {}

    def list_upstreams(self, entries: Iterable[UpstreamEntry]) -> None:
        """Take the engines that are listed now."""
        self._entries = {entry.instance: entry for entry in entries}
        self.layout = cell_layout(self._entries)

    def entries(self, index: int) -> tuple[UpstreamEntry, ...]:
        """Return the engines of a cell; none if there is no such cell."""
        if index >= len(self.layout):
            return ()
        return tuple(self._entries[name] for name in self.layout[index])


@dataclass(kw_only=True)
class _CellLoad:
    """What a cell has cost its home since the last line about it.

    :param spent_s: processor time.
    """

    messages: int = 0
    cpu_s: float = 0.0


class CellHomes:
    """Queues of the cells that other nodes, or this one, ask here for.

    Whoever is asked for a cell acts as its home. Two nodes may do so at the same
    time, while the members do not agree yet on who is there: each then counts a part
    of what the engines have, and these queue what is too much for them. Nothing else
    rests on there being one home only.

    :param link: carries the messages.
    :param members: tell how many nodes there are.
    :param rng: breaks ties.
    :ivar on_leaving: called with an engine that another node heard is leaving.
    """

    def __init__(self, *, link: WorkLink, members: Members, rng: Random) -> None:
        self._link = link
        self._members = members
        self._rng = rng
        self._pools: dict[int, CellPool] = {}
        self._queues: dict[CellKey, CellQueue] = {}
        self._addresses: dict[int, str] = {}
        self._scheduled: set[CellKey] = set()
        self._new_holders: dict[CellKey, set[Holder]] = defaultdict(set)
        self._loads: dict[CellKey, _CellLoad] = defaultdict(_CellLoad)
        self.on_leaving: Callable[[UpstreamEntry], object] = lambda entry: None
        members.on_change(self._drop_departed)
        link.handle(SlotRequest, self._measured(self._handle_slot_request))
        link.handle(RequestUpdates, self._measured(self._handle_updates))
        link.handle(ReservationReport, self._measured(self._handle_report))

    def list_pool(self, pool: CellPool) -> None:
        """Take a pool whose engines, or their figures, changed."""
        self._pools[pool.crc] = pool
        for key, queue in self._queues.items():
            if key.pool == pool.crc:
                queue.scheduler.set_engine(pool.scheduler.engine)
                queue.list_upstreams(pool.entries(key.index))
                self._schedule_placement(key)

    async def run(self) -> None:
        """Look after the queues for as long as the node runs."""
        logged_at = time.monotonic()
        while True:
            await asyncio.sleep(_TICK_S)
            now = time.monotonic()
            if now - logged_at >= _LOAD_LOG_INTERVAL_S:
                logged_at = now
                self._log_load()
            for key, queue in tuple(self._queues.items()):
                queue.forget(
                    now, repeat_s=reservation_report_interval_s(self._members.total)
                )
                for holder, wait_s in queue.hopeless(now):
                    self._refuse(key, queue, holder, wait_s, now)
                if queue.idle and now - queue.used_at > _IDLE_TIMEOUT_S:
                    del self._queues[key]
                    log(CELL_DROPPED, pool=self._pool_name(key), cell=key.index)
                else:
                    self._place_waiting(key)

    def _measured(
        self, handler: Callable[[Any, str], None]
    ) -> Callable[[Any, str], None]:
        """Have a cell's messages counted, and the processor time that they take."""

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
                held=queue.held,
            )
        self._loads.clear()

    def _handle_slot_request(self, message: SlotRequest, address: str) -> None:
        now = time.monotonic()
        key = message.cell
        queue = self._queue(key, now)
        self._record_address(message.node, address)
        holder = Holder(message.node, message.number)
        request = _placement_request(message, queue, now)
        if message.moves_from:
            grant = queue.move(holder, request, message.moves_from, now)
            if grant is None:
                self._refuse(key, queue, holder, 0.0, now)
                return
        else:
            grant = queue.ask(holder, request, now)
        if grant is not None:
            self._send_grant(key, queue, holder, grant, now)
            return
        self._new_holders[key].add(holder)
        self._schedule_placement(key)

    def _handle_updates(self, message: RequestUpdates, address: str) -> None:
        now = time.monotonic()
        queue = self._queue(message.cell, now)
        self._record_address(message.node, address)
        ended = False
        for update in message.updates:
            holder = Holder(message.node, update.number)
            queue.note(holder, update.kind, update.interval_s, now)
            ended = ended or update.kind.ends
            if update.kind is NoteKind.LEAVING:
                self._report_leaving(queue, holder)
        if ended:
            self._schedule_placement(message.cell)

    def _report_leaving(self, queue: CellQueue, holder: Holder) -> None:
        """Give no more places at an engine that another node heard is leaving."""
        entry = queue.engine_of(holder)
        if entry is not None:
            self.on_leaving(entry)

    def _handle_report(self, message: ReservationReport, address: str) -> None:
        now = time.monotonic()
        key = message.cell
        queue = self._queue(key, now)
        self._record_address(message.node, address)
        result = queue.report(
            message.node,
            message.reservations,
            message.waiting,
            now,
            whole=message.complete,
        )
        for holder, grant in result.granted:
            self._send_grant(key, queue, holder, grant, now)
        state = self._state(queue, now)
        answer = ReservationReportAck(cell=key, unknown=result.unknown, state=state)
        self._link.send(address, answer)
        if result.dropped:
            self._schedule_placement(key)

    def _record_address(self, node: int, address: str) -> None:
        """Note where a node is; whoever was there before has ended."""
        if self._addresses.get(node) == address:
            return
        self._drop_nodes(
            [other for other, at in self._addresses.items() if at == address]
        )
        self._addresses[node] = address

    def _drop_departed(self) -> None:
        departed = self._members.gone()
        self._drop_nodes(
            [node for node, at in self._addresses.items() if at in departed]
        )

    def _drop_nodes(self, nodes: Iterable[int]) -> None:
        """Forget nodes that have ended, with what they had.

        Places of a node that died seem to be taken until it has been silent for some
        of its repeats, which come less often in larger fleets. With half of 195 nodes
        killed, engines seemed full for 4.6 s, and nothing was placed at them; now for
        as long as it takes to know of a death, 1.7 s, or until the node is back.
        """
        for node in nodes:
            del self._addresses[node]
            for key, queue in self._queues.items():
                if queue.drop(node):
                    self._schedule_placement(key)

    def _queue(self, key: CellKey, now: float) -> CellQueue:
        queue = self._queues.get(key)
        if queue is not None:
            return queue
        pool = self._pools.get(key.pool)
        engine = pool.scheduler.engine if pool else None
        queue = CellQueue(engine=engine, rng=self._rng, now=now)
        self._queues[key] = queue
        if pool is not None:
            queue.list_upstreams(pool.entries(key.index))
            queue.learn(pool.scheduler.tracks)
        log(CELL_TAKEN, pool=self._pool_name(key), cell=key.index)
        loop = asyncio.get_running_loop()
        loop.call_later(queue.opens_at - now, self._place_waiting, key)
        return queue

    def _schedule_placement(self, key: CellKey) -> None:
        """Place what waits, once for all messages that are here already."""
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
        """Tell requests that were asked for just now, and got no place, that they wait.

        Otherwise whoever asked would take the question, or the home, for lost.
        """
        new_holders = self._new_holders.pop(key, ())
        queue = self._queues.get(key)
        if queue is None:
            return
        state = self._state(queue, time.monotonic())
        for holder in new_holders:
            if queue.waits(holder):
                queued = Queued(number=holder.number, cell=key, state=state)
                self._link.send(self._addresses[holder.node], queued)

    def _place_waiting(self, key: CellKey) -> None:
        queue = self._queues.get(key)
        if queue is None:
            return
        now = time.monotonic()
        for holder, grant in queue.grants(now):
            self._send_grant(key, queue, holder, grant, now)

    def _send_grant(
        self, key: CellKey, queue: CellQueue, holder: Holder, grant: Grant, now: float
    ) -> None:
        granted = Granted(
            number=holder.number,
            cell=key,
            upstream=grant.track.crc,
            predicted_s=grant.predicted_s,
            state=self._state(queue, now),
        )
        self._link.send(self._addresses[holder.node], granted)

    def _refuse(
        self, key: CellKey, queue: CellQueue, holder: Holder, wait_s: float, now: float
    ) -> None:
        wait_s = max(wait_s, _MIN_RETRY_AFTER_S)
        refused = Refused(
            number=holder.number,
            cell=key,
            # Spread, so that those that were refused together do not come together.
            retry_after_s=wait_s * self._rng.uniform(0.8, 1.2),
            state=self._state(queue, now),
        )
        self._link.send(self._addresses[holder.node], refused)

    def _state(self, queue: CellQueue, now: float) -> CellState:
        scheduler = queue.scheduler
        return CellState(
            queued=len(scheduler.waiting),
            free=scheduler.free_places(now),
            turnover_s=scheduler.turnover_s(),
        )

    def _pool_name(self, key: CellKey) -> str:
        pool = self._pools.get(key.pool)
        return pool.name if pool else f"crc {key.pool}"


def _placement_request(message: SlotRequest, queue: CellQueue, now: float) -> Ask:
    excluded = {
        track.entry.instance
        for track in queue.scheduler.tracks.values()
        if track.crc in message.excluded
    }
    return Ask(
        rank=message.rank,
        route_rank=message.route_rank,
        arrived=now - message.waited_s,
        objective_at=now + message.objective_s,
        deadline_at=now + message.deadline_s,
        ends_at=now + message.ends_s,
        prompt_tokens=message.prompt_tokens,
        expected_out=message.expected_out,
        committed=message.committed,
        exclude=excluded,
        asked_at=now,
    )
