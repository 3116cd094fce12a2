"""The command ``node``: run one node until it is told to stop."""

from __future__ import annotations

import signal
import threading
from pathlib import Path
from typing import Annotated

import typer

from baobabwing.cli.config import exit_on_error
from baobabwing.reports.events import configure_logging
from baobabwing.settings.loader import load_settings

__all__ = ["node"]


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
    # Imported here, so that other commands start without the node's parts.
    from baobabwing.node.faults import report_thread_faults
    from baobabwing.node.node import Node

    with exit_on_error():
        cfg = load_settings(settings)
        configure_logging(level=cfg.log_level, node=cfg.name)
        report_thread_faults()
        asked = threading.Event()
        running = Node(settings=cfg, on_drain=asked.set)

        def on_signal(number: int, frame: object) -> None:
            if asked.is_set():
                running.hurry()
            asked.set()

        signal.signal(signal.SIGTERM, on_signal)
        signal.signal(signal.SIGINT, on_signal)
        running.start()
        asked.wait()
        running.stop()
