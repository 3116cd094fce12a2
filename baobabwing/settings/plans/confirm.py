"""Carry out a plan that an operator confirms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from baobabwing.brands.operators import Operator
from baobabwing.exceptions import ConflictError, SettingsError
from baobabwing.settings.access import check_changes
from baobabwing.settings.changes import apply_changes
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration, fetch_version
from baobabwing.settings.plans.record import Plan
from baobabwing.settings.plans.store import load_plan
from baobabwing.settings.publish import publish
from baobabwing.store.tables import Tables

__all__ = ["confirm", "publish_plan"]

CarryOut = Callable[[Plan, str], Configuration]


def confirm(
    tables: Tables,
    plan_id: str,
    *,
    author: str,
    carry_out: CarryOut | None = None,
    operator: Operator | None = None,
) -> Configuration:
    """Carry out a plan, once.

    The plan's id is the id of the attempt: confirming again after a lost answer
    finds what the first call did.

    :param author: who confirms.
    :param carry_out: carries out plans that give orders to engines.
    :param operator: whose rights bound it; ``None`` for no bounds.
    :returns: the configuration that the plan put in force.
    :raises AccessError: if the operator may not make these changes.
    :raises ConflictError: naming who changed what since the plan was made.
    :raises PlatformUnavailableError: if nothing was changed.
    :raises PlatformUncertainError: if the effect is unknown; confirm again.
    """
    plan = load_plan(tables, plan_id)
    if operator is not None:
        check_changes(
            operator, _base_configuration(tables, plan), plan.touched, step="confirm"
        )
    if plan.has_orders and carry_out is None:
        raise SettingsError("the plan gives orders to engines", step="confirm")
    try:
        if plan.has_orders:
            return carry_out(plan, author)
        return publish_plan(tables, plan, author=author)
    except ConflictError:
        if operator is None or not operator.confined:
            raise
        # Who changed what may concern brands that the operator does not see.
        raise ConflictError(
            f"version {plan.base} is no longer current; make the plan anew",
            step="confirm",
        ) from None


def publish_plan(tables: Tables, plan: Plan, *, author: str) -> Configuration:
    """Publish the configuration of a plan, once.

    :raises ConflictError: naming who changed what since the plan was made.
    :raises PlatformError: as :func:`baobabwing.settings.publish.publish` does.
    """
    base = _base_configuration(tables, plan)
    cfg = replace(
        apply_changes(base, plan.touched),
        author=author,
        summary=f"{plan.summary} (plan {plan.id})",
        attempt=plan.id,
    )
    return publish(tables, base=plan.base, cfg=cfg)


def _base_configuration(tables: Tables, plan: Plan) -> Configuration:
    current = fetch_configuration(tables)
    if current is not None and current.version == plan.base:
        return current
    # The plan may have been carried out already, so the base is in the history;
    # publishing finds out by the attempt id whether it was.
    base = fetch_version(tables, plan.base)
    if base is None:
        raise ConflictError(f"no version {plan.base} any more", step="confirm")
    return base
