"""Homes of resources by weighted rendezvous hashing.

References
----------
.. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
   increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.

"""

from __future__ import annotations

from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView
from baobabwing.fleet.weighted_score import weighted_score

__all__ = ["copy_cached_homes", "home_of", "home_ranking"]

_MAX_CACHED_HOMES = 4096


def home_of(view: FleetView, resource: str, *, zone: str = "") -> Host | None:
    """Return the host that is the home of a resource.

    The first call for a resource takes time proportional to the number of hosts.
    The view caches the result, and later views take the cache over.

    :param resource: name of the resource with its kind, such as ``"cell/chat/0"``.
    :param zone: availability zone whose hosts are preferred, or empty.
    :returns: ``None`` when no host is serving.
    """
    key = (resource, zone)
    cached = view._homes
    if key in cached:
        return cached[key]
    home = _top_ranked(view.serving(), key)
    if len(cached) < _MAX_CACHED_HOMES:
        cached[key] = home
    return home


def copy_cached_homes(old: FleetView, new: FleetView) -> None:
    """Copy the cached homes of an older view that are still valid to a new one.

    Only added or removed hosts can change a home, so the time is proportional to
    the cached homes times the added hosts, not to all hosts. Views share their
    host objects, so hosts are compared by identity.
    """
    before = {id(host) for host in old.serving()}
    kept = {id(host) for host in new.serving() if id(host) in before}
    added = tuple(host for host in new.serving() if id(host) not in before)
    for key, home in tuple(old._homes.items()):
        if home is not None and id(home) in kept:
            new._homes[key] = _top_ranked((home, *added), key) if added else home


def home_ranking(view: FleetView, resource: str, *, zone: str = "") -> tuple[Host, ...]:
    """Return all serving hosts in the order in which they become home.

    The first one is the home. When a host is removed, each resource whose home it
    was moves to the next host of that resource's ranking; no other resource moves.

    :param zone: availability zone whose hosts rank before all others, or empty.
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
