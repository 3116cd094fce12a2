"""Whether a silent member may be declared dead, or this node is cut off itself."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum

from baobabwing.fleet.host import Host

__all__ = ["DeathDecision", "decide_death"]

_SUFFICIENT_OTHER_ZONES = 2


class DeathDecision(StrEnum):
    """What becomes of a suspect when its time to refute is over."""

    DEAD = "dead"
    HOLD = "hold"


def decide_death(
    *,
    me: Host,
    target: Host,
    others: Iterable[Host],
    confirmed: Mapping[str, str],
    unresponsive: int,
    answered: int,
) -> DeathDecision:
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
        return DeathDecision.DEAD
    other_zones = {zone for zone in confirmed.values() if zone != me.zone}
    if len(other_zones) >= _SUFFICIENT_OTHER_ZONES:
        return DeathDecision.DEAD
    if other_zones:
        sufficient = unresponsive <= answered + 1
    elif any(host.zone != me.zone for host in others):
        sufficient = False
    else:
        # Two nodes behind one dead switch confirm to each other that the rest is
        # dead. It shows in that most of those they probe are silent.
        majority_answers = answered > unresponsive or answered >= len(others)
        sufficient = bool(confirmed) and majority_answers
    return DeathDecision.DEAD if sufficient else DeathDecision.HOLD
