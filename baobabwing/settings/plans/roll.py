"""Intent that replaces a model version for all brands."""

from __future__ import annotations

from dataclasses import dataclass, replace

from baobabwing.exceptions import SettingsError
from baobabwing.settings.checker import rule
from baobabwing.settings.configuration import Configuration, ModelRoute
from baobabwing.settings.plans.intents import PlanContext, register, unknown_name
from baobabwing.settings.routes import pool_of_model

__all__ = ["RollVersion"]


@register("roll-version")
@dataclass(frozen=True, kw_only=True)
class RollVersion:
    """Replace a model version in its pool; model names in requests stay valid.

    :param old: the version that is replaced.
    :param new: the version that replaces it.
    """

    old: str = rule(least=1)
    new: str = rule(least=1)

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Replace the version in its pool and in all routes that lead to it."""
        pool = pool_of_model(cfg, self.old)
        if pool is None:
            models = tuple(model for item in cfg.pools for model in item.models)
            raise unknown_name("model", self.old, models)
        target = pool_of_model(cfg, self.new)
        if self.old == self.new or target not in (None, pool):
            raise SettingsError(f"{self.new!r} is already served", step="plan")
        models = dict.fromkeys(
            self.new if model == self.old else model for model in pool.models
        )
        changed = replace(pool, models=tuple(models))
        pools = tuple(changed if item == pool else item for item in cfg.pools)
        return replace(cfg, pools=pools, routes=self._updated_routes(cfg))

    def summary(self) -> str:
        """Return a one-line description for the history."""
        return f"roll version {self.old} to {self.new}"

    def _updated_routes(self, cfg: Configuration) -> tuple[ModelRoute, ...]:
        routes = [
            replace(route, serves=self.new) if route.serves == self.old else route
            for route in cfg.routes
        ]
        if not any((route.brand, route.model) == ("", self.old) for route in routes):
            routes.append(ModelRoute(model=self.old, serves=self.new))
        # A route for all brands from a name to itself has no effect.
        return tuple(
            route for route in routes if route.brand or route.model != route.serves
        )
