"""Random histories of changes and failures: no node ever goes back."""

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

# 1,000 is the full measure: BAOBABWING_HISTORIES=1000.
HISTORIES = int(os.environ.get("BAOBABWING_HISTORIES", "100"))
STEPS = 80
NODES = ("node-1", "node-2", "node-3", "node-4")
SEED = 20
MOST_NESTED = 2
MOST_BEHIND = 4
NESTED_SHARE = 0.2


class Store:
    """The table service with outages, lost answers and answers from the past."""

    def __init__(self, world):
        self._world = world
        self._rng = world.rng
        self.memory = MemoryTables(on_call=self._fault)
        self.down = False
        self.past = None
        self.lossy = False
        self.lose_next_put = False
        self._rows = []

    def __getattr__(self, name):
        return getattr(self.memory, name)

    def read(self, table, key):
        row = self.memory.read(table, key)
        # The asker may be paused between the answer and its use.
        self._world.happen_meanwhile()
        return self.past if self.past is not None and key == "current" else row

    def put(self, table, key, value, *, expected):
        version = self.memory.put(table, key, value, expected=expected)
        if self.lose_next_put:
            self.lose_next_put = False
            self.past = self._rows[0]
            raise PlatformUncertainError("answer lost", step="put")
        self._rows.append(Row(key=key, version=version, value=value))
        return version

    def newest(self):
        """Return what is in force, whatever the store shows."""
        on_call, self.memory.on_call = self.memory.on_call, None
        cfg = fetch_configuration(self.memory)
        self.memory.on_call = on_call
        return cfg

    def go_stale(self):
        self.past = self._rng.choice(self._rows[-MOST_BEHIND:])

    def _fault(self, call):
        if self.down:
            return Fault.REFUSE
        writes = call.operation != "read"
        if self.lossy and writes and self._rng.random() < 0.5:
            return self._rng.choice([Fault.LOSE_ANSWER, Fault.LOSE_REQUEST])
        return None


@dataclass
class Node:
    """One process of a host: its keeper and spreader, and what it went through."""

    world: "World"
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
            tables=self.world.store,
            peers=Peers(self),
            view=self.world.view,
            on_heard_platform=lambda: None,
        )
        self.keeper.on_change(self._take)

    @property
    def version(self):
        cfg = self.keeper.current()
        return cfg.version if cfg else 0

    def hear(self, other):
        self.highest = max(self.highest, other.version)
        self.spreader.heard(other.version, other.host)

    def _take(self, cfg):
        if cfg.version < self.highest or cfg.version in self.applied:
            self.reversions.append((cfg.version, self.highest))
        self.highest = max(self.highest, cfg.version)
        self.applied.append(cfg.version)


class Peers:
    """What a node reaches of the others."""

    def __init__(self, asker):
        self._asker = asker

    def call_and_wait(self, address, query, timeout_s):
        world = self._asker.world
        node = world.nodes.get(address)
        if node is None or not world.reaches(self._asker, node):
            raise PeerError("no answer", step="ask", peer=address)
        answer = node.spreader.answer(query)
        world.happen_meanwhile()
        return answer


class World:
    """A fleet and its store, moved by one random step after another."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = Store(self)
        self.nodes = {}
        self.cut = set()
        self.processes = []
        self.behind_peers = []
        self.attempts = []
        self.false_conflicts = []
        self._depth = MOST_NESTED
        self._kinds = (
            [self._accept] * 4
            + [self._look] * 6
            + [self._catch_up] * 6
            + [self._gossip] * 8
            + [self._restart] * 3
            + [self._freeze, self._thaw, self._thaw]
            + [self._outage, self._repair, self._go_stale, self._go_stale]
            + [self._cut, self._mend, self._lose_answers]
        )
        for name in NODES:
            self._start(name)
        self._accept()
        self._depth = 0

    def step(self):
        self.rng.choice(self._kinds)()

    def happen_meanwhile(self):
        if self._depth < MOST_NESTED and self.rng.random() < NESTED_SHARE:
            self._depth += 1
            self.step()
            self._depth -= 1

    def view(self):
        members = tuple(
            Member(host=node.host, state=MemberState.ALIVE)
            for node in self.nodes.values()
        )
        return FleetView(members=members)

    def reaches(self, one, other):
        pair = frozenset((one.host.name, other.host.name))
        return not other.frozen and pair not in self.cut

    def heal(self):
        self._depth = MOST_NESTED
        self._repair()
        self.cut.clear()
        for node in self.nodes.values():
            node.frozen = False
        for _ in range(2):
            for node in self.nodes.values():
                node.spreader.look()
                node.spreader.catch_up()

    def _awake(self):
        awake = [node for node in self.nodes.values() if not node.frozen]
        return self.rng.choice(awake) if awake else None

    def _start(self, name):
        host = Host(
            name=name, incarnation=0, zone="a", region="r", peer=name, http=name
        )
        node = Node(self, host)
        self.nodes[name] = node
        self.processes.append(node)
        return node

    def _accept(self):
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

    def _look(self):
        if node := self._awake():
            node.spreader.look()

    def _catch_up(self):
        if node := self._awake():
            node.spreader.catch_up()

    def _gossip(self):
        teller, hearer = self._awake(), self._awake()
        if teller and teller is not hearer and self.reaches(teller, hearer):
            hearer.hear(teller)

    def _restart(self):
        name = self.rng.choice(NODES)
        node = self._start(name)
        held = [
            other.version
            for other in self.nodes.values()
            if other is not node and self.reaches(node, other)
        ]
        depth, self._depth = self._depth, MOST_NESTED
        node.spreader.look()
        self._depth = depth
        if 0 < node.version < max(held, default=0):
            self.behind_peers.append((name, node.version, held))

    def _freeze(self):
        self.nodes[self.rng.choice(NODES)].frozen = True

    def _thaw(self):
        self.nodes[self.rng.choice(NODES)].frozen = False

    def _outage(self):
        self.store.down = True

    def _repair(self):
        self.store.down = False
        self.store.lossy = False
        self.store.past = None

    def _go_stale(self):
        self.store.go_stale()

    def _lose_answers(self):
        self.store.lossy = True

    def _cut(self):
        self.cut.add(frozenset(self.rng.sample(NODES, 2)))

    def _mend(self):
        self.cut.clear()


def test_a_change_whose_answer_was_lost_is_no_conflict_while_reads_lag():
    """An operator is told of a conflict with a change that is their own.

    The answer to the write is lost after its effect, and the store then shows
    what was before it. The version read is below the base, which proves nothing
    about the write; the operator is told to confirm again, which settles it.
    """
    world = World(SEED)
    tables = world.store
    first = tables.newest().version
    second = publish(tables, base=first, cfg=Configuration(version=0)).version
    tables.lose_next_put = True
    change = Configuration(version=0, attempt="mine")
    with pytest.raises(PlatformUncertainError):
        publish(tables, base=second, cfg=change)
    tables.past = None
    assert publish(tables, base=second, cfg=change).version == second + 1
    assert tables.newest().version == second + 1


def test_no_node_goes_back_in_any_history(monkeypatch):
    """What an operator took away must not come back, whatever fails.

    Changes are accepted while hosts are restarted, frozen between an answer and
    its use, cut off from each other, and the store is down, loses answers or
    answers from the past. No process applies a version lower than one that it
    applied or heard of; a restarted host begins no lower than a peer it reaches;
    with all healed, every host comes to the newest.
    """
    monkeypatch.setattr(spread, "JOIN_GRACE_S", 0.0)
    applied = 0
    for number in range(HISTORIES):
        world = World(SEED * 1_000_000 + number)
        for _ in range(STEPS):
            world.step()
        world.heal()
        reversions = [one for node in world.processes for one in node.reversions]
        assert not reversions, f"history {number}"
        assert not world.behind_peers, f"history {number}"
        assert not world.false_conflicts, f"history {number}"
        newest = world.store.newest().version
        assert {node.version for node in world.nodes.values()} == {newest}
        applied += sum(len(node.applied) for node in world.processes)
    assert applied > HISTORIES * len(NODES)
    print(f"{HISTORIES} histories, {applied} versions applied, 0 reversions")
