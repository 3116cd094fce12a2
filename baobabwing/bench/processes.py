"""Management of child processes, which are always cleaned up."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

from baobabwing.exceptions import BaobabwingError

__all__ = ["ProcessError", "ProcessGroup", "Started", "wait_until"]

LOOPBACK = "127.0.0.1"
POLL_S = 0.02
STOP_TIMEOUT_S = 15.0
LOG_TAIL_BYTES = 2_000


class ProcessError(BaobabwingError):
    """A process did not start, answer or stop as expected."""


@dataclass(frozen=True, kw_only=True)
class Started:
    """Process started by a group.

    :param log: file with its standard output and standard error.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log: Path

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    def alive(self) -> bool:
        """Return whether the process exists, even if it is frozen."""
        return self.popen.poll() is None


class ProcessGroup:
    """Context manager that ends all processes it has started on exit.

    :param folder: directory for logs; a new temporary directory when omitted.
    """

    def __init__(self, *, folder: Path | None = None) -> None:
        self.folder = folder or Path(tempfile.mkdtemp(prefix="baobabwing-bench-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self._started: dict[str, Started] = {}

    def __enter__(self) -> ProcessGroup:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def start(self, name: str, arguments: Sequence[str]) -> Started:
        """Start ``python -m baobabwing`` with the given arguments.

        :raises ProcessError: if a process of that name is already running.
        """
        # In the binary, sys.executable is the program itself.
        module = [] if getattr(sys, "frozen", False) else ["-m", "baobabwing"]
        return self.start_python(name, [*module, *arguments])

    def start_python(self, name: str, arguments: Sequence[str]) -> Started:
        """Start this interpreter with the given arguments.

        :raises ProcessError: if a process of that name is already running.
        """
        if name in self._started and self._started[name].alive():
            raise ProcessError("already running", step="start", peer=name)
        log = self.folder / f"{name}.log"
        with log.open("ab") as log_file:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        started = Started(name=name, popen=popen, log=log)
        self._started[name] = started
        return started

    def get(self, name: str) -> Started:
        """Return the process of that name.

        :raises ProcessError: if none was started.
        """
        if name not in self._started:
            raise ProcessError("not started", step="look up", peer=name)
        return self._started[name]

    def names(self) -> tuple[str, ...]:
        """Return the names of all processes, including those that have ended."""
        return tuple(self._started)

    def kill(self, name: str) -> None:
        """Kill a process without cleanup, as if its host lost power."""
        started = self.get(name)
        started.popen.kill()
        started.popen.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process; its connections stay open but it does not respond."""
        self.get(name).popen.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen process."""
        self.get(name).popen.send_signal(signal.SIGCONT)

    def stop(self, name: str, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop a process gracefully and return its exit status.

        :raises ProcessError: if it did not end within ``timeout_s`` and was killed.
        """
        return self.stop_all([name], timeout_s=timeout_s)[name]

    def stop_all(
        self, names: Sequence[str], *, timeout_s: float = STOP_TIMEOUT_S
    ) -> dict[str, int]:
        """Stop several processes gracefully and concurrently.

        :returns: exit status by name.
        :raises ProcessError: if any did not end within ``timeout_s`` and was killed.
        """
        stopping = [self.get(name) for name in names]
        for started in stopping:
            _request_stop(started)
        deadline = time.monotonic() + timeout_s
        unstopped = [one.name for one in stopping if not _wait_or_kill(one, deadline)]
        if unstopped:
            raise ProcessError(
                f"no graceful stop within {timeout_s:g} s",
                step="stop",
                peer=", ".join(unstopped),
            )
        return {one.name: one.popen.returncode for one in stopping}

    def close(self) -> None:
        """Stop all running processes gracefully and kill those that do not end."""
        running = [one for one in self._started.values() if one.alive()]
        for started in running:
            _request_stop(started)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for started in running:
            _wait_or_kill(started, deadline)

    def wait_ready(
        self, name: str, probe: Callable[[], bool], *, timeout_s: float = 30.0
    ) -> None:
        """Wait until ``probe`` returns true or the process ends.

        :raises ProcessError: if the process ended or the timeout expired. The message
            contains the end of the log.
        """
        started = self.get(name)

        def _is_ready_or_ended() -> bool:
            return not started.alive() or probe()

        ready = wait_until(_is_ready_or_ended, timeout_s=timeout_s)
        if not ready or not started.alive():
            raise ProcessError(
                f"did not become ready; its log ends: {_log_tail(started.log)}",
                step="start",
                peer=name,
            )

    def cpu_seconds(self, name: str) -> float:
        """Return the user and system CPU time of a running process."""
        stat = Path(f"/proc/{self.get(name).pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


def wait_until(
    condition: Callable[[], bool], *, timeout_s: float, poll_s: float = POLL_S
) -> bool:
    """Wait until a condition holds and return whether it did within the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(poll_s)
    return condition()


def _request_stop(started: Started) -> None:
    if not started.alive():
        return
    # SIGTERM stays pending for as long as the process is frozen.
    started.popen.send_signal(signal.SIGCONT)
    started.popen.terminate()


def _wait_or_kill(started: Started, deadline: float) -> bool:
    """Wait until a point in time, then kill; return whether it ended by itself."""
    try:
        started.popen.wait(timeout=max(0.0, deadline - time.monotonic()))
    except subprocess.TimeoutExpired:
        started.popen.kill()
        started.popen.wait()
        return False
    return True


def _log_tail(log: Path) -> str:
    raw = log.read_bytes()[-LOG_TAIL_BYTES:]
    return raw.decode("utf-8", "replace").strip()
