"""Configuration of a gateway: routes, pools, organisations and upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "EngineSpec",
    "GatewayConfiguration",
    "OrganisationSpec",
    "PoolSpec",
    "QuotaUnit",
    "RolloutOrder",
    "Route",
    "RouteKind",
    "RouteTarget",
    "UpstreamEntry",
]


class RouteKind(StrEnum):
    """Whether a route's requests may be retried, and the form of their answers.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones at most once.
    ``STREAM`` requests are answered by a series of events.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class QuotaUnit(StrEnum):
    """Unit of an organisation's limit."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, kw_only=True)
class RouteTarget:
    """A pool that a route may use, and its share of the route's requests."""

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Route:
    """The requests of one host whose paths have one prefix.

    :param host: of the Host header, without a port.
    :param prefix: begins and ends with a slash.
    :param targets: pools that serve the requests.
    :param resumable: whether a stream may be resumed at another upstream.
    :param timeout_s: longest time to the end of an answer.
    :param objective_s: objective for the time to the whole answer, or to a stream's
        first event.
    :param gap_objective_s: objective for the gap between two events of a stream.
    :param patience_s: how long callers wait for a stream's first event.
    :param rank: urgency; 0 is the most urgent.
    :param attempts: maximum number of upstreams that may run one request.
    :param public: whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
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
        """Whether a request may be sent again after an upstream may have run it."""
        return self.kind is RouteKind.SAFE or self.resumable

    def uses(self, pool: str) -> bool:
        """Whether a pool is among the targets."""
        return any(target.pool == pool for target in self.targets)

    @property
    def streams(self) -> bool:
        """Whether the answer is a series of events."""
        return self.kind is RouteKind.STREAM


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """Properties of a pool's engines, as configured by the operator.

    :param slots: requests that one engine runs at a time.
    :param kv_tokens: capacity of an engine's key-value cache, in tokens.
    :param tokens_per_event: generated tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int = 1


@dataclass(frozen=True, kw_only=True)
class PoolSpec:
    """A set of upstreams that serve the same requests.

    :param max_connections: connections that one upstream accepts from all nodes
        together.
    :param engine: properties of the upstreams if they are model engines.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineSpec | None = None


@dataclass(frozen=True, kw_only=True)
class OrganisationSpec:
    """An organisation, its keys and its limit over all nodes.

    :param rank: urgency that overrides the one of the route; ``None`` if not set.
    :param rate_per_s: refill rate of the limit, in ``unit``; 0 means no limit.
    :param burst: maximum number of units that may be used at once.
    :param plain_units: charge of a request without a number of tokens.
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
    """Bounds on the size and duration of callers' requests.

    :param head_bytes: maximum length of a request head.
    :param body_bytes: maximum length of a request body.
    :param head_timeout_s: from the first byte of a head to its last.
    :param idle_timeout_s: longest time between two requests of a connection.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True)
class GatewayConfiguration:
    """One version of the operator's configuration.

    :param keys_required: whether routes that are not public need a key.
    """

    version: int
    routes: tuple[Route, ...]
    pools: tuple[PoolSpec, ...]
    organisations: tuple[OrganisationSpec, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    keys_required: bool = False


@dataclass(frozen=True, kw_only=True)
class RolloutOrder:
    """An operator's order to move a pool's requests to another version.

    :param number: identifies the order; a later order of the pool has a higher one.
    :param version: version of the upstreams that are to take over.
    :param duration_s: time from the order to its deadline.
    """

    pool: str
    number: int
    version: str
    duration_s: float


@dataclass(frozen=True, kw_only=True)
class UpstreamEntry:
    """One incarnation of an upstream, as listed by the platform.

    :param instance: identifies the incarnation.
    :param name: of the upstream, the same for all its incarnations; ``instance`` by
        default.
    :param slots: requests that it runs at one time.
    :param draining: whether it accepts no new requests.
    :param started_ms: Unix time of its start; 0 where the platform does not list it.
    :param sequence: number of its own last write to the store; each incarnation counts
        from the beginning.
    :param version: of its software; empty where the platform does not list it.
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
    version: str = ""

    def __post_init__(self) -> None:
        """Use the instance as the name where none is given."""
        if not self.name:
            object.__setattr__(self, "name", self.instance)
