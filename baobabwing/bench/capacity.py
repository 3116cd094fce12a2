"""How much work a pool can do at most, from its stand-ins' parameters."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from baobabwing.bench.shapes import EngineSpec, ServiceSpec, Shape

__all__ = ["Job", "engine_seconds", "max_work_within_deadlines", "pool_seconds"]

MS_PER_S = 1_000.0


@dataclass(frozen=True, kw_only=True)
class Job:
    """Work that counts only between two times, in seconds from the run's start.

    :param work: in pool-seconds.
    """

    start_s: float
    deadline_s: float
    work: float


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


def _service_seconds(spec: ServiceSpec) -> float:
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
    costs += [_service_seconds(spec) for spec in shape.services if spec.pool == pool]
    if not costs:
        raise KeyError(pool)
    return 1.0 / sum(1.0 / cost for cost in costs)


def max_work_within_deadlines(jobs: Iterable[Job]) -> float:
    """Return the most pool-seconds of work that one pool can do in time.

    Work counts by its amount, also where a job is done only in part, and jobs may be
    interrupted; then "earliest deadline first" does the most. No real scheduler does
    better, since it counts whole jobs only. Time grows as n log n.

    References: C. L. Liu and J. W. Layland, "Scheduling Algorithms for
    Multiprogramming in a Hard-Real-Time Environment", Journal of the ACM 20(1), 1973.
    """
    ordered_jobs = sorted(jobs, key=lambda job: job.start_s)
    waiting: list[tuple[float, int, float]] = []
    completed_work = now_s = 0.0
    for index, job in enumerate(ordered_jobs):
        completed_work += _work_until(waiting, now_s, job.start_s)
        now_s = job.start_s
        heapq.heappush(waiting, (job.deadline_s, index, job.work))
    return completed_work + _work_until(waiting, now_s, float("inf"))


def _work_until(
    waiting: list[tuple[float, int, float]], now_s: float, until_s: float
) -> float:
    """Do waiting work, the earliest deadline first, and return how much was done."""
    completed_work = 0.0
    while waiting and now_s < until_s:
        deadline_s, index, work = heapq.heappop(waiting)
        completed_part = max(0.0, min(work, deadline_s - now_s, until_s - now_s))
        completed_work += completed_part
        now_s += completed_part
        if work > completed_part and deadline_s > now_s:
            heapq.heappush(waiting, (deadline_s, index, work - completed_part))
    return completed_work
