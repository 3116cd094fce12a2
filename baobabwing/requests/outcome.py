"""The final outcome of a request, as its caller is told."""

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """What became of a request.

    ``ANSWERED``: the whole answer was given. ``NOT_RUN``: no upstream ran any
    of it, and none will. ``UNKNOWN``: an upstream may have run it. ``PARTIAL``:
    a part of the answer was given and the rest cannot be had.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    PARTIAL = "partial"
