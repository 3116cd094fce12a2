"""What a configuration costs, from an eighth of the target's size up to all of it."""

from __future__ import annotations

import hashlib
import json
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import replace

from baobabwing.bench.slopes.fitting import Slope, fit, heap_bytes, seconds_of
from baobabwing.bench.slopes.fleets import host_of, view_of
from baobabwing.bench.slopes.registry import measurement
from baobabwing.bench.slopes.size import TARGET
from baobabwing.bench.slopes.state import upstreams_of
from baobabwing.brands.catalogue import Brand, Credential, Limits, Organisation, Tier
from baobabwing.entry.context import Catalogue
from baobabwing.homes.cells import CellHomes
from baobabwing.homes.limits import SliceDesk
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.settings.configuration import Configuration, ModelRoute
from baobabwing.settings.deltas import (
    DeltaLog,
    apply_deltas,
    make_delta,
    pack,
    unpack,
)
from baobabwing.settings.documents import deflate, dump_configuration, inflate
from baobabwing.settings.publish import publish
from baobabwing.store.memory import MemoryTables
from baobabwing.wire.messages import InflightAnswer

__all__ = ["configuration_of", "measure_configurations"]

SHARES = (0.125, 0.25, 0.5, 1.0)
BRANDS = 20
SHARE = "share of the target's configuration"
MILLISECONDS = 1e3
MS = "ms"
BYTES = "bytes"


def configuration_of(share: float) -> Configuration:
    """Return a configuration with this share of the target's upstreams and callers."""
    pools = tuple(
        Pool(name=f"model-{n}", kind=PoolKind.ENGINE, models=(f"model-{n}-8b",))
        for n in range(TARGET.models)
    )
    per_pool = round(TARGET.upstreams * share / TARGET.models)
    upstreams = [one for pool in pools for one in upstreams_of(pool.name, per_pool)]
    count = round(TARGET.organisations * share)
    organisations = tuple(_organisation(n) for n in range(count))
    tiers = tuple(_tier(rank) for rank in range(TARGET.tiers))
    return Configuration(
        version=1,
        attempt="0123456789abcdef0123456789abcdef",
        author="operator",
        summary="one change",
        tiers=tiers,
        brands=tuple(Brand(name=f"brand-{n}") for n in range(BRANDS)),
        organisations=organisations,
        credentials=tuple(
            _credential(one.name, tier.name) for one in organisations for tier in tiers
        ),
        pools=pools,
        upstreams=tuple(
            _addressed(number, one) for number, one in enumerate(upstreams)
        ),
        routes=tuple(
            ModelRoute(brand=f"brand-{n}", model="default", serves="model-0-8b")
            for n in range(BRANDS)
        ),
    )


@measurement("configuration")
def measure_configurations() -> Iterable[Slope]:
    """Measure size, packing, reading, memory and putting into force."""
    configurations = [(share, configuration_of(share)) for share in SHARES]
    for name, unit, cost in (
        ("bytes: configuration as JSON", BYTES, _json_bytes),
        ("bytes: configuration deflated", BYTES, lambda cfg: len(deflate(cfg))),
        ("time: deflating a configuration", MS, _deflate_ms),
        ("time: inflating and checking a configuration", MS, _inflate_ms),
        ("bytes: change of a configuration", BYTES, _change_bytes),
        ("time: taking and noting a change", MS, _change_ms),
        ("time: index of a configuration", MS, _index_ms),
        ("time: publishing a configuration", MS, _publish_ms),
        ("time: putting a configuration in force, first", MS, _first_place_ms),
        ("time: putting a configuration in force, again", MS, _again_ms),
        ("time: placing cells after a change of the view", MS, _view_ms),
        ("memory: configuration with its index", BYTES, _memory_bytes),
        ("memory: peak while inflating a configuration", BYTES, _peak_bytes),
    ):
        yield _slope(name, unit, cost, configurations)


def _slope(
    name: str,
    unit: str,
    cost: Callable[[Configuration], float],
    configurations: list[tuple[float, Configuration]],
) -> Slope:
    points = [(share, cost(cfg)) for share, cfg in configurations]
    return fit(name, unit=unit, per=SHARE, points=points)


def _json_bytes(cfg: Configuration) -> float:
    return len(json.dumps(dump_configuration(cfg), separators=(",", ":")))


def _deflate_ms(cfg: Configuration) -> float:
    return seconds_of(lambda: deflate(cfg)) * MILLISECONDS


def _inflate_ms(cfg: Configuration) -> float:
    packed = deflate(cfg)
    return seconds_of(lambda: inflate(packed)) * MILLISECONDS


def _changed(cfg: Configuration) -> Configuration:
    """Return the next version, in which one organisation's limits are others."""
    first, *rest = cfg.organisations
    limits = replace(first.limits, concurrency=first.limits.concurrency + 1)
    organisations = (replace(first, limits=limits), *rest)
    return replace(cfg, version=cfg.version + 1, organisations=organisations)


def _change_bytes(cfg: Configuration) -> float:
    return len(pack([make_delta(cfg, _changed(cfg))]))


def _change_ms(cfg: Configuration) -> float:
    """Return the time to take a change, and to note it for others."""
    changed = _changed(cfg)
    packed = pack([make_delta(cfg, changed)])

    def take() -> None:
        DeltaLog().note(cfg, apply_deltas(cfg, unpack(packed)))

    return seconds_of(take) * MILLISECONDS


def _index_ms(cfg: Configuration) -> float:
    return seconds_of(lambda: Catalogue(cfg=cfg)) * MILLISECONDS


def _publish_ms(cfg: Configuration) -> float:
    """Return an operator's time for a change of what is published already."""
    tables = MemoryTables()
    current = publish(tables, base=0, cfg=cfg)

    def change() -> None:
        nonlocal current
        changed = replace(current, attempt="")
        current = publish(tables, base=current.version, cfg=changed)

    return seconds_of(change) * MILLISECONDS


def _memory_bytes(cfg: Configuration) -> float:
    packed = deflate(cfg)

    def build() -> Catalogue:
        return Catalogue(cfg=inflate(packed))

    return heap_bytes(build)


def _peak_bytes(cfg: Configuration) -> float:
    packed = deflate(cfg)
    tracemalloc.start()
    try:
        inflate(packed)
        return float(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()


def _first_place_ms(cfg: Configuration) -> float:
    return _place_ms(cfg, lambda homes: None)


def _again_ms(cfg: Configuration) -> float:
    return _place_ms(cfg, lambda homes: homes.configure(cfg))


def _view_ms(cfg: Configuration) -> float:
    """Return the time of placing by a new view, with the homes carried over."""
    return _place_ms(cfg, lambda homes: homes.configure(cfg), fresh_view=False)


def _place_ms(
    cfg: Configuration,
    before: Callable[[CellHomes], None],
    *,
    fresh_view: bool = True,
) -> float:
    """Return the time that the calling thread needs to place all cells.

    The node is one that is home of no cell, or of few: the work is to find that out.
    """
    view = view_of(TARGET.nodes)
    homes = CellHomes(
        me=host_of(0),
        view=lambda: view,
        ask_peer=lambda host, query: InflightAnswer(),
        own_inflight=lambda cell: InflightAnswer(),
    )
    desk = SliceDesk()
    before(homes)
    began = time.thread_time()
    if fresh_view:
        homes.configure(cfg)
        desk.configure(cfg)
    else:
        homes.place()
    spent = time.thread_time() - began
    homes.stop()
    return spent * MILLISECONDS


def _organisation(number: int) -> Organisation:
    return Organisation(
        name=f"organisation-{number:04d}",
        brand=f"brand-{number % BRANDS}",
        weight=1.0 + number % 4,
        limits=Limits(requests_per_s=20.0, tokens_per_s=20_000.0, concurrency=200),
    )


def _credential(organisation: str, tier: str) -> Credential:
    digest = hashlib.sha256(f"{organisation} {tier}".encode()).hexdigest()
    return Credential(
        name=f"{organisation}-{tier}",
        sha256=digest,
        organisation=organisation,
        tier=tier,
    )


def _tier(rank: int) -> Tier:
    return Tier(
        name=f"tier-{rank}",
        rank=rank,
        first_token_ms=350,
        between_tokens_ms=55,
        deadline_ms=60_000,
    )


def _addressed(number: int, upstream: Upstream) -> Upstream:
    """Return the upstream with an address of its own at which nothing listens."""
    address = f"127.{9 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:9"
    zone = f"zone-{number % TARGET.zones}"
    return replace(upstream, address=address, zone=zone)
