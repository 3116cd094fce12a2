"""Storage of plans in the table service."""

from __future__ import annotations

import dataclasses
import json

from baobabwing.exceptions import PlatformUncertainError, SettingsError
from baobabwing.settings.checker import build
from baobabwing.settings.plans.record import Plan
from baobabwing.store.tables import Insert, Tables

__all__ = ["PLANS_TABLE", "list_plans", "load_plan", "save_plan", "unknown_plan"]

PLANS_TABLE = "plans"


def save_plan(tables: Tables, plan: Plan) -> None:
    """Insert a plan under its id.

    :raises PlatformError: if the plan could not be stored.
    """
    row = Insert(key=plan.id, value=json.loads(json.dumps(dataclasses.asdict(plan))))
    try:
        tables.insert_many(PLANS_TABLE, [row])
    except PlatformUncertainError:
        # The id is unique to this plan, so the second insert writes the row or
        # finds it in place, if only the answer to the first was lost.
        tables.insert_many(PLANS_TABLE, [row])


def load_plan(tables: Tables, plan_id: str) -> Plan:
    """Read a plan.

    :raises SettingsError: if no plan has that id.
    :raises PlatformUnavailableError: if the service did not answer.
    """
    row = tables.read(PLANS_TABLE, plan_id)
    if row is None:
        raise unknown_plan(plan_id)
    return build(Plan, row.value)


def unknown_plan(plan_id: str) -> SettingsError:
    """Return the error for an id that no plan has."""
    return SettingsError(f"no plan {plan_id!r}", step="plan")


def list_plans(tables: Tables) -> tuple[Plan, ...]:
    """Read all plans, confirmed or not.

    :raises PlatformUnavailableError: if the service did not answer.
    """
    return tuple(build(Plan, row.value) for row in tables.list_items(PLANS_TABLE))
