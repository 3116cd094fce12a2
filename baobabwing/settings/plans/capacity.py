"""Capacity of pools before and after a plan, and the risks of the plan."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from baobabwing.pools.catalogue import UpstreamState
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.plans.steps import Step, StepAction

__all__ = ["PoolCapacity", "Risk", "capacities", "find_risks"]


@dataclass(frozen=True, kw_only=True)
class PoolCapacity:
    """Capacity of a pool before and after a plan.

    :param slots_before: slots of its active upstreams before the plan; a slot
        serves one request at a time.
    :param slots_after: slots of its active upstreams after the plan.
    :param in_use: requests open at present; 0 if unknown.
    :param served_share_after: share of the present load that fits into the slots
        after the plan, 0 to 1; an upper bound on goodput at that load.
    """

    pool: str
    slots_before: int
    slots_after: int
    in_use: float = 0.0
    served_share_after: float = 1.0

    @property
    def spare_before(self) -> float:
        """Free slots before the plan; negative if overloaded."""
        return self.slots_before - self.in_use

    @property
    def spare_after(self) -> float:
        """Free slots after the plan at the present load; negative if overloaded."""
        return self.slots_after - self.in_use


@dataclass(frozen=True, kw_only=True)
class Risk:
    """A risk that the operator should consider before confirming.

    :param code: stable identifier for programs, such as ``"pool-empty"``.
    :param message: description for the operator.
    """

    code: str
    message: str


def capacities(
    before: Configuration, after: Configuration, in_use: Mapping[str, float]
) -> tuple[PoolCapacity, ...]:
    """Return the capacity of every pool of either configuration.

    :param in_use: open requests by pool name; a missing pool counts as 0.
    """
    names = dict.fromkeys(pool.name for cfg in (before, after) for pool in cfg.pools)
    return tuple(
        _capacity(name, _slots(before, name), _slots(after, name), in_use.get(name, 0))
        for name in names
    )


def find_risks(
    before: Configuration,
    after: Configuration,
    steps: tuple[Step, ...],
    pools: tuple[PoolCapacity, ...],
) -> tuple[Risk, ...]:
    """Return the risks of confirming a plan."""
    return (
        *_capacity_risks(pools),
        *_zone_risks(before, after),
        *_fencing_risks(after, steps),
    )


def _capacity(name: str, before: int, after: int, in_use: float) -> PoolCapacity:
    share = min(1.0, after / in_use) if in_use else float(after > 0 or before == 0)
    return PoolCapacity(
        pool=name,
        slots_before=before,
        slots_after=after,
        in_use=float(in_use),
        served_share_after=share,
    )


def _slots(cfg: Configuration, pool: str) -> int:
    return sum(
        upstream.capacity
        for upstream in cfg.upstreams
        if upstream.pool == pool and upstream.state is UpstreamState.ACTIVE
    )


def _capacity_risks(pools: tuple[PoolCapacity, ...]) -> Iterator[Risk]:
    for pool in pools:
        if pool.slots_before and not pool.slots_after:
            yield Risk(
                code="pool-empty",
                message=f"pool {pool.pool!r} is left without an active upstream",
            )
        elif pool.slots_after < pool.slots_before and pool.spare_after < 0:
            yield Risk(
                code="overload",
                message=f"pool {pool.pool!r} has {pool.in_use:g} requests open and "
                f"{pool.slots_after} slots afterwards",
            )


def _zone_risks(before: Configuration, after: Configuration) -> Iterator[Risk]:
    for pool, zone in sorted(_active_zones(before) - _active_zones(after)):
        yield Risk(
            code="zone-empty",
            message=f"pool {pool!r} has no active upstream left in zone {zone!r}",
        )


def _active_zones(cfg: Configuration) -> set[tuple[str, str]]:
    return {
        (upstream.pool, upstream.zone)
        for upstream in cfg.upstreams
        if upstream.state is UpstreamState.ACTIVE
    }


def _fencing_risks(after: Configuration, steps: tuple[Step, ...]) -> Iterator[Risk]:
    ordered_upstreams = {
        step.upstream for step in steps if step.action is not StepAction.SWITCH
    }
    unchecked = [
        upstream.name
        for upstream in after.upstreams
        if upstream.name in ordered_upstreams and not upstream.checks_fencing
    ]
    if unchecked:
        yield Risk(
            code="no-fencing",
            message=f"{', '.join(unchecked)} do not check fencing numbers; orders "
            "wait out the lease of an earlier holder and are read back",
        )
