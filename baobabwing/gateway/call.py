"""One request of a caller on its way, and the tries made for it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from baobabwing.gateway.answers import CallerAnswer
from baobabwing.gateway.decisions.cell_queue import NoteKind
from baobabwing.gateway.decisions.charges import Charge
from baobabwing.gateway.decisions.scheduling import Grant
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.digest import request_digest
from baobabwing.gateway.envelope import Envelope
from baobabwing.gateway.exchange import AnswerHead
from baobabwing.gateway.model import OrganisationSpec, Route
from baobabwing.gateway.sse import EventSplitter

__all__ = ["Call", "AttemptResult", "Attempt"]


class AttemptResult(Enum):
    """How a try at an upstream ended."""

    DONE = "done"
    UNSENT = "unsent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    ANSWERED_FAILURE = "answered_failure"
    MOVED = "moved"


@dataclass(kw_only=True)
class Attempt:
    """One send of a request.

    :param waited_s: from the request's arrival to this place.
    :param predicted_s: when the first event or the answer was expected.
    :param ended: how it ended, once it has.
    """

    upstream: str
    waited_s: float
    predicted_s: float
    ended: str = ""

    def summary(self) -> str:
        """Return the try in short, for the log."""
        return (
            f"{self.upstream} after {self.waited_s * 1000:.0f} ms,"
            f" predicted {self.predicted_s * 1000:.0f} ms: {self.ended or 'open'}"
        )


@dataclass(kw_only=True)
class Call:
    """One request of a caller on its way.

    :param charges: what it cost its organisation: when it was admitted, and with each
        further send.
    :param arrived: when its head was whole.
    :param asked_before_s: how long ago its caller asked first; 0 if this is the first.
    :param next_grant: the place that a stream moves to.
    :param move_requested: whether a place to move to has been asked for.
    :param output_began_at: when the present try had its first event.
    :param prior_events: events that tries before the present one had.
    :param release_kind: what the present try tells of its upstream.
    :param event_interval_s: mean time between the events of the present try.
    :param finished: whether it has ended.
    :param counted: whether its outcome is in the metrics already.
    :param ends_at: when nobody waits any more, or the route's timeout is over.
    """

    envelope: Envelope
    body: bytes
    route: Route
    organisation: OrganisationSpec | None
    pool: str
    charges: list[Charge]
    arrived: float
    ends_at: float
    asked_before_s: float
    answer: CallerAnswer
    excluded: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)
    first_event_at: float | None = None
    max_gap_s: float = 0.0
    failure: tuple[AnswerHead, bytes] | None = None
    attempts: list[Attempt] = field(default_factory=list)
    counted: bool = False
    next_grant: Grant | None = None
    move_requested: bool = False
    finished: bool = False
    output_began_at: float | None = None
    prior_events: int = 0
    release_kind: NoteKind = NoteKind.RELEASED
    event_interval_s: float | None = None
    move_checked_at: float = 0.0
    failed_track: UpstreamTrack | None = None

    @cached_property
    def digest(self) -> int:
        """Short form of what is asked for, the same when it comes again."""
        return request_digest(self.envelope, self.body)

    @property
    def rank(self) -> int:
        """Urgency: the organisation's goes before the route's."""
        if self.organisation is not None and self.organisation.rank is not None:
            return self.organisation.rank
        return self.route.rank

    @property
    def last_event(self) -> str:
        """Number of the last event that the caller has."""
        return self.splitter.last_id or self.envelope.last_event
