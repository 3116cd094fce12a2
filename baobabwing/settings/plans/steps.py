"""Steps of a plan: orders to engines before and after the configuration switch.

The order follows "A Transaction Model for Multidatabase Systems", section 3:
compensatable steps come first, then the pivot, then retriable steps, which are
repeated until they succeed. A plan interrupted before the pivot is rolled back;
one interrupted after it is completed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from baobabwing.pools.catalogue import Pool, PoolKind, Upstream, UpstreamState
from baobabwing.settings.configuration import Configuration

__all__ = ["Step", "StepAction", "StepKind", "derive_steps"]


class StepKind(StrEnum):
    """How a failed step is handled."""

    COMPENSATABLE = "compensatable"
    PIVOT = "pivot"
    RETRIABLE = "retriable"


class StepAction(StrEnum):
    """Action of a step."""

    LOAD = "load"
    SWITCH = "switch"
    UNLOAD = "unload"


@dataclass(frozen=True, kw_only=True)
class Step:
    """One step of a plan.

    :param upstream: name of the engine that receives the order; empty for the
        switch.
    :param models_after: models that the engine is to have loaded after the step.
    """

    kind: StepKind
    action: StepAction
    upstream: str = ""
    models_after: tuple[str, ...] = ()


def derive_steps(before: Configuration, after: Configuration) -> tuple[Step, ...]:
    """Return the steps that turn one configuration into another.

    Engines whose pool gains models load them before the switch; those whose pool
    loses models unload them after it.

    :complexity: proportional to pools times upstreams.
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
