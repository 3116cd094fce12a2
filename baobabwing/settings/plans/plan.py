"""Derive a plan from an intent and store it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from baobabwing.brands.operators import AccessError, Operator
from baobabwing.exceptions import BaobabwingError, SettingsError
from baobabwing.settings.access import check_changes, visible_part
from baobabwing.settings.changes import apply_changes, changes_between
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import check_administrators
from baobabwing.settings.fetch import fetch_configuration, fetch_version
from baobabwing.settings.plans.capacity import capacities, find_risks
from baobabwing.settings.plans.intents import Intent, PlanContext, make_intent
from baobabwing.settings.plans.record import Plan
from baobabwing.settings.plans.steps import derive_steps
from baobabwing.settings.plans.store import save_plan
from baobabwing.settings.publish import new_attempt
from baobabwing.store.tables import Tables

__all__ = ["plan"]


def plan(
    tables: Tables,
    *,
    intent: str,
    arguments: Mapping[str, Any],
    author: str,
    context: PlanContext | None = None,
    operator: Operator | None = None,
) -> Plan:
    """Make a plan and store it; the configuration does not change.

    :param intent: name of the intent.
    :param arguments: arguments of the intent by name.
    :param author: name of the operator who asks for the plan.
    :param operator: operator whose rights are checked; ``None`` for no check.
    :raises SettingsError: if the intent is invalid or would change nothing.
    :raises AccessError: if the operator may not make these changes.
    :raises ConflictError: if an undo would overwrite a later change.
    :raises PlatformError: if the plan could not be stored.
    """
    parsed = make_intent(intent, arguments)
    before = fetch_configuration(tables)
    if before is None:
        raise SettingsError("no configuration was published yet", step="plan")
    context = replace(
        context or PlanContext(),
        load_version=lambda number: fetch_version(tables, number),
    )
    touched = changes_between(before, _apply(parsed, before, context, operator))
    if not touched:
        raise SettingsError("the intent changes nothing", step="plan")
    if operator is not None:
        check_changes(operator, before, touched, step="plan")
    after = apply_changes(before, touched)
    check_administrators(after)
    steps = derive_steps(before, after)
    capacity = capacities(before, after, context.in_use)
    new_plan = Plan(
        id=new_attempt(),
        intent=intent,
        summary=parsed.summary(),
        author=author,
        base=before.version,
        steps=steps,
        touched=touched,
        capacity=capacity,
        risks=find_risks(before, after, steps, capacity),
    )
    save_plan(tables, new_plan)
    return new_plan


def _apply(
    intent: Intent,
    cfg: Configuration,
    context: PlanContext,
    operator: Operator | None,
) -> Configuration:
    """Apply an intent without disclosing other brands to a confined operator.

    Errors of intents list existing names. The intent is therefore applied first to
    the part of the configuration that the operator may see; an error that occurs
    only with the whole configuration is replaced by one without details.
    """
    if operator is None or not operator.confined:
        return intent.apply(cfg, context)
    visible = visible_part(cfg, operator)
    intent.apply(
        visible, replace(context, load_version=_visible_versions(context, operator))
    )
    try:
        return intent.apply(cfg, context)
    except BaobabwingError:
        raise AccessError(
            "the change reaches beyond the operator's brands", step="plan"
        ) from None


def _visible_versions(
    context: PlanContext, operator: Operator
) -> Callable[[int], Configuration | None]:
    def load_version(number: int) -> Configuration | None:
        cfg = context.load_version(number)
        return None if cfg is None else visible_part(cfg, operator)

    return load_version
