"""A node that also tells its control bytes, for the bench.

Runs the command ``node`` with the same settings; ``GET /metrics`` then gives the
bytes that this node's own connections moved, and those of its datagrams.
"""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

from baobabwing.cli import node as command
from baobabwing.node import node as module
from baobabwing.wire.peers import PeerClients

__all__ = ["main"]

INTERVAL_S = 0.2


class MeasuredNode(module.Node):
    """A node whose gauge of control bytes is kept up to date.

    Each connection between two nodes is counted once, by the node that opened it, in
    both directions; a datagram by the node that sent it.
    """

    def start(self) -> None:
        """Start all parts and the count."""
        super().start()
        threading.Thread(target=self._count, name="count", daemon=True).start()

    def _count(self) -> None:
        peers: PeerClients = self.peers
        while True:
            datagrams = self.membership.counters.sent_bytes
            self.metrics.control_bytes.set(peers.control_bytes() + datagrams)
            time.sleep(INTERVAL_S)


def main(settings: Path) -> None:
    """Run a node until it is told to stop."""
    module.Node = MeasuredNode
    command.node(settings)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
