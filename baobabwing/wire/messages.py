"""Typed messages between nodes, one data class per struct of the schema."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

__all__ = [
    "ConfigurationAnswer",
    "ConfigurationNotice",
    "ConfigurationQuery",
    "Failure",
    "FloorAnswer",
    "FloorQuery",
    "Hello",
    "InflightAnswer",
    "InflightItem",
    "InflightQuery",
    "Message",
    "PermitDecision",
    "PermitDone",
    "PermitRequest",
    "PermitWithdraw",
    "PlacementNotice",
    "SliceAnswer",
    "SliceQuery",
    "WhereAnswer",
    "WhereQuery",
    "member_of",
    "types_by_member",
]


class Message:
    """Base class of the messages that an envelope can carry."""


_TYPES: dict[str, type[Message]] = {}
_MEMBERS: dict[type[Message], str] = {}


def _message(member: str) -> Callable[[type], type]:
    """Register a class under the name of its member in the envelope's union."""

    def register(cls: type) -> type:
        _TYPES[member] = cls
        _MEMBERS[cls] = member
        return cls

    return register


def types_by_member() -> dict[str, type[Message]]:
    """Return all message classes by the name of their union member."""
    return dict(_TYPES)


def member_of(message: Message) -> str:
    """Return the name of the union member that carries this message."""
    return _MEMBERS[type(message)]


@_message("hello")
@dataclass(frozen=True, kw_only=True)
class Hello(Message):
    """First message on a connection, in both directions.

    :param protocol: version of the protocol.
    :param nonce: random bytes that the peer's proof must cover.
    :param proof: keyed digest over the peer's nonce and the own identity; empty in
        the opening message.
    """

    name: str
    incarnation: int
    protocol: int
    nonce: bytes
    proof: bytes = b""


@_message("permitRequest")
@dataclass(frozen=True, kw_only=True)
class PermitRequest(Message):
    """Request of an entry to a cell's home for a slot at an upstream.

    :param budget_ms: time left until the deadline in milliseconds; relative, so
        that the clocks of the two nodes need not agree.
    :param prefix: chained digests of the prompt's blocks.
    :param exclude: upstreams that have already refused this request.
    :param tried: cells that refused the request because of load.
    :param moves: number of cells that have forwarded the request, including those
        that did not refuse it.
    :param recent: how many cells at the end of ``tried`` refused the request
        within the last tenth of a second.
    """

    request_id: str
    cell: str
    organisation: str
    tier_rank: int
    budget_ms: int
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...] = ()
    key: str = ""
    exclude: tuple[str, ...] = ()
    weight: float = 1.0
    tried: tuple[str, ...] = ()
    moves: int = 0
    recent: int = 0


@_message("permitDecision")
@dataclass(frozen=True, kw_only=True)
class PermitDecision(Message):
    """Reply of a home to a :class:`PermitRequest`; sent once per request.

    :param code: reason for a refusal.
    :param hand_to: another cell that admits the request's tier, if refused.
    """

    request_id: str
    granted: bool
    upstream: str = ""
    attempt: int = 0
    code: str = ""
    retry_after_ms: int = 0
    hand_to: str = ""


@_message("permitDone")
@dataclass(frozen=True, kw_only=True)
class PermitDone(Message):
    """Release of a permit by an entry, with the measured result of the attempt.

    :param outcome: answered, not_admitted, failed, cancelled or unused.
    :param first_token_ms: time from dispatch to the first token; 0 if none arrived.
    """

    request_id: str
    cell: str
    upstream: str
    outcome: str
    first_token_ms: float = 0.0
    tokens: int = 0
    duration_ms: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0


@_message("permitWithdraw")
@dataclass(frozen=True, kw_only=True)
class PermitWithdraw(Message):
    """Notice that an entry no longer waits for a permit."""

    request_id: str
    cell: str


@_message("whereQuery")
@dataclass(frozen=True, kw_only=True)
class WhereQuery(Message):
    """Request for the upstream to which the request with this key was dispatched."""

    key: str
    pool: str


@_message("whereAnswer")
@dataclass(frozen=True, kw_only=True)
class WhereAnswer(Message):
    """Placement recorded by the home for a key.

    :param known: whether the home has a record of the key.
    :param sure: false while the home is still collecting in-flight requests from
        the entries.
    """

    known: bool
    upstream: str = ""
    request_id: str = ""
    sure: bool = False


@_message("placementNotice")
@dataclass(frozen=True, kw_only=True)
class PlacementNotice(Message):
    """Upstream chosen for a keyed request, sent to the next home in line."""

    key: str
    upstream: str
    request_id: str


@_message("configurationQuery")
@dataclass(frozen=True, kw_only=True)
class ConfigurationQuery(Message):
    """Request for a peer's configuration.

    :param least: lowest version that the requester accepts.
    :param held: version that the requester holds; 0 to receive the whole document.
    """

    least: int
    held: int = 0


@_message("configurationAnswer")
@dataclass(frozen=True, kw_only=True)
class ConfigurationAnswer(Message):
    """A configuration as document or as deltas; neither if the peer's is too old.

    :param document: the whole document, deflated.
    :param deltas: changes from the version that the requester holds.
    """

    version: int
    document: bytes = b""
    deltas: bytes = b""


@_message("configurationNotice")
@dataclass(frozen=True, kw_only=True)
class ConfigurationNotice(Message):
    """Notice to a peer that a configuration version was accepted."""

    version: int


@_message("inflightQuery")
@dataclass(frozen=True, kw_only=True)
class InflightQuery(Message):
    """Request for the in-flight requests of a cell that an entry has at upstreams."""

    cell: str


@dataclass(frozen=True, kw_only=True)
class InflightItem:
    """One in-flight request that an entry has at an upstream."""

    request_id: str
    upstream: str
    key: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    organisation: str = ""
    tier_rank: int = 0


@_message("inflightAnswer")
@dataclass(frozen=True, kw_only=True)
class InflightAnswer(Message):
    """All in-flight requests of the cell that the entry has at upstreams."""

    items: tuple[InflightItem, ...] = ()


@_message("sliceQuery")
@dataclass(frozen=True, kw_only=True)
class SliceQuery(Message):
    """Demand of an entry on an organisation's limits.

    :param requests: requests per second.
    :param tokens: tokens per second.
    :param open: number of open requests.
    """

    organisation: str
    requests: float = 0.0
    tokens: float = 0.0
    open: int = 0


@_message("sliceAnswer")
@dataclass(frozen=True, kw_only=True)
class SliceAnswer(Message):
    """Share of the limits that the entry may use for ``valid_ms`` milliseconds."""

    requests_per_s: float
    tokens_per_s: float
    concurrency: int
    valid_ms: int


@_message("floorQuery")
@dataclass(frozen=True, kw_only=True)
class FloorQuery(Message):
    """Request for the tiers that a home's cells of a pool still admit.

    :param valid_ms: time for which the answer will be used, in milliseconds.
    """

    pool: str
    valid_ms: int = 0


@_message("floorAnswer")
@dataclass(frozen=True, kw_only=True)
class FloorAnswer(Message):
    """Tiers that a home's cells of a pool still admit, and the load of the cells.

    :param tier_rank: lowest tier that any of the cells admits.
    :param sure: false if no cell admits anything.
    :param numbers: number of each cell, as in ``pool/number``.
    :param floors: per cell, the lowest tier it admits plus one; 0 if it admits
        none, 255 if it admits all.
    :param fills: per cell, its in-flight and queued requests in hundredths of its
        slots.
    """

    tier_rank: int
    sure: bool = True
    numbers: tuple[int, ...] = ()
    floors: tuple[int, ...] = ()
    fills: tuple[int, ...] = ()


@_message("failure")
@dataclass(frozen=True, kw_only=True)
class Failure(Message):
    """Reply to a call whose handling raised an error.

    :param text: name of the error's type.
    """

    text: str
