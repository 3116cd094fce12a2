"""Harness that drives a cell with its own clock and records its decisions."""

import pytest

from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.cell import Cell
from baobabwing.pools.permits import (
    Grant,
    Outcome,
    PermitEnd,
    PlacementRequest,
    Refusal,
)

ENTRY = "n1#1"


class CellHarness:
    """Drives one cell and keeps grants in use and refusals by request id.

    ``order`` lists the ids of the granted requests in the order of the grants.
    """

    def __init__(self, upstreams, **pool):
        pool.setdefault("kind", PoolKind.ENGINE)
        self.pool = Pool(name="p", **pool)
        self.now = 0.0
        self.cell = Cell(name="cell", now=0.0)
        self.running = {}
        self.refusals = {}
        self.order = []
        self.configure(upstreams)

    def configure(self, upstreams):
        self.record(self.cell.configure(self.pool, upstreams, self.now))

    def record(self, decisions):
        for decision in decisions:
            if isinstance(decision, Grant):
                self.running[decision.request_id] = decision
                self.order.append(decision.request_id)
            elif isinstance(decision, Refusal):
                self.refusals[decision.request_id] = decision
        return decisions

    def submit(self, request_id, rank=0, budget=60.0, organisation="salon", **changes):
        changes.setdefault("prompt_tokens", 80)
        changes.setdefault("output_tokens", 10)
        item = PlacementRequest(
            request_id=request_id,
            entry=ENTRY,
            pool="p",
            organisation=organisation,
            tier_rank=rank,
            deadline=self.now + budget,
            **changes,
        )
        self.record(self.cell.submit(item, self.now))
        return self.running.get(request_id) or self.refusals.get(request_id)

    def end(self, request_id, duration=0.09, outcome=Outcome.ANSWERED, **changes):
        grant = self.running.pop(request_id)
        changes.setdefault("first_token_s", duration / 9)
        changes.setdefault("tokens", 10)
        changes.setdefault("prompt_tokens", 80)
        end = PermitEnd(
            request_id=request_id,
            upstream=grant.upstream,
            outcome=outcome,
            duration_s=duration,
            **changes,
        )
        self.record(self.cell.end_permit(end, self.now))

    def advance(self, seconds):
        """Advance the clock in ticks of 20 ms."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 0.02, end)
            self.record(self.cell.tick(self.now))

    def upstream(self, name):
        return next(u for u in self.cell.snapshot().upstreams if u.name == name)


def _engines(count, capacity=4, **changes):
    return [
        Upstream(
            name=f"u{i}",
            pool="p",
            address=f"127.0.0.1:{9000 + i}",
            capacity=capacity,
            **changes,
        )
        for i in range(count)
    ]


@pytest.fixture
def engines():
    """Return a factory of lists of upstreams named u0, u1 and so on."""
    return _engines


@pytest.fixture
def make_harness():
    """Return a factory of harnesses by number of upstreams, capacity and pool."""

    def make(count=1, capacity=4, kind=PoolKind.ENGINE, upstreams=None, **pool):
        upstreams = _engines(count, capacity) if upstreams is None else upstreams
        return CellHarness(upstreams, kind=kind, **pool)

    return make
