"""The final outcome of a request, as reported to its caller."""

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """Final outcome of a request.

    ``ANSWERED``: the complete answer was delivered. ``NOT_RUN``: no upstream has
    run or will run any of it. ``UNKNOWN``: an upstream may have run it.
    ``PARTIAL``: part of the answer was delivered and the rest is lost.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    PARTIAL = "partial"
