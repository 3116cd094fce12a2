"""Random histories of changes and faults: no node applies a lower version."""

import os
import random
from dataclasses import dataclass, field

import pytest

from baobabwing.exceptions import (
    ConflictError,
    PeerError,
    PlatformError,
    PlatformUncertainError,
)
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.node import spread
from baobabwing.node.spread import ConfigurationSpreader
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.keeper import ConfigurationKeeper
from baobabwing.settings.publish import publish
from baobabwing.store.memory import Fault, MemoryTables
from baobabwing.store.tables import Row

# The full run has 1,000 histories: BAOBABWING_HISTORIES=1000.
HISTORIES = int(os.environ.get("BAOBABWING_HISTORIES", "100"))
STEPS = 80
NODES = ("node-1", "node-2", "node-3", "node-4")
SEED = 20
MAX_NESTING = 2
MAX_STALE_ROWS = 4
NESTED_STEP_PROBABILITY = 0.2


class FaultyStore:
    """A table service with outages, lost answers and stale reads."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._rng = simulation.rng
        self.memory = MemoryTables(on_call=self._next_fault)
        self.is_down = False
        self.stale_row = None
        self.loses_answers = False
        self.lose_next_put = False
        self._rows = []

    def __getattr__(self, name):
        return getattr(self.memory, name)

    def read(self, table, key):
        row = self.memory.read(table, key)
        # The requester may be paused between receiving the answer and using it.
        self._simulation.run_concurrent_step()
        return (
            self.stale_row if self.stale_row is not None and key == "current" else row
        )

    def put(self, table, key, value, *, expected):
        version = self.memory.put(table, key, value, expected=expected)
        if self.lose_next_put:
            self.lose_next_put = False
            self.stale_row = self._rows[0]
            raise PlatformUncertainError("answer lost", step="put")
        self._rows.append(Row(key=key, version=version, value=value))
        return version

    def newest(self):
        """Return the current configuration, without faults and stale reads."""
        on_call, self.memory.on_call = self.memory.on_call, None
        cfg = fetch_configuration(self.memory)
        self.memory.on_call = on_call
        return cfg

    def go_stale(self):
        self.stale_row = self._rng.choice(self._rows[-MAX_STALE_ROWS:])

    def _next_fault(self, call):
        if self.is_down:
            return Fault.REFUSE
        writes = call.operation != "read"
        if self.loses_answers and writes and self._rng.random() < 0.5:
            return self._rng.choice([Fault.LOSE_ANSWER, Fault.LOSE_REQUEST])
        return None


@dataclass
class Node:
    """A node process: its keeper and spreader, and the versions that it applied."""

    simulation: "Simulation"
    host: Host
    keeper: ConfigurationKeeper = field(default_factory=ConfigurationKeeper)
    frozen: bool = False
    applied: list = field(default_factory=list)
    highest: int = 0
    reversions: list = field(default_factory=list)

    def __post_init__(self):
        self.spreader = ConfigurationSpreader(
            me=self.host,
            keeper=self.keeper,
            tables=self.simulation.store,
            peers=Peers(self),
            view=self.simulation.view,
            on_heard_platform=lambda: None,
        )
        self.keeper.on_change(self._record_applied)

    @property
    def version(self):
        cfg = self.keeper.current()
        return cfg.version if cfg else 0

    def receive_gossip(self, sender):
        self.highest = max(self.highest, sender.version)
        self.spreader.heard(sender.version, sender.host)

    def _record_applied(self, cfg):
        if cfg.version < self.highest or cfg.version in self.applied:
            self.reversions.append((cfg.version, self.highest))
        self.highest = max(self.highest, cfg.version)
        self.applied.append(cfg.version)


class Peers:
    """Connections of a node to the others."""

    def __init__(self, requester):
        self._requester = requester

    def call_and_wait(self, address, query, timeout_s):
        simulation = self._requester.simulation
        node = simulation.nodes.get(address)
        if node is None or not simulation.reaches(self._requester, node):
            raise PeerError("no answer", step="ask", peer=address)
        answer = node.spreader.answer(query)
        simulation.run_concurrent_step()
        return answer


class Simulation:
    """A fleet and its store, advanced by random steps."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = FaultyStore(self)
        self.nodes = {}
        self.partitioned_pairs = set()
        self.processes = []
        self.stale_restarts = []
        self.attempts = []
        self.false_conflicts = []
        self._depth = MAX_NESTING
        self._step_choices = (
            [self._publish_change] * 4
            + [self._read_store] * 6
            + [self._catch_up] * 6
            + [self._gossip] * 8
            + [self._restart] * 3
            + [self._freeze, self._unfreeze, self._unfreeze]
            + [self._stop_store, self._repair_store, self._go_stale, self._go_stale]
            + [self._partition, self._heal_partitions, self._lose_answers]
        )
        for name in NODES:
            self._start(name)
        self._publish_change()
        self._depth = 0

    def step(self):
        self.rng.choice(self._step_choices)()

    def run_concurrent_step(self):
        if self._depth < MAX_NESTING and self.rng.random() < NESTED_STEP_PROBABILITY:
            self._depth += 1
            self.step()
            self._depth -= 1

    def view(self):
        members = tuple(
            Member(host=node.host, state=MemberState.ALIVE)
            for node in self.nodes.values()
        )
        return FleetView(members=members)

    def reaches(self, node, other):
        pair = frozenset((node.host.name, other.host.name))
        return not other.frozen and pair not in self.partitioned_pairs

    def heal(self):
        self._depth = MAX_NESTING
        self._repair_store()
        self.partitioned_pairs.clear()
        for node in self.nodes.values():
            node.frozen = False
        for _ in range(2):
            for node in self.nodes.values():
                node.spreader.look()
                node.spreader.catch_up()

    def _pick_running_node(self):
        running = [node for node in self.nodes.values() if not node.frozen]
        return self.rng.choice(running) if running else None

    def _start(self, name):
        host = Host(
            name=name, incarnation=0, zone="a", region="r", peer=name, http=name
        )
        node = Node(self, host)
        self.nodes[name] = node
        self.processes.append(node)
        return node

    def _publish_change(self):
        base = self.store.newest()
        attempt = f"attempt-{len(self.attempts)}"
        self.attempts.append(attempt)
        cfg = Configuration(version=0, attempt=attempt)
        try:
            publish(self.store, base=base.version if base else 0, cfg=cfg)
        except ConflictError:
            newest = self.store.newest()
            if newest is not None and newest.attempt == attempt:
                self.false_conflicts.append(attempt)
        except PlatformError:
            return

    def _read_store(self):
        if node := self._pick_running_node():
            node.spreader.look()

    def _catch_up(self):
        if node := self._pick_running_node():
            node.spreader.catch_up()

    def _gossip(self):
        sender, receiver = self._pick_running_node(), self._pick_running_node()
        if sender and sender is not receiver and self.reaches(sender, receiver):
            receiver.receive_gossip(sender)

    def _restart(self):
        name = self.rng.choice(NODES)
        node = self._start(name)
        reachable_versions = [
            other.version
            for other in self.nodes.values()
            if other is not node and self.reaches(node, other)
        ]
        depth, self._depth = self._depth, MAX_NESTING
        node.spreader.look()
        self._depth = depth
        if 0 < node.version < max(reachable_versions, default=0):
            self.stale_restarts.append((name, node.version, reachable_versions))

    def _freeze(self):
        self.nodes[self.rng.choice(NODES)].frozen = True

    def _unfreeze(self):
        self.nodes[self.rng.choice(NODES)].frozen = False

    def _stop_store(self):
        self.store.is_down = True

    def _repair_store(self):
        self.store.is_down = False
        self.store.loses_answers = False
        self.store.stale_row = None

    def _go_stale(self):
        self.store.go_stale()

    def _lose_answers(self):
        self.store.loses_answers = True

    def _partition(self):
        self.partitioned_pairs.add(frozenset(self.rng.sample(NODES, 2)))

    def _heal_partitions(self):
        self.partitioned_pairs.clear()


def test_lost_answer_and_stale_reads_are_no_conflict():
    """Guards against reporting a conflict of a change with itself.

    The answer to a write is lost after it took effect, and later reads are stale.
    They return a version below the base, which shows nothing about the write; the
    error must say that the effect is unknown, and repeating the attempt succeeds.
    """
    simulation = Simulation(SEED)
    tables = simulation.store
    first = tables.newest().version
    second = publish(tables, base=first, cfg=Configuration(version=0)).version
    tables.lose_next_put = True
    change = Configuration(version=0, attempt="mine")
    with pytest.raises(PlatformUncertainError):
        publish(tables, base=second, cfg=change)
    tables.stale_row = None
    assert publish(tables, base=second, cfg=change).version == second + 1
    assert tables.newest().version == second + 1


def test_no_node_reverts_in_any_history(monkeypatch):
    """Guards against restoring anything that an operator removed.

    Changes are published while nodes are restarted, frozen between receiving an
    answer and using it, or partitioned, and the store is unavailable, loses answers
    or returns stale rows. No process applies a version lower than one that it
    applied or received by gossip; a restarted node starts with a version no lower
    than those of the peers it reaches; once all faults are repaired, every node
    converges to the newest version.
    """
    monkeypatch.setattr(spread, "JOIN_GRACE_S", 0.0)
    applied = 0
    for number in range(HISTORIES):
        simulation = Simulation(SEED * 1_000_000 + number)
        for _ in range(STEPS):
            simulation.step()
        simulation.heal()
        reversions = [
            reversion for node in simulation.processes for reversion in node.reversions
        ]
        assert not reversions, f"history {number}"
        assert not simulation.stale_restarts, f"history {number}"
        assert not simulation.false_conflicts, f"history {number}"
        newest = simulation.store.newest().version
        assert {node.version for node in simulation.nodes.values()} == {newest}
        applied += sum(len(node.applied) for node in simulation.processes)
    assert applied > HISTORIES * len(NODES)
    print(f"{HISTORIES} histories, {applied} versions applied, 0 reversions")
