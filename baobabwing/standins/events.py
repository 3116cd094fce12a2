"""Log events of the stand-ins."""

from __future__ import annotations

from baobabwing.reports.events import define

__all__ = ["DIED", "FAULT_SET", "STARTED", "STOPPED", "WEIGHTS_FAILED"]

STARTED = define(
    7501, "standin_started", "A stand-in listens; no action.", level="info"
)
STOPPED = define(
    7502, "standin_stopped", "A stand-in was asked to end; no action.", level="info"
)
FAULT_SET = define(
    7503, "standin_fault_set", "A test or trial set a fault; no action.", level="info"
)
DIED = define(
    7504, "standin_died", "A stand-in ends at once, as a fault asked.", level="warning"
)
WEIGHTS_FAILED = define(
    7505,
    "standin_weights_failed",
    "An engine could not load weights and tries again; look at the weight store.",
    level="warning",
)
