"""Result of a request as its caller observed it, and its verdict."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Answer", "Verdict"]


class Verdict(StrEnum):
    """Outcome of a request from its caller's point of view.

    ``whole`` refers to the text only; the deadline is checked separately.
    """

    WHOLE = "whole"
    SHED = "shed"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True)
class Answer:
    """Answer to a request; times are in seconds from the start of the run.

    :param index: index of the arrival.
    :param key: the idempotency key that was sent.
    :param request_id: the id assigned by the system, empty if none was returned.
    :param status: HTTP status; 0 if no response head was received.
    :param code: error code of the system, or the failure of the connection.
    :param tries: number of attempts, all with the same key.
    :param sent_s: start of the last attempt.
    :param first_s: arrival of the first token, or the end if not streamed.
    :param end_s: end of the answer.
    :param gaps_ms: times between consecutive tokens of a stream.
    :param retry_after_s: value of the Retry-After header; 0 if there was none.
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
