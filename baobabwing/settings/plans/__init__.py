"""Intents of operators, and the plans that they confirm.

Importing the package fills the registry of intents.
"""

from baobabwing.settings.plans import (  # noqa: F401
    change_operator,
    drain,
    limits,
    move_brand,
    roll,
    undo,
)
from baobabwing.settings.plans.confirm import confirm, publish_plan
from baobabwing.settings.plans.intents import PlanContext, intent_names, make_intent
from baobabwing.settings.plans.plan import plan
from baobabwing.settings.plans.record import Plan
from baobabwing.settings.plans.store import list_plans, load_plan

__all__ = [
    "Plan",
    "PlanContext",
    "confirm",
    "intent_names",
    "list_plans",
    "load_plan",
    "make_intent",
    "plan",
    "publish_plan",
]
