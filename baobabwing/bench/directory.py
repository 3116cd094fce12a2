"""The addresses that callers may use, as the system told them."""

from __future__ import annotations

import http.client
import json
import random
import threading
from collections.abc import Sequence
from dataclasses import dataclass

from baobabwing.bench.processes import ProcessError

__all__ = ["Directory", "Entry", "Site"]

ASK_TIMEOUT_S = 1.0
MS_PER_S = 1_000.0
OK_STATUS = 200
SITES = 8


@dataclass(frozen=True, kw_only=True)
class Entry:
    """One address that callers may use.

    :param key_prefix: what keys of requests begin with that are sent there.
    """

    address: str
    key_prefix: str = ""


@dataclass(frozen=True, kw_only=True)
class _Told:
    entries: tuple[Entry, ...]
    keep_s: float


class Site:
    """Callers that share one address answer, such as an app's server.

    Thread safe.

    :param name: tells sites apart towards the system.
    :param nodes: ``host:port`` of nodes that may be asked when nothing else answers.
    """

    def __init__(self, *, name: str, nodes: Sequence[str]) -> None:
        self._name = name
        self._nodes = tuple(nodes)
        self._entries: tuple[Entry, ...] = ()
        self._lock = threading.Lock()
        self.keep_s = 0.0

    def entries(self, *, avoid: str = "") -> tuple[Entry, ...]:
        """Return the entries in the order in which to try them.

        :param avoid: an address that goes last.
        """
        return tuple(sorted(self._entries, key=lambda one: one.address == avoid))

    def use(self, entries: Sequence[Entry]) -> None:
        """Take entries without asking for them."""
        self._entries = tuple(entries)

    def drop(self, entry: Entry) -> None:
        """Leave out an address that refused a connection until the next answer."""
        with self._lock:
            self._entries = tuple(one for one in self._entries if one != entry)

    def refresh(self) -> bool:
        """Ask known nodes in turn until one answers; tell whether one did."""
        known = [one.address for one in self._entries]
        for address in dict.fromkeys((*known, *self._nodes)):
            told = _ask(address, self._name)
            if told is not None and told.entries:
                with self._lock:
                    self._entries = told.entries
                    self.keep_s = told.keep_s
                return True
        return False


class Directory:
    """Sites with their address answers, each renewed when its keep time is over.

    A thread asks, so that sending never waits for it.

    :param nodes: ``host:port`` of nodes that may be asked first.
    :param direct: whether ``nodes`` are used as they are, without asking.
    """

    def __init__(
        self, *, nodes: Sequence[str], rng: random.Random, direct: bool = False
    ) -> None:
        self._rng = rng
        self._direct = direct
        self._nodes = tuple(nodes)
        self._sites = [self._new_site() for _ in range(SITES)]
        self._stopped = threading.Event()

    def start(self) -> None:
        """Ask for the first time, then keep asking until stopped.

        :raises ProcessError: if no node answers.
        """
        if self._direct:
            for site in self._sites:
                site.use([Entry(address=node) for node in self._nodes])
            return
        answered = [site.refresh() for site in self._sites]
        if not all(answered):
            raise ProcessError("no addresses", step="ask", peer=" ".join(self._nodes))
        threading.Thread(target=self._keep_asking, daemon=True).start()

    def stop(self) -> None:
        """Stop asking."""
        self._stopped.set()

    def choose(self) -> Site:
        """Return one site at random."""
        return self._rng.choice(self._sites)

    def _new_site(self) -> Site:
        nodes = self._rng.sample(self._nodes, len(self._nodes))
        return Site(name=f"{self._rng.getrandbits(64):x}", nodes=nodes)

    def _keep_asking(self) -> None:
        while not self._stopped.wait(min(site.keep_s for site in self._sites)):
            for site in self._sites:
                site.refresh()


def _ask(address: str, site: str) -> _Told | None:
    conn = http.client.HTTPConnection(address, timeout=ASK_TIMEOUT_S)
    try:
        conn.request("GET", "/v1/addresses", headers={"X-Caller-Seed": site})
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
        Entry(address=one["http"], key_prefix=one["key_prefix"])
        for one in document["addresses"]
    )
    return _Told(entries=entries, keep_s=document["keep_ms"] / MS_PER_S)
