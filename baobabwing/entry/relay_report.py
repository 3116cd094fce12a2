"""Progress report of a relay, and the errors of relays."""

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
    """Progress of a stream at its caller.

    :param next_id: number of the next event; also the number of tokens delivered.
    :param whole: whether the caller has the complete answer, its end included.
    :param sent_bytes: bytes of the body written to the caller.
    :param first_event_at: time of the first event by the relay's clock, or ``None``.
    :param last_event_at: time of the last event by the relay's clock, or ``None``.
    :param gap_max_s: longest time between two blocks of events.
    :param gaps_over: number of gaps longer than :data:`GAP_OBJECTIVE_S`.
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
        """Number of the last event that the caller has, or ``None``."""
        return self.next_id - 1 if self.next_id else None

    @property
    def gap_sum_s(self) -> float:
        """Sum of all gaps between events."""
        if self.first_event_at is None or self.last_event_at is None:
            return 0.0
        return self.last_event_at - self.first_event_at


class StreamError(UpstreamError):
    """A stream failed; ``report`` holds the progress at its caller."""

    report: RelayReport = RelayReport()


class StreamTruncatedError(StreamError):
    """The upstream's stream ended, failed or stalled before it was complete."""


class StreamMalformedError(StreamError):
    """The upstream's stream violates the stream format."""


class ForeignAnswerError(StreamError):
    """The answer belongs to another attempt; nothing of it was relayed."""


class CallerSlowError(BaobabwingError):
    """The caller did not receive a block of its answer in time."""

    report: RelayReport = RelayReport()
