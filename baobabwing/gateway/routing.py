"""Choice of a route by host and longest path prefix."""

from __future__ import annotations

from random import Random

from baobabwing.gateway.model import GatewayConfiguration, OrganisationSpec, Route

__all__ = ["RouteTable", "pick_pool"]


class RouteTable:
    """Routes and keys of one configuration, indexed for lookup.

    The time of a lookup is proportional to the slashes of the path, and does not depend
    on the number of routes.

    :param cfg: the configuration to index.
    :ivar resumable_pools: names of the pools whose streams their callers may take up.
    """

    def __init__(self, *, cfg: GatewayConfiguration) -> None:
        self.cfg = cfg
        self.pools = {pool.name: pool for pool in cfg.pools}
        self._routes: dict[tuple[str, str], Route] = {}
        for route in cfg.routes:
            self._routes.setdefault((route.host.lower(), route.prefix), route)
        self.resumable_pools = {
            target.pool
            for route in cfg.routes
            if route.resumable
            for target in route.targets
        }
        self._by_key = {
            key: organisation
            for organisation in cfg.organisations
            for key in organisation.keys
        }

    def find(self, host: str, target: str) -> Route | None:
        """Return the route whose prefix of a request's path is the longest.

        :param host: the Host header; its port is ignored.
        :param target: path of the request, with or without a query.
        """
        name = _without_port(host)
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def organisation(self, key: str) -> OrganisationSpec | None:
        """Return the organisation that has a key; ``None`` for an unknown key."""
        return self._by_key.get(key)


def pick_pool(route: Route, rng: Random) -> str:
    """Pick the pool of a request at random, by the weights of its route."""
    if len(route.targets) == 1:
        return route.targets[0].pool
    weights = [target.weight for target in route.targets]
    if sum(weights) <= 0:
        return route.targets[0].pool
    return rng.choices(route.targets, weights)[0].pool


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
