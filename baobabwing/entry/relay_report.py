"""What a relay has given to its caller, and the ways in which it fails."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.exceptions import BaobabwingError, UpstreamError

__all__ = [
    "CallerSlowError",
    "ForeignAnswerError",
    "RelayReport",
    "StreamError",
    "StreamMalformedError",
    "StreamTruncatedError",
]

GAP_OBJECTIVE_S = 0.055


@dataclass(frozen=True, kw_only=True)
class RelayReport:
    """What the caller of a stream has got, and when.

    :param next_id: number of the event that is to follow; also the tokens given.
    :param whole: whether the caller has the whole answer, its end included.
    :param sent_bytes: bytes of the body written to the caller.
    :param first_event_at: by the clock of the relay; none before it.
    :param last_event_at: by the clock of the relay; none before the first.
    :param gap_max_s: longest time between two blocks of events.
    :param gaps_over: gaps longer than :data:`GAP_OBJECTIVE_S`.
    """

    next_id: int = 0
    whole: bool = False
    sent_bytes: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None
    gap_max_s: float = 0.0
    gaps_over: int = 0

    @property
    def last_event_id(self) -> int | None:
        """Number of the last event the caller has, for resuming after it."""
        return self.next_id - 1 if self.next_id else None

    @property
    def gap_sum_s(self) -> float:
        """Sum of all gaps between events."""
        if self.first_event_at is None or self.last_event_at is None:
            return 0.0
        return self.last_event_at - self.first_event_at


class StreamError(UpstreamError):
    """A stream failed; ``report`` says what the caller has got of it."""

    report: RelayReport = RelayReport()


class StreamTruncatedError(StreamError):
    """The upstream's stream ended, broke or stalled before its whole end."""


class StreamMalformedError(StreamError):
    """The upstream's stream is not what an engine may send."""


class ForeignAnswerError(StreamError):
    """The answer belongs to another attempt; nothing of it was relayed."""


class CallerSlowError(BaobabwingError):
    """The caller did not take a block of its answer in time."""

    report: RelayReport = RelayReport()
