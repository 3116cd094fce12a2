"""The models that each engine is to hold by the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.pools.catalogue import PoolKind, Upstream, UpstreamState
from baobabwing.settings.configuration import Configuration

__all__ = ["EngineTarget", "engine_targets"]


@dataclass(frozen=True, kw_only=True)
class EngineTarget:
    """An engine and the models that it is to hold."""

    upstream: Upstream
    models: tuple[str, ...]


def engine_targets(cfg: Configuration) -> tuple[EngineTarget, ...]:
    """Return the targets of all active engines."""
    models = {
        pool.name: pool.models for pool in cfg.pools if pool.kind is PoolKind.ENGINE
    }
    return tuple(
        EngineTarget(upstream=upstream, models=models[upstream.pool])
        for upstream in cfg.upstreams
        if upstream.pool in models and upstream.state is UpstreamState.ACTIVE
    )
