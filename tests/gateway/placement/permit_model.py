"""Simulated fleet whose upstreams state rate limits, in simulated time."""

import asyncio
import zlib
from collections import defaultdict
from random import Random
from types import SimpleNamespace

from baobabwing.exceptions import NoSlotError
from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.decisions.retry_budget import RetryBudget
from baobabwing.gateway.decisions.scheduling import PlacementRequest, PoolScheduler
from baobabwing.gateway.loop_delay import LoopDelayMonitor
from baobabwing.gateway.metrics import GatewayMetrics
from baobabwing.gateway.model import EngineSpec, UpstreamEntry
from baobabwing.gateway.placement.cell_homes import CellHomes, cell_resource
from baobabwing.gateway.placement.placer import Placer
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.send_permits import SendPermits
from tests.gateway.placement.fleet_model import ModelFleet, SimulatedLink

MESSAGE_CPU_S = 0.00005
# Time until the others know of the death of a node, and of one that has joined.
DETECTION_S = 1.7
JOIN_S = 0.5
ANSWER_S = 0.02


class NodeMembers:
    """Membership as one node sees it.

    :ivar known: addresses of the nodes that this one takes for members.
    """

    def __init__(self, fleet, address):
        self._fleet = fleet
        self.work = address
        self.known = set()
        self._listeners = []

    @property
    def total(self):
        return self._fleet.total

    @property
    def joining(self):
        return len(self.known) == 1 and self._fleet.total > 1

    def on_change(self, listener):
        self._listeners.append(listener)

    def gone(self):
        return set(self._fleet.links) - self.known

    def others(self):
        return [SimpleNamespace(work=one) for one in self.known - {self.work}]

    def homes(self, resource, count):
        ranked = sorted(
            self.known, key=lambda address: zlib.crc32(f"{resource} {address}".encode())
        )
        return ranked[:count]

    def see(self, known):
        self.known = known
        for listener in self._listeners:
            listener()


class PermitFleet(ModelFleet):
    """Nodes with one pool of upstreams, some of which limit what they take.

    :param plain: whether the upstreams are plain services.
    :param shares: whether homes grant the slots of these.
    :ivar limits: requests a second that upstreams take, by name.
    :ivar arrivals: when requests arrived at each upstream.
    :ivar side: part of a partition that a node is in, by its address; 0 by default.
    """

    def __init__(
        self, monkeypatch, *, nodes, upstreams, slots=8, plain, shares=False, seed=1
    ):
        super().__init__(
            monkeypatch,
            nodes=nodes,
            engines=upstreams,
            slots=slots,
            message_cpu_s=MESSAGE_CPU_S,
            seed=seed,
        )
        for module in ("send_permits", "pool"):
            monkeypatch.setattr(f"baobabwing.gateway.{module}.log", _log_nothing)
        self.total = nodes
        self.plain = plain
        self.shares = shares
        self.limits = {}
        self.arrivals = defaultdict(list)
        self.side = defaultdict(int)
        self.members = {}
        self.served = self.refused = 0
        self._numbers = iter(range(1_000_000))

    async def start(self):
        self.tasks, self.pools, self.running = [], [], {}
        for _ in range(self._nodes):
            self.add_node()
        for members in self.members.values():
            members.see(set(self.links))

    def add_node(self, address=None, listed_after_s=0.0):
        """Start a node that knows nobody yet.

        :param listed_after_s: until then it knows no pool, and gets no requests.
        """
        address = address or f"10.0.0.{next(self._numbers)}:1"
        link = _CutLink(self, address)
        self.links[address] = link
        members = self.members[address] = NodeMembers(self, address)
        members.known = {address}
        rng = Random(self.rng.random())
        spec = None if self.plain else EngineSpec(slots=self._slots, kv_tokens=10**6)
        homes = CellHomes(link=link, members=members, rng=rng)
        placer = Placer(link=link, members=members, rng=rng, watch=LoopDelayMonitor())
        pool = PoolRuntime(
            name="p",
            scheduler=PoolScheduler(engine=spec, rng=rng),
            budget=RetryBudget(ratio=0.2, slack=50.0, window_s=10.0, now=0.0),
            placer=None if self.plain and not self.shares else placer,
            rng=rng,
        )
        pool.scheduler.shares_machines = self.shares
        entries = [
            UpstreamEntry(instance=name, pool="p", address="a", slots=self._slots)
            for name in self.in_flight
        ]
        pool.scheduler.set_upstreams(entries)
        pool.cells.set_upstreams(entries)
        pools = {}
        state = SimpleNamespace(
            pools=pools,
            pool_by_crc=lambda crc: pools["p"] if pools else None,
        )
        pool.permits = SendPermits(
            state=state, members=members, link=link, metrics=GatewayMetrics()
        )
        pool.address = address

        def list_pool():
            pools["p"] = pool
            homes.list_pool(pool.cells)
            self.pools.append(pool)

        if listed_after_s:
            self.later(listed_after_s, list_pool)
        else:
            list_pool()
        self.running[pool] = [
            asyncio.ensure_future(homes.run()),
            asyncio.ensure_future(placer.run()),
        ]
        self.tasks += self.running[pool]
        return address

    def kill(self, pool):
        """Kill a node; the others don't learn of it."""
        self.pools.remove(pool)
        self.links[pool.address].stopped = True
        for task in self.running.pop(pool):
            task.cancel()

    def restart_homes(self, *, listed_after_s):
        """Kill the homes of all cells, and start them again at the same addresses.

        The others take them for running all the while.
        """
        members, cells = self.members[self.pools[0].address], self.pools[0].cells
        resources = [cell_resource("p", index) for index in range(len(cells.layout))]
        homes = {address for one in resources for address in members.homes(one, 1)}
        for pool in [pool for pool in self.pools if pool.address in homes]:
            self.kill(pool)
            self.add_node(pool.address, listed_after_s)
        self.later(JOIN_S, lambda: self.see_all({pool.address for pool in self.pools}))

    def kill_nodes(self, count):
        """Kill nodes; the others learn of it later."""
        for pool in self.rng.sample(self.pools, count):
            self.kill(pool)
        running = {pool.address for pool in self.pools}
        self.later(DETECTION_S, lambda: self.see_all(running))

    def join(self, count):
        """Start nodes that the others know of soon."""
        added = {self.add_node() for _ in range(count)}
        self.later(JOIN_S, lambda: self.see_all({pool.address for pool in self.pools}))
        return added

    def cut(self, count):
        """Cut some nodes off from the others; both sides learn of it later."""
        for pool in self.rng.sample(self.pools, count):
            self.side[pool.address] = 1
        for side in (0, 1):
            part = {p.address for p in self.pools if self.side[p.address] == side}
            # Sides don't learn of it at the same time.
            self.later(
                DETECTION_S * (0.8 + 0.2 * side), lambda part=part: self.see_part(part)
            )

    def see_all(self, known):
        for pool in self.pools:
            pool.rate_limits.set_share(1.0, self.clock.now)
            self.members[pool.address].see(known)

    def see_part(self, part):
        for pool in self.pools:
            if pool.address in part:
                pool.rate_limits.set_share(len(part) / self.total, self.clock.now)
                self.members[pool.address].see(part)

    def later(self, seconds, action):
        asyncio.get_running_loop().call_later(seconds, action)

    async def _request(self, pool, first_event_s, hold_s):
        now = self.clock.now
        request = PlacementRequest(
            rank=0,
            arrived_at=now,
            objective_at=now + 0.4,
            deadline_at=now + 1.5,
            ends_at=now + 2.0,
        )
        try:
            grant = await pool.place(request, self._nodes)
        except (TimeoutError, NoSlotError):
            self.refused += 1
            return
        self.served += 1
        name, sent_at = grant.track.entry.instance, self.clock.now
        self.arrivals[name].append(sent_at)
        limit = self.limits.get(name)
        await asyncio.sleep(first_event_s)
        pool.note_rate_limit(grant.track, limit, sent_at=sent_at)
        if not self.plain:
            pool.first_event(grant)
        await asyncio.sleep(hold_s)
        pool.free(grant, UpdateKind.DONE, 0.03)

    def most(self, name, since, window_s=4.0):
        """Return the most arrivals at an upstream in a window."""
        times = [at for at in self.arrivals[name] if at >= since]
        return max(
            (sum(begin <= at < begin + window_s for at in times) for begin in times),
            default=0,
        )


def _log_nothing(event, **fields):
    pass


class _CutLink(SimulatedLink):
    """Link that delivers nothing to the other side of a partition."""

    def __init__(self, fleet, address):
        super().__init__(fleet, address, MESSAGE_CPU_S)
        self._sides = fleet.side

    def send(self, address, message):
        if self._sides[address] == self._sides[self.address]:
            super().send(address, message)
