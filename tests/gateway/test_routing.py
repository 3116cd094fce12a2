"""Choice of routes by host and longest prefix, and of pools by weight."""

import random

import pytest

from baobabwing.gateway.model import RouteKind, RouteTarget
from baobabwing.gateway.routing import RouteTable, pick_pool
from tests.gateway.harness import default_configuration, route

ROUTES = (
    route("root", "/", RouteKind.SAFE),
    route("a", "/a/", RouteKind.SAFE),
    route("ab", "/a/b/", RouteKind.SAFE),
)


@pytest.mark.parametrize(
    ("target", "name"),
    [
        ("/", "root"),
        ("/a", "root"),
        ("/a/", "a"),
        ("/a/x", "a"),
        ("/a/bc", "a"),
        ("/a/b/", "ab"),
        ("/a/b/c/d?x=/a/", "ab"),
        ("/other?x=/a/b/", "root"),
    ],
)
def test_longest_prefix_wins(target, name):
    table = RouteTable(cfg=default_configuration(routes=ROUTES))
    assert table.find("API.example:8080", target).name == name


def test_no_route_for_another_host():
    table = RouteTable(cfg=default_configuration(routes=ROUTES))
    assert table.find("other.example", "/a/") is None


def test_no_route_where_the_path_has_no_configured_prefix():
    table = RouteTable(cfg=default_configuration(routes=ROUTES[1:]))
    assert table.find("api.example", "/b/") is None


def test_lookup_time_does_not_grow_with_the_routes():
    """A lookup reads the prefixes of the path only, the longest first."""
    routes = tuple(
        route(f"r{number}", f"/r{number}/", RouteKind.SAFE) for number in range(5000)
    )
    table = RouteTable(cfg=default_configuration(routes=routes))
    looked_up = []

    class Counting(dict):
        def get(self, key, default=None):
            looked_up.append(key)
            return super().get(key, default)

    table._routes = Counting(table._routes)
    assert table.find("api.example", "/r4999/x/y").name == "r4999"
    assert len(looked_up) == 2


def test_pools_are_picked_in_proportion_to_their_weights():
    split = route(
        "split",
        "/s/",
        RouteKind.SAFE,
        targets=(RouteTarget(pool="a", weight=90), RouteTarget(pool="b", weight=10)),
    )
    rng = random.Random(3)
    picked = [pick_pool(split, rng) for _ in range(2000)]
    assert 120 < picked.count("b") < 280


def test_pool_of_weight_zero_is_never_picked():
    split = route(
        "split",
        "/s/",
        RouteKind.SAFE,
        targets=(RouteTarget(pool="a", weight=1), RouteTarget(pool="b", weight=0)),
    )
    rng = random.Random(3)
    assert {pick_pool(split, rng) for _ in range(200)} == {"a"}
