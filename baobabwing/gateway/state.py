"""What one gateway believes: configuration, upstreams, peers, and its own phase."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from random import Random

from baobabwing.gateway.decisions.policies import make_scheduler
from baobabwing.gateway.decisions.quotas import QuotaBook
from baobabwing.gateway.decisions.repeats import RepeatBudget
from baobabwing.gateway.decisions.scheduling import Ask, Grant, PoolScheduler
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.events import CONFIGURATION_TAKEN, UPSTREAMS_CHANGED
from baobabwing.gateway.model import GatewayConfiguration, UpstreamEntry
from baobabwing.gateway.routing import RouteTable
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.reports.events import log

__all__ = ["GatewayState", "PoolRuntime"]


class PoolRuntime:
    """One pool at this node: its scheduler, and the requests that wait for it.

    :param on_load: called with an upstream at which this node's load changed.
    """

    def __init__(
        self,
        *,
        scheduler: PoolScheduler,
        budget: RepeatBudget,
        on_load: Callable[[UpstreamTrack], None],
    ) -> None:
        self.scheduler = scheduler
        self.budget = budget
        self.on_load = on_load
        self._waiters: dict[int, asyncio.Future[Grant]] = {}

    async def place(self, ask: Ask) -> Grant:
        """Wait for a place at an upstream.

        :raises TimeoutError: if there was none before the request's deadline.
        """
        fut: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        self._waiters[ask.number] = fut
        self.scheduler.submit(ask)
        self.pump()
        try:
            async with asyncio.timeout_at(ask.deadline_at):
                return await asyncio.shield(fut)
        except (asyncio.CancelledError, TimeoutError):
            # The place may have been given in the very moment the caller left.
            if fut.done():
                self.free(fut.result())
            raise
        finally:
            self._waiters.pop(ask.number, None)
            self.scheduler.withdraw(ask)

    def move(self, ask: Ask, than: UpstreamTrack) -> Grant | None:
        """Place a running request at a much faster upstream, if one is free."""
        grant = self.scheduler.faster(ask, than, time.monotonic())
        if grant is not None:
            self.on_load(grant.track)
        return grant

    def free(self, grant: Grant) -> None:
        """Give a place back and hand it on."""
        self.on_load(grant.track)
        grant.track.end(grant.ask.number)
        self.pump()

    def first_event(self, grant: Grant) -> None:
        """Note that a request's prompt has been read."""
        grant.track.first_event(grant.ask.number)
        self.on_load(grant.track)

    def pump(self) -> None:
        """Place what waits, where there is room now."""
        for grant in self.scheduler.grants(time.monotonic()):
            self.on_load(grant.track)
            fut = self._waiters.get(grant.ask.number)
            if fut is not None and not fut.done():
                fut.set_result(grant)
            else:
                grant.track.end(grant.ask.number)

    @property
    def queued(self) -> int:
        """Requests that wait for a place."""
        return len(self.scheduler.waiting)


class GatewayState:
    """Beliefs of one gateway, changed by those who watch and read by requests.

    :param settings: the gateway's settings.
    :param rng: draws pools and breaks ties.
    """

    def __init__(self, *, settings: GatewaySettings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.table: RouteTable | None = None
        self.quotas = QuotaBook(tolerance=settings.tolerance, now=time.monotonic())
        self.pools: dict[str, PoolRuntime] = {}
        self.leaving_since: float | None = None
        self.on_load: Callable[[UpstreamTrack], None] = lambda track: None
        self.nodes = 1
        self._entries: dict[str, tuple[UpstreamEntry, ...]] = {}

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
        self.quotas.configure(cfg.organisations, time.monotonic())
        for name in self.table.pools:
            self._pool(name)
        return True

    def take_upstreams(self, entries: Iterable[UpstreamEntry], *, source: str) -> None:
        """Take the whole list of upstreams."""
        by_pool: dict[str, list[UpstreamEntry]] = {}
        for entry in entries:
            by_pool.setdefault(entry.pool, []).append(entry)
        self._entries = {name: tuple(some) for name, some in by_pool.items()}
        for name in set(by_pool) | set(self.pools):
            self._pool(name).scheduler.list_upstreams(self._entries.get(name, ()))
            self.pools[name].pump()
        log(
            UPSTREAMS_CHANGED,
            by=source,
            listed={name: len(some) for name, some in self._entries.items()},
            draining=[
                entry.instance
                for some in by_pool.values()
                for entry in some
                if entry.draining
            ],
        )

    def listed(self) -> set[tuple[str, str]]:
        """Return address and instance of all listed upstreams."""
        return {
            (entry.address, entry.instance)
            for some in self._entries.values()
            for entry in some
        }

    def set_nodes(self, heard: int, total: int) -> None:
        """Take how many nodes there are, and how many are heard, with this one."""
        self.nodes = max(total, 1)
        self.quotas.set_share(min(heard / self.nodes, 1.0), time.monotonic())

    def pool(self, name: str) -> PoolRuntime:
        """Return a pool; one that nobody told of has no upstreams."""
        return self._pool(name)

    def _pool(self, name: str) -> PoolRuntime:
        found = self.pools.get(name)
        spec = self.table.pools.get(name) if self.table else None
        engine = spec.engine if spec else None
        if found is None:
            found = PoolRuntime(
                scheduler=make_scheduler(
                    self.settings.policy, engine=engine, rng=self.rng
                ),
                budget=self.settings.budget(),
                on_load=lambda track: self.on_load(track),
            )
            self.pools[name] = found
            found.scheduler.list_upstreams(self._entries.get(name, ()))
        if engine is not None and found.scheduler.engine != engine:
            found.scheduler.set_engine(engine)
        return found
