"""Hosts and their state as members of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Host", "Member", "MemberState"]


class MemberState(IntEnum):
    """State of a member; the numbers are part of the wire format."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """One node process on an entry host.

    :param incarnation: wall clock at its start in milliseconds.
    :param zone: availability zone.
    :param peer: ``ip:port`` for the other nodes, both TCP and UDP.
    :param http: ``ip:port`` for callers.
    :param work: ``ip:port`` for other gateways, UDP messages and TCP tunnels, or empty.
    :param weight: share of homes relative to other hosts.
    """

    name: str
    incarnation: int
    zone: str
    region: str
    peer: str
    http: str
    work: str = ""
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A host with its state in this node's local view.

    :param refutation: how often this incarnation has refuted its own death.
    """

    host: Host
    state: MemberState
    refutation: int = 0

    @property
    def serving(self) -> bool:
        """Whether the host may receive new work."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)
