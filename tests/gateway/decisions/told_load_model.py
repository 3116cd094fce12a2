"""Nodes that place requests at plain services or engines on shared machines."""

import heapq
import itertools
from collections import deque
from random import Random

from baobabwing.gateway.decisions.scheduling import PlacementRequest, PoolScheduler
from baobabwing.gateway.decisions.told_load import ToldLoad
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

TRANSIT_S = 0.001
SPEEDS = (0.6, 1.7, 1.0)
SLOW_FACTOR, SLOW_S, SLOW_EVERY_S = 2.5, 0.6, 4.0


class TwoChoices(PoolScheduler):
    """Takes the better of two random upstreams by expected time."""

    def _place(self, request, free, now):
        if len(free) > 2:
            free = self._rng.sample(free, 2)
        return super()._place(request, free, now)


class Told(PoolScheduler):
    """Counts reports as evidence."""

    def __init__(self, **more):
        super().__init__(**more)
        self.shares_machines = True


class Machine:
    """An upstream that serves in order of arrival, and is disturbed at times."""

    def __init__(self, play, name, work, slots, room):
        self.play, self.name, self.work, self.slots = play, name, work, slots
        self.room, self.busy, self.queue = room, 0, deque()
        self.slow_until, self.told_percent, self.served = 0.0, None, 0

    def percent(self):
        slow = SLOW_FACTOR if self.play.now < self.slow_until else 1.0
        return round(100 * self.work * slow)

    def arrive(self, job):
        if self.busy >= self.slots and len(self.queue) >= self.room:
            self.play.later(TRANSIT_S, self.play.refused, job, self.report())
        elif self.busy < self.slots:
            self.start(job)
        else:
            self.queue.append(job)

    def start(self, job):
        self.busy += 1
        seconds = job.work_s * self.percent() / 100
        job.first_s = job.first_share * seconds
        if job.first_share < 1:
            self.play.later(
                job.first_s + TRANSIT_S, self.play.began, job, self.report()
            )
        self.play.later(seconds, self.end, job)

    def end(self, job):
        self.busy -= 1
        self.served += 1
        if self.queue:
            self.start(self.queue.popleft())
        self.play.later(TRANSIT_S, self.play.answered, job, self.report())

    def report(self):
        percent = self.percent() if self.told_percent is None else self.told_percent
        if self.play.figures_told == 3:
            percent = None
        return self.busy, len(self.queue), self.slots, percent


class Job:
    def __init__(self, node, at, work_s, first_share=1.0):
        self.node, self.at, self.work_s = node, at, work_s
        self.first_share, self.tries, self.excluded = first_share, 0, set()
        self.first_at = None


class Play:
    """One play.

    :param figures_told: how many figures upstreams report: 4, 3 or 0.
    """

    def __init__(
        self, scheduler, *, nodes, seed, rate, seconds, engines=False, figures_told=4
    ):
        self.figures_told = figures_told
        self.now, self.events, self.ids = 0.0, [], itertools.count()
        self.rng, self.engines = Random(seed), engines
        self.rate, self.seconds = rate, seconds
        engine = EngineSpec(slots=5, kv_tokens=100_000) if engines else None
        count, slots, room = (45, 5, 5) if engines else (3, 6, 24)
        entries = [
            UpstreamEntry(instance=f"u{n}", pool="p", address="a", slots=slots)
            for n in range(count)
        ]
        self.machines = {
            entry.instance: Machine(
                self, entry.instance, SPEEDS[n % len(SPEEDS)], slots, room
            )
            for n, entry in enumerate(entries)
        }
        # Engines' requests of all nodes are placed by one home, which is a node too.
        self.homes = [
            scheduler(engine=engine, rng=Random(seed + n))
            for n in range(1 if engines else nodes)
        ]
        for home in self.homes:
            home.set_upstreams(entries)
            home.nodes = nodes
        self.nodes = nodes
        self.taken, self.sent, self.refusals, self.done = [], 0, 0, []
        self.waiting = {}

    def later(self, delay_s, call, *args):
        heapq.heappush(self.events, (self.now + delay_s, next(self.ids), call, args))

    def run(self):
        self.later(0, self.arrival)
        for machine in self.machines.values():
            self.later(self.rng.expovariate(1 / SLOW_EVERY_S), self.disturb, machine)
        while self.events:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self

    def disturb(self, machine):
        machine.slow_until = self.now + SLOW_S
        if self.now < self.seconds:
            self.later(
                SLOW_S + self.rng.expovariate(1 / SLOW_EVERY_S), self.disturb, machine
            )

    def arrival(self):
        if self.now >= self.seconds:
            return
        self.later(self.rng.expovariate(self.rate), self.arrival)
        node = self.rng.randrange(self.nodes)
        work_s = 0.09 * self.rng.uniform(0.5, 1.5)
        share = 1.0
        if self.engines:
            work_s, share = 0.6 * self.rng.uniform(0.5, 1.5), 0.15
        job = Job(node, self.now, work_s, share)
        self.taken.append(job)
        self.submit(job)

    def submit(self, job):
        job.tries += 1
        home = self.homes[0 if self.engines else job.node]
        job.request = PlacementRequest(
            rank=0,
            arrived_at=job.at,
            objective_at=job.at + 0.415,
            deadline_at=job.at + 3,
            ends_at=job.at + 5,
            prompt_tokens=1000 if self.engines else 0,
            expected_output_tokens=60 if self.engines else 0,
            excluded=job.excluded,
        )
        self.waiting[job.request.number] = job
        home.submit(job.request)
        self.pump(home)

    def pump(self, home):
        for grant in home.grants(self.now):
            job = self.waiting.pop(grant.request.number)
            job.track, job.sent_at, job.home = grant.track, self.now, home
            self.sent += 1
            machine = self.machines[grant.track.entry.instance]
            self.later(TRANSIT_S, machine.arrive, job)

    def told(self, job, report):
        # A home hears reports only of the requests that its own node sends.
        if not self.figures_told or (self.engines and job.node != 0):
            return
        running, waiting, slots, percent = report
        job.track.record_told_load(
            ToldLoad(
                running=running,
                waiting=waiting,
                slots=slots,
                work_percent=percent,
                at=self.now,
            )
        )

    def began(self, job, report):
        job.first_at = self.now
        self.told(job, report)
        job.track.record_first_event(job.request.number, self.now)

    def answered(self, job, report):
        job.track.remove_request(job.request.number)
        if self.engines:
            job.track.record_interval((self.now - job.first_at) / 20)
        else:
            self.told(job, report)
            job.track.record_interval(self.now - job.sent_at)
        job.home.record_holding(self.now - job.sent_at)
        job.seconds = (job.first_at or self.now) - job.at
        self.done.append((job.seconds, self.now - job.at))
        self.pump(job.home)

    def refused(self, job, report):
        self.refusals += 1
        job.track.remove_request(job.request.number)
        self.told(job, report)
        job.home.record_refusal(job.track, self.now)
        self.pump(job.home)
        if job.tries < 2:
            job.excluded.add(job.track.entry.instance)
            self.submit(job)

    def figures(self, aim_s=0.415):
        """Return the shares in time and refused, the mean and the 95th percentile."""
        firsts = sorted(first for first, _ in self.done)
        in_time = sum(first <= aim_s for first in firsts) / len(self.taken)
        return (
            in_time,
            self.refusals / self.sent,
            sum(firsts) / len(firsts),
            firsts[int(0.95 * len(firsts))],
            sum(whole for _, whole in self.done) / len(self.done),
        )
