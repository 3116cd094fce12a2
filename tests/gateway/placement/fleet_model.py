"""Simulated fleet with real placers and homes, in simulated time.

Each node handles its datagrams one after the other, and each takes processor time, so
that an overloaded home answers late. Nothing waits for real time; a simulated minute
takes some seconds.
"""

import asyncio
import gc
import selectors
import zlib
from collections import deque
from dataclasses import dataclass, field
from random import Random

from baobabwing.exceptions import NoSlotError
from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.decisions.retry_budget import RetryBudget
from baobabwing.gateway.decisions.scheduling import PlacementRequest, PoolScheduler
from baobabwing.gateway.decisions.zone_choice import zone_crc
from baobabwing.gateway.loop_delay import LoopDelayMonitor
from baobabwing.gateway.model import EngineSpec, UpstreamEntry
from baobabwing.gateway.placement import placer
from baobabwing.gateway.placement.cell_homes import CellHomes
from baobabwing.gateway.placement.codec import decode, encode
from baobabwing.gateway.placement.placer import Placer
from baobabwing.gateway.pool import PoolRuntime

# One-way latency between two nodes.
TRANSIT_S = 0.001
# Datagrams that a socket buffers, some 200 KB with the kernel's overhead.
SOCKET_CAPACITY = 250
# IP and UDP headers of a datagram.
HEADER_BYTES = 28


class Clock:
    """Simulated time of all nodes; advances only while all of them wait."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class _Selector(selectors.SelectSelector):
    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        events = super().select(0)
        if not events:
            assert timeout is not None, "all tasks wait, and no timer is set"
            self._clock.now += timeout
        return events


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer."""

    def __init__(self, clock):
        super().__init__(_Selector(clock))
        self._simulated = clock

    def time(self):
        return self._simulated.now


class SimulatedLink:
    """Link whose node handles received datagrams one at a time.

    :param message_cpu_s: processor time of the node for one datagram.
    """

    def __init__(self, fleet, address, message_cpu_s):
        self.address = address
        self.dropped = 0
        self.bytes = 0
        self.handled = 0
        self._fleet = fleet
        self._message_cpu_s = message_cpu_s
        self._handlers = {}
        self._inbox = deque()
        self._reading = False
        self.stopped = False
        self.zone = ""

    def handle(self, message_type, handler):
        self._handlers[message_type] = handler

    def send(self, address, message):
        data = encode(message)
        loop = asyncio.get_running_loop()
        target = self._fleet.links.get(address)
        if (
            target is not None
            and not self.stopped
            and self._fleet.reaches(self, target)
        ):
            if target is not self:
                self.bytes += len(data) + HEADER_BYTES
                target.bytes += len(data) + HEADER_BYTES
            loop.call_later(TRANSIT_S, target.arrive, data, self.address)

    def arrive(self, data, sender):
        if self.stopped:
            return
        if len(self._inbox) >= SOCKET_CAPACITY:
            self.dropped += 1
            return
        self._inbox.append((data, sender))
        if not self._reading:
            self._reading = True
            self._read_next()

    def _read_next(self):
        if not self._inbox or self.stopped:
            self._reading = False
            return
        asyncio.get_running_loop().call_later(self._message_cpu_s, self._read)

    def _read(self):
        if self._inbox and not self.stopped:
            data, sender = self._inbox.popleft()
            message = decode(data)
            self.handled += 1
            self._handlers[type(message)](message, sender)
        self._read_next()


class FixedRankingMembers:
    """Membership with one fixed ranking for all resources."""

    def __init__(self, fleet):
        self._fleet = fleet

    @property
    def total(self):
        return len(self._fleet.links)

    def on_change(self, listener):
        self._fleet.listeners.append(listener)

    def gone(self):
        return self._fleet.declared_dead

    def homes(self, resource, count):
        return list(self._fleet.links)[:count]


class PerResourceMembers(FixedRankingMembers):
    """Membership with a ranking of its own for each resource."""

    def homes(self, resource, count):
        names = list(self._fleet.links)
        offset = zlib.crc32(resource.encode()) % len(names)
        return (names[offset:] + names[:offset])[:count]


@dataclass
class SecondStats:
    """Outcome of the requests that arrived in one second.

    :param crossed: requests placed in another zone than their node's.
    :param placed_locally: requests that their node placed without a home.
    :param refused: requests without a slot, refused or past their deadline.
    """

    requested: int = 0
    placed_by_home: int = 0
    placed_locally: int = 0
    refused: int = 0
    crossed: int = 0
    waits_s: list = field(default_factory=list)


class ModelFleet:
    """Nodes with one cell of engines.

    :param message_cpu_s: processor time of a node for one datagram.
    :param members: class of the simulated membership.
    :cvar uses_homes: whether the nodes ask homes for slots.
    :param zones: availability zones of the nodes and of the engines, in turn.
    :param zone_price_s_per_mb: price of leaving a zone.
    :ivar cut_zones: two zones between which no datagram arrives.
    :ivar exclusion_times: when a node excluded a home, in simulated time.
    :ivar seconds: outcomes of requests by the second of their arrival.
    """

    uses_homes = True

    def __init__(
        self,
        monkeypatch,
        *,
        nodes,
        engines,
        slots,
        message_cpu_s,
        seed=1,
        members=FixedRankingMembers,
        zones=("",),
        zone_price_s_per_mb=0.0,
    ):
        self.zones = zones
        self.cut_zones = ()
        self.zone_by_pool = {}
        self._zone_price_s_per_mb = zone_price_s_per_mb
        self.clock = Clock()
        for module in (
            "baobabwing.gateway.placement.placer",
            "baobabwing.gateway.placement.cell_homes",
            "baobabwing.gateway.pool",
            "baobabwing.gateway.loop_delay",
        ):
            monkeypatch.setattr(f"{module}.time.monotonic", self.clock)
        self.exclusion_times = []
        monkeypatch.setattr(placer, "log", self._record_log)
        self.rng = Random(seed)
        self.links = {}
        self.listeners = []
        self.declared_dead = set()
        self.seconds = {}
        self.in_flight = {f"e{index}": 0 for index in range(engines)}
        self.max_in_flight = 0
        self._slots = slots
        self._nodes = nodes
        self._members = members
        self._message_cpu_s = message_cpu_s

    def _record_log(self, event, **fields):
        if event.name == "home_silent":
            self.exclusion_times.append(self.clock.now)

    def engine_spec(self):
        return EngineSpec(slots=self._slots, kv_tokens=1_000_000)

    async def start(self):
        members = self._members(self)
        entries = [
            UpstreamEntry(
                instance=name,
                pool="p",
                address="a",
                slots=self._slots,
                zone=self.zones[index % len(self.zones)],
            )
            for index, name in enumerate(self.in_flight)
        ]
        self.tasks, self.pools = [], []
        self.running = {}
        for number in range(self._nodes):
            address = f"10.0.0.{number}:1"
            link = SimulatedLink(self, address, self._message_cpu_s)
            link.zone = self.zones[number % len(self.zones)]
            self.links[address] = link
            rng = Random(self.rng.random())
            homes = CellHomes(link=link, members=members, rng=rng)
            placer = Placer(
                link=link, members=members, rng=rng, watch=LoopDelayMonitor()
            )
            pool = PoolRuntime(
                name="p",
                scheduler=PoolScheduler(engine=self.engine_spec(), rng=rng),
                budget=RetryBudget(
                    ratio=0.2, slack=50.0, window_s=10.0, now=0.0, full=True
                ),
                placer=placer if self.uses_homes else None,
                rng=rng,
            )
            pool.scheduler.shares_machines = bool(self._zone_price_s_per_mb)
            pool.scheduler.zone_price_s_per_mb = self._zone_price_s_per_mb
            pool.scheduler.set_upstreams(entries)
            pool.cells.set_upstreams(entries)
            homes.list_pool(pool.cells)
            self.zone_by_pool[pool] = link.zone
            self.pools.append(pool)
            self.running[pool] = [
                asyncio.ensure_future(homes.run()),
                asyncio.ensure_future(placer.run()),
            ]
            self.tasks += self.running[pool]

    def reaches(self, sender, target):
        """Whether datagrams arrive, which a cut between two zones prevents."""
        return {sender.zone, target.zone} != set(self.cut_zones)

    async def kill(self, fraction, *, detection_delay_s):
        """Stop the last nodes; their requests end, and their death is declared later.

        :param fraction: part of the nodes to stop.
        :param detection_delay_s: time until the other nodes know of the deaths.
        """
        count = int(fraction * self._nodes)
        for address in list(self.links)[-count:]:
            self.links[address].stopped = True
            self.declared_dead.add(address)
        self.pools, dead = self.pools[:-count], self.pools[-count:]
        for pool in dead:
            for task in self.running.pop(pool):
                task.cancel()
        # The listeners of dead nodes are called too; their links are stopped.
        asyncio.get_running_loop().call_later(detection_delay_s, self._notify_listeners)

    def _notify_listeners(self):
        for listener in self.listeners:
            listener()

    def stop(self):
        for task in self.tasks:
            task.cancel()

    async def load(self, rate, seconds, *, first_event_s=0.2, hold_s=0.5, pools=()):
        """Send requests to random nodes for some seconds.

        :param rate: mean requests per second.
        :param first_event_s: time from the grant to the first event.
        :param hold_s: a request holds its slot for 0.5 to 1.5 times this, and half of
            ``first_event_s``.
        :param pools: those of the nodes that get the requests; all by default.
        """
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            await asyncio.sleep(self.rng.expovariate(rate))
            pool = self.rng.choice(pools or self.pools)
            task = asyncio.ensure_future(self._request(pool, first_event_s, hold_s))
            self.tasks.append(task)
            self.running[pool].append(task)

    async def _request(self, pool, first_event_s, hold_s):
        started_at = self.clock.now
        second = self.seconds.setdefault(int(started_at), SecondStats())
        second.requested += 1
        zone = self.zone_by_pool.get(pool, "")
        request = PlacementRequest(
            rank=0,
            arrived_at=started_at,
            objective_at=started_at + 0.8,
            deadline_at=started_at + 3.0,
            ends_at=started_at + 6.0,
            prompt_tokens=1000,
            expected_output_tokens=40,
            zone=zone_crc(zone),
            expected_bytes=10_000,
        )
        try:
            grant = await pool.place(request, self._nodes)
        except (TimeoutError, NoSlotError):
            second.refused += 1
            return
        second.waits_s.append(self.clock.now - started_at)
        if pool.describe(grant)["home"]:
            second.placed_by_home += 1
        else:
            second.placed_locally += 1
        second.crossed += grant.track.entry.zone != zone
        engine = grant.track.entry.instance
        self.in_flight[engine] += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight[engine])
        await asyncio.sleep(first_event_s)
        pool.first_event(grant)
        await asyncio.sleep(self.rng.uniform(0.5, 1.5) * hold_s - first_event_s / 2)
        self.in_flight[engine] -= 1
        pool.free(grant, UpdateKind.DONE, 0.03)


def run_scenario(fleet, scenario):
    """Run a scenario in the fleet's simulated time."""
    loop = SimulatedLoop(fleet.clock)

    async def main():
        await fleet.start()
        try:
            await scenario()
        finally:
            fleet.stop()
            await asyncio.sleep(0)

    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
        # Collected later, hundreds of nodes would make a test in real time pause.
        gc.collect()
