"""Load of three ranks beyond the slots of one cell, with callers that return."""

import heapq
import itertools
import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from baobabwing.gateway.decisions.scheduling import PlacementRequest, PoolScheduler
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

SLOTS = 5
ENGINE = EngineSpec(slots=SLOTS, kv_tokens=200_000, tokens_per_event=4)
ENGINES = {f"engine-{number}": (0.6, 1.7)[number % 2] for number in range(14)}
INTERVAL_S = 0.045
SLOT_WAIT_S, TIMEOUT_S, LEAVES_AFTER_S = 6.0, 15.0, 2.0
TICK_S, SHED_EVERY = 0.01, 5
SECONDS = 90.0
LATE_WORTH = 0.3
# Rank: objective in s, prompt tokens, events, requests a second.
KINDS = {
    0: (0.835, 9_000, 10, 14.0),
    1: (0.619, 1_800, 5, 15.0),
    2: (0.515, 300, 56, 10.5),
}


@dataclass(kw_only=True, eq=False)
class Caller:
    rank: int
    asked_at: float
    habit: str
    size: int = 1
    attempts: int = 0
    result: str = "refused"


@dataclass(kw_only=True)
class Machine:
    """Engine that admits in order of arrival."""

    speed: float
    running: int = 0
    queue: deque = field(default_factory=deque)


class UnevenLoad:
    """One scheduler, engines of two speeds, and callers that return."""

    def __init__(self, seed, *, shares_machines, serve_in_time=True, load=1.75):
        self.rng = random.Random(seed)
        self.scheduler = PoolScheduler(
            engine=ENGINE, rng=random.Random(seed), serve_in_time=serve_in_time
        )
        self.scheduler.shares_machines = shares_machines
        self.scheduler.set_upstreams(
            UpstreamEntry(instance=name, pool="p", address="a", slots=SLOTS)
            for name in ENGINES
        )
        self.machines = {name: Machine(speed=speed) for name, speed in ENGINES.items()}
        self.load = load
        self.events = []
        self.order = itertools.count()
        self.callers = []
        self.by_number = {}
        self.refused_after = []
        self.busy_s = 0.0

    def at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.order), action, args))

    def bursts(self):
        """Return periods of several times the usual rate, 2 to 5 s long."""
        periods, start = [], 4.0
        while start < SECONDS:
            length = self.rng.uniform(2.0, 5.0)
            periods.append((start, start + length, self.rng.uniform(1.4, 2.1)))
            start += length + self.rng.uniform(4.0, 10.0)
        return periods

    def ask(self, caller, now):
        objective_s, prompt, events, _ = KINDS[caller.rank]
        caller.attempts += 1
        request = PlacementRequest(
            rank=caller.rank,
            route_rank=caller.rank,
            arrived_at=now,
            objective_at=caller.asked_at + objective_s,
            deadline_at=min(now + SLOT_WAIT_S, caller.asked_at + TIMEOUT_S),
            ends_at=caller.asked_at + TIMEOUT_S,
            prompt_tokens=prompt * caller.size,
            expected_output_tokens=events * ENGINE.tokens_per_event,
            prioritized=caller.attempts > 1,
        )
        self.by_number[request.number] = caller
        self.scheduler.submit(request)
        if caller.habit == "leaves":
            self.at(now + LEAVES_AFTER_S, self.scheduler.withdraw, request)

    def refuse(self, request, wait_s, now):
        caller = self.by_number[request.number]
        self.refused_after.append(now - request.arrived_at)
        if caller.attempts > 1 or caller.habit == "leaves":
            return
        wait_s = max(wait_s, 0.2) * self.rng.uniform(0.8, 1.2)
        if caller.habit == "early":
            wait_s = 0.1
        if wait_s <= (request.ends_at - now) / 3:
            self.at(now + wait_s, self.ask, caller, now + wait_s)

    def start(self, machine, grant, now):
        machine.running += 1
        _, _, events, _ = KINDS[grant.request.rank]
        first_s = 0.045 + grant.request.prompt_tokens / 39_300 + 0.02 * machine.running
        first_at = now + machine.speed * first_s
        self.at(first_at, self.first_event, grant, first_at)
        interval_s = machine.speed * INTERVAL_S
        ends_at = first_at + (events - 1) * interval_s
        self.busy_s += ends_at - now
        self.at(ends_at, self.end, machine, grant, interval_s, ends_at)

    def first_event(self, grant, now):
        grant.track.record_first_event(grant.request.number, now)
        caller = self.by_number[grant.request.number]
        in_aim = now <= grant.request.objective_at
        caller.result = "in_aim" if in_aim else "late"

    def end(self, machine, grant, interval_s, now):
        machine.running -= 1
        if machine.queue:
            self.start(machine, machine.queue.popleft(), now)
        grant.track.record_interval(interval_s)
        held_s = now - grant.granted_at
        self.scheduler.record_holding(held_s, grant.request.number)
        grant.track.remove_request(grant.request.number)

    def grant(self, now):
        for grant in self.scheduler.grants(now):
            machine = self.machines[grant.track.entry.instance]
            if machine.running < SLOTS:
                self.start(machine, grant, now)
            else:
                machine.queue.append(grant)

    def run(self):
        bursts = self.bursts()
        for tick in range(int(SECONDS / TICK_S)):
            now = tick * TICK_S
            while self.events and self.events[0][0] <= now:
                _, _, action, args = heapq.heappop(self.events)
                action(*args)
            factor = 1 + 0.3 * math.sin(2 * math.pi * now / 17.0)
            for start, end, height in bursts:
                factor *= height if start <= now < end else 1.0
            for rank, (_, _, _, rate) in KINDS.items():
                mean = self.load * factor * rate * TICK_S
                for _ in range(int(mean + self.rng.random())):
                    habit = self.rng.choices(("told", "early", "leaves"), (7, 2, 1))[0]
                    size = 3 if self.rng.random() < 0.1 else 1
                    caller = Caller(rank=rank, asked_at=now, habit=habit, size=size)
                    self.callers.append(caller)
                    self.ask(caller, now)
            self.grant(now)
            if tick % SHED_EVERY == 0 and now > 1.0:
                self.shed(now)
        return self

    def shed(self, now):
        for request in tuple(self.scheduler.waiting):
            if request.deadline_at <= now:
                self.scheduler.withdraw(request)
        for request, wait_s in self.scheduler.remove_unservable(now):
            self.refuse(request, wait_s, now)

    def served_again(self, habit):
        """Return the served share of the callers that were refused and came back."""
        refused = [
            caller
            for caller in self.callers
            if caller.habit == habit
            and (caller.attempts > 1 or caller.result == "refused")
        ]
        return sum(caller.result != "refused" for caller in refused) / len(refused)

    def served_share(self, *, rank, sizes):
        """Return the served share of the prompts of some sizes."""
        results = [
            caller.result
            for caller in self.callers
            if caller.rank == rank and caller.size in sizes
        ]
        return 1 - results.count("refused") / len(results)

    def results(self):
        """Return how many callers of each rank ended in each way."""
        return Counter((caller.rank, caller.result) for caller in self.callers)

    def shares(self, rank=None, habit=None):
        """Return the shares in aim, late and refused, and the share of worth."""
        results = Counter(
            caller.result
            for caller in self.callers
            if rank in (None, caller.rank) and habit in (None, caller.habit)
        )
        total = results.total()
        in_aim, late = results["in_aim"] / total, results["late"] / total
        worth = in_aim + LATE_WORTH * late
        return in_aim, late, 1 - in_aim - late, worth
