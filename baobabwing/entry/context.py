"""Components of the node that serve calls, and lookups in its configuration."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from baobabwing.brands.catalogue import Organisation
from baobabwing.entry.credentials import CredentialIndex
from baobabwing.entry.held_prompts import HeldPrompts
from baobabwing.entry.open_calls import OpenCalls
from baobabwing.exceptions import RequestError
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView
from baobabwing.homes.limits import LimitEnforcer
from baobabwing.homes.permits import PermitClient
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.cell import Cell
from baobabwing.reports.metrics import NodeMetrics
from baobabwing.requests.claims import ClaimService
from baobabwing.requests.registry import RequestRegistry
from baobabwing.requests.shared_retry_budgets import SharedRetryBudgets
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.routes import resolve_model
from baobabwing.settings.schema import NodeSettings

__all__ = ["Catalogue", "EntryContext", "Readiness"]


class Catalogue:
    """Indexes for lookups in one configuration.

    :param cfg: the configuration in force.
    """

    def __init__(self, *, cfg: Configuration) -> None:
        self.cfg = cfg
        self.credentials = CredentialIndex(cfg=cfg)
        self._organisations = {entry.name: entry for entry in cfg.organisations}
        self._pools = {pool.name: pool for pool in cfg.pools}
        self._by_model = {
            model: pool
            for pool in cfg.pools
            if pool.kind is PoolKind.ENGINE
            for model in pool.models
        }
        self._upstreams = {entry.name: entry for entry in cfg.upstreams}
        self._members: dict[str, tuple[Upstream, ...]] = {
            pool.name: tuple(
                entry for entry in cfg.upstreams if entry.pool == pool.name
            )
            for pool in cfg.pools
        }

    def resolve_model(self, brand: str, model: str) -> str:
        """Return the model that serves a model name for callers of a brand."""
        return resolve_model(self.cfg, brand=brand, model=model)

    def pool_of_model(self, model: str) -> Pool:
        """Return the engine pool that serves a model.

        :raises RequestError: 404 if there is none.
        """
        pool = self._by_model.get(model)
        if pool is None:
            raise RequestError(
                "no pool serves this model",
                status=404,
                code="unknown_model",
                field="model",
            )
        return pool

    def service_pool(self, name: str) -> Pool:
        """Return a pool of plain services.

        :raises RequestError: 404 if there is none of this name.
        """
        pool = self._pools.get(name)
        if pool is None or pool.kind is not PoolKind.SERVICE:
            raise RequestError(
                "no such pool of services",
                status=404,
                code="unknown_pool",
                field="path",
            )
        return pool

    def organisation(self, name: str) -> Organisation | None:
        """Return an organisation by name, or ``None``."""
        return self._organisations.get(name)

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream by name, or ``None``."""
        return self._upstreams.get(name)

    def upstreams_of(self, pool: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a pool."""
        return self._members.get(pool, ())


class Readiness:
    """Whether the node accepts new requests, with the reasons if it does not."""

    def __init__(self) -> None:
        self._reasons: set[str] = {"starting"}
        self._lock = threading.Lock()

    def add_reason(self, reason: str) -> None:
        """Add a reason to refuse new requests."""
        with self._lock:
            self._reasons.add(reason)

    def remove_reason(self, reason: str) -> None:
        """Remove a reason to refuse new requests."""
        with self._lock:
            self._reasons.discard(reason)

    def reasons(self) -> tuple[str, ...]:
        """Return the reasons to refuse new requests; empty if they are accepted."""
        with self._lock:
            return tuple(sorted(self._reasons))


def _ignore_accepted(cfg: Configuration, operator: str) -> int:
    return 0


@dataclass(kw_only=True)
class EntryContext:
    """Components of the node that serve calls.

    :param view: returns the current view of the fleet.
    :param wall_clock: returns seconds since 1970; compared only with other
        wall-clock times.
    :param cells: returns the cells whose home this node is.
    :param highest_heard: returns the highest configuration version that any node
        has reported.
    :param apply_accepted: applies a configuration from an operator, given by name,
        and returns the version in force afterwards.
    :param version_in_force: version that all components of the node have applied.
    :param leaving: set while the node stops.
    :param held_prompts: prompts that are refused as engines crash under them.
    """

    settings: NodeSettings
    me: Host
    view: Callable[[], FleetView]
    permits: PermitClient
    registry: RequestRegistry
    claims: ClaimService
    limits: LimitEnforcer
    retries: SharedRetryBudgets
    metrics: NodeMetrics
    readiness: Readiness
    wall_clock: Callable[[], float]
    cells: Callable[[], Mapping[str, Cell]] = dict
    highest_heard: Callable[[], int] = int
    apply_accepted: Callable[[Configuration, str], int] = _ignore_accepted
    version_in_force: int = 0
    catalogue: Catalogue | None = None
    leaving: threading.Event = field(default_factory=threading.Event)
    open_calls: OpenCalls = field(default_factory=OpenCalls)
    held_prompts: HeldPrompts = field(default_factory=HeldPrompts)

    def require_catalogue(self) -> Catalogue:
        """Return the catalogue in force.

        :raises RequestError: 503 while there is none, or while the node refuses new
            requests, for instance because it is partitioned.
        """
        reasons = self.readiness.reasons()
        if reasons or self.catalogue is None:
            raise RequestError(
                f"this host takes no requests: {', '.join(reasons) or 'starting'}",
                status=503,
                code="not_ready",
                step="admission",
            )
        return self.catalogue
