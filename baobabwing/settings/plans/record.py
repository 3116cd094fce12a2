"""Data class of a plan."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.settings.changes import Change
from baobabwing.settings.plans.capacity import PoolCapacity, Risk
from baobabwing.settings.plans.steps import Step, StepAction

__all__ = ["Plan"]


@dataclass(frozen=True, kw_only=True)
class Plan:
    """The effects of an intent, for the operator to review before confirming.

    :param id: id of the plan, and of the one attempt to publish it.
    :param intent: name of the intent.
    :param summary: one-line description for the history.
    :param author: name of the operator who asked for the plan.
    :param base: version of the configuration that the plan was made from.
    :param steps: steps in order of execution.
    :param touched: changes to items of the configuration.
    :param capacity: capacity of each pool before and after the plan.
    :param risks: risks for the operator to consider.
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
        """Whether the plan contains orders to engines."""
        return any(step.action is not StepAction.SWITCH for step in self.steps)
