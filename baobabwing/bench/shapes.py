"""Descriptions of the deployments that benchmark runs use."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from baobabwing.brands.catalogue import Brand, Credential, Organisation, Tier
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.settings.configuration import Configuration
from baobabwing.standins.engine.parameters import EngineParameters
from baobabwing.standins.service import ServiceParameters

__all__ = [
    "EngineSpec",
    "ServiceSpec",
    "Shape",
    "build_configuration",
    "get_shape",
    "pitchside",
    "shape",
    "shape_names",
    "tijera",
]

PREFILL_COST_PER_MILLION = 0.6


def _engine_parameters(
    step_ms: float, step_ms_per_sequence: float, prefill_tokens_per_s: float
) -> EngineParameters:
    return EngineParameters(
        step_ms=step_ms,
        step_ms_per_sequence=step_ms_per_sequence,
        prefill_tokens_per_s=prefill_tokens_per_s,
        max_batch=8,
        cache_tokens=20_480,
    )


_GENERATIONS = (
    ("g1", _engine_parameters(14.0, 1.2, 2_000.0)),
    ("g2", _engine_parameters(10.0, 0.8, 3_000.0)),
    ("g3", _engine_parameters(7.0, 0.5, 4_500.0)),
)


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """Description of a stand-in engine.

    :param engine: timing and size parameters.
    """

    name: str
    pool: str
    zone: str
    generation: str
    engine: EngineParameters


@dataclass(frozen=True, kw_only=True)
class ServiceSpec:
    """Description of a stand-in for a plain service.

    :param service: timing and concurrency parameters.
    """

    name: str
    pool: str
    zone: str
    service: ServiceParameters


@dataclass(frozen=True, kw_only=True)
class Shape:
    """Description of a complete deployment.

    :param zones: availability zones, to which nodes are assigned round-robin.
    :param nodes: number of node processes unless the run overrides it.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    nodes: int
    tiers: tuple[Tier, ...]
    brands: tuple[Brand, ...]
    organisations: tuple[Organisation, ...]
    pools: tuple[Pool, ...]
    engines: tuple[EngineSpec, ...]
    services: tuple[ServiceSpec, ...]

    def tier(self, name: str) -> Tier:
        """Return the tier with the given name."""
        return next(tier for tier in self.tiers if tier.name == name)

    def pool_of(self, target: str) -> str:
        """Return the name of the pool with the given name or model."""
        for pool in self.pools:
            if target == pool.name or target in pool.models:
                return pool.name
        raise KeyError(target)

    def credential_key(self, organisation: str, tier: str) -> str:
        """Return the credential that callers of an organisation send for a tier."""
        return f"bench-{self.name}-{organisation}-{tier}"


_SHAPES: dict[str, Callable[[], Shape]] = {}


def shape(name: str) -> Callable[[Callable[[], Shape]], Callable[[], Shape]]:
    """Decorate a function that builds a shape to add it to the registry."""

    def _register(build: Callable[[], Shape]) -> Callable[[], Shape]:
        _SHAPES[name] = build
        return build

    return _register


def get_shape(name: str) -> Shape:
    """Build the shape with the given name.

    :raises KeyError: if it does not exist.
    """
    return _SHAPES[name]()


def shape_names() -> tuple[str, ...]:
    """Return the names of all shapes."""
    return tuple(sorted(_SHAPES))


def build_configuration(
    shape: Shape, addresses: Mapping[str, str], *, policy: str, version: int = 1
) -> Configuration:
    """Build the configuration for the nodes of a shape.

    :param addresses: ``host:port`` of each engine and service by name.
    :param policy: scheduling policy of all pools.
    """
    pools = tuple(replace(pool, policy=policy) for pool in shape.pools)
    return Configuration(
        version=version,
        author="bench",
        summary=f"shape {shape.name} under policy {policy}",
        tiers=shape.tiers,
        brands=shape.brands,
        organisations=shape.organisations,
        credentials=_credentials(shape),
        pools=pools,
        upstreams=_upstreams(shape, addresses),
    )


@shape("tijera")
def tijera() -> Shape:
    """Build Tijera Unida: nine engines of three generations, three services.

    Steps are several times longer than on accelerators, so that one host can run the
    processes of a complete deployment; all ratios are preserved.
    """
    zones = ("a", "b", "c")
    tiers = (
        _tier("confirm", 0, first_token_ms=500, deadline_ms=2_000, objective=0.995),
        _tier("chat", 1, first_token_ms=1_000, deadline_ms=5_000),
        _tier("summary", 2, first_token_ms=3_000, deadline_ms=12_000, objective=0.97),
        _tier("rota", 3, first_token_ms=20_000, deadline_ms=30_000, objective=0.95),
    )
    organisations = (
        _organisation("pocitos", "tijera", 4.0),
        _organisation("cordon", "tijera", 3.0),
        _organisation("salto", "navaja", 2.0),
        _organisation("rivera", "navaja", 1.0),
        _organisation("melo", "peine", 1.0),
    )
    pools = (
        Pool(name="assistant", kind=PoolKind.ENGINE, models=("assistant-8b",)),
        Pool(name="booking", kind=PoolKind.SERVICE),
    )
    return Shape(
        name="tijera",
        region="uy",
        zones=zones,
        nodes=7,
        tiers=tiers,
        brands=tuple(_brand(name) for name in ("tijera", "navaja", "peine")),
        organisations=organisations,
        pools=pools,
        engines=_engines("assistant", zones, count=9),
        services=_services("booking", zones, service_ms=20.0),
    )


@shape("pitchside")
def pitchside() -> Shape:
    """Build Pitchside Fixtures: five engines of three generations, three services."""
    zones = ("a", "b", "c")
    tiers = (
        _tier("sideline", 0, first_token_ms=500, deadline_ms=3_000, objective=0.995),
        _tier("reslot", 1, first_token_ms=2_000, deadline_ms=10_000),
        _tier("draw", 2, first_token_ms=20_000, deadline_ms=40_000, objective=0.98),
        _tier("notes", 3, first_token_ms=20_000, deadline_ms=40_000, objective=0.9),
    )
    organisations = (
        _organisation("austin", "pitchside", 4.0),
        _organisation("dallas", "pitchside", 3.0),
        _organisation("houston", "pitchside", 2.0),
        _organisation("lubbock", "touchline", 1.0),
        _organisation("waco", "touchline", 1.0),
    )
    pools = (
        Pool(name="scheduler", kind=PoolKind.ENGINE, models=("scheduler-8b",)),
        Pool(name="fixtures", kind=PoolKind.SERVICE),
    )
    return Shape(
        name="pitchside",
        region="tx",
        zones=zones,
        nodes=6,
        tiers=tiers,
        brands=tuple(_brand(name) for name in ("pitchside", "touchline")),
        organisations=organisations,
        pools=pools,
        engines=_engines("scheduler", zones, count=5),
        services=_services("fixtures", zones, service_ms=15.0),
    )


def _tier(
    name: str,
    rank: int,
    *,
    first_token_ms: int,
    deadline_ms: int,
    objective: float = 0.99,
) -> Tier:
    return Tier(
        name=name,
        rank=rank,
        first_token_ms=first_token_ms,
        between_tokens_ms=100,
        deadline_ms=deadline_ms,
        objective=objective,
    )


def _brand(name: str) -> Brand:
    return Brand(name=name, prefill_cost_per_million=PREFILL_COST_PER_MILLION)


def _organisation(name: str, brand: str, weight: float) -> Organisation:
    return Organisation(name=name, brand=brand, weight=weight)


def _engines(
    pool: str, zones: tuple[str, ...], *, count: int
) -> tuple[EngineSpec, ...]:
    engines = []
    for index in range(count):
        # The offset varies by round, so that no zone has only one generation.
        zone = zones[(index + index // len(zones)) % len(zones)]
        generation, parameters = _GENERATIONS[index % len(_GENERATIONS)]
        engine = replace(parameters, fencing=index % 3 != 2, seed=index + 1)
        engines.append(
            EngineSpec(
                name=f"engine-{index + 1}",
                pool=pool,
                zone=zone,
                generation=generation,
                engine=engine,
            )
        )
    return tuple(engines)


def _services(
    pool: str, zones: tuple[str, ...], *, service_ms: float
) -> tuple[ServiceSpec, ...]:
    return tuple(
        ServiceSpec(
            name=f"service-{index + 1}",
            pool=pool,
            zone=zone,
            service=ServiceParameters(service_ms=service_ms),
        )
        for index, zone in enumerate(zones)
    )


def _credentials(shape: Shape) -> tuple[Credential, ...]:
    return tuple(
        Credential(
            name=f"{organisation.name}-{tier.name}",
            sha256=_sha256_hex(shape.credential_key(organisation.name, tier.name)),
            organisation=organisation.name,
            tier=tier.name,
        )
        for organisation in shape.organisations
        for tier in shape.tiers
    )


def _sha256_hex(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _upstreams(shape: Shape, addresses: Mapping[str, str]) -> tuple[Upstream, ...]:
    engines = [
        Upstream(
            name=spec.name,
            pool=spec.pool,
            address=addresses[spec.name],
            zone=spec.zone,
            generation=spec.generation,
            capacity=spec.engine.max_batch,
            prefill_tokens_per_s=spec.engine.prefill_tokens_per_s,
            step_ms=spec.engine.step_ms,
            checks_fencing=spec.engine.fencing,
        )
        for spec in shape.engines
    ]
    services = [
        Upstream(
            name=spec.name,
            pool=spec.pool,
            address=addresses[spec.name],
            zone=spec.zone,
            capacity=spec.service.concurrency,
        )
        for spec in shape.services
    ]
    return (*engines, *services)
