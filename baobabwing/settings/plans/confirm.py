"""Execute a plan that an operator confirms."""

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

PlanExecutor = Callable[[Plan, str], Configuration]


def confirm(
    tables: Tables,
    plan_id: str,
    *,
    author: str,
    carry_out: PlanExecutor | None = None,
    operator: Operator | None = None,
) -> Configuration:
    """Execute a plan at most once.

    The plan's id is the id of the publishing attempt, so confirming again after a
    lost answer returns the result of the first call.

    :param author: name of the operator who confirms.
    :param carry_out: executes plans that contain orders to engines.
    :param operator: operator whose rights are checked; ``None`` for no check.
    :returns: the configuration that the plan put in force.
    :raises AccessError: if the operator may not make these changes.
    :raises SettingsError: if there is no such plan, or it contains orders and
        ``carry_out`` is missing.
    :raises ConflictError: naming who changed what since the plan was made.
    :raises PlatformUnavailableError: if nothing was changed.
    :raises PlatformUncertainError: if it is unknown whether the plan took effect;
        confirm again.
    """
    plan = load_plan(tables, plan_id)
    if operator is not None:
        check_changes(
            operator, _base_configuration(tables, plan), plan.touched, step="confirm"
        )
    if plan.has_orders and carry_out is None:
        raise SettingsError(
            "the plan contains orders to engines and no executor was given",
            step="confirm",
        )
    try:
        if plan.has_orders:
            return carry_out(plan, author)
        return publish_plan(tables, plan, author=author)
    except ConflictError:
        if operator is None or not operator.confined:
            raise
        # The message names changes and authors of other brands, which the operator
        # may not see.
        raise ConflictError(
            f"version {plan.base} is no longer current; make a new plan",
            step="confirm",
        ) from None


def publish_plan(tables: Tables, plan: Plan, *, author: str) -> Configuration:
    """Publish the configuration of a plan at most once.

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
    # The base is in the history if the plan was executed already or another change
    # was published; publishing distinguishes the two by the attempt id.
    base = fetch_version(tables, plan.base)
    if base is None:
        raise ConflictError(
            f"version {plan.base} is no longer in the history", step="confirm"
        )
    return base
