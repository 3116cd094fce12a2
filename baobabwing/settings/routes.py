"""Which model and pool answer a name that callers use."""

from __future__ import annotations

from baobabwing.pools.catalogue import Pool
from baobabwing.settings.configuration import Configuration

__all__ = ["pool_of_model", "resolve_model"]


def resolve_model(cfg: Configuration, *, brand: str, model: str) -> str:
    """Return the model that answers callers of a brand.

    A route of the brand counts before one of all brands; without a route the
    name stands for itself. Routes are not followed twice. Linear in routes.
    """
    serves = {route.brand: route.serves for route in cfg.routes if route.model == model}
    return serves.get(brand) or serves.get("") or model


def pool_of_model(cfg: Configuration, model: str) -> Pool | None:
    """Return the pool that serves a model, if there is one."""
    return next((pool for pool in cfg.pools if model in pool.models), None)
