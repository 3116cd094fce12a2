"""A node: its parts, how they start, and how they stop without losing work."""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Callable, Iterable

import baobabwing.entry.accepted_configuration  # noqa: F401  (registers its route)
import baobabwing.entry.completions  # noqa: F401
import baobabwing.entry.operations  # noqa: F401
import baobabwing.entry.services  # noqa: F401
import baobabwing.entry.status  # noqa: F401
from baobabwing.entry.context import Catalogue, EntryContext, Readiness
from baobabwing.entry.server import EntryServer
from baobabwing.exceptions import PeerError, PlatformError
from baobabwing.fleet.host import Host
from baobabwing.fleet.membership import Membership
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.fleet.view import FleetView
from baobabwing.homes.backups import PlacementBackups
from baobabwing.homes.cells import CellHomes
from baobabwing.homes.floors import FLOOR_TIMEOUT_S
from baobabwing.homes.limits import LimitEnforcer, SliceService
from baobabwing.homes.permits import PermitClient
from baobabwing.node.contact import Contact
from baobabwing.node.duties import OrderDuty
from baobabwing.node.events import (
    NODE_CUT_SHORT,
    NODE_DRAINED,
    NODE_LEAVING,
    NODE_READY,
    NODE_STOPPED,
)
from baobabwing.node.handling import PeerHandler, inflight_of
from baobabwing.node.spread import ConfigurationSpreader
from baobabwing.orders.desk import OrderDesk
from baobabwing.orders.engines import HttpEngines
from baobabwing.reports.events import log
from baobabwing.reports.metrics import NodeMetrics
from baobabwing.requests.claims import ClaimService
from baobabwing.requests.keys import KEY_LIFETIME_S
from baobabwing.requests.registry import RequestRegistry
from baobabwing.requests.shared_retry_budgets import SharedRetryBudgets
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.keeper import ConfigurationKeeper
from baobabwing.settings.schema import NodeSettings
from baobabwing.store.hosts import ListedHost, list_hosts, register_host
from baobabwing.store.tables import TableClient
from baobabwing.wire.messages import (
    FloorAnswer,
    FloorQuery,
    InflightAnswer,
    InflightQuery,
)
from baobabwing.wire.peers import PeerClients, PeerServer

__all__ = ["Node"]

# Twice the life of a key, so that clocks of hosts need not agree closely.
RETENTION_S = 2 * KEY_LIFETIME_S
CLAIM_BUDGET_S = 1.0
ORDER_TIMEOUT_S = 1.0
INFLIGHT_TIMEOUT_S = 0.8
GAUGE_INTERVAL_S = 1.0
DRAIN_CHECK_S = 0.05
TELL_S = 2.0


class Node:
    """One node of the fleet.

    :param settings: the node's own settings.
    :param on_drain: called once the configuration names this host as leaving.
    """

    def __init__(
        self, *, settings: NodeSettings, on_drain: Callable[[], None] = lambda: None
    ) -> None:
        self.settings = settings
        self._on_drain = on_drain
        self.me = _own_host(settings)
        keys = tuple(secret.encode() for secret in settings.peer_secrets)
        self.keeper = ConfigurationKeeper()
        self.metrics = NodeMetrics()
        self.readiness = Readiness()
        self.registry = RequestRegistry(retention_s=RETENTION_S)
        self._stopping = threading.Event()
        self._platform = (settings.platform_url, settings.platform_timeout_ms / 1000)
        url, timeout_s = self._platform
        tables = TableClient(url=url, timeout_s=timeout_s)
        self.claims = ClaimService(tables=tables, budget_s=CLAIM_BUDGET_S)
        self.membership = Membership(
            me=self.me,
            seeds=self._seeds,
            cfg=_pace(settings),
            secrets=keys,
            configuration_version=self._version,
            on_configuration=self._hear_configuration,
            on_view=self._see,
        )
        self.peers = PeerClients(
            name=self.me.name, incarnation=self.me.incarnation, keys=keys
        )
        self.homes = CellHomes(
            me=self.me,
            view=self.membership.view,
            query_inflight=self._ask_inflight,
            local_inflight=lambda cell: inflight_of(self.registry, cell),
            query_floor=self._ask_floor,
        )
        self.backups = PlacementBackups(clock=time.monotonic)
        self.permits = PermitClient(
            me=self.me,
            view=self.membership.view,
            homes=self.homes,
            peers=self.peers,
            backups=self.backups,
        )
        self.slices = SliceService()
        self.limits = LimitEnforcer(
            me=self.me,
            view=self.membership.view,
            peers=self.peers,
            slices=self.slices,
        )
        self.contact = Contact(
            readiness=self.readiness, isolated=lambda: self.membership.view().isolated
        )
        self.spreader = ConfigurationSpreader(
            me=self.me,
            keeper=self.keeper,
            tables=tables,
            peers=self.peers,
            view=self.membership.view,
            on_heard_platform=self.contact.heard_platform,
        )
        self.duty = OrderDuty(
            me=self.me,
            desk=OrderDesk(
                tables=tables,
                engines=HttpEngines(timeout_s=ORDER_TIMEOUT_S),
                holder=f"node {self.me.name}",
            ),
            view=self.membership.view,
            configuration=self.keeper.current,
        )
        self.server = PeerServer(
            listen=settings.peer,
            name=self.me.name,
            incarnation=self.me.incarnation,
            keys=keys,
            handler=PeerHandler(
                homes=self.homes,
                backups=self.backups,
                slices=self.slices,
                registry=self.registry,
                spreader=self.spreader,
            ).handle,
            on_disconnect=self.homes.drop_connection,
        )
        self.context = EntryContext(
            settings=settings,
            me=self.me,
            view=self.membership.view,
            permits=self.permits,
            registry=self.registry,
            claims=self.claims,
            limits=self.limits,
            retries=SharedRetryBudgets(),
            metrics=self.metrics,
            readiness=self.readiness,
            wall_clock=time.time,
            cells=self.homes.cells,
            highest_heard=self.keeper.highest_heard,
            apply_accepted=self.spreader.take_accepted,
        )
        self.entry = EntryServer(context=self.context)
        self._known: dict[str, int] = {}
        self._view_changed = threading.Event()

    def start(self) -> None:
        """Start all parts; callers are served once a configuration is there."""
        self.server.start()
        self.claims.start()
        self.membership.start()
        self.homes.start()
        self.keeper.on_change(self._take_configuration)
        self.limits.start()
        self.contact.start()
        self.duty.start()
        self.spreader.start()
        self.entry.start()
        for run, name in ((self._follow_view, "view"), (self._measure, "gauges")):
            threading.Thread(target=run, name=name, daemon=True).start()
        threading.Thread(target=self._register, name="register", daemon=True).start()

    def stop(self) -> None:
        """Leave gracefully: no new work, then end what is open, then go.

        The mark spreads at once. Callers keep an address answer for a while, so
        the host serves on until that time is over; then open requests end, and
        those that are not dispatched by the deadline are told "not run".
        """
        began = time.monotonic()
        log(NODE_LEAVING, open_requests=len(self.registry.open_requests()))
        self.context.leaving.set()
        self.membership.leave()
        deadline = began + self.settings.stop_deadline_ms / 1000
        self._stopping.wait(self.settings.address_keep_ms / 1000)
        self.readiness.add_reason("leaving")
        while self.registry.open_requests() and time.monotonic() < deadline:
            if self._stopping.wait(DRAIN_CHECK_S):
                break
        self._give_up_waiting()
        cut = self.context.open_calls.shut_down()
        if cut:
            log(NODE_CUT_SHORT, open_calls=cut)
        self.end()

    def _give_up_waiting(self) -> None:
        """Have the callers of what was not dispatched told "not run"."""
        until = time.monotonic() + TELL_S
        waiting = [one for one in self.registry.open_requests() if one.give_up()]
        while waiting and time.monotonic() < until:
            time.sleep(DRAIN_CHECK_S)
            still = self.registry.open_requests()
            waiting = [one for one in waiting if one in still]
        if waiting:
            log(NODE_CUT_SHORT, open_calls=len(waiting))
        # A request leaves the registry a moment before its caller is told.
        time.sleep(DRAIN_CHECK_S)

    def end(self) -> None:
        """Stop all parts at once."""
        self._stopping.set()
        self.spreader.stop()
        self.contact.stop()
        self.duty.stop()
        self.limits.stop()
        self.entry.stop()
        self.membership.stop()
        self.homes.stop()
        self.claims.stop()
        self.server.stop()
        self.peers.close()
        log(NODE_STOPPED, name=self.me.name)

    def hurry(self) -> None:
        """Cut a graceful stop short, as a second signal asks."""
        self._stopping.set()

    def _version(self) -> int:
        cfg = self.keeper.current()
        return cfg.version if cfg else 0

    def _hear_configuration(self, version: int, teller: Host) -> None:
        self.spreader.heard(version, teller)

    def _take_configuration(self, cfg: Configuration) -> None:
        if self.me.name in {host.name for host in cfg.leaving_hosts}:
            # Nothing is undone by a restart: a host that was told to leave and
            # is started again all the same never takes a request.
            self._drain(cfg)
            if "starting" in self.readiness.reasons():
                return
        # A host that drains still serves callers that keep its address, so it
        # takes up what is withdrawn meanwhile.
        self.context.catalogue = Catalogue(cfg=cfg)
        self.homes.configure(cfg)
        self.slices.configure(cfg)
        self.limits.configure(cfg)
        self.metrics.configuration_version.set(cfg.version)
        self.context.version_in_force = cfg.version
        self.membership.announce()
        if "starting" in self.readiness.reasons():
            self.readiness.remove_reason("starting")
            log(NODE_READY, name=self.me.name, version=cfg.version)

    def _drain(self, cfg: Configuration) -> None:
        if not self.context.leaving.is_set():
            log(NODE_DRAINED, name=self.me.name, version=cfg.version)
        self._on_drain()

    def _see(self, view: FleetView) -> None:
        self._view_changed.set()

    def _follow_view(self) -> None:
        """Take and give up cells, and free what dead entries held.

        Runs apart from the membership's threads, whose callbacks must return
        soon: probes that are answered late would make this node look dead.
        """
        while not self._stopping.is_set():
            if not self._view_changed.wait(0.2):
                continue
            self._view_changed.clear()
            view = self.membership.view()
            self.homes.update_cells()
            for name, incarnation in tuple(self._known.items()):
                if not view.is_current(name, incarnation):
                    self.homes.forget_entry(f"{name}#{incarnation}")
                    self.slices.forget_entry(f"{name}#{incarnation}")
                    del self._known[name]
            for member in view.members:
                if view.is_current(member.host.name, member.host.incarnation):
                    self._known[member.host.name] = member.host.incarnation

    def _measure(self) -> None:
        while not self._stopping.wait(GAUGE_INTERVAL_S):
            self.metrics.open_requests.set(len(self.registry.open_requests()))
            between_nodes = self.peers.traffic_bytes() + self.server.traffic_bytes()
            self.metrics.control_bytes.set(between_nodes)
            self.metrics.members.set(len(self.membership.view().serving()))

    def _ask_inflight(self, host: Host, query: InflightQuery) -> InflightAnswer:
        answer = self.peers.call_and_wait(
            host.peer, query, timeout_s=INFLIGHT_TIMEOUT_S
        )
        if not isinstance(answer, InflightAnswer):
            raise PeerError("unexpected answer", step="inflight", peer=host.peer)
        return answer

    def _ask_floor(self, host: Host, query: FloorQuery) -> FloorAnswer:
        answer = self.peers.call_and_wait(host.peer, query, timeout_s=FLOOR_TIMEOUT_S)
        if not isinstance(answer, FloorAnswer):
            raise PeerError("unexpected answer", step="floor", peer=host.peer)
        return answer

    def _seeds(self) -> Iterable[Host]:
        url, timeout_s = self._platform
        named = [_named_seed(one) for one in self.settings.membership.seeds]
        try:
            listed = list_hosts(url=url, timeout_s=timeout_s)
        except PlatformError:
            return named
        return [*named, *(_seed(one) for one in listed)]

    def _register(self) -> None:
        """Put this host on the platform's list, as soon as the platform answers."""
        me = self.me
        entry = ListedHost(
            name=me.name, zone=me.zone, region=me.region, peer=me.peer, http=me.http
        )
        url, timeout_s = self._platform
        while not self._stopping.is_set():
            try:
                register_host(entry, url=url, timeout_s=timeout_s)
            except PlatformError:
                self._stopping.wait(1.0)
                continue
            return


def _own_host(settings: NodeSettings) -> Host:
    return Host(
        name=settings.name,
        incarnation=int(time.time() * 1000),
        zone=settings.zone,
        region=settings.region,
        peer=settings.peer,
        http=settings.http,
    )


def _seed(listed: ListedHost) -> Host:
    """Return a candidate; the list does not know incarnations."""
    return Host(
        name=listed.name,
        incarnation=0,
        zone=listed.zone,
        region=listed.region,
        peer=listed.peer,
        http=listed.http,
    )


def _named_seed(address: str) -> Host:
    """Return a candidate of which the settings know the address only."""
    return Host(
        name=address, incarnation=0, zone="", region="", peer=address, http=address
    )


def _pace(settings: NodeSettings) -> MembershipSettings:
    known = {field.name for field in dataclasses.fields(MembershipSettings)}
    given = dataclasses.asdict(settings.membership)
    return MembershipSettings(
        **{name: value for name, value in given.items() if name in known}
    )
