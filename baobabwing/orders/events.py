"""Log events of leases and orders."""

from baobabwing.reports.events import define

__all__ = [
    "ENGINE_CORRECTED",
    "LEASE_LOST",
    "LEASE_TAKEN",
    "MOVE_FINISHED",
    "MOVE_LEFT_OPEN",
    "MOVE_UNDONE",
]

LEASE_TAKEN = define(4101, "lease_taken", "This process acquired a lease.")
LEASE_LOST = define(
    4102,
    "lease_lost",
    "Another process holds the lease, or it could not be renewed in time; this "
    "process stops giving orders and the next holder continues.",
    level="warning",
)
MOVE_FINISHED = define(4103, "move_finished", "All steps of a plan are complete.")
MOVE_UNDONE = define(
    4104,
    "move_undone",
    "A plan failed before its switch, and its steps were compensated.",
    level="warning",
)
MOVE_LEFT_OPEN = define(
    4105,
    "move_left_open",
    "A step could not be completed now; the next holder of the lease continues it.",
    level="warning",
)
ENGINE_CORRECTED = define(
    4106,
    "engine_corrected",
    "An engine did not hold the models of its pool and was ordered to hold them.",
    level="warning",
)
