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
    pooled = upstream.pooled
    batch = (permit.batch + len(upstream.permits)) / 2.0
    uncached = _prefilled(permit, done)
    ran_s = pooled.request_s(uncached, done.tokens, batch)
    others_s = _others_prefill(permit) / pooled.prefill_tokens_per_s
    if done.first_token_s > 0.0:
        _learn_speeds(permit, done, uncached, batch)
    for speed in (upstream.speed, pooled):
        speed.counted()
    return done.duration_s / max(permit.wait_s + ran_s + others_s, _SHORTEST_S)


def _learn_speeds(permit: Permit, done: Done, uncached: int, batch: float) -> None:
    first_s = done.first_token_s
    # The wait was an estimate: the rest must not come out as no time at all.
    prefill_s = max(first_s - permit.wait_s, first_s * _LEAST_SHARE_OF_FIRST_TOKEN)
    for speed in (permit.upstream.speed, permit.upstream.pooled):
        speed.observe_prefill(uncached, prefill_s)
        speed.observe_steps(done.tokens - 1, done.duration_s - first_s, batch)


def _prefilled(permit: Permit, done: Done) -> int:
    # Entries do not see what the engine took from its cache. A cached prompt
    # counted as prefilled teaches a rate several times too high; long prompts
    # then look late, and healthy engines look like stragglers.
    if done.cached_tokens or not permit.expected_s:
        return max(done.prompt_tokens - done.cached_tokens, 0)
    return min(permit.uncached, done.prompt_tokens)


def _others_prefill(permit: Permit) -> float:
    """Return the tokens of others prefilled since the permit was given.

    The engine's decoding stands still meanwhile; without them an engine with
    one long prompt would look slow to all that run beside it.
    """
    upstream = permit.upstream
    left = upstream.prefill_free_at - upstream.last_event_at
    left *= upstream.speed.prefill_tokens_per_s
    return max(upstream.prefill_given - permit.prefill_mark - max(left, 0.0), 0.0)
