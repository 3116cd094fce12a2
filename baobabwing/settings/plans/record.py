"""What a plan is made of."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.settings.changes import Change
from baobabwing.settings.plans.capacity import PoolCapacity, Risk
from baobabwing.settings.plans.steps import Step, StepAction

__all__ = ["Plan"]


@dataclass(frozen=True, kw_only=True)
class Plan:
    """What confirming an intent would do.

    :param id: names the plan, and the one attempt to carry it out.
    :param intent: name of the intent.
    :param author: who asked for the plan.
    :param base: version of the configuration that it was made from.
    :param steps: what is done, in order.
    :param touched: the items of the configuration that change.
    :param capacity: spare capacity of each pool before and after.
    :param risks: what the operator should weigh.
    """

    id: str
    intent: str
    summary: str
    author: str
    base: int
    steps: tuple[Step, ...]
    touched: tuple[Change, ...]
    capacity: tuple[PoolCapacity, ...]
    risks: tuple[Risk, ...]

    @property
    def has_orders(self) -> bool:
        """Whether engines are given orders."""
        return any(step.action is not StepAction.SWITCH for step in self.steps)
