"""A home counts exactly those permits in use that its entries report."""

import time

import pytest

from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.homes.cells import NOT_HOME, CellHomes
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.settings.configuration import Configuration
from baobabwing.wire.messages import (
    InflightAnswer,
    InflightItem,
    PermitDone,
    PermitRequest,
)

POOL = Pool(name="p", kind=PoolKind.SERVICE)
CFG = Configuration(
    version=1,
    pools=(POOL,),
    upstreams=(Upstream(name="u", pool="p", address="127.0.0.1:9", capacity=1),),
)
ENTRY = Host(
    name="entry",
    incarnation=5,
    zone="a",
    region="r",
    peer="127.0.0.1:9",
    http="127.0.0.1:8",
)
IDENTITY = "entry#5"


class Entry:
    """An entry that reports a settable list of requests in flight."""

    def __init__(self):
        self.items = ()

    def inflight(self, host, query):
        return InflightAnswer(items=self.items)


@pytest.fixture
def entry():
    return Entry()


@pytest.fixture
def homes(entry):
    home = Host(
        name="home",
        incarnation=1,
        zone="a",
        region="r",
        peer="127.0.0.1:7",
        http="127.0.0.1:6",
    )
    members = tuple(
        Member(host=host, state=state)
        for host, state in ((home, MemberState.ALIVE), (ENTRY, MemberState.LEAVING))
    )
    cell_homes = CellHomes(
        me=home,
        view=lambda: FleetView(members=members),
        query_inflight=entry.inflight,
        local_inflight=lambda cell: InflightAnswer(),
    )
    cell_homes.configure(CFG)
    yield cell_homes
    cell_homes.stop()


def submit(homes, request_id, decisions, connection=None):
    message = PermitRequest(
        request_id=request_id,
        cell="p/0",
        organisation="o",
        tier_rank=0,
        budget_ms=60_000,
        prompt_tokens=0,
        output_tokens=0,
    )

    def respond(decision):
        decisions.append(decision)
        return True

    homes.submit(IDENTITY, message, respond, connection)


def wait_for(condition):
    end = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def test_request_on_new_connection_survives_loss_of_old_one(homes):
    """Guards against dropping a request that was resubmitted after a reconnect.

    The connection of an entry breaks while a request is queued, and the entry
    submits it again on a new connection. Only then does the home notice the end of
    the old one. If it dropped the request, the caller would wait until its deadline
    although the upstream is idle.
    """
    first, second = [], []
    submit(homes, "r0", first, "old")
    wait_for(lambda: first)
    submit(homes, "r1", second, "old")
    submit(homes, "r1", second, "new")
    homes.drop_connection(IDENTITY, "old")
    release_slot(homes, "r0")
    wait_for(lambda: second)
    assert second[0].granted


def release_slot(homes, request_id):
    homes.release(
        PermitDone(request_id=request_id, cell="p/0", upstream="u", outcome="answered")
    )


def test_slot_is_freed_after_its_release_was_lost(homes, entry):
    """Guards against a slot that stays occupied, so that requests are refused.

    The message that releases a permit is lost with its connection. The home queries
    the entry for its requests in flight and frees the permits it does not report.
    """
    first, second = [], []
    submit(homes, "r0", first)
    wait_for(lambda: first)
    submit(homes, "r1", second)
    cell = homes.cells()["p/0"]
    now = time.monotonic() + 10
    entry.items = (InflightItem(request_id="r0", upstream="u"),)
    assert cell.entries_with_permits(now) == {IDENTITY}
    homes._send_decisions(cell, cell.reconcile(IDENTITY, {"r0"}, now, now))
    assert not second
    homes._send_decisions(cell, cell.reconcile(IDENTITY, set(), now, now))
    assert second
    assert second[0].granted


def test_queued_request_of_an_entry_taken_for_dead_is_answered(homes):
    """An entry that runs on would wait for the decision until its deadline."""
    first, second = [], []
    submit(homes, "r0", first)
    wait_for(lambda: first)
    submit(homes, "r1", second)
    homes.forget_entry(IDENTITY)
    wait_for(lambda: second)
    assert (second[0].granted, second[0].code) == (False, NOT_HOME)
