"""Choice of a route by host and longest path prefix."""

from __future__ import annotations

from random import Random

from baobabwing.gateway.model import GatewayConfiguration, OrganisationSpec, Route

__all__ = ["RouteTable", "pick_pool"]


class RouteTable:
    """Routes and keys of one configuration, indexed for lookup.

    A lookup takes time in proportion to the slashes of the path, so that a
    configuration of many routes costs a request nothing.

    :param cfg: the configuration to index.
    """

    def __init__(self, *, cfg: GatewayConfiguration) -> None:
        self.cfg = cfg
        self.pools = {pool.name: pool for pool in cfg.pools}
        self._routes: dict[tuple[str, str], Route] = {}
        for route in cfg.routes:
            self._routes.setdefault((route.host.lower(), route.prefix), route)
        self._by_key = {key: one for one in cfg.organisations for key in one.keys}

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of a request's path.

        :param host: the Host header; a port in it does not count.
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
        """Return the holder of a key."""
        return self._by_key.get(key)


def pick_pool(route: Route, rng: Random) -> str:
    """Draw the pool of one request by the weights of its route."""
    if len(route.targets) == 1:
        return route.targets[0].pool
    weights = [target.weight for target in route.targets]
    if sum(weights) <= 0:
        return route.targets[0].pool
    return rng.choices(route.targets, weights)[0].pool


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
