"""Updates of learned speeds from answered requests."""

from __future__ import annotations

from baobabwing.pools.catalogue import PoolKind
from baobabwing.pools.permits import PermitEnd
from baobabwing.pools.tracking import Permit

__all__ = ["update_speeds"]

_MIN_PREFILL_FRACTION = 0.25
_MIN_DURATION_S = 1e-6


def update_speeds(permit: Permit, end: PermitEnd) -> float:
    """Update the speeds of an upstream and its generation from an answer.

    To be called while the permit is still in use.

    :returns: measured time divided by the time expected of the generation.
    """
    upstream = permit.upstream
    if upstream.kind is PoolKind.SERVICE:
        expected_s = upstream.generation_speed.service_s
        for speed in (upstream.speed, upstream.generation_speed):
            speed.observe_service(end.duration_s)
            speed.count_sample()
        return end.duration_s / max(expected_s, _MIN_DURATION_S)
    return _update_engine_speeds(permit, end)


def _update_engine_speeds(permit: Permit, end: PermitEnd) -> float:
    upstream = permit.upstream
    generation_speed = upstream.generation_speed
    batch = (permit.batch + len(upstream.permits)) / 2.0
    uncached_tokens = _prefilled_tokens(permit, end)
    expected_run_s = generation_speed.request_s(uncached_tokens, end.tokens, batch)
    other_prefill_s = (
        _other_prefill_tokens(permit) / generation_speed.prefill_tokens_per_s
    )
    if end.first_token_s > 0.0:
        _observe_engine(permit, end, uncached_tokens, batch)
    for speed in (upstream.speed, generation_speed):
        speed.count_sample()
    return end.duration_s / max(
        permit.wait_s + expected_run_s + other_prefill_s, _MIN_DURATION_S
    )


def _observe_engine(
    permit: Permit, end: PermitEnd, uncached_tokens: int, batch: float
) -> None:
    first_s = end.first_token_s
    # The wait is only an estimate, so the remainder could be zero or negative.
    prefill_s = max(first_s - permit.wait_s, first_s * _MIN_PREFILL_FRACTION)
    for speed in (permit.upstream.speed, permit.upstream.generation_speed):
        speed.observe_prefill(uncached_tokens, prefill_s)
        speed.observe_steps(end.tokens - 1, end.duration_s - first_s, batch)


def _prefilled_tokens(permit: Permit, end: PermitEnd) -> int:
    # An entry may not learn how many tokens were cached; then the estimate made at
    # the grant is used. Counting a cached prompt as prefilled would yield a rate
    # several times too high: long prompts would then seem slow, and healthy
    # engines would be taken for stragglers.
    if end.cached_tokens or not permit.expected_s:
        return max(end.prompt_tokens - end.cached_tokens, 0)
    return min(permit.uncached_tokens, end.prompt_tokens)


def _other_prefill_tokens(permit: Permit) -> float:
    """Return the tokens of other prompts prefilled since the permit was granted.

    Decoding stalls during these prefills. If they were ignored, the requests
    that run beside one long prompt would make the engine seem slow.
    """
    upstream = permit.upstream
    remaining = upstream.prefill_free_at - upstream.last_event_at
    remaining *= upstream.speed.prefill_tokens_per_s
    return max(
        upstream.granted_prefill_tokens
        - permit.granted_prefill_tokens_after
        - max(remaining, 0.0),
        0.0,
    )
