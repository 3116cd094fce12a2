"""Intent that adds, changes or removes an operator."""

from __future__ import annotations

from dataclasses import dataclass, replace

from baobabwing.brands.operators import Operator, Role
from baobabwing.exceptions import SettingsError
from baobabwing.settings.checker import rule
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.plans.intents import PlanContext, register, unknown_name

__all__ = ["ChangeOperator"]

_REMOVED_ROLE = "none"
_SEPARATOR = ","


@register("change-operator")
@dataclass(frozen=True, kw_only=True)
class ChangeOperator:
    """Add or change an operator; role none removes it.

    :param name: the operator's name.
    :param role: viewer, editor, admin, or none.
    :param sha256: digest of the token; empty to keep the current one.
    :param brands: brands that it is confined to, separated by commas; empty for
        all.
    """

    name: str = rule(least=1)
    role: str = rule(choices=(*Role, _REMOVED_ROLE))
    sha256: str = ""
    brands: str = ""

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Add, replace or remove the operator of that name."""
        operators = {operator.name: operator for operator in cfg.operators}
        if self.role == _REMOVED_ROLE and self.name not in operators:
            raise unknown_name("operator", self.name, tuple(operators))
        old = operators.pop(self.name, None)
        if self.role != _REMOVED_ROLE:
            operators[self.name] = self._changed_operator(old)
        return replace(cfg, operators=tuple(operators.values()))

    def summary(self) -> str:
        """Return a one-line description for the history."""
        if self.role == _REMOVED_ROLE:
            return f"remove operator {self.name}"
        return f"make operator {self.name} {self.role}"

    def _changed_operator(self, old: Operator | None) -> Operator:
        if old is None and not self.sha256:
            raise SettingsError("a new operator needs --sha256", step="plan")
        brands = (brand.strip() for brand in self.brands.split(_SEPARATOR))
        return Operator(
            name=self.name,
            sha256=self.sha256 or old.sha256,
            role=Role(self.role),
            brands=tuple(filter(None, brands)),
        )
