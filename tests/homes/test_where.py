"""A home says that it knows nothing of a key only as surely as it does."""

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


def _host(name):
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

    def make(*, others=(), ask_peer=lambda host, query: InflightAnswer()):
        view = FleetView(
            members=(
                Member(host=_host("me"), state=MemberState.ALIVE),
                *(Member(host=_host(name), state=state) for name, state in others),
            )
        )
        homes = CellHomes(
            me=_host("me"),
            view=lambda: view,
            ask_peer=ask_peer,
            own_inflight=lambda cell: InflightAnswer(),
        )
        started.append(homes)
        shape = trial_shape()
        names = [one.name for one in (*shape.engines, *shape.services)]
        # Nothing listens there; reports of load are simply missing.
        addresses = {name: f"127.0.0.1:{port}" for port, name in enumerate(names, 2)}
        homes.configure(build_configuration(shape, addresses, policy="baobabwing"))
        assert wait_until(lambda: not homes._rebuilding, timeout_s=WAIT_S)
        return homes

    yield make
    for homes in started:
        homes.stop()


def _ask(request_id, key):
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


def test_home_that_knows_all_is_sure(make_homes):
    homes = make_homes(others=[("b", MemberState.ALIVE)])
    answer = homes.where("k", "booking")
    assert (answer.known, answer.sure) == (False, True)


def test_node_that_is_not_home_is_not_sure(make_homes):
    assert not make_homes().where("k", "no-such-pool").sure


def test_home_is_not_sure_of_a_key_that_waits_in_its_queue(make_homes):
    """A booking is queued when its caller tries again at another host.

    With the store down that host asks the home. "Not dispatched" would be told
    as "not run", and then the queued booking gets its permit and runs.
    """
    homes = make_homes()
    decided = threading.Semaphore(0)

    def respond(decision):
        decided.release()
        return True

    for number in range(200):
        homes.submit("b#1", _ask(f"r{number}", f"k{number}"), respond)
    assert homes.where("k0", "booking").known
    queued = homes.where("k199", "booking")
    assert (queued.known, queued.sure) == (False, False)


@pytest.mark.parametrize("reason", ["dead", "silent"])
def test_home_is_not_sure_when_an_entry_could_not_tell(make_homes, reason):
    """A home takes a cell over from one that died along with what it knew."""

    def ask_peer(host, query):
        if reason == "silent":
            raise PeerError("frozen", step="inflight")
        return InflightAnswer()

    state = MemberState.DEAD if reason == "dead" else MemberState.ALIVE
    homes = make_homes(others=[("b", state)], ask_peer=ask_peer)
    assert not homes.where("k", "booking").sure


def test_home_finds_what_an_entry_told(make_homes):
    item = InflightItem(
        request_id="r",
        upstream="service-1",
        key="k",
        prompt_tokens=0,
        output_tokens=0,
        organisation="salon",
        tier_rank=0,
    )

    def ask_peer(host, query):
        return InflightAnswer(items=(item,) if query.cell == "booking/0" else ())

    homes = make_homes(others=[("b", MemberState.ALIVE)], ask_peer=ask_peer)
    answer = homes.where("k", "booking")
    assert (answer.known, answer.upstream, answer.request_id) == (
        True,
        "service-1",
        "r",
    )
