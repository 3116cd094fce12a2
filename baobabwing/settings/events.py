"""Log events of the shared configuration."""

from baobabwing.reports.events import define

__all__ = ["CONFIGURATION_APPLIED", "CONFIGURATION_DIFFERS", "CONFIGURATION_REFUSED"]

CONFIGURATION_APPLIED = define(
    4001,
    "configuration_applied",
    "A configuration with a higher version is now in force.",
)
CONFIGURATION_REFUSED = define(
    4002,
    "configuration_refused",
    "A configuration with a lower version than the highest known was not applied.",
    level="debug",
)
CONFIGURATION_DIFFERS = define(
    4003,
    "configuration_differs",
    "Two different documents have the same version; the first stays in force. "
    "The table was written by other means than publishing: publish again.",
    level="error",
)
