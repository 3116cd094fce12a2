"""What upstreams tell of themselves: their load and changes of their caches.

Both are old when they arrive, and events of caches have gaps. They only correct
what the home counts and remembers by itself.
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

__all__ = ["CacheChange", "UpstreamWatcher"]

LOAD_INTERVAL_S = 0.5
# Every how many reads of the load the cache events are read as well.
LOAD_READS_PER_CACHE_READ = 2
TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class CacheChange:
    """Changes of an engine's prefix cache.

    :param stored: digests of blocks that are now cached.
    :param evicted: digests of blocks that are not any more.
    :param cleared: whether everything before was lost, as by a restart.
    """

    upstream: str
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False


class UpstreamWatcher:
    """Asks each upstream of this node's cells, one thread for each.

    :param on_load: called with each report of a load.
    :param on_cache: called with each change of a cache.
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
        """Watch these upstreams, and no others any more.

        :param services: asked for their load only. A plain service may take any
            other path for a call and run it.
        """
        wanted = {one.name: (one.address, True) for one in engines}
        wanted |= {one.name: (one.address, False) for one in services}
        with self._lock:
            for name, (watched, stop) in tuple(self._watched.items()):
                if wanted.get(name) != watched:
                    stop.set()
                    del self._watched[name]
            for name, (address, caches) in wanted.items():
                if name not in self._watched:
                    stop = self._start(name, address, caches)
                    self._watched[name] = ((address, caches), stop)

    def stop(self) -> None:
        """Watch nothing any more."""
        self.watch(())

    def _start(self, name: str, address: str, caches: bool) -> threading.Event:
        stop = threading.Event()
        threading.Thread(
            target=self._run,
            args=(name, address, caches, stop),
            name="watch",
            daemon=True,
        ).start()
        return stop

    def _run(
        self, name: str, address: str, caches: bool, stop: threading.Event
    ) -> None:
        host, _, port = address.rpartition(":")
        reader = _Reader(name=name, host=host, port=int(port))
        rounds = 0
        while not stop.wait(LOAD_INTERVAL_S):
            report = reader.read_load()
            if report is not None:
                self._on_load(report)
            rounds += 1
            if caches and rounds % LOAD_READS_PER_CACHE_READ == 0:
                change = reader.read_cache()
                if change is not None:
                    self._on_cache(change)
        reader.close()


class _Reader:
    """One kept-alive connection to an upstream, for its reports."""

    def __init__(self, *, name: str, host: str, port: int) -> None:
        self._name = name
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=1, timeout=TIMEOUT_S, retries=False
        )
        self._next_event = 0

    def close(self) -> None:
        self._pool.close()

    def read_load(self) -> LoadReport | None:
        """Read one report; an upstream that gives none is judged by our counts."""
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
        """Read the events since the last time; ``None`` if there are none."""
        answer = self._get(f"/cache-events?after={self._next_event}")
        try:
            following = int(answer["next"])
            # An engine that counts from the start again has lost its cache.
            restarted = following < self._next_event
            change = _merge_events(self._name, answer["events"], restarted)
        except (KeyError, TypeError, ValueError):
            return None
        self._next_event = 0 if restarted else following
        empty = not (change.stored or change.evicted or change.cleared)
        return None if empty else change

    def _get(self, target: str) -> Any:
        """Return a JSON answer, or an empty object if there is none."""
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
    """Return the sum of some events, the last word on each block counting."""
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
