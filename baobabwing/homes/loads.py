"""Reading of the load that upstreams report, which is old when it arrives."""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Callable, Iterable

from baobabwing.pools.catalogue import Upstream
from baobabwing.pools.permits import LoadReport

__all__ = ["LoadPoller"]

POLL_S = 0.5
TIMEOUT_S = 0.5


class LoadPoller:
    """Asks each upstream of this node's cells for its load.

    :param report: called with each report, from the upstream's own thread.
    """

    def __init__(self, *, report: Callable[[LoadReport], None]) -> None:
        self._report = report
        self._watched: dict[str, tuple[str, threading.Event]] = {}
        self._lock = threading.Lock()

    def watch(self, upstreams: Iterable[Upstream]) -> None:
        """Poll these upstreams, and no others any more."""
        wanted = {one.name: one.address for one in upstreams}
        with self._lock:
            for name, (address, stop) in tuple(self._watched.items()):
                if wanted.get(name) != address:
                    stop.set()
                    del self._watched[name]
            for name, address in wanted.items():
                if name not in self._watched:
                    self._watched[name] = (address, self._start(name, address))

    def stop(self) -> None:
        """Poll nothing any more."""
        self.watch(())

    def _start(self, name: str, address: str) -> threading.Event:
        stop = threading.Event()
        threading.Thread(
            target=self._poll, args=(name, address, stop), name="load", daemon=True
        ).start()
        return stop

    def _poll(self, name: str, address: str, stop: threading.Event) -> None:
        while not stop.wait(POLL_S):
            report = _read_load(name, address)
            if report is not None:
                self._report(report)


def _read_load(name: str, address: str) -> LoadReport | None:
    """Read one report; an upstream that gives none is judged by our own counts."""
    conn = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        conn.request("GET", "/load")
        load = json.loads(conn.getresponse().read(65536))
        return LoadReport(
            upstream=name,
            running=int(load["running"]),
            waiting=int(load.get("waiting", 0)),
            waiting_prefill_tokens=int(load.get("waiting_prefill_tokens", 0)),
            measured_at=time.monotonic() - float(load.get("lag_ms", 0)) / 1000,
        )
    except (OSError, http.client.HTTPException, ValueError, KeyError, TypeError):
        return None
    finally:
        conn.close()
