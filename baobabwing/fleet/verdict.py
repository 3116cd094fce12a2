"""Whether a silent member may be declared dead, or this node is cut off itself."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum

from baobabwing.fleet.host import Host

__all__ = ["Verdict", "judge"]

_ZONES_ABOVE_DOUBT = 2


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
    confirm it to each other. Two zones apart from the own one are believed
    whatever else is silent; with fewer, how many answer is weighed as well.

    :param others: live members but for the two.
    :param confirmed: zones, by name, of members that found the target silent.
    :param silent: members that do not answer this node at present.
    :param answered: members that did answer since the target fell silent.
    """
    others = tuple(others)
    if not others:
        return Verdict.DEAD
    foreign = {zone for zone in confirmed.values() if zone != me.zone}
    if len(foreign) >= _ZONES_ABOVE_DOUBT:
        return Verdict.DEAD
    if foreign:
        believed = silent <= answered + 1
    elif any(host.zone != me.zone for host in others):
        believed = False
    else:
        # Two nodes behind one dead switch confirm to each other that the rest is
        # dead. It shows in that most of those they probe are silent.
        most_answer = answered > silent or answered >= len(others)
        believed = bool(confirmed) and most_answer
    return Verdict.DEAD if believed else Verdict.HOLD
