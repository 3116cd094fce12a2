"""Entry point of a stand-in process."""

from __future__ import annotations

import json
import os
import signal
import sys
import threading

from baobabwing.reports.events import configure_logging, log
from baobabwing.standins.application import StandinApplication
from baobabwing.standins.events import STARTED, STOPPED
from baobabwing.standins.server import StandinServer

__all__ = ["parse_address", "run"]


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    :raises ValueError: if there is no port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def run(*, application: StandinApplication, listen: str, threads: int) -> None:
    """Serve until SIGTERM or SIGINT, then exit with status 0.

    Prints one line of JSON with the key ``listening`` to standard output as soon as
    the server listens.

    :param listen: address to listen on, ``host:port``; port 0 selects a free port.
    :param threads: maximum number of requests answered concurrently.
    """
    configure_logging(level="warning")
    server = StandinServer(
        listen=parse_address(listen), application=application, threads=threads
    )
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    server.prepare()
    threading.Thread(target=server.serve, name="serve", daemon=True).start()
    print(json.dumps({"listening": server.address, "name": application.name}))
    sys.stdout.flush()
    log(STARTED, name=application.name, address=server.address)
    stopping.wait()
    log(STOPPED, name=application.name)
    # Exits without joining threads: those that answer streams would keep the
    # interpreter from ending.
    os._exit(0)
