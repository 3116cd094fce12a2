"""Which addresses a caller is told to use, as there is no balancer."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from baobabwing.fleet.draw import weighted_score
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView

__all__ = ["KEEP_S", "AddressAnswer", "address_answer"]

KEEP_S = 10
_MIN_SPARE = 0.05
_NO_LOADS: Mapping[str, float] = {}


@dataclass(frozen=True, kw_only=True, slots=True)
class AddressAnswer:
    """Hosts to use, the first one first, and how long to keep the answer.

    :param keep_s: seconds after which the caller asks again. A leaving host
        serves those that keep an older answer until this time is over.
    """

    hosts: tuple[Host, ...]
    keep_s: int


def address_answer(
    view: FleetView,
    *,
    me: Host,
    zone: str,
    seed: str,
    count: int = 3,
    loads: Mapping[str, float] = _NO_LOADS,
    keep_s: int = KEEP_S,
) -> AddressAnswer:
    """Choose hosts for a caller, in proportion to their weight and spare load.

    Hosts of the caller's zone go first. The last of several is of another zone
    if there is one, so that a caller is not left without any when its zone goes.
    Leaving hosts are not offered.

    :param me: the answering host; offered alone when no host is known to serve.
    :param zone: availability zone of the caller, or empty.
    :param seed: what tells callers apart; the same seed gets the same answer.
    :param loads: share of its capacity that each host uses, where known.
    """
    ranked = sorted(
        view.serving(),
        key=lambda host: (host.zone != zone, -_score(host, seed, loads)),
    )
    chosen = ranked[:count]
    if count > 1 and chosen:
        chosen = _with_other_zone(chosen, ranked[count:])
    return AddressAnswer(hosts=tuple(chosen) or (me,), keep_s=keep_s)


def _with_other_zone(chosen: list[Host], rest: list[Host]) -> list[Host]:
    zones = {host.zone for host in chosen}
    if len(zones) > 1:
        return chosen
    other = next((host for host in rest if host.zone not in zones), None)
    return chosen if other is None else [*chosen[:-1], other]


def _score(host: Host, seed: str, loads: Mapping[str, float]) -> float:
    spare = max(_MIN_SPARE, 1.0 - loads.get(host.name, 0.0))
    return weighted_score(host.name, seed, weight=host.weight * spare)
