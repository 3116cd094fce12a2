"""Log events of pools."""

from __future__ import annotations

from baobabwing.reports.events import define

__all__ = [
    "CELL_HELD",
    "CELL_RELEASED",
    "UPSTREAM_RELIEVED",
    "UPSTREAM_RESTARTED",
    "UPSTREAM_RESTORED",
]

UPSTREAM_RELIEVED = define(
    2001,
    "upstream_relieved",
    "An upstream is much slower than its peers, stuck or failing (see `reason`), and "
    "gets only probe requests. Check its host; it returns to service by itself once "
    "a probe is fast enough.",
    level="warning",
)
UPSTREAM_RESTORED = define(
    2002,
    "upstream_restored",
    "A probe of an ejected upstream was fast enough; its limit grows back in steps.",
)
UPSTREAM_RESTARTED = define(
    2003,
    "upstream_restarted",
    "An upstream cleared its cache, probably in a restart; its limit grows back in "
    "steps.",
)
CELL_HELD = define(
    2004,
    "cell_held",
    "A new home uses a part of the cell's capacity until all live entries have "
    "reported their requests in flight, or for a limited time.",
)
CELL_RELEASED = define(
    2005,
    "cell_released",
    "The new home of a cell knows the requests in flight and uses its whole capacity.",
)
