"""A fleet's limits in simulated time: real books and exchanges, messages that fail.

Each node has a process of its own kind: it starts, knows the others after a while, is
killed, starts anew, and hears late or not at all. Nothing waits for real time.
"""

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass
from random import Random

from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.gateway import limits, members
from baobabwing.gateway.decisions.charges import Tolerance
from baobabwing.gateway.decisions.quotas import QuotaBook
from baobabwing.gateway.limits import LimitsExchange
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
# Less than a second of the rate beyond a tenth of the limit, as an organisation of a
# large rate has it.
TOLERANCE = Tolerance(window_s=WINDOW_S, over=0.1, slack=500.0)
TICK_S = 0.05
WAY_S = 0.002
# From a process's end to its end being known, and from its start likewise.
DEATH_KNOWN_S = 1.5
START_KNOWN_S = 0.1
LARGEST_UNITS = 0.06 * RATE


def bound(spec=SPEC, tolerance=TOLERANCE):
    """Return the units that all nodes may run in any window."""
    limit = spec.rate_per_s * tolerance.window_s + spec.burst
    return limit * (1 + tolerance.over) + tolerance.slack


@dataclass(frozen=True)
class Run:
    """Units that an upstream began to run."""

    sent_at: float
    at: float
    units: float


class Link:
    """Datagrams of one node; each may be late, or lost."""

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
        if not self.open or not fleet.hears(self.address, address):
            return
        if address != self.address and fleet.rng.random() < fleet.lost:
            return
        late_s = 0.0 if address == self.address else fleet.delay_s()
        loop = asyncio.get_running_loop()
        loop.call_later(late_s, fleet.deliver, address, data, self.address)

    def take(self, data, sender):
        message = decode(data)
        self._handlers[type(message)](message, sender)


class Node:
    """One process: its book, its exchange and its view of the others."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.name = name
        self.address = f"10.0.{name}.1:7"
        self.link = Link(fleet, self.address)
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

    def see(self):
        """Take the members that this node knows."""
        states = [
            Member(
                host=self.fleet.host(name),
                state=MemberState.DEAD if name in self.dead else MemberState.ALIVE,
            )
            for name in sorted(self.known)
        ]
        self.members._set_view(FleetView(members=tuple(states)))

    def start(self):
        self.see()
        self.task = asyncio.ensure_future(self.exchange.run())

    def stop(self):
        self.link.open = False
        self.task.cancel()


class LimitsFleet:
    """Nodes that share the limit of one organisation.

    :ivar lost: part of the datagrams that never arrive.
    :ivar late_s: most that a datagram is late.
    :ivar repeats: part of the requests that run once more, at another upstream.
    """

    def __init__(self, monkeypatch, *, nodes, tolerance=TOLERANCE, seed=1, spec=SPEC):
        self.clock = Clock()
        monkeypatch.setattr(limits, "log", lambda event, **fields: None)
        for module in (limits, members):
            monkeypatch.setattr(f"{module.__name__}.time.monotonic", self.clock)
        self.rng = Random(seed)
        self.tolerance = tolerance
        self.spec = spec
        self.lost = 0.0
        self.late_s = 0.02
        self.repeats = 0.0
        self.nodes = {}
        self.runs = []
        self.refused = []
        self.side = {}
        self.began = 0.0
        self._count = nodes
        self._incarnations = 0
        self._hosts = {}
        self._due = 0.0

    # Messages.

    def hears(self, sender, receiver):
        return self.side.get(sender, 0) == self.side.get(receiver, 0)

    def delay_s(self):
        return WAY_S + self.rng.random() * self.late_s

    def deliver(self, address, data, sender):
        node = next(
            (one for one in self.nodes.values() if one.address == address), None
        )
        if node is not None and node.link.open:
            node.link.take(data, sender)

    # Nodes.

    def host(self, name):
        return self._hosts[name]

    def start(self, name, *, listed=()):
        """Start a node that reads these names in the store's list."""
        self._incarnations += 1
        node = Node(self, name, self._incarnations)
        self._hosts[name] = node.host
        self.nodes[name] = node
        node.quotas.configure([self.spec], self.clock())
        if listed:
            node.members.list_candidates([self.host(one) for one in listed])
        node.start()
        self.later(START_KNOWN_S, self._meet, node)
        return node

    def start_all(self, names, *, spread_s=0.3):
        for name in names:
            self.later(self.rng.random() * spread_s, self.start, name)

    def kill(self, name, *, back_s=None):
        node = self.nodes.pop(name)
        node.stop()
        self.later(DEATH_KNOWN_S, self._bury, name)
        if back_s is not None:
            self.later(back_s, self.start, name)

    def cut(self, names):
        """Cut some nodes off from the others, until :meth:`heal`."""
        for name in names:
            self.side[f"10.0.{name}.1:7"] = 1
        self.later(DEATH_KNOWN_S, self._see_sides)

    def heal(self):
        self.side.clear()
        self.later(DEATH_KNOWN_S, self._see_sides)

    def limit(self, spec, *, spread_s=0.3):
        """Have all nodes take another limit, each at a moment of its own."""
        self.spec = spec
        for node in tuple(self.nodes.values()):
            self.later(self.rng.random() * spread_s, self._configure, node, spec)

    def later(self, seconds, call, *args):
        asyncio.get_running_loop().call_later(seconds, call, *args)

    def _configure(self, node, spec):
        node.quotas.configure([spec], self.clock())

    def _meet(self, node):
        if not node.link.open:
            return
        node.members.list_candidates(self._hosts.values())
        node.known = set(self.nodes)
        node.see()
        for other in self.nodes.values():
            if other is not node:
                other.known.add(node.name)
                other.dead.discard(node.name)
                other.see()

    def _bury(self, name):
        for node in self.nodes.values():
            if name not in self.nodes:
                node.dead.add(name)
                node.see()

    def _see_sides(self):
        for node in self.nodes.values():
            for name in node.known:
                there = name in self.nodes and self.hears(
                    node.address, f"10.0.{name}.1:7"
                )
                (node.dead.discard if there else node.dead.add)(name)
            node.see()

    def summing(self):
        """Return the names of the nodes that add up, as one of them sees it."""
        node = next(iter(self.nodes.values()))
        addresses = set(node.members.homes("limits", 2))
        return [name for name, one in self.nodes.items() if one.address in addresses]

    def some(self, part):
        """Draw a part of the nodes."""
        return self.rng.sample(sorted(self.nodes), int(part * len(self.nodes)))

    # Load.

    async def load(self, seconds, times, *, wait_s=0.0, places=1.0, free=0.0):
        """Ask for so many times the limit's rate, at nodes by chance.

        :param wait_s: most that an admitted request waits for an upstream.
        :param places: part of the admitted requests that get one.
        :param free: part of the requests that come while upstreams have free places.
        """
        until = self.clock() + seconds
        while self.clock() < until:
            await asyncio.sleep(TICK_S)
            self._due += times * RATE * TICK_S
            if not self.nodes:
                self._due = 0.0
            while self._due > 0:
                units = min(self.rng.lognormvariate(2.8, 0.8), LARGEST_UNITS)
                self._due -= units
                self._ask(units, wait_s, places, free)

    def _ask(self, units, wait_s, places, free):
        node = self.nodes[self.rng.choice(tuple(self.nodes))]
        now = self.clock()
        charge = node.quotas.admit(
            "acme", units, now, places_free=self.rng.random() < free
        )
        if charge.unconfirmed:
            again = self._ask_again(node, charge, wait_s, places)
            asyncio.ensure_future(again)
            return
        self._answer(node, charge, units, now, wait_s, places)

    async def _ask_again(self, node, charge, wait_s, places):
        sent_at = self.clock()
        confirmed = await node.exchange.confirm()
        if node.link.open:
            units = charge.units
            charge = node.quotas.admit_confirmed(
                "acme", charge, self.clock(), confirmed=confirmed
            )
            self._answer(node, charge, units, sent_at, wait_s, places)

    def _answer(self, node, charge, units, now, wait_s, places):
        if not charge.admitted:
            self.refused.append((now, units))
            return
        waits_s = self.rng.random() * wait_s
        gets_place = self.rng.random() < places
        if waits_s or not gets_place:
            self.later(waits_s, self._placed, node, charge, now, gets_place)
        else:
            self._placed(node, charge, now, gets_place)

    def _placed(self, node, charge, sent_at, gets_place):
        if not node.link.open:
            return
        if not gets_place:
            node.quotas.give_back("acme", charge, self.clock())
            return
        self.runs.append(Run(sent_at, self.clock(), charge.units))
        if self.rng.random() < self.repeats:
            self.run_again(node, charge, sent_at)

    def run_again(self, node, charge, sent_at):
        node.quotas.charge_again("acme", charge, self.clock())
        self.runs.append(Run(sent_at, self.clock(), charge.units))

    # Figures.

    def most_in_a_window(self, since=0.0):
        """Return the most units that were both sent and run in one window."""
        runs = sorted(
            (run for run in self.runs if run.sent_at >= since), key=lambda run: run.at
        )
        inside, total, most = deque(), 0.0, 0.0
        for run in runs:
            inside.append(run)
            total += run.units
            while inside[0].at <= run.at - WINDOW_S:
                total -= inside.popleft().units
            most = max(most, total)
        return most

    def between(self, begin, end):
        return sum(run.units for run in self.runs if begin <= run.sent_at < end)

    def shares(self):
        return sum(node.share for node in self.nodes.values()) / max(len(self.nodes), 1)


def play(fleet, story):
    """Run a story in the fleet's time, all nodes started."""
    loop = SimulatedLoop(fleet.clock)

    async def whole():
        names = range(fleet._count)
        fleet.start_all(names)
        await asyncio.sleep(0.4)
        for node in fleet.nodes.values():
            node.members.list_candidates([one.host for one in fleet.nodes.values()])
        await asyncio.sleep(4.0)
        fleet.began = fleet.clock()
        try:
            await story()
        finally:
            for node in fleet.nodes.values():
                node.stop()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0)

    try:
        loop.run_until_complete(whole())
    finally:
        loop.close()
