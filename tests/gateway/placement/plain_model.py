"""Simulated fleet in front of few plain services that queue requests themselves."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from itertools import count

from baobabwing.exceptions import NoSlotError
from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.decisions.scheduling import PlacementRequest
from tests.gateway.placement.fleet_model import TRANSIT_S, ModelFleet

SERVICES = 3
SLOTS = 6
# Requests that wait in a service while its slots are taken; others are rejected.
QUEUE = 24
WORK_S = 0.09
# What the services serve together.
CAPACITY_PER_S = SERVICES * SLOTS / WORK_S
OBJECTIVE_S = 0.415
ENDS_S = 2.0
# Part of the requests that fail wherever they run. Seven in ten are not repeatable.
FAILING = 0.14
MAX_SENDS = 4


def _ignore(event, **fields):
    """Leave the log of hundreds of nodes out."""


@dataclass
class Service:
    """One plain service; counts the requests that it runs and that it rejects."""

    running: int = 0
    queue: deque = field(default_factory=deque)

    def accepts(self):
        return self.running < SLOTS or len(self.queue) < QUEUE

    async def run(self, work_s):
        if self.running < SLOTS:
            self.running += 1
        else:
            turn = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            await turn
        await asyncio.sleep(work_s)
        if self.queue:
            self.queue.popleft().set_result(None)
        else:
            self.running -= 1


class PlainFleet(ModelFleet):
    """Nodes in front of plain services.

    :param shared: whether the homes grant the slots.
    :ivar counts: sends, rejections, answers in time, late and failed, and refusals.
    :ivar runs: times that each request was run, by its number and whether it fails.
    """

    def __init__(self, monkeypatch, *, nodes, message_cpu_s, shared, seed=1):
        super().__init__(
            monkeypatch,
            nodes=nodes,
            engines=SERVICES,
            slots=SLOTS,
            message_cpu_s=message_cpu_s,
            seed=seed,
        )
        for module in ("pool", "placement.cell_homes"):
            monkeypatch.setattr(f"baobabwing.gateway.{module}.log", _ignore)
        self.shared = shared
        self.counts = Counter()
        self.runs = Counter()
        self._numbers = count()
        self.services = {name: Service() for name in self.in_flight}

    def engine_spec(self):
        return None

    async def start(self):
        await super().start()
        self.share(self.shared)

    def share(self, shared):
        for pool in self.pools:
            pool.scheduler.shares_machines = shared

    async def rush(self, rate, seconds):
        """Send plain requests to random nodes, and let them end."""
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            await asyncio.sleep(self.rng.expovariate(rate))
            pool = self.rng.choice(self.pools)
            task = asyncio.ensure_future(self._call(pool, next(self._numbers)))
            self.tasks.append(task)
            self.running[pool].append(task)

    async def _call(self, pool, number):
        counts = self.counts
        counts["asked"] += 1
        arrived, fails = self.clock.now, self.rng.random() < FAILING
        work_s = self.rng.uniform(0.5, 1.5) * WORK_S
        pool.budget.count_request(self.clock.now)
        excluded, failed_track, sends = set(), None, 0
        while True:
            request = PlacementRequest(
                rank=2,
                arrived_at=arrived,
                objective_at=arrived + OBJECTIVE_S,
                deadline_at=arrived + ENDS_S - 0.01,
                ends_at=arrived + ENDS_S,
                excluded=set(excluded),
            )
            try:
                grant = await pool.place(request, self._nodes)
            except (TimeoutError, NoSlotError):
                counts["refused"] += 1
                return
            sends += 1
            counts["sent"] += 1
            counts["by_home"] += bool(pool.describe(grant)["home"])
            track, sent_at = grant.track, self.clock.now
            service = self.services[track.entry.instance]
            await asyncio.sleep(TRANSIT_S)
            if not service.accepts():
                await asyncio.sleep(TRANSIT_S)
                counts["rejected"] += 1
                pool.record_refusal(grant)
                pool.free(grant, UpdateKind.FULL)
            else:
                self.runs[number, fails] += 1
                await service.run(work_s)
                await asyncio.sleep(TRANSIT_S)
                now = self.clock.now
                if not fails:
                    track.record_success()
                    track.record_interval(now - sent_at)
                    pool.free(grant, UpdateKind.DONE, now - sent_at)
                    in_time = now - arrived <= OBJECTIVE_S
                    counts["in_time" if in_time else "late"] += 1
                    return
                if failed_track is not None:
                    failed_track.undo_failure()
                else:
                    failed_track = track
                    track.record_failure(now)
                pool.free(grant, UpdateKind.RELEASED)
                if failed_track is not track or number % 10 < 7:
                    counts["failed"] += 1
                    return
            if sends >= MAX_SENDS or not pool.budget.try_take(self.clock.now):
                counts["refused"] += 1
                return
            pool.budget.spend()
            excluded.add(track.entry.instance)
            if not pool.any_open(excluded):
                await asyncio.sleep(sends * 0.05 * self.rng.uniform(0.5, 1.5))
                excluded.clear()
