"""State of a gateway: configuration, upstreams, limits, and whether it is leaving."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from random import Random

from baobabwing.gateway.caller_limits import LimitsHistory
from baobabwing.gateway.decisions.policies import make_scheduler
from baobabwing.gateway.decisions.prompt_parts import PartQuarantine
from baobabwing.gateway.decisions.quarantine import Quarantine
from baobabwing.gateway.decisions.quotas import QuotaBook
from baobabwing.gateway.decisions.stored_software import HeldVersions, StoredSoftware
from baobabwing.gateway.decisions.stream_origins import SoftwareHistory
from baobabwing.gateway.events import (
    CONFIGURATION_TAKEN,
    LIMIT_CHANGED,
    SHARE_CHANGED,
    UPSTREAM_SAID_LEAVING,
    UPSTREAM_START_REPLACED,
    UPSTREAMS_CHANGED,
    VERSIONS_HELD,
    VERSIONS_RELEASED,
)
from baobabwing.gateway.held_bytes import Cause, HeldBytes
from baobabwing.gateway.model import (
    EngineSpec,
    GatewayConfiguration,
    OrganisationSpec,
    RolloutOrder,
    UpstreamEntry,
)
from baobabwing.gateway.placement.cell_homes import CellPool
from baobabwing.gateway.placement.codec import name_crc
from baobabwing.gateway.placement.placer import Placer
from baobabwing.gateway.pool import Permits, PoolRuntime
from baobabwing.gateway.rollouts import Rollouts
from baobabwing.gateway.routing import RouteTable
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.gateway.shutdown import Shutdown
from baobabwing.reports.events import log

__all__ = ["GatewayState"]

# Leaving upstreams that are remembered; they end within seconds.
_MAX_LEAVING = 1024
# Pools of names that rows of upstreams bear and no configuration has named yet. Others
# get theirs with the configuration.
_MAX_UNCONFIGURED_POOLS = 256


class GatewayState:
    """The state that requests read, and that the store, peers and upstreams update.

    :param settings: the gateway's settings.
    :param rng: picks pools at random and breaks ties.
    :ivar table: routes of the configuration in force; ``None`` before the first.
    :ivar caller_limits: limits on callers' requests, in force now and before.
    :ivar shutdown: when this node stops, if it does.
    :ivar held_answers: bytes that are kept of upstreams' answers.
    :ivar held_requests: bytes that are kept of callers' requests.
    :ivar other_serves: returns whether another node accepts new callers.
    :ivar placer: places requests at upstreams; ``None`` before it is set.
    :ivar permits: grants the sends to upstreams with rate limits; ``None`` before it is
        set.
    :ivar on_pool: called with each pool whose upstreams or engine have been set.
    :ivar on_restarted: called with the entry of an upstream's previous incarnation
        once another one is listed.
    :ivar on_refusal: called with a pool with a limit on refusals, and the crc of its
        upstream that has refused a request.
    :ivar confirm_limits: waits until the aggregators have acknowledged this node's
        usage of limits, and returns whether they have.
    :ivar nodes: number of nodes that may be running, this one included.
    """

    def __init__(self, *, settings: GatewaySettings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.table: RouteTable | None = None
        self.caller_limits = LimitsHistory()
        self.held_answers = HeldBytes(
            cause=Cause.ANSWERS, max_bytes=settings.held_bytes // 2
        )
        self.held_requests = HeldBytes(
            cause=Cause.REQUESTS, max_bytes=settings.held_bytes // 2
        )
        self.quotas = QuotaBook(
            tolerance=settings.tolerance, now=time.monotonic(), rng=rng
        )
        self.quarantine = Quarantine()
        self.parts = PartQuarantine()
        self.rollouts = Rollouts(settings=settings, rng=rng)
        self.rollouts.on_change = lambda name: self._list_upstreams(self._pool(name))
        self.pools: dict[str, PoolRuntime] = {}
        self._unconfigured_pools = 0
        self.shutdown = Shutdown()
        self.other_serves: Callable[[], bool] = lambda: False
        self.placer: Placer | None = None
        self.permits: Permits | None = None
        self.on_pool: Callable[[CellPool], None] = lambda pool: None
        self.on_restarted: Callable[[UpstreamEntry], None] = lambda entry: None
        self.on_refusal: Callable[[PoolRuntime, int], None] = lambda pool, crc: None
        self.confirm_limits: Callable[[], Awaitable[bool]] = _never_confirmed
        self.nodes = 1
        self._reachable_nodes = 1
        self._entries: dict[str, tuple[UpstreamEntry, ...]] = {}
        self._leaving: OrderedDict[str, None] = OrderedDict()
        self._stored_versions: Mapping[str, frozenset[str]] = {}
        self._held: dict[str, HeldVersions] = {}
        self._release_timers: dict[str, asyncio.TimerHandle] = {}

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings of retry budgets, limits' tolerance and rollouts."""
        self.settings = settings
        for held in (self.held_answers, self.held_requests):
            held.max_bytes = settings.held_bytes // 2
        self.rollouts.settings = settings
        self.quotas.set_tolerance(settings.tolerance)
        for pool in self.pools.values():
            pool.scheduler.zone_price_s_per_mb = (
                settings.shared_machines.zone_price_s_per_mb
            )
            pool.budget.reload(
                ratio=settings.repeats.ratio,
                slack=settings.repeats.slack,
                window_s=settings.repeats.window_s,
                now=time.monotonic(),
            )

    @property
    def ready(self) -> bool:
        """Whether this node accepts new callers."""
        return self.table is not None and not self.leaving

    @property
    def leaving(self) -> bool:
        """Whether this node is shutting down."""
        return self.shutdown.began_at is not None

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.table.cfg.version if self.table else 0

    def take_configuration(self, cfg: GatewayConfiguration, *, source: str) -> bool:
        """Apply a configuration, unless it is not newer than the one in force.

        :param source: where it came from, for the log.
        :returns: whether it was applied.
        """
        if cfg.version <= self.version:
            return False
        log(CONFIGURATION_TAKEN, version=cfg.version, before=self.version, by=source)
        self.table = RouteTable(cfg=cfg)
        self.caller_limits.replace(cfg.limits, time.monotonic())
        self._configure_limits(cfg.organisations)
        for name in self.table.pools:
            self._pool(name)
        self._count_unconfigured()
        return True

    def _configure_limits(self, organisations: Iterable[OrganisationSpec]) -> None:
        for change in self.quotas.configure(organisations, time.monotonic()):
            log(
                LIMIT_CHANGED,
                organisation=change.after.name,
                rate_before=change.before.rate_per_s,
                burst_before=change.before.burst,
                **self.quotas.describe(change.after.name),
            )

    def take_upstreams(self, entries: Iterable[UpstreamEntry], *, source: str) -> None:
        """Replace the list of upstreams.

        :param entries: all upstreams of all pools.
        :param source: where they came from, for the log.
        """
        by_pool: dict[str, list[UpstreamEntry]] = {}
        instances: dict[str, str] = {}
        for entry in entries:
            by_pool.setdefault(entry.pool, []).append(entry)
            instances[entry.name] = entry.instance
        previous = [entry for listed in self._entries.values() for entry in listed]
        self._entries = {
            name: tuple(map(self._with_leaving, listed))
            for name, listed in by_pool.items()
        }
        for name in sorted(set(by_pool) | set(self.pools)):
            if self._may_have_pool(name):
                self._list_upstreams(self._pool(name))
        for entry in previous:
            if instances.get(entry.name, entry.instance) != entry.instance:
                log(UPSTREAM_START_REPLACED, upstream=entry.instance, by=source)
                self.on_restarted(entry)
        log(
            UPSTREAMS_CHANGED,
            by=source,
            listed={
                name: len(listed)
                for name, listed in self._entries.items()
                if name in self.pools
            },
            names_without_pool=len(set(by_pool) - set(self.pools)),
            draining=[
                entry.instance
                for listed in self._entries.values()
                for entry in listed
                if entry.draining
            ],
        )

    def take_rollout_orders(self, orders: Iterable[RolloutOrder]) -> None:
        """Apply the operator's present orders to roll out versions."""
        self.rollouts.take_orders(orders, self._engine, time.monotonic())

    def note_leaving(self, entry: UpstreamEntry, *, source: str) -> bool:
        """Record that an upstream has announced in an answer that it is leaving.

        The announcement is final for this incarnation, and overrides the lists of the
        store and of peers, which may be older for as long as the store is unavailable.

        :param source: how the announcement arrived, for the log.
        :returns: whether it is new.
        """
        if entry.instance in self._leaving:
            return False
        self._leaving[entry.instance] = None
        if len(self._leaving) > _MAX_LEAVING:
            self._leaving.popitem(last=False)
        log(
            UPSTREAM_SAID_LEAVING,
            upstream=entry.instance,
            pool=entry.pool,
            by=source,
            listed_draining=entry.draining,
        )
        self._entries[entry.pool] = tuple(
            map(self._with_leaving, self._entries.get(entry.pool, ()))
        )
        self._list_upstreams(self._pool(entry.pool))
        return True

    def _with_leaving(self, entry: UpstreamEntry) -> UpstreamEntry:
        """Return an entry, marked as draining if its upstream is leaving."""
        if entry.draining or entry.instance not in self._leaving:
            return entry
        return replace(entry, draining=True)

    def listed(self) -> set[tuple[str, str]]:
        """Return the addresses and instances of all listed upstreams."""
        return {
            (entry.address, entry.instance)
            for listed in self._entries.values()
            for entry in listed
        }

    def listed_versions(self) -> dict[str, frozenset[str]]:
        """Return the versions of the listed upstreams, by pool."""
        return {
            name: frozenset(entry.version for entry in listed)
            for name, listed in self._entries.items()
            if name in self.pools
        }

    def restore_software(
        self, stored: Iterable[StoredSoftware], store_s: float
    ) -> None:
        """Take over what was stored of the versions of pools before this node started.

        :param store_s: the store's monotonic clock now.
        """
        for one in stored:
            if not self._may_have_pool(one.pool):
                continue
            self._pool(one.pool).software.restore(
                one.recent(store_s), store_s - one.since_s, time.monotonic()
            )

    def set_stored_versions(self, stored: Mapping[str, frozenset[str]]) -> None:
        """Set the versions that the store names as listed, by pool.

        :param stored: pools of which nothing is known are left out.
        """
        before, self._stored_versions = self._stored_versions, stored
        for name in set(self.pools) & {*before, *stored}:
            if before.get(name) != stored.get(name):
                self._list_upstreams(self._pool(name))

    def lists_address(self, address: str) -> bool:
        """Whether an upstream with this address is listed."""
        return any(
            entry.address == address
            for listed in self._entries.values()
            for entry in listed
        )

    def set_nodes(self, heard: int, total: int) -> None:
        """Set the number of nodes, and with it this partition's share of limits.

        :param heard: nodes that report to the same aggregator, this one included.
        :param total: nodes that may be running, this one included.
        """
        total = max(total, 1)
        if (heard, total) != (self._reachable_nodes, self.nodes):
            log(SHARE_CHANGED, heard=heard, total=total, before=self._reachable_nodes)
        self._reachable_nodes, self.nodes = heard, total
        now = time.monotonic()
        for pool in self.pools.values():
            pool.budget.set_nodes(total, now)
            pool.rate_limits.set_share(self._share, now)
        share = self._share
        self.quotas.set_share(share, now, nodes=heard)

    @property
    def _share(self) -> float:
        """Part of the nodes that may be running that this node hears, itself included.

        Two parts of a fleet that is cut in two use no more than a limit together.
        """
        return min(self._reachable_nodes / self.nodes, 1.0)

    def pool(self, name: str) -> PoolRuntime:
        """Return a pool; create one without upstreams for an unknown name."""
        return self._pool(name)

    def pool_by_crc(self, crc: int) -> PoolRuntime | None:
        """Return the pool with this CRC-32 of its name; ``None`` if there is none."""
        return next(
            (pool for pool in self.pools.values() if pool.cells.crc == crc), None
        )

    def _may_have_pool(self, name: str) -> bool:
        """Whether there is a pool of this name, or room for one that nobody uses."""
        if name in self.pools or self._is_configured(name):
            return True
        return self._unconfigured_pools < _MAX_UNCONFIGURED_POOLS

    def _count_unconfigured(self) -> None:
        self._unconfigured_pools = sum(
            not self._is_configured(name) for name in self.pools
        )

    def _is_configured(self, name: str) -> bool:
        return self.table is not None and name in self.table.pools

    def _pool(self, name: str) -> PoolRuntime:
        runtime = self.pools.get(name)
        engine = self._engine(name)
        if runtime is None:
            runtime = PoolRuntime(
                name=name,
                scheduler=make_scheduler(
                    self.settings.policy, engine=engine, rng=self.rng
                ),
                budget=self.settings.budget(nodes=self.nodes, now=time.monotonic()),
                placer=self.placer,
                software=SoftwareHistory(complete=self.settings.first_start),
                share_plain_slots=self.settings.shared_machines.share_plain_slots,
                rng=self.rng,
            )
            runtime.scheduler.zone_price_s_per_mb = (
                self.settings.shared_machines.zone_price_s_per_mb
            )
            shared = self.settings.shared_machines
            runtime.scheduler.serve_in_time = shared.serve_in_time
            runtime.permits = self.permits
            runtime.rate_limits.set_share(self._share, time.monotonic())
            runtime.on_refusal = lambda upstream: self.on_refusal(runtime, upstream)
            runtime.place_aside = lambda request: self.rollouts.place_begun(
                name, request, time.monotonic(), nodes=self.nodes
            )
            self.pools[name] = runtime
            self._count_unconfigured()
            self._list_upstreams(runtime)
        if engine is not None and runtime.scheduler.engine != engine:
            runtime.scheduler.set_engine(engine)
            self.rollouts.set_engine(name, engine)
            self.on_pool(runtime.cells)
        return runtime

    def _engine(self, name: str) -> EngineSpec | None:
        spec = self.table.pools.get(name) if self.table else None
        return spec.engine if spec else None

    def _list_upstreams(self, pool: PoolRuntime) -> None:
        name = pool.cells.name
        listed = self._entries.get(name, ())
        pool.software.set_listed((entry.version for entry in listed), time.monotonic())
        entries = self.rollouts.list_upstreams(name, self._without_held(name, listed))
        pool.rate_limits.retain(name_crc(entry.instance) for entry in listed)
        pool.scheduler.set_upstreams(entries)
        pool.cells.set_upstreams(entries)
        self.on_pool(pool.cells)
        pool.pump()

    def _without_held(
        self, name: str, listed: Sequence[UpstreamEntry]
    ) -> Sequence[UpstreamEntry]:
        """Return the upstreams of a pool whose versions are not held."""
        if self.table is None or name not in self.table.resumable_pools:
            return listed
        held, now = self._held.setdefault(name, HeldVersions()), time.monotonic()
        had = bool(held)
        stored = self._stored_versions.get(name, frozenset())
        released = held.update(
            {entry.version for entry in listed},
            {entry.version for entry in listed if not entry.draining},
            stored,
            now,
        )
        if released:
            log(
                VERSIONS_RELEASED,
                pool=name,
                versions=sorted(released),
                stored=released <= stored,
            )
        if not held:
            return listed
        if not had:
            log(VERSIONS_HELD, pool=name, stored=sorted(stored))
        self._schedule_release(name, held.release_at - now)
        return [entry for entry in listed if entry.version not in held]

    def _schedule_release(self, name: str, delay_s: float) -> None:
        timer = self._release_timers.get(name)
        if timer is not None:
            timer.cancel()
        self._release_timers[name] = asyncio.get_running_loop().call_later(
            delay_s, lambda: self._list_upstreams(self._pool(name))
        )


async def _never_confirmed() -> bool:
    return False
