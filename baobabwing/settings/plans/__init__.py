"""Intents of operators, and the plans derived from them.

An operator states an intent, reviews the plan made from it and confirms the plan.
Importing the package registers all intents.
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
