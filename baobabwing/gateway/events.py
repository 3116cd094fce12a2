"""Log events of the gateway."""

from baobabwing.reports.events import define

__all__ = [
    "CALLER_LEFT",
    "CONFIGURATION_HELD",
    "CONFIGURATION_TAKEN",
    "CELL_DROPPED",
    "CELL_LOAD",
    "CELL_TAKEN",
    "CONNECTION_FAULT",
    "COUNTS_LATE",
    "DOCUMENT_TAKEN",
    "GATEWAY_LEAVING",
    "GATEWAY_STARTED",
    "GATEWAY_STOPPED",
    "HELD_UNWRITTEN",
    "HISTORY_LOST",
    "HOME_SILENT",
    "INCARNATION_RAISED",
    "LIMIT_CHANGED",
    "LIMIT_REACHED",
    "LINES_LEFT_OUT",
    "MESSAGE_DROPPED",
    "NODES_UNREAD",
    "PLACED_ALONE",
    "PROCESS_LATE",
    "REQUEST_CLEARED",
    "REQUEST_HELD",
    "ROW_UNREADABLE",
    "SETTINGS_RELOADED",
    "SHARE_CHANGED",
    "STORE_ANSWER_STALE",
    "STORE_ERA_UNREADABLE",
    "STORE_RESTORED",
    "SUMS_TAKEN_FROM",
    "REQUEST_ENDED",
    "REQUEST_FAILED",
    "REQUEST_REFUSED",
    "REQUEST_REPEATED",
    "REQUEST_SENT",
    "SOURCE_LOST",
    "SOURCE_PEER_LOST",
    "SOURCE_REGAINED",
    "UPSTREAMS_CHANGED",
    "UPSTREAMS_RESTORED",
    "UPSTREAM_CLOSED",
    "UPSTREAM_FAILED",
    "UPSTREAM_SAID_LEAVING",
    "UPSTREAM_START_REPLACED",
    "UPSTREAM_UNREADABLE",
]

REQUEST_REFUSED = define(
    1501, "request_refused", "A request got a final answer of the gateway's own."
)
REQUEST_SENT = define(
    1502,
    "request_sent",
    "An upstream was chosen for a request, and the figures that decided it.",
    routine=True,
)
REQUEST_REPEATED = define(
    1503,
    "request_repeated",
    "A request goes to another upstream, because it did not run or may run again.",
)
REQUEST_ENDED = define(
    1504,
    "request_ended",
    "A request was answered in time; its times.",
    routine=True,
)
REQUEST_FAILED = define(
    1507,
    "request_late_or_failed",
    "A request was answered late, with a failure, or not to its end; each of its "
    "tries, with the upstream and how the try ended.",
)
CALLER_LEFT = define(
    1508,
    "caller_left",
    "The caller closed its connection before its answer was whole; where the "
    "request was then.",
)
LINES_LEFT_OUT = define(
    8504,
    "lines_left_out",
    "Lines that were left out since the last such line, by number: the budget of "
    "bytes was used up, or nobody read them.",
    level="warning",
)
LIMIT_REACHED = define(
    1506,
    "limit_reached",
    "An organisation has used its limit; its bucket as this node knows it.",
)
CONNECTION_FAULT = define(
    1505,
    "connection_fault",
    "A caller's connection was closed because of an error of this program.",
    level="error",
)
UPSTREAM_FAILED = define(
    2501,
    "upstream_failed",
    "A try at an upstream failed; see the step and the reason, how long the request "
    "was there (`age_ms`), since when it had events (`begun_ms`) and how many. The "
    "`digest` is the same each time that the same request comes again.",
)
UPSTREAMS_CHANGED = define(
    2502, "upstreams_changed", "The list of upstreams changed; how many there are."
)
UPSTREAM_START_REPLACED = define(
    2503,
    "upstream_start_replaced",
    "An upstream has started again under its name; what was sent to its earlier start "
    "has ended there.",
)
UPSTREAM_UNREADABLE = define(
    2504,
    "upstream_unreadable",
    "The entry of an upstream can't be read, and names none; the others hold.",
    level="warning",
)
REQUEST_HELD = define(
    2505,
    "request_held",
    "Upstreams ended under a request each time that they began to run it; whenever it "
    "comes it is refused for a while. `times`: how often it has been held back, by the "
    "lines 2501 with its digest. If upstreams end no more, there is nothing to do.",
    level="warning",
)
REQUEST_CLEARED = define(
    2506,
    "request_cleared",
    "A request that had been held back was served, and is not suspected any more.",
)
UPSTREAM_SAID_LEAVING = define(
    2507,
    "upstream_said_leaving",
    "An answer said that its upstream is leaving, the first of its start here (`by` "
    "answer) or at another node (`by` peer); nothing new is sent there. Whether the "
    "list says so as well.",
)
UPSTREAM_CLOSED = define(
    2508,
    "upstream_closed",
    "An upstream turned a request away and wants nothing from this node for a while.",
)
UPSTREAMS_RESTORED = define(
    2509,
    "upstreams_restored",
    "The first list of upstreams after the store came back from an older copy. Those "
    "that it lacks stay in service for a moment (`kept`); those that had left and that "
    "it shows again get nothing until they have written anew (`doubted`).",
    level="warning",
)
SHARE_CHANGED = define(
    3501,
    "share_changed",
    "How many nodes add up their limits together, of all that may be running.",
)
SUMS_TAKEN_FROM = define(
    3510,
    "sums_taken_from",
    "The sums of limits are taken from another node from now on; how many nodes report "
    "to it, and whether the one before was silent.",
)
COUNTS_LATE = define(
    3511,
    "counts_late",
    "A node's counts of limits came for the first time, or after a silence. What it "
    "had admitted until then (`units`, over all organisations) was unknown here.",
)
DOCUMENT_TAKEN = define(
    3502, "document_taken", "A newer document was taken from another node."
)
SOURCE_PEER_LOST = define(
    3503,
    "source_peer_lost",
    "A node whose documents this one follows does not answer; another is chosen.",
)
HOME_SILENT = define(
    3504,
    "home_silent",
    "The home of a cell does not answer; requests that wait there ask the next one.",
)
CELL_TAKEN = define(
    3505, "cell_taken", "This node is asked for a cell's places from now on."
)
CELL_DROPPED = define(
    3506, "cell_dropped", "Nobody asks this node for a cell's places any more."
)
CELL_LOAD = define(
    3509,
    "cell_load",
    "What this node did in a second as the home of a cell: messages, the processor "
    "time they took, and the requests that wait and run.",
    routine=True,
)
MESSAGE_DROPPED = define(
    3507, "message_dropped", "A datagram that is none of a gateway's was dropped."
)
INCARNATION_RAISED = define(
    3508,
    "incarnation_raised",
    "The others hold an earlier run of this node for newer, since the time of day went "
    "back; it joins again with a higher number.",
    level="warning",
)
HELD_UNWRITTEN = define(
    5505,
    "held_unwritten",
    "Requests that are held back could not be written to the store, and are written "
    "later; until then nodes that start know of them by other nodes only.",
)
ROW_UNREADABLE = define(
    5506,
    "row_unreadable",
    "A row of the system's own table can't be read and is left out; another writer's.",
    level="warning",
)
NODES_UNREAD = define(
    5503,
    "nodes_unread",
    "The rows of the other nodes could not be read, or the own one not written.",
)
PLACED_ALONE = define(
    1509,
    "placed_alone",
    "No home of the cell answers; the request is placed by what this node knows.",
)
SETTINGS_RELOADED = define(
    4502, "settings_reloaded", "The settings file was read again; what changed."
)
CONFIGURATION_TAKEN = define(
    4501, "configuration_taken", "A configuration is in force at this node from now on."
)
SOURCE_LOST = define(
    5501,
    "source_lost",
    "The platform's store does not answer; what was last read stays in use.",
    level="warning",
)
SOURCE_REGAINED = define(
    5502, "source_regained", "The platform's store answers again; how long it did not."
)
HISTORY_LOST = define(
    5504,
    "history_lost",
    "The store has forgotten the changes since the version that this node has; the "
    "table is read as a whole.",
)
STORE_RESTORED = define(
    5507,
    "store_restored",
    "The store came back from an older copy, as the era in its answers or in a peer's "
    "documents says. All is read anew, and what this node wrote is written again.",
    level="warning",
)
STORE_ANSWER_STALE = define(
    5508,
    "store_answer_stale",
    "An answer from before the store came back from a copy arrived after it, and was "
    "dropped.",
)
STORE_ERA_UNREADABLE = define(
    5509,
    "store_era_unreadable",
    "An answer of the store does not say which era it is of, though others do, or not "
    "as a number. The call counts as unanswered.",
    level="error",
)
CONFIGURATION_HELD = define(
    4503,
    "configuration_held",
    "This node starts, and the store may have come back from a copy: other nodes are "
    "asked for a newer configuration before the store's is put in force.",
)
LIMIT_CHANGED = define(
    4504,
    "limit_changed",
    "An organisation's limit is another from now on; rate and burst before, and its "
    "bucket as this node knows it.",
)
GATEWAY_STARTED = define(8501, "gateway_started", "The gateway listens for callers.")
GATEWAY_LEAVING = define(
    8502, "gateway_leaving", "A graceful shutdown began; callers are sent elsewhere."
)
PROCESS_LATE = define(
    8505,
    "process_late",
    "The process ran its timers late; by how much at the worst, and the processor "
    "time that it used meanwhile. Little of it: it was kept from running.",
)
GATEWAY_STOPPED = define(
    8503, "gateway_stopped", "The gateway ended; requests that were still open."
)
