"""The process of a node: its settings, signals, log and exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from baobabwing.exceptions import PortUnavailableError
from baobabwing.gateway.error_text import ErrorText
from baobabwing.gateway.events import GATEWAY_FAILED, SETTINGS_AWAITED
from baobabwing.gateway.gateway import Gateway
from baobabwing.gateway.last_resort import LastResort
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.gateway.supervision import log_unhandled
from baobabwing.reports.events import configure_outlet, log
from baobabwing.reports.outlet import LineOutlet

__all__ = ["START_WAIT_S", "Node", "read_at_start", "run_process", "valid_address"]

# How long a start waits for settings that are missing or incomplete, between two reads,
# and until it says so; a write takes less.
START_WAIT_S = 30.0
_START_READ_PAUSE_S = 0.05
_QUIET_S = 1.0
# A process that stood still for longer may have been told to stop only at the end of
# that, and still has the time for what it runs.
_MAX_SIGNAL_LATE_S = 1.0
_STDOUT = 1
_MAX_PORT = 65_535
_MAX_ERROR_CHARS = 500

_Settings = TypeVar("_Settings")


class Node(Protocol):
    """What a process runs."""

    gateway: Gateway

    async def run(self) -> None:
        """Serve until the gateway is told to leave."""

    def check_settings(self) -> None:
        """Read the settings again."""


def run_process(
    *, load: Callable[[], _Settings], create: Callable[[_Settings], Node]
) -> None:
    """Run one node, and end the process.

    :param load: reads the settings, as for :func:`read_at_start`.
    :param create: returns the node.
    """
    outlet = LineOutlet(fd=_STDOUT, bytes_per_s=GatewaySettings.log_bytes_per_s)
    outlet.start()
    configure_outlet(outlet)
    sys.stderr = ErrorText()
    status = _run(load, create, outlet)
    outlet.close()
    # The interpreter would wait for threads, and end at a signal meanwhile.
    os._exit(status)


def read_at_start(
    load: Callable[[], _Settings], *, wait_s: float = START_WAIT_S
) -> _Settings:
    """Read settings that may be written only after the process starts.

    :param load: reads them; raises an ``OSError``, ``KeyError`` or ``ValueError`` if
        they can't be read, lack a field or have an invalid one. The last of these
        errors is raised in the end.
    :param wait_s: how long they may be missing or incomplete.
    """
    began_at = time.monotonic()
    logged = ""
    while True:
        try:
            return load()
        except (OSError, KeyError, ValueError) as exc:
            waited_s = time.monotonic() - began_at
            if waited_s >= wait_s:
                raise
            if waited_s >= _QUIET_S and repr(exc) != logged:
                logged = repr(exc)
                left_s = round(wait_s - waited_s, 1)
                log(SETTINGS_AWAITED, error=logged, longest_s=left_s)
        time.sleep(_START_READ_PAUSE_S)


def valid_address(address: str) -> str:
    """Return a valid ``ip:port``, or the empty string.

    :raises ValueError: if it is neither.
    """
    port = address.rpartition(":")[2]
    if address and not 0 <= int(port) <= _MAX_PORT:
        raise ValueError(f"no port: {address:.60}")
    return address


def _run(
    load: Callable[[], _Settings],
    create: Callable[[_Settings], Node],
    outlet: LineOutlet,
) -> int:
    """Run one node until it is told to leave; return the status of its process."""
    try:
        settings = read_at_start(load)
    except (OSError, KeyError, ValueError) as exc:
        return _fail(os.EX_CONFIG, repr(exc))
    try:
        node = create(settings)
        cfg = node.gateway.settings
        outlet.identify(node=cfg.name, bytes_per_s=cfg.log_bytes_per_s)
        asyncio.run(_serve(node, outlet))
    except PortUnavailableError as exc:
        return _fail(os.EX_OSERR, str(exc))
    except Exception as exc:
        traceback.print_exc()
        sys.stderr.flush()
        return _fail(os.EX_SOFTWARE, repr(exc))
    return 0


async def _serve(node: Node, outlet: LineOutlet) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_unhandled)
    last_resort = LastResort(stop_s=lambda: node.gateway.settings.stop_s, outlet=outlet)
    last_resort.start()

    def leave(*_: object) -> None:
        # A process without a processor gets its signals late.
        told_at = max(node.gateway.ran_at, time.monotonic() - _MAX_SIGNAL_LATE_S)
        last_resort.leave(told_at)
        _post(loop, node.gateway.leave, told_at)

    # The loop's own handlers are called late by a busy loop, and end with it; after
    # that a signal would kill a stopping node before it has closed its log.
    signal.signal(signal.SIGTERM, leave)
    signal.signal(signal.SIGINT, leave)
    signal.signal(signal.SIGHUP, lambda *_: _post(loop, node.check_settings))
    await node.run()


def _post(loop: asyncio.AbstractEventLoop, func: Callable, *args: Any) -> None:
    """Have an event loop call a function, unless it has ended."""
    if not loop.is_closed():
        loop.call_soon_threadsafe(func, *args)


def _fail(status: int, error: str) -> int:
    log(GATEWAY_FAILED, status=status, error=f"{error:.{_MAX_ERROR_CHARS}}")
    return status
