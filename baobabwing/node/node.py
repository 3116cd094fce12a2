"""A node: creates its components, starts them, and stops them without losing work."""

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
from baobabwing.node.contact import IsolationMonitor
from baobabwing.node.duties import OrderTask
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

# Twice the lifetime of a key, which allows for differences between hosts' clocks.
RETENTION_S = 2 * KEY_LIFETIME_S
CLAIM_BUDGET_S = 1.0
ORDER_TIMEOUT_S = 1.0
INFLIGHT_TIMEOUT_S = 0.8
GAUGE_INTERVAL_S = 1.0
DRAIN_CHECK_S = 0.05
NOT_RUN_ANSWER_S = 2.0


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
        self._platform_endpoint = (
            settings.platform_url,
            settings.platform_timeout_ms / 1000,
        )
        url, timeout_s = self._platform_endpoint
        tables = TableClient(url=url, timeout_s=timeout_s)
        self.claims = ClaimService(tables=tables, budget_s=CLAIM_BUDGET_S)
        self.membership = Membership(
            me=self.me,
            seeds=self._seeds,
            cfg=_membership_settings(settings),
            secrets=keys,
            configuration_version=self._version_in_force,
            on_configuration=self._handle_reported_version,
            on_view=self._signal_view_change,
        )
        self.peers = PeerClients(
            name=self.me.name, incarnation=self.me.incarnation, keys=keys
        )
        self.homes = CellHomes(
            me=self.me,
            view=self.membership.view,
            query_inflight=self._query_inflight,
            local_inflight=lambda cell: inflight_of(self.registry, cell),
            query_floor=self._query_floor,
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
        self.isolation_monitor = IsolationMonitor(
            readiness=self.readiness, isolated=lambda: self.membership.view().isolated
        )
        self.spreader = ConfigurationSpreader(
            me=self.me,
            keeper=self.keeper,
            tables=tables,
            peers=self.peers,
            view=self.membership.view,
            on_heard_platform=self.isolation_monitor.record_platform_answer,
        )
        self.order_task = OrderTask(
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
        self._incarnations: dict[str, int] = {}
        self._view_changed = threading.Event()

    def start(self) -> None:
        """Start all components; callers are served once a configuration is in force."""
        self.server.start()
        self.claims.start()
        self.membership.start()
        self.homes.start()
        self.keeper.on_change(self._apply_configuration)
        self.limits.start()
        self.isolation_monitor.start()
        self.order_task.start()
        self.spreader.start()
        self.entry.start()
        for run, name in (
            (self._apply_view_changes, "view"),
            (self._update_gauges, "gauges"),
        ):
            threading.Thread(target=run, name=name, daemon=True).start()
        threading.Thread(target=self._register, name="register", daemon=True).start()

    def stop(self) -> None:
        """Leave gracefully: refuse new work, finish open requests, then stop.

        The membership announces at once that the node is leaving. Callers cache
        node addresses, so the host keeps serving for ``address_keep_ms``. Then open
        requests finish, and those that have arrived in part are answered; callers of
        requests that were not dispatched by the deadline get the answer "not run".
        """
        started_at = time.monotonic()
        log(NODE_LEAVING, open_requests=len(self.registry.open_requests()))
        self.context.leaving.set()
        self.membership.leave()
        deadline = started_at + self.settings.stop_deadline_ms / 1000
        self._stopping.wait(self.settings.address_keep_ms / 1000)
        self.readiness.add_reason("leaving")
        while self._busy() and time.monotonic() < deadline:
            if self._stopping.wait(DRAIN_CHECK_S):
                break
        self._expire_undispatched()
        cut = self.context.open_calls.shut_down()
        if cut:
            log(NODE_CUT_SHORT, open_calls=cut)
        self.end()

    def _busy(self) -> bool:
        """Whether requests are open or being read, also those of other owners."""
        return bool(self.registry.open_requests() or self.entry.busy)

    def _expire_undispatched(self) -> None:
        """Have the callers of requests that were not dispatched answered "not run"."""
        answers_until = time.monotonic() + NOT_RUN_ANSWER_S
        waiting = [req for req in self.registry.open_requests() if req.give_up()]
        while waiting and time.monotonic() < answers_until:
            time.sleep(DRAIN_CHECK_S)
            open_requests = self.registry.open_requests()
            waiting = [req for req in waiting if req in open_requests]
        if waiting:
            log(NODE_CUT_SHORT, open_calls=len(waiting))
        # A request leaves the registry a moment before its caller gets the answer.
        time.sleep(DRAIN_CHECK_S)

    def end(self) -> None:
        """Stop all components at once."""
        self._stopping.set()
        self.spreader.stop()
        self.isolation_monitor.stop()
        self.order_task.stop()
        self.limits.stop()
        self.entry.stop()
        self.membership.stop()
        self.homes.stop()
        self.claims.stop()
        self.server.stop()
        self.peers.close()
        log(NODE_STOPPED, name=self.me.name)

    def hurry(self) -> None:
        """Cut a graceful stop short, as a second signal requests."""
        self._stopping.set()

    def _version_in_force(self) -> int:
        cfg = self.keeper.current()
        return cfg.version if cfg else 0

    def _handle_reported_version(self, version: int, reporter: Host) -> None:
        self.spreader.heard(version, reporter)

    def _apply_configuration(self, cfg: Configuration) -> None:
        if self.me.name in {host.name for host in cfg.leaving_hosts}:
            # A restart does not undo the mark: a host that is marked as leaving and is
            # started again never accepts a request.
            self._start_drain(cfg)
            if "starting" in self.readiness.reasons():
                return
        # A draining host still serves callers that have cached its address, so it
        # applies later configurations too, for example a key's withdrawal.
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

    def _start_drain(self, cfg: Configuration) -> None:
        if not self.context.leaving.is_set():
            log(NODE_DRAINED, name=self.me.name, version=cfg.version)
        self._on_drain()

    def _signal_view_change(self, view: FleetView) -> None:
        self._view_changed.set()

    def _apply_view_changes(self) -> None:
        """Place cells after changes of the view, and release what dead entries held.

        Runs outside the membership's threads, whose callbacks must return quickly:
        if probes were answered late, peers would consider this node dead.
        """
        while not self._stopping.is_set():
            if not self._view_changed.wait(0.2):
                continue
            self._view_changed.clear()
            view = self.membership.view()
            self.homes.update_cells()
            for name, incarnation in tuple(self._incarnations.items()):
                if not view.is_current(name, incarnation):
                    self.homes.forget_entry(f"{name}#{incarnation}")
                    self.slices.forget_entry(f"{name}#{incarnation}")
                    del self._incarnations[name]
            for member in view.members:
                if view.is_current(member.host.name, member.host.incarnation):
                    self._incarnations[member.host.name] = member.host.incarnation

    def _update_gauges(self) -> None:
        while not self._stopping.wait(GAUGE_INTERVAL_S):
            self.metrics.open_requests.set(len(self.registry.open_requests()))
            between_nodes = self.peers.traffic_bytes() + self.server.traffic_bytes()
            self.metrics.control_bytes.set(between_nodes)
            self.metrics.members.set(len(self.membership.view().serving()))

    def _query_inflight(self, host: Host, query: InflightQuery) -> InflightAnswer:
        answer = self.peers.call_and_wait(
            host.peer, query, timeout_s=INFLIGHT_TIMEOUT_S
        )
        if not isinstance(answer, InflightAnswer):
            raise PeerError("unexpected answer", step="inflight", peer=host.peer)
        return answer

    def _query_floor(self, host: Host, query: FloorQuery) -> FloorAnswer:
        answer = self.peers.call_and_wait(host.peer, query, timeout_s=FLOOR_TIMEOUT_S)
        if not isinstance(answer, FloorAnswer):
            raise PeerError("unexpected answer", step="floor", peer=host.peer)
        return answer

    def _seeds(self) -> Iterable[Host]:
        url, timeout_s = self._platform_endpoint
        from_settings = [_named_seed(seed) for seed in self.settings.membership.seeds]
        try:
            listed = list_hosts(url=url, timeout_s=timeout_s)
        except PlatformError:
            return from_settings
        return [*from_settings, *(_listed_seed(host) for host in listed)]

    def _register(self) -> None:
        """Add this host to the platform's list, as soon as the platform answers."""
        me = self.me
        entry = ListedHost(
            name=me.name, zone=me.zone, region=me.region, peer=me.peer, http=me.http
        )
        url, timeout_s = self._platform_endpoint
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


def _listed_seed(listed: ListedHost) -> Host:
    """Return a join candidate; the platform's list holds no incarnations."""
    return Host(
        name=listed.name,
        incarnation=0,
        zone=listed.zone,
        region=listed.region,
        peer=listed.peer,
        http=listed.http,
    )


def _named_seed(address: str) -> Host:
    """Return a join candidate of which the settings hold only the address."""
    return Host(
        name=address, incarnation=0, zone="", region="", peer=address, http=address
    )


def _membership_settings(settings: NodeSettings) -> MembershipSettings:
    field_names = {field.name for field in dataclasses.fields(MembershipSettings)}
    membership = dataclasses.asdict(settings.membership)
    return MembershipSettings(
        **{name: value for name, value in membership.items() if name in field_names}
    )
