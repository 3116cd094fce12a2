"""The cells that this node is home of.

Views of the fleet may differ for a while, so two nodes may both order a cell.
That costs at most that upstreams are given more than their capacity for that
while; no request is dispatched twice, since only its entry dispatches it.
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
from baobabwing.homes.gathering import AdmissionBuffer
from baobabwing.homes.watching import CacheChange, UpstreamWatcher
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.cell import Cell
from baobabwing.pools.partition import cell_names, cell_resource, upstreams_of_cell
from baobabwing.pools.permits import (
    Ask,
    Decision,
    Done,
    Grant,
    LoadReport,
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
# A new home admits nothing for at most this long while it asks the entries
# what they have at upstreams; an entry that is slower is taken to have nothing.
MAX_HOLD_S = 1.0
# Asks that were queued at a dead home arrive within this time after the first.
RESUBMIT_WINDOW_S = 0.25
RECONCILE_INTERVAL_S = 5.0
OCCUPANCY_TICKS = 5
# A permit this old has reached its entry, or never will.
MIN_RECONCILE_AGE_S = 2.0
NOT_HOME = "not_home"
CROWDED = "crowded"
LOAD_REFUSAL_CODES = (RefusalCode.OVERLOADED, RefusalCode.QUEUE_TOO_LONG)

Respond = Callable[[PermitDecision], bool]


@dataclass(frozen=True, kw_only=True)
class _PendingRequest:
    """An entry that waits for the decision of a cell.

    :param connection: on which it asked; ``None`` for this node's own entry.
    :param tried: other cells that refused the request.
    """

    cell: str
    rank: int
    tried: tuple[str, ...]
    key: str
    respond: Respond
    connection: object


QueryInflight = Callable[[Host, InflightQuery], InflightAnswer]


def _floor_queries_disabled(host: Host, query: FloorQuery) -> FloorAnswer:
    raise PeerError("floors are not asked for", step="floor", peer=host.peer)


class CellHomes:
    """Orders the requests of every cell whose home this node is.

    :param me: this node.
    :param view: returns the present view of the fleet.
    :param ask_peer: asks another entry what it has at upstreams.
    :param own_inflight: the same of this node's own entry.
    :param ask_floor: asks another home which tiers its cells admit.
    """

    def __init__(
        self,
        *,
        me: Host,
        view: Callable[[], FleetView],
        ask_peer: QueryInflight,
        own_inflight: Callable[[str], InflightAnswer],
        ask_floor: QueryFloor = _floor_queries_disabled,
    ) -> None:
        self._me = me
        self._view = view
        self._query_inflight = ask_peer
        self._local_inflight = own_inflight
        self._cells: dict[str, Cell] = {}
        self._rebuilding: set[str] = set()
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
            query_floor=ask_floor,
            local_floors=self._local_floors,
        )
        self._watcher = UpstreamWatcher(
            on_load=self._apply_load, on_cache=self._apply_cache_change
        )

    def start(self) -> None:
        """Begin to look after deadlines of queued requests."""
        threading.Thread(target=self._tick, name="cells", daemon=True).start()
        threading.Thread(
            target=self._reconcile_periodically, name="review", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop the threads; queued requests find another home."""
        self._stopping.set()
        self._watcher.stop()

    def configure(self, cfg: Configuration) -> None:
        """Take a new configuration into force for all cells."""
        self._cfg = cfg
        self._floors.configure(cfg)
        self.place()

    def place(self) -> None:
        """Take and give up cells after a change of the view or configuration."""
        with self._update_lock:
            cfg = self._cfg
            if cfg is None:
                return
            wanted = self._assigned_cells(cfg)
            for name in tuple(self._cells):
                if name not in wanted:
                    self._release_cell(name)
            for name, (pool, upstreams) in wanted.items():
                self._acquire_cell(name, pool, upstreams)
            self._watcher.watch(
                _of_kind(wanted, PoolKind.ENGINE), _of_kind(wanted, PoolKind.SERVICE)
            )

    def submit(
        self,
        identity: str,
        message: PermitRequest,
        respond: Respond,
        connection: object = None,
    ) -> None:
        """Queue a request for a permit.

        :param identity: ``name#incarnation`` of the entry that owns it.
        :param respond: gets the one decision, at once or later.
        :param connection: on which the entry asked.
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
        ask = to_placement_request(identity, message, time.monotonic())
        with self._lock:
            self._pending[identity, message.request_id] = _PendingRequest(
                cell=message.cell,
                rank=message.tier_rank,
                tried=message.tried,
                key=message.key,
                respond=respond,
                connection=connection,
            )
        if not self._buffer.add(message.cell, ask):
            self._submit_or_refuse(cell, ask, first=message.moves == 0)

    def withdraw(self, identity: str, message: PermitWithdraw) -> None:
        """Forget a queued request whose caller has gone."""
        cell = self._cells.get(message.cell)
        with self._lock:
            self._pending.pop((identity, message.request_id), None)
        self._buffer.remove(message.cell, identity, message.request_id)
        if cell is not None:
            now = time.monotonic()
            self._send_decisions(cell, cell.withdraw(message.request_id, identity, now))

    def done(self, message: PermitDone) -> None:
        """Take a permit back."""
        cell = self._cells.get(message.cell)
        if cell is not None:
            self._send_decisions(cell, cell.done(to_done(message), time.monotonic()))

    def where(self, key: str, pool: str) -> WhereAnswer:
        """Return where the request with a key was permitted to go.

        It is sure that a key without a place was not dispatched only if this
        node has the pool's cell, knew all that was dispatched when it took it,
        and has nobody queued with the key, who may be dispatched next.
        """
        with self._lock:
            sure = all(pending.key != key for pending in self._pending.values())
        found = False
        for name, cell in tuple(self._cells.items()):
            if name.rpartition("/")[0] != pool:
                continue
            found = True
            placement = cell.where(key)
            if placement is not None:
                return WhereAnswer(
                    known=True,
                    upstream=placement.upstream,
                    request_id=placement.request_id,
                    sure=True,
                )
            sure = sure and name not in self._rebuilding
            sure = sure and time.monotonic() >= self._incomplete_until.get(name, 0.0)
        return WhereAnswer(known=False, sure=sure and found)

    def floor(self, query: FloorQuery) -> FloorAnswer:
        """Tell which tiers this node's cells of a pool admit, as a promise."""
        return self._floors.answer(query)

    def lose_connection(self, identity: str, connection: object) -> None:
        """Drop what an entry has queued, since no decision can reach it.

        An entry that reconnects asks again, maybe before the end of its old
        connection is noticed here; what it asked on the new one must stay.
        """
        now = time.monotonic()
        with self._lock:
            slots = [
                slot
                for slot, one in self._pending.items()
                if slot[0] == identity and one.connection is connection
            ]
            lost = [(slot[1], self._pending.pop(slot).cell) for slot in slots]
        for request_id, name in lost:
            self._buffer.remove(name, identity, request_id)
            cell = self._cells.get(name)
            if cell is not None:
                self._send_decisions(cell, cell.withdraw(request_id, identity, now))

    def forget_entry(self, identity: str) -> None:
        """Free what an entry that has died held at upstreams."""
        self._buffer.forget_entry(identity)
        now = time.monotonic()
        for cell in tuple(self._cells.values()):
            self._send_decisions(cell, cell.forget_entry(identity, now))

    def cells(self) -> dict[str, Cell]:
        """Return the cells by name."""
        return dict(self._cells)

    def _assigned_cells(
        self, cfg: Configuration
    ) -> dict[str, tuple[Pool, tuple[Upstream, ...]]]:
        view = self._view()
        wanted = {}
        for pool in cfg.pools:
            upstreams = [one for one in cfg.upstreams if one.pool == pool.name]
            for name in cell_names(pool, upstreams):
                home = home_of(view, cell_resource(name))
                if home is not None and home.name == self._me.name:
                    mine = upstreams_of_cell(name, pool, upstreams)
                    wanted[name] = (pool, mine)
        return wanted

    def _acquire_cell(
        self, name: str, pool: Pool, upstreams: tuple[Upstream, ...]
    ) -> None:
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
        """Send those who wait in a cell to its new home."""
        del self._cells[name]
        self._buffer.discard(name)
        with self._lock:
            slots = [slot for slot, one in self._pending.items() if one.cell == name]
            moved = [(slot, self._pending.pop(slot)) for slot in slots]
        for (_, request_id), waiting in moved:
            waiting.respond(
                PermitDecision(request_id=request_id, granted=False, code=NOT_HOME)
            )

    def _rebuild(self, name: str, cell: Cell) -> None:
        """Ask every entry what it has at the cell's upstreams, then admit."""
        query = InflightQuery(cell=name)
        returned_at = time.monotonic() + RESUBMIT_WINDOW_S
        self._adopt(cell, self._me, self._local_inflight(name))
        view = self._view()
        others = [host for host in view.serving() if host.name != self._me.name]
        complete = all(one.state is not MemberState.DEAD for one in view.members)
        if others:
            with ThreadPoolExecutor(max_workers=min(32, len(others))) as pool:
                for host, answer in pool.map(
                    self._query_entry, others, [query] * len(others)
                ):
                    complete = complete and answer is not None
                    self._adopt(cell, host, answer or InflightAnswer())
        if not complete:
            # What a dead entry had dispatched is known to nobody here.
            self._incomplete_until[name] = time.monotonic() + PLACEMENT_RETENTION_S
        self._stopping.wait(max(0.0, returned_at - time.monotonic()))
        self._admit_buffered(name, cell)
        self._rebuilding.discard(name)
        self._send_decisions(cell, cell.release())
        log(HOME_REBUILT, cell=name, entries=len(others) + 1)

    def _admit_buffered(self, name: str, cell: Cell) -> None:
        decisions: list[Decision] = []

        def submit(ask: Ask) -> None:
            decisions.extend(cell.submit(ask, time.monotonic()))

        self._buffer.drain(name, submit)
        self._send_decisions(cell, decisions)

    def _submit_or_refuse(self, cell: Cell, ask: Ask, *, first: bool) -> None:
        """Submit an ask, unless another cell has room or it is kept out here."""
        rank = ask.tier_rank
        target = self._less_loaded_cell(cell.name, rank) if first else ""
        closed_s = self._floors.closed_s(cell.name, rank)
        now = time.monotonic()
        if target:
            self._refuse(cell, ask, CROWDED, hand_to=target)
        elif closed_s:
            self._refuse(cell, ask, RefusalCode.OVERLOADED, retry_after_s=closed_s)
        else:
            self._send_decisions(cell, cell.submit(ask, now))

    def _less_loaded_cell(self, name: str, rank: int) -> str:
        """Return a cell with room if a request would wait long in this one."""
        crowd = self._occupancy.get(name)
        if crowd is None or not crowd.waits_long(rank):
            return ""
        return self._floors.find_less_loaded(name, rank, PERCENT // max(1, crowd.slots))

    def _refuse(
        self,
        cell: Cell,
        ask: Ask,
        code: str,
        *,
        retry_after_s: float = 0.0,
        hand_to: str = "",
    ) -> None:
        """Answer an ask without the cell, which forgets an earlier copy of it."""
        refusal = Refusal(
            request_id=ask.request_id,
            entry=ask.entry,
            code=code,
            retry_after_s=retry_after_s * (1.0 + self._rng.random()),
            hand_to=hand_to,
        )
        self._send_decisions(cell, [refusal])
        now = time.monotonic()
        self._send_decisions(cell, cell.withdraw(ask.request_id, ask.entry, now))

    def _local_floors(self, pool: str) -> list[CellFloor]:
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
        try:
            return host, self._query_inflight(host, query)
        except PeerError:
            return host, None

    def _adopt(self, cell: Cell, host: Host, answer: InflightAnswer) -> None:
        identity = f"{host.name}#{host.incarnation}"
        items = to_inflight(identity, answer)
        self._send_decisions(cell, cell.adopt(items, time.monotonic()))

    def _apply_load(self, report: LoadReport) -> None:
        now = time.monotonic()
        for cell in tuple(self._cells.values()):
            self._send_decisions(cell, cell.correct(report, now))

    def _apply_cache_change(self, change: CacheChange) -> None:
        now = time.monotonic()
        for cell in tuple(self._cells.values()):
            self._send_decisions(
                cell,
                cell.cache_changed(
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
                for identity in cell.holders(time.monotonic() - MIN_RECONCILE_AGE_S):
                    self._reconcile(name, cell, identity)

    def _reconcile(self, name: str, cell: Cell, identity: str) -> None:
        """Compare the permits of an entry with what it says it has."""
        asked_at = time.monotonic()
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
        before = asked_at - MIN_RECONCILE_AGE_S
        self._send_decisions(
            cell, cell.reconcile(identity, held, before, time.monotonic())
        )

    def _send_decisions(self, cell: Cell, decisions: Iterable[Decision]) -> None:
        """Give each decision to whoever waits for it.

        A permit that cannot be delivered would occupy its place for ever: the
        entry has gone, so nobody gives it back. It is taken back here at once.
        """
        pending = list(decisions)
        while pending:
            decision = pending.pop(0)
            with self._lock:
                waiting = self._pending.pop((decision.entry, decision.request_id), None)
            delivered = waiting is not None and self._deliver(decision, waiting)
            if not delivered and isinstance(decision, Grant):
                unused = Done(
                    request_id=decision.request_id,
                    upstream=decision.upstream,
                    outcome="unused",
                )
                pending += cell.done(unused, time.monotonic())

    def _deliver(self, decision: Decision, waiting: _PendingRequest) -> bool:
        """Pass a decision on; one that is due to load, once others were asked."""
        if not isinstance(decision, Refusal) or decision.code not in LOAD_REFUSAL_CODES:
            return waiting.respond(to_message(decision))
        if not self._floors.has_other_cells(waiting.cell):
            return waiting.respond(to_message(decision))

        self._floors.record_refusal(waiting.cell, waiting.rank)

        def hand_to(target: str) -> None:
            waiting.respond(to_message(replace(decision, hand_to=target)))

        self._floors.find_target(
            cell=waiting.cell, rank=waiting.rank, tried=waiting.tried, then=hand_to
        )
        return True


def _of_kind(
    wanted: dict[str, tuple[Pool, tuple[Upstream, ...]]], kind: PoolKind
) -> list[Upstream]:
    return [
        one
        for pool, upstreams in wanted.values()
        if pool.kind is kind
        for one in upstreams
    ]
