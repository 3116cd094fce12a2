"""Work that one node of the fleet does for all: open moves, engines put right.

The node is the home of a name, so that usually one does it. If two do, the
lease in the table service lets one act; nothing rests on the membership here.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from baobabwing.exceptions import BaobabwingError
from baobabwing.fleet.homes import home_of
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView
from baobabwing.node.events import DUTY_FAILED
from baobabwing.orders.desk import OrderDesk
from baobabwing.reports.events import log
from baobabwing.settings.configuration import Configuration

__all__ = ["OrderDuty"]

RESOURCE = "orders"
LEAST_INTERVAL_S = 5.0
# All engines are asked what they hold once in a round, so that rounds are
# spaced by the number of engines: this many are asked a second on average.
ENGINES_PER_S = 20.0


class OrderDuty:
    """Finishes moves that an operator's command left open.

    :param desk: carries out orders under the lease.
    :param view: returns the present view of the fleet.
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
        """Begin to look for open moves whenever this node is the home."""
        threading.Thread(target=self._run, name="orders", daemon=True).start()

    def stop(self) -> None:
        """Look no more."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s()):
            home = home_of(self._view(), RESOURCE)
            if home is not None and home.name == self._me.name:
                self._work()

    def _work(self) -> None:
        try:
            self._desk.work_once()
        except BaobabwingError as exc:
            # The store is down or another node took the lease; what is open
            # stays written down and is found by the next round.
            log(DUTY_FAILED, error=str(exc))

    def _interval_s(self) -> float:
        cfg = self._configuration()
        engines = len(cfg.upstreams) if cfg else 0
        return max(LEAST_INTERVAL_S, engines / ENGINES_PER_S)
