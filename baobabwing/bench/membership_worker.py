"""One node of the membership measurement: a process told what to do by lines."""

from __future__ import annotations

import json
import random
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from baobabwing.fleet.host import Host
from baobabwing.fleet.link import open_udp_socket
from baobabwing.fleet.membership import Membership
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.fleet.view import FleetView
from baobabwing.reports.events import configure_logging

__all__ = ["Note", "Order", "run_worker"]

_SECRETS = (b"measurement",)
_ORDERS: dict[str, Callable[[_Worker, Order], None]] = {}


@dataclass(frozen=True, kw_only=True)
class Order:
    """What a worker is told to do.

    :param number: version, share of loss, or number of the report.
    :param seeds: ``name ip:port`` of hosts to join.
    """

    action: str
    number: float = 0.0
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Note:
    """What a worker saw.

    :param at: seconds of the system-wide monotonic clock.
    :param kind: ``bound``, ``state``, ``version`` or ``figures``.
    :param subject: member that the note is on, or the own address.
    :param state: name of the member's state.
    """

    kind: str
    at: float
    subject: str = ""
    state: str = ""
    number: float = 0.0
    datagrams: int = 0
    payload_bytes: int = 0
    cpu_s: float = 0.0


def run_worker(*, name: str, zone: str, incarnation: int) -> None:
    """Run a node until standard input ends."""
    configure_logging(level="critical")
    worker = _Worker(name=name, zone=zone, incarnation=incarnation)
    for line in sys.stdin:
        order = Order(**json.loads(line))
        _ORDERS[order.action](worker, order)
    worker.membership.stop()


class _LossySocket:
    """Drops a share of what is sent, by a random sequence of fixed seed."""

    def __init__(self, sock: Any, seed: str) -> None:
        self._sock = sock
        self._rng = random.Random(seed)
        self.loss = 0.0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        if self._rng.random() >= self.loss:
            self._sock.sendto(data, address)


class _Worker:
    def __init__(self, *, name: str, zone: str, incarnation: int) -> None:
        self._lock = threading.Lock()
        self._states: dict[str, str] = {}
        self.version = 0
        self.seeds: tuple[Host, ...] = ()
        self._name = name
        self.membership = Membership(
            me=Host(
                name=name,
                incarnation=incarnation,
                zone=zone,
                region="r1",
                peer="127.0.0.1:0",
                http="127.0.0.1:8080",
            ),
            seeds=lambda: self.seeds,
            cfg=MembershipSettings(),
            secrets=_SECRETS,
            configuration_version=lambda: self.version,
            on_configuration=self._on_configuration,
            on_view=self._on_view,
            socket_factory=self._open,
        )
        self.note(Note(kind="bound", at=_now(), subject=self.membership.me.peer))

    def note(self, note: Note) -> None:
        line = json.dumps(asdict(note)) + "\n"
        with self._lock:
            sys.stdout.write(line)
            sys.stdout.flush()

    def hold(self, version: int) -> None:
        if version > self.version:
            self.version = version
            self.note(Note(kind="version", at=_now(), number=version))
            self.membership.announce()

    def _open(self, address: str) -> _LossySocket:
        self.sock = _LossySocket(open_udp_socket(address), self._name)
        return self.sock

    def _on_configuration(self, version: int, host: Host) -> None:
        self.hold(version)

    def _on_view(self, view: FleetView) -> None:
        at = _now()
        for member in view.members:
            name, state = member.host.name, member.state.name.lower()
            if self._states.get(name) != state:
                self._states[name] = state
                self.note(Note(kind="state", at=at, subject=name, state=state))


def _now() -> float:
    return time.monotonic()


def _obeys(
    action: str,
) -> Callable[[Callable[[_Worker, Order], None]], Callable[[_Worker, Order], None]]:
    def register(
        handler: Callable[[_Worker, Order], None],
    ) -> Callable[[_Worker, Order], None]:
        _ORDERS[action] = handler
        return handler

    return register


@_obeys("start")
def _start(worker: _Worker, order: Order) -> None:
    worker.seeds = tuple(_seed(line) for line in order.seeds)
    worker.membership.start()


@_obeys("version")
def _version(worker: _Worker, order: Order) -> None:
    worker.hold(int(order.number))


@_obeys("loss")
def _loss(worker: _Worker, order: Order) -> None:
    worker.sock.loss = order.number


@_obeys("leave")
def _leave(worker: _Worker, order: Order) -> None:
    worker.membership.leave()


@_obeys("figures")
def _figures(worker: _Worker, order: Order) -> None:
    counters = worker.membership.counters
    worker.note(
        Note(
            kind="figures",
            at=_now(),
            number=order.number,
            datagrams=counters.sent + counters.received,
            payload_bytes=counters.sent_bytes + counters.received_bytes,
            cpu_s=time.process_time(),
        )
    )


def _seed(line: str) -> Host:
    name, peer = line.split()
    return Host(name=name, incarnation=0, zone="", region="", peer=peer, http="")
