"""Intent that moves one brand to another model version."""

from __future__ import annotations

from dataclasses import dataclass, replace

from baobabwing.exceptions import SettingsError
from baobabwing.pools.catalogue import Pool
from baobabwing.settings.checker import rule
from baobabwing.settings.configuration import Configuration, ModelRoute
from baobabwing.settings.plans.intents import PlanContext, register, unknown_name
from baobabwing.settings.routes import pool_of_model, resolve_model

__all__ = ["MoveBrand"]


@register("move-brand")
@dataclass(frozen=True, kw_only=True)
class MoveBrand:
    """Serve the callers of one brand with another model version.

    :param brand: name of the brand.
    :param model: model name in requests.
    :param to: the model version that is to serve these requests.
    """

    brand: str = rule(least=1)
    model: str = rule(least=1)
    to: str = rule(least=1)

    def apply(self, cfg: Configuration, context: PlanContext) -> Configuration:
        """Route the brand to the version, and add it to the pool if missing.

        The version that served the requests so far is removed from the pool if no
        brand can reach it any more.
        """
        brands = tuple(brand.name for brand in cfg.brands)
        if self.brand not in brands:
            raise unknown_name("brand", self.brand, brands)
        old = resolve_model(cfg, brand=self.brand, model=self.model)
        pool = pool_of_model(cfg, old)
        if pool is None:
            models = tuple(model for item in cfg.pools for model in item.models)
            raise unknown_name("model", self.model, models)
        self._check_target(cfg, pool, old)
        route = ModelRoute(brand=self.brand, model=self.model, serves=self.to)
        other_routes = tuple(
            item
            for item in cfg.routes
            if (item.brand, item.model) != (self.brand, self.model)
        )
        cfg = replace(cfg, routes=(*other_routes, route))
        return replace(cfg, pools=self._updated_pools(cfg, pool, old))

    def summary(self) -> str:
        """Return a one-line description for the history."""
        return f"move brand {self.brand} from {self.model} to {self.to}"

    def _check_target(self, cfg: Configuration, pool: Pool, old: str) -> None:
        if old == self.to:
            raise SettingsError(
                f"{self.to!r} already serves these requests", step="plan"
            )
        target = pool_of_model(cfg, self.to)
        if target is not None and target != pool:
            raise SettingsError(
                f"{self.to!r} is served by pool {target.name!r}, "
                f"{old!r} by {pool.name!r}",
                step="plan",
            )

    def _updated_pools(
        self, cfg: Configuration, pool: Pool, old: str
    ) -> tuple[Pool, ...]:
        models = dict.fromkeys([*pool.models, self.to])
        if not _is_reachable(cfg, old):
            del models[old]
        changed = replace(pool, models=tuple(models))
        return tuple(changed if item == pool else item for item in cfg.pools)


def _is_reachable(cfg: Configuration, model: str) -> bool:
    """Whether any brand reaches a model, by its own name or through a route."""
    reached_by_own_name = any(
        resolve_model(cfg, brand=brand.name, model=model) == model
        for brand in cfg.brands
    )
    return reached_by_own_name or any(route.serves == model for route in cfg.routes)
