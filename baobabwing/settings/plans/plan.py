"""Make a plan from an intent."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from baobabwing.exceptions import SettingsError
from baobabwing.platform.tables import Tables
from baobabwing.settings.changes import apply_changes, changes_between
from baobabwing.settings.fetch import fetch_configuration, fetch_version
from baobabwing.settings.plans.capacity import capacities, find_risks
from baobabwing.settings.plans.intents import PlanContext, make_intent
from baobabwing.settings.plans.record import Plan
from baobabwing.settings.plans.steps import derive_steps
from baobabwing.settings.plans.store import save_plan
from baobabwing.settings.publish import new_attempt

__all__ = ["plan"]


def plan(
    tables: Tables,
    *,
    intent: str,
    arguments: Mapping[str, Any],
    author: str,
    context: PlanContext | None = None,
) -> Plan:
    """Make a plan and store it; nothing else changes.

    :param intent: name of the intent.
    :param arguments: its fields.
    :raises SettingsError: if the intent is wrong or would change nothing.
    :raises ConflictError: if an undo would overwrite a later change.
    :raises PlatformError: if the plan could not be stored.
    """
    stated = make_intent(intent, arguments)
    before = fetch_configuration(tables)
    if before is None:
        raise SettingsError("no configuration was published yet", step="plan")
    context = replace(
        context or PlanContext(), version=lambda number: fetch_version(tables, number)
    )
    touched = changes_between(before, stated.apply(before, context))
    if not touched:
        raise SettingsError("the intent changes nothing", step="plan")
    after = apply_changes(before, touched)
    steps = derive_steps(before, after)
    capacity = capacities(before, after, context.in_use)
    made = Plan(
        id=new_attempt(),
        intent=intent,
        summary=stated.summary(),
        author=author,
        base=before.version,
        steps=steps,
        touched=touched,
        capacity=capacity,
        risks=find_risks(before, after, steps, capacity),
    )
    save_plan(tables, made)
    return made
