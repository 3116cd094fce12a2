"""Load reports: what each node has at each upstream, told to the others by UDP.

A whole report goes out at a slow pace and heals whatever was lost. Between two of
them, what changes at an upstream that is nearly full is told at once: two nodes
that both see its last free slot would both use it, and one of the two requests
would wait inside the upstream, where nothing can overtake or take it back.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from baobabwing.exceptions import WireError
from baobabwing.gateway.decisions.quotas import Spent
from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.events import PEER_CHANGED
from baobabwing.gateway.report_codec import (
    Hello,
    Load,
    LoadReport,
    Used,
    crc,
    decode,
    encode_hello,
    encode_report,
    wrapped_difference,
)
from baobabwing.gateway.state import GatewayState, PoolRuntime
from baobabwing.reports.events import log

__all__ = ["PeerNode", "Peers"]

# Between two whole reports to each peer, and how many of them come with a hello.
_REPORT_S = 0.25
_HELLO_EACH = 4
# Changes of this long are told together; the way to a peer takes 1 to 3 ms.
_BATCH_S = 0.005
# A peer that is silent this long does not count as heard: two reports lost.
_SILENT_S = 0.7
# A peer that is silent this long is taken for gone by all who share limits.
_GONE_S = 20.0
# Reports that name an organisation after its counts changed, so that one gets
# through; organisations that send nothing are not named.
_USED_TOLD = 4
_MOST_USED = 64


@dataclass(kw_only=True)
class PeerNode:
    """Another node, as it last reported.

    :param callers: its address for callers.
    :param reports: its UDP address.
    :param incarnation: differs for each start of its process.
    :param versions: versions of the documents that it has.
    :param loads: requests and unread prompt tokens by crc of the upstream.
    :param used: counts of organisations by crc of the name.
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
    loads: dict[int, Load] = field(default_factory=dict)
    used: dict[int, Used] = field(default_factory=dict)
    totals: dict[str, Spent] = field(default_factory=dict)

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
        self._by_crc: dict[int, PeerNode] = {}
        self._number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._was_heard: frozenset[str] = frozenset()
        self._changed: set[str] = set()
        self._flush: asyncio.TimerHandle | None = None
        self._used_told: dict[str, tuple[Spent, int]] = {}
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
                self._add(node)
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
        turn = 0
        while True:
            if turn % _HELLO_EACH == 0:
                self._tell(encode_hello(self._hello()))
            self._tell(encode_report(self._whole_report()))
            self._take_stock()
            turn += 1
            await asyncio.sleep(_REPORT_S)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's word; what is older than the last is dropped."""
        try:
            message = decode(data)
        except WireError:
            return
        if isinstance(message, Hello):
            self._take_hello(message)
            return
        node = self._by_crc.get(message.node)
        order = (message.incarnation, message.number)
        if node is not None and order > (node.incarnation, node.number):
            self._take_report(node, message)

    def _tell(self, data: bytes) -> None:
        if self._transport is None:
            return
        for node in self.known():
            host, _, port = node.reports.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
            self.sent_bytes += len(data)

    def _add(self, node: PeerNode) -> None:
        self._nodes[node.name] = node
        self._by_crc[crc(node.name)] = node

    # What this node tells.

    def _hello(self) -> Hello:
        cfg = self._state.settings
        return Hello(
            name=cfg.name,
            incarnation=self._incarnation,
            callers=cfg.callers,
            reports=cfg.reports,
            peers=cfg.peers,
            zone=cfg.zone,
        )

    def _whole_report(self) -> LoadReport:
        versions = self._versions()
        return LoadReport(
            node=crc(self._state.settings.name),
            incarnation=self._incarnation,
            number=self._next_number(),
            whole=True,
            ready=self._state.ready,
            configuration=versions.get("configuration", 0),
            upstreams=versions.get("upstreams", 0),
            loads=tuple(
                _load(track)
                for pool in self._state.pools.values()
                for track in pool.scheduler.tracks.values()
                if track.own
            ),
            used=self._used_now(),
        )

    def _used_now(self) -> tuple[Used, ...]:
        """Return the counts that changed in the last few reports."""
        told = []
        for name, spent in self._state.quotas.spent().items():
            before, times = self._used_told.get(name, (Spent(), 0))
            times = _USED_TOLD if spent != before else times - 1
            self._used_told[name] = (spent, times)
            if times > 0 and len(told) < _MOST_USED:
                told.append(
                    Used(
                        organisation=crc(name),
                        units=int(spent.units),
                        excess=int(spent.excess),
                    )
                )
        return tuple(told)

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
        report = LoadReport(
            node=crc(self._state.settings.name),
            incarnation=self._incarnation,
            number=self._next_number(),
            whole=False,
            loads=tuple(
                _load(pool.scheduler.tracks[instance])
                for pool in self._state.pools.values()
                for instance in self._changed & pool.scheduler.tracks.keys()
            ),
        )
        self._changed.clear()
        self._tell(encode_report(report))

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    # What others tell.

    def _take_hello(self, hello: Hello) -> None:
        if hello.name == self._state.settings.name:
            return
        node = self._nodes.get(hello.name)
        if node is None or node.reports != hello.reports:
            node = PeerNode(
                name=hello.name, callers=hello.callers, reports=hello.reports
            )
            node.listed_at = time.monotonic()
            self._add(node)
        node.callers, node.peers, node.zone = hello.callers, hello.peers, hello.zone

    def _take_report(self, node: PeerNode, report: LoadReport) -> None:
        if report.incarnation != node.incarnation:
            node.loads, node.used, node.totals = {}, {}, {}
        node.incarnation, node.number = report.incarnation, report.number
        node.heard_at = time.monotonic()
        told = {load.upstream: load for load in report.loads}
        if not report.whole:
            for pool in self._state.pools.values():
                self._take_changes(node, told, pool)
            return
        node.loads = told
        node.ready = report.ready
        node.versions = {
            "configuration": report.configuration,
            "upstreams": report.upstreams,
        }
        self._take_used(node, report)

    def _take_changes(
        self, node: PeerNode, told: dict[int, Load], pool: PoolRuntime
    ) -> None:
        for track in pool.scheduler.tracks.values():
            now = told.get(track.crc)
            if now is None:
                continue
            before = node.loads.get(track.crc)
            track.others += now.requests - (before.requests if before else 0)
            unread = before.prompt_tokens if before else 0
            track.others_prompt += now.prompt_tokens - unread
            node.loads[track.crc] = now
        if pool.queued:
            pool.pump()

    def _take_used(self, node: PeerNode, report: LoadReport) -> None:
        """Unwrap a peer's counts and hand them to the limits."""
        names = {crc(name): name for name in self._state.quotas.spent()}
        for used in report.used:
            name = names.get(used.organisation)
            if name is None:
                continue
            before = node.used.get(used.organisation)
            total = node.totals.get(name, Spent())
            if before is not None:
                total = Spent(
                    units=total.units + wrapped_difference(used.units, before.units),
                    excess=total.excess
                    + wrapped_difference(used.excess, before.excess),
                )
            else:
                total = Spent(units=used.units, excess=used.excess)
            node.used[used.organisation] = used
            node.totals[name] = total
        peer = f"{node.name}#{node.incarnation}"
        self._state.quotas.hear(peer, node.totals, node.heard_at)

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
        for pool in self._state.pools.values():
            for track in pool.scheduler.tracks.values():
                loads = [
                    one.loads[track.crc] for one in heard if track.crc in one.loads
                ]
                track.others = sum(load.requests for load in loads)
                track.others_prompt = sum(load.prompt_tokens for load in loads)
            if pool.queued:
                pool.pump()


def _load(track: UpstreamTrack) -> Load:
    return Load(
        upstream=track.crc, requests=len(track.own), prompt_tokens=track.own_prompt()
    )
