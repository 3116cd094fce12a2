"""Log events of the homes of cells."""

from baobabwing.reports.events import define

__all__ = ["HOME_REBUILT", "HOME_TAKEN", "PERMIT_RETRIED"]

HOME_TAKEN = define(
    2901, "home_taken", "This node became the home of a cell and asks for its permits."
)
HOME_REBUILT = define(
    2902, "home_rebuilt", "The home of a cell knows the permits in use again."
)
PERMIT_RETRIED = define(
    2903,
    "permit_retried",
    "The home of a cell did not answer; the permit is asked for again.",
)
