"""Polling of the load and the cache events that upstreams report.

Both are stale when they arrive, and cache events may have gaps. They only correct
the counters and the cache model that the home maintains itself.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import urllib3

from baobabwing.pools.catalogue import Upstream
from baobabwing.pools.permits import LoadReport

__all__ = ["CacheChange", "UpstreamPoller"]

LOAD_INTERVAL_S = 0.5
# Load reads per read of the cache events.
LOAD_READS_PER_CACHE_READ = 2
TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class CacheChange:
    """Changes of an engine's prefix cache.

    :param stored: digests of blocks that were added to the cache.
    :param evicted: digests of blocks that were removed from the cache.
    :param cleared: whether all earlier blocks were lost, for example by a restart.
    """

    upstream: str
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False


class UpstreamPoller:
    """Polls each upstream of this node's cells in a thread of its own.

    :param on_load: called with each load report.
    :param on_cache: called with each cache change.
    """

    def __init__(
        self,
        *,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheChange], None],
    ) -> None:
        self._on_load = on_load
        self._on_cache = on_cache
        self._watched: dict[str, tuple[tuple[str, bool], threading.Event]] = {}
        self._lock = threading.Lock()

    def watch(
        self, engines: Iterable[Upstream], services: Iterable[Upstream] = ()
    ) -> None:
        """Poll these upstreams, and stop polling all others.

        :param engines: polled for load and cache events.
        :param services: polled for load only. A plain service may treat a request
            for any other path as a call and execute it.
        """
        wanted = {engine.name: (engine.address, True) for engine in engines}
        wanted |= {service.name: (service.address, False) for service in services}
        with self._lock:
            for name, (watched, stop) in tuple(self._watched.items()):
                if wanted.get(name) != watched:
                    stop.set()
                    del self._watched[name]
            for name, (address, has_cache) in wanted.items():
                if name not in self._watched:
                    stop = self._start(name, address, has_cache)
                    self._watched[name] = ((address, has_cache), stop)

    def stop(self) -> None:
        """Stop polling all upstreams."""
        self.watch(())

    def _start(self, name: str, address: str, has_cache: bool) -> threading.Event:
        """Start to poll an upstream; return the event that ends it."""
        stop = threading.Event()
        threading.Thread(
            target=self._run,
            args=(name, address, has_cache, stop),
            name="watch",
            daemon=True,
        ).start()
        return stop

    def _run(
        self, name: str, address: str, has_cache: bool, stop: threading.Event
    ) -> None:
        host, _, port = address.rpartition(":")
        reader = _Reader(name=name, host=host, port=int(port))
        rounds = 0
        while not stop.wait(LOAD_INTERVAL_S):
            report = reader.read_load()
            if report is not None:
                self._on_load(report)
            rounds += 1
            if has_cache and rounds % LOAD_READS_PER_CACHE_READ == 0:
                change = reader.read_cache()
                if change is not None:
                    self._on_cache(change)
        reader.close()


class _Reader:
    """Reads the reports of one upstream over a persistent connection."""

    def __init__(self, *, name: str, host: str, port: int) -> None:
        self._name = name
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=1, timeout=TIMEOUT_S, retries=False
        )
        self._next_event = 0

    def close(self) -> None:
        self._pool.close()

    def read_load(self) -> LoadReport | None:
        """Read a load report.

        Return ``None`` if there is none or it is malformed; the home then relies on
        its own counters.
        """
        load = self._get("/load")
        try:
            return LoadReport(
                upstream=self._name,
                running=int(load["running"]),
                waiting=int(load.get("waiting", 0)),
                waiting_prefill_tokens=int(load.get("waiting_prefill_tokens", 0)),
                measured_at=time.monotonic() - float(load.get("lag_ms", 0)) / 1000,
            )
        except (KeyError, TypeError, ValueError):
            return None

    def read_cache(self) -> CacheChange | None:
        """Read the cache events since the last read; ``None`` if there are none."""
        answer = self._get(f"/cache-events?after={self._next_event}")
        try:
            next_event = int(answer["next"])
            # An engine that restarted numbers its events from 0 again, and its cache
            # is empty.
            restarted = next_event < self._next_event
            change = _merge_events(self._name, answer["events"], restarted)
        except (KeyError, TypeError, ValueError):
            return None
        self._next_event = 0 if restarted else next_event
        empty = not (change.stored or change.evicted or change.cleared)
        return None if empty else change

    def _get(self, target: str) -> Any:
        """Return the decoded JSON answer, or an empty object if the read fails."""
        try:
            answer = self._pool.request("GET", target)
            if answer.status != 200 or len(answer.data) > MAX_ANSWER_BYTES:
                return {}
            return json.loads(answer.data)
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return {}


def _merge_events(
    name: str, events: Iterable[dict[str, Any]], restarted: bool
) -> CacheChange:
    """Return the combined change of some events; the last one of a block counts."""
    cleared = restarted
    kinds: dict[int, str] = {}
    for event in events:
        if event["kind"] == "cleared":
            cleared = True
            kinds.clear()
        else:
            kinds[int(event["block"])] = event["kind"]
    return CacheChange(
        upstream=name,
        stored=tuple(block for block, kind in kinds.items() if kind == "stored"),
        evicted=tuple(block for block, kind in kinds.items() if kind == "evicted"),
        cleared=cleared,
    )
