"""Intent that takes back what one version changed."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.exceptions import SettingsError
from baobabwing.settings.changes import apply_changes, changes_between, inverse
from baobabwing.settings.checker import rule
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.plans.intents import PlanContext, register

__all__ = ["Undo"]


@register("undo")
@dataclass(frozen=True, kw_only=True)
class Undo:
    """Take back what a version changed, and leave later changes as they are.

    :param version: the version to take back.
    """

    version: int = rule(least=2)

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Make the inverse changes.

        :raises ConflictError: if a later version changed the same items.
        """
        undone = context.version(self.version)
        previous = context.version(self.version - 1)
        if cfg.version == self.version:
            undone = cfg
        if undone is None or previous is None:
            raise SettingsError(f"no version {self.version} in history", step="plan")
        return apply_changes(cfg, inverse(changes_between(previous, undone)))

    def summary(self) -> str:
        """Return one line for the history."""
        return f"undo version {self.version}"
