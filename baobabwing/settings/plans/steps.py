"""Steps of a plan: orders to engines around the switch of the configuration.

The order is that of "A Transaction Model for Multidatabase Systems", section 3:
steps that can be compensated come first, then the pivot, then steps that can be
retried until they succeed. A move that stops before the pivot is undone, one
that stops after it is finished.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from baobabwing.pools.catalogue import Pool, PoolKind, Upstream, UpstreamState
from baobabwing.settings.configuration import Configuration

__all__ = ["Step", "StepAction", "StepKind", "derive_steps"]


class StepKind(StrEnum):
    """What can be done about a step that fails."""

    COMPENSATABLE = "compensatable"
    PIVOT = "pivot"
    RETRIABLE = "retriable"


class StepAction(StrEnum):
    """What a step does."""

    LOAD = "load"
    SWITCH = "switch"
    UNLOAD = "unload"


@dataclass(frozen=True, kw_only=True)
class Step:
    """One step of a plan.

    :param upstream: the engine that is given an order; empty for the switch.
    :param models_after: models that the engine is to hold after the step.
    """

    kind: StepKind
    action: StepAction
    upstream: str = ""
    models_after: tuple[str, ...] = ()


def derive_steps(before: Configuration, after: Configuration) -> tuple[Step, ...]:
    """Return the steps that lead from one configuration to another.

    Engines whose pool gains models load them before the switch; those whose pool
    loses models unload them after it. Linear in pools times upstreams.
    """
    switch = Step(kind=StepKind.PIVOT, action=StepAction.SWITCH)
    return (*_loads(before, after), switch, *_unloads(before, after))


def _loads(before: Configuration, after: Configuration) -> Iterator[Step]:
    for old, new in _changed_pools(before, after):
        loaded = tuple(dict.fromkeys([*old.models, *new.models]))
        if loaded == old.models:
            continue
        for upstream in _engines(after, new):
            yield Step(
                kind=StepKind.COMPENSATABLE,
                action=StepAction.LOAD,
                upstream=upstream.name,
                models_after=loaded,
            )


def _unloads(before: Configuration, after: Configuration) -> Iterator[Step]:
    for old, new in _changed_pools(before, after):
        loaded = tuple(dict.fromkeys([*old.models, *new.models]))
        if set(loaded) == set(new.models):
            continue
        for upstream in _engines(after, new):
            yield Step(
                kind=StepKind.RETRIABLE,
                action=StepAction.UNLOAD,
                upstream=upstream.name,
                models_after=new.models,
            )


def _changed_pools(
    before: Configuration, after: Configuration
) -> Iterator[tuple[Pool, Pool]]:
    old_pools = {pool.name: pool for pool in before.pools}
    for new in after.pools:
        old = old_pools.get(new.name)
        if old and new.kind is PoolKind.ENGINE and old.models != new.models:
            yield old, new


def _engines(cfg: Configuration, pool: Pool) -> Iterator[Upstream]:
    for upstream in cfg.upstreams:
        if upstream.pool == pool.name and upstream.state is UpstreamState.ACTIVE:
            yield upstream
