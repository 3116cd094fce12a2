"""Nodes that ask homes for places: over loopback, with homes that fall silent."""

import asyncio
import random
import time

from baobabwing.gateway.decisions.cell_queue import NoteKind
from baobabwing.gateway.decisions.scheduling import Ask, PoolScheduler
from baobabwing.gateway.lateness import LoopWatch
from baobabwing.gateway.model import EngineSpec, UpstreamEntry
from baobabwing.gateway.placement.asking import Placer
from baobabwing.gateway.placement.homes import CellHomes, CellPool
from baobabwing.gateway.placement.link import WorkLink
from tests.gateway.bed import eventually

ENGINE = EngineSpec(slots=2, kv_tokens=100_000)
PLACES = 3


class FixedMembers:
    """Members that a test sets: the homes of all cells, in turn."""

    def __init__(self):
        self.addresses = []
        self.total = 3

    def on_change(self, listener):
        """Tests change the homes without telling."""

    def homes(self, resource, count):
        return self.addresses[:count]


class Node:
    """Link, homes and placer of one node, with the same engines as all others."""

    def __init__(self, seed, members, engines):
        rng = random.Random(seed)
        self.link = WorkLink()
        self.homes = CellHomes(link=self.link, members=members, rng=rng)
        self.placer = Placer(
            link=self.link, members=members, rng=rng, watch=LoopWatch()
        )
        self.pool = CellPool(name="p", scheduler=PoolScheduler(engine=ENGINE, rng=rng))
        entries = [
            UpstreamEntry(instance=name, pool="p", address="a", slots=2)
            for name in engines
        ]
        self.pool.scheduler.list_upstreams(entries)
        self.pool.list_upstreams(entries)
        self.homes.list_pool(self.pool)
        self.tasks = []
        self.silent = False
        take = self.link.datagram_received
        self.link.datagram_received = lambda data, addr: (
            None if self.silent else take(data, addr)
        )

    async def start(self):
        await self.link.start("127.0.0.1:0")
        self.tasks = [
            asyncio.ensure_future(self.homes.run()),
            asyncio.ensure_future(self.placer.run()),
        ]

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.link.stop()

    async def place(self, **values):
        now = time.monotonic()
        usual = {"rank": 0, "arrived": now, "objective_at": now + 0.8}
        usual |= {"deadline_at": now + 10.0, "ends_at": now + 15.0}
        return await self.placer.place(self.pool, Ask(**{**usual, **values}))


class Fleet:
    """Three nodes; the first is home of all cells, the second follows it."""

    def __init__(self, engines=("e1",)):
        self.members = [FixedMembers() for _ in range(3)]
        self.nodes = [
            Node(seed, members, engines) for seed, members in enumerate(self.members)
        ]

    async def __aenter__(self):
        for node in self.nodes:
            await node.start()
        for members in self.members:
            members.addresses = [node.link.address for node in self.nodes]
        return self

    async def __aexit__(self, *exc_info):
        for node in self.nodes:
            node.stop()
        await asyncio.sleep(0)


def test_nodes_share_the_places_of_a_cell(run):
    """Three nodes ask for four places of an engine that has three.

    The fourth waits, and gets its place when another node gives one back.
    """

    async def story():
        async with Fleet() as fleet:
            grants = [await node.place() for node in fleet.nodes]
            waiting = asyncio.ensure_future(fleet.nodes[2].place())
            await asyncio.sleep(0.2)
            assert not waiting.done()
            fleet.nodes[1].placer.note(grants[1], NoteKind.DONE)
            grant = await asyncio.wait_for(waiting, 5.0)
            assert grant.track.entry.instance == "e1"

    run(story())


def test_silent_home_is_left_within_a_tenth_of_a_second(run):
    """The home of a cell freezes: its address takes datagrams and answers none.

    A request asks the next node instead. Its caller waits some 80 ms more, not
    the seconds that it takes until members agree that the home is gone.
    """

    async def story():
        async with Fleet() as fleet:
            fleet.nodes[0].silent = True
            before = time.monotonic()
            grant = await fleet.nodes[2].place()
            assert grant is not None
            assert time.monotonic() - before < 2.0
            # The next one does not wait for the silent home again.
            homes = fleet.nodes[2].placer._home_of
            key = fleet.nodes[2].placer._cells.choose(fleet.nodes[2].pool)
            assert homes(key, fleet.nodes[2].pool) == fleet.nodes[1].link.address

    run(story())


def test_home_that_is_only_busy_is_kept(run):
    """A home's socket overflows in a rush, so that a question is lost twice.

    It was left for the next one, which then got everything at once and was left in
    turn. As long as it answers other questions, it is asked once more; when nothing
    comes from it any more, it is left.
    """

    async def story():
        async with Fleet() as fleet:
            home, placer = fleet.nodes[0], fleet.nodes[1].placer
            home.silent = True
            asked = asyncio.ensure_future(fleet.nodes[1].place())
            await eventually(lambda: placer._waiting)
            (waiting,) = placer._waiting.values()
            waiting.timer.cancel()
            waiting.sends = 2
            placer._patience.heard(waiting.home, time.monotonic())
            placer._unanswered(waiting)
            assert not placer._patience.left(waiting.home, time.monotonic())
            assert waiting.sends == 3
            waiting.timer.cancel()
            placer._patience.heard(waiting.home, time.monotonic() - 1.0)
            placer._patience.asked(waiting.home, time.monotonic() - 1.0)
            placer._unanswered(waiting)
            assert placer._patience.left(waiting.home, time.monotonic())
            grant = await asyncio.wait_for(asked, 10.0)
            assert placer.ticket(grant).home == fleet.nodes[1].link.address

    run(story())


def test_request_that_waits_at_a_home_that_dies_is_asked_again_elsewhere(run):
    """Requests wait in the queue of a home, and the home is killed.

    Nobody tells them. The home's answers to what the nodes repeat stop, the
    requests ask the next node, and that one learns what runs before it gives places.
    """

    async def story():
        async with Fleet() as fleet:
            home, node = fleet.nodes[0], fleet.nodes[2]
            grants = [await node.place() for _ in range(PLACES)]
            waiting = asyncio.ensure_future(node.place())
            await eventually(lambda: node.placer._waiting, "the request waits")
            await asyncio.sleep(0.15)
            home.silent = True
            await eventually(
                lambda: any(
                    one.home == fleet.nodes[1].link.address and one.heard
                    for one in node.placer._waiting.values()
                ),
                "the next home has the request",
            )
            assert not waiting.done()
            node.placer.note(grants[0], NoteKind.DONE)
            assert await asyncio.wait_for(waiting, 5.0) is not None

    run(story())


def test_no_home_at_all_leaves_the_node_on_its_own(run):
    async def story():
        async with Fleet() as fleet:
            fleet.nodes[0].silent = fleet.nodes[1].silent = True
            fleet.members[2].addresses = [node.link.address for node in fleet.nodes[:2]]
            assert await fleet.nodes[2].place() is None

    run(story())


def test_caller_that_leaves_takes_its_request_out_of_the_queue(run):
    """A request waits in a home's queue, and its caller closes the connection."""

    async def story():
        async with Fleet() as fleet:
            node = fleet.nodes[2]
            for _ in range(PLACES):
                await node.place()
            waiting = asyncio.ensure_future(node.place())
            await eventually(
                lambda: any(one.heard for one in node.placer._waiting.values())
            )
            waiting.cancel()
            (queue,) = fleet.nodes[0].homes._queues.values()
            await eventually(lambda: not queue.scheduler.waiting, "the queue is empty")

    run(story())


def test_home_with_an_older_list_is_told_that_its_engine_is_gone(run):
    """The home has not heard yet that an engine drains; the asking node has.

    It does not use the place, and the request gets one at another engine.
    """

    async def story():
        async with Fleet(engines=("e1", "e2")) as fleet:
            node = fleet.nodes[2]
            drained = UpstreamEntry(
                instance="e1", pool="p", address="a", slots=2, draining=True
            )
            sound = UpstreamEntry(instance="e2", pool="p", address="a", slots=2)
            node.pool.scheduler.list_upstreams([drained, sound])
            for _ in range(3):
                grant = await node.place()
                assert grant.track.entry.instance == "e2"
            (queue,) = fleet.nodes[0].homes._queues.values()
            track = queue.scheduler.tracks["e1"]
            await eventually(lambda: track.in_flight == 0, "the place is given back")

    run(story())
