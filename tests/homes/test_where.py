"""A home reports as sure that a key was not dispatched only if that is certain."""

import threading

import pytest

from baobabwing.bench.matrix.site import trial_shape
from baobabwing.bench.processes import wait_until
from baobabwing.bench.shapes import build_configuration
from baobabwing.exceptions import PeerError
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.homes.cells import CellHomes
from baobabwing.wire.messages import InflightAnswer, InflightItem, PermitRequest

WAIT_S = 20.0


def _make_host(name):
    return Host(
        name=name,
        incarnation=1,
        zone="a",
        region="uy",
        peer="127.0.0.1:1",
        http="127.0.0.1:2",
        weight=1.0 if name == "me" else 1e-9,
    )


@pytest.fixture
def make_homes():
    started = []

    def make(*, others=(), query_inflight=lambda host, query: InflightAnswer()):
        view = FleetView(
            members=(
                Member(host=_make_host("me"), state=MemberState.ALIVE),
                *(Member(host=_make_host(name), state=state) for name, state in others),
            )
        )
        homes = CellHomes(
            me=_make_host("me"),
            view=lambda: view,
            query_inflight=query_inflight,
            local_inflight=lambda cell: InflightAnswer(),
        )
        started.append(homes)
        shape = trial_shape()
        names = [upstream.name for upstream in (*shape.engines, *shape.services)]
        # No server listens at these addresses, so that there are no load reports.
        addresses = {name: f"127.0.0.1:{port}" for port, name in enumerate(names, 2)}
        homes.configure(build_configuration(shape, addresses, policy="baobabwing"))
        assert wait_until(lambda: not homes._rebuilding, timeout_s=WAIT_S)
        return homes

    yield make
    for homes in started:
        homes.stop()


def _make_request(request_id, key):
    return PermitRequest(
        request_id=request_id,
        cell="booking/0",
        organisation="salon",
        tier_rank=0,
        budget_ms=60_000,
        prompt_tokens=0,
        output_tokens=0,
        key=key,
        weight=1.0,
    )


def test_home_with_complete_reports_is_sure(make_homes):
    homes = make_homes(others=[("b", MemberState.ALIVE)])
    answer = homes.find_placement("k", "booking")
    assert (answer.known, answer.sure) == (False, True)


def test_node_that_is_not_home_is_not_sure(make_homes):
    assert not make_homes().find_placement("k", "no-such-pool").sure


def test_home_is_not_sure_of_a_key_that_waits_in_its_queue(make_homes):
    """Guards against answering "not run" for a request that runs later.

    A booking is queued when its caller retries at another host. With the store
    unavailable that host queries the home. If the home answered that the key was not
    dispatched, the caller would be told "not run", and then the queued booking gets
    its permit and runs.
    """
    homes = make_homes()
    decided = threading.Semaphore(0)

    def respond(decision):
        decided.release()
        return True

    for number in range(200):
        homes.submit("b#1", _make_request(f"r{number}", f"k{number}"), respond)
    assert homes.find_placement("k0", "booking").known
    queued = homes.find_placement("k199", "booking")
    assert (queued.known, queued.sure) == (False, False)


@pytest.mark.parametrize("reason", ["dead", "unresponsive"])
def test_home_is_not_sure_when_an_entry_did_not_report(make_homes, reason):
    """Guards against "not dispatched" while the requests of an entry are unknown."""

    def query_inflight(host, query):
        if reason == "unresponsive":
            raise PeerError("frozen", step="inflight")
        return InflightAnswer()

    state = MemberState.DEAD if reason == "dead" else MemberState.ALIVE
    homes = make_homes(others=[("b", state)], query_inflight=query_inflight)
    assert not homes.find_placement("k", "booking").sure


def test_home_finds_placement_reported_by_entry(make_homes):
    item = InflightItem(
        request_id="r",
        upstream="service-1",
        key="k",
        prompt_tokens=0,
        output_tokens=0,
        organisation="salon",
        tier_rank=0,
    )

    def query_inflight(host, query):
        return InflightAnswer(items=(item,) if query.cell == "booking/0" else ())

    homes = make_homes(others=[("b", MemberState.ALIVE)], query_inflight=query_inflight)
    answer = homes.find_placement("k", "booking")
    assert (answer.known, answer.upstream, answer.request_id) == (
        True,
        "service-1",
        "r",
    )
