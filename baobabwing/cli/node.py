"""The command ``node``: run one node until it is told to stop."""

from __future__ import annotations

import os
import signal
import threading
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from baobabwing.cli.config import exit_on_error
from baobabwing.node.events import NODE_START_FAILED
from baobabwing.reports.events import configure_logging, log
from baobabwing.settings.loader import load_settings

if TYPE_CHECKING:
    from baobabwing.node.node import Node

__all__ = ["node"]

EXIT_FAILED = 1


def node(
    settings: Annotated[
        Path, typer.Option(help="Settings of this node, JSON with comments.")
    ],
) -> None:
    """Run a node.

    SIGTERM or SIGINT leaves gracefully and ends with exit code 0; a second
    signal cuts that short.

    Example: baobabwing node --settings examples/tijera-unida.node.jsonc
    """
    # Imported here so that other commands start without importing the node.
    from baobabwing.node.faults import report_thread_faults
    from baobabwing.node.node import Node

    with exit_on_error():
        cfg = load_settings(settings)
        configure_logging(level=cfg.log_level, node=cfg.name)
        report_thread_faults()
        stop_requested = threading.Event()
        running = Node(settings=cfg, on_drain=stop_requested.set)

        def on_signal(number: int, frame: object) -> None:
            if stop_requested.is_set():
                running.hurry()
            stop_requested.set()

        signal.signal(signal.SIGTERM, on_signal)
        signal.signal(signal.SIGINT, on_signal)
        _start(running)
        stop_requested.wait()
        running.stop()


def _start(running: Node) -> None:
    """Start the node, or exit the process if that fails.

    A start that fails midway, for example because the host can create no more
    threads, leaves threads running that keep the process alive. Such a process would
    neither serve requests nor be replaced by the platform, which sees it running.
    """
    try:
        running.start()
    except Exception as exc:
        log(NODE_START_FAILED, error=type(exc).__name__)
        os._exit(EXIT_FAILED)
