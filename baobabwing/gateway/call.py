"""State of one request of a caller, and its attempts at upstreams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from baobabwing.gateway.answers import CallerAnswer
from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.decisions.charges import Charge
from baobabwing.gateway.decisions.scheduling import Grant
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.digest import part_digest, request_digest
from baobabwing.gateway.held_bytes import Holding
from baobabwing.gateway.model import OrganisationSpec, Route
from baobabwing.gateway.request_head import RequestHead
from baobabwing.gateway.sse import EventSplitter
from baobabwing.gateway.upstream_connections import (
    AnswerHead,
    Framing,
    UpstreamConnection,
)

__all__ = ["Attempt", "AttemptResult", "Call", "Replacement"]


class AttemptResult(Enum):
    """How an attempt at an upstream ended.

    ``DONE``: the answer was relayed; ``UNSENT``: no connection; ``NOT_RUN``: the
    upstream stated that it did not run the request; ``FAILED``: the answer was lost or
    late; ``ANSWERED_FAILURE``: a 5xx answer; ``MOVED``: the stream continues at another
    upstream.
    """

    DONE = "done"
    UNSENT = "unsent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    ANSWERED_FAILURE = "answered_failure"
    MOVED = "moved"


@dataclass(kw_only=True)
class Attempt:
    """One attempt at an upstream.

    :param software: version of the upstream's software; empty if it is not listed.
    :param zone: the upstream's availability zone; empty if it is not listed.
    :param waited_s: time from the request's arrival to the grant of the slot.
    :param predicted_s: predicted time to the first event or the answer.
    :param relay: node through which it was sent; empty if sent directly.
    :param ended: how the attempt ended; empty while it runs.
    """

    upstream: str
    waited_s: float
    predicted_s: float
    software: str = ""
    zone: str = ""
    relay: str = ""
    ended: str = ""

    def summary(self) -> str:
        """Return a one-line summary for the log."""
        software = f" ({self.software})" if self.software else ""
        through = f" through {self.relay}" if self.relay else ""
        return (
            f"{self.upstream}{software}{through} after {self.waited_s * 1000:.0f} ms,"
            f" predicted {self.predicted_s * 1000:.0f} ms: {self.ended or 'open'}"
        )


@dataclass(frozen=True, kw_only=True)
class Replacement:
    """Where a running request can go on at once, with a retry taken for it.

    :param grant: slot at another upstream.
    :param connection: open connection to that upstream.
    """

    grant: Grant
    connection: UpstreamConnection


@dataclass(kw_only=True)
class Call:
    """State of one request of a caller.

    All times (``*_at``, ``arrived``) are of the monotonic clock.

    :param charges: units charged to its organisation: at admission, and with each
        further send.
    :param arrived: when its head was complete.
    :param ends_at: the caller's deadline, or the end of the route's timeout.
    :param asked_before_s: how long ago the caller first sent it; 0 if this is the first
        time.
    :param excluded: instances of upstreams that are not to be tried again.
    :param full: those of them that refused it for load, and may be tried again later.
    :param sends: attempts, including those that no upstream received or ran.
    :param passed_on: attempts in which the request was sent, over an open connection.
    :param has_retry: whether a retry is set aside for its next send.
    :param runs: sends that an upstream may have run.
    :param first_event_at: when the caller's first event arrived.
    :param last_event_at: when the last event arrived that the caller has received.
    :param max_gap_s: longest gap between two events.
    :param failure: last 5xx answer of an upstream, head and body.
    :param holdings: bytes that are kept of its answers, by attempt.
    :param passed_through: whether a plain answer was passed on before it was whole, so
        that no other upstream can answer any more.
    :param expected_s: how long its answer was expected to take when it was sent, by a
        node that is stopping; ``None`` if it was not.
    :param counted: whether its outcome is in the metrics already.
    :param search: search for a replacement, beside the current attempt.
    :param replacement: where the call goes on after the current attempt.
    :param sent_at: when the current attempt was sent; ``None`` before.
    :param answer_bytes: bytes of the body that the current attempt has brought.
    :param framing: how the answer of the current attempt is framed; ``None`` before its
        head.
    :param output_began_at: when the current attempt had its first event.
    :param prior_events: events received in earlier attempts.
    :param release_kind: result of the current attempt, sent with the slot's release.
    :param event_interval_s: mean time between the events of the current attempt.
    :param unresponsive: whether its upstream was reported as unresponsive.
    :param end_reason: why it got no further attempt; empty while it may get one.
    :param software: CRC-32 of the version of upstreams that began its stream, which
        alone may go on with it; 0 before the first event.
    :param failed_track: upstream whose 5xx answer was recorded as its failure.
    :param tried_part: held part of its prompt that it tries, as the only request of all
        nodes; ``None`` if it has none.
    :param survived: whether an upstream has lived on after it began to answer.
    """

    request_head: RequestHead
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
    full: set[str] = field(default_factory=set)
    sends: int = 0
    passed_on: int = 0
    has_retry: bool = False
    runs: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)
    first_event_at: float | None = None
    last_event_at: float | None = None
    max_gap_s: float = 0.0
    failure: tuple[AnswerHead, bytes | bytearray] | None = None
    holdings: list[Holding] = field(default_factory=list)
    passed_through: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    expected_s: float | None = None
    counted: bool = False
    search: asyncio.Task[Replacement | None] | None = None
    replacement: Replacement | None = None
    sent_at: float | None = None
    answer_bytes: int = 0
    framing: Framing | None = None
    output_began_at: float | None = None
    prior_events: int = 0
    release_kind: UpdateKind = UpdateKind.RELEASED
    event_interval_s: float | None = None
    unresponsive: bool = False
    move_checked_at: float = 0.0
    end_reason: str = ""
    software: int = 0
    failed_track: UpstreamTrack | None = None
    tried_part: int | None = None
    survived: bool = False

    @cached_property
    def parts(self) -> tuple[int, ...]:
        """Digests of the parts of its prompt that other requests may share."""
        return tuple(part_digest(part.name) for part in self.request_head.shared_parts)

    @cached_property
    def digest(self) -> int:
        """Digest of the request, the same each time that it is sent."""
        return request_digest(self.request_head, self.body)

    @property
    def rank(self) -> int:
        """Rank of the organisation if it has one, else that of the route."""
        if self.organisation is not None and self.organisation.rank is not None:
            return self.organisation.rank
        return self.route.rank

    @property
    def stream_id(self) -> str:
        """Id of the caller's attempt that brought the first event of its stream.

        A request that begins a stream must not name another one as the first.
        """
        head = self.request_head
        return (head.last_event and head.resumes) or head.request_id

    @property
    def last_event(self) -> str:
        """Id of the last event that the caller has received."""
        return self.splitter.last_id or self.request_head.last_event
