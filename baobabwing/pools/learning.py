"""What the end of a permit teaches of an upstream's speed."""

from __future__ import annotations

from baobabwing.pools.catalogue import PoolKind
from baobabwing.pools.permits import Done
from baobabwing.pools.tracking import Permit

__all__ = ["learn"]

_LEAST_SHARE_OF_FIRST_TOKEN = 0.25
_SHORTEST_S = 1e-6


def learn(permit: Permit, done: Done) -> float:
    """Learn speeds from an answer; the permit is still in use.

    :returns: the time taken over the time expected of the generation.
    """
    upstream = permit.upstream
    if upstream.kind is PoolKind.SERVICE:
        expected_s = upstream.pooled.service_s
        for speed in (upstream.speed, upstream.pooled):
            speed.observe_service(done.duration_s)
            speed.counted()
        return done.duration_s / max(expected_s, _SHORTEST_S)
    return _learn_engine(permit, done)


def _learn_engine(permit: Permit, done: Done) -> float:
    upstream = permit.upstream
    batch = (permit.batch + len(upstream.permits)) / 2.0
    uncached = max(done.prompt_tokens - done.cached_tokens, 0)
    ran_s = upstream.pooled.request_s(uncached, done.tokens, batch)
    first_s = done.first_token_s
    # The wait was an estimate: the rest must not come out as no time at all.
    prefill_s = max(first_s - permit.wait_s, first_s * _LEAST_SHARE_OF_FIRST_TOKEN)
    for speed in (upstream.speed, upstream.pooled):
        speed.observe_prefill(uncached, prefill_s)
        speed.observe_steps(done.tokens - 1, done.duration_s - first_s, batch)
        speed.counted()
    return done.duration_s / max(permit.wait_s + ran_s, _SHORTEST_S)
