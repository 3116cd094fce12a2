"""Homes that get requests before they know the pool, and pools without requests."""

import asyncio
import random
import time
from dataclasses import replace
from types import SimpleNamespace

from baobabwing.gateway.decisions.refusal_limit import RefusalLimit
from baobabwing.gateway.decisions.scheduling import PoolScheduler
from baobabwing.gateway.model import EngineSpec, UpstreamEntry
from baobabwing.gateway.placement import cell_homes
from baobabwing.gateway.placement.cell_homes import CellHomes, CellPool
from baobabwing.gateway.placement.codec import name_crc
from baobabwing.gateway.placement.messages import CellKey, Granted, SlotRequest
from tests.gateway.harness import eventually

NODE = "10.0.0.2:1"
ENGINE = EngineSpec(slots=2, kv_tokens=100_000)
# An engine gets one request more than its slots, unless its refusals are limited.
MOST_UNLIMITED = 3
# Requests that a rate limit lets follow each other at once.
AFTER_A_PAUSE = 2


class RecordingLink:
    """Hands messages to a home, and keeps what it answers."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, address, message):
        self.sent.append(message)

    def grants(self):
        return [message for message in self.sent if isinstance(message, Granted)]


def slot_request(pool, number):
    return SlotRequest(
        node=7,
        number=number,
        cell=CellKey(pool=pool.crc, index=0),
        rank=0,
        route_rank=0,
        waited_s=0.0,
        objective_s=5.0,
        deadline_s=10.0,
        ends_s=15.0,
        prompt_tokens=10,
        expected_out=10,
    )


async def grants_of_early_requests(pool, count):
    """Have a home get requests before its list of engines; return its first grants."""
    members = SimpleNamespace(total=2, on_change=lambda listener: None)
    link = RecordingLink()
    homes = CellHomes(link=link, members=members, rng=random.Random(1))
    running = asyncio.ensure_future(homes.run())
    for number in range(1, count + 1):
        link.handlers[SlotRequest](slot_request(pool, number), NODE)
    entry = UpstreamEntry(instance="e0", pool="p", address="a", slots=2)
    pool.scheduler.set_upstreams([entry])
    pool.set_upstreams([entry])
    homes.list_pool(pool)
    await eventually(link.grants, "a grant")
    running.cancel()
    return link.grants()


def test_rate_limits_hold_for_requests_that_came_before_the_list_of_engines(run):
    async def scenario():
        scheduler = PoolScheduler(engine=ENGINE, rng=random.Random(1))
        pool = CellPool(name="p", scheduler=scheduler)
        pool.rate_limits.set(name_crc("e0"), 2.0, 0.0)
        pool.rate_limits.issue_from(name_crc("e0"), 0.0)
        grants = await grants_of_early_requests(pool, MOST_UNLIMITED)
        assert [grant.has_permit for grant in grants] == [True] * AFTER_A_PAUSE

    run(scenario())


def test_refusal_limit_holds_for_requests_that_came_before_the_list_of_engines(run):
    async def scenario():
        limit = RefusalLimit()
        limit.per_s = 8.0
        scheduler = PoolScheduler(
            engine=ENGINE, rng=random.Random(1), refusal_limit=limit
        )
        pool = CellPool(name="p", scheduler=scheduler)
        grants = await grants_of_early_requests(pool, MOST_UNLIMITED)
        assert len(grants) == ENGINE.slots

    run(scenario())


def test_lists_without_requests_are_not_divided_into_cells(monkeypatch):
    """Each of 300 hosts divided forty lists of thousands of workers at its start."""
    divided = []

    def count(names):
        divided.append(len(names))
        return (tuple(sorted(names)),)

    monkeypatch.setattr(cell_homes, "cell_layout", count)
    scheduler = PoolScheduler(engine=ENGINE, rng=random.Random(1))
    pool = CellPool(name="p", scheduler=scheduler)
    for listed in range(1, 4):
        pool.set_upstreams(
            UpstreamEntry(instance=f"e{n}", pool="p", address="a", slots=2)
            for n in range(listed)
        )
    assert divided == []
    assert pool.index_of(name_crc("e2")) == 0
    assert pool.layout == (("e0", "e1", "e2"),)
    assert divided == [3]


def test_late_requests_are_refused_at_once_while_others_need_the_slots(run):
    """They got slots for seconds, or heard of their refusal after their objective."""

    async def scenario():
        scheduler = PoolScheduler(
            engine=ENGINE, rng=random.Random(1), serve_in_time=True
        )
        scheduler.shares_machines = True
        pool = CellPool(name="p", scheduler=scheduler)
        entry = UpstreamEntry(instance="e0", pool="p", address="a", slots=2)
        scheduler.set_upstreams([entry])
        pool.set_upstreams([entry])
        members = SimpleNamespace(total=2, on_change=lambda listener: None)
        link, refused = RecordingLink(), []
        homes = CellHomes(link=link, members=members, rng=random.Random(1))
        homes.on_refused_for_in_time = lambda name, count: refused.append(name)
        homes.list_pool(pool)
        running = asyncio.ensure_future(homes.run())
        for number in range(1, 24):
            request = slot_request(pool, number)
            link.handlers[SlotRequest](request, NODE)
            await asyncio.sleep(0.05)
        late = replace(slot_request(pool, 99), objective_s=-1.0, committed=True)
        link.handlers[SlotRequest](late, NODE)
        asked_at = time.monotonic()
        await eventually(lambda: refused, "a refusal")
        assert time.monotonic() - asked_at < 0.3
        assert 99 not in [grant.number for grant in link.grants()]
        running.cancel()

    run(scenario())
