"""Messages between an entry and the home of a cell."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "Decision",
    "Grant",
    "InflightPermit",
    "LoadReport",
    "Outcome",
    "PermitEnd",
    "Placement",
    "PlacementRequest",
    "Refusal",
    "RefusalCode",
]


class Outcome(StrEnum):
    """How a permit ended, as reported by its entry."""

    ANSWERED = "answered"
    NOT_ADMITTED = "not_admitted"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNUSED = "unused"


class RefusalCode(StrEnum):
    """Why a placement request was refused.

    ``OVERLOADED`` and ``QUEUE_TOO_LONG`` are due to load, so another cell of the
    pool may still admit the request. ``DEADLINE``: not even an idle cell could
    meet the deadline. ``NO_UPSTREAM``: no upstream is active, or all are
    excluded. ``CLOSED``: the request has ended and may have run.
    ``DUPLICATE``: another entry owns the request.
    """

    OVERLOADED = "overloaded"
    QUEUE_TOO_LONG = "queue_too_long"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no_upstream"
    CLOSED = "closed"
    DUPLICATE = "duplicate"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """A placement request: an entry asks for a permit for one request.

    :param request_id: unique across all entries.
    :param entry: ``name#incarnation`` of the node that owns the request.
    :param weight: weight of the organisation within its tier.
    :param tier_rank: rank of the tier; 0 is the highest.
    :param deadline: when the whole answer is due, in monotonic seconds.
    :param prefix: chained digests of the prompt's blocks, first block first.
    :param key: the caller's key for the request, or an empty string.
    :param exclude: upstreams that have refused this request.
    """

    request_id: str
    entry: str
    pool: str
    organisation: str
    weight: float = 1.0
    tier_rank: int
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[int, ...] = ()
    key: str = ""
    exclude: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """A permit to dispatch one request to one upstream, once.

    :param attempt: number of this permit among those of the request, from 1.
    """

    request_id: str
    entry: str
    upstream: str
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The final decision that a request gets no permit in this cell.

    :param retry_after_s: when the caller may retry, in seconds from now.
    :param hand_to: another cell that admits this tier, or an empty string.
    """

    request_id: str
    entry: str
    code: str
    retry_after_s: float
    hand_to: str = ""


Decision = Grant | Refusal


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitEnd:
    """An entry's report that a permit has ended.

    :param outcome: a value of :class:`Outcome`.
    :param first_token_s: time from dispatch to the first token, in seconds; 0
        if there was none.
    :param tokens: number of output tokens received.
    :param duration_s: time from dispatch to the last byte, in seconds.
    :param cached_tokens: prompt tokens that the engine took from its cache; 0
        if unknown.
    """

    request_id: str
    upstream: str
    outcome: str
    first_token_s: float = 0.0
    tokens: int = 0
    duration_s: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class InflightPermit:
    """A permit in use that an entry reports to a new home."""

    request_id: str
    entry: str
    upstream: str
    key: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    organisation: str = ""
    tier_rank: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The upstream of the last permit for the request with a key."""

    upstream: str
    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """The load reported by an upstream.

    :param running: number of running requests.
    :param waiting: number of requests in the upstream's own queue.
    :param waiting_prefill_tokens: prompt tokens still to be prefilled.
    :param measured_at: time of the measurement, in monotonic seconds of the home.
    """

    upstream: str
    running: int
    waiting: int = 0
    waiting_prefill_tokens: int = 0
    measured_at: float
