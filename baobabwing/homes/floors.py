"""What the homes of a pool's cells tell each other under overload.

A home that would refuse a request for load asks the other homes of the pool
which tiers they still admit. Each answer is a promise as well: a cell that does
not admit a tier takes nothing of a lower one for a while. So nobody admits a
lower tier at the moment at which a higher one is refused for good, though the
answers are kept for a while. Nothing is sent while nothing is refused.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Collection, Iterable
from concurrent.futures import ThreadPoolExecutor, wait
from dataclasses import dataclass, replace

from baobabwing.exceptions import PeerError
from baobabwing.fleet.homes import home_of
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView
from baobabwing.pools.cell import ALL_ADMITTED, NONE_ADMITTED
from baobabwing.pools.partition import cell_names, cell_resource
from baobabwing.pools.snapshot import CellSnapshot
from baobabwing.settings.configuration import Configuration
from baobabwing.wire.messages import FloorAnswer, FloorQuery

__all__ = [
    "CellFloor",
    "FloorExchange",
    "Occupancy",
    "Promises",
    "occupancy_of",
    "pool_of",
]

# An answer is relied on for so long, counted from when it was asked for. Growing
# with the homes that are asked, it keeps the bytes a second the same.
VALID_PER_HOME_S = 0.1
MIN_VALID_S = 0.25
MAX_VALID_S = 5.0
# The word that a cell refused a request travels with the request, and is relied
# on from its arrival. The promise counts from the refusal, so it lasts longer.
REFUSAL_PROMISE_FACTOR = 2.0
# A home is asked again after it was handed so many requests: one with idle slots
# takes many, but the queue of a busy one may have had room for a moment only.
MAX_USES_IDLE = 16
MAX_USES_BUSY = 2
# A request waits for the answers no longer than this; a home that is silent is
# taken to admit nothing.
FLOOR_TIMEOUT_S = 0.1
MAX_PARALLEL_QUERIES = 32
MAX_FILL = 65535
PERCENT = 100
MS_PER_S = 1000
# A cell with fewer slots taken than this may be given what waits elsewhere.
MAX_TARGET_FILL = 80
# A request waits long behind half as many others as there are slots.
LONG_QUEUE_FILL = 50

OnTarget = Callable[[str], None]
QueryFloor = Callable[[Host, FloorQuery], FloorAnswer]


@dataclass(frozen=True, kw_only=True, slots=True)
class CellFloor:
    """What a home tells of one of its cells.

    :param floor: lowest tier rank that is admitted, see ``Cell.floor``.
    :param fill: requests in flight and queued, in hundredths of the slots.
    """

    cell: str
    floor: int
    fill: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Occupancy:
    """How full a cell is.

    :param waiting: requests queued, by tier rank.
    """

    slots: int
    in_flight: int
    waiting: dict[int, int]

    @property
    def fill(self) -> int:
        """Requests in flight and queued, in hundredths of the slots."""
        return self._share(self.in_flight + sum(self.waiting.values()))

    def waits_long(self, rank: int) -> bool:
        """Tell whether a request of a tier would wait behind many others."""
        ahead = sum(count for one, count in self.waiting.items() if one <= rank)
        return self._share(ahead) >= LONG_QUEUE_FILL

    def _share(self, requests: int) -> int:
        return min(MAX_FILL, PERCENT * requests // max(1, self.slots))


@dataclass(frozen=True, kw_only=True, slots=True)
class _CachedAnswer:
    """The last answer of a home, or that it gave none.

    :param until: when it has to be asked for again.
    :param uses: requests that may still be handed to the home by it.
    """

    floors: tuple[CellFloor, ...]
    until: float
    uses: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _PendingLookup:
    """A request whose fate hangs on answers that are still to come."""

    cell: str
    rank: int
    tried: Collection[str]
    then: OnTarget


class Promises:
    """Tiers that cells keep out for others' sake, each for a while."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, int], float] = {}
        self._lock = threading.Lock()

    def close_below(self, cell: str, rank: int, until: float) -> None:
        """Keep the tiers below a rank out of a cell."""
        with self._lock:
            before = self._until.get((cell, rank), 0.0)
            self._until[cell, rank] = max(before, until)

    def closed_s(self, cell: str, rank: int, now: float) -> float:
        """Return for how long a tier is still kept out, 0 if it is not."""
        ends = [
            until
            for (name, least), until in tuple(self._until.items())
            if name == cell and least < rank
        ]
        return max(0.0, max(ends, default=0.0) - now)

    def lowest_open(self, cell: str, now: float) -> int:
        """Return the lowest tier rank that no promise keeps out."""
        held = [
            least
            for (name, least), until in tuple(self._until.items())
            if name == cell and until > now
        ]
        return min(held, default=ALL_ADMITTED)

    def expire(self, now: float) -> None:
        """Drop promises whose time is over."""
        with self._lock:
            gone = [slot for slot, until in self._until.items() if until <= now]
            for slot in gone:
                del self._until[slot]


class FloorExchange:
    """Finds cells that still admit a tier, and answers others that look for one.

    :param me: this node.
    :param view: returns the present view of the fleet.
    :param ask: asks another home and waits for its answer.
    :param own: returns the floors of this node's cells of a pool.
    """

    def __init__(
        self,
        *,
        me: Host,
        view: Callable[[], FleetView],
        query_floor: QueryFloor,
        local_floors: Callable[[str], Iterable[CellFloor]],
    ) -> None:
        self._me = me
        self._view = view
        self._query_floor = query_floor
        self._local_floors = local_floors
        self._cells: dict[str, tuple[str, ...]] = {}
        self._cached: dict[tuple[str, str], _CachedAnswer] = {}
        self._pending: dict[str, list[_PendingLookup]] = {}
        self._promises = Promises()
        self._lock = threading.Lock()
        self._rng = random.Random()

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration: which cells each pool has."""
        cells = {}
        for pool in cfg.pools:
            members = [one for one in cfg.upstreams if one.pool == pool.name]
            cells[pool.name] = cell_names(pool, members)
        self._cells = cells

    def has_other_cells(self, cell: str) -> bool:
        """Tell whether the pool of a cell has other cells."""
        return len(self._cells.get(pool_of(cell), ())) > 1

    def closed_s(self, cell: str, rank: int) -> float:
        """Return for how long a cell has promised to keep a tier out."""
        return self._promises.closed_s(cell, rank, time.monotonic())

    def answer(self, query: FloorQuery) -> FloorAnswer:
        """Tell the floors of this node's cells, and keep to them for a while."""
        now = time.monotonic()
        self._promises.expire(now)
        # Counted from the answer, the promise outlasts the use that is made of
        # it, which counts from the question.
        until = now + min(query.valid_ms / MS_PER_S, MAX_VALID_S)
        told = [
            self._promise_floor(one, now, until)
            for one in self._local_floors(query.pool)
        ]
        best = max((one.floor for one in told), default=NONE_ADMITTED)
        return FloorAnswer(
            tier_rank=max(best, 0),
            sure=best != NONE_ADMITTED,
            numbers=tuple(int(one.cell.rpartition("/")[2]) for one in told),
            floors=tuple(min(one.floor + 1, ALL_ADMITTED) for one in told),
            fills=tuple(one.fill for one in told),
        )

    def record_refusal(self, cell: str, rank: int) -> None:
        """Keep lower tiers out of a cell of this node that refused one for load."""
        valid_s = self._valid_ms(pool_of(cell)) / MS_PER_S
        until = time.monotonic() + REFUSAL_PROMISE_FACTOR * valid_s
        self._promises.close_below(cell, rank, until)

    def record_remote_refusals(self, cells: Collection[str], rank: int) -> None:
        """Note that other cells refused a tier, as a request tells that they did.

        Else each home would hand requests to a cell that is full until its old
        answer is asked for anew, and they would go through most of the cells.
        """
        if not cells:
            return
        pool = pool_of(next(iter(cells)))
        with self._lock:
            for slot, known in tuple(self._cached.items()):
                if slot[0] == pool:
                    floors = tuple(
                        replace(one, floor=min(one.floor, rank - 1))
                        if one.cell in cells
                        else one
                        for one in known.floors
                    )
                    self._cached[slot] = replace(known, floors=floors)

    def find_target(
        self, *, cell: str, rank: int, tried: Collection[str] = (), then: OnTarget
    ) -> None:
        """Call back with a cell that admits a tier, or an empty string.

        At once if fresh answers decide it; otherwise once all homes have
        answered, or ``FLOOR_TIMEOUT_S`` later.

        :param cell: that would refuse the request.
        :param tried: other cells that have refused it.
        :param then: called once, maybe in another thread.
        """
        pool = pool_of(cell)
        pending = _PendingLookup(cell=cell, rank=rank, tried=tried, then=then)
        target = self._choose_target(pending)
        if target or not self._stale_homes(pool):
            self._count_use(target)
            then(target)
            return
        with self._lock:
            asking = pool in self._pending
            self._pending.setdefault(pool, []).append(pending)
        if not asking:
            self._start_refresh(pool)

    def find_less_loaded(self, cell: str, rank: int, step: int) -> str:
        """Return a cell with room for a tier, or an empty string.

        Never waits: without fresh answers it asks for them and says none.

        :param step: what one request adds to the fill of a cell.
        """
        pool = pool_of(cell)
        pending = _PendingLookup(cell=cell, rank=rank, tried=(), then=_discard_target)
        target = self._choose_target(pending, max_fill=MAX_TARGET_FILL)
        if target:
            self._add_fill(target, step)
        elif self._stale_homes(pool):
            with self._lock:
                asking = pool in self._pending
                self._pending.setdefault(pool, [])
            if not asking:
                self._start_refresh(pool)
        return target

    def _promise_floor(self, one: CellFloor, now: float, until: float) -> CellFloor:
        floor = min(one.floor, self._promises.lowest_open(one.cell, now))
        if floor < ALL_ADMITTED:
            # The tier just below the floor is refused here; whoever refuses it
            # as well relies on it that none below that one is admitted.
            self._promises.close_below(one.cell, floor + 1, until)
        return replace(one, floor=floor)

    def _choose_target(self, pending: _PendingLookup, max_fill: int = MAX_FILL) -> str:
        """Return the less full of two drawn cells, of the own zone if possible."""
        pool = pool_of(pending.cell)
        now = time.monotonic()
        near: list[CellFloor] = []
        far: list[CellFloor] = []
        for home in self._homes_of_pool(pool):
            known = self._cached.get((pool, home.name))
            if known is None or known.until <= now:
                continue
            group = near if home.zone == self._me.zone else far
            group += [
                one
                for one in known.floors
                if one.floor >= pending.rank
                and one.fill <= max_fill
                and one.cell != pending.cell
                and one.cell not in pending.tried
            ]
        group = near or far
        if not group:
            return ""
        drawn = self._rng.sample(group, min(2, len(group)))
        return min(drawn, key=lambda one: one.fill).cell

    def _add_fill(self, cell: str, step: int) -> None:
        """Count what was handed to a cell since its home told its fill."""
        pool = pool_of(cell)
        with self._lock:
            for slot, known in tuple(self._cached.items()):
                if slot[0] == pool:
                    floors = tuple(
                        replace(one, fill=one.fill + step) if one.cell == cell else one
                        for one in known.floors
                    )
                    self._cached[slot] = replace(known, floors=floors)

    def _count_use(self, cell: str) -> None:
        """Have the home of a cell asked again once it was handed enough."""
        home = home_of(self._view(), cell_resource(cell)) if cell else None
        if home is None:
            return
        slot = (pool_of(cell), home.name)
        with self._lock:
            known = self._cached.get(slot)
            if known is None:
                return
            uses = known.uses - 1
            until = known.until if uses > 0 else 0.0
            self._cached[slot] = replace(known, uses=uses, until=until)

    def _homes_of_pool(self, pool: str) -> list[Host]:
        view = self._view()
        homes = {}
        for name in self._cells.get(pool, ()):
            home = home_of(view, cell_resource(name))
            if home is not None:
                homes[home.name] = home
        return list(homes.values())

    def _stale_homes(self, pool: str) -> list[Host]:
        now = time.monotonic()
        stale = []
        for home in self._homes_of_pool(pool):
            known = self._cached.get((pool, home.name))
            if known is None or known.until <= now:
                stale.append(home)
        return stale

    def _start_refresh(self, pool: str) -> None:
        thread = threading.Thread(
            target=self._refresh, args=(pool,), name="floors", daemon=True
        )
        try:
            thread.start()
        except RuntimeError:
            # The host is out of threads. Whoever waits for the answers would
            # never be told; what is known already has to do.
            self._resolve_pending(pool)

    def _refresh(self, pool: str) -> None:
        """Ask all homes whose answers are too old, then decide what waits."""
        try:
            stale = self._stale_homes(pool)
            if stale:
                self._query_all(pool, stale)
        finally:
            self._resolve_pending(pool)

    def _query_all(self, pool: str, homes: list[Host]) -> None:
        query = FloorQuery(pool=pool, valid_ms=self._valid_ms(pool))
        threads = ThreadPoolExecutor(max_workers=min(MAX_PARALLEL_QUERIES, len(homes)))
        futs = {threads.submit(self._query_home, home, query): home for home in homes}
        for fut in wait(futs, timeout=FLOOR_TIMEOUT_S).not_done:
            # Asked once in a while only, a frozen home holds up nobody else.
            self._store_answer(futs[fut], query, (), time.monotonic())
        threads.shutdown(wait=False)

    def _resolve_pending(self, pool: str) -> None:
        with self._lock:
            decided = self._pending.pop(pool, [])
        for pending in decided:
            target = self._choose_target(pending)
            self._count_use(target)
            pending.then(target)

    def _valid_ms(self, pool: str) -> int:
        valid_s = VALID_PER_HOME_S * len(self._homes_of_pool(pool))
        return int(MS_PER_S * min(max(valid_s, MIN_VALID_S), MAX_VALID_S))

    def _query_home(self, home: Host, query: FloorQuery) -> None:
        asked_at = time.monotonic()
        try:
            own = home.name == self._me.name
            answer = self.answer(query) if own else self._query_floor(home, query)
            floors = _decode_floors(query.pool, answer)
        except PeerError:
            floors = ()
        self._store_answer(home, query, floors, asked_at)

    def _store_answer(
        self,
        home: Host,
        query: FloorQuery,
        floors: tuple[CellFloor, ...],
        asked_at: float,
    ) -> None:
        fill = min((one.fill for one in floors), default=PERCENT)
        known = _CachedAnswer(
            floors=floors,
            until=asked_at + query.valid_ms / MS_PER_S,
            uses=MAX_USES_IDLE if fill < PERCENT else MAX_USES_BUSY,
        )
        with self._lock:
            self._cached[query.pool, home.name] = known


def pool_of(cell: str) -> str:
    """Return the pool that a cell belongs to."""
    return cell.rpartition("/")[0]


def occupancy_of(snapshot: CellSnapshot) -> Occupancy:
    """Return how full a cell is."""
    return Occupancy(
        slots=sum(one.limit for one in snapshot.upstreams if one.open_to_work),
        in_flight=snapshot.in_flight,
        waiting={one.tier_rank: one.count for one in snapshot.queued},
    )


def _decode_floors(pool: str, answer: FloorAnswer) -> tuple[CellFloor, ...]:
    return tuple(
        CellFloor(
            cell=f"{pool}/{number}",
            floor=ALL_ADMITTED if shifted == ALL_ADMITTED else shifted - 1,
            fill=fill,
        )
        for number, shifted, fill in zip(
            answer.numbers, answer.floors, answer.fills, strict=False
        )
    )


def _discard_target(target: str) -> None:
    """Do nothing: nobody waits for this answer."""
