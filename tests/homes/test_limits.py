"""Limits of organisations are enforced over all entries together."""

import pytest

from baobabwing.brands.catalogue import Brand, Limits, Organisation
from baobabwing.brands.limits import Exceeded
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.homes.limits import AdmittedCharge, LimitEnforcer, SliceService
from baobabwing.settings.configuration import Configuration
from baobabwing.wire.peers import PeerClients

ORGANISATION = Organisation(
    name="salon", brand="b", limits=Limits(requests_per_s=10.0, concurrency=4)
)
CFG = Configuration(version=1, brands=(Brand(name="b"),), organisations=(ORGANISATION,))


def make_host(name):
    return Host(
        name=name,
        incarnation=1,
        zone="a",
        region="r",
        peer="127.0.0.1:9",
        http="127.0.0.1:8",
    )


def make_enforcer(me, members, slices):
    view = FleetView(
        members=tuple(Member(host=host, state=MemberState.ALIVE) for host in members)
    )
    peers = PeerClients(name=me.name, incarnation=1, keys=(b"k" * 16,))
    enforcer = LimitEnforcer(me=me, view=lambda: view, peers=peers, slices=slices)
    enforcer.configure(CFG)
    slices.configure(CFG)
    return enforcer


@pytest.fixture
def enforcer():
    me = make_host("n1")
    return make_enforcer(me, [me], SliceService())


def test_concurrency_limit_is_enforced_and_released(enforcer):
    admitted = [enforcer.admit(ORGANISATION, 1.0) for _ in range(4)]
    assert all(isinstance(charge, AdmittedCharge) for charge in admitted)
    refused = enforcer.admit(ORGANISATION, 1.0)
    assert isinstance(refused, Exceeded)
    assert refused.retry_after_s > 0
    enforcer.settle(admitted[0], 1.0)
    assert isinstance(enforcer.admit(ORGANISATION, 1.0), AdmittedCharge)


def test_an_organisation_without_limits_is_not_counted(enforcer):
    unlimited = Organisation(name="free", brand="b")
    assert enforcer.admit(unlimited, 1.0) is None


def test_unreachable_home_falls_back_to_equal_parts():
    """Guards against refusing all requests, or limiting none, without the home.

    The home of the organisation does not answer. Each entry then uses an equal part
    of the limits, and the parts add up to the limits.
    """
    me, other = make_host("n1"), make_host("n2")
    for name in ("salon", "other"):
        organisation = Organisation(
            name=name, brand="b", limits=Limits(concurrency=4, requests_per_s=100.0)
        )
        enforcer = make_enforcer(me, [me, other], SliceService())
        enforcer.configure(Configuration(version=1, organisations=(organisation,)))
        enforcer._request_lease = lambda name, demand: None
        results = [enforcer.admit(organisation, 1.0) for _ in range(4)]
        assert sum(isinstance(result, AdmittedCharge) for result in results) == 2


def test_slices_of_idle_organisations_are_not_renewed_ahead(enforcer):
    """Guards against slice renewals that exceed the bound on control traffic.

    Each entry of a large fleet receives requests of most organisations, about one a
    minute each. At 1,400 organisations, renewing all slices twice a second took
    566 KB/s a node. Slices are queried when a request arrives, and renewed ahead
    only for busy organisations.
    """
    queried = []
    lease = enforcer._request_lease
    enforcer._request_lease = lambda name, demand: (
        queried.append(name) or lease(name, demand)
    )
    admitted = enforcer.admit(ORGANISATION, 1.0)
    account = enforcer._accounts["salon"]
    enforcer.settle(admitted, 1.0)
    assert not account.needs_renewal(account.valid_until - 0.1)
    for _ in range(2):
        enforcer.settle(enforcer.admit(ORGANISATION, 1.0), 1.0)
    assert account.needs_renewal(account.valid_until - 0.1)
    assert not account.needs_renewal(account.valid_until - 1.9)
    account.requests = 0
    enforcer.admit(ORGANISATION, 1.0)
    account.requests = 0
    assert account.needs_renewal(account.valid_until - 0.1)
    assert queried == ["salon"]
