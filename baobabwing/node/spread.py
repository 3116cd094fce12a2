"""Fetches the configuration for a node and keeps it up to date.

The table service holds the accepted versions. Each node polls it at an interval
that grows with the fleet, so that all nodes together send about ten polls a
second. A node that finds a new version advertises its number in the membership's
datagrams; a node that receives a number fetches the document from the peer that
reported it, or from the store.

A starting node has no version by which it could recognise that the store answers
with outdated data, so it queries its peers first and takes the highest version
that they return.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable

from baobabwing.exceptions import (
    BaobabwingError,
    PeerError,
    PlatformError,
    SettingsError,
)
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView
from baobabwing.node.events import CONFIGURATION_UNREADABLE
from baobabwing.node.packing import PackedConfiguration
from baobabwing.reports.events import log
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.deltas import DeltaLog, apply_deltas, pack, unpack
from baobabwing.settings.documents import inflate
from baobabwing.settings.fetch import (
    CONFIGURATION_TABLE,
    fetch_configuration,
    history_key,
)
from baobabwing.settings.keeper import ConfigurationKeeper
from baobabwing.store.tables import TableClient
from baobabwing.wire.messages import ConfigurationAnswer, ConfigurationQuery
from baobabwing.wire.peers import PeerClients

__all__ = ["ConfigurationSpreader"]

FLEET_POLLS_PER_S = 10.0
# In a large fleet one poll in this many reads the whole document even if the
# history shows no newer version: half a read a second over all nodes.
MAX_FULL_POLL_EVERY = 20
NODES_PER_SKIPPED_POLL = 10
MIN_POLL_INTERVAL_S = 1.0
FETCH_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.2
CATCH_UP_WAIT_S = 1.0
MAX_PEERS_QUERIED = 3
# Joining takes a few probes; a node without any peer waits this long for one.
JOIN_GRACE_S = 1.0


class ConfigurationSpreader:
    """Fetches configurations for this node and answers the queries of others.

    :param me: this node's host.
    :param keeper: holds the configuration in force.
    :param tables: the table service, which holds the accepted versions.
    :param peers: sends queries to other nodes.
    :param view: returns the current view of the fleet.
    :param on_heard_platform: called whenever the platform answered.
    """

    def __init__(
        self,
        *,
        me: Host,
        keeper: ConfigurationKeeper,
        tables: TableClient,
        peers: PeerClients,
        view: Callable[[], FleetView],
        on_heard_platform: Callable[[], None],
    ) -> None:
        self._me = me
        self._keeper = keeper
        self._tables = tables
        self._peers = peers
        self._view = view
        self._on_heard_platform = on_heard_platform
        self._reporters: list[Host] = []
        self._join_grace_until = time.monotonic() + JOIN_GRACE_S
        self._stopping = threading.Event()
        self._rng = random.Random()
        self._documents = PackedConfiguration()
        self._deltas = DeltaLog()
        self._polls = 0
        self._last_applied: Configuration | None = None
        keeper.on_change(self._record_deltas)

    def start(self) -> None:
        """Start the threads that poll the store and fetch reported versions."""
        for run, name in ((self._poll_loop, "look"), (self._catch_up_loop, "fetch")):
            threading.Thread(
                target=run, name=f"configuration-{name}", daemon=True
            ).start()

    def stop(self) -> None:
        """End both threads."""
        self._stopping.set()
        self._keeper.heard(0)

    def heard(self, version: int, reporter: Host) -> None:
        """Record that a peer holds a version or received its number."""
        self._reporters = [reporter, *self._reporters[: MAX_PEERS_QUERIED - 1]]
        self._keeper.heard(version)

    def answer(self, query: ConfigurationQuery) -> ConfigurationAnswer:
        """Answer a query for a configuration.

        The answer holds the deltas from the version that the peer holds or, where
        these are not known, the document; only the version if it is lower than
        the one requested.
        """
        cfg = self._keeper.current()
        if cfg is None or cfg.version < query.least:
            return ConfigurationAnswer(version=cfg.version if cfg else 0)
        deltas = self._deltas.between(query.held, cfg.version) if query.held else ()
        if deltas:
            return ConfigurationAnswer(version=cfg.version, deltas=pack(deltas))
        return ConfigurationAnswer(
            version=cfg.version, document=self._documents.document_of(cfg)
        )

    def take_accepted(self, cfg: Configuration, operator: str) -> int:
        """Apply a version that an operator had accepted.

        The store's version takes precedence. The operator's document is used only
        while the store does not answer, as when it fails right after accepting.

        :param operator: name of the operator, for the log.
        :returns: the version that is in force now.
        """
        try:
            stored = fetch_configuration(self._tables)
        except PlatformError:
            self._keeper.offer(cfg, source=f"operator {operator}")
        except SettingsError as exc:
            log(CONFIGURATION_UNREADABLE, source="store", error=exc.message)
        else:
            if stored is not None:
                self._keeper.offer(stored, source="store")
        current = self._keeper.current()
        return current.version if current else 0

    def look(self) -> None:
        """Poll once for the newest configuration."""
        held = self._keeper.current()
        if held is not None:
            self._polls += 1
            reads_document = self._polls % self._full_poll_every() == 0
            if reads_document or self._has_successor(held.version):
                self._fetch_from_store()
            return
        peers = self._serving_peers()
        if not peers and time.monotonic() < self._join_grace_until:
            return
        # A store that was restored from an older snapshot shows an old version. A
        # starting node would serve it until its peers corrected it, so they are
        # queried first; the store's version then counts only if it is higher.
        self._offer_highest(peers)
        self._fetch_from_store()

    def catch_up(self, timeout_s: float = 0.0) -> bool:
        """Fetch the version that a peer reported, if it is newer than the one held.

        :param timeout_s: longest wait for such a report.
        :returns: whether nothing is left to fetch; false if fetching failed.
        """
        version = self._keeper.wait_until_behind(timeout_s)
        if not version:
            return True
        return self._fetch_from_peers(version) or self._fetch_from_store()

    def _record_deltas(self, cfg: Configuration) -> None:
        """Record the changes from the previous version, for peers that hold it."""
        if self._last_applied is not None:
            self._deltas.note(self._last_applied, cfg)
        self._last_applied = cfg

    def _poll_loop(self) -> None:
        while not self._stopping.is_set():
            self.look()
            self._stopping.wait(self._poll_interval_s())

    def _poll_interval_s(self) -> float:
        if self._keeper.current() is None:
            return RETRY_INTERVAL_S
        view = self._view()
        if view.isolated:
            # Only the store can show now whether this node still has a connection.
            return MIN_POLL_INTERVAL_S
        fleet_size = max(1, len(view.serving()))
        mean_s = max(MIN_POLL_INTERVAL_S, fleet_size / FLEET_POLLS_PER_S)
        return mean_s * self._rng.uniform(0.5, 1.5)

    def _catch_up_loop(self) -> None:
        while not self._stopping.is_set():
            if not self.catch_up(CATCH_UP_WAIT_S):
                self._stopping.wait(RETRY_INTERVAL_S)

    def _full_poll_every(self) -> int:
        """Return N where one poll in N of this node reads the whole document.

        At a small site each poll reads it: the document is small, and with few
        nodes it would take long until one of them read it.
        """
        fleet_size = len(self._view().serving())
        return max(1, min(MAX_FULL_POLL_EVERY, fleet_size // NODES_PER_SKIPPED_POLL))

    def _has_successor(self, version: int) -> bool:
        """Return whether the store's history shows the version after this one.

        Requesting one row that usually does not exist costs some hundred bytes,
        whereas the current document of a large fleet has megabytes. If a publisher
        dies before it writes the history, a poll that reads the whole document
        finds its version.
        """
        try:
            row = self._tables.read(CONFIGURATION_TABLE, history_key(version + 1))
        except PlatformError:
            return False
        self._on_heard_platform()
        return row is not None

    def _fetch_from_store(self) -> bool:
        try:
            cfg = fetch_configuration(self._tables)
        except PlatformError:
            return False
        except SettingsError as exc:
            log(CONFIGURATION_UNREADABLE, source="store", error=exc.message)
            return False
        self._on_heard_platform()
        return cfg is not None and self._keeper.offer(cfg, source="store")

    def _fetch_from_peers(self, version: int) -> bool:
        for host in self._candidates():
            cfg = self._fetch_from_peer(host, version)
            if cfg is not None and self._keeper.offer(cfg, source=host.name):
                return True
        return False

    def _offer_highest(self, peers: list[Host]) -> None:
        fetched = [
            (self._fetch_from_peer(host, 1), host) for host in peers[:MAX_PEERS_QUERIED]
        ]
        received = [(cfg, host) for cfg, host in fetched if cfg is not None]
        if received:
            cfg, host = max(received, key=lambda pair: pair[0].version)
            self._keeper.offer(cfg, source=host.name)

    def _candidates(self) -> list[Host]:
        """Return peers to query: those that reported a version, then a few others."""
        return [*self._reporters, *self._serving_peers()[:MAX_PEERS_QUERIED]]

    def _serving_peers(self) -> list[Host]:
        """Return the serving peers in random order."""
        peers = [host for host in self._view().serving() if host.name != self._me.name]
        self._rng.shuffle(peers)
        return peers

    def _fetch_from_peer(self, host: Host, version: int) -> Configuration | None:
        held = self._keeper.current()
        if held is not None:
            cfg = self._fetch_deltas(host, version, held)
            if cfg is not None:
                return cfg
        answer = self._query_peer(host, ConfigurationQuery(least=version))
        if answer is None or not answer.document:
            return None
        return self._decode_document(host, answer)

    def _fetch_deltas(
        self, host: Host, version: int, held: Configuration
    ) -> Configuration | None:
        """Request the changes only; ``None`` if the document has to be requested."""
        query = ConfigurationQuery(least=version, held=held.version)
        answer = self._query_peer(host, query)
        if answer is None:
            return None
        if answer.document:
            return self._decode_document(host, answer)
        if not answer.deltas:
            return None
        try:
            return apply_deltas(held, unpack(answer.deltas))
        except BaobabwingError as exc:
            log(CONFIGURATION_UNREADABLE, source=host.name, error=exc.message)
            return None

    def _query_peer(
        self, host: Host, query: ConfigurationQuery
    ) -> ConfigurationAnswer | None:
        try:
            answer = self._peers.call_and_wait(
                host.peer, query, timeout_s=FETCH_TIMEOUT_S
            )
        except PeerError:
            return None
        return answer if isinstance(answer, ConfigurationAnswer) else None

    def _decode_document(
        self, host: Host, answer: ConfigurationAnswer
    ) -> Configuration | None:
        try:
            cfg = inflate(answer.document)
        except BaobabwingError as exc:
            log(CONFIGURATION_UNREADABLE, source=host.name, error=exc.message)
            return None
        self._documents.store(cfg, answer.document)
        return cfg
