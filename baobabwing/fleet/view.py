"""A node's view of the fleet at one moment."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from baobabwing.fleet.host import Host, Member, MemberState

__all__ = ["FleetView"]


@dataclass(frozen=True, kw_only=True, eq=False)
class FleetView:
    """Members that a node knows, itself among them, by name.

    Views of two nodes may differ, and so may two views of one node. What is
    safe must not rest on them.

    :param members: all members that are not forgotten, sorted by name.
    :param isolated: whether this node holds verdicts back because it may
        itself be the one that is cut off.
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
        """Return the hosts that may get new work."""
        return self._serving

    def find(self, name: str) -> Member | None:
        """Return a member by its name, or ``None`` when it is not known."""
        return self._by_name.get(name)

    def is_current(self, name: str, incarnation: int) -> bool:
        """Tell whether this incarnation of a host may still be running.

        :returns: false once it is dead, has left or was replaced.
        """
        member = self.find(name)
        if member is None or member.host.incarnation != incarnation:
            return False
        return member.state not in (MemberState.DEAD, MemberState.LEFT)
