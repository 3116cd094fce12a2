"""Caches of the node addresses that the system announces to callers."""

from __future__ import annotations

import http.client
import json
import random
import threading
from collections.abc import Sequence
from dataclasses import dataclass

from baobabwing.bench.processes import ProcessError

__all__ = ["AddressCache", "Directory", "Entry"]

QUERY_TIMEOUT_S = 1.0
MS_PER_S = 1_000.0
OK_STATUS = 200
CACHE_COUNT = 8


@dataclass(frozen=True, kw_only=True)
class Entry:
    """Address that callers may use.

    :param key_prefix: prefix of the idempotency keys of requests sent to it.
    """

    address: str
    key_prefix: str = ""


@dataclass(frozen=True, kw_only=True)
class _AddressAnswer:
    entries: tuple[Entry, ...]
    keep_s: float


class AddressCache:
    """Address list shared by several callers, such as those of one app server.

    Thread safe.

    :param name: seed sent to the system, which selects addresses by it.
    :param nodes: ``host:port`` of nodes to query if no cached address answers.
    """

    def __init__(self, *, name: str, nodes: Sequence[str]) -> None:
        self._name = name
        self._nodes = tuple(nodes)
        self._entries: tuple[Entry, ...] = ()
        self._lock = threading.Lock()
        self.keep_s = 0.0

    def entries(self, *, avoid: str = "") -> tuple[Entry, ...]:
        """Return the entries in the order in which to try them.

        :param avoid: address to try last.
        """
        return tuple(sorted(self._entries, key=lambda entry: entry.address == avoid))

    def set_entries(self, entries: Sequence[Entry]) -> None:
        """Set the entries without a query."""
        self._entries = tuple(entries)

    def remove(self, entry: Entry) -> None:
        """Remove an address that refused a connection until the next refresh."""
        with self._lock:
            self._entries = tuple(other for other in self._entries if other != entry)

    def refresh(self) -> bool:
        """Query the known nodes in turn and return whether one of them answered."""
        known = [entry.address for entry in self._entries]
        for address in dict.fromkeys((*known, *self._nodes)):
            answer = _query_addresses(address, self._name)
            if answer is not None and answer.entries:
                with self._lock:
                    self._entries = answer.entries
                    self.keep_s = answer.keep_s
                return True
        return False


class Directory:
    """Address caches, refreshed when their keep time has expired.

    A background thread sends the queries, so that sending requests never waits for
    them.

    :param nodes: ``host:port`` of nodes for the first query.
    :param direct: whether to use ``nodes`` as they are, without queries.
    """

    def __init__(
        self, *, nodes: Sequence[str], rng: random.Random, direct: bool = False
    ) -> None:
        self._rng = rng
        self._direct = direct
        self._nodes = tuple(nodes)
        self._caches = [self._new_cache() for _ in range(CACHE_COUNT)]
        self._stopped = threading.Event()

    def start(self) -> None:
        """Fill the caches, then refresh them periodically until stopped.

        :raises ProcessError: if no node answers.
        """
        if self._direct:
            for cache in self._caches:
                cache.set_entries([Entry(address=node) for node in self._nodes])
            return
        refreshed = [cache.refresh() for cache in self._caches]
        if not all(refreshed):
            raise ProcessError("no addresses", step="ask", peer=" ".join(self._nodes))
        threading.Thread(target=self._refresh_periodically, daemon=True).start()

    def stop(self) -> None:
        """Stop refreshing."""
        self._stopped.set()

    def choose(self) -> AddressCache:
        """Return a random address cache."""
        return self._rng.choice(self._caches)

    def _new_cache(self) -> AddressCache:
        nodes = self._rng.sample(self._nodes, len(self._nodes))
        return AddressCache(name=f"{self._rng.getrandbits(64):x}", nodes=nodes)

    def _refresh_periodically(self) -> None:
        while not self._stopped.wait(min(cache.keep_s for cache in self._caches)):
            for cache in self._caches:
                cache.refresh()


def _query_addresses(address: str, name: str) -> _AddressAnswer | None:
    conn = http.client.HTTPConnection(address, timeout=QUERY_TIMEOUT_S)
    try:
        conn.request("GET", "/v1/addresses", headers={"X-Caller-Seed": name})
        resp = conn.getresponse()
        raw = resp.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        conn.close()
    if resp.status != OK_STATUS:
        return None
    document = json.loads(raw)
    entries = tuple(
        Entry(address=entry["http"], key_prefix=entry["key_prefix"])
        for entry in document["addresses"]
    )
    return _AddressAnswer(entries=entries, keep_s=document["keep_ms"] / MS_PER_S)
