"""Decides whether a suspect is dead or this node may itself be partitioned."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum

from baobabwing.fleet.host import Host

__all__ = ["DeathDecision", "decide_death"]

_SUFFICIENT_OTHER_ZONES = 2


class DeathDecision(StrEnum):
    """Decision on a suspect whose time to refute has run out."""

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
    """Decide on a suspect by which members confirm that it is unresponsive.

    A node whose own link is down sees all members as unresponsive. It receives no
    confirmations, so it holds. When its whole availability zone is partitioned,
    only its own zone confirms, so it holds too. When a zone is lost, the other
    zones confirm it to each other. Confirmations from two zones other than the own
    one suffice, however many members are unresponsive. With fewer, the number of
    members that answer counts as well.

    :param me: this node's host.
    :param target: the suspect.
    :param others: live members except ``me`` and ``target``.
    :param confirmed: availability zones, by name, of members that received no
        answer from the target either.
    :param unresponsive: number of members that do not answer this node at present.
    :param answered: number of members that answered since this probe was (re)started.
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
        # Two nodes behind a failed switch confirm to each other that the rest is
        # dead. That most members they probe do not answer reveals the partition.
        majority_answers = answered > unresponsive or answered >= len(others)
        sufficient = bool(confirmed) and majority_answers
    return DeathDecision.DEAD if sufficient else DeathDecision.HOLD
