"""Log events of a node as a whole."""

from baobabwing.reports.events import define

__all__ = [
    "CONFIGURATION_UNREADABLE",
    "ORDERS_NOT_FINISHED",
    "NODE_CUT_OFF",
    "NODE_DRAINED",
    "NODE_CUT_SHORT",
    "NODE_LEAVING",
    "NODE_READY",
    "NODE_START_FAILED",
    "NODE_STOPPED",
    "THREAD_FAILED",
]

NODE_READY = define(8001, "node_ready", "The node serves callers.")
NODE_LEAVING = define(
    8002,
    "node_leaving",
    "A graceful shutdown began; the node will stop taking new work.",
)
NODE_STOPPED = define(8003, "node_stopped", "The node has stopped.")
NODE_CUT_OFF = define(
    8004,
    "node_cut_off",
    "Nothing was received from peers or the platform for too long; the node "
    "refuses new work until it receives from one of them.",
    level="warning",
)
NODE_CUT_SHORT = define(
    8006,
    "node_cut_short",
    "A graceful shutdown reached its deadline or a second signal with answers "
    "open; their connections were closed, and callers with keys continue at other "
    "hosts.",
    level="warning",
)
NODE_DRAINED = define(
    8008,
    "node_drained",
    "The configuration lists this host as leaving; it stops gracefully.",
)
ORDERS_NOT_FINISHED = define(
    8009,
    "orders_not_finished",
    "Open moves could not be continued now; they stay in the store and are retried.",
    level="warning",
)
THREAD_FAILED = define(
    8010,
    "thread_failed",
    "An internal error ended one of the node's threads. Report it, and restart the "
    "node: the work of that thread is no longer done.",
    level="error",
)
CONFIGURATION_UNREADABLE = define(
    8005,
    "configuration_unreadable",
    "A configuration document from the store or a peer could not be read.",
    level="error",
)
NODE_START_FAILED = define(
    8011,
    "node_start_failed",
    "The node could not start and its process ended; see the error, such as a "
    "lack of threads or an address in use.",
    level="error",
)
