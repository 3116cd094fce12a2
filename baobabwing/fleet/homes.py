"""Homes of resources by weighted rendezvous hashing.

References
----------
.. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
   increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.

"""

from __future__ import annotations

from baobabwing.fleet.draw import weighted_draw
from baobabwing.fleet.host import Host
from baobabwing.fleet.view import FleetView

__all__ = ["home_of", "ranking"]

_REMEMBERED = 4096


def home_of(view: FleetView, resource: str, *, zone: str = "") -> Host | None:
    """Return the host that is home of a resource.

    The first call for a resource takes time in proportion to the hosts; the
    view remembers the answer.

    :param resource: name with its kind, such as ``"cell/chat/0"``.
    :param zone: hosts of this zone go first, when one of them serves.
    :returns: ``None`` when no host serves.
    """
    key = (resource, zone)
    remembered = view._rankings
    if key in remembered:
        return remembered[key]
    hosts = _in_zone(view, zone) or view.serving()
    home = max(hosts, key=lambda host: _order(host, resource), default=None)
    if len(remembered) < _REMEMBERED:
        remembered[key] = home
    return home


def ranking(view: FleetView, resource: str, *, zone: str = "") -> tuple[Host, ...]:
    """Return all serving hosts, the home first and then those that follow it.

    When a host goes, each resource it was home of moves to the next in its
    ranking, and no other resource moves.

    :param zone: hosts of this zone go before all others.
    """
    return tuple(
        sorted(
            view.serving(),
            key=lambda host: (zone != "" and host.zone == zone, _order(host, resource)),
            reverse=True,
        )
    )


def _in_zone(view: FleetView, zone: str) -> tuple[Host, ...]:
    if not zone:
        return ()
    return tuple(host for host in view.serving() if host.zone == zone)


def _order(host: Host, resource: str) -> tuple[float, str]:
    return weighted_draw(host.name, resource, weight=host.weight), host.name
