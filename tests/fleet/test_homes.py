import random

import pytest

from baobabwing.fleet.addresses import choose_addresses
from baobabwing.fleet.homes import copy_cached_homes, home_of, home_ranking
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView

RESOURCES = [f"cell/{i}" for i in range(600)]


def host(name, zone="a", weight=1.0):
    return Host(
        name=name,
        incarnation=1,
        zone=zone,
        region="r",
        peer=f"{name}:1",
        http=f"{name}:2",
        weight=weight,
    )


def view_of(*hosts, states=None):
    states = states or {}
    return FleetView(
        members=tuple(
            Member(host=entry, state=states.get(entry.name, MemberState.ALIVE))
            for entry in hosts
        )
    )


HOSTS = [host(f"{zone}{i}", zone) for zone in "abc" for i in range(2)]


def test_removing_a_host_moves_only_its_homes():
    before, removed = view_of(*HOSTS), HOSTS[3]
    after = view_of(*HOSTS, states={removed.name: MemberState.DEAD})
    for resource in RESOURCES:
        first, second = home_ranking(before, resource)[:2]
        assert home_of(before, resource) == first
        assert home_of(after, resource) == (second if first == removed else first)


@pytest.mark.parametrize("zone", ["", "b", "d"])
def test_cached_homes_equal_recomputed_homes(zone):
    """Homes carried over from view to view must not be stale after host changes."""
    hosts = {entry.name: entry for entry in HOSTS}
    old = view_of(*hosts.values())
    rng = random.Random(1)
    carried = 0
    for step in range(12):
        for resource in RESOURCES[:100]:
            home_of(old, resource, zone=zone)
        name, new_zone = rng.choice(sorted(hosts)), rng.choice("abd")
        hosts.pop(name)
        hosts[f"{new_zone}n{step}"] = host(f"{new_zone}n{step}", new_zone)
        new, uncached = view_of(*hosts.values()), view_of(*hosts.values())
        copy_cached_homes(old, new)
        carried += len(new._homes)
        for resource in RESOURCES[:100]:
            assert home_of(new, resource, zone=zone) == home_of(
                uncached, resource, zone=zone
            )
        old = new
    assert carried > 100


def test_homes_are_distributed_by_weight():
    view = view_of(host("big", weight=3.0), host("small", weight=1.0))
    share = sum(home_of(view, r).name == "big" for r in RESOURCES) / len(RESOURCES)
    assert 0.7 < share < 0.8


def test_hosts_of_the_zone_are_preferred_while_any_serves():
    view = view_of(*HOSTS)
    assert all(home_of(view, r, zone="b").zone == "b" for r in RESOURCES)
    assert [h.zone for h in home_ranking(view, "cell/1", zone="b")][:2] == ["b", "b"]
    states = {"b0": MemberState.LEAVING, "b1": MemberState.LEFT}
    without_zone = view_of(*HOSTS, states=states)
    assert home_of(without_zone, "cell/1", zone="b") == home_of(without_zone, "cell/1")


@pytest.mark.parametrize(
    ("state", "serves"),
    [
        (MemberState.ALIVE, True),
        (MemberState.SUSPECT, True),
        (MemberState.LEAVING, False),
        (MemberState.DEAD, False),
        (MemberState.LEFT, False),
    ],
)
def test_only_serving_hosts_are_homes(state, serves):
    view = view_of(host("x"), states={"x": state})
    assert (home_of(view, "cell/1") is not None) is serves


def test_incarnation_is_current_until_the_host_departs():
    """A key names the incarnation of the node that owns its request.

    A leaving owner still serves the key; a dead or replaced one does not.
    """
    states = {"a0": MemberState.LEAVING, "a1": MemberState.DEAD}
    view = view_of(*HOSTS, states=states)
    assert view.is_current("a0", 1)
    assert view.is_current("b0", 1)
    assert not view.is_current("b0", 2)
    assert not view.is_current("a1", 1)
    assert not view.is_current("unknown", 1)


def answer(view, **kwargs):
    return choose_addresses(view, me=host("me"), zone="a", **{"seed": "1", **kwargs})


def test_answer_prefers_the_zone_and_includes_another():
    hosts = [*HOSTS, host("a8", "a"), host("a9", "a")]
    zones = [h.zone for h in answer(view_of(*hosts)).hosts]
    assert zones[:2] == ["a", "a"]
    assert zones[2] != "a"


def test_answer_avoids_loaded_hosts():
    view = view_of(*HOSTS[:2])
    first = [
        answer(view, seed=str(i), loads={"a0": 0.9}).hosts[0].name for i in range(300)
    ]
    assert first.count("a0") < 60


def test_answer_omits_leaving_hosts_and_is_never_empty():
    view = view_of(*HOSTS[:2], states={"a0": MemberState.LEAVING})
    assert [h.name for h in answer(view).hosts] == ["a1"]
    none_serving = view_of(host("me"), states={"me": MemberState.LEAVING})
    assert [h.name for h in answer(none_serving).hosts] == ["me"]
