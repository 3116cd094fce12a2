"""Client-side load balancing: the addresses that a caller should use."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView
from baobabwing.fleet.weighted_score import weighted_score

__all__ = ["DEFAULT_VALID_S", "AddressList", "choose_addresses"]

DEFAULT_VALID_S = 10
_MIN_SPARE = 0.05
_NO_LOADS: Mapping[str, float] = {}


@dataclass(frozen=True, kw_only=True, slots=True)
class AddressList:
    """Hosts to use, in order of preference, and how long the answer is valid.

    :param valid_s: seconds after which the caller requests addresses again. A
        leaving host keeps serving for this time, since callers may still use an
        older answer.
    """

    hosts: tuple[Host, ...]
    valid_s: int


def choose_addresses(
    view: FleetView,
    *,
    me: Host,
    zone: str,
    seed: str,
    count: int = 3,
    loads: Mapping[str, float] = _NO_LOADS,
    valid_s: int = DEFAULT_VALID_S,
) -> AddressList:
    """Choose hosts for a caller, in proportion to weight times spare capacity.

    Hosts in the caller's availability zone are preferred. If there is more than
    one, the last is in another zone where possible, so that the caller still has a
    host when its zone fails. Leaving hosts are not offered.

    :param me: the answering host; offered alone when no host is serving.
    :param zone: availability zone of the caller, or empty.
    :param seed: distinguishes callers; the same seed gets the same hosts as long
        as view and loads are the same.
    :param count: number of hosts to return at most.
    :param loads: share of its capacity that each host uses, by host name.
    :param valid_s: validity of the answer in seconds.
    """
    ranked = sorted(
        view.serving(),
        key=lambda host: (host.zone != zone, -_score(host, seed, loads)),
    )
    chosen = ranked[:count]
    if count > 1 and chosen:
        chosen = _with_other_zone(chosen, ranked[count:])
    return AddressList(hosts=tuple(chosen) or (me,), valid_s=valid_s)


def _with_other_zone(chosen: list[Host], rest: list[Host]) -> list[Host]:
    zones = {host.zone for host in chosen}
    if len(zones) > 1:
        return chosen
    other = next((host for host in rest if host.zone not in zones), None)
    return chosen if other is None else [*chosen[:-1], other]


def _score(host: Host, seed: str, loads: Mapping[str, float]) -> float:
    spare = max(_MIN_SPARE, 1.0 - loads.get(host.name, 0.0))
    return weighted_score(host.name, seed, weight=host.weight * spare)
