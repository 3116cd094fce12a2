"""Log events of settings and configuration."""

from baobabwing.reports.events import define

__all__ = ["CONFIGURATION_APPLIED", "CONFIGURATION_DIFFERS", "CONFIGURATION_REFUSED"]

CONFIGURATION_APPLIED = define(
    4001, "configuration_applied", "A higher configuration version is in force."
)
CONFIGURATION_REFUSED = define(
    4002,
    "configuration_refused",
    "A version lower than one that was heard of was offered and not applied.",
    level="debug",
)
CONFIGURATION_DIFFERS = define(
    4003,
    "configuration_differs",
    "Two documents carry the same version; the first stays in force. "
    "Somebody wrote the table around the product: publish anew.",
    level="error",
)
