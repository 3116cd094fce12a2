"""Record of what a stand-in executed, against which tests check results."""

from __future__ import annotations

import json
import os
import threading
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

__all__ = ["Execution", "Record"]


@dataclass(kw_only=True)
class Execution:
    """One execution of a request by an engine or a service.

    :param attempt: request id sent by the caller.
    :param key: idempotency key, or empty if none was sent.
    :param state: ``waiting``, ``running``, ``finished``, ``cancelled``.
    :param started_at: time of admission, in seconds since 1970.
    :param finished_at: time of the end, in seconds since 1970; 0 before it.
    """

    attempt: str
    key: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    output_tokens: int = 0
    state: str = "waiting"
    started_at: float = 0.0
    finished_at: float = 0.0


class Record:
    """All executions of one stand-in, in order of admission.

    :param path: file to which the state of an execution is also appended, one JSON
        object per line, when it starts, when its prompt is prefilled and when it
        ends. The file outlives the process.
    """

    def __init__(self, *, path: Path | None = None) -> None:
        self._executions: list[Execution] = []
        self._lock = threading.Lock()
        self._file = None
        if path is not None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._file = os.open(path, flags, 0o644)

    def add(self, execution: Execution) -> None:
        """Add an execution at its start."""
        with self._lock:
            self._executions.append(execution)
        self.write(execution)

    def write(self, execution: Execution) -> None:
        """Append the current state of an execution to the file, if there is one."""
        if self._file is not None:
            # A single unbuffered write, so that a crash right after it loses nothing.
            os.write(self._file, json.dumps(asdict(execution)).encode() + b"\n")

    def executions(self, after: int = 0) -> list[dict[str, Any]]:
        """Return the executions from a position on."""
        with self._lock:
            return [asdict(execution) for execution in self._executions[after:]]
