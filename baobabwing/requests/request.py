"""One request at the node that owns it, with states that only go forward."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from enum import IntEnum

from baobabwing.exceptions import BaobabwingError
from baobabwing.requests.outcome import Outcome

__all__ = [
    "Placement",
    "Request",
    "RequestFacts",
    "RequestState",
    "StateError",
    "StoredAnswer",
]

_STEP = "request"


class StateError(BaobabwingError):
    """A request was asked to go back, to run twice or to end twice."""


class RequestState(IntEnum):
    """How far a request has come."""

    RECEIVED = 0
    PERMITTED = 1
    DISPATCHED = 2
    CLOSED = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFacts:
    """What is known of a request when it arrives, and never changes.

    :param deadline: seconds of this node's monotonic clock.
    :param key: idempotency key, or an empty string.
    """

    request_id: str
    key: str
    brand: str
    organisation: str
    tier: str
    tier_rank: int
    pool: str
    prompt_tokens: int
    output_tokens: int
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """Where a request was sent.

    :param attempt_id: id under which the upstream knows the request.
    """

    upstream: str
    address: str
    attempt_id: str
    cell: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """A whole answer, kept for second tries with the same key."""

    status: int
    content_type: str
    body: bytes


class Request:
    """A request and its one dispatch.

    The rules: at most one attempt is ever dispatched, unless the upstream
    refused that attempt by a form that its protocol defines as not admitted;
    a dispatched request can not end as not run; a request ends once.

    Kept for as long as its key is valid, so that its size counts.

    :param facts: what arrived.
    """

    __slots__ = (
        "_changed",
        "_outcome",
        "_placement",
        "_refused_by",
        "_state",
        "_stored",
        "facts",
    )

    def __init__(self, *, facts: RequestFacts) -> None:
        self.facts = facts
        self._state = RequestState.RECEIVED
        self._placement: Placement | None = None
        self._refused_by: frozenset[str] = frozenset()
        self._outcome: Outcome | None = None
        self._stored: StoredAnswer | None = None
        self._changed = threading.Condition()

    @property
    def state(self) -> RequestState:
        """How far the request has come."""
        return self._state

    @property
    def outcome(self) -> Outcome | None:
        """The final outcome, or ``None`` while the request is open."""
        return self._outcome

    @property
    def placement(self) -> Placement | None:
        """Where the request was dispatched, or is about to be."""
        return self._placement

    @property
    def stored_answer(self) -> StoredAnswer | None:
        """The whole answer, when it was small enough to be kept."""
        return self._stored

    def permit(self, placement: Placement) -> None:
        """Note where the request may go.

        :raises StateError: if it was dispatched or has ended, or if this
            upstream refused it before.
        """
        with self._changed:
            self._require(self._state <= RequestState.PERMITTED, "permit")
            self._require(placement.upstream not in self._refused_by, "permit again")
            self._state = RequestState.PERMITTED
            self._placement = placement

    def dispatch(self) -> None:
        """Mark the request as dispatched, before its first byte is sent.

        :raises StateError: if it is not permitted, was dispatched before, or
            was given up in the meantime.
        """
        with self._changed:
            # A stop of this node may give the request up while its thread is
            # between the permit and the first byte; only one of the two wins,
            # so that "not run" is never told of a request that then runs.
            self._require(self._state == RequestState.PERMITTED, "dispatch")
            self._state = RequestState.DISPATCHED
            self._changed.notify_all()

    def not_admitted(self) -> None:
        """Take the dispatch back after an explicit refusal of the upstream.

        :raises StateError: if the request was not dispatched.
        """
        with self._changed:
            self._require(self._state == RequestState.DISPATCHED, "not_admitted")
            self._state = RequestState.RECEIVED
            self._refused_by |= {self._placement.upstream}
            self._placement = None

    def close(self, outcome: Outcome, *, stored: StoredAnswer | None = None) -> None:
        """End the request.

        :param stored: the whole answer, for second tries with the same key.
        :raises StateError: if it has ended, or if it was dispatched and is said
            not to have run.
        """
        with self._changed:
            self._require(self._state != RequestState.CLOSED, "close")
            dispatched = self._state == RequestState.DISPATCHED
            self._require(
                dispatched or outcome is Outcome.NOT_RUN, f"close as {outcome}"
            )
            self._require(
                not (dispatched and outcome is Outcome.NOT_RUN), "close as not run"
            )
            self._state = RequestState.CLOSED
            self._outcome = outcome
            self._stored = stored
            self._changed.notify_all()

    def give_up(self) -> bool:
        """End the request as not run unless it was dispatched.

        :returns: whether it is certain that the request did not and will not run.
        """
        with self._changed:
            if self._state == RequestState.CLOSED:
                return self._outcome is Outcome.NOT_RUN
            if self._state == RequestState.DISPATCHED:
                return False
            self._state = RequestState.CLOSED
            self._outcome = Outcome.NOT_RUN
            self._changed.notify_all()
            return True

    def wait_settled(self, timeout_s: float) -> bool:
        """Wait until the request is dispatched or closed.

        :returns: false if neither happened in time.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._state >= RequestState.DISPATCHED, timeout_s
            )

    def wait_closed(self, timeout_s: float) -> bool:
        """Wait until the request has ended; false if it did not in time."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._state == RequestState.CLOSED, timeout_s
            )

    def _require(self, allowed: bool, action: str) -> None:
        if not allowed:
            raise StateError(f"{action} in state {self._state.name}", step=_STEP)
