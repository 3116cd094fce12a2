"""Slots of a pool that come from homes."""

import random
import time

import pytest

from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.decisions.retry_budget import RetryBudget
from baobabwing.gateway.decisions.scheduling import (
    Grant,
    PlacementRequest,
    PoolScheduler,
)
from baobabwing.gateway.model import EngineSpec, UpstreamEntry
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.send_permits import Permit


class GrantingPlacer:
    """Grants each move the same slot, and keeps what the home is told."""

    def __init__(self):
        self.grant = None
        self.noted = []

    async def move(self, cells, request, grant):
        return self.grant

    def note(self, grant, kind, interval_s=None):
        self.noted.append(kind)


class RefusingPermits:
    async def obtain(self, pool, track, wait_s):
        return Permit(granted=False, seconds=0.5)


@pytest.mark.parametrize("has_permit", [False, True])
def test_slot_for_a_move_is_given_back_if_its_home_did_not_count_it(run, has_permit):
    """A home that has just started knows of no limit yet."""

    async def scenario():
        placer = GrantingPlacer()
        pool = PoolRuntime(
            name="p",
            scheduler=PoolScheduler(
                engine=EngineSpec(slots=2, kv_tokens=1000), rng=random.Random(1)
            ),
            budget=RetryBudget(ratio=0.2, slack=50.0, window_s=10.0, now=0.0),
            placer=placer,
        )
        entry = UpstreamEntry(instance="e0", pool="p", address="a", slots=2)
        pool.scheduler.set_upstreams([entry])
        track = pool.scheduler.tracks["e0"]
        pool.rate_limits.set(track.crc, 2.0, 0.0)
        request = PlacementRequest(
            rank=0, arrived_at=0.0, objective_at=1.0, deadline_at=2.0, ends_at=3.0
        )
        grant = Grant(
            request=request,
            track=track,
            predicted_s=0.1,
            granted_at=0.0,
            has_permit=has_permit,
        )
        pool.permits = RefusingPermits()
        placer.grant = grant
        moved = await pool.move(request, grant)
        assert moved is (grant if has_permit else None)
        assert placer.noted == ([] if has_permit else [UpdateKind.RELEASED])

    run(scenario())


class CountingPlacer:
    """Grants nothing, and counts the requests for slots."""

    def __init__(self):
        self.asked = 0

    async def place(self, cells, request, *, max_answer_s=None):
        self.asked += 1

    def state_of(self, cells):
        return None

    def note(self, grant, kind, interval_s=None):
        """Ignore the update; no slot came from a home."""


@pytest.mark.parametrize(
    ("shares", "allowed", "nodes", "asked"),
    [(True, True, 9, 1), (False, True, 9, 0), (True, False, 9, 0), (True, True, 2, 0)],
)
def test_homes_are_asked_for_slots_of_few_services_that_share_their_machines(
    run, shares, allowed, nodes, asked
):
    async def scenario():
        placer = CountingPlacer()
        pool = PoolRuntime(
            name="p",
            scheduler=PoolScheduler(engine=None, rng=random.Random(1)),
            budget=RetryBudget(ratio=0.2, slack=50.0, window_s=10.0, now=0.0),
            placer=placer,
            share_plain_slots=allowed,
            rng=random.Random(1),
        )
        pool.scheduler.shares_machines = shares
        entry = UpstreamEntry(instance="s0", pool="p", address="a", slots=2)
        pool.scheduler.set_upstreams([entry])
        now = time.monotonic()
        for _ in range(2):
            request = PlacementRequest(
                rank=0, arrived_at=now, objective_at=now + 1.0, deadline_at=now + 5.0
            )
            grant = await pool.place(request, nodes)
            pool.free(grant, UpdateKind.DONE, 0.01)
        # After a home gave no answer none is asked for a while.
        assert placer.asked == asked
        assert not grant.track.own

    run(scenario())
