"""Messages between gateways over UDP.

They are about placement, limits, crash reports, parts of prompts, rollouts, and where
streams began.
"""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.gateway.decisions.cell_queue import SlotReservation, UpdateKind
from baobabwing.gateway.decisions.quarantine import CrashReport
from baobabwing.gateway.decisions.rollouts import RolloutPhase
from baobabwing.gateway.decisions.stream_origins import OriginAnswer, StreamOrigin
from baobabwing.gateway.decisions.version_evidence import SeriesCounts

__all__ = [
    "CellKey",
    "CellLoad",
    "CrashReports",
    "CrashedRequestReport",
    "CrashedRequestReports",
    "Granted",
    "Message",
    "OrganisationUsage",
    "PartInquiry",
    "PartSurvival",
    "PartSurvivals",
    "PartTrialAnswer",
    "PartTrialRequest",
    "PartVerdicts",
    "Queued",
    "RateLimitNotice",
    "Refused",
    "RequestUpdate",
    "RequestUpdates",
    "ReservationReport",
    "ReservationReportAck",
    "RolloutEvidence",
    "RolloutReport",
    "SendPermitAnswer",
    "SendPermitRequest",
    "SlotRequest",
    "StreamQuery",
    "StreamQueryAnswer",
    "StreamRecord",
    "StreamRecords",
    "UpstreamRefused",
    "UsageReport",
    "UsageTotals",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class CellKey:
    """Identifies a cell.

    :param pool: CRC-32 of the pool's name.
    :param index: index of the cell in the pool's layout.
    """

    pool: int
    index: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CellLoad:
    """Load of a cell, sent with each answer of its home.

    :param queued: requests that wait for a slot.
    :param free: requests that could be placed at once.
    :param turnover_s: mean time between two slots that become free.
    """

    queued: int
    free: int
    turnover_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """A node's request for a slot. Times are seconds relative to its sending.

    :param node: random number that each process picks at its start.
    :param number: the node's number for the request; stays the same in retries.
    :param rank: urgency of its organisation, or else of its route; 0 goes first.
    :param route_rank: urgency of its route, between requests of equal rank.
    :param waited_s: time since the request arrived at its node.
    :param objective_s: time to its objective; negative once that is missed.
    :param deadline_s: time for which a slot is still useful.
    :param ends_s: time until the caller stops waiting for the whole answer.
    :param expected_out: expected output tokens.
    :param committed: whether work was already done for it, or it was refused before.
    :param has_run: whether an upstream may have run it.
    :param excluded: CRC-32 of each incarnation at which it must not be placed, the
        most important ones first; a datagram holds 255 of them.
    :param moves_from: CRC-32 of the engine at which it runs, if it is to move to a
        faster one; 0 otherwise.
    :param software: CRC-32 of the only version that may go on with its stream; 0 if any
        may run it.
    :param zone: CRC-32 of the availability zone of its node; 0 if unknown, or if the
        request is placed without regard to zones.
    :param expected_bytes: bytes that it and its answer will probably have; 0 without a
        zone.
    """

    node: int
    number: int
    cell: CellKey
    rank: int
    route_rank: int
    waited_s: float
    objective_s: float
    deadline_s: float
    ends_s: float
    prompt_tokens: int
    expected_out: int
    committed: bool = False
    has_run: bool = False
    excluded: tuple[int, ...] = ()
    moves_from: int = 0
    software: int = 0
    zone: int = 0
    expected_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """The home has queued a request."""

    number: int
    cell: CellKey
    state: CellLoad


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The home has reserved a slot for a request.

    :param upstream: CRC-32 of the engine's incarnation.
    :param predicted_s: predicted time to the first event.
    :param has_permit: whether the home counted it against the engine's rate limit.
    """

    number: int
    cell: CellKey
    upstream: int
    predicted_s: float
    state: CellLoad
    has_permit: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The home has no slot for a request, and expects none in time.

    :param retry_after_s: time until slots will probably be free again.
    """

    number: int
    cell: CellKey
    retry_after_s: float
    state: CellLoad


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestUpdate:
    """Status update of a request that has a slot.

    :param interval_s: mean time between its events, if it had several; for a first
        event the time from the grant to it.
    """

    number: int
    kind: UpdateKind
    interval_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestUpdates:
    """Status updates of a node's requests in one cell."""

    node: int
    cell: CellKey
    updates: tuple[RequestUpdate, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservationReport:
    """A node's slots and queued requests in one cell.

    :param reservations: the slots that its requests have.
    :param waiting: numbers of its requests that wait for a slot.
    :param complete: whether ``waiting`` lists all of them.
    """

    node: int
    cell: CellKey
    reservations: tuple[SlotReservation, ...]
    waiting: tuple[int, ...]
    complete: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservationReportAck:
    """The home's answer to a :class:`ReservationReport`.

    :param unknown: numbers of the requests that the report lists as waiting and the
        home has no record of.
    """

    cell: CellKey
    unknown: tuple[int, ...]
    state: CellLoad


@dataclass(frozen=True, kw_only=True, slots=True)
class OrganisationUsage:
    """Units used by an organisation; counters wrap around at 2**32.

    :param organisation: CRC-32 of the organisation's name.
    :param units: units admitted since the process started.
    :param overage: units since then that were admitted out of the tolerance.
    :param requested: units requested since then, admitted or not.
    :param recent: units admitted in the last window, on whatever grounds.
    """

    organisation: int
    units: int
    overage: int
    requested: int
    recent: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReport:
    """Units that a node has admitted since it started.

    :param number: sequence number of the node's reports.
    """

    node: int
    number: int
    used: tuple[OrganisationUsage, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageTotals:
    """Units that all nodes other than the receiver have admitted.

    :param home: random number that the sending process picked at its start.
    :param number: number of the :class:`UsageReport` that this answers.
    :param heard: nodes that report to the sender, itself included.
    """

    home: int
    number: int
    heard: int
    used: tuple[OrganisationUsage, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashReports:
    """Crash records of requests during which upstreams crashed."""

    findings: tuple[CrashReport, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashedRequestReport:
    """A request under which an upstream crashed as its answer began.

    :param digest: digest of the request.
    :param upstream: CRC-32 of the incarnation that crashed.
    :param certain: whether the upstream has certainly ended.
    :param ran_s: time from its send to the crash.
    :param age_s: time since the crash.
    :param parts: digests of the parts of its prompt that others may share.
    """

    digest: int
    upstream: int
    certain: bool
    ran_s: float
    age_s: float
    parts: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashedRequestReports:
    """Requests of a node under which upstreams crashed, for the collectors."""

    requests: tuple[CrashedRequestReport, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PartInquiry:
    """A collector's question whether upstreams have survived parts of prompts."""

    parts: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PartSurvival:
    """How long ago an answer began at an upstream that lived on.

    :param part: digest of a part of its prompt.
    """

    part: int
    age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PartSurvivals:
    """A node's answer to a :class:`PartInquiry`, without what it does not know."""

    survivals: tuple[PartSurvival, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PartVerdicts:
    """Parts of prompts that are held or released; the digests are those of parts."""

    verdicts: tuple[CrashReport, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PartTrialRequest:
    """A node's question whether it may try a request with a held part.

    :param number: the node's number for the question.
    """

    number: int
    part: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PartTrialAnswer:
    """The collector's answer to a :class:`PartTrialRequest`."""

    number: int
    granted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutEvidence:
    """Answers that a node has received since it got the order of a rollout.

    :param node: random number that each process picks at its start.
    :param pool: CRC-32 of the pool's name.
    :param order: number of the order.
    :param series: those that changed since the last message.
    """

    node: int
    pool: int
    order: int
    series: tuple[SeriesCounts, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutReport:
    """Phase of a rollout, from a node that decides.

    :param pool: CRC-32 of the pool's name.
    :param order: number of the order.
    :param age_s: time since the first node got the order.
    """

    pool: int
    order: int
    phase: RolloutPhase
    age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRefused:
    """A plain service has refused a request while there is a limit on refusals.

    :param pool: CRC-32 of the pool's name.
    :param upstream: CRC-32 of the service's incarnation.
    :param per_s: the limit on its refusals a second.
    """

    pool: int
    upstream: int
    per_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitNotice:
    """What an upstream states of the requests that it takes.

    :param pool: CRC-32 of the pool's name.
    :param upstream: CRC-32 of its incarnation.
    :param per_s: requests a second from all nodes; ``None`` if it has no limit.
    """

    pool: int
    upstream: int
    per_s: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPermitRequest:
    """A node's request to send one request to an upstream with a rate limit.

    :param number: the sender's number for it.
    :param pool: CRC-32 of the pool's name.
    :param upstream: CRC-32 of its incarnation.
    :param per_s: the limit that the sender knows.
    :param wait_s: time that the request can wait.
    """

    number: int
    pool: int
    upstream: int
    per_s: float
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPermitAnswer:
    """Answer to a :class:`SendPermitRequest`.

    :param seconds: if granted, the time after which the request may be sent; otherwise
        the time after which to ask again.
    """

    number: int
    granted: bool
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamRecord:
    """Where a stream began.

    :param stream: digest of the id of the request that brought its first event.
    :param left_s: time for which its caller may still take it up.
    """

    stream: int
    origin: StreamOrigin
    left_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamRecords:
    """Streams that began at a node, for the nodes that keep their records."""

    records: tuple[StreamRecord, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamQuery:
    """A node's question where a stream began.

    :param number: the sender's number for the question.
    :param pool: CRC-32 of the pool that the stream's route uses.
    :param stream: digest of the id of the request that brought its first event.
    """

    number: int
    pool: int
    stream: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamQueryAnswer:
    """Answer to a :class:`StreamQuery`.

    :param number: number of the question.
    """

    number: int
    answer: OriginAnswer


Message = (
    SlotRequest
    | Queued
    | Granted
    | Refused
    | RequestUpdates
    | ReservationReport
    | ReservationReportAck
    | UsageReport
    | UsageTotals
    | CrashReports
    | CrashedRequestReports
    | PartInquiry
    | PartSurvivals
    | PartVerdicts
    | PartTrialRequest
    | PartTrialAnswer
    | RolloutEvidence
    | RolloutReport
    | UpstreamRefused
    | RateLimitNotice
    | SendPermitRequest
    | SendPermitAnswer
    | StreamRecords
    | StreamQuery
    | StreamQueryAnswer
)
