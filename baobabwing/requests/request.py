"""State machine of one request at the node that owns it."""

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
    """An operation that the request's current state does not allow."""


class RequestState(IntEnum):
    """State of a request, in the order in which states are reached."""

    RECEIVED = 0
    PERMITTED = 1
    DISPATCHED = 2
    CLOSED = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFacts:
    """Immutable properties of a request, set on arrival.

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
    """The upstream that a request is permitted for or was sent to.

    :param attempt_id: request id that is sent to the upstream.
    """

    upstream: str
    address: str
    attempt_id: str
    cell: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """A complete answer, stored for retries with the same key."""

    status: int
    content_type: str
    body: bytes


class Request:
    """A request and its single dispatch.

    Invariants: at most one attempt is dispatched, unless the upstream refused
    that attempt with a response that its protocol defines as not admitted; a
    dispatched request cannot end as ``NOT_RUN``; a request ends once.

    Requests are kept in memory for as long as their keys are valid; ``__slots__``
    keeps them small.

    :param facts: properties of the request that do not change.
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
        """The current state."""
        return self._state

    @property
    def outcome(self) -> Outcome | None:
        """The final outcome, or ``None`` while the request is open."""
        return self._outcome

    @property
    def placement(self) -> Placement | None:
        """The upstream it is permitted for or was dispatched to, if any."""
        return self._placement

    @property
    def stored_answer(self) -> StoredAnswer | None:
        """The complete answer, or ``None`` if none was stored."""
        return self._stored

    def permit(self, placement: Placement) -> None:
        """Record the upstream that the request may be dispatched to.

        :raises StateError: if the request was dispatched or has ended, or if this
            upstream refused it before.
        """
        with self._changed:
            self._require(self._state <= RequestState.PERMITTED, "permit")
            self._require(placement.upstream not in self._refused_by, "permit again")
            self._state = RequestState.PERMITTED
            self._placement = placement

    def dispatch(self) -> None:
        """Mark the request as dispatched, before its first byte is sent.

        :raises StateError: if the request has no permit, was dispatched before, or
            was given up in the meantime.
        """
        with self._changed:
            # A node shutdown may give the request up while its thread is between
            # the permit and the first byte. Only one of the two succeeds, so that
            # a request reported as "not run" never runs afterwards.
            self._require(self._state == RequestState.PERMITTED, "dispatch")
            self._state = RequestState.DISPATCHED
            self._changed.notify_all()

    def revert_dispatch(self) -> None:
        """Revert the dispatch after an explicit refusal by the upstream.

        :raises StateError: if the request was not dispatched.
        """
        with self._changed:
            self._require(self._state == RequestState.DISPATCHED, "not_admitted")
            self._state = RequestState.RECEIVED
            self._refused_by |= {self._placement.upstream}
            self._placement = None

    def close(self, outcome: Outcome, *, stored: StoredAnswer | None = None) -> None:
        """End the request with its final outcome.

        :param stored: the complete answer, for retries with the same key.
        :raises StateError: if the request has ended, if it was dispatched and the
            outcome is ``NOT_RUN``, or if it was not and the outcome is another.
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
        """End the request as ``NOT_RUN`` unless it was dispatched.

        :returns: whether the request certainly did not and will not run.
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

        :returns: ``False`` if neither happened within ``timeout_s``.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._state >= RequestState.DISPATCHED, timeout_s
            )

    def wait_closed(self, timeout_s: float) -> bool:
        """Wait until the request has ended; return ``False`` on a timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._state == RequestState.CLOSED, timeout_s
            )

    def _require(self, allowed: bool, action: str) -> None:
        if not allowed:
            raise StateError(f"cannot {action} in state {self._state.name}", step=_STEP)
