"""Immutable view of the fleet's members."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from baobabwing.fleet.host import Host, Member, MemberState

__all__ = ["FleetView"]


@dataclass(frozen=True, kw_only=True, eq=False)
class FleetView:
    """Members known to a node at one moment, including itself.

    Views of different nodes may differ, and so may successive views of one node.
    Correctness must not depend on them.

    :param members: all known members, dead ones included, sorted by name.
    :param isolated: whether this node holds back declarations of death because it
        may itself be partitioned.
    """

    members: tuple[Member, ...]
    isolated: bool = False
    _homes: dict[tuple[str, str], Host | None] = field(default_factory=dict, repr=False)

    @cached_property
    def _by_name(self) -> dict[str, Member]:
        return {member.host.name: member for member in self.members}

    @cached_property
    def _serving(self) -> tuple[Host, ...]:
        return tuple(member.host for member in self.members if member.serving)

    def serving(self) -> tuple[Host, ...]:
        """Return the hosts that may receive new work."""
        return self._serving

    @cached_property
    def withdrawn(self) -> frozenset[str]:
        """Work addresses of hosts that are leaving or have ended."""
        known = {member.host.work for member in self.members}
        return frozenset(known - {host.work for host in self._serving})

    def find(self, name: str) -> Member | None:
        """Return the member with this name, or ``None``."""
        return self._by_name.get(name)

    def is_current(self, name: str, incarnation: int) -> bool:
        """Return whether this incarnation of a host may still be running.

        :returns: false if it is dead, has left, was replaced or is not known.
        """
        member = self.find(name)
        if member is None or member.host.incarnation != incarnation:
            return False
        return member.state not in (MemberState.DEAD, MemberState.LEFT)
