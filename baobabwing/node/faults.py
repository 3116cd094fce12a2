"""Logs uncaught errors that end a thread."""

from __future__ import annotations

import threading

from baobabwing.node.events import THREAD_FAILED
from baobabwing.reports.events import log
from baobabwing.reports.faults import describe_fault

__all__ = ["report_thread_faults"]


def report_thread_faults() -> None:
    """Log uncaught errors that end a thread as events, for the whole process.

    The interpreter's default is to print a traceback, which is not an event and
    whose error text may quote a caller's data.
    """
    threading.excepthook = _log_thread_error


def _log_thread_error(args: threading.ExceptHookArgs) -> None:
    if args.exc_type is SystemExit:
        return
    name = args.thread.name if args.thread else ""
    exc = args.exc_value
    error = args.exc_type.__name__ if exc is None else describe_fault(exc)
    log(THREAD_FAILED, thread=name, error=error)
