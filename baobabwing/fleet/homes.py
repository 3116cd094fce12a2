"""Homes of resources by weighted rendezvous hashing.

References
----------
.. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
   increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.

"""

from __future__ import annotations

from baobabwing.fleet.draw import weighted_score
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView

__all__ = ["carry_homes", "home_of", "ranking"]

_MAX_CACHED_HOMES = 4096


def home_of(view: FleetView, resource: str, *, zone: str = "") -> Host | None:
    """Return the host that is home of a resource.

    The first call for a resource takes time in proportion to the hosts; views
    remember the answer and hand it on to the views that follow.

    :param resource: name with its kind, such as ``"cell/chat/0"``.
    :param zone: hosts of this zone go first, when one of them serves.
    :returns: ``None`` when no host serves.
    """
    key = (resource, zone)
    cached = view._homes
    if key in cached:
        return cached[key]
    home = _top_ranked(view.serving(), key)
    if len(cached) < _MAX_CACHED_HOMES:
        cached[key] = home
    return home


def carry_homes(old: FleetView, new: FleetView) -> None:
    """Give a new view the homes that an older one remembers.

    Only hosts that came or went can change a home, so the time is in proportion
    to the homes remembered times the hosts that came, and not to all hosts. Views
    share their host objects, so hosts are told apart by identity.
    """
    before = {id(host) for host in old.serving()}
    kept = {id(host) for host in new.serving() if id(host) in before}
    added = tuple(host for host in new.serving() if id(host) not in before)
    for key, home in tuple(old._homes.items()):
        if home is not None and id(home) in kept:
            new._homes[key] = _top_ranked((home, *added), key) if added else home


def ranking(view: FleetView, resource: str, *, zone: str = "") -> tuple[Host, ...]:
    """Return all serving hosts, the home first and then those that follow it.

    When a host goes, each resource it was home of moves to the next in its
    ranking, and no other resource moves.

    :param zone: hosts of this zone go before all others.
    """
    key = (resource, zone)
    return tuple(
        sorted(view.serving(), key=lambda host: _rank_key(host, key), reverse=True)
    )


def _top_ranked(hosts: tuple[Host, ...], key: tuple[str, str]) -> Host | None:
    return max(hosts, key=lambda host: _rank_key(host, key), default=None)


def _rank_key(host: Host, key: tuple[str, str]) -> tuple[bool, float, str]:
    resource, zone = key
    in_zone = zone != "" and host.zone == zone
    return in_zone, weighted_score(host.name, resource, weight=host.weight), host.name
