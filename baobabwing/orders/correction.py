"""Corrects engines whose state differs from the configuration."""

from __future__ import annotations

from baobabwing.orders.errors import OrderError
from baobabwing.orders.events import ENGINE_CORRECTED
from baobabwing.orders.execution import OrderExecution
from baobabwing.orders.moves import MoveStore
from baobabwing.orders.targets import engine_targets
from baobabwing.reports.events import log
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.plans.store import load_plan
from baobabwing.store.tables import Tables

__all__ = ["correct_engines"]


def correct_engines(*, tables: Tables, execution: OrderExecution) -> tuple[str, ...]:
    """Order each engine whose models differ from its target to hold the target.

    A holder that was paused while it sent an order can reach an engine that does
    not check fencing numbers long after its successor has read all states back. A
    pause has no upper bound, so the holder of the lease repeats this check.
    Engines that are part of open moves are skipped: the moves bring them to their
    state.

    :param tables: the table service.
    :param execution: gives the orders.
    :returns: names of the engines that were corrected.
    :raises LeaseLostError: if another holder gives orders.
    :raises PlatformUnavailableError: if the store did not answer.
    """
    cfg = fetch_configuration(tables)
    if cfg is None:
        return ()
    in_moves = _engines_in_moves(tables)
    corrected = []
    for target in engine_targets(cfg):
        upstream = target.upstream
        if upstream.name in in_moves:
            continue
        try:
            if execution.has_models(upstream, target.models):
                continue
            order_id = f"correction/{cfg.version}/{upstream.name}"
            execution.ensure_models(upstream, target.models, order_id=order_id)
        except OrderError:
            continue
        log(ENGINE_CORRECTED, upstream=upstream.name, version=cfg.version)
        corrected.append(upstream.name)
    return tuple(corrected)


def _engines_in_moves(tables: Tables) -> set[str]:
    plans = [load_plan(tables, m.plan) for m in MoveStore(tables=tables).open_moves()]
    return {step.upstream for plan in plans for step in plan.steps}
