"""Slopes by least squares, and the ways to measure their points."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import fmean, median

__all__ = [
    "ROUNDS",
    "Slope",
    "fit",
    "heap_bytes",
    "process_seconds_of",
    "resident_bytes",
    "seconds_of",
]

ROUNDS = 3
_STATUS = "/proc/self/status"
_KILOBYTE = 1024


@dataclass(frozen=True, kw_only=True)
class Slope:
    """What one more of something costs, and what there is without any.

    :param unit: of the cost, such as ``"bytes"`` or ``"us"``.
    :param per: what is counted, such as ``"queued request"``.
    :param points: sizes and the costs measured at them.
    :param worst: the largest distance of a point from the line, as a share of the
        largest cost.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    slope: float
    fixed: float
    worst: float

    def at(self, size: float) -> float:
        """Return the cost at a size, by the line."""
        return self.fixed + self.slope * size


def fit(
    name: str, *, unit: str, per: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Fit a line to points; one point alone is taken as a cost without a slope.

    :raises ValueError: if there is no point.
    """
    if not points:
        raise ValueError(f"no points for {name}")
    mean_x = fmean(x for x, _ in points)
    mean_y = fmean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    product = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = product / spread if spread else 0.0
    fixed = mean_y - slope * mean_x
    most = max(abs(y) for _, y in points) or 1.0
    worst = max(abs(y - fixed - slope * x) for x, y in points) / most
    return Slope(
        name=name,
        unit=unit,
        per=per,
        points=tuple((float(x), float(y)) for x, y in points),
        slope=slope,
        fixed=fixed,
        worst=worst,
    )


def heap_bytes(build: Callable[[], object]) -> float:
    """Return the memory that what ``build`` returns holds.

    Counted by the interpreter's own allocator hooks, so that neither other threads'
    load nor the operating system's pages blur it.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return float(after - before)


def seconds_of(work: Callable[[], object], *, repeat: int = 1) -> float:
    """Return the processor time of one call, the median of some rounds.

    Only this thread's time counts, which a busy host changes little.

    :param repeat: calls in one round.
    """
    rounds = []
    for _ in range(ROUNDS):
        began = time.thread_time()
        for _ in range(repeat):
            work()
        rounds.append((time.thread_time() - began) / repeat)
    return median(rounds)


def resident_bytes() -> float:
    """Return the resident memory of this process."""
    with open(_STATUS, encoding="ascii") as status:
        line = next(one for one in status if one.startswith("VmRSS"))
    return float(int(line.split()[1]) * _KILOBYTE)


def process_seconds_of(work: Callable[[], object]) -> float:
    """Return the processor time that all threads of this process spend on a call."""
    began = time.process_time()
    work()
    return time.process_time() - began
