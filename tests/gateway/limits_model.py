"""A simulation of a fleet that shares an organisation's limit, in simulated time.

The nodes run the real quota books and exchanges of usage. They start, join the others
after a while, are killed and started again, and their messages arrive late or are lost.
"""

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass
from random import Random

from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.gateway import limits_exchange, members
from baobabwing.gateway.decisions.charges import Tolerance
from baobabwing.gateway.decisions.quotas import QuotaBook
from baobabwing.gateway.limits_exchange import LimitsExchange
from baobabwing.gateway.model import OrganisationSpec, QuotaUnit
from baobabwing.gateway.placement.codec import decode, encode
from baobabwing.gateway.settings import GatewaySettings
from tests.gateway.placement.fleet_model import Clock, SimulatedLoop

RATE = 1000.0
SPEC = OrganisationSpec(
    name="acme",
    keys=(),
    unit=QuotaUnit.TOKENS,
    rate_per_s=RATE,
    burst=RATE,
    plain_units=50.0,
)
WINDOW_S = 8.0
# The slack is less than a second of the rate, which is usual for a large rate.
TOLERANCE = Tolerance(window_s=WINDOW_S, over=0.1, slack=500.0)
TICK_S = 0.05
MIN_LATENCY_S = 0.002
# Time until the membership detects the end of a process, and the start of one.
DEATH_DETECTION_S = 1.5
JOIN_DETECTION_S = 0.1
MAX_REQUEST_UNITS = 0.06 * RATE


def bound(spec=SPEC, tolerance=TOLERANCE):
    """Return the maximum units that all nodes together may run in any window."""
    limit = spec.rate_per_s * tolerance.window_s + spec.burst
    return limit * (1 + tolerance.over) + tolerance.slack


@dataclass(frozen=True)
class Run:
    """A send of a request to an upstream that runs it.

    :param sent_at: when its caller sent it.
    :param at: when the upstream began to run it.
    """

    sent_at: float
    at: float
    units: float


class SimulatedLink:
    """Sends the datagrams of one node; each may arrive late or be lost."""

    def __init__(self, fleet, address):
        self.address = address
        self.open = True
        self.bytes = 0
        self._fleet = fleet
        self._handlers = {}

    def handle(self, kind, handler):
        self._handlers[kind] = handler

    def send(self, address, message):
        data = encode(message)
        self.bytes += len(data)
        fleet = self._fleet
        if not self.open or not fleet.are_connected(self.address, address):
            return
        if address != self.address and fleet.rng.random() < fleet.loss:
            return
        latency_s = 0.0 if address == self.address else fleet.latency_s()
        loop = asyncio.get_running_loop()
        loop.call_later(latency_s, fleet.deliver, address, data, self.address)

    def receive(self, data, sender):
        message = decode(data)
        self._handlers[type(message)](message, sender)


class Node:
    """One process: its quota book, its exchange of usage and its members."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.name = name
        self.address = f"10.0.{name}.1:7"
        self.link = SimulatedLink(fleet, self.address)
        self.members = members.Members(
            settings=GatewaySettings(
                name=f"n{name}", callers="", peers=self.address, work=self.address
            ),
            work=self.address,
        )
        self.host = Host(
            name=f"n{name}",
            incarnation=incarnation,
            zone="",
            region="",
            peer=self.address,
            http="",
            work=self.address,
        )
        self.share = 1.0
        self.quotas = QuotaBook(
            tolerance=fleet.tolerance,
            now=fleet.clock(),
            rng=Random(fleet.rng.random()),
        )
        self.exchange = LimitsExchange(
            state=self,
            members=self.members,
            link=self.link,
            rng=Random(fleet.rng.random()),
        )
        self.known = {name}
        self.dead = set()
        self.task = None

    def set_nodes(self, heard, total):
        self.share = min(heard / max(total, 1), 1.0)
        self.quotas.set_share(self.share, self.fleet.clock(), nodes=heard)

    def update_members(self):
        """Pass the known members on to the node, as its membership does."""
        states = [
            Member(
                host=self.fleet.host(name),
                state=MemberState.DEAD if name in self.dead else MemberState.ALIVE,
            )
            for name in sorted(self.known)
        ]
        self.members._set_view(FleetView(members=tuple(states)))

    def start(self):
        self.update_members()
        self.task = asyncio.ensure_future(self.exchange.run())

    def stop(self):
        self.link.open = False
        self.task.cancel()


class LimitsFleet:
    """Nodes that share the limit of one organisation.

    :ivar loss: part of the datagrams that are lost.
    :ivar max_jitter_s: maximum additional latency of a datagram.
    :ivar retries: part of the requests that run a second time, at another upstream.
    :ivar partition_of: number of the partition, by address; 0 by default.
    """

    def __init__(self, monkeypatch, *, nodes, tolerance=TOLERANCE, seed=1, spec=SPEC):
        self.clock = Clock()
        monkeypatch.setattr(limits_exchange, "log", lambda event, **fields: None)
        for module in (limits_exchange, members):
            monkeypatch.setattr(f"{module.__name__}.time.monotonic", self.clock)
        self.rng = Random(seed)
        self.tolerance = tolerance
        self.spec = spec
        self.loss = 0.0
        self.max_jitter_s = 0.02
        self.retries = 0.0
        self.nodes = {}
        self.runs = []
        self.refused = []
        self.partition_of = {}
        self.began = 0.0
        self._count = nodes
        self._incarnations = 0
        self._hosts = {}
        self._requested_units = 0.0

    # Messages.

    def are_connected(self, sender, receiver):
        return self.partition_of.get(sender, 0) == self.partition_of.get(receiver, 0)

    def latency_s(self):
        return MIN_LATENCY_S + self.rng.random() * self.max_jitter_s

    def deliver(self, address, data, sender):
        node = next(
            (node for node in self.nodes.values() if node.address == address), None
        )
        if node is not None and node.link.open:
            node.link.receive(data, sender)

    # Nodes.

    def host(self, name):
        return self._hosts[name]

    def start(self, name, *, listed=()):
        """Start a node.

        :param listed: names of the nodes that it reads in the store's list.
        """
        self._incarnations += 1
        node = Node(self, name, self._incarnations)
        self._hosts[name] = node.host
        self.nodes[name] = node
        node.quotas.configure([self.spec], self.clock())
        if listed:
            node.members.list_candidates([self.host(other) for other in listed])
        node.start()
        self.later(JOIN_DETECTION_S, self._join, node)
        return node

    def start_all(self, names, *, spread_s=0.3):
        for name in names:
            self.later(self.rng.random() * spread_s, self.start, name)

    def kill(self, name, *, restart_s=None):
        """Kill a node.

        :param restart_s: time until it is started again; ``None`` for never.
        """
        node = self.nodes.pop(name)
        node.stop()
        self.later(DEATH_DETECTION_S, self._detect_death, name)
        if restart_s is not None:
            self.later(restart_s, self.start, name)

    def partition(self, names):
        """Disconnect some nodes from the others, until :meth:`heal`."""
        for name in names:
            self.partition_of[f"10.0.{name}.1:7"] = 1
        self.later(DEATH_DETECTION_S, self._detect_partitions)

    def heal(self):
        self.partition_of.clear()
        self.later(DEATH_DETECTION_S, self._detect_partitions)

    def change_limit(self, spec, *, spread_s=0.3):
        """Configure another limit at all nodes, each at a random time."""
        self.spec = spec
        for node in tuple(self.nodes.values()):
            self.later(self.rng.random() * spread_s, self._configure, node, spec)

    def later(self, seconds, call, *args):
        asyncio.get_running_loop().call_later(seconds, call, *args)

    def _configure(self, node, spec):
        node.quotas.configure([spec], self.clock())

    def _join(self, node):
        if not node.link.open:
            return
        node.members.list_candidates(self._hosts.values())
        node.known = set(self.nodes)
        node.update_members()
        for other in self.nodes.values():
            if other is not node:
                other.known.add(node.name)
                other.dead.discard(node.name)
                other.update_members()

    def _detect_death(self, name):
        for node in self.nodes.values():
            if name not in self.nodes:
                node.dead.add(name)
                node.update_members()

    def _detect_partitions(self):
        for node in self.nodes.values():
            for name in node.known:
                reachable = name in self.nodes and self.are_connected(
                    node.address, f"10.0.{name}.1:7"
                )
                (node.dead.discard if reachable else node.dead.add)(name)
            node.update_members()

    def aggregators(self):
        """Return the names of the aggregators in the view of one node."""
        node = next(iter(self.nodes.values()))
        addresses = set(node.members.homes("limits", 2))
        return [
            name for name, other in self.nodes.items() if other.address in addresses
        ]

    def sample(self, part):
        """Return the names of a random part of the nodes."""
        return self.rng.sample(sorted(self.nodes), int(part * len(self.nodes)))

    # Load.

    async def load(self, seconds, times, *, wait_s=0.0, placed=1.0, slots_free=0.0):
        """Send requests to random nodes.

        :param times: requested units, as a multiple of the limit's rate.
        :param wait_s: maximum time that an admitted request waits for a slot.
        :param placed: part of the admitted requests that get a slot.
        :param slots_free: part of the requests that arrive while slots are free.
        """
        until = self.clock() + seconds
        while self.clock() < until:
            await asyncio.sleep(TICK_S)
            self._requested_units += times * RATE * TICK_S
            if not self.nodes:
                self._requested_units = 0.0
            while self._requested_units > 0:
                units = min(self.rng.lognormvariate(2.8, 0.8), MAX_REQUEST_UNITS)
                self._requested_units -= units
                self._request(units, wait_s, placed, slots_free)

    def _request(self, units, wait_s, placed, slots_free):
        node = self.nodes[self.rng.choice(tuple(self.nodes))]
        now = self.clock()
        charge = node.quotas.admit(
            "acme", units, now, slot_free=self.rng.random() < slots_free
        )
        if charge.unacknowledged:
            confirmation = self._confirm(node, charge, wait_s, placed)
            asyncio.ensure_future(confirmation)
            return
        self._decide(node, charge, units, now, wait_s, placed)

    async def _confirm(self, node, charge, wait_s, placed):
        sent_at = self.clock()
        acknowledged = await node.exchange.confirm()
        if node.link.open:
            units = charge.units
            charge = node.quotas.admit_acknowledged(
                "acme", charge, self.clock(), acknowledged=acknowledged
            )
            self._decide(node, charge, units, sent_at, wait_s, placed)

    def _decide(self, node, charge, units, now, wait_s, placed):
        if not charge.admitted:
            self.refused.append((now, units))
            return
        delay_s = self.rng.random() * wait_s
        gets_slot = self.rng.random() < placed
        if delay_s or not gets_slot:
            self.later(delay_s, self._finish_wait, node, charge, now, gets_slot)
        else:
            self._finish_wait(node, charge, now, gets_slot)

    def _finish_wait(self, node, charge, sent_at, gets_slot):
        if not node.link.open:
            return
        if not gets_slot:
            node.quotas.refund("acme", charge, self.clock())
            return
        self.runs.append(Run(sent_at, self.clock(), charge.units))
        if self.rng.random() < self.retries:
            self._retry(node, charge, sent_at)

    def _retry(self, node, charge, sent_at):
        node.quotas.charge_retry("acme", charge, self.clock())
        self.runs.append(Run(sent_at, self.clock(), charge.units))

    # Results.

    def max_units_in_window(self, since=0.0):
        """Return the maximum units that began to run in any window.

        :param since: requests that were sent before this time are left out.
        """
        runs = sorted(
            (run for run in self.runs if run.sent_at >= since), key=lambda run: run.at
        )
        window, total, maximum = deque(), 0.0, 0.0
        for run in runs:
            window.append(run)
            total += run.units
            while window[0].at <= run.at - WINDOW_S:
                total -= window.popleft().units
            maximum = max(maximum, total)
        return maximum

    def units_between(self, begin, end):
        return sum(run.units for run in self.runs if begin <= run.sent_at < end)

    def shares(self):
        return sum(node.share for node in self.nodes.values()) / max(len(self.nodes), 1)


def play(fleet, scenario):
    """Start all nodes of a fleet, and run a scenario in its simulated time."""
    loop = SimulatedLoop(fleet.clock)

    async def run():
        names = range(fleet._count)
        fleet.start_all(names)
        await asyncio.sleep(0.4)
        for node in fleet.nodes.values():
            node.members.list_candidates([one.host for one in fleet.nodes.values()])
        await asyncio.sleep(4.0)
        fleet.began = fleet.clock()
        try:
            await scenario()
        finally:
            for node in fleet.nodes.values():
                node.stop()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0)

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
