"""Log events of the homes of cells."""

from baobabwing.reports.events import define

__all__ = ["HOME_REBUILT", "HOME_TAKEN", "PERMIT_RETRIED"]

HOME_TAKEN = define(
    2901,
    "home_taken",
    "This node became the home of a cell and queries the entries for permits in use.",
)
HOME_REBUILT = define(
    2902,
    "home_rebuilt",
    "The new home of a cell queried the entries (`entries`) and admits requests.",
)
PERMIT_RETRIED = define(
    2903,
    "permit_retried",
    "No decision from the home of a cell; the permit is requested again.",
)
