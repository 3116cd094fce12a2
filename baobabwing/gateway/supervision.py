"""Tasks that run for as long as a node does, and are restarted if they fail."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

from baobabwing.gateway.events import ERROR_UNHANDLED, TASK_FAILED
from baobabwing.reports.events import log

__all__ = ["log_unhandled", "start_tasks", "supervise"]

# Delay before a failed task is restarted, doubled up to the maximum while it keeps
# failing: changes have to be in force within 2 s, and a task that always fails must
# neither use up the processor nor the log.
_RESTART_S = 0.25
_MAX_RESTART_S = 4.0
# A task that ran for this long starts again with the first delay.
_STEADY_S = 10.0
# The text of an error may hold the whole value that caused it.
_MAX_ERROR_CHARS = 200

Run = Callable[[], Awaitable[None]]


def start_tasks(runs: Mapping[str, Run]) -> list[asyncio.Task[None]]:
    """Start a supervised task for each coroutine function, by its name in the log."""
    return [asyncio.ensure_future(supervise(name, run)) for name, run in runs.items()]


async def supervise(name: str, run: Run) -> None:
    """Call a coroutine function, again after each failure, until it returns.

    A task that nobody waits for would end without notice, and with it what it
    follows. A cancellation of this task ends it.

    :param name: of the task, for the log.
    """
    delay_s = _RESTART_S
    while True:
        began_at = time.monotonic()
        try:
            await run()
            return
        except asyncio.CancelledError as exc:
            if asyncio.current_task().cancelling():
                raise
            # Something that it awaited was cancelled.
            error: BaseException = exc
        except Exception as exc:
            error = exc
        if time.monotonic() - began_at >= _STEADY_S:
            delay_s = _RESTART_S
        log(TASK_FAILED, task=name, restart_in_s=delay_s, **_describe(error))
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, _MAX_RESTART_S)


def log_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error of a timer, or of a task that nobody waits for.

    To be set as the exception handler of an event loop.
    """
    exc = context.get("exception")
    log(
        ERROR_UNHANDLED,
        step=context.get("message", ""),
        **({} if exc is None else _describe(exc)),
    )


def _describe(exc: BaseException) -> dict[str, str]:
    """Return the log fields of an error: what it is, and where it arose."""
    frames = traceback.extract_tb(exc.__traceback__, limit=-1)
    at = [f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames]
    return {"error": f"{exc!r:.{_MAX_ERROR_CHARS}}", "at": "".join(at)}
