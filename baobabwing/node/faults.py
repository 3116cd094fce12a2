"""Reports errors that end a thread."""

from __future__ import annotations

import threading

from baobabwing.node.events import THREAD_FAILED
from baobabwing.reports.events import log
from baobabwing.reports.faults import describe_fault

__all__ = ["report_thread_faults"]


def report_thread_faults() -> None:
    """Have errors that end a thread logged as events, for the whole process.

    The interpreter would print a traceback with the error's text, which may
    quote a caller, in lines that are no events.
    """
    threading.excepthook = _report


def _report(args: threading.ExceptHookArgs) -> None:
    if args.exc_type is SystemExit:
        return
    name = args.thread.name if args.thread else ""
    exc = args.exc_value
    error = args.exc_type.__name__ if exc is None else describe_fault(exc)
    log(THREAD_FAILED, thread=name, error=error)
