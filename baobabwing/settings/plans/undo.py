"""Intent that reverts the changes of one version."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.exceptions import SettingsError
from baobabwing.settings.changes import apply_changes, changes_between, invert_changes
from baobabwing.settings.checker import rule
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.plans.intents import PlanContext, register

__all__ = ["Undo"]


@register("undo")
@dataclass(frozen=True, kw_only=True)
class Undo:
    """Revert the changes of a version and keep later changes.

    :param version: the version whose changes are reverted.
    """

    version: int = rule(least=2)

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Apply the inverse changes.

        :raises ConflictError: if a later version changed the same items.
        """
        undone = context.load_version(self.version)
        previous = context.load_version(self.version - 1)
        if cfg.version == self.version:
            undone = cfg
        if undone is None or previous is None:
            raise SettingsError(f"no version {self.version} in history", step="plan")
        return apply_changes(cfg, invert_changes(changes_between(previous, undone)))

    def summary(self) -> str:
        """Return a one-line description for the history."""
        return f"undo version {self.version}"
