"""Exchange of usage of limits through two aggregators."""

import asyncio
import random
import time
from types import SimpleNamespace

from baobabwing.gateway.decisions.charges import Tolerance
from baobabwing.gateway.decisions.quotas import QuotaBook
from baobabwing.gateway.limits_exchange import LimitsExchange
from baobabwing.gateway.model import OrganisationSpec, QuotaUnit
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import (
    NAMES,
    GatewayHarness,
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
        self.link = GatewayLink()
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
    def bucket_level(self):
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
    """Four nodes with real links; the first two are the aggregators."""

    def __init__(self):
        self.nodes = [Node(seed) for seed in range(4)]

    async def __aenter__(self):
        for node in self.nodes:
            await node.start()
        aggregators = [node.link.address for node in self.nodes[:2]]
        for node in self.nodes:
            node.members.homes = lambda resource, count: aggregators[:count]
        return self

    async def __aexit__(self, *exc_info):
        for node in self.nodes:
            node.stop()
        await asyncio.sleep(0)

    async def wait_all_reachable(self, count=4):
        for node in self.nodes[-count:]:
            await eventually(lambda node=node: node.heard == count, "all reachable")


def test_units_admitted_at_one_node_are_taken_off_once_at_all_nodes(run):
    """Both aggregators send the same totals; each unit must count only once."""

    async def scenario():
        async with Fleet() as fleet:
            await fleet.wait_all_reachable()
            before = [node.bucket_level for node in fleet.nodes]
            fleet.nodes[3].spend(600.0)
            fleet.nodes[2].spend(300.0)
            for node, left in zip(fleet.nodes, before, strict=True):
                await eventually(
                    lambda node=node, left=left: left - node.bucket_level >= 899.0,
                    "the units are known",
                )
            await asyncio.sleep(0.6)
            for node, left in zip(fleet.nodes, before, strict=True):
                assert 890.0 <= left - node.bucket_level <= 901.0

    run(scenario())


def test_failure_of_an_aggregator_has_no_effect(run):
    """One aggregator is killed, and all nodes continue with the totals of the other.

    No node counts fewer nodes than are running, which would lower all limits, and no
    unit is taken off twice.
    """

    async def scenario():
        async with Fleet() as fleet:
            await fleet.wait_all_reachable()
            fleet.nodes[3].spend(600.0)
            await eventually(
                lambda: fleet.nodes[2].bucket_level < 9_450.0, "the units are known"
            )
            fleet.nodes[0].stop()
            await fleet.wait_all_reachable(3)
            before = fleet.nodes[2].bucket_level
            fleet.nodes[3].spend(400.0)
            await eventually(lambda: before - fleet.nodes[2].bucket_level >= 399.0)
            await asyncio.sleep(0.6)
            assert before - fleet.nodes[2].bucket_level <= 401.0

    run(scenario())


def test_unresponsive_aggregator_is_dropped_only_for_the_other_one(run):
    """A node that counted only itself for a moment would lose most of its limits."""

    async def scenario():
        async with Fleet() as fleet:
            await fleet.wait_all_reachable()
            selected = fleet.nodes[3].exchange._aggregators.selected
            counts = []
            for node in fleet.nodes:
                if node.exchange._node_id == selected:
                    node.stop()
                else:
                    node.set_nodes = lambda heard, total: counts.append(heard)
            await eventually(lambda: counts[-3:] == [3, 3, 3], "other aggregator")
            assert min(counts) == 3

    run(scenario())


def test_node_without_totals_counts_only_itself(run):
    async def scenario():
        async with Fleet() as fleet:
            await fleet.wait_all_reachable()
            isolated = fleet.nodes[3]
            isolated.members.homes = lambda resource, count: []
            await eventually(lambda: isolated.heard == 1, "it counts only itself")

    run(scenario())


def test_requests_for_plain_services_are_the_most_urgent_within_a_limit(run):
    """Refusing them saves next to nothing of a limit that is exceeded.

    Ranked by their route they were refused before the large requests for engines.
    """

    async def scenario():
        acme = organisation("acme", "key", rate_per_s=1e9, burst=1e9)
        cfg = default_configuration(organisations=(acme,), keys_required=True)
        async with GatewayHarness(cfg) as harness:
            ranks = {}
            quotas = harness.gateway.state.quotas
            admit = quotas.admit

            def record_rank(name, units, now, *, rank, slot_free):
                ranks[len(ranks)] = rank
                return admit(name, units, now, rank=rank, slot_free=slot_free)

            quotas.admit = record_rank
            conn = await harness.caller()
            for path, tokens in (("/safe/x", b"10,1"), ("/stream/x", b"20,2")):
                headers = [(NAMES.key, b"key"), (NAMES.tokens, tokens)]
                await ask(conn, path, path[1:5], headers=headers)
            lookup, stream = ranks.values()
            assert lookup < stream

    run(scenario())


def cut_first_runs(harness):
    """Have each request be cut at the engine that is the first to run it."""

    def behave(seen):
        first = harness.runs(seen.request_id) == 0
        return Behaviour(events=5, cut_after=2 if first else None)

    for upstream, _ in harness.upstreams.values():
        upstream.behave = behave


def test_each_send_of_a_request_counts_against_its_organisation(run):
    """A stream that is resumed at a second engine costs as much as two requests."""

    async def scenario():
        acme = organisation("acme", "key", rate_per_s=1e6, burst=1e6)
        cfg = default_configuration(organisations=(acme,), keys_required=True)
        async with GatewayHarness(cfg) as harness:
            cut_first_runs(harness)
            for number in range(6):
                conn = await harness.caller()
                headers = [(NAMES.key, b"key"), (NAMES.tokens, b"10,1")]
                answer = await ask(conn, "/resumable/x", f"r{number}", headers=headers)
                assert answer.whole
            runs = sum(harness.runs(f"r{number}") for number in range(6))
            assert runs == 12
            assert harness.gateway.state.quotas.usage()["acme"].units == runs

    run(scenario())
