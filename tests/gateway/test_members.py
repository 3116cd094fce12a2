"""What a gateway asks of the membership, and what the answers cost."""

import pytest

from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.gateway import members as module
from baobabwing.gateway.members import Members
from baobabwing.gateway.settings import GatewaySettings


def host(number):
    return Host(
        name=f"n-{number:03}",
        incarnation=1,
        zone="z",
        region="r",
        peer=f"10.0.0.{number}:7600",
        http="",
        work=f"10.0.0.{number}:7601",
    )


def view(count, dead=()):
    return FleetView(
        members=tuple(
            Member(
                host=host(number),
                state=MemberState.DEAD if number in dead else MemberState.ALIVE,
            )
            for number in range(count)
        )
    )


@pytest.fixture
def members(monkeypatch):
    clock = [100.0]
    monkeypatch.setattr(module.time, "monotonic", lambda: clock[0])
    cfg = GatewaySettings(name="n-000", callers="", peers="", work="")
    made = Members(settings=cfg, work="10.0.0.0:7601")
    made.clock = clock
    clock[0] += 10.0
    return made


def test_ranking_is_made_once_for_each_view(members, monkeypatch):
    """Each document call asked who follows the store, and hashed all names for it."""
    made = []
    monkeypatch.setattr(
        module,
        "ranking",
        lambda seen, resource: made.append(resource) or seen.serving(),
    )
    members._take(view(86))
    for _ in range(50):
        assert len(members.ranked("store", 4)) == 4
        assert len(members.homes("store", 2)) == 2
    assert made == ["store"]
    members._take(view(85))
    members.ranked("store", 4)
    assert made == ["store", "store"]


def test_count_of_nodes_follows_each_view_at_once(members):
    """A limit is shared by the nodes that may run; one that came counts at once."""
    members._take(view(4))
    assert members.total == 4
    members._take(view(6))
    assert members.total == 6


def test_node_that_is_gone_is_counted_until_its_time_is_over(members):
    """A dead node may run on behind a cut and use its share of the limits."""
    members._take(view(4, dead=(3,)))
    assert members.total == 4
    members.clock[0] += 3_599.0
    assert members.total == 4
    members.clock[0] += 1.5
    assert members.total == 3
