"""How a node comes by the configuration, and keeps up with it.

The table service holds the accepted versions. Each node looks there now and
then, so spaced that the whole fleet together asks about ten times a second,
whatever its size. Whoever finds a new version has its number ride on the
membership's datagrams; a node that hears a number fetches the document from the
peer that told it, or from the store.

A starting node holds nothing that would show a store to answer from the past,
so it asks its peers first and takes the highest version that it is given.
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

FLEET_LOOKS_PER_S = 10.0
# Of a large fleet's looks one in so many reads the whole document, whatever is
# heard: half a look a second over all nodes.
WHOLE_LOOK_EVERY = 20
NODES_PER_SKIPPED_LOOK = 10
LEAST_LOOK_INTERVAL_S = 1.0
FETCH_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.2
CATCH_UP_WAIT_S = 1.0
PEERS_TRIED = 3
# Joining takes a few probes; a node without any peer waits this long for one.
JOIN_GRACE_S = 1.0


class ConfigurationSpreader:
    """Fetches configurations for this node and gives them to others.

    :param keeper: holds the configuration in force.
    :param view: returns the present view of the fleet.
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
        self._tellers: list[Host] = []
        self._alone_until = time.monotonic() + JOIN_GRACE_S
        self._stopping = threading.Event()
        self._rng = random.Random()
        self._packed = PackedConfiguration()
        self._deltas = DeltaLog()
        self._looks = 0
        self._noted: Configuration | None = None
        keeper.on_change(self._note)

    def start(self) -> None:
        """Begin to look for versions and to fetch those heard of."""
        for run, name in ((self._look, "look"), (self._catch_up, "fetch")):
            threading.Thread(
                target=run, name=f"configuration-{name}", daemon=True
            ).start()

    def stop(self) -> None:
        """End both threads."""
        self._stopping.set()
        self._keeper.heard(0)

    def heard(self, version: int, teller: Host) -> None:
        """Note that a peer holds or has heard of a version."""
        self._tellers = [teller, *self._tellers[: PEERS_TRIED - 1]]
        self._keeper.heard(version)

    def answer(self, query: ConfigurationQuery) -> ConfigurationAnswer:
        """Return the own configuration if it is new enough for the asker."""
        cfg = self._keeper.current()
        if cfg is None or cfg.version < query.least:
            return ConfigurationAnswer(version=cfg.version if cfg else 0)
        deltas = self._deltas.between(query.held, cfg.version) if query.held else ()
        if deltas:
            return ConfigurationAnswer(version=cfg.version, deltas=pack(deltas))
        return ConfigurationAnswer(version=cfg.version, document=self._packed.of(cfg))

    def take_accepted(self, cfg: Configuration, operator: str) -> int:
        """Take a version from the operator who had it accepted.

        What the store says goes first; the document counts only while the store
        does not answer, as when it goes down right after it accepted.

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
        """Look once for the newest configuration."""
        held = self._keeper.current()
        if held is not None:
            self._looks += 1
            whole = self._looks % self._whole_look_every() == 0
            if whole or self._may_follow(held.version):
                self._fetch_from_store()
            return
        peers = self._others()
        if not peers and time.monotonic() < self._alone_until:
            return
        # A store that was restored from a copy shows an old version, which a
        # node without memory would serve until its peers corrected it. They are
        # asked first; what the store then shows counts only if it is newer.
        self._take_highest(peers)
        self._fetch_from_store()

    def catch_up(self, timeout_s: float = 0.0) -> bool:
        """Fetch a version that was heard of, if there is one.

        :param timeout_s: how long to wait until one is heard of.
        :returns: false if it is heard of and could not be fetched.
        """
        version = self._keeper.wait_until_behind(timeout_s)
        if not version:
            return True
        return self._fetch_from_peers(version) or self._fetch_from_store()

    def _note(self, cfg: Configuration) -> None:
        """Keep what changed, for peers that hold the version before."""
        if self._noted is not None:
            self._deltas.note(self._noted, cfg)
        self._noted = cfg

    def _look(self) -> None:
        while not self._stopping.is_set():
            self.look()
            self._stopping.wait(self._look_interval_s())

    def _look_interval_s(self) -> float:
        if self._keeper.current() is None:
            return RETRY_PAUSE_S
        view = self._view()
        if view.isolated:
            # The store alone can now tell whether this node is still in touch.
            return LEAST_LOOK_INTERVAL_S
        fleet = max(1, len(view.serving()))
        mean_s = max(LEAST_LOOK_INTERVAL_S, fleet / FLEET_LOOKS_PER_S)
        return mean_s * self._rng.uniform(0.5, 1.5)

    def _catch_up(self) -> None:
        while not self._stopping.is_set():
            if not self.catch_up(CATCH_UP_WAIT_S):
                self._stopping.wait(RETRY_PAUSE_S)

    def _whole_look_every(self) -> int:
        """Return which of its looks a node takes at the whole document.

        A small site looks at the whole each time: its document is small, and
        with few nodes it would take long until one of them does.
        """
        fleet = len(self._view().serving())
        return max(1, min(WHOLE_LOOK_EVERY, fleet // NODES_PER_SKIPPED_LOOK))

    def _may_follow(self, version: int) -> bool:
        """Tell whether the store's history shows a version after this one.

        Asking for one row that is mostly not there costs some hundred bytes,
        where the current document has megabytes at size. A publisher that dies
        before it writes the history is found by a whole look.
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
            cfg = self._ask(host, version)
            if cfg is not None and self._keeper.offer(cfg, source=host.name):
                return True
        return False

    def _take_highest(self, peers: list[Host]) -> None:
        answers = [(self._ask(host, 1), host) for host in peers[:PEERS_TRIED]]
        found = [(cfg, host) for cfg, host in answers if cfg is not None]
        if found:
            cfg, host = max(found, key=lambda one: one[0].version)
            self._keeper.offer(cfg, source=host.name)

    def _candidates(self) -> list[Host]:
        """Return peers to ask: those who told of a version, then a few others."""
        return [*self._tellers, *self._others()[:PEERS_TRIED]]

    def _others(self) -> list[Host]:
        """Return the serving peers in random order."""
        others = [one for one in self._view().serving() if one.name != self._me.name]
        self._rng.shuffle(others)
        return others

    def _ask(self, host: Host, version: int) -> Configuration | None:
        held = self._keeper.current()
        if held is not None:
            cfg = self._ask_changes(host, version, held)
            if cfg is not None:
                return cfg
        answer = self._ask_peer(host, ConfigurationQuery(least=version))
        if answer is None or not answer.document:
            return None
        return self._read_whole(host, answer)

    def _ask_changes(
        self, host: Host, version: int, held: Configuration
    ) -> Configuration | None:
        """Ask for what changed; ``None`` if the document has to be asked for."""
        query = ConfigurationQuery(least=version, held=held.version)
        answer = self._ask_peer(host, query)
        if answer is None:
            return None
        if answer.document:
            return self._read_whole(host, answer)
        if not answer.deltas:
            return None
        try:
            return apply_deltas(held, unpack(answer.deltas))
        except BaobabwingError as exc:
            log(CONFIGURATION_UNREADABLE, source=host.name, error=exc.message)
            return None

    def _ask_peer(
        self, host: Host, query: ConfigurationQuery
    ) -> ConfigurationAnswer | None:
        try:
            answer = self._peers.call_and_wait(
                host.peer, query, timeout_s=FETCH_TIMEOUT_S
            )
        except PeerError:
            return None
        return answer if isinstance(answer, ConfigurationAnswer) else None

    def _read_whole(
        self, host: Host, answer: ConfigurationAnswer
    ) -> Configuration | None:
        try:
            cfg = inflate(answer.document)
        except BaobabwingError as exc:
            log(CONFIGURATION_UNREADABLE, source=host.name, error=exc.message)
            return None
        self._packed.keep(cfg, answer.document)
        return cfg
