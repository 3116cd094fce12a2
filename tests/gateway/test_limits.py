"""Counts of limits that two nodes add up for all."""

import asyncio
import random
import time
from types import SimpleNamespace

from baobabwing.gateway.decisions.charges import Tolerance
from baobabwing.gateway.decisions.quotas import QuotaBook
from baobabwing.gateway.limits import LimitsExchange
from baobabwing.gateway.model import OrganisationSpec, QuotaUnit
from baobabwing.gateway.placement.link import WorkLink
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.bed import (
    NAMES,
    Bed,
    ask,
    default_configuration,
    eventually,
    organisation,
)

SPEC = OrganisationSpec(
    name="acme", keys=(), unit=QuotaUnit.TOKENS, rate_per_s=1.0, burst=10_000.0
)


class Node:
    def __init__(self, seed):
        self.link = WorkLink()
        self.members = SimpleNamespace(
            total=4,
            homes=lambda resource, count: [],
            on_change=lambda listener: None,
        )
        self.quotas = QuotaBook(
            tolerance=Tolerance(window_s=8.0, slack=40_000.0),
            now=time.monotonic(),
        )
        self.quotas.configure([SPEC], time.monotonic())
        self.heard = 0
        self.exchange = LimitsExchange(
            state=self,
            members=self.members,
            link=self.link,
            rng=random.Random(seed),
        )
        self.task = None

    def set_nodes(self, heard, total):
        self.heard = heard

    @property
    def left(self):
        return self.quotas.describe("acme")["bucket"]

    def spend(self, units):
        assert self.quotas.admit("acme", units, time.monotonic()).admitted

    async def start(self):
        await self.link.start("127.0.0.1:0")
        self.task = asyncio.ensure_future(self.exchange.run())

    def stop(self):
        self.task.cancel()
        self.link.stop()


class Fleet:
    """Four nodes; the first two add up."""

    def __init__(self):
        self.nodes = [Node(seed) for seed in range(4)]

    async def __aenter__(self):
        for node in self.nodes:
            await node.start()
        summers = [node.link.address for node in self.nodes[:2]]
        for node in self.nodes:
            node.members.homes = lambda resource, count: summers[:count]
        return self

    async def __aexit__(self, *exc_info):
        for node in self.nodes:
            node.stop()
        await asyncio.sleep(0)

    async def all_heard(self, count=4):
        for node in self.nodes[-count:]:
            await eventually(lambda node=node: node.heard == count, "all are heard")


def test_what_one_node_admits_all_take_off_once(run):
    """Two nodes add up, and tell the same sums. A unit counts once all the same."""

    async def story():
        async with Fleet() as fleet:
            await fleet.all_heard()
            before = [node.left for node in fleet.nodes]
            fleet.nodes[3].spend(600.0)
            fleet.nodes[2].spend(300.0)
            for node, left in zip(fleet.nodes, before, strict=True):
                await eventually(
                    lambda node=node, left=left: left - node.left >= 899.0,
                    "the units are known",
                )
            await asyncio.sleep(0.6)
            for node, left in zip(fleet.nodes, before, strict=True):
                assert 890.0 <= left - node.left <= 901.0

    run(story())


def test_end_of_one_that_adds_up_costs_nothing(run):
    """The node that adds up is killed. The other one's sums go on from where they are.

    Nobody counts fewer nodes than there are, which would shrink all limits, and no
    unit is taken off twice.
    """

    async def story():
        async with Fleet() as fleet:
            await fleet.all_heard()
            fleet.nodes[3].spend(600.0)
            await eventually(
                lambda: fleet.nodes[2].left < 9_450.0, "the units are known"
            )
            fleet.nodes[0].stop()
            await fleet.all_heard(3)
            before = fleet.nodes[2].left
            fleet.nodes[3].spend(400.0)
            await eventually(lambda: before - fleet.nodes[2].left >= 399.0)
            await asyncio.sleep(0.6)
            assert before - fleet.nodes[2].left <= 401.0

    run(story())


def test_node_that_hears_no_sums_counts_itself_alone(run):
    async def story():
        async with Fleet() as fleet:
            await fleet.all_heard()
            alone = fleet.nodes[3]
            alone.members.homes = lambda resource, count: []
            await eventually(lambda: alone.heard == 1, "it counts itself alone")

    run(story())


def test_requests_for_plain_services_go_first_within_a_limit(run):
    """An organisation is over its limit; its look-ups cost next to nothing of it.

    Refused by the rank of their route, behind large requests for engines, they freed
    nothing worth having.
    """

    async def story():
        acme = organisation("acme", "key", rate_per_s=1e9, burst=1e9)
        cfg = default_configuration(organisations=(acme,), keys_required=True)
        async with Bed(cfg) as bed:
            ranks = {}
            quotas = bed.gateway.state.quotas
            admit = quotas.admit

            def watched(name, units, now, *, rank, places_free):
                ranks[len(ranks)] = rank
                return admit(name, units, now, rank=rank, places_free=places_free)

            quotas.admit = watched
            conn = await bed.caller()
            for path, tokens in (("/safe/x", b"10,1"), ("/stream/x", b"20,2")):
                headers = [(NAMES.key, b"key"), (NAMES.tokens, tokens)]
                await ask(conn, path, path[1:5], headers=headers)
            lookup, stream = ranks.values()
            assert lookup < stream

    run(story())


def test_each_send_of_a_request_counts_against_its_organisation(run):
    """A stream that goes on at a second engine takes the work of both."""

    async def story():
        acme = organisation("acme", "key", rate_per_s=1e6, burst=1e6)
        cfg = default_configuration(organisations=(acme,), keys_required=True)
        async with Bed(cfg) as bed:
            for number in range(6):
                bed.behaviour["engines-1"] = Behaviour(events=5, cut_after=2)
                conn = await bed.caller()
                headers = [(NAMES.key, b"key"), (NAMES.tokens, b"10,1")]
                answer = await ask(conn, "/resumable/x", f"r{number}", headers=headers)
                assert answer.whole
            runs = sum(bed.runs(f"r{number}") for number in range(6))
            assert runs > 6
            assert bed.gateway.state.quotas.spent()["acme"].units == runs

    run(story())
