"""Log events of a node as a whole."""

from baobabwing.reports.events import define

__all__ = [
    "CONFIGURATION_UNREADABLE",
    "DUTY_FAILED",
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
    8002, "node_leaving", "A graceful shutdown began; no new work is taken soon."
)
NODE_STOPPED = define(8003, "node_stopped", "The node has ended its work.")
NODE_CUT_OFF = define(
    8004,
    "node_cut_off",
    "Neither peers nor the platform were heard for too long; the node refuses "
    "new work until it hears one of them.",
    level="warning",
)
NODE_CUT_SHORT = define(
    8006,
    "node_cut_short",
    "A graceful shutdown met its deadline or a second signal with answers open; "
    "their connections were cut, and callers with keys go on at other hosts.",
    level="warning",
)
NODE_DRAINED = define(
    8008,
    "node_drained",
    "The configuration names this host as leaving; it stops gracefully.",
)
DUTY_FAILED = define(
    8009,
    "orders_not_finished",
    "Open moves could not be carried on now; they stay written down and are "
    "tried again.",
    level="warning",
)
THREAD_FAILED = define(
    8010,
    "thread_failed",
    "An error of this program ended one of its threads. Report it, and restart the "
    "node: what the thread did is not done any more.",
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
