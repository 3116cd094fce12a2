"""How much work a pool can do at most, from its stand-ins' parameters."""

from __future__ import annotations

from baobabwing.bench.shapes import EngineSpec, ServiceSpec, Shape

__all__ = ["engine_seconds", "pool_seconds", "service_seconds"]

MS_PER_S = 1_000.0


def engine_seconds(
    spec: EngineSpec, *, prefill_tokens: float, output_tokens: float
) -> float:
    """Return the share of an engine's time that one request takes up.

    Prefill takes the engine alone; a decoding step is shared by a full batch, the
    cheapest way to decode. Both make it a lower bound, so that the capacity which
    follows from it is an upper bound.

    :param prefill_tokens: prompt tokens that no cache holds.
    """
    cfg = spec.engine
    full_step_ms = cfg.step_ms + cfg.step_ms_per_sequence * cfg.max_batch
    prefill_s = prefill_tokens / cfg.prefill_tokens_per_s
    decode_s = output_tokens * full_step_ms / MS_PER_S / cfg.max_batch
    return prefill_s + decode_s


def service_seconds(spec: ServiceSpec) -> float:
    """Return the share of a service worker's time that one call takes up."""
    return spec.service.service_ms / MS_PER_S / spec.service.concurrency


def pool_seconds(
    shape: Shape, pool: str, *, prefill_tokens: float = 0.0, output_tokens: float = 0.0
) -> float:
    """Return the time that a whole pool, fully used, spends on one request.

    Its inverse is the rate of such requests that the pool sustains; a pool offers
    one pool-second a second, whatever the requests.

    :raises KeyError: if the shape has no upstream in that pool.
    """
    costs = [
        engine_seconds(spec, prefill_tokens=prefill_tokens, output_tokens=output_tokens)
        for spec in shape.engines
        if spec.pool == pool
    ]
    costs += [service_seconds(spec) for spec in shape.services if spec.pool == pool]
    if not costs:
        raise KeyError(pool)
    return 1.0 / sum(1.0 / cost for cost in costs)
