"""The addresses that callers may use, as the system told them."""

from __future__ import annotations

import http.client
import json
import random
import threading
from collections.abc import Sequence
from dataclasses import dataclass

from baobabwing.bench.processes import ProcessError

__all__ = ["Directory", "Entry"]

ASK_TIMEOUT_S = 1.0
MS_PER_S = 1_000.0
OK_STATUS = 200


@dataclass(frozen=True, kw_only=True)
class Entry:
    """One address that callers use.

    :param key_prefix: what keys of callers begin with that asked this address.
    """

    address: str
    key_prefix: str


@dataclass(frozen=True, kw_only=True)
class _Told:
    addresses: tuple[str, ...]
    key_prefix: str
    keep_s: float


class Directory:
    """Stands for callers of every address, each with its own address answer.

    A thread asks all addresses again whenever the answers' keep time is over, so
    that sending never waits for it. In between, an address that refuses a
    connection is left out, as any client would do.

    :param nodes: ``host:port`` of nodes that may be asked first.
    :param direct: whether ``nodes`` are used as they are, without asking.
    """

    def __init__(
        self, *, nodes: Sequence[str], rng: random.Random, direct: bool = False
    ) -> None:
        self._nodes = tuple(nodes)
        self._rng = rng
        self._direct = direct
        self._lock = threading.Lock()
        self._entries: dict[str, Entry] = {}
        self._keep_s = 0.0
        self._stopped = threading.Event()

    def start(self) -> None:
        """Ask for the first time, then keep asking until stopped.

        :raises ProcessError: if no node answers.
        """
        if self._direct:
            self._entries = {
                node: Entry(address=node, key_prefix="") for node in self._nodes
            }
            return
        self._ask_all()
        if not self._entries:
            raise ProcessError("no addresses", step="ask", peer=" ".join(self._nodes))
        threading.Thread(target=self._keep_asking, daemon=True).start()

    def stop(self) -> None:
        """Stop asking."""
        self._stopped.set()

    def choose(self) -> Entry:
        """Return one entry at random.

        :raises ConnectionError: if no address is left.
        """
        with self._lock:
            if not self._entries:
                raise ConnectionError("no address left")
            return self._rng.choice(list(self._entries.values()))

    def failed(self, entry: Entry) -> None:
        """Leave out an address that refused a connection."""
        with self._lock:
            self._entries.pop(entry.address, None)

    def _keep_asking(self) -> None:
        while not self._stopped.wait(self._keep_s):
            self._ask_all()

    def _ask_all(self) -> None:
        found: dict[str, Entry] = {}
        waiting = list(dict.fromkeys((*self._entries, *self._nodes)))
        offered: set[str] = set()
        asked: set[str] = set()
        while waiting:
            address = waiting.pop(0)
            asked.add(address)
            told = _ask(address)
            if told is None:
                continue
            self._keep_s = told.keep_s
            offered.update(told.addresses)
            found[address] = Entry(address=address, key_prefix=told.key_prefix)
            waiting += [
                one for one in told.addresses if one not in asked and one not in waiting
            ]
        with self._lock:
            # A leaving node still answers, but the others no longer offer it.
            self._entries = {
                address: entry for address, entry in found.items() if address in offered
            }


def _ask(address: str) -> _Told | None:
    conn = http.client.HTTPConnection(address, timeout=ASK_TIMEOUT_S)
    try:
        conn.request("GET", "/v1/addresses")
        resp = conn.getresponse()
        raw = resp.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        conn.close()
    if resp.status != OK_STATUS:
        return None
    document = json.loads(raw)
    return _Told(
        addresses=tuple(one["http"] for one in document["addresses"]),
        key_prefix=document.get("key_prefix", ""),
        keep_s=document["keep_ms"] / MS_PER_S,
    )
