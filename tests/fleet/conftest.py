import random
import threading

import pytest

from baobabwing.bench.processes import wait_until
from baobabwing.fleet.host import Host, MemberState
from baobabwing.fleet.link import open_udp_socket
from baobabwing.fleet.membership import Membership
from baobabwing.fleet.settings import MembershipSettings

QUICK = MembershipSettings(
    probe_interval_ms=100,
    probe_timeout_ms=100,
    suspicion_ms=400,
    join_interval_ms=100,
    seed_interval_ms=200,
    reconnect_interval_ms=300,
)
PATIENCE_S = 20.0


class Network:
    """Loopback with faults: cuts between ports, loss, frozen processes."""

    def __init__(self, seed=1):
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._cut = frozenset()
        self._loss = 0.0
        self.sent = []

    def cut(self, ports):
        """Cut these ports from all others, but not from each other."""
        self._cut = frozenset(ports)

    def lose(self, share):
        self._loss = share

    def delivers(self, source, target, data):
        with self._lock:
            self.sent.append((source, target, data))
            lost = self._rng.random() < self._loss
        return not lost and (source in self._cut) == (target in self._cut)

    def socket(self, address):
        return FaultySocket(self, open_udp_socket(address))


class FaultySocket:
    def __init__(self, network, sock):
        self._network = network
        self._sock = sock
        self._port = sock.getsockname()[1]
        self._running = threading.Event()
        self._running.set()

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def freeze(self):
        self._running.clear()

    def thaw(self):
        self._running.set()

    def sendto(self, data, address):
        self._running.wait()
        if self._network.delivers(self._port, address[1], data):
            self._sock.sendto(data, address)

    def recvfrom(self, size):
        self._running.wait()
        received = self._sock.recvfrom(size)
        self._running.wait()
        return received


class Node:
    """A membership with all that it told its node."""

    def __init__(self, fleet, name, zone, incarnation, secrets, seeds):
        self.views = []
        self.version = 0
        self.heard = []
        self.seed_reads = 0
        self._seeds = seeds
        self.membership = Membership(
            me=Host(
                name=name,
                incarnation=incarnation,
                zone=zone,
                region="r",
                peer="127.0.0.1:0",
                http="127.0.0.1:1",
            ),
            seeds=self._read_seeds,
            cfg=fleet.cfg,
            secrets=secrets,
            configuration_version=lambda: self.version,
            on_configuration=self._hear,
            on_view=self.views.append,
            socket_factory=self._open,
        )
        self.name = name
        self.zone = zone
        self._network = fleet.network

    @property
    def port(self):
        return int(self.membership.me.peer.rpartition(":")[2])

    def state_of(self, name):
        member = self.membership.view().find(name)
        return None if member is None else member.state

    def waits(self, predicate):
        return self.membership.wait_for(predicate, PATIENCE_S)

    def sees(self, name, state):
        return self.waits(
            lambda view: view.find(name) is not None and view.find(name).state is state
        )

    def comes_to_see(self, state):
        """Wait until any member was told of in a state.

        A view is there for those who ask a moment before it is told to listeners.
        """
        return wait_until(lambda: self.ever_saw(state), timeout_s=PATIENCE_S)

    def ever_saw(self, state):
        return {
            member.host.name
            for view in self.views
            for member in view.members
            if member.state is state
        }

    def _open(self, address):
        self.socket = self.network_socket(address)
        return self.socket

    def _read_seeds(self):
        self.seed_reads += 1
        return self._seeds()

    def _hear(self, version, host):
        self.heard.append((version, host.name))
        if version > self.version:
            self.version = version
            self.membership.announce()


class Fleet:
    def __init__(self, network):
        self.network = network
        self.cfg = QUICK
        self.nodes = []

    def add(self, name, zone="a", *, incarnation=1, secrets=(b"s1",), seeds=None):
        Node.network_socket = staticmethod(self.network.socket)
        node = Node(self, name, zone, incarnation, secrets, seeds or self.seeds)
        self.nodes.append(node)
        return node

    def seeds(self):
        return [node.membership.me for node in self.nodes[:2]]

    def start(self, zones):
        """Start one node for each letter, which names its zone."""
        for place, zone in enumerate(zones):
            self.add(f"{zone}{place}", zone)
        for node in self.nodes:
            node.membership.start()
        assert self.all_serve()
        return list(self.nodes)

    def all_serve(self, nodes=None):
        nodes = nodes or self.nodes
        names = {node.name for node in nodes}
        return all(
            node.waits(
                lambda view: names <= {m.host.name for m in view.members if is_up(m)}
            )
            for node in nodes
        )

    def stop(self):
        for node in self.nodes:
            node.socket.thaw()
        for node in self.nodes:
            node.membership.stop()


def is_up(member):
    return member.state is MemberState.ALIVE


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def fleet(network):
    fleet = Fleet(network)
    yield fleet
    fleet.stop()
