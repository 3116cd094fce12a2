"""Load reports: what each node has at each upstream, told to the others by UDP."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from baobabwing.gateway.decisions.quotas import Spent
from baobabwing.gateway.events import PEER_CHANGED
from baobabwing.gateway.state import GatewayState
from baobabwing.reports.events import log

__all__ = ["PeerNode", "Peers"]

# Between two reports to each peer. Engines admit some ten requests a second
# each, so that a count is out by one or two.
_REPORT_S = 0.1
# A peer that is silent this long does not count as heard: five reports lost.
_SILENT_S = 0.6
# A peer that is silent this long is taken for gone by all who share limits.
_GONE_S = 20.0
_MAX_DATAGRAM_BYTES = 8192


@dataclass(kw_only=True)
class PeerNode:
    """Another node, as it last reported.

    :param callers: its address for callers.
    :param reports: its UDP address.
    :param incarnation: differs for each start of its process.
    :param versions: versions of the documents that it has.
    :param loads: requests and unread prompt tokens by upstream.
    """

    name: str
    callers: str
    reports: str
    peers: str = ""
    zone: str = ""
    incarnation: int = 0
    number: int = 0
    ready: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    heard_at: float = 0.0
    listed_at: float = 0.0
    loads: dict[str, tuple[int, int]] = field(default_factory=dict)

    def heard(self, now: float) -> bool:
        """Whether it reported just now."""
        return self.heard_at > 0 and now - self.heard_at < _SILENT_S


class Peers(asyncio.DatagramProtocol):
    """The other nodes: who is listed, who is heard, and what they report.

    :param state: takes the reports in.
    :param incarnation: this process' own.
    :param versions: tells which documents this node has, for the peers.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        incarnation: int,
        versions: Callable[[], dict[str, int]],
    ) -> None:
        self._state = state
        self._incarnation = incarnation
        self._versions = versions
        self._nodes: dict[str, PeerNode] = {}
        self._number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._was_heard: frozenset[str] = frozenset()

    async def start(self) -> None:
        """Bind the socket."""
        host, _, port = self._state.settings.reports.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Take note of nothing: a peer that is not there is not heard."""

    def list_nodes(self, nodes: list[PeerNode]) -> None:
        """Take the nodes that are listed in the store."""
        now = time.monotonic()
        for node in nodes:
            if node.name == self._state.settings.name:
                continue
            known = self._nodes.get(node.name)
            if known is None or known.reports != node.reports:
                node.listed_at = now
                self._nodes[node.name] = node
        listed = {node.name for node in nodes}
        for name, node in tuple(self._nodes.items()):
            if name not in listed and not node.heard(now):
                del self._nodes[name]

    def heard(self) -> list[PeerNode]:
        """Return the peers that reported just now."""
        now = time.monotonic()
        return [node for node in self._nodes.values() if node.heard(now)]

    def known(self) -> list[PeerNode]:
        """Return the peers that may be running."""
        now = time.monotonic()
        return [
            node
            for node in self._nodes.values()
            if now - max(node.heard_at, node.listed_at) < _GONE_S
        ]

    async def run(self) -> None:
        """Report to all peers, and take stock of who is heard."""
        while True:
            self._report()
            self._take_stock()
            await asyncio.sleep(_REPORT_S)

    def _report(self) -> None:
        if self._transport is None:
            return
        data = self._encode()
        for node in self.known():
            host, _, port = node.reports.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _encode(self) -> bytes:
        self._number += 1
        cfg = self._state.settings
        loads = {}
        for pool in self._state.pools.values():
            for instance, track in pool.scheduler.tracks.items():
                if track.own:
                    unread = sum(one.prompt_tokens for one in track.own.values())
                    loads[instance] = (len(track.own), unread)
        report = {
            "name": cfg.name,
            "incarnation": self._incarnation,
            "number": self._number,
            "callers": cfg.callers,
            "reports": cfg.reports,
            "peers": cfg.peers,
            "zone": cfg.zone,
            "ready": self._state.ready,
            "versions": self._versions(),
            "loads": loads,
            "spent": {
                name: (int(one.units), int(one.excess))
                for name, one in self._state.quotas.spent().items()
            },
        }
        return json.dumps(report, separators=(",", ":")).encode()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's report; one that is older than the last is dropped."""
        try:
            report = json.loads(data)
            name, incarnation = report["name"], int(report["incarnation"])
            order = (incarnation, int(report["number"]))
        except (ValueError, KeyError, TypeError):
            return
        if name == self._state.settings.name:
            return
        node = self._nodes.get(name)
        if node is None:
            node = PeerNode(
                name=name, callers=report["callers"], reports=report["reports"]
            )
            self._nodes[name] = node
        if order <= (node.incarnation, node.number):
            return
        self._take(node, order, report)

    def _take(self, node: PeerNode, order: tuple[int, int], report: Any) -> None:
        now = time.monotonic()
        node.incarnation, node.number = order
        node.callers, node.reports = report["callers"], report["reports"]
        node.peers, node.zone = report["peers"], report["zone"]
        node.ready = bool(report["ready"])
        node.versions = report["versions"]
        node.loads = {key: tuple(one) for key, one in report["loads"].items()}
        node.heard_at = now
        spent = {
            organisation: Spent(units=units, excess=excess)
            for organisation, (units, excess) in report["spent"].items()
        }
        self._state.quotas.hear(f"{node.name}#{order[0]}", spent, now)

    def _take_stock(self) -> None:
        """Sum up the loads of those that are heard, and count them."""
        heard = self.heard()
        names = frozenset(node.name for node in heard)
        if names != self._was_heard:
            log(
                PEER_CHANGED,
                came=sorted(names - self._was_heard),
                went=sorted(self._was_heard - names),
                heard=len(names),
            )
            self._was_heard = names
        self._state.set_nodes(len(heard) + 1, len(self.known()) + 1)
        totals: dict[str, list[int]] = {}
        for node in heard:
            for instance, (count, unread) in node.loads.items():
                total = totals.setdefault(instance, [0, 0])
                total[0] += count
                total[1] += unread
        for pool in self._state.pools.values():
            for instance in pool.scheduler.tracks:
                count, unread = totals.get(instance, (0, 0))
                pool.scheduler.hear(instance, count, unread)
            if pool.queued:
                pool.pump()
