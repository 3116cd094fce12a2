"""Background task that finishes open moves and corrects engines for the fleet.

The home of a fixed resource name runs it, so that usually one node does. If two
nodes consider themselves the home, the lease in the table service lets only one
act; correctness does not depend on the membership.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from baobabwing.exceptions import BaobabwingError
from baobabwing.fleet.homes import home_of
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView
from baobabwing.node.events import ORDERS_NOT_FINISHED
from baobabwing.orders.desk import OrderDesk
from baobabwing.reports.events import log
from baobabwing.settings.configuration import Configuration

__all__ = ["OrderTask"]

ORDERS_RESOURCE = "orders"
MIN_INTERVAL_S = 5.0
# Each round reads the state of every engine once. The interval between rounds
# grows with the number of engines, so that this many are read a second on average.
ENGINE_READS_PER_S = 20.0


class OrderTask:
    """Finishes open moves and corrects engines while this node is the home.

    :param me: this node's host.
    :param desk: carries out orders under the lease.
    :param view: returns the current view of the fleet.
    :param configuration: returns the configuration in force.
    """

    def __init__(
        self,
        *,
        me: Host,
        desk: OrderDesk,
        view: Callable[[], FleetView],
        configuration: Callable[[], Configuration | None],
    ) -> None:
        self._me = me
        self._desk = desk
        self._view = view
        self._configuration = configuration
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread, which acts only while this node is the home."""
        threading.Thread(target=self._run, name="orders", daemon=True).start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s()):
            home = home_of(self._view(), ORDERS_RESOURCE)
            if home is not None and home.name == self._me.name:
                self._run_round()

    def _run_round(self) -> None:
        try:
            self._desk.run_once()
        except BaobabwingError as exc:
            # The store is unavailable or another node took the lease. Open moves
            # stay in the store, where the next round finds them.
            log(ORDERS_NOT_FINISHED, error=str(exc))

    def _interval_s(self) -> float:
        cfg = self._configuration()
        engines = len(cfg.upstreams) if cfg else 0
        return max(MIN_INTERVAL_S, engines / ENGINE_READS_PER_S)
