"""Whether a silent member may be declared dead, or this node is cut off itself."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum

from baobabwing.fleet.host import Host

__all__ = ["Verdict", "judge"]

_ZONES_WHEN_MOST_ARE_SILENT = 2


class Verdict(StrEnum):
    """What becomes of a suspect when its time to refute is over."""

    DEAD = "dead"
    HOLD = "hold"


def judge(
    *,
    me: Host,
    target: Host,
    others: Iterable[Host],
    confirmed: Mapping[str, str],
    silent: int,
    answered: int,
) -> Verdict:
    """Judge a suspect by who else found it silent.

    A node whose own link is cut sees everybody silent. It gets no confirmation
    either, so it holds; when its whole zone is cut, only its own zone confirms,
    so it holds too. A zone that is lost is silent to all other zones, and these
    confirm it to each other.

    :param others: live members but for the two.
    :param confirmed: zones, by name, of members that found the target silent.
    :param silent: members that do not answer this node at present.
    :param answered: members that did answer since the target fell silent.
    """
    zones = {host.zone for host in others}
    if not zones:
        return Verdict.DEAD
    foreign = {zone for zone in confirmed.values() if zone != me.zone}
    if zones - {me.zone} and not foreign:
        return Verdict.HOLD
    if not confirmed:
        return Verdict.HOLD
    # Two nodes behind one dead switch confirm to each other that the rest is
    # dead. It shows in that most of those they probe are silent; then only two
    # zones apart from the own one, which do not share the switch, are believed.
    if silent > answered + 1 and len(foreign) < _ZONES_WHEN_MOST_ARE_SILENT:
        return Verdict.HOLD
    return Verdict.DEAD
