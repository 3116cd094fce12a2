"""Admission and scheduling for the cells whose home is this node.

Fleet views may differ between nodes for a while, so two nodes may both act as
home of a cell. During that time upstreams may be given more requests than their
capacity; no request is dispatched twice, because only its entry dispatches it.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace

from baobabwing.exceptions import PeerError
from baobabwing.fleet.homes import home_of
from baobabwing.fleet.host import Host, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.homes.admission_buffer import AdmissionBuffer
from baobabwing.homes.conversion import (
    to_done,
    to_inflight,
    to_message,
    to_placement_request,
)
from baobabwing.homes.events import HOME_REBUILT, HOME_TAKEN
from baobabwing.homes.floors import (
    PERCENT,
    CellFloor,
    FloorExchange,
    Occupancy,
    QueryFloor,
    occupancy_of,
)
from baobabwing.homes.polling import CacheChange, UpstreamPoller
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.cell import Cell
from baobabwing.pools.partition import cell_names, cell_resource, upstreams_of_cell
from baobabwing.pools.permits import (
    Decision,
    Grant,
    LoadReport,
    PermitEnd,
    PlacementRequest,
    Refusal,
    RefusalCode,
)
from baobabwing.pools.placements import PLACEMENT_RETENTION_S
from baobabwing.reports.events import log
from baobabwing.settings.configuration import Configuration
from baobabwing.wire.messages import (
    FloorAnswer,
    FloorQuery,
    InflightAnswer,
    InflightQuery,
    PermitDecision,
    PermitDone,
    PermitRequest,
    PermitWithdraw,
    WhereAnswer,
)

__all__ = ["CROWDED", "NOT_HOME", "CellHomes"]

TICK_INTERVAL_S = 0.02
# Longest time for which a new home admits nothing while it queries the entries for
# their requests in flight. An entry that answers later is treated as having none.
MAX_HOLD_S = 1.0
# Placement requests that were queued at a dead home arrive at the new home within
# this time of the first one.
RESUBMIT_WINDOW_S = 0.25
RECONCILE_INTERVAL_S = 5.0
# Ticks between two measurements of how full the cells are.
OCCUPANCY_TICKS = 5
# A permit this old has either reached its entry or was lost, so that a permit the
# entry does not report can be freed.
MIN_RECONCILE_AGE_S = 2.0
NOT_HOME = "not_home"
CROWDED = "crowded"
# Refusals after which another cell of the pool may still admit the request.
LOAD_REFUSAL_CODES = (RefusalCode.OVERLOADED, RefusalCode.QUEUE_TOO_LONG)

Respond = Callable[[PermitDecision], bool]


@dataclass(frozen=True, kw_only=True)
class _PendingRequest:
    """A placement request whose decision has not been sent yet.

    :param tried: other cells that refused the request for load.
    :param key: idempotency key of the caller, or an empty string.
    :param respond: sends the decision to the entry.
    :param connection: connection on which the entry sent the request; ``None``
        for this node's own entry.
    """

    cell: str
    rank: int
    tried: tuple[str, ...]
    key: str
    respond: Respond
    connection: object


QueryInflight = Callable[[Host, InflightQuery], InflightAnswer]


def _floor_queries_disabled(host: Host, query: FloorQuery) -> FloorAnswer:
    raise PeerError("floor queries are not configured", step="floor", peer=host.peer)


class CellHomes:
    """Schedules the placement requests of every cell whose home is this node.

    :param me: this node.
    :param view: returns the current view of the fleet.
    :param query_inflight: queries another entry for its requests in flight.
    :param local_inflight: returns the requests in flight of this node's own entry.
    :param query_floor: queries another home for the tiers that its cells admit.
    """

    def __init__(
        self,
        *,
        me: Host,
        view: Callable[[], FleetView],
        query_inflight: QueryInflight,
        local_inflight: Callable[[str], InflightAnswer],
        query_floor: QueryFloor = _floor_queries_disabled,
    ) -> None:
        self._me = me
        self._view = view
        self._query_inflight = query_inflight
        self._local_inflight = local_inflight
        self._cells: dict[str, Cell] = {}
        self._rebuilding: set[str] = set()
        # Until when a cell may lack placements that an earlier home had granted.
        self._incomplete_until: dict[str, float] = {}
        self._pending: dict[tuple[str, str], _PendingRequest] = {}
        self._cfg: Configuration | None = None
        self._lock = threading.Lock()
        self._update_lock = threading.Lock()
        self._stopping = threading.Event()
        self._buffer = AdmissionBuffer()
        self._rng = random.Random()
        self._occupancy: dict[str, Occupancy] = {}
        self._floors = FloorExchange(
            me=me,
            view=view,
            query_floor=query_floor,
            local_floors=self._local_floors,
        )
        self._poller = UpstreamPoller(
            on_load=self._apply_load, on_cache=self._apply_cache_change
        )

    def start(self) -> None:
        """Start the threads that expire queued requests and reconcile permits."""
        threading.Thread(target=self._tick, name="cells", daemon=True).start()
        threading.Thread(
            target=self._reconcile_periodically, name="review", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop the threads; entries resubmit queued requests to the next home."""
        self._stopping.set()
        self._poller.stop()

    def configure(self, cfg: Configuration) -> None:
        """Apply a new configuration to all cells."""
        self._cfg = cfg
        self._floors.configure(cfg)
        self.update_cells()

    def update_cells(self) -> None:
        """Acquire and release cells after a change of the view or configuration."""
        with self._update_lock:
            cfg = self._cfg
            if cfg is None:
                return
            assigned = self._assigned_cells(cfg)
            for name in tuple(self._cells):
                if name not in assigned:
                    self._release_cell(name)
            for name, (pool, upstreams) in assigned.items():
                self._acquire_cell(name, pool, upstreams)
            self._poller.watch(
                _of_kind(assigned, PoolKind.ENGINE),
                _of_kind(assigned, PoolKind.SERVICE),
            )

    def submit(
        self,
        identity: str,
        message: PermitRequest,
        respond: Respond,
        connection: object = None,
    ) -> None:
        """Queue a placement request.

        :param identity: ``name#incarnation`` of the entry that owns the request.
        :param respond: called once with the decision, immediately or later; returns
            whether the decision could be delivered.
        :param connection: connection on which the entry sent the request.
        """
        cell = self._cells.get(message.cell)
        if cell is None:
            respond(
                PermitDecision(
                    request_id=message.request_id, granted=False, code=NOT_HOME
                )
            )
            return
        recent = message.tried[len(message.tried) - message.recent :]
        self._floors.record_remote_refusals(recent, message.tier_rank)
        request = to_placement_request(identity, message, time.monotonic())
        with self._lock:
            self._pending[identity, message.request_id] = _PendingRequest(
                cell=message.cell,
                rank=message.tier_rank,
                tried=message.tried,
                key=message.key,
                respond=respond,
                connection=connection,
            )
        if not self._buffer.add(message.cell, request):
            self._submit_or_refuse(cell, request, first=message.moves == 0)

    def withdraw(self, identity: str, message: PermitWithdraw) -> None:
        """Remove a queued request whose caller has disconnected."""
        cell = self._cells.get(message.cell)
        with self._lock:
            self._pending.pop((identity, message.request_id), None)
        self._buffer.remove(message.cell, identity, message.request_id)
        if cell is not None:
            now = time.monotonic()
            self._send_decisions(cell, cell.withdraw(message.request_id, identity, now))

    def release(self, message: PermitDone) -> None:
        """Release the slot of a permit whose use has ended."""
        cell = self._cells.get(message.cell)
        if cell is not None:
            self._send_decisions(
                cell, cell.end_permit(to_done(message), time.monotonic())
            )

    def find_placement(self, key: str, pool: str) -> WhereAnswer:
        """Return the upstream that the request with a key was permitted to use.

        For a key without a placement, ``sure`` states that the request was not
        dispatched. That holds only if this node is home of a cell of the pool, had
        the complete list of requests in flight when it acquired the cell, and has
        no queued request with the key, which might be dispatched next.
        """
        with self._lock:
            sure = all(pending.key != key for pending in self._pending.values())
        has_cell = False
        for name, cell in tuple(self._cells.items()):
            if name.rpartition("/")[0] != pool:
                continue
            has_cell = True
            placement = cell.last_placement(key)
            if placement is not None:
                return WhereAnswer(
                    known=True,
                    upstream=placement.upstream,
                    request_id=placement.request_id,
                    sure=True,
                )
            sure = sure and name not in self._rebuilding
            sure = sure and time.monotonic() >= self._incomplete_until.get(name, 0.0)
        return WhereAnswer(known=False, sure=sure and has_cell)

    def answer_floor_query(self, query: FloorQuery) -> FloorAnswer:
        """Return the tiers that this node's cells of a pool admit.

        The answer is binding for a while, see :class:`FloorExchange`.
        """
        return self._floors.answer(query)

    def drop_connection(self, identity: str, connection: object) -> None:
        """Remove the requests that an entry queued on a closed connection.

        No decision can be delivered on that connection. An entry that reconnects
        submits its requests again, possibly before this node notices the end of the
        old connection; requests submitted on the new connection must stay.
        """
        now = time.monotonic()
        with self._lock:
            keys = [
                key
                for key, pending in self._pending.items()
                if key[0] == identity and pending.connection is connection
            ]
            lost = [(key[1], self._pending.pop(key).cell) for key in keys]
        for request_id, name in lost:
            self._buffer.remove(name, identity, request_id)
            cell = self._cells.get(name)
            if cell is not None:
                self._send_decisions(cell, cell.withdraw(request_id, identity, now))

    def forget_entry(self, identity: str) -> None:
        """Drop the queued requests of a dead entry and free its slots.

        An entry that was taken for dead and runs on submits them again.
        """
        self._buffer.forget_entry(identity)
        now = time.monotonic()
        for cell in tuple(self._cells.values()):
            self._send_decisions(cell, cell.remove_entry(identity, now))
        self._refuse_pending(lambda key, _: key[0] == identity)

    def cells(self) -> dict[str, Cell]:
        """Return the cells whose home is this node, by name."""
        return dict(self._cells)

    def _assigned_cells(
        self, cfg: Configuration
    ) -> dict[str, tuple[Pool, tuple[Upstream, ...]]]:
        """Return pool and upstreams of each cell whose home is this node."""
        view = self._view()
        assigned = {}
        for pool in cfg.pools:
            upstreams = [
                upstream for upstream in cfg.upstreams if upstream.pool == pool.name
            ]
            for name in cell_names(pool, upstreams):
                home = home_of(view, cell_resource(name))
                if home is not None and home.name == self._me.name:
                    members = upstreams_of_cell(name, pool, upstreams)
                    assigned[name] = (pool, members)
        return assigned

    def _acquire_cell(
        self, name: str, pool: Pool, upstreams: tuple[Upstream, ...]
    ) -> None:
        """Configure a cell; if this node is its new home, start to rebuild it."""
        now = time.monotonic()
        cell = self._cells.get(name)
        if cell is not None:
            self._send_decisions(cell, cell.configure(pool, upstreams, now))
            return
        cell = Cell(name=name, now=now)
        cell.hold(now + MAX_HOLD_S)
        self._buffer.begin(name, now + MAX_HOLD_S)
        self._rebuilding.add(name)
        self._send_decisions(cell, cell.configure(pool, upstreams, now))
        self._cells[name] = cell
        log(HOME_TAKEN, cell=name)
        threading.Thread(
            target=self._rebuild, args=(name, cell), name="rebuild", daemon=True
        ).start()

    def _release_cell(self, name: str) -> None:
        """Drop a cell and refuse its queued requests with ``NOT_HOME``.

        The entries then submit them to the new home.
        """
        del self._cells[name]
        self._buffer.discard(name)
        self._refuse_pending(lambda _, pending: pending.cell == name)

    def _refuse_pending(
        self, selected: Callable[[tuple[str, str], _PendingRequest], bool]
    ) -> None:
        """Refuse undecided requests with ``NOT_HOME``; their entries submit them again.

        :param selected: returns whether to refuse a request, given its key.
        """
        with self._lock:
            keys = [key for key, one in self._pending.items() if selected(key, one)]
            removed = [(key, self._pending.pop(key)) for key in keys]
        for (_, request_id), pending in removed:
            pending.respond(
                PermitDecision(request_id=request_id, granted=False, code=NOT_HOME)
            )

    def _rebuild(self, name: str, cell: Cell) -> None:
        """Collect the requests in flight from every entry, then start admitting."""
        query = InflightQuery(cell=name)
        resubmitted_at = time.monotonic() + RESUBMIT_WINDOW_S
        self._adopt(cell, self._me, self._local_inflight(name))
        view = self._view()
        others = [host for host in view.serving() if host.name != self._me.name]
        complete = all(member.state is not MemberState.DEAD for member in view.members)
        if others:
            with ThreadPoolExecutor(max_workers=min(32, len(others))) as pool:
                for host, answer in pool.map(
                    self._query_entry, others, [query] * len(others)
                ):
                    complete = complete and answer is not None
                    self._adopt(cell, host, answer or InflightAnswer())
        if not complete:
            # No node can report what a dead or unresponsive entry had dispatched.
            self._incomplete_until[name] = time.monotonic() + PLACEMENT_RETENTION_S
        self._stopping.wait(max(0.0, resubmitted_at - time.monotonic()))
        self._admit_buffered(name, cell)
        self._rebuilding.discard(name)
        self._send_decisions(cell, cell.release())
        log(HOME_REBUILT, cell=name, entries=len(others) + 1)

    def _admit_buffered(self, name: str, cell: Cell) -> None:
        """Submit the requests that were buffered while the cell was rebuilt."""
        decisions: list[Decision] = []

        def submit(request: PlacementRequest) -> None:
            decisions.extend(cell.submit(request, time.monotonic()))

        self._buffer.drain(name, submit)
        self._send_decisions(cell, decisions)

    def _submit_or_refuse(
        self, cell: Cell, request: PlacementRequest, *, first: bool
    ) -> None:
        """Submit a placement request to its cell, or refuse it.

        It is refused if another cell has free slots and this one a long queue, or
        if this node has promised to keep the tier out of the cell.

        :param first: whether this is the first cell that receives the request;
            only then it may be redirected to a less loaded one.
        """
        rank = request.tier_rank
        target = self._less_loaded_cell(cell.name, rank) if first else ""
        closed_s = self._floors.closed_s(cell.name, rank)
        now = time.monotonic()
        if target:
            self._refuse(cell, request, CROWDED, hand_to=target)
        elif closed_s:
            self._refuse(cell, request, RefusalCode.OVERLOADED, retry_after_s=closed_s)
        else:
            self._send_decisions(cell, cell.submit(request, now))

    def _less_loaded_cell(self, name: str, rank: int) -> str:
        """Return a cell to redirect to if the queue of this one is long for a tier.

        Return an empty string if it is not, or if no other cell has free slots.
        """
        occupancy = self._occupancy.get(name)
        if occupancy is None or not occupancy.waits_long(rank):
            return ""
        return self._floors.find_less_loaded(
            name, rank, PERCENT // max(1, occupancy.slots)
        )

    def _refuse(
        self,
        cell: Cell,
        request: PlacementRequest,
        code: str,
        *,
        retry_after_s: float = 0.0,
        hand_to: str = "",
    ) -> None:
        """Refuse a request without submitting it to the cell.

        An earlier copy of the request that the cell may have queued is withdrawn.

        :param retry_after_s: shortest delay; up to the same time again is added at
            random, so that callers do not all retry at once.
        :param hand_to: cell to which the entry should redirect the request.
        """
        refusal = Refusal(
            request_id=request.request_id,
            entry=request.entry,
            code=code,
            retry_after_s=retry_after_s * (1.0 + self._rng.random()),
            hand_to=hand_to,
        )
        self._send_decisions(cell, [refusal])
        now = time.monotonic()
        self._send_decisions(
            cell, cell.withdraw(request.request_id, request.entry, now)
        )

    def _local_floors(self, pool: str) -> list[CellFloor]:
        """Return the floors of this node's cells of a pool."""
        return [
            CellFloor(cell=name, floor=state.floor, fill=occupancy_of(state).fill)
            for name, state in (
                (name, cell.snapshot())
                for name, cell in tuple(self._cells.items())
                if name.rpartition("/")[0] == pool
            )
        ]

    def _measure_occupancy(self) -> None:
        self._occupancy = {
            name: occupancy_of(cell.snapshot())
            for name, cell in tuple(self._cells.items())
            if self._floors.has_other_cells(name)
        }

    def _query_entry(
        self, host: Host, query: InflightQuery
    ) -> tuple[Host, InflightAnswer | None]:
        """Return the requests in flight of an entry, ``None`` if it is unreachable."""
        try:
            return host, self._query_inflight(host, query)
        except PeerError:
            return host, None

    def _adopt(self, cell: Cell, host: Host, answer: InflightAnswer) -> None:
        """Count the requests in flight that an entry reported."""
        identity = f"{host.name}#{host.incarnation}"
        items = to_inflight(identity, answer)
        self._send_decisions(cell, cell.adopt(items, time.monotonic()))

    def _apply_load(self, report: LoadReport) -> None:
        now = time.monotonic()
        for cell in tuple(self._cells.values()):
            self._send_decisions(cell, cell.apply_load_report(report, now))

    def _apply_cache_change(self, change: CacheChange) -> None:
        now = time.monotonic()
        for cell in tuple(self._cells.values()):
            self._send_decisions(
                cell,
                cell.apply_cache_events(
                    change.upstream,
                    now,
                    stored=change.stored,
                    evicted=change.evicted,
                    cleared=change.cleared,
                ),
            )

    def _tick(self) -> None:
        ticks = 0
        while not self._stopping.wait(TICK_INTERVAL_S):
            now = time.monotonic()
            for name in self._buffer.overdue(now):
                cell = self._cells.get(name)
                if cell is not None:
                    self._admit_buffered(name, cell)
            for cell in tuple(self._cells.values()):
                self._send_decisions(cell, cell.tick(now))
            ticks += 1
            if ticks % OCCUPANCY_TICKS == 0:
                self._measure_occupancy()

    def _reconcile_periodically(self) -> None:
        while not self._stopping.wait(RECONCILE_INTERVAL_S):
            for name, cell in tuple(self._cells.items()):
                for identity in cell.entries_with_permits(
                    time.monotonic() - MIN_RECONCILE_AGE_S
                ):
                    self._reconcile(name, cell, identity)

    def _reconcile(self, name: str, cell: Cell, identity: str) -> None:
        """Free the permits of an entry that the entry itself does not report."""
        requested_at = time.monotonic()
        if identity == f"{self._me.name}#{self._me.incarnation}":
            answer = self._local_inflight(name)
        else:
            member = self._view().find(identity.partition("#")[0])
            if member is None or f"#{member.host.incarnation}" not in identity:
                return
            try:
                answer = self._query_inflight(member.host, InflightQuery(cell=name))
            except PeerError:
                return
        held = {item.request_id for item in answer.items}
        granted_before = requested_at - MIN_RECONCILE_AGE_S
        self._send_decisions(
            cell, cell.reconcile(identity, held, granted_before, time.monotonic())
        )

    def _send_decisions(self, cell: Cell, decisions: Iterable[Decision]) -> None:
        """Send each decision to the entry that requested it.

        A grant that cannot be delivered is released immediately. Its entry is
        disconnected and would never release it, so the slot would stay occupied.
        """
        queue = list(decisions)
        while queue:
            decision = queue.pop(0)
            with self._lock:
                pending = self._pending.pop((decision.entry, decision.request_id), None)
            delivered = pending is not None and self._deliver(decision, pending)
            if not delivered and isinstance(decision, Grant):
                unused = PermitEnd(
                    request_id=decision.request_id,
                    upstream=decision.upstream,
                    outcome="unused",
                )
                queue += cell.end_permit(unused, time.monotonic())

    def _deliver(self, decision: Decision, pending: _PendingRequest) -> bool:
        """Send a decision; return whether it could be delivered.

        A refusal for load is sent after a lookup of another cell of the pool that
        admits the request. If there is one, the refusal redirects the request to it.
        """
        if not isinstance(decision, Refusal) or decision.code not in LOAD_REFUSAL_CODES:
            return pending.respond(to_message(decision))
        if not self._floors.has_other_cells(pending.cell):
            return pending.respond(to_message(decision))

        self._floors.record_refusal(pending.cell, pending.rank)

        def redirect(target: str) -> None:
            pending.respond(to_message(replace(decision, hand_to=target)))

        self._floors.find_target(
            cell=pending.cell,
            rank=pending.rank,
            tried=pending.tried,
            on_target=redirect,
        )
        return True


def _of_kind(
    assigned: dict[str, tuple[Pool, tuple[Upstream, ...]]], kind: PoolKind
) -> list[Upstream]:
    """Return the upstreams of all cells whose pool is of a kind."""
    return [
        upstream
        for pool, upstreams in assigned.values()
        if pool.kind is kind
        for upstream in upstreams
    ]
