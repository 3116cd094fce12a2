"""What a gateway is told: routes, pools, organisations and upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "EngineSpec",
    "GatewayConfiguration",
    "OrganisationSpec",
    "PoolSpec",
    "PoolWeight",
    "QuotaUnit",
    "Route",
    "RouteKind",
    "UpstreamEntry",
]


class RouteKind(StrEnum):
    """What may happen to a request of a route.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones once at most.
    ``STREAM`` requests are answered by a series of events.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class QuotaUnit(StrEnum):
    """What an organisation's limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, kw_only=True)
class PoolWeight:
    """A pool that a route may use, and its share of the route's requests."""

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Route:
    """Requests of one host below one path prefix.

    :param prefix: begins and ends with a slash.
    :param resumable: whether a stream may go on at another upstream.
    :param timeout_s: longest time that a caller is kept waiting.
    :param objective_s: time to the whole answer, or to a stream's first event.
    :param gap_objective_s: longest pause between a stream's events.
    :param patience_s: how long callers wait for a stream's first event.
    :param rank: urgency; 0 is the most urgent.
    :param attempts: most upstreams that may run one request.
    :param public: whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[PoolWeight, ...]
    resumable: bool = False
    timeout_s: float = 30.0
    objective_s: float = 1.0
    gap_objective_s: float = 0.5
    patience_s: float = 30.0
    rank: int = 0
    attempts: int = 1
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.SAFE or self.resumable

    @property
    def streams(self) -> bool:
        """Whether the answer is a series of events."""
        return self.kind is RouteKind.STREAM


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """What the operator states of the engines of a pool.

    :param slots: requests that one engine works on at a time.
    :param kv_tokens: tokens that fit an engine's memory.
    :param tokens_per_event: generated tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int = 1


@dataclass(frozen=True, kw_only=True)
class PoolSpec:
    """Upstreams that serve the same requests.

    :param max_connections: connections that one upstream accepts from all nodes.
    :param engine: given when the upstreams are model engines.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineSpec | None = None


@dataclass(frozen=True, kw_only=True)
class OrganisationSpec:
    """A customer, its keys and its limit over all nodes.

    :param rank: urgency that goes before that of the route; ``None`` if not set.
    :param rate_per_s: refill of the limit, in ``unit``; 0 means no limit.
    :param burst: most units that may be used at one moment.
    :param plain_units: charge of a request that states no tokens.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    rank: int | None = None
    unit: QuotaUnit = QuotaUnit.REQUESTS
    rate_per_s: float = 0.0
    burst: float = 0.0
    plain_units: float = 1.0


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take.

    :param head_bytes: longest request head.
    :param body_bytes: longest request body.
    :param head_timeout_s: from the first byte of a head to its last.
    :param idle_timeout_s: longest pause between two requests of a connection.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True)
class GatewayConfiguration:
    """Everything an operator configures, as one version.

    :param keys_required: whether routes that are not public need a key.
    """

    version: int
    routes: tuple[Route, ...]
    pools: tuple[PoolSpec, ...]
    organisations: tuple[OrganisationSpec, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    keys_required: bool = False


@dataclass(frozen=True, kw_only=True)
class UpstreamEntry:
    """One incarnation of an upstream, as the platform lists it.

    :param instance: differs for each start of an upstream.
    :param name: what the upstream calls itself, the same over its starts; the instance
        where it is not given.
    :param slots: requests it works on at one time.
    :param draining: whether it takes no new work.
    :param started_ms: Unix time of its start; 0 where the platform does not tell.
    :param sequence: rises with each of its own writes, from each start on.
    """

    instance: str
    pool: str
    address: str
    name: str = ""
    zone: str = ""
    slots: int = 1
    draining: bool = False
    started_ms: int = 0
    sequence: int = 0

    def __post_init__(self) -> None:
        """Name it by its instance where it has no other name."""
        if not self.name:
            object.__setattr__(self, "name", self.instance)
