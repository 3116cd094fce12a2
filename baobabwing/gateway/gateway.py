"""A gateway process: wiring of its parts, startup and graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import time
from collections.abc import Awaitable, Callable
from random import Random

from baobabwing.gateway.caller_server import CallerServer
from baobabwing.gateway.connection_bounds import ConnectionBounds, descriptor_limit
from baobabwing.gateway.crash_reports import CrashReportExchange
from baobabwing.gateway.directory import caller_addresses
from baobabwing.gateway.document_distribution import (
    Document,
    DocumentDistribution,
    DocumentName,
)
from baobabwing.gateway.events import (
    GATEWAY_LEAVING,
    GATEWAY_STARTED,
    GATEWAY_STOPPED,
    SETTINGS_RELOADED,
)
from baobabwing.gateway.forwarding import Forwarder
from baobabwing.gateway.held_bytes import Cause
from baobabwing.gateway.limits_exchange import LimitsExchange
from baobabwing.gateway.loop_delay import LoopDelayMonitor
from baobabwing.gateway.members import Members
from baobabwing.gateway.metrics import GatewayMetrics
from baobabwing.gateway.part_reports import PartReportExchange
from baobabwing.gateway.placement.cell_homes import CellHomes, CellPool
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.placer import Placer
from baobabwing.gateway.plain_http import PlainAnswer, PlainServer
from baobabwing.gateway.ports import PortOpener
from baobabwing.gateway.refusal_notices import RefusalNotices
from baobabwing.gateway.request_recorder import RequestRecorder
from baobabwing.gateway.rollout_exchange import RolloutExchange
from baobabwing.gateway.send_permits import SendPermits
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.gateway.state import GatewayState
from baobabwing.gateway.stream_origins import StreamOrigins
from baobabwing.gateway.supervision import start_tasks, supervise
from baobabwing.gateway.tunnels import TunnelServer
from baobabwing.gateway.unreadable_rows import UnreadableRows
from baobabwing.gateway.upstream_connections import ConnectionPool
from baobabwing.gateway.upstream_paths import UpstreamPaths
from baobabwing.reports.events import log

__all__ = ["Gateway"]

_SWEEP_INTERVAL_S = 1.0
# A node whose timers are this late carries no more tunnels for others.
_MAX_RELAY_LATE_S = 0.1
_DRAIN_CHECK_INTERVAL_S = 0.1
_LAST_CHECK_INTERVAL_S = 0.01
# Callers cache an address answer for at most this many times the stated time.
_ADDRESS_KEEP_FACTOR = 3
# Time reserved at the end of a shutdown to abort open connections and exit, and the
# parts of it in which requests get their failures if timers are late, and in which the
# last bytes of answers are sent.
_STOP_MARGIN_S = 0.4
_LATE_ANSWERS_S = 0.1
_FLUSH_S = 0.2
# Time beyond that of a stop for which a start waits for ports: a process before this
# one may be ending all the while.
_PORTS_MARGIN_S = 2.0


class Gateway:
    """One gateway and all its parts.

    :param settings: addresses, timeouts and limits.
    :param rng: picks pools at random and breaks ties.
    :param on_document: called with documents from a peer that are newer than those
        read from the store.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        rng: Random,
        on_document: Callable[[DocumentName, Document], None] = lambda name, doc: None,
    ) -> None:
        self.settings = settings
        self._rng = rng
        self._bounds = _bounds(settings)
        self.state = GatewayState(settings=settings, rng=rng)
        self.members = Members(settings=settings, work=settings.work)
        self.link = GatewayLink()
        self._homes = CellHomes(link=self.link, members=self.members, rng=rng)
        self._loop_delay_monitor = LoopDelayMonitor()
        self._placer = Placer(
            link=self.link,
            members=self.members,
            rng=rng,
            watch=self._loop_delay_monitor,
        )
        self.state.placer = self._placer
        self.state.other_serves = lambda: bool(self.members.others())
        self.metrics = GatewayMetrics()
        for held in (self.state.held_answers, self.state.held_requests):
            held.on_refused = self._count_refused_bytes
        self.unreadable_rows = UnreadableRows(counter=self.metrics.unreadable_rows)
        self._permits = SendPermits(
            state=self.state,
            members=self.members,
            link=self.link,
            metrics=self.metrics,
        )
        self.state.permits = self._permits
        self.state.on_pool = self._list_pool
        self._homes.on_refused_for_in_time = self._count_refused_for_in_time
        self._homes.on_leaving = lambda entry: self.state.note_leaving(
            entry, source="peer"
        )
        self._limits = LimitsExchange(
            state=self.state, members=self.members, link=self.link, rng=rng
        )
        self.state.confirm_limits = self._limits.confirm
        self.findings = CrashReportExchange(
            book=self.state.quarantine, members=self.members, link=self.link
        )
        self.part_reports = PartReportExchange(
            book=self.state.parts, members=self.members, link=self.link
        )
        self.state.on_refusal = RefusalNotices(
            state=self.state, members=self.members, link=self.link
        ).send
        self.rollout_exchange = RolloutExchange(
            rollouts=self.state.rollouts, members=self.members, link=self.link
        )
        self.origins = StreamOrigins(
            state=self.state,
            members=self.members,
            link=self.link,
            list_checked_at=lambda: self.sharing.list_checked_at,
            list_followed_since=lambda: self.sharing.list_followed_since,
            check_list=lambda: self.sharing.on_check(),
            store_followers=lambda: self.sharing.followers,
        )
        self.paths = UpstreamPaths(
            relays=self.members.others,
            withdrawn=self.members.withdrawn,
            zone=settings.zone,
            rng=rng,
            loop_late_s=lambda: self._loop_delay_monitor.late_s,
        )
        self.connections = ConnectionPool(
            names=settings.names,
            paths=self.paths,
            listed=self.state.listed,
            withdrawn=self.members.withdrawn,
        )
        self.members.on_change(self.connections.leave_withdrawn)
        self.tunnels = TunnelServer(
            connect=self.paths.connect_for_peer,
            listed=self.state.lists_address,
            is_late=lambda: self._loop_delay_monitor.late_s > _MAX_RELAY_LATE_S,
            bound=lambda: self._bounds.tunnels,
        )
        self.state.on_restarted = lambda entry: self.connections.abandon(
            entry.address, entry.instance
        )
        forwarder = Forwarder(
            state=self.state,
            connections=self.connections,
            recorder=RequestRecorder(state=self.state, metrics=self.metrics),
            origins=self.origins,
            parts=self.part_reports,
        )
        self.callers = CallerServer(
            state=self.state,
            forwarder=forwarder,
            bound=lambda: self._bounds.callers,
        )
        self.sharing = DocumentDistribution(
            members=self.members, on_document=on_document
        )
        self._servers: list[PlainServer] = []
        self._leave_requested = asyncio.Event()
        self._ports = PortOpener(
            patience_s=settings.stop_s + _PORTS_MARGIN_S,
            given_up=self._leave_requested,
        )
        self._is_open = False
        self._told_to_leave_at: float | None = None

    async def serve(
        self,
        name: str,
        address: str,
        answer: Callable[..., Awaitable],
        *,
        bound: Callable[[], int] | None = None,
    ) -> None:
        """Listen on one more address for requests without a body.

        :param name: of the port, for the log.
        :param answer: called with method and target; returns a ``PlainAnswer``.
        :param bound: returns the most connections that are kept.
        """
        server = PlainServer(
            answer=answer, name=name, bound=bound or (lambda: self._bounds.others)
        )
        if await self._ports.open(name, address, lambda: server.start(address)):
            self._servers.append(server)

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; addresses stay until the next start."""
        before = dataclasses.asdict(self.settings)
        changed = [
            name
            for name, value in dataclasses.asdict(settings).items()
            if value != before[name]
        ]
        log(SETTINGS_RELOADED, changed=changed)
        self.settings = dataclasses.replace(
            self.settings,
            stop_s=settings.stop_s,
            address_keep_s=settings.address_keep_s,
            max_descriptors=settings.max_descriptors,
            repeats=settings.repeats,
            tolerance=settings.tolerance,
            rollouts=settings.rollouts,
            shared_machines=settings.shared_machines,
            held_bytes=settings.held_bytes,
        )
        self._bounds = _bounds(self.settings)
        self.state.reload(self.settings)

    def leave(self, told_at: float | None = None) -> None:
        """Begin a graceful shutdown.

        :param told_at: when this node was told to at the earliest, by the monotonic
            clock; now by default. A busy process handles a signal late, and the time
            that the node has runs from the signal.
        """
        if self._told_to_leave_at is None:
            self._told_to_leave_at = time.monotonic() if told_at is None else told_at
        self.members.leave()
        self._leave_requested.set()

    @property
    def ran_at(self) -> float:
        """When this node's event loop last ran without a delay."""
        return self._loop_delay_monitor.ran_at

    @property
    def ready(self) -> bool:
        """Whether this node accepts new callers."""
        return self._is_open and self.state.ready

    async def open(self) -> None:
        """Open all ports, and join the other nodes once they are open.

        Until then no answer names this node, and others do not know that it runs.

        :raises PortUnavailableError: if one can't be opened in time.
        """
        cfg = self.settings
        await self._ports.open("work", cfg.work, lambda: self.link.start(cfg.work))
        await self._ports.open(
            "tunnels", cfg.work, lambda: self.tunnels.start(cfg.work)
        )
        await self._ports.open("membership", cfg.peers, self._bind_members)
        if cfg.readiness:
            await self.serve("readiness", cfg.readiness, self._answer_ready)
        await self.serve(
            "peers",
            cfg.peers,
            self.sharing.answer,
            bound=lambda: self._bounds.peers,
        )
        if cfg.metrics:
            await self.serve("metrics", cfg.metrics, self._answer_metrics)
        self._is_open = await self._ports.open(
            "callers", cfg.callers, lambda: self.callers.start(cfg.callers)
        )
        if self._is_open:
            self.members.start()

    async def run(self) -> None:
        """Serve until :meth:`leave` is called, then drain and stop."""
        if not self._is_open:
            await self.open()
        if not self._is_open:
            self.stop()
            return
        tasks = start_tasks(
            {
                "loop delay": self._loop_delay_monitor.run,
                "members": self.members.run,
                "homes": self._homes.run,
                "placer": self._placer.run,
                "limits": self._limits.run,
                "findings": self.findings.run,
                "part reports": self.part_reports.run,
                "rollouts": self.rollout_exchange.run,
                "stream origins": self.origins.run,
                "stream archive": self.origins.archive.run,
                "documents": self.sharing.run,
                "sweep": self._sweep,
            }
        )
        log(
            GATEWAY_STARTED,
            name=self.settings.name,
            callers=self.settings.callers,
            first_start=self.settings.first_start,
        )
        await self._leave_requested.wait()
        await self._drain_in_time()
        for task in tasks:
            task.cancel()
        self.stop()
        await self.callers.flush(_FLUSH_S)

    def stop(self) -> None:
        """Abort open connections and stop all parts."""
        now = time.monotonic()
        log(
            GATEWAY_STOPPED,
            name=self.settings.name,
            after_ms=round(1000 * (now - (self.state.shutdown.began_at or now)), 1),
            open_requests=self.callers.open_requests,
            reading=self.callers.reading,
            unsent=self.callers.unsent,
        )
        self.callers.stop()
        self.tunnels.stop()
        for server in self._servers:
            server.stop()
        self.members.stop()
        self.link.stop()

    def addresses_for(self, zone: str) -> list[str]:
        """Return the addresses that a caller in an availability zone should use."""
        return caller_addresses(
            self.settings,
            ready=self.ready,
            others=self.members.others(),
            zone=zone,
            rng=self._rng,
        )

    def _list_pool(self, pool: CellPool) -> None:
        self._homes.list_pool(pool)
        self._placer.list_pool(pool)
        self._permits.update_issuers()
        self.origins.list_pool(pool.crc)

    async def _bind_members(self) -> None:
        self.members.bind()

    async def _drain_in_time(self) -> None:
        """Drain; after an error again, while the shutdown lasts."""
        until = self._told_to_leave_at + self.settings.stop_s - _FLUSH_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(until - time.monotonic()):
                await supervise("drain", self._drain)

    async def _drain(self) -> None:
        """Keep serving while callers may still use this address, then return.

        Callers cache address answers. A node that closed at once would break their
        connections; while it drains, each answer asks the caller to close.
        """
        began = self._told_to_leave_at
        shutdown = self.state.shutdown
        shutdown.begin(
            began,
            lapses_at=began + _ADDRESS_KEEP_FACTOR * self.settings.address_keep_s,
            stops_at=began + self.settings.stop_s - _STOP_MARGIN_S,
        )
        self.tunnels.accepting = False
        log(GATEWAY_LEAVING, open_requests=self.callers.open_requests)
        while time.monotonic() < shutdown.stops_at:
            idle = not self.callers.busy and not self.tunnels.active
            if idle and time.monotonic() >= shutdown.lapses_at:
                break
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)
        self.callers.close_idle()
        # A request may have arrived since the last check.
        while self.callers.busy and time.monotonic() < shutdown.stops_at:
            await asyncio.sleep(_LAST_CHECK_INTERVAL_S)
        await self._send_last_failures()

    async def _send_last_failures(self) -> None:
        """Wait until requests without an answer have got their failures.

        If this process is late, their time limits expire with the shutdown, and some
        have just been received, or arrived behind others on their connections.
        """
        until = time.monotonic() + _LATE_ANSWERS_S
        await asyncio.sleep(_LAST_CHECK_INTERVAL_S)
        while time.monotonic() < until and (
            self.state.shutdown.unanswered or self.callers.reading
        ):
            await asyncio.sleep(_LAST_CHECK_INTERVAL_S)

    def _count_refused_for_in_time(self, pool: str, count: int) -> None:
        self.metrics.refused_for_in_time.labels(pool).inc(count)

    def _count_refused_bytes(self, cause: Cause) -> None:
        self.metrics.refused_bytes.labels(cause).inc()

    async def _sweep(self) -> None:
        """Close idle connections that are stale or lead to unlisted upstreams."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            listed = self.state.listed()
            self.connections.retain(listed)
            self._permits.forget_unlimited()
            self.paths.forget({address for address, _ in listed})

    async def _answer_metrics(self, method: str, target: str) -> PlainAnswer:
        metrics = self.metrics
        metrics.open_requests.set(self.callers.open_requests)
        metrics.caller_connections.set(self.callers.open_connections)
        metrics.caller_connections_bound.set(self._bounds.callers)
        metrics.queued.set(sum(pool.queued for pool in self.state.pools.values()))
        metrics.limits_share.set(self.state.quotas.share)
        metrics.version.set(self.state.version)
        metrics.refusal_limits.set(
            sum(
                pool.scheduler.refusal_limit.in_force
                for pool in self.state.pools.values()
            )
        )
        metrics.rate_limits.set(
            sum(len(pool.rate_limits) for pool in self.state.pools.values())
        )
        metrics.held_bytes.values = {
            (held.cause, kind): size
            for held in (self.state.held_answers, self.state.held_requests)
            for kind, size in held.sizes.items()
        }
        metrics.reported_work.values = {
            (name, kind): value
            for name, pool in self.state.pools.items()
            for kind, value in pool.reported_work().items()
        }
        metrics.recorded_pools.set(self.origins.recorded_pools)
        metrics.stream_records.set(self.origins.records)
        metrics.blocked_paths.set(self.paths.blocked)
        metrics.tunnels.set(self.tunnels.active)
        metrics.peers.set(len(self.members.others()))
        metrics.work_bytes.set(self.link.sent_bytes)
        metrics.loop_late.set(self._loop_delay_monitor.late_s)
        metrics.home_answer.set(self._placer.slowest_answer_s)
        metrics.store_unavailable.set(self.sharing.store_away)
        metrics.store_era.set(self.sharing.position(DocumentName.UPSTREAMS).era)
        metrics.rollouts.set(self.state.rollouts.running)
        metrics.quarantined.set(self.state.quarantine.held(time.monotonic()))
        metrics.held_parts.set(len(self.state.parts.held()))
        # The first rendering imports a library, which takes 0.2 s on half a core; in a
        # thread it does not block requests.
        body = await asyncio.to_thread(metrics.render)
        return PlainAnswer(status=200, body=body, content_type=b"text/plain")

    async def _answer_ready(self, method: str, target: str) -> PlainAnswer:
        status = 200 if self.ready else 503
        return PlainAnswer(
            status=status, body=json.dumps({"ready": self.ready}).encode()
        )


def _bounds(settings: GatewaySettings) -> ConnectionBounds:
    return ConnectionBounds.within(descriptor_limit(settings.max_descriptors))
