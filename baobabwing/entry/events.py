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
    1001, "request_closed", "A request got its final outcome.", level="debug"
)
REQUEST_FAULT = define(
    1002,
    "request_fault",
    "A request met a fault of this program; the caller got a 500. Report it.",
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
    "A stream went on at its offset after its connection broke.",
)
STREAM_RESUME_FAILED = define(
    1005,
    "stream_resume_failed",
    "A broken stream could not be resumed; the caller was told so.",
    level="warning",
)
UPSTREAM_MISMATCH = define(
    1006,
    "upstream_mismatch",
    "An upstream gave the answer of another attempt; it was dropped.",
    level="error",
)
