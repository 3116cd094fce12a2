"""Messages between an entry and the home of a cell, as plain data."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "Ask",
    "Decision",
    "Done",
    "Grant",
    "Inflight",
    "LoadReport",
    "Outcome",
    "Placement",
    "Refusal",
    "RefusalCode",
]


class Outcome(StrEnum):
    """How the use of a permit ended, as the entry saw it."""

    ANSWERED = "answered"
    NOT_ADMITTED = "not_admitted"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNUSED = "unused"


class RefusalCode(StrEnum):
    """Why a request got no permit.

    ``OVERLOADED`` and ``QUEUE_TOO_LONG`` are due to load, so that another cell
    of the pool may still take the request. ``DEADLINE`` says that not even an
    idle cell would be in time. ``CLOSED`` and ``DUPLICATE`` guard the identity
    of requests: one that has ended, and one that another entry owns.
    """

    OVERLOADED = "overloaded"
    QUEUE_TOO_LONG = "queue_too_long"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no_upstream"
    CLOSED = "closed"
    DUPLICATE = "duplicate"


@dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """A request for a permit.

    :param request_id: unique over all entries.
    :param entry: ``name#incarnation`` of the node that owns the request.
    :param weight: weight of the organisation within its tier.
    :param tier_rank: 0 is the highest tier.
    :param deadline: when the whole answer is due, in monotonic seconds.
    :param prefix: chained digests of the prompt's blocks, first block first.
    :param key: the caller's key for the request, or an empty string.
    :param exclude: upstreams that refused this request before.
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

    :param attempt: counts the permits of one request, from 1.
    """

    request_id: str
    entry: str
    upstream: str
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The final word that a request gets no permit in this cell.

    :param retry_after_s: when the caller may come back, in seconds.
    :param hand_to: another cell that admits this tier, or an empty string.
    """

    request_id: str
    entry: str
    code: str
    retry_after_s: float
    hand_to: str = ""


Decision = Grant | Refusal


@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """The end of the use of a permit.

    :param outcome: a value of :class:`Outcome`.
    :param first_token_s: from dispatch, in seconds; 0 if there was none.
    :param tokens: output tokens received.
    :param duration_s: from dispatch to the last byte, in seconds.
    :param cached_tokens: prompt tokens that the engine took from its cache.
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
class Inflight:
    """A permit in use, as its entry reports it to a new home."""

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
    """Where the request of a key was last permitted to go."""

    upstream: str
    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """What an upstream said of its load.

    :param measured_at: when it was so, in the home's monotonic seconds.
    """

    upstream: str
    running: int
    waiting: int = 0
    waiting_prefill_tokens: int = 0
    measured_at: float
