"""Numbered log events and the logger that writes them."""

from __future__ import annotations

import functools
import logging
import sys
from dataclasses import dataclass
from typing import Any

from baobabwing.reports.outlet import LineOutlet

__all__ = [
    "Event",
    "catalogue",
    "configure_logging",
    "configure_outlet",
    "define",
    "log",
]

_EVENTS: dict[int, Event] = {}
_OUTLETS: list[LineOutlet] = []


@dataclass(frozen=True, kw_only=True)
class Event:
    """One kind of log line.

    :param number: stable number; the thousands digit identifies the package.
    :param name: stable short name.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param meaning: what happened and what an operator should do about it.
    :param routine: whether lines of this kind are dropped first when the log volume
        is bounded.
    """

    number: int
    name: str
    level: str
    meaning: str
    routine: bool = False


def define(
    number: int,
    name: str,
    meaning: str,
    *,
    level: str = "info",
    routine: bool = False,
) -> Event:
    """Add an event to the catalogue.

    Thousands by package: 1 entry and requests, 2 pools and brands, 3 fleet,
    4 settings and orders, 5 platform, 6 wire, 7 bench and stand-ins, 8 node.

    :raises ValueError: if the number belongs to a different event.
    :returns: the event to pass to :func:`log`.
    """
    event = Event(
        number=number, name=name, level=level, meaning=meaning, routine=routine
    )
    if _EVENTS.setdefault(number, event) != event:
        raise ValueError(f"event number {number} is defined twice")
    return event


def catalogue() -> tuple[Event, ...]:
    """Return the events of all imported modules, sorted by number."""
    return tuple(_EVENTS[number] for number in sorted(_EVENTS))


def log(event: Event, **fields: object) -> None:
    """Write one event; fields must not contain secrets or text from callers."""
    if _OUTLETS:
        _OUTLETS[-1].offer(
            number=event.number,
            name=event.name,
            level=event.level,
            routine=event.routine,
            fields=fields,
        )
        return
    write = getattr(_logger(), event.level)
    write(event.name, number=event.number, **fields)


def configure_outlet(outlet: LineOutlet) -> None:
    """Send all further events to an outlet, which bounds them and never blocks."""
    _OUTLETS.append(outlet)


def configure_logging(*, level: str = "info", node: str = "") -> None:
    """Write events as JSON lines to standard error."""
    import structlog

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    if node:
        structlog.contextvars.bind_contextvars(node=node)


@functools.cache
def _logger() -> Any:
    """Return the structlog logger for a process without an outlet.

    structlog is imported lazily: the import takes 0.13 s of the 0.37 s of CPU time of
    a node's start, and 5 MB. A restarting node has callers waiting and logs through
    its outlet instead.
    """
    import structlog

    return structlog.get_logger("baobabwing")
