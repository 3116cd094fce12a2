"""What one gateway believes: configuration, upstreams, peers, and its own phase."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from random import Random

from baobabwing.gateway.decisions.policies import make_scheduler
from baobabwing.gateway.decisions.quarantine import Quarantine
from baobabwing.gateway.decisions.quotas import QuotaBook
from baobabwing.gateway.events import (
    CONFIGURATION_TAKEN,
    LIMIT_CHANGED,
    SHARE_CHANGED,
    UPSTREAM_SAID_LEAVING,
    UPSTREAM_START_REPLACED,
    UPSTREAMS_CHANGED,
)
from baobabwing.gateway.model import (
    GatewayConfiguration,
    OrganisationSpec,
    UpstreamEntry,
)
from baobabwing.gateway.placement.asking import Placer
from baobabwing.gateway.placement.homes import CellPool
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.routing import RouteTable
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.reports.events import log

__all__ = ["GatewayState"]

# Upstreams that said that they leave and are remembered; they are gone within seconds.
_MOST_LEAVING = 1024


class GatewayState:
    """Beliefs of one gateway, changed by those who watch and read by requests.

    :param settings: the gateway's settings.
    :param rng: draws pools and breaks ties.
    :ivar confirm_limits: waits until others know what this node has admitted, and
        returns whether they do.
    :ivar on_restarted: called with the entry of an upstream that has started again.
    """

    def __init__(self, *, settings: GatewaySettings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.table: RouteTable | None = None
        self.quotas = QuotaBook(
            tolerance=settings.tolerance, now=time.monotonic(), rng=rng
        )
        self.quarantine = Quarantine()
        self.pools: dict[str, PoolRuntime] = {}
        self.leaving_since: float | None = None
        self.placer: Placer | None = None
        self.on_pool: Callable[[CellPool], None] = lambda pool: None
        self.on_restarted: Callable[[UpstreamEntry], None] = lambda entry: None
        self.confirm_limits: Callable[[], Awaitable[bool]] = _confirmed_by_nobody
        self.nodes = 1
        self._heard = 1
        self._entries: dict[str, tuple[UpstreamEntry, ...]] = {}
        self._leaving: OrderedDict[str, None] = OrderedDict()

    def reload(self, settings: GatewaySettings) -> None:
        """Take changed bounds on second tries and limits."""
        self.settings = settings
        self.quotas.reload(settings.tolerance)
        for pool in self.pools.values():
            pool.budget.reload(
                ratio=settings.repeats.ratio,
                slack=settings.repeats.slack,
                window_s=settings.repeats.window_s,
            )

    @property
    def ready(self) -> bool:
        """Whether this node takes new callers."""
        return self.table is not None and self.leaving_since is None

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.table.cfg.version if self.table else 0

    def take_configuration(self, cfg: GatewayConfiguration, *, source: str) -> bool:
        """Put a configuration in force, unless it is older than the present one.

        :param source: who told of it, for the log.
        """
        if cfg.version <= self.version:
            return False
        log(CONFIGURATION_TAKEN, version=cfg.version, before=self.version, by=source)
        self.table = RouteTable(cfg=cfg)
        self._configure_limits(cfg.organisations)
        for name in self.table.pools:
            self._pool(name)
        return True

    def _configure_limits(self, organisations: Iterable[OrganisationSpec]) -> None:
        for change in self.quotas.configure(organisations, time.monotonic()):
            log(
                LIMIT_CHANGED,
                organisation=change.now.name,
                rate_before=change.before.rate_per_s,
                burst_before=change.before.burst,
                **self.quotas.describe(change.now.name),
            )

    def take_upstreams(self, entries: Iterable[UpstreamEntry], *, source: str) -> None:
        """Take the whole list of upstreams."""
        by_pool: dict[str, list[UpstreamEntry]] = {}
        instances: dict[str, str] = {}
        for entry in entries:
            by_pool.setdefault(entry.pool, []).append(entry)
            instances[entry.name] = entry.instance
        before = [entry for some in self._entries.values() for entry in some]
        self._entries = {
            name: tuple(map(self._as_known, some)) for name, some in by_pool.items()
        }
        for name in set(by_pool) | set(self.pools):
            self._list(self._pool(name))
        for entry in before:
            if instances.get(entry.name, entry.instance) != entry.instance:
                log(UPSTREAM_START_REPLACED, upstream=entry.instance, by=source)
                self.on_restarted(entry)
        log(
            UPSTREAMS_CHANGED,
            by=source,
            listed={name: len(some) for name, some in self._entries.items()},
            draining=[
                entry.instance
                for some in self._entries.values()
                for entry in some
                if entry.draining
            ],
        )

    def note_leaving(self, entry: UpstreamEntry, *, source: str) -> bool:
        """Take that an upstream said in an answer that it is leaving.

        That is the newest word, and its last: what the store or peers list may be from
        before it, for as long as the store is away. An upstream that starts again is
        another incarnation.

        :param source: who heard it, for the log.
        :returns: whether it is news.
        """
        if entry.instance in self._leaving:
            return False
        self._leaving[entry.instance] = None
        if len(self._leaving) > _MOST_LEAVING:
            self._leaving.popitem(last=False)
        log(
            UPSTREAM_SAID_LEAVING,
            upstream=entry.instance,
            pool=entry.pool,
            by=source,
            listed_draining=entry.draining,
        )
        self._entries[entry.pool] = tuple(
            map(self._as_known, self._entries.get(entry.pool, ()))
        )
        self._list(self._pool(entry.pool))
        return True

    def _as_known(self, entry: UpstreamEntry) -> UpstreamEntry:
        """Return an entry with what its upstream itself has said since."""
        if entry.draining or entry.instance not in self._leaving:
            return entry
        return replace(entry, draining=True)

    def listed(self) -> set[tuple[str, str]]:
        """Return address and instance of all listed upstreams."""
        return {
            (entry.address, entry.instance)
            for some in self._entries.values()
            for entry in some
        }

    def set_nodes(self, heard: int, total: int) -> None:
        """Take how many nodes there are, and how many are heard, with this one."""
        total = max(total, 1)
        if (heard, total) != (self._heard, self.nodes):
            log(SHARE_CHANGED, heard=heard, total=total, before=self._heard)
        self._heard, self.nodes = heard, total
        share = min(heard / total, 1.0)
        self.quotas.set_share(share, time.monotonic(), nodes=heard)

    def pool(self, name: str) -> PoolRuntime:
        """Return a pool; one that nobody told of has no upstreams."""
        return self._pool(name)

    def _pool(self, name: str) -> PoolRuntime:
        found = self.pools.get(name)
        spec = self.table.pools.get(name) if self.table else None
        engine = spec.engine if spec else None
        if found is None:
            found = PoolRuntime(
                name=name,
                scheduler=make_scheduler(
                    self.settings.policy, engine=engine, rng=self.rng
                ),
                budget=self.settings.budget(),
                placer=self.placer,
            )
            self.pools[name] = found
            self._list(found)
        if engine is not None and found.scheduler.engine != engine:
            found.scheduler.set_engine(engine)
            self.on_pool(found.cells)
        return found

    def _list(self, pool: PoolRuntime) -> None:
        entries = self._entries.get(pool.cells.name, ())
        pool.scheduler.list_upstreams(entries)
        pool.cells.list_upstreams(entries)
        self.on_pool(pool.cells)
        pool.pump()


async def _confirmed_by_nobody() -> bool:
    return False
