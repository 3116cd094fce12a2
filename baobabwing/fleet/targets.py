"""Selection of the member to probe next and of the members to confirm."""

from __future__ import annotations

import bisect
import functools
import hashlib
import random
from collections.abc import Collection

from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView

__all__ = ["ProbeOrder", "pick_confirmers", "dead_members", "live_others"]

_HASH_BYTES = 8
_MAX_CACHED_POSITIONS = 4096
_DEPARTED = (MemberState.DEAD, MemberState.LEFT)


class ProbeOrder:
    """Alternates between the successor on a hash ring and a shuffled round.

    With random targets alone, the time until a given member is probed is unbounded.
    Each member has one predecessor on the ring, which probes it every second time,
    so that time is bounded whatever the fleet's size. The shuffled round spreads
    updates and also covers a member whose predecessor died with it.

    :param me: name of this node's host.
    """

    def __init__(self, *, me: str, rng: random.Random) -> None:
        self._me = me
        self._rng = rng
        self._on_ring = False
        self._round: list[str] = []
        self._ring: list[tuple[int, str]] = []
        self._ring_view: FleetView | None = None

    def next(self, view: FleetView, skip: Collection[str]) -> Host | None:
        """Return the next host to probe, or ``None`` if there is none.

        :param skip: names of the hosts under probe.
        """
        self._on_ring = not self._on_ring
        if self._on_ring:
            return self._successor(view, skip)
        return self._next_in_round(view, skip)

    def _successor(self, view: FleetView, skip: Collection[str]) -> Host | None:
        if self._ring_view is not view:
            self._ring = sorted(
                (_ring_position(member.host.name), member.host.name)
                for member in view.members
                if member.state not in _DEPARTED
            )
            self._ring_view = view
        start = bisect.bisect(self._ring, (_ring_position(self._me), self._me))
        for offset in range(len(self._ring)):
            name = self._ring[(start + offset) % len(self._ring)][1]
            if name != self._me and name not in skip:
                return _present_host(view, name)
        return None

    def _next_in_round(self, view: FleetView, skip: Collection[str]) -> Host | None:
        if not self._round:
            self._round = [host.name for host in live_others(view, self._me)]
            self._rng.shuffle(self._round)
        while self._round:
            name = self._round.pop()
            host = _present_host(view, name)
            if host is not None and name not in skip:
                return host
        return None


def live_others(view: FleetView, me: str) -> list[Host]:
    """Return all hosts that have not died or left, except this node's own."""
    return [
        member.host
        for member in view.members
        if member.state not in _DEPARTED and member.host.name != me
    ]


def dead_members(view: FleetView) -> list[Member]:
    """Return the members that were declared dead."""
    return [m for m in view.members if m.state is MemberState.DEAD]


def pick_confirmers(
    view: FleetView,
    *,
    me: Host,
    target: str,
    skip: Collection[str],
    count: int,
    rng: random.Random,
) -> list[Host]:
    """Return hosts for indirect probes of a target, from as many zones as possible.

    Other availability zones come first, since they do not share a broken link of
    this node's zone.
    """
    hosts = [
        host
        for host in live_others(view, me.name)
        if host.name != target and host.name not in skip
    ]
    rng.shuffle(hosts)
    per_zone: dict[str, int] = {}
    ranked = []
    for host in hosts:
        zone_rank = per_zone.get(host.zone, 0)
        per_zone[host.zone] = zone_rank + 1
        ranked.append((zone_rank, host.zone == me.zone, len(ranked), host))
    return [entry[-1] for entry in sorted(ranked, key=lambda e: e[:-1])[:count]]


@functools.lru_cache(maxsize=_MAX_CACHED_POSITIONS)
def _ring_position(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def _present_host(view: FleetView, name: str) -> Host | None:
    member = view.find(name)
    if member is None or member.state in _DEPARTED:
        return None
    return member.host
