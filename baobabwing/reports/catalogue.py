"""The page that lists all numbered log events, generated from the code.

``python -m baobabwing.reports.catalogue`` writes it to standard output; it is
kept as ``docs/EVENTS.md``, and a test compares the two.
"""

from __future__ import annotations

import importlib
import pkgutil

import baobabwing
from baobabwing.reports.events import catalogue

__all__ = ["load_all_events", "render_catalogue"]

_HEAD = """\
# Log events

Logs are JSON lines. A gateway writes them to standard output, bounded in volume;
all other processes write them to standard error. Each line has the name of its
`event` and its stable `number`; programs should match on the number. `steady_s` is
the monotonic clock of the process. The thousands digit identifies the package: 1
entry and requests, 2 pools and homes, 3 fleet, 4 settings and orders, 5 platform,
6 connections between nodes, 7 bench and stand-ins, 8 node; numbers from 500 on in
each belong to the gateway. Routine lines, marked `*`, are dropped first when the
volume is bounded.

| number | event | level | meaning |
|---|---|---|---|
"""


def load_all_events() -> None:
    """Import every module named ``events``, so that all events are defined."""
    for module in pkgutil.walk_packages(baobabwing.__path__, "baobabwing."):
        if module.name.rpartition(".")[2] == "events":
            importlib.import_module(module.name)


def render_catalogue() -> str:
    """Return the page as Markdown."""
    load_all_events()
    rows = [
        f"| {event.number}{'*' if event.routine else ''} | `{event.name}` "
        f"| {event.level} | {event.meaning} |\n"
        for event in catalogue()
    ]
    return _HEAD + "".join(rows)


if __name__ == "__main__":
    print(render_catalogue(), end="")
