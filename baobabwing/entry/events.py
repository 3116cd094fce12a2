"""Log events of the entry: requests, dispatch and relay."""

from baobabwing.reports.events import define

__all__ = [
    "REQUEST_CLOSED",
    "REQUEST_FAULT",
    "STREAM_RESUMED",
    "STREAM_RESUME_FAILED",
    "UPSTREAM_MISMATCH",
    "UPSTREAM_REFUSED",
]

REQUEST_CLOSED = define(
    1001, "request_closed", "A request reached its final outcome.", level="debug"
)
REQUEST_FAULT = define(
    1002,
    "request_fault",
    "An internal error occurred while serving a request; the caller got a 500 if no "
    "answer had begun. Please report it.",
    level="error",
)
UPSTREAM_REFUSED = define(
    1003,
    "upstream_refused",
    "An upstream did not admit a request or could not be reached; the request "
    "may be retried elsewhere.",
)
STREAM_RESUMED = define(
    1004,
    "stream_resumed",
    "A stream was resumed at its offset after its connection broke.",
)
STREAM_RESUME_FAILED = define(
    1005,
    "stream_resume_failed",
    "A broken stream could not be resumed; an error was sent to the caller.",
    level="warning",
)
UPSTREAM_MISMATCH = define(
    1006,
    "upstream_mismatch",
    "An upstream sent the answer of another attempt; it was dropped.",
    level="error",
)
