"""Exchange of admission floors between the homes of a pool's cells.

The floor of a cell is the lowest tier that it admits. A home that would refuse a
request for load queries the other homes of the pool for their floors. Each answer
is also a promise: a cell that does not admit a tier admits no lower tier until the
promise expires. So no home admits a lower tier while a higher one is finally
refused elsewhere, although answers are cached. Without refusals no message is sent.
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

# Validity of a cached answer, counted from the query. It grows with the number of
# homes that are queried, which keeps the bytes sent per second constant.
VALID_PER_HOME_S = 0.1
MIN_VALID_S = 0.25
MAX_VALID_S = 5.0
# A request carries the cells that refused it, and the next home relies on such a
# refusal from the arrival of the request. The promise counts from the refusal, which
# is earlier, so it has to last longer than a cached answer.
REFUSAL_PROMISE_FACTOR = 2.0
# Requests that may be redirected to a home on one answer, before the home is queried
# again: one with idle slots admits many, but the queue of a busy one may have had
# room only briefly.
MAX_USES_IDLE = 16
MAX_USES_BUSY = 2
# Longest time that a request waits for the answers of other homes; an unresponsive
# home is treated as admitting nothing.
FLOOR_TIMEOUT_S = 0.1
MAX_PARALLEL_QUERIES = 32
MAX_FILL = 65535
PERCENT = 100
MS_PER_S = 1000
# A cell that is filled to at most this percentage may receive requests that would
# wait in the queue of another cell.
MAX_TARGET_FILL = 80
# The queue of a cell is long for a tier once the requests ahead come to this
# percentage of the slots.
LONG_QUEUE_FILL = 50

OnTarget = Callable[[str], None]
QueryFloor = Callable[[Host, FloorQuery], FloorAnswer]


@dataclass(frozen=True, kw_only=True, slots=True)
class CellFloor:
    """Admission floor and fill level of a cell, as its home reports them.

    :param floor: lowest tier rank that is admitted, see ``Cell.floor``.
    :param fill: requests in flight and queued, as a percentage of the slots.
    """

    cell: str
    floor: int
    fill: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Occupancy:
    """Slots of a cell, and its requests in flight and queued.

    :param waiting: requests queued, by tier rank.
    """

    slots: int
    in_flight: int
    waiting: dict[int, int]

    @property
    def fill(self) -> int:
        """Requests in flight and queued, as a percentage of the slots."""
        return self._percentage(self.in_flight + sum(self.waiting.values()))

    def waits_long(self, rank: int) -> bool:
        """Return whether the queue ahead of a request of a tier is long."""
        ahead = sum(
            count for queued_rank, count in self.waiting.items() if queued_rank <= rank
        )
        return self._percentage(ahead) >= LONG_QUEUE_FILL

    def _percentage(self, requests: int) -> int:
        return min(MAX_FILL, PERCENT * requests // max(1, self.slots))


@dataclass(frozen=True, kw_only=True, slots=True)
class _CachedAnswer:
    """The last answer of a home.

    :param floors: empty if the home did not answer.
    :param expires_at: when the home has to be queried again.
    :param uses_left: requests that may still be redirected to the home.
    """

    floors: tuple[CellFloor, ...]
    expires_at: float
    uses_left: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _PendingLookup:
    """A lookup of a target cell that waits for answers of other homes."""

    cell: str
    rank: int
    tried: Collection[str]
    on_target: OnTarget


class Promises:
    """Promises not to admit tiers below a rank to a cell, each until it expires."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, int], float] = {}
        self._lock = threading.Lock()

    def close_below(self, cell: str, rank: int, until: float) -> None:
        """Keep the tiers below a rank out of a cell until then."""
        with self._lock:
            earlier = self._until.get((cell, rank), 0.0)
            self._until[cell, rank] = max(earlier, until)

    def closed_s(self, cell: str, rank: int, now: float) -> float:
        """Return how long a tier is still kept out of a cell, 0 if it is not."""
        ends = [
            until
            for (name, lowest_rank), until in tuple(self._until.items())
            if name == cell and lowest_rank < rank
        ]
        return max(0.0, max(ends, default=0.0) - now)

    def lowest_open(self, cell: str, now: float) -> int:
        """Return the lowest tier rank that no promise keeps out of a cell."""
        ranks = [
            lowest_rank
            for (name, lowest_rank), until in tuple(self._until.items())
            if name == cell and until > now
        ]
        return min(ranks, default=ALL_ADMITTED)

    def expire(self, now: float) -> None:
        """Remove expired promises."""
        with self._lock:
            expired = [key for key, until in self._until.items() if until <= now]
            for key in expired:
                del self._until[key]


class FloorExchange:
    """Finds cells that still admit a tier, and answers the queries of other homes.

    :param me: this node.
    :param view: returns the current view of the fleet.
    :param query_floor: sends a query to another home and waits for the answer.
    :param local_floors: returns the floors of this node's cells of a pool.
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
        """Set the cells of each pool from a configuration."""
        cells = {}
        for pool in cfg.pools:
            members = [
                upstream for upstream in cfg.upstreams if upstream.pool == pool.name
            ]
            cells[pool.name] = cell_names(pool, members)
        self._cells = cells

    def has_other_cells(self, cell: str) -> bool:
        """Return whether the pool of a cell has other cells."""
        return len(self._cells.get(pool_of(cell), ())) > 1

    def closed_s(self, cell: str, rank: int) -> float:
        """Return how long a tier is still kept out of a cell, 0 if it is not."""
        return self._promises.closed_s(cell, rank, time.monotonic())

    def answer(self, query: FloorQuery) -> FloorAnswer:
        """Return the floors of this node's cells, and promise to keep to them."""
        now = time.monotonic()
        self._promises.expire(now)
        # The promise counts from the answer and the cached answer counts from the
        # query, which is earlier, so the promise outlasts the cached answer.
        until = now + min(query.valid_ms / MS_PER_S, MAX_VALID_S)
        promised = [
            self._promise_floor(state, now, until)
            for state in self._local_floors(query.pool)
        ]
        best = max((state.floor for state in promised), default=NONE_ADMITTED)
        return FloorAnswer(
            tier_rank=max(best, 0),
            sure=best != NONE_ADMITTED,
            numbers=tuple(int(state.cell.rpartition("/")[2]) for state in promised),
            floors=tuple(min(state.floor + 1, ALL_ADMITTED) for state in promised),
            fills=tuple(state.fill for state in promised),
        )

    def record_refusal(self, cell: str, rank: int) -> None:
        """Keep lower tiers out of a cell of this node that refused a tier for load."""
        valid_s = self._valid_ms(pool_of(cell)) / MS_PER_S
        until = time.monotonic() + REFUSAL_PROMISE_FACTOR * valid_s
        self._promises.close_below(cell, rank, until)

    def record_remote_refusals(self, cells: Collection[str], rank: int) -> None:
        """Lower the cached floors of other cells that refused a tier.

        The cells are carried by a request that they refused. Without this update
        each home would redirect requests to a full cell until its cached answer
        expires, and requests would pass through most of the cells.
        """
        if not cells:
            return
        pool = pool_of(next(iter(cells)))
        with self._lock:
            for key, cached in tuple(self._cached.items()):
                if key[0] == pool:
                    floors = tuple(
                        replace(state, floor=min(state.floor, rank - 1))
                        if state.cell in cells
                        else state
                        for state in cached.floors
                    )
                    self._cached[key] = replace(cached, floors=floors)

    def find_target(
        self,
        *,
        cell: str,
        rank: int,
        tried: Collection[str] = (),
        on_target: OnTarget,
    ) -> None:
        """Call back with another cell that admits a tier, or an empty string.

        The callback is called immediately if cached answers suffice; otherwise once
        all homes have answered, or after ``FLOOR_TIMEOUT_S``.

        :param cell: cell that would refuse the request.
        :param tried: other cells that have refused the request.
        :param on_target: called once, possibly in another thread.
        """
        pool = pool_of(cell)
        pending = _PendingLookup(cell=cell, rank=rank, tried=tried, on_target=on_target)
        target = self._choose_target(pending)
        if target or not self._stale_homes(pool):
            self._count_use(target)
            on_target(target)
            return
        with self._lock:
            refreshing = pool in self._pending
            self._pending.setdefault(pool, []).append(pending)
        if not refreshing:
            self._start_refresh(pool)

    def find_less_loaded(self, cell: str, rank: int, step: int) -> str:
        """Return another cell with free slots for a tier, or an empty string.

        Does not wait: if cached answers are missing or expired it starts queries
        for them and returns an empty string.

        :param step: percentage points that one request adds to the fill of a cell.
        """
        pool = pool_of(cell)
        pending = _PendingLookup(
            cell=cell, rank=rank, tried=(), on_target=_discard_target
        )
        target = self._choose_target(pending, max_fill=MAX_TARGET_FILL)
        if target:
            self._add_fill(target, step)
        elif self._stale_homes(pool):
            with self._lock:
                refreshing = pool in self._pending
                self._pending.setdefault(pool, [])
            if not refreshing:
                self._start_refresh(pool)
        return target

    def _promise_floor(self, state: CellFloor, now: float, until: float) -> CellFloor:
        """Return the floor of a cell within its promises, and promise to keep it."""
        floor = min(state.floor, self._promises.lowest_open(state.cell, now))
        if floor < ALL_ADMITTED:
            # This cell refuses the tier just below its floor. Another home that
            # refuses that tier too relies on no lower tier being admitted here.
            self._promises.close_below(state.cell, floor + 1, until)
        return replace(state, floor=floor)

    def _choose_target(self, pending: _PendingLookup, max_fill: int = MAX_FILL) -> str:
        """Return the less full of two cells picked at random, or an empty string.

        Cells whose home is in the availability zone of this node are preferred.
        """
        pool = pool_of(pending.cell)
        now = time.monotonic()
        same_zone: list[CellFloor] = []
        other_zones: list[CellFloor] = []
        for home in self._homes_of_pool(pool):
            cached = self._cached.get((pool, home.name))
            if cached is None or cached.expires_at <= now:
                continue
            group = same_zone if home.zone == self._me.zone else other_zones
            group += [
                state
                for state in cached.floors
                if state.floor >= pending.rank
                and state.fill <= max_fill
                and state.cell != pending.cell
                and state.cell not in pending.tried
            ]
        group = same_zone or other_zones
        if not group:
            return ""
        candidates = self._rng.sample(group, min(2, len(group)))
        return min(candidates, key=lambda state: state.fill).cell

    def _add_fill(self, cell: str, step: int) -> None:
        """Add a request redirected to a cell to its cached fill."""
        pool = pool_of(cell)
        with self._lock:
            for key, cached in tuple(self._cached.items()):
                if key[0] == pool:
                    floors = tuple(
                        replace(state, fill=state.fill + step)
                        if state.cell == cell
                        else state
                        for state in cached.floors
                    )
                    self._cached[key] = replace(cached, floors=floors)

    def _count_use(self, cell: str) -> None:
        """Count a redirected request; expire the cached answer with the last use."""
        home = home_of(self._view(), cell_resource(cell)) if cell else None
        if home is None:
            return
        key = (pool_of(cell), home.name)
        with self._lock:
            cached = self._cached.get(key)
            if cached is None:
                return
            uses_left = cached.uses_left - 1
            expires_at = cached.expires_at if uses_left > 0 else 0.0
            self._cached[key] = replace(
                cached, uses_left=uses_left, expires_at=expires_at
            )

    def _homes_of_pool(self, pool: str) -> list[Host]:
        """Return the homes of a pool's cells, each once."""
        view = self._view()
        homes = {}
        for name in self._cells.get(pool, ()):
            home = home_of(view, cell_resource(name))
            if home is not None:
                homes[home.name] = home
        return list(homes.values())

    def _stale_homes(self, pool: str) -> list[Host]:
        """Return the homes of a pool's cells that have to be queried."""
        now = time.monotonic()
        stale = []
        for home in self._homes_of_pool(pool):
            cached = self._cached.get((pool, home.name))
            if cached is None or cached.expires_at <= now:
                stale.append(home)
        return stale

    def _start_refresh(self, pool: str) -> None:
        thread = threading.Thread(
            target=self._refresh, args=(pool,), name="floors", daemon=True
        )
        try:
            thread.start()
        except RuntimeError:
            # The host is out of threads, so no answer would ever arrive. The
            # pending lookups are resolved with the cached answers.
            self._resolve_pending(pool)

    def _refresh(self, pool: str) -> None:
        """Query all homes with stale answers, then resolve the pending lookups."""
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
            # With an empty answer cached, an unresponsive home is not queried again
            # until that expires, and does not delay every request.
            self._store_answer(futs[fut], query, (), time.monotonic())
        threads.shutdown(wait=False)

    def _resolve_pending(self, pool: str) -> None:
        """Call back for all lookups that waited for answers of a pool's homes."""
        with self._lock:
            lookups = self._pending.pop(pool, [])
        for pending in lookups:
            target = self._choose_target(pending)
            self._count_use(target)
            pending.on_target(target)

    def _valid_ms(self, pool: str) -> int:
        """Return how long an answer of a pool's home is valid, in milliseconds."""
        valid_s = VALID_PER_HOME_S * len(self._homes_of_pool(pool))
        return int(MS_PER_S * min(max(valid_s, MIN_VALID_S), MAX_VALID_S))

    def _query_home(self, home: Host, query: FloorQuery) -> None:
        """Query a home and store its answer, an empty one if it fails."""
        requested_at = time.monotonic()
        try:
            local = home.name == self._me.name
            answer = self.answer(query) if local else self._query_floor(home, query)
            floors = _decode_floors(query.pool, answer)
        except PeerError:
            floors = ()
        self._store_answer(home, query, floors, requested_at)

    def _store_answer(
        self,
        home: Host,
        query: FloorQuery,
        floors: tuple[CellFloor, ...],
        requested_at: float,
    ) -> None:
        fill = min((state.fill for state in floors), default=PERCENT)
        cached = _CachedAnswer(
            floors=floors,
            expires_at=requested_at + query.valid_ms / MS_PER_S,
            uses_left=MAX_USES_IDLE if fill < PERCENT else MAX_USES_BUSY,
        )
        with self._lock:
            self._cached[query.pool, home.name] = cached


def pool_of(cell: str) -> str:
    """Return the pool that a cell belongs to."""
    return cell.rpartition("/")[0]


def occupancy_of(snapshot: CellSnapshot) -> Occupancy:
    """Return the occupancy of a cell, from a snapshot of it."""
    return Occupancy(
        slots=sum(
            upstream.limit for upstream in snapshot.upstreams if upstream.open_to_work
        ),
        in_flight=snapshot.in_flight,
        waiting={tier.tier_rank: tier.count for tier in snapshot.queued},
    )


def _decode_floors(pool: str, answer: FloorAnswer) -> tuple[CellFloor, ...]:
    """Return the cell floors in an answer, whose floors are encoded plus one."""
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
    """Ignore a target: the lookup only starts a refresh."""
