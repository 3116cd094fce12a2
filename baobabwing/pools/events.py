"""Numbered log events of pools."""

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
    "An upstream is much slower than its peers, stuck or failing, and gets no new "
    "work but probes. Look at the host; it comes back by itself when probes are "
    "in time again.",
    level="warning",
)
UPSTREAM_RESTORED = define(
    2002,
    "upstream_restored",
    "A probe of a relieved upstream was in time; its share grows back step by step.",
)
UPSTREAM_RESTARTED = define(
    2003,
    "upstream_restarted",
    "An upstream lost its cache, probably by a restart; its share grows back step "
    "by step.",
)
CELL_HELD = define(
    2004,
    "cell_held",
    "A new home admits cautiously until the live entries have reported what they "
    "have in flight.",
)
CELL_RELEASED = define(
    2005,
    "cell_released",
    "The new home of a cell knows what is in flight and admits as usual.",
)
