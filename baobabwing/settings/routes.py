"""Resolution of model names to models and pools."""

from __future__ import annotations

from baobabwing.pools.catalogue import Pool
from baobabwing.settings.configuration import Configuration

__all__ = ["pool_of_model", "resolve_model"]


def resolve_model(cfg: Configuration, *, brand: str, model: str) -> str:
    """Return the model that serves a model name for callers of a brand.

    A route of the brand takes precedence over one for all brands; without a route
    the name denotes the model itself. Routes are not followed recursively.

    :complexity: linear in the number of routes.
    """
    serves = {route.brand: route.serves for route in cfg.routes if route.model == model}
    return serves.get(brand) or serves.get("") or model


def pool_of_model(cfg: Configuration, model: str) -> Pool | None:
    """Return the pool that serves a model, or ``None``."""
    return next((pool for pool in cfg.pools if model in pool.models), None)
