"""Typed messages between nodes, one data class for each struct of the schema."""

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
    """Base of everything that an envelope can carry."""


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
    """Return every message class by the name of its union member."""
    return dict(_TYPES)


def member_of(message: Message) -> str:
    """Return the union member that carries this message."""
    return _MEMBERS[type(message)]


@_message("hello")
@dataclass(frozen=True, kw_only=True)
class Hello(Message):
    """First message on a connection, in both directions.

    :param proof: keyed digest over both nonces, empty in the opening message.
    """

    name: str
    incarnation: int
    protocol: int
    nonce: bytes
    proof: bytes = b""


@_message("permitRequest")
@dataclass(frozen=True, kw_only=True)
class PermitRequest(Message):
    """An entry asks a cell's home for a place at an upstream.

    :param budget_ms: time left until the deadline, in milliseconds; a span and
        not a point in time, so that clocks need not agree.
    :param tried: cells that refused the request for load.
    :param moves: cells that handed the request on, refused or not.
    :param recent: how many of the cells tried, the last ones, refused it within
        the last tenth of a second.
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
    """The home's one answer to a :class:`PermitRequest`."""

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
    """An entry gives a permit back and tells what it saw."""

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
    """An entry no longer waits for a permit."""

    request_id: str
    cell: str


@_message("whereQuery")
@dataclass(frozen=True, kw_only=True)
class WhereQuery(Message):
    """Where was the request with this key dispatched?"""

    key: str
    pool: str


@_message("whereAnswer")
@dataclass(frozen=True, kw_only=True)
class WhereAnswer(Message):
    """What the home remembers of a key.

    :param sure: false while the home is still collecting what entries have.
    """

    known: bool
    upstream: str = ""
    request_id: str = ""
    sure: bool = False


@_message("placementNotice")
@dataclass(frozen=True, kw_only=True)
class PlacementNotice(Message):
    """Where a keyed request is about to go, told to the next home in line."""

    key: str
    upstream: str
    request_id: str


@_message("configurationQuery")
@dataclass(frozen=True, kw_only=True)
class ConfigurationQuery(Message):
    """Asks a peer for its configuration if it is at least this version.

    :param held: version that the asker has; 0 to be sent the whole document.
    """

    least: int
    held: int = 0


@_message("configurationAnswer")
@dataclass(frozen=True, kw_only=True)
class ConfigurationAnswer(Message):
    """A configuration, whole or as what changed; empty when the peer's is lower.

    :param document: the whole, deflated.
    :param deltas: what leads to it from the version that the asker has.
    """

    version: int
    document: bytes = b""
    deltas: bytes = b""


@_message("configurationNotice")
@dataclass(frozen=True, kw_only=True)
class ConfigurationNotice(Message):
    """Tells a peer that a version was accepted."""

    version: int


@_message("inflightQuery")
@dataclass(frozen=True, kw_only=True)
class InflightQuery(Message):
    """Asks an entry which requests of a cell it has at upstreams."""

    cell: str


@dataclass(frozen=True, kw_only=True)
class InflightItem:
    """One request that an entry has at an upstream."""

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
    """All requests of the cell that the entry has at upstreams."""

    items: tuple[InflightItem, ...] = ()


@_message("sliceQuery")
@dataclass(frozen=True, kw_only=True)
class SliceQuery(Message):
    """An entry's demand on an organisation's limits, per second."""

    organisation: str
    requests: float = 0.0
    tokens: float = 0.0
    open: int = 0


@_message("sliceAnswer")
@dataclass(frozen=True, kw_only=True)
class SliceAnswer(Message):
    """The share of the limits that the entry may use while it is valid."""

    requests_per_s: float
    tokens_per_s: float
    concurrency: int
    valid_ms: int


@_message("floorQuery")
@dataclass(frozen=True, kw_only=True)
class FloorQuery(Message):
    """Asks a home which tiers its cells of the pool still admit.

    :param valid_ms: how long the answer will be relied on, in milliseconds.
    """

    pool: str
    valid_ms: int = 0


@_message("floorAnswer")
@dataclass(frozen=True, kw_only=True)
class FloorAnswer(Message):
    """What a home's cells of a pool still admit, and how full they are.

    :param tier_rank: lowest tier that any of the cells admits.
    :param sure: false if no cell admits anything.
    :param numbers: of the cells, as in ``pool/number``.
    :param floors: of each cell the lowest tier it admits plus one; 0 if it
        admits none, 255 if it admits all.
    :param fills: of each cell the requests in flight and queued, in hundredths
        of its slots.
    """

    tier_rank: int
    sure: bool = True
    numbers: tuple[int, ...] = ()
    floors: tuple[int, ...] = ()
    fills: tuple[int, ...] = ()


@_message("failure")
@dataclass(frozen=True, kw_only=True)
class Failure(Message):
    """The peer could not answer a call."""

    text: str
