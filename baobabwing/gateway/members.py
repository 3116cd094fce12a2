"""Who else is there: the product's membership, as a gateway uses it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

from baobabwing.fleet.homes import ranking
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.membership import Membership
from baobabwing.fleet.settings import MembershipSettings
from baobabwing.fleet.view import FleetView
from baobabwing.gateway.events import INCARNATION_RAISED
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.reports.events import log

__all__ = ["Members"]

# A member that was declared dead may run on behind a cut, and takes its share of
# limits, for this long: as long as a cut between regions may last.
_GONE_S = 3_600.0
# Members that are dead are probed again this often, so that the sides of a cut find
# each other; the default of 5 s is made for fleets that need no reports from them.
_RECONNECT_MS = 500
# The list of candidates is looked at this often, and this often by a node that knows
# nobody yet: until it does, it is home of all cells.
_SEEDS_MS = 2_000
_JOIN_MS = 100
# A node that started just now may not know yet who else runs; for this long it counts
# all that are listed. Members answer within some 100 ms.
_JOINED_S = 3.0
# Nodes that it counts before it has any list, as many as a fleet may have: all that
# start together share each limit.
_UNKNOWN_NODES = 460
_WATCH_S = 0.5
# The count of nodes is asked for some fifty times a second; it is made anew after this
# time, in which no node is taken for gone. Made each time, it took 0.6% of a core with
# 86 nodes.
_COUNT_KEPT_S = 0.2
_MS = 1000
# A clock that went back at a start makes a process look older than its last run.
_RAISE_MS = 3_600_000
# Nodes of one deployment; keeps datagrams of other programs out, and is no secret.
_MARK = b"baobabwing gateways"


class Members:
    """The members, followed by one thread of the membership and used by the loop.

    :param settings: names and addresses of this node.
    :param work: where this node takes messages of other gateways.
    """

    def __init__(self, *, settings: GatewaySettings, work: str) -> None:
        self.settings = settings
        self._work = work
        self._candidates: tuple[Host, ...] | None = None
        self._membership: Membership | None = None
        self._incarnation = time.time_ns() // (_MS * _MS)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._started_at = time.monotonic()
        self._gone_at: dict[str, float] = {}
        self._homes: dict[str, tuple[Host, ...]] = {}
        self._total = 1
        self._total_until = 0.0
        self.view: FleetView | None = None
        self._listeners: list[Callable[[], None]] = []

    def start(self) -> None:
        """Begin to probe and to join."""
        self._loop = asyncio.get_running_loop()
        self._begin()

    async def run(self) -> None:
        """Begin anew where another process seems to have this node's name."""
        while True:
            await asyncio.sleep(_WATCH_S)
            if self._membership is not None and self._membership.superseded:
                # The others hold an earlier run of this node for the newer one,
                # since the time of day went back in between. They would take none
                # of its words.
                self._incarnation += _RAISE_MS
                log(INCARNATION_RAISED, incarnation=self._incarnation)
                await asyncio.to_thread(self._membership.stop)
                self._begin()

    def leave(self) -> None:
        """Tell the others that this node is leaving."""
        if self._membership is not None:
            self._membership.leave()

    def stop(self) -> None:
        """End; a node that was leaving says that it has left."""
        if self._membership is not None:
            self._membership.stop()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Have a function called with each new view."""
        self._listeners.append(listener)

    def list_candidates(self, hosts: Iterable[Host]) -> None:
        """Take hosts that may be members."""
        self._candidates = tuple(hosts)
        self._total_until = 0.0
        if self._membership is not None and not self.others():
            self._membership.look_for_seeds()
        self._tell_listeners()

    @property
    def total(self) -> int:
        """Nodes that may be running, this one included."""
        now = time.monotonic()
        if now >= self._total_until:
            self._total = self._count(now)
            self._total_until = now + _COUNT_KEPT_S
        return self._total

    @property
    def joining(self) -> bool:
        """Whether others are listed, or may be, and none of them is known yet."""
        listed = self._candidates
        return not self.others() and (listed is None or len(listed) > 1)

    @property
    def work(self) -> str:
        """Where this node takes messages of other gateways, ``ip:port``."""
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
        over = (MemberState.DEAD, MemberState.LEFT)
        running = {one.host.work for one in members if one.state not in over}
        return {one.host.work for one in members} - running

    def homes(self, resource: str, count: int) -> list[str]:
        """Return the work addresses of those who are home of a resource, in turn."""
        if self.view is None:
            return [self._work]
        return [host.work for host in self.ranked(resource, count)]

    def ranked(self, resource: str, count: int) -> list[Host]:
        """Return the first hosts of a resource's ranking."""
        if self.view is None:
            return []
        found = self._homes.get(resource)
        if found is None:
            found = self._homes[resource] = ranking(self.view, resource)
        return list(found[:count])

    def _count(self, now: float) -> int:
        members = self.view.members if self.view is not None else ()
        names = {one.host.name for one in members if self._may_run(one, now)}
        if now - self._started_at >= _JOINED_S:
            return max(len(names), 1)
        if self._candidates is None:
            return max(len(names), _UNKNOWN_NODES)
        return max(len(names | {host.name for host in self._candidates}), 1)

    def _may_run(self, member: Member, now: float) -> bool:
        if member.state is MemberState.DEAD:
            return now - self._gone_at.get(member.host.name, now) < _GONE_S
        return member.state is not MemberState.LEFT

    def _begin(self) -> None:
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
                reconnect_interval_ms=_RECONNECT_MS,
                seed_interval_ms=_SEEDS_MS,
                join_interval_ms=_JOIN_MS,
            ),
            secrets=(_MARK,),
            configuration_version=lambda: 0,
            on_configuration=lambda version, host: None,
            on_view=self._tell_loop,
        )
        self._membership.start()

    def _tell_loop(self, view: FleetView) -> None:
        """Hand a view from the membership's thread to the loop."""
        if self._loop is not None and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._take, view)

    def _take(self, view: FleetView) -> None:
        now = time.monotonic()
        gone = {
            member.host.name
            for member in view.members
            if member.state is MemberState.DEAD
        }
        self._gone_at = {name: self._gone_at.get(name, now) for name in gone}
        self.view = view
        self._homes.clear()
        self._total_until = 0.0
        self._tell_listeners()

    def _tell_listeners(self) -> None:
        for listener in self._listeners:
            listener()
