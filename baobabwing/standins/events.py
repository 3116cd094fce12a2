"""Log events of the stand-ins."""

from __future__ import annotations

from baobabwing.reports.events import define

__all__ = ["DIED", "FAULT_SET", "STARTED", "STOPPED", "WEIGHTS_FAILED"]

STARTED = define(
    7501, "standin_started", "A stand-in listens on `address`; no action.", level="info"
)
STOPPED = define(
    7502, "standin_stopped", "A stand-in stopped on a signal; no action.", level="info"
)
FAULT_SET = define(
    7503,
    "standin_fault_set",
    "A control call injected a fault; no action.",
    level="info",
)
DIED = define(
    7504, "standin_died", "A stand-in exits at once due to a fault.", level="warning"
)
WEIGHTS_FAILED = define(
    7505,
    "standin_weights_failed",
    "An engine failed to load weights and retries; check the weight store.",
    level="warning",
)
