"""Memory of what roles keep: one more of each, by the interpreter's allocator."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from baobabwing.bench.slopes.fitting import Slope, fit, heap_bytes
from baobabwing.bench.slopes.registry import measurement
from baobabwing.brands.catalogue import Limits
from baobabwing.brands.slices import Demand, SliceHome
from baobabwing.fleet.host import Host, MemberState
from baobabwing.fleet.table import MemberTable
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.cell import Cell
from baobabwing.pools.permits import Ask, Placement
from baobabwing.pools.placements import Ending, Endings, Placements
from baobabwing.pools.prefix_index import PrefixIndex
from baobabwing.requests.outcome import Outcome
from baobabwing.requests.registry import RequestRegistry
from baobabwing.requests.request import Placement as RequestPlacement
from baobabwing.requests.request import Request, RequestFacts
from baobabwing.wire.datagram import MemberRecord

__all__ = ["ask_of", "busy_cell", "member_record", "upstreams_of"]

SIZES = (500, 1_000, 2_000, 4_000)
CELL_UPSTREAMS = 32
DEADLINE_S = 60.0
PROMPT_BLOCKS = 16
# Few prompts that many share, so that the prefix index stays small and what a
# permit itself holds is measured.
GROUPS = 8
FAR_DEADLINE_S = 10_000.0


def upstreams_of(pool: str, count: int, *, capacity: int = 16) -> tuple[Upstream, ...]:
    """Return upstreams of a pool, three generations in turn."""
    return tuple(
        Upstream(
            name=f"{pool}-worker-{number:04d}",
            pool=pool,
            address=f"127.9.{number // 250}.{number % 250 + 1}:9",
            generation=f"g{number % 3 + 1}",
            capacity=capacity,
        )
        for number in range(count)
    )


def ask_of(number: int, *, blocks: int = PROMPT_BLOCKS) -> Ask:
    """Return an ask as an entry sends it, each with strings of its own."""
    return Ask(
        request_id=f"entry-{number % 460:03d}-{number:020x}",
        entry=f"entry-{number % 460:03d}#17648{number % 460:08d}",
        pool="model-a",
        organisation=f"organisation-{number % 1400:04d}",
        tier_rank=number % 4,
        deadline=FAR_DEADLINE_S,
        prompt_tokens=1_000,
        output_tokens=460,
        prefix=tuple((number % GROUPS << 50) + (1 << 60) + n for n in range(blocks)),
        key=_key(number),
    )


def busy_cell(asks: int, *, capacity: int, policy: str = "baobabwing") -> Cell:
    """Return a cell of 32 upstreams that was asked for permits.

    :param capacity: of each upstream; what does not fit waits.
    """
    pool = Pool(
        name="model-a",
        kind=PoolKind.ENGINE,
        models=("model-a",),
        policy=policy,
        queue_limit=10 * max(SIZES),
    )
    cell = Cell(name="model-a/0", now=0.0)
    cell.configure(pool, upstreams_of("model-a", CELL_UPSTREAMS, capacity=capacity), 0)
    for number in range(asks):
        cell.submit(ask_of(number), 0.0)
    return cell


def member_record(number: int) -> MemberRecord:
    """Return what a node hears of another one."""
    return MemberRecord(
        name=f"entry-{number:03d}",
        incarnation=1_764_800_000_000 + number,
        state=MemberState.ALIVE,
        zone=f"zone-{number % 7}",
        region=f"region-{number % 2}",
        peer=f"10.1.{number // 250}.{number % 250}:7000",
        http=f"10.1.{number // 250}.{number % 250}:8000",
    )


@measurement("state")
def measure_state() -> Iterable[Slope]:
    """Measure the memory of each thing that a role keeps many of."""
    yield _memory("queued request", _queued)
    yield _memory("permit in use", _permitted)
    yield _memory("placement of a key", _placements)
    yield _memory("ending of a request", _endings)
    yield _memory("digest in a prefix index", _digests)
    yield _memory("open request at its entry", _open)
    yield _memory("closed request with a key at its entry", _closed)
    yield _memory("member", _members, sizes=(115, 230, 460))
    yield _memory("lease of a slice at its home", _leases, sizes=(57, 115, 230, 460))


def _memory(
    per: str, build: Callable[[int], object], *, sizes: Sequence[int] = SIZES
) -> Slope:
    points = [(size, heap_bytes(lambda size=size: build(size))) for size in sizes]
    return fit(f"memory: {per}", unit="bytes", per=per, points=points)


def _queued(count: int) -> object:
    cell = busy_cell(CELL_UPSTREAMS + count, capacity=1)
    waiting = sum(tier.count for tier in cell.snapshot().queued)
    assert waiting >= count, f"{waiting} of {count} asks wait"
    return cell


def _permitted(count: int) -> object:
    cell = busy_cell(count, capacity=max(SIZES), policy="random")
    held = cell.snapshot().in_flight
    assert held == count, f"{held} of {count} permits in use"
    return cell


def _placements(count: int) -> object:
    kept = Placements()
    for number in range(count):
        place = Placement(
            upstream="model-a-worker-0001", request_id=f"entry-001-{number:020x}"
        )
        kept.put(_key(number), place, 0.0)
    return kept


def _endings(count: int) -> object:
    kept = Endings()
    for number in range(count):
        ending = Ending(attempt=1, outcome="answered")
        kept.put(f"entry-001-{number:020x}", ending, 0.0)
    return kept


def _digests(count: int) -> object:
    index = PrefixIndex()
    for number in range(count):
        upstream = f"model-a-worker-{number % CELL_UPSTREAMS:04d}"
        index.add(upstream, [(1 << 60) + number])
    return index


def _open(count: int) -> object:
    return _registry(count, close=False)


def _closed(count: int) -> object:
    return _registry(count, close=True)


def _registry(count: int, *, close: bool) -> object:
    registry = RequestRegistry(retention_s=FAR_DEADLINE_S)
    for number in range(count):
        request = Request(facts=_facts(number))
        registry.enter(request, 0.0)
        request.permit(
            RequestPlacement(
                upstream="model-a-worker-0001",
                address="10.1.1.1:8000",
                attempt_id=f"entry-001-{number:020x}.model-a-worker-0001",
                cell="model-a/0",
            )
        )
        request.dispatch()
        if close:
            request.close(Outcome.ANSWERED)
            registry.leave(request, 0.0)
    return registry


def _facts(number: int) -> RequestFacts:
    return RequestFacts(
        request_id=f"entry-001-{number:020x}",
        key=_key(number),
        brand="brand",
        organisation="organisation",
        tier="chat",
        tier_rank=1,
        pool="model-a",
        prompt_tokens=1_000,
        output_tokens=460,
        deadline=float(number),
    )


def _members(count: int) -> object:
    me = Host(
        name="me", incarnation=1, zone="zone-0", region="r", peer="1:1", http="1:2"
    )
    table = MemberTable(me=me)
    for number in range(count):
        table.apply(member_record(number), now=0.0)
    view = table.view()
    view.find("me")
    view.serving()
    return table, view


def _leases(count: int) -> object:
    home = SliceHome(
        limits=Limits(requests_per_s=1e4, tokens_per_s=1e6, concurrency=10_000)
    )
    for number in range(count):
        entry = f"entry-{number:03d}#1764800000000"
        home.lease(entry, Demand(requests_per_s=1, tokens_per_s=100, open=2), 0.0)
    return home


def _key(number: int) -> str:
    return f"bw1.entry-001.19ae5b5c000.692f3a00.{number:032x}"
