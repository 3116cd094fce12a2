"""Hosts and what is believed of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Host", "Member", "MemberState"]


class MemberState(IntEnum):
    """What is believed of a member; the numbers travel between nodes."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """One node process on an entry host.

    :param incarnation: milliseconds of the clock at its start.
    :param peer: ``ip:port`` for the other nodes, both TCP and UDP.
    :param http: ``ip:port`` for callers.
    :param work: ``ip:port`` for what gateways ask of each other by UDP, or empty.
    :param weight: share of homes against other hosts.
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
    """A host as this node sees it.

    :param refutation: how often this incarnation refuted its own death.
    """

    host: Host
    state: MemberState
    refutation: int = 0

    @property
    def serving(self) -> bool:
        """Whether the host may get new work."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)
