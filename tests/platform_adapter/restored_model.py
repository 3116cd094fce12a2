"""A small model of nodes, a store with copies, its operator and its workers.

Nodes keep their list by the product's own ``WorkerList`` and order what they read and
what peers hand on by ``Position``, as ``PlatformNode`` does. Time is a number that the
model moves on.
"""

from dataclasses import dataclass, field

from baobabwing.gateway.position import NOWHERE, Position
from baobabwing_platform.worker_list import WorkerList

HEARTBEAT_S = 1.0
# Three heartbeats after the store is back rows that nobody renewed are gone.
DROPPED_S = 3.0
DOUBT_OVER_S = 3.5
# By then no node keeps or doubts anything because of what it read last.
ALL_OVER_S = 10.0


def row(address, sequence, state="ready"):
    return {
        "service": "s",
        "address": address,
        "zone": "z",
        "slots": 4,
        "state": state,
        "sequence": sequence,
        "born": 7,
    }


@dataclass
class ModelStore:
    """Rows of workers and the configuration's version, in eras."""

    workers: dict = field(default_factory=dict)
    cfg: int = 1
    era: int = 1
    version: int = 1
    copied: tuple = ()

    @property
    def position(self):
        return Position(era=self.era, version=self.version)

    def write(self, name, value):
        self.version += 1
        if value is None:
            self.workers.pop(name, None)
        else:
            self.workers[name] = value

    def configure(self, cfg):
        self.version += 1
        self.cfg = cfg

    def copy(self):
        self.copied = (dict(self.workers), self.cfg, self.version)

    def restore(self):
        workers, self.cfg, self.version = self.copied
        self.workers = dict(workers)
        self.era += 1


@dataclass
class ModelNode:
    """One node's beliefs, and what it was told of upstreams that leave."""

    list: WorkerList = field(default_factory=lambda: WorkerList(heartbeat_s=1.0))
    position: Position = NOWHERE
    rows: dict = field(default_factory=dict)
    cfg: int = 0
    in_service: frozenset = frozenset()
    told_left: set = field(default_factory=set)

    def take(self, rows, position, now):
        """Take a list, if it is not older than the present one."""
        if position < self.position:
            return
        self.position, self.rows = position, dict(rows)
        self._settle(self.list.update(rows, position, now=now, source="model"))

    def again(self, now):
        self._settle(self.list.refresh(now))

    def read(self, store, now):
        self.take(store.workers, store.position, now)
        self.cfg = max(self.cfg, store.cfg)

    def hand_on(self, other, now):
        if self.position > other.position:
            other.take(self.rows, self.position, now)
        other.cfg = max(other.cfg, self.cfg)

    def _settle(self, entries):
        now_in = frozenset(one.name for one in entries if not one.draining)
        self.told_left |= self.in_service - now_in
        self.in_service = now_in


@dataclass
class World:
    """Everything, with the moves that are possible."""

    store: ModelStore
    nodes: list
    now: float = 0.0
    restored_at: float | None = None
    left: set = field(default_factory=set)
    cfg: int = 1
    sequence: int = 1
    configures: bool = True

    @classmethod
    def start(cls, *, nodes, configures=True):
        store = ModelStore(workers={name: row("10.0.0.1:80", 1) for name in "ab"})
        store.copy()
        world = cls(
            store=store,
            nodes=[ModelNode() for _ in range(nodes)],
            configures=configures,
        )
        for node in world.nodes:
            node.read(store, world.now)
        return world

    def key(self):
        """What tells two worlds apart, for a search."""
        return repr(
            (
                sorted((name, tuple(one.items())) for name, one in self.rows()),
                self.store.cfg,
                self.store.position,
                self.now,
                self.left,
                self.cfg,
                [
                    (
                        node.position,
                        node.cfg,
                        sorted(node.in_service),
                        sorted(node.told_left),
                        sorted(node.list._snapshot_filter._unconfirmed),
                    )
                    for node in self.nodes
                ],
            )
        )

    def rows(self):
        return self.store.workers.items()

    # Moves of others.

    def change_configuration(self):
        self.cfg += 1
        self.store.configure(self.cfg)

    def leave(self, name):
        self.left.add(name)
        self.store.write(name, None)

    def restore(self):
        self.store.restore()
        self.restored_at = self.now

    def write_configuration_again(self):
        self.store.configure(self.cfg)

    def write_again(self, name):
        self.sequence += 1
        self.store.write(name, row("10.0.0.1:80", self.sequence))

    def drop_silent(self):
        """Three heartbeats are over: rows of those that had left are dropped."""
        self.now = self.restored_at + DROPPED_S
        for name in sorted(self.left & self.store.workers.keys()):
            self.store.write(name, None)

    def end_doubt(self):
        self.now = self.restored_at + DOUBT_OVER_S
        for node in self.nodes:
            node.again(self.now)

    # Moves of nodes.

    def read(self, number):
        self.nodes[number].read(self.store, self.now)

    def hand_on(self, source, target):
        self.nodes[source].hand_on(self.nodes[target], self.now)

    def settle(self):
        """Let all that is due happen: everything written again, and read by all."""
        self.write_configuration_again()
        for name in sorted({"a", "b"} - self.left):
            self.write_again(name)
        if self.restored_at is not None:
            self.drop_silent()
        for number in range(len(self.nodes)):
            self.read(number)
        self.now += ALL_OVER_S
        for node in self.nodes:
            node.again(self.now)

    def broken(self, before):
        """Return what no node may do, given the world before the last move."""
        wrong = []
        for number, node in enumerate(self.nodes):
            if node.cfg < before.nodes[number].cfg:
                wrong.append(f"node {number} went back to configuration {node.cfg}")
            called = node.in_service & self.left & before.nodes[number].told_left
            if called:
                wrong.append(f"node {number} calls {called}, which it knew had left")
        return wrong

    def unsettled(self):
        """Let all that is due happen; return what is wrong then."""
        self.settle()
        wrong = []
        for number, node in enumerate(self.nodes):
            if node.cfg != self.cfg:
                wrong.append(f"node {number} stays on configuration {node.cfg}")
            if node.in_service != frozenset({"a", "b"} - self.left):
                wrong.append(f"node {number} uses {sorted(node.in_service)}")
        return wrong
