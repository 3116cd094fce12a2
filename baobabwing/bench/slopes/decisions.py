"""Processor time of decisions, without any wire."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from baobabwing.bench.slopes.fitting import Slope, fit, seconds_of
from baobabwing.bench.slopes.registry import measurement
from baobabwing.bench.slopes.state import ask_of, busy_cell
from baobabwing.brands.catalogue import Limits
from baobabwing.brands.slices import Demand, SliceHome
from baobabwing.pools.cell import Cell
from baobabwing.pools.permits import Done, Grant, LoadReport

__all__ = ["measure_decisions"]

QUEUES = (0, 125, 250, 500)
ENTRIES = (115, 230, 460)
IN_FLIGHT_CAPACITY = 48
REPEAT = 200
MICROSECONDS = 1e6
US = "us"


@measurement("decisions")
def measure_decisions() -> Iterable[Slope]:
    """Measure a permit's way through a cell, a slice, a load report and a tick."""
    yield fit(
        "time: permit and its return at a cell",
        unit=US,
        per="request already queued",
        points=[(size, _permit_us(size)) for size in QUEUES],
    )
    yield fit(
        "time: tick of a cell",
        unit=US,
        per="request already queued",
        points=[(size, _tick_us(size)) for size in QUEUES],
    )
    yield fit(
        "time: load report at a cell",
        unit=US,
        per="report",
        points=[(1, _report_us())],
    )
    yield fit(
        "time: slice lease at its home",
        unit=US,
        per="entry with a lease",
        points=[(size, _lease_us(size)) for size in ENTRIES],
    )


def _permit_us(queued: int) -> float:
    """Return the time of an ask and of the return of a permit.

    With a queue each return grants the ask at the head, so that the number of those
    that wait stays.
    """
    cell = _cell(queued)
    numbers = itertools.count(100_000)
    held = _granted(cell)
    moment = itertools.count(1)

    def step() -> None:
        now = next(moment) * 1e-4
        decisions = cell.submit(ask_of(next(numbers)), now)
        decisions += cell.done(held.pop(0), now)
        held.extend(_done(one) for one in decisions if isinstance(one, Grant))

    return seconds_of(step, repeat=REPEAT) * MICROSECONDS


def _tick_us(queued: int) -> float:
    cell = _cell(queued)
    moment = itertools.count(1)
    work = lambda: cell.tick(next(moment) * 0.02)  # noqa: E731
    return seconds_of(work, repeat=REPEAT) * MICROSECONDS


def _report_us() -> float:
    cell = _cell(0)
    moment = itertools.count(1)

    def step() -> None:
        now = next(moment) * 1e-3
        report = LoadReport(
            upstream="model-a-worker-0001", running=10, measured_at=now - 1e-4
        )
        cell.correct(report, now)

    return seconds_of(step, repeat=REPEAT) * MICROSECONDS


def _lease_us(entries: int) -> float:
    home = SliceHome(
        limits=Limits(requests_per_s=1e4, tokens_per_s=1e6, concurrency=10_000)
    )
    names = [f"entry-{number:03d}#1764800000000" for number in range(entries)]
    turn = itertools.cycle(names)
    moment = itertools.count(1)

    def step() -> None:
        demand = Demand(requests_per_s=1, tokens_per_s=100, open=2)
        home.lease(next(turn), demand, next(moment) * 1e-4)

    for _ in names:
        step()
    return seconds_of(step, repeat=REPEAT) * MICROSECONDS


def _cell(queued: int) -> Cell:
    """Return a cell in the middle of its work."""
    cell = busy_cell(0, capacity=IN_FLIGHT_CAPACITY)
    for number in range(10_000):
        cell.submit(ask_of(number), 0.0)
        if cell.snapshot().queued and _waiting(cell) >= max(queued, 1):
            break
    for done in _granted(cell)[: 1 if not queued else 0]:
        cell.done(done, 0.0)
    return cell


def _waiting(cell: Cell) -> int:
    return sum(tier.count for tier in cell.snapshot().queued)


def _granted(cell: Cell) -> list[Done]:
    """Return the ends of all permits in use, told by asking for them again."""
    found = []
    for number in range(10_000):
        for one in cell.submit(ask_of(number), 0.0):
            if isinstance(one, Grant):
                found.append(_done(one))
        if len(found) >= cell.snapshot().in_flight:
            return found
    return found


def _done(grant: Grant) -> Done:
    return Done(
        request_id=grant.request_id,
        upstream=grant.upstream,
        outcome="answered",
        first_token_s=0.1,
        tokens=460,
        duration_s=20.0,
        prompt_tokens=1_000,
    )
