"""Organisations are held to their limits over all entries together."""

import pytest

from baobabwing.brands.catalogue import Brand, Limits, Organisation
from baobabwing.brands.limits import Exceeded
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.homes.limits import LimitGate, SliceDesk, Ticket
from baobabwing.settings.configuration import Configuration
from baobabwing.wire.peers import PeerClients

ORGANISATION = Organisation(
    name="salon", brand="b", limits=Limits(requests_per_s=10.0, concurrency=4)
)
CFG = Configuration(version=1, brands=(Brand(name="b"),), organisations=(ORGANISATION,))


def host(name):
    return Host(
        name=name,
        incarnation=1,
        zone="a",
        region="r",
        peer="127.0.0.1:9",
        http="127.0.0.1:8",
    )


def gate(me, members, desk):
    view = FleetView(
        members=tuple(Member(host=one, state=MemberState.ALIVE) for one in members)
    )
    peers = PeerClients(name=me.name, incarnation=1, keys=(b"k" * 16,))
    made = LimitGate(me=me, view=lambda: view, peers=peers, desk=desk)
    made.configure(CFG)
    desk.configure(CFG)
    return made


@pytest.fixture
def alone():
    me = host("n1")
    return gate(me, [me], SliceDesk())


def test_concurrency_is_held_and_freed(alone):
    tickets = [alone.admit(ORGANISATION, 1.0) for _ in range(4)]
    assert all(isinstance(one, Ticket) for one in tickets)
    refused = alone.admit(ORGANISATION, 1.0)
    assert isinstance(refused, Exceeded)
    assert refused.retry_after_s > 0
    alone.settle(tickets[0], 1.0)
    assert isinstance(alone.admit(ORGANISATION, 1.0), Ticket)


def test_an_organisation_without_limits_is_not_counted(alone):
    free = Organisation(name="free", brand="b")
    assert alone.admit(free, 1.0) is None


def test_an_unreachable_home_leaves_an_equal_part():
    """All of an organisation's requests would be refused, or none limited.

    The home of the organisation does not answer. Each entry then uses an equal
    part of the limits, which add up to the whole.
    """
    me, other = host("n1"), host("n2")
    for name in ("salon", "other"):
        organisation = Organisation(
            name=name, brand="b", limits=Limits(concurrency=4, requests_per_s=100.0)
        )
        made = gate(me, [me, other], SliceDesk())
        made.configure(Configuration(version=1, organisations=(organisation,)))
        made._request_lease = lambda name, demand: None
        admitted = [made.admit(organisation, 1.0) for _ in range(4)]
        assert sum(isinstance(one, Ticket) for one in admitted) == 2


def test_quiet_organisations_are_not_asked_for_ahead(alone):
    """At 1,400 organisations the slices alone would break the bound of control.

    Each entry of a large fleet sees most organisations, each about once a
    minute. Renewing all their slices twice a second was 566 KB/s a node; a slice
    is asked for when a request comes, and ahead only for the busy.
    """
    asked = []
    lease = alone._request_lease
    alone._request_lease = lambda name, demand: (
        asked.append(name) or lease(name, demand)
    )
    ticket = alone.admit(ORGANISATION, 1.0)
    account = alone._accounts["salon"]
    alone.settle(ticket, 1.0)
    assert not account.needs_renewal(account.valid_until - 0.1)
    for _ in range(2):
        alone.settle(alone.admit(ORGANISATION, 1.0), 1.0)
    assert account.needs_renewal(account.valid_until - 0.1)
    assert not account.needs_renewal(account.valid_until - 1.9)
    account.requests = 0
    alone.admit(ORGANISATION, 1.0)
    account.requests = 0
    assert account.needs_renewal(account.valid_until - 0.1)
    assert asked == ["salon"]
