"""What gateways tell each other by UDP: places of cells, limits, and findings."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.gateway.decisions.cell_queue import HeldPlace, NoteKind
from baobabwing.gateway.decisions.quarantine import Finding

__all__ = [
    "CellKey",
    "CellState",
    "Findings",
    "Granted",
    "Message",
    "Queued",
    "Refused",
    "RequestUpdate",
    "RequestUpdates",
    "ReservationReport",
    "ReservationReportAck",
    "SlotRequest",
    "Totals",
    "Used",
    "UsedReport",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class CellKey:
    """A cell.

    :param pool: crc of the pool's name.
    """

    pool: int
    index: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CellState:
    """How full a cell is, told along with each answer of its home.

    :param queued: requests that wait.
    :param free: requests that could start at once.
    :param turnover_s: mean time between two places that become free.
    """

    queued: int
    free: int
    turnover_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """A request that wants a place. Times are seconds from now.

    :param node: drawn by each process at its start.
    :param number: the node's own; the same when it asks again.
    :param committed: whether work was done for it already.
    :param excluded: crcs of incarnations that it must not go to.
    :param moves_from: crc of the engine where it runs, if it wants a faster one.
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
    excluded: tuple[int, ...] = ()
    moves_from: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """The home has taken a request into its queue."""

    number: int
    cell: CellKey
    state: CellState


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """A place for a request.

    :param upstream: crc of the engine's incarnation.
    """

    number: int
    cell: CellKey
    upstream: int
    predicted_s: float
    state: CellState


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """There is no place, or will be none while it is of use.

    :param retry_after_s: when there will probably be places again.
    """

    number: int
    cell: CellKey
    retry_after_s: float
    state: CellState


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestUpdate:
    """What became of a request.

    :param pace_s: mean time between its events, where it had several; of a first event
        the time from the place to it.
    """

    number: int
    kind: NoteKind
    interval_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestUpdates:
    """What became of a node's requests in one cell."""

    node: int
    cell: CellKey
    updates: tuple[RequestUpdate, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservationReport:
    """What a node has in one cell.

    :param whole: whether all requests that wait are named.
    """

    node: int
    cell: CellKey
    reservations: tuple[HeldPlace, ...]
    waiting: tuple[int, ...]
    complete: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservationReportAck:
    """The home's answer to :class:`Holdings`.

    :param unknown: requests that wait at the node and not at the home.
    """

    cell: CellKey
    unknown: tuple[int, ...]
    state: CellState


@dataclass(frozen=True, kw_only=True, slots=True)
class Used:
    """Units of an organisation; counts since a start wrap around at 2**32.

    :param organisation: crc of the name.
    :param excess: units out of the tolerance.
    :param asked: units that were asked for, admitted or not.
    :param recent: units of the last window, by whatever right.
    """

    organisation: int
    units: int
    excess: int
    asked: int
    recent: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class UsedReport:
    """What a node has admitted since it started.

    :param number: rises with each report of the node.
    """

    node: int
    number: int
    used: tuple[Used, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Totals:
    """What all nodes but the one that is told have admitted.

    :param home: drawn by the telling process at its start.
    :param heard: nodes that report to it, itself among them.
    """

    home: int
    number: int
    heard: int
    used: tuple[Used, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Findings:
    """What a node knows of requests under which upstreams ended."""

    findings: tuple[Finding, ...]


Message = (
    SlotRequest
    | Queued
    | Granted
    | Refused
    | RequestUpdates
    | ReservationReport
    | ReservationReportAck
    | UsedReport
    | Totals
    | Findings
)
