"""Upper bounds of the capacity of a pool, from the parameters of its stand-ins."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from baobabwing.bench.shapes import EngineSpec, ServiceSpec, Shape

__all__ = ["Job", "engine_seconds", "max_work_within_deadlines", "pool_seconds"]

MS_PER_S = 1_000.0


@dataclass(frozen=True, kw_only=True)
class Job:
    """Work that counts only if it is done between its start time and its deadline.

    Both times are in seconds from the start of the run.

    :param work: amount of work in pool-seconds.
    """

    start_s: float
    deadline_s: float
    work: float


def engine_seconds(
    spec: EngineSpec, *, prefill_tokens: float, output_tokens: float
) -> float:
    """Return a lower bound of the engine time that a request takes.

    Prefill is assumed to occupy the engine exclusively, and each decoding step to be
    shared by a full batch, which is the cheapest way to decode. The capacity derived
    from this bound is an upper bound.

    :param prefill_tokens: prompt tokens that are not cached.
    """
    cfg = spec.engine
    full_step_ms = cfg.step_ms + cfg.step_ms_per_sequence * cfg.max_batch
    prefill_s = prefill_tokens / cfg.prefill_tokens_per_s
    decode_s = output_tokens * full_step_ms / MS_PER_S / cfg.max_batch
    return prefill_s + decode_s


def _service_seconds(spec: ServiceSpec) -> float:
    """Return the time that a call takes, divided by the service's concurrency."""
    return spec.service.service_ms / MS_PER_S / spec.service.concurrency


def pool_seconds(
    shape: Shape, pool: str, *, prefill_tokens: float = 0.0, output_tokens: float = 0.0
) -> float:
    """Return the time that a fully utilised pool spends on a request.

    Its inverse is the rate of such requests that the pool sustains. A pool provides
    one pool-second per second, independent of the requests.

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
    """Return the maximum work in pool-seconds that a pool can do within deadlines.

    Jobs are preemptible and partly completed jobs count by the amount of work done.
    Earliest deadline first is optimal under these assumptions. It is an upper bound
    for real schedulers, for which only completed jobs count. The running time is
    O(n log n).

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
    """Process waiting jobs by earliest deadline and return the work that was done."""
    completed_work = 0.0
    while waiting and now_s < until_s:
        deadline_s, index, work = heapq.heappop(waiting)
        completed_part = max(0.0, min(work, deadline_s - now_s, until_s - now_s))
        completed_work += completed_part
        now_s += completed_part
        if work > completed_part and deadline_s > now_s:
            heapq.heappush(waiting, (deadline_s, index, work - completed_part))
    return completed_work
