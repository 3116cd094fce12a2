import random
import threading

import pytest

from baobabwing.bench.processes import wait_until
from baobabwing.fleet.host import Host, MemberState
from baobabwing.fleet.link import open_udp_socket
from baobabwing.fleet.membership import Membership
from baobabwing.fleet.settings import MembershipSettings

FAST_SETTINGS = MembershipSettings(
    probe_interval_ms=100,
    probe_timeout_ms=100,
    suspicion_ms=400,
    join_interval_ms=100,
    seed_interval_ms=200,
    reconnect_interval_ms=300,
)
TIMEOUT_S = 20.0


class Network:
    """Loopback network with injected faults: partitions and packet loss."""

    def __init__(self, seed=1):
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._partitioned = frozenset()
        self._loss = 0.0
        self.sent = []

    def partition(self, ports):
        """Partition these ports from all others, but not from each other."""
        self._partitioned = frozenset(ports)

    def set_loss(self, share):
        self._loss = share

    def delivers(self, source, target, data):
        with self._lock:
            self.sent.append((source, target, data))
            dropped = self._rng.random() < self._loss
        return not dropped and (source in self._partitioned) == (
            target in self._partitioned
        )

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

    def unfreeze(self):
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
    """A membership that records the views and versions passed to its callbacks."""

    def __init__(self, fleet, name, zone, incarnation, secrets, seeds):
        self.views = []
        self.version = 0
        self.reported_versions = []
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
            on_configuration=self._on_configuration,
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

    def wait_for_view(self, predicate):
        return self.membership.wait_for(predicate, TIMEOUT_S)

    def wait_for_state(self, name, state):
        return self.wait_for_view(
            lambda view: view.find(name) is not None and view.find(name).state is state
        )

    def wait_until_published(self, state):
        """Wait until a view with any member in this state was published.

        A view can be read slightly before it is passed to the callback.
        """
        return wait_until(lambda: self.published_in_state(state), timeout_s=TIMEOUT_S)

    def published_in_state(self, state):
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

    def _on_configuration(self, version, host):
        self.reported_versions.append((version, host.name))
        if version > self.version:
            self.version = version
            self.membership.announce()


class Fleet:
    def __init__(self, network):
        self.network = network
        self.cfg = FAST_SETTINGS
        self.nodes = []

    def add(self, name, zone="a", *, incarnation=1, secrets=(b"s1",), seeds=None):
        Node.network_socket = staticmethod(self.network.socket)
        node = Node(self, name, zone, incarnation, secrets, seeds or self.seeds)
        self.nodes.append(node)
        return node

    def seeds(self):
        return [node.membership.me for node in self.nodes[:2]]

    def start(self, zones):
        """Start one node per letter; the letter names its availability zone."""
        for index, zone in enumerate(zones):
            self.add(f"{zone}{index}", zone)
        for node in self.nodes:
            node.membership.start()
        assert self.all_become_alive()
        return list(self.nodes)

    def all_become_alive(self, nodes=None):
        nodes = nodes or self.nodes
        names = {node.name for node in nodes}
        return all(
            node.wait_for_view(
                lambda view: names <= {m.host.name for m in view.members if is_alive(m)}
            )
            for node in nodes
        )

    def stop(self):
        for node in self.nodes:
            node.socket.unfreeze()
        for node in self.nodes:
            node.membership.stop()


def is_alive(member):
    return member.state is MemberState.ALIVE


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def fleet(network):
    fleet = Fleet(network)
    yield fleet
    fleet.stop()
