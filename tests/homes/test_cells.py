"""A home keeps exactly those permits in use that its entries have."""

import time

import pytest

from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.homes.cells import CellHomes
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
    """What the entry would say that it has at upstreams."""

    def __init__(self):
        self.items = ()

    def ask(self, host, query):
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
        Member(host=one, state=state)
        for one, state in ((home, MemberState.ALIVE), (ENTRY, MemberState.LEAVING))
    )
    made = CellHomes(
        me=home,
        view=lambda: FleetView(members=members),
        ask_peer=entry.ask,
        own_inflight=lambda cell: InflightAnswer(),
    )
    made.configure(CFG)
    yield made
    made.stop()


def ask(homes, request_id, got, connection=None):
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
        got.append(decision)
        return True

    homes.submit(IDENTITY, message, respond, connection)


def wait_for(condition):
    end = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def test_a_question_on_a_new_connection_outlives_the_end_of_the_old_one(homes):
    """A caller would wait until its deadline though the upstream is free.

    An entry's connection to the home breaks while a request is queued. The
    entry asks again on a new connection. Only then does the home notice the end
    of the old one, and must not drop what was asked on the new.
    """
    first, second = [], []
    ask(homes, "r0", first, "old")
    wait_for(lambda: first)
    ask(homes, "r1", second, "old")
    ask(homes, "r1", second, "new")
    homes.lose_connection(IDENTITY, "old")
    free_place(homes, "r0")
    wait_for(lambda: second)
    assert second[0].granted


def free_place(homes, request_id):
    homes.done(
        PermitDone(request_id=request_id, cell="p/0", upstream="u", outcome="answered")
    )


def test_a_place_whose_return_was_lost_is_freed(homes, entry):
    """An upstream would seem full for ever, and its callers would be refused.

    The entry's message that gives a permit back is lost with its connection.
    The home asks the entry what it has, and frees what it does not have.
    """
    first, second = [], []
    ask(homes, "r0", first)
    wait_for(lambda: first)
    ask(homes, "r1", second)
    cell = homes.cells()["p/0"]
    now = time.monotonic() + 10
    entry.items = (InflightItem(request_id="r0", upstream="u"),)
    assert cell.holders(now) == {IDENTITY}
    homes._send_decisions(cell, cell.reconcile(IDENTITY, {"r0"}, now, now))
    assert not second
    homes._send_decisions(cell, cell.reconcile(IDENTITY, set(), now, now))
    assert second
    assert second[0].granted
