"""Load reports: what each node has at each upstream, told to the others by UDP.

A full report goes out at a slow pace and heals whatever was lost. Between two of
them, what changes at an upstream that is nearly full is told at once: two nodes
that both see its last free slot would both use it, and one of the two requests
would wait inside the upstream, where nothing can overtake or take it back.
"""

from __future__ import annotations

import asyncio
import json
import struct
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from baobabwing.gateway.decisions.quotas import Spent
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.events import PEER_CHANGED
from baobabwing.gateway.state import GatewayState, PoolRuntime
from baobabwing.reports.events import log

__all__ = ["PeerNode", "Peers"]

# Between two full reports to each peer.
_REPORT_S = 0.2
# Changes of this long are told together; the way to a peer takes 1 to 3 ms.
_BATCH_S = 0.005
# A peer that is silent this long does not count as heard: three reports lost.
_SILENT_S = 0.7
# Of a short report: mark, crc of the node's name, incarnation and number; then for
# each upstream crc of its instance, requests there, and prompt tokens unread / 16.
_SHORT_MARK = b"S"
_SHORT_HEAD = struct.Struct("!cIQI")
_SHORT_ENTRY = struct.Struct("!IBH")
_TOKEN_UNIT = 16
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
        self._changed: set[str] = set()
        self._flush: asyncio.TimerHandle | None = None
        self._by_crc: dict[int, PeerNode] = {}
        self.sent_bytes = 0
        state.on_load = self._note_change

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
        self._tell(self._encode())

    def _tell(self, data: bytes) -> None:
        if self._transport is None:
            return
        for node in self.known():
            host, _, port = node.reports.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
            self.sent_bytes += len(data)

    def _note_change(self, track: UpstreamTrack) -> None:
        """Tell peers soon of a change at an upstream that is nearly full."""
        if not track.nearly_full:
            return
        self._changed.add(track.entry.instance)
        if self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(_BATCH_S, self._tell_changes)

    def _tell_changes(self) -> None:
        self._flush = None
        self._number += 1
        name = zlib.crc32(self._state.settings.name.encode())
        parts = [_SHORT_HEAD.pack(_SHORT_MARK, name, self._incarnation, self._number)]
        for pool in self._state.pools.values():
            for instance in self._changed & pool.scheduler.tracks.keys():
                track = pool.scheduler.tracks[instance]
                parts.append(
                    _SHORT_ENTRY.pack(
                        zlib.crc32(instance.encode()),
                        min(len(track.own), 0xFF),
                        min(track.own_prompt() // _TOKEN_UNIT, 0xFFFF),
                    )
                )
        self._changed.clear()
        self._tell(b"".join(parts))

    def _take_short(self, data: bytes) -> None:
        """Take what a peer has at some upstreams; the rest stays as it was."""
        if len(data) < _SHORT_HEAD.size:
            return
        _, name, incarnation, number = _SHORT_HEAD.unpack_from(data)
        node = self._by_crc.get(name)
        if node is None or incarnation != node.incarnation or number <= node.number:
            return
        node.number = number
        node.heard_at = time.monotonic()
        body = data[_SHORT_HEAD.size :]
        if len(body) % _SHORT_ENTRY.size:
            return
        told = {
            crc: (count, unread * _TOKEN_UNIT)
            for crc, count, unread in _SHORT_ENTRY.iter_unpack(body)
        }
        for pool in self._state.pools.values():
            self._take_loads(node, told, pool)

    def _take_loads(
        self, node: PeerNode, told: dict[int, tuple[int, int]], pool: PoolRuntime
    ) -> None:
        for instance, track in pool.scheduler.tracks.items():
            now = told.get(track.crc)
            if now is None:
                continue
            before = node.loads.get(instance, (0, 0))
            node.loads[instance] = now
            track.others += now[0] - before[0]
            track.others_prompt += now[1] - before[1]
        if pool.queued:
            pool.pump()

    def _encode(self) -> bytes:
        self._number += 1
        cfg = self._state.settings
        loads = {}
        for pool in self._state.pools.values():
            for instance, track in pool.scheduler.tracks.items():
                if track.own:
                    loads[instance] = (len(track.own), track.own_prompt())
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
        if data[:1] == _SHORT_MARK:
            self._take_short(data)
            return
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
        self._by_crc[zlib.crc32(node.name.encode())] = node
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
