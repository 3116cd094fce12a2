"""Membership of the gateway nodes, on top of the membership protocol of the fleet."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

from baobabwing.fleet.homes import home_ranking
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.membership import Membership
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.fleet.view import FleetView
from baobabwing.gateway.events import INCARNATION_RAISED
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.reports.events import log

__all__ = ["Members"]

# A member that was declared dead may run on in another partition and use its share of
# limits. It is counted for this long: as long as a partition of regions may last.
_DEAD_COUNTED_S = 3_600.0
# Dead members are probed at this interval, so that partitions find each other again.
# The default of 5 s suits fleets that need no reports from the other members.
_RECONNECT_INTERVAL_MS = 500
# Intervals at which candidates are contacted: in general, and by a node that knows no
# other member yet. Until it does, it is home of all cells.
_SEED_INTERVAL_MS = 2_000
_JOIN_INTERVAL_MS = 100
# A starting node does not know the other members yet; for this long it counts all
# listed candidates. Members answer within some 100 ms.
_JOIN_TIME_S = 3.0
# Nodes that it counts before it has any list: the largest size of a fleet, since all
# nodes that start together share each limit.
_MAX_NODES = 460
_SUPERSEDED_CHECK_INTERVAL_S = 0.5
# The number of nodes is read some fifty times a second and cached for this time, in
# which dead nodes do not expire from it. Computed each time, it took 0.6% of a core
# with 86 nodes.
_TOTAL_CACHED_S = 0.2
_MS = 1000
# Added to the incarnation of a node whose clock was set back before its start, so that
# it exceeds the one of the previous run.
_INCARNATION_STEP_MS = 3_600_000
# Key of the membership datagrams. It is not secret; it only keeps out datagrams of
# other programs.
_DATAGRAM_KEY = b"baobabwing gateways"


class Members:
    """The nodes of the fleet, as seen by this one.

    The membership protocol runs in a thread of its own and passes its views to the
    event loop.

    :param settings: names and addresses of this node.
    :param work: address, ``ip:port``, where this node receives messages of other
        gateways.
    :ivar view: the last view of the membership; ``None`` before the first.
    :ivar lost_at: when a member was last declared dead here.
    """

    def __init__(self, *, settings: GatewaySettings, work: str) -> None:
        self.settings = settings
        self._work = work
        self._candidates: tuple[Host, ...] | None = None
        self._membership: Membership | None = None
        self._leaving = False
        self._incarnation = time.time_ns() // (_MS * _MS)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._started_at = time.monotonic()
        self._dead_since: dict[str, float] = {}
        self._rankings: dict[str, tuple[Host, ...]] = {}
        self._total = 1
        self._total_valid_until = 0.0
        self.view: FleetView | None = None
        self.lost_at = float("-inf")
        self._listeners: list[Callable[[], None]] = []

    def bind(self) -> None:
        """Bind the socket of the membership protocol.

        :raises PeerError: if its port is in use.
        """
        self._loop = asyncio.get_running_loop()
        self._bind_membership()

    def start(self) -> None:
        """Start the membership protocol: probe and join."""
        if self._membership is None:
            self.bind()
        self._membership.start()
        if self._leaving:
            self._membership.leave()

    async def run(self) -> None:
        """Restart the membership whenever another incarnation supersedes this one."""
        while True:
            await asyncio.sleep(_SUPERSEDED_CHECK_INTERVAL_S)
            if self._membership is not None and self._membership.superseded:
                # The others take an earlier run of this node for the newer one, since
                # the time of day was set back in between. They would ignore all
                # messages of this incarnation.
                self._incarnation += _INCARNATION_STEP_MS
                log(INCARNATION_RAISED, incarnation=self._incarnation)
                await asyncio.to_thread(self._membership.stop)
                self._bind_membership()
                self.start()

    def leave(self) -> None:
        """Announce to the other members that this node is leaving.

        A membership that starts later announces it too.
        """
        self._leaving = True
        if self._membership is not None:
            self._membership.leave()

    def stop(self) -> None:
        """Stop the membership; a leaving node announces that it has left."""
        if self._membership is not None:
            self._membership.stop()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function after each new view and each new list of candidates."""
        self._listeners.append(listener)

    def list_candidates(self, hosts: Iterable[Host]) -> None:
        """Set the hosts that may be members."""
        self._candidates = tuple(hosts)
        self._total_valid_until = 0.0
        if self._membership is not None and not self.others():
            self._membership.refresh_seeds()
        self._notify_listeners()

    @property
    def total(self) -> int:
        """Number of nodes that may be running, this one included."""
        now = time.monotonic()
        if now >= self._total_valid_until:
            self._total = self._count_nodes(now)
            self._total_valid_until = now + _TOTAL_CACHED_S
        return self._total

    @property
    def joining(self) -> bool:
        """Whether other hosts are or may be listed, but none has joined yet."""
        candidates = self._candidates
        return not self.others() and (candidates is None or len(candidates) > 1)

    @property
    def work(self) -> str:
        """Address where this node receives messages of other gateways, ``ip:port``."""
        return self._work

    def serving(self) -> tuple[Host, ...]:
        """Return the hosts that may get new work, this one included."""
        return self.view.serving() if self.view is not None else ()

    def others(self) -> list[Host]:
        """Return the other hosts that may get new work."""
        return [host for host in self.serving() if host.name != self.settings.name]

    def gone(self) -> set[str]:
        """Return the work addresses of nodes that have died or left."""
        members = self.view.members if self.view is not None else ()
        departed = (MemberState.DEAD, MemberState.LEFT)
        running = {
            member.host.work for member in members if member.state not in departed
        }
        return {member.host.work for member in members} - running

    def withdrawn(self) -> frozenset[str]:
        """Return the work addresses of nodes that are leaving, or have died or left."""
        return self.view.withdrawn if self.view is not None else frozenset()

    def homes(self, resource: str, count: int) -> list[str]:
        """Return the work addresses of a resource's homes in their ranking's order."""
        if self.view is None:
            return [self._work]
        return [host.work for host in self.ranked(resource, count)]

    def ranked(self, resource: str, count: int) -> list[Host]:
        """Return the first hosts of a resource's ranking."""
        if self.view is None:
            return []
        hosts = self._rankings.get(resource)
        if hosts is None:
            hosts = self._rankings[resource] = home_ranking(self.view, resource)
        return list(hosts[:count])

    def _count_nodes(self, now: float) -> int:
        members = self.view.members if self.view is not None else ()
        names = {member.host.name for member in members if self._may_run(member, now)}
        up_s = now - self._started_at
        # A node that was cut off before it joined knows no member; the others run.
        cut_off = self.joining and up_s < _DEAD_COUNTED_S
        if up_s >= _JOIN_TIME_S and not cut_off:
            return max(len(names), 1)
        if self._candidates is None:
            return max(len(names), _MAX_NODES)
        return max(len(names | {host.name for host in self._candidates}), 1)

    def _may_run(self, member: Member, now: float) -> bool:
        if member.state is MemberState.DEAD:
            return now - self._dead_since.get(member.host.name, now) < _DEAD_COUNTED_S
        return member.state is not MemberState.LEFT

    def _bind_membership(self) -> None:
        cfg = self.settings
        self._membership = Membership(
            me=Host(
                name=cfg.name,
                incarnation=self._incarnation,
                zone=cfg.zone,
                region=cfg.region,
                peer=cfg.peers,
                http=cfg.callers,
                work=self._work,
                weight=cfg.weight,
            ),
            seeds=lambda: self._candidates or (),
            cfg=MembershipSettings(
                codec="packed",
                reconnect_interval_ms=_RECONNECT_INTERVAL_MS,
                seed_interval_ms=_SEED_INTERVAL_MS,
                join_interval_ms=_JOIN_INTERVAL_MS,
            ),
            secrets=(_DATAGRAM_KEY,),
            configuration_version=lambda: 0,
            on_configuration=lambda version, host: None,
            on_view=self._pass_to_loop,
        )

    def _pass_to_loop(self, view: FleetView) -> None:
        """Pass a view from the membership's thread to the event loop."""
        if self._loop is not None and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._set_view, view)

    def _set_view(self, view: FleetView) -> None:
        now = time.monotonic()
        dead = {
            member.host.name
            for member in view.members
            if member.state is MemberState.DEAD
        }
        if not dead <= self._dead_since.keys():
            self.lost_at = now
        self._dead_since = {name: self._dead_since.get(name, now) for name in dead}
        self.view = view
        self._rankings.clear()
        self._total_valid_until = 0.0
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
