"""Log events of the gateway."""

from baobabwing.reports.events import define

__all__ = [
    "CONFIGURATION_TAKEN",
    "CONNECTION_FAULT",
    "GATEWAY_LEAVING",
    "GATEWAY_STARTED",
    "GATEWAY_STOPPED",
    "LIMIT_REACHED",
    "PEER_ASKED",
    "PEER_CHANGED",
    "SETTINGS_RELOADED",
    "REQUEST_ENDED",
    "REQUEST_REFUSED",
    "REQUEST_REPEATED",
    "REQUEST_SENT",
    "SOURCE_LOST",
    "SOURCE_REGAINED",
    "UPSTREAMS_CHANGED",
    "UPSTREAM_FAILED",
]

REQUEST_REFUSED = define(
    1101, "request_refused", "A request got a final answer of the gateway's own."
)
REQUEST_SENT = define(
    1102, "request_sent", "An upstream was chosen for a request, and why it."
)
REQUEST_REPEATED = define(
    1103,
    "request_repeated",
    "A request goes to another upstream, because it did not run or may run again.",
)
REQUEST_ENDED = define(1104, "request_ended", "How a request ended, and its times.")
LIMIT_REACHED = define(
    1106,
    "limit_reached",
    "An organisation has used its limit; its bucket as this node knows it.",
)
CONNECTION_FAULT = define(
    1105,
    "connection_fault",
    "A caller's connection was closed because of an error of this program.",
    level="error",
)
UPSTREAM_FAILED = define(
    2101, "upstream_failed", "A try at an upstream failed; see the step and the reason."
)
UPSTREAMS_CHANGED = define(
    2102, "upstreams_changed", "The list of upstreams changed; how many there are."
)
PEER_CHANGED = define(
    3101, "peer_changed", "Another node is heard, is no longer heard, or is leaving."
)
PEER_ASKED = define(
    3102,
    "peer_asked",
    "A document that the store did not give was taken from another node, or not.",
)
SETTINGS_RELOADED = define(
    4102, "settings_reloaded", "The settings file was read again; what changed."
)
CONFIGURATION_TAKEN = define(
    4101, "configuration_taken", "A configuration is in force at this node from now on."
)
SOURCE_LOST = define(
    5101,
    "source_lost",
    "The platform's store does not answer; what was last read stays in use.",
    level="warning",
)
SOURCE_REGAINED = define(
    5102, "source_regained", "The platform's store answers again; how long it did not."
)
GATEWAY_STARTED = define(8101, "gateway_started", "The gateway listens for callers.")
GATEWAY_LEAVING = define(
    8102, "gateway_leaving", "A graceful shutdown began; callers are sent elsewhere."
)
GATEWAY_STOPPED = define(
    8103, "gateway_stopped", "The gateway ended; requests that were still open."
)
