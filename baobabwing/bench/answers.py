"""What a caller saw of one request, and how it is judged."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Answer", "Verdict"]


class Verdict(StrEnum):
    """How a request ended for its caller.

    ``whole`` is only the text; whether it was in time is judged apart.
    """

    WHOLE = "whole"
    SHED = "shed"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True)
class Answer:
    """One request as its caller saw it; times in seconds from the run's start.

    :param index: index of the arrival.
    :param key: the idempotency key that was sent.
    :param request_id: the id that the system gave it, if it said one.
    :param status: HTTP status; 0 if no head came.
    :param code: the system's word for a refusal, or what broke.
    :param tries: how often it was asked for, each time with the same key.
    :param sent_s: when the last try began.
    :param first_s: when the first token came; the end for an unstreamed answer.
    :param end_s: when the answer was over.
    :param gaps_ms: times between consecutive tokens of a stream.
    :param retry_after_s: when the system said to come back; 0 if it did not.
    """

    index: int
    verdict: Verdict
    key: str = ""
    request_id: str = ""
    address: str = ""
    status: int = 0
    code: str = ""
    tries: int = 0
    sent_s: float = 0.0
    first_s: float = 0.0
    end_s: float = 0.0
    gaps_ms: tuple[float, ...] = ()
    retry_after_s: float = 0.0
