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
    to_ask,
    to_done,
    to_inflight,
    to_message,
)
from baobabwing.homes.events import HOME_REBUILT, HOME_TAKEN
from baobabwing.homes.floors import (
    PERCENT,
    AskFloor,
    CellFloor,
    Crowd,
    FloorExchange,
    crowd_of,
)
from baobabwing.homes.gathering import Gathering
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

TICK_S = 0.02
# A new home admits nothing for at most this long while it asks the entries
# what they have at upstreams; an entry that is slower is taken to have nothing.
HOLD_S = 1.0
# Asks that were queued at a dead home arrive within this time after the first.
RETURN_S = 0.25
REVIEW_S = 5.0
CROWD_TICKS = 5
# A permit this old has reached its entry, or never will.
SETTLED_S = 2.0
NOT_HOME = "not_home"
CROWDED = "crowded"
FOR_LOAD = (RefusalCode.OVERLOADED, RefusalCode.QUEUE_TOO_LONG)

Respond = Callable[[PermitDecision], bool]


@dataclass(frozen=True, kw_only=True)
class _Waiting:
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


AskPeer = Callable[[Host, InflightQuery], InflightAnswer]


def _ask_nobody(host: Host, query: FloorQuery) -> FloorAnswer:
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
        ask_peer: AskPeer,
        own_inflight: Callable[[str], InflightAnswer],
        ask_floor: AskFloor = _ask_nobody,
    ) -> None:
        self._me = me
        self._view = view
        self._ask_peer = ask_peer
        self._own_inflight = own_inflight
        self._cells: dict[str, Cell] = {}
        self._rebuilding: set[str] = set()
        self._unsure_until: dict[str, float] = {}
        self._waiting: dict[tuple[str, str], _Waiting] = {}
        self._cfg: Configuration | None = None
        self._lock = threading.Lock()
        self._placing = threading.Lock()
        self._stopping = threading.Event()
        self._gathering = Gathering()
        self._rng = random.Random()
        self._crowds: dict[str, Crowd] = {}
        self._floors = FloorExchange(
            me=me, view=view, ask=ask_floor, own=self._floors_of
        )
        self._watcher = UpstreamWatcher(
            on_load=self._take_load, on_cache=self._take_cache_change
        )

    def start(self) -> None:
        """Begin to look after deadlines of queued requests."""
        threading.Thread(target=self._tick, name="cells", daemon=True).start()
        threading.Thread(target=self._review, name="review", daemon=True).start()

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
        with self._placing:
            cfg = self._cfg
            if cfg is None:
                return
            wanted = self._wanted_cells(cfg)
            for name in tuple(self._cells):
                if name not in wanted:
                    self._give_up(name)
            for name, (pool, upstreams) in wanted.items():
                self._take(name, pool, upstreams)
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
        self._floors.heard_refused(recent, message.tier_rank)
        ask = to_ask(identity, message, time.monotonic())
        with self._lock:
            self._waiting[identity, message.request_id] = _Waiting(
                cell=message.cell,
                rank=message.tier_rank,
                tried=message.tried,
                key=message.key,
                respond=respond,
                connection=connection,
            )
        if not self._gathering.keep(message.cell, ask):
            self._order(cell, ask, first=message.moves == 0)

    def withdraw(self, identity: str, message: PermitWithdraw) -> None:
        """Forget a queued request whose caller has gone."""
        cell = self._cells.get(message.cell)
        with self._lock:
            self._waiting.pop((identity, message.request_id), None)
        self._gathering.remove(message.cell, identity, message.request_id)
        if cell is not None:
            now = time.monotonic()
            self._send(cell, cell.withdraw(message.request_id, identity, now))

    def done(self, message: PermitDone) -> None:
        """Take a permit back."""
        cell = self._cells.get(message.cell)
        if cell is not None:
            self._send(cell, cell.done(to_done(message), time.monotonic()))

    def where(self, key: str, pool: str) -> WhereAnswer:
        """Return where the request with a key was permitted to go.

        It is sure that a key without a place was not dispatched only if this
        node has the pool's cell, knew all that was dispatched when it took it,
        and has nobody queued with the key, who may be dispatched next.
        """
        with self._lock:
            sure = all(waiting.key != key for waiting in self._waiting.values())
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
            sure = sure and time.monotonic() >= self._unsure_until.get(name, 0.0)
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
                for slot, one in self._waiting.items()
                if slot[0] == identity and one.connection is connection
            ]
            lost = [(slot[1], self._waiting.pop(slot).cell) for slot in slots]
        for request_id, name in lost:
            self._gathering.remove(name, identity, request_id)
            cell = self._cells.get(name)
            if cell is not None:
                self._send(cell, cell.withdraw(request_id, identity, now))

    def forget_entry(self, identity: str) -> None:
        """Free what an entry that has died held at upstreams."""
        self._gathering.forget_entry(identity)
        now = time.monotonic()
        for cell in tuple(self._cells.values()):
            self._send(cell, cell.forget_entry(identity, now))

    def cells(self) -> dict[str, Cell]:
        """Return the cells by name."""
        return dict(self._cells)

    def _wanted_cells(
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

    def _take(self, name: str, pool: Pool, upstreams: tuple[Upstream, ...]) -> None:
        now = time.monotonic()
        cell = self._cells.get(name)
        if cell is not None:
            self._send(cell, cell.configure(pool, upstreams, now))
            return
        cell = Cell(name=name, now=now)
        cell.hold(now + HOLD_S)
        self._gathering.begin(name, now + HOLD_S)
        self._rebuilding.add(name)
        self._send(cell, cell.configure(pool, upstreams, now))
        self._cells[name] = cell
        log(HOME_TAKEN, cell=name)
        threading.Thread(
            target=self._rebuild, args=(name, cell), name="rebuild", daemon=True
        ).start()

    def _give_up(self, name: str) -> None:
        """Send those who wait in a cell to its new home."""
        del self._cells[name]
        self._gathering.drop(name)
        with self._lock:
            slots = [slot for slot, one in self._waiting.items() if one.cell == name]
            moved = [(slot, self._waiting.pop(slot)) for slot in slots]
        for (_, request_id), waiting in moved:
            waiting.respond(
                PermitDecision(request_id=request_id, granted=False, code=NOT_HOME)
            )

    def _rebuild(self, name: str, cell: Cell) -> None:
        """Ask every entry what it has at the cell's upstreams, then admit."""
        query = InflightQuery(cell=name)
        returned_at = time.monotonic() + RETURN_S
        self._adopt(cell, self._me, self._own_inflight(name))
        view = self._view()
        others = [host for host in view.serving() if host.name != self._me.name]
        complete = all(one.state is not MemberState.DEAD for one in view.members)
        if others:
            with ThreadPoolExecutor(max_workers=min(32, len(others))) as pool:
                for host, answer in pool.map(self._ask, others, [query] * len(others)):
                    complete = complete and answer is not None
                    self._adopt(cell, host, answer or InflightAnswer())
        if not complete:
            # What a dead entry had dispatched is known to nobody here.
            self._unsure_until[name] = time.monotonic() + PLACEMENT_RETENTION_S
        self._stopping.wait(max(0.0, returned_at - time.monotonic()))
        self._admit_gathered(name, cell)
        self._rebuilding.discard(name)
        self._send(cell, cell.release())
        log(HOME_REBUILT, cell=name, entries=len(others) + 1)

    def _admit_gathered(self, name: str, cell: Cell) -> None:
        decisions: list[Decision] = []

        def submit(ask: Ask) -> None:
            decisions.extend(cell.submit(ask, time.monotonic()))

        self._gathering.end(name, submit)
        self._send(cell, decisions)

    def _order(self, cell: Cell, ask: Ask, *, first: bool) -> None:
        """Submit an ask, unless another cell has room or it is kept out here."""
        rank = ask.tier_rank
        target = self._emptier(cell.name, rank) if first else ""
        closed_s = self._floors.closed_s(cell.name, rank)
        now = time.monotonic()
        if target:
            self._turn_away(cell, ask, CROWDED, hand_to=target)
        elif closed_s:
            self._turn_away(cell, ask, RefusalCode.OVERLOADED, retry_after_s=closed_s)
        else:
            self._send(cell, cell.submit(ask, now))

    def _emptier(self, name: str, rank: int) -> str:
        """Return a cell with room if a request would wait long in this one."""
        crowd = self._crowds.get(name)
        if crowd is None or not crowd.waits_long(rank):
            return ""
        return self._floors.emptier(name, rank, PERCENT // max(1, crowd.slots))

    def _turn_away(
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
        self._send(cell, [refusal])
        now = time.monotonic()
        self._send(cell, cell.withdraw(ask.request_id, ask.entry, now))

    def _floors_of(self, pool: str) -> list[CellFloor]:
        return [
            CellFloor(cell=name, floor=state.floor, fill=crowd_of(state).fill)
            for name, state in (
                (name, cell.snapshot())
                for name, cell in tuple(self._cells.items())
                if name.rpartition("/")[0] == pool
            )
        ]

    def _measure_crowds(self) -> None:
        self._crowds = {
            name: crowd_of(cell.snapshot())
            for name, cell in tuple(self._cells.items())
            if self._floors.has_others(name)
        }

    def _ask(
        self, host: Host, query: InflightQuery
    ) -> tuple[Host, InflightAnswer | None]:
        try:
            return host, self._ask_peer(host, query)
        except PeerError:
            return host, None

    def _adopt(self, cell: Cell, host: Host, answer: InflightAnswer) -> None:
        identity = f"{host.name}#{host.incarnation}"
        items = to_inflight(identity, answer)
        self._send(cell, cell.adopt(items, time.monotonic()))

    def _take_load(self, report: LoadReport) -> None:
        now = time.monotonic()
        for cell in tuple(self._cells.values()):
            self._send(cell, cell.correct(report, now))

    def _take_cache_change(self, change: CacheChange) -> None:
        now = time.monotonic()
        for cell in tuple(self._cells.values()):
            self._send(
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
        while not self._stopping.wait(TICK_S):
            now = time.monotonic()
            for name in self._gathering.overdue(now):
                cell = self._cells.get(name)
                if cell is not None:
                    self._admit_gathered(name, cell)
            for cell in tuple(self._cells.values()):
                self._send(cell, cell.tick(now))
            ticks += 1
            if ticks % CROWD_TICKS == 0:
                self._measure_crowds()

    def _review(self) -> None:
        while not self._stopping.wait(REVIEW_S):
            for name, cell in tuple(self._cells.items()):
                for identity in cell.holders(time.monotonic() - SETTLED_S):
                    self._reconcile(name, cell, identity)

    def _reconcile(self, name: str, cell: Cell, identity: str) -> None:
        """Compare the permits of an entry with what it says it has."""
        asked_at = time.monotonic()
        if identity == f"{self._me.name}#{self._me.incarnation}":
            answer = self._own_inflight(name)
        else:
            member = self._view().find(identity.partition("#")[0])
            if member is None or f"#{member.host.incarnation}" not in identity:
                return
            try:
                answer = self._ask_peer(member.host, InflightQuery(cell=name))
            except PeerError:
                return
        held = {item.request_id for item in answer.items}
        before = asked_at - SETTLED_S
        self._send(cell, cell.reconcile(identity, held, before, time.monotonic()))

    def _send(self, cell: Cell, decisions: Iterable[Decision]) -> None:
        """Give each decision to whoever waits for it.

        A permit that cannot be delivered would occupy its place for ever: the
        entry has gone, so nobody gives it back. It is taken back here at once.
        """
        pending = list(decisions)
        while pending:
            decision = pending.pop(0)
            with self._lock:
                waiting = self._waiting.pop((decision.entry, decision.request_id), None)
            delivered = waiting is not None and self._deliver(decision, waiting)
            if not delivered and isinstance(decision, Grant):
                unused = Done(
                    request_id=decision.request_id,
                    upstream=decision.upstream,
                    outcome="unused",
                )
                pending += cell.done(unused, time.monotonic())

    def _deliver(self, decision: Decision, waiting: _Waiting) -> bool:
        """Pass a decision on; one that is due to load, once others were asked."""
        if not isinstance(decision, Refusal) or decision.code not in FOR_LOAD:
            return waiting.respond(to_message(decision))
        if not self._floors.has_others(waiting.cell):
            return waiting.respond(to_message(decision))

        self._floors.refused(waiting.cell, waiting.rank)

        def hand_to(target: str) -> None:
            waiting.respond(to_message(replace(decision, hand_to=target)))

        self._floors.find(
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
