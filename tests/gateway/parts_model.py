"""A fleet in simulated time beside engines that parts of prompts crash.

Each node knows of its own requests only. Engines also crash by themselves; nodes are
killed, cut off from each other, or just started; datagrams get lost.
"""

import asyncio
import gc
import random
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from baobabwing.gateway import part_reports
from baobabwing.gateway.decisions.prompt_parts import (
    MIN_SURVIVAL_S,
    CrashedRequest,
    PartQuarantine,
)
from baobabwing.gateway.decisions.quarantine import CrashReportKind
from baobabwing.gateway.part_reports import PartReportExchange
from baobabwing.gateway.placement.codec import decode, encode
from tests.gateway.placement.fleet_model import HEADER_BYTES, Clock, SimulatedLoop

COMMON = 1
# Parts of sound requests: each request has the common one and one of these, at times
# two. The first ones are in most requests.
TOPICS = range(10, 70)
RARE_TOPICS = range(100, 400)
RARE_SHARE = 0.1
SECOND_TOPIC_SHARE = 0.3
BAD_PARTS = (1001, 1002)
TRANSIT_S = 0.002
DETECTION_S = 1.7
RESTART_S = 0.4
PROBE_S = 0.02
# Machines count from this time after their start, and the bad part from this time after
# the fifth crash.
STABLE_S = 3.0
FREE_CRASHES = 5
SLOTS = 8


@dataclass(kw_only=True)
class Play:
    """What is played, and what came of it.

    :param bad_per_s: requests a second with each of the bad parts.
    :param bad: number of bad parts.
    :param bad_from_s: when these parts begin to crash engines.
    :param bad_until_s: when the last request with one of them is sent.
    :param sound_from_s: when the first sound request is sent.
    :param common_only: whether requests have no other parts than the common one and a
        bad one.
    :param late_share: share of crashes that come 0.4 s after the first event.
    :param attempts: engines that may run one request.
    :param crashes_per_s: engines that crash by themselves.
    :param crashes_from_s: when they begin to.
    :param mass_crashes: times at which all engines crash by themselves.
    :param kills: times and shares of nodes that are killed at once.
    :param cut: times of a cut, and the share of nodes that reach no other one then.
    :ivar crashed_by: crashes by bad part; 0 for those by themselves.
    :ivar later: requests with a bad part that reached engines later than allowed from.
    :ivar refused: sound requests that were refused for a part, and all of them.
    :ivar refused_at: when each of these was refused.
    """

    nodes: int = 6
    engines: int = 6
    down_s: float = 4.0
    sound_per_s: float = 20.0
    bad_per_s: float = 1.0
    bad: int = 1
    bad_from_s: float = 0.0
    bad_until_s: float = float("inf")
    sound_from_s: float = 0.0
    common_only: bool = False
    late_share: float = 0.0
    attempts: int = 1
    crashes_per_s: float = 0.0
    crashes_from_s: float = 0.0
    mass_crashes: tuple[float, ...] = ()
    loss: float = 0.0
    kills: tuple[tuple[float, float], ...] = ()
    cut: tuple[float, float, float] | None = None
    end_s: float = 60.0
    seed: int = 1
    crashed_by: Counter = field(default_factory=Counter)
    later: Counter = field(default_factory=Counter)
    sound: int = 0
    refused: int = 0
    refused_at: list[float] = field(default_factory=list)
    held: Counter = field(default_factory=Counter)
    sent_bytes: Counter = field(default_factory=Counter)

    @property
    def refused_share(self):
        return self.refused / max(self.sound, 1)


class _Node:
    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.work = f"n{number:03}"
        self.incarnation = 0
        self.start()

    def start(self):
        self.alive = True
        self.incarnation += 1
        self.started_at = self.fleet.clock.now
        self.handlers, self.listeners = {}, []
        self.book = PartQuarantine()
        self.exchange = PartReportExchange(book=self.book, members=self, link=self)
        self.exchange.on_verdict = self.fleet.store
        self.exchange.restore(self.fleet.stored())
        self.task = asyncio.ensure_future(self.exchange.run())

    def kill(self):
        self.alive = False
        self.task.cancel()

    # Membership and link.

    def on_change(self, listener):
        self.listeners.append(listener)

    def ranked(self, resource, count):
        return self.fleet.members_of(self)[:count]

    def homes(self, resource, count):
        return [host.work for host in self.ranked(resource, count)]

    def others(self):
        return [host for host in self.fleet.members_of(self) if host.work != self.work]

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, address, message):
        data = encode(message)
        if address == self.work:
            asyncio.get_running_loop().call_soon(
                self.handlers[type(message)], message, address
            )
            return
        self.fleet.play.sent_bytes[self.work] += len(data) + HEADER_BYTES
        self.fleet.deliver(self, address, data)


class _Engine:
    def __init__(self, number):
        self.number = number
        self.incarnation = 0
        self.running = {}
        self.up = True

    @property
    def crc(self):
        return 1000 * self.number + self.incarnation


class _Fleet:
    def __init__(self, play, clock):
        self.play, self.clock = play, clock
        self.rng = random.Random(play.seed)
        self.began = clock.now
        self.rows = {}
        self.nodes = {}
        self.detected = False
        self.engines = [_Engine(number) for number in range(1, play.engines + 1)]
        self.fifth_at = {}
        self.digests = iter(range(1, 10**9))
        self.tasks = set()

    @property
    def now(self):
        return self.clock.now - self.began

    async def run(self):
        for number in range(self.play.nodes):
            node = _Node(self, number)
            self.nodes[node.work] = node
        self._notify()
        loop = asyncio.get_running_loop()
        for at, share in self.play.kills:
            loop.call_later(at, self._kill, share)
        for at in self.play.mass_crashes:
            loop.call_later(at, self._crash_all)
        if self.play.cut is not None:
            begin, end, _ = self.play.cut
            loop.call_later(begin + DETECTION_S, self._detect, True)
            loop.call_later(end + DETECTION_S, self._detect, False)
        sources = [self._send_sound()]
        sources += [self._send_bad(part) for part in BAD_PARTS[: self.play.bad]]
        if self.play.crashes_per_s:
            sources.append(self._crash_some())
        await asyncio.gather(*sources)
        await asyncio.gather(*self.tasks)
        for node in self.nodes.values():
            node.kill()

    # Store, membership and network.

    def store(self, verdict):
        if verdict.kind is CrashReportKind.HELD:
            self.rows[verdict.digest] = (verdict, self.clock.now)
        else:
            self.rows.pop(verdict.digest, None)

    def stored(self):
        return [verdict for verdict, _ in self.rows.values()]

    def is_cut(self, node):
        if self.play.cut is None:
            return False
        begin, end, share = self.play.cut
        return begin <= self.now < end and node.number < share * self.play.nodes

    def members_of(self, node):
        cut = self.play.cut[2] * self.play.nodes if self.detected else 0
        side = node.number < cut
        return [
            SimpleNamespace(work=other.work, incarnation=other.incarnation)
            for other in self.nodes.values()
            if (other.number < cut) == side and (not side or other is node)
        ]

    def deliver(self, sender, address, data):
        if self.rng.random() < self.play.loss:
            return
        target = self.nodes.get(address)
        if target is None or self.is_cut(sender) or self.is_cut(target):
            return
        asyncio.get_running_loop().call_later(
            TRANSIT_S, self._arrive, target, sender, data
        )

    def _arrive(self, target, sender, data):
        if target.alive:
            message = decode(data)
            target.handlers[type(message)](message, sender.work)

    def _detect(self, detected):
        self.detected = detected
        self._notify()

    def _notify(self):
        for node in self.nodes.values():
            for listener in node.listeners:
                listener()

    def _kill(self, share):
        loop = asyncio.get_running_loop()
        count = round(share * self.play.nodes)
        for node in self.rng.sample(list(self.nodes.values()), count):
            node.kill()
            loop.call_later(RESTART_S, self._restart, node)

    def _restart(self, node):
        node.start()
        asyncio.get_running_loop().call_later(0.3, self._notify)

    # Engines.

    async def _crash_some(self):
        await asyncio.sleep(self.play.crashes_from_s)
        while self.now < self.play.end_s:
            await asyncio.sleep(self.rng.expovariate(self.play.crashes_per_s))
            self._crash(self.rng.choice(self.engines), 0)

    def _crash_all(self):
        for engine in self.engines:
            self._crash(engine, 0)

    def _crash(self, engine, part):
        if not engine.up:
            return
        self.play.crashed_by[part] += 1
        if self.play.crashed_by[part] == FREE_CRASHES:
            self.fifth_at[part] = self.now
        engine.up = False
        for crashed in engine.running.values():
            if not crashed.done():
                crashed.set_result(True)
        engine.running = {}
        asyncio.get_running_loop().call_later(self.play.down_s, self._start, engine)

    def _start(self, engine):
        engine.incarnation += 1
        engine.up = True

    # Requests.

    async def _send_sound(self):
        if self.play.sound_from_s:
            await asyncio.sleep(self.play.sound_from_s)
        while self.now < self.play.end_s:
            await asyncio.sleep(self.rng.expovariate(self.play.sound_per_s))
            self._spawn(self._request(self._parts(), 0))

    async def _send_bad(self, part):
        while self.now < min(self.play.end_s, self.play.bad_until_s):
            await asyncio.sleep(self.rng.expovariate(self.play.bad_per_s))
            parts = self._parts()
            parts.insert(self.rng.randint(1, len(parts)), part)
            self._spawn(self._request(tuple(parts), part))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _parts(self):
        if self.play.common_only:
            return [COMMON]
        topics = RARE_TOPICS if self.rng.random() < RARE_SHARE else TOPICS
        topic = min(self.rng.choice(topics), self.rng.choice(topics))
        parts = [COMMON, topic]
        if self.rng.random() < SECOND_TOPIC_SHARE:
            parts.append(self.rng.choice(TOPICS))
        return parts

    async def _request(self, parts, bad):
        alive = [node for node in self.nodes.values() if node.alive]
        if not alive:
            return
        node = self.rng.choice(alive)
        self.play.sound += not bad
        held = node.book.held_in(parts)
        if held and not (len(held) == 1 and await node.exchange.may_try(held[0])):
            self.play.refused += not bad
            if not bad:
                self.play.held.update(held)
                self.play.refused_at.append(self.now)
            return
        digest = next(self.digests)
        for attempt in range(self.play.attempts):
            if attempt and node.book.held_in(parts):
                return
            if not await self._attempt(node, digest, parts, bad):
                return

    async def _attempt(self, node, digest, parts, bad):
        """Run a request at an engine; return whether that crashed."""
        free = [one for one in self.engines if one.up and len(one.running) < SLOTS]
        if not free or not node.alive:
            return False
        engine = self.rng.choice(free)
        sent_at, upstream = self.clock.now, engine.crc
        deadly = bad and self.now >= self.play.bad_from_s
        if deadly:
            self._count_later(node, bad)
        crashed = engine.running[digest] = asyncio.get_running_loop().create_future()
        first_s = self.rng.uniform(0.05, 0.4)
        answer_s = self.rng.uniform(0.05, 2.0)
        late_s = 0.4 if self.rng.random() < self.play.late_share else 0.0
        if deadly:
            answer_s += late_s
            asyncio.get_running_loop().call_later(
                first_s + late_s, self._crash_at, engine, upstream, bad
            )
        began_at = sent_at + first_s
        done = await self._ends(crashed, first_s + answer_s)
        if not done:
            self._end(engine, digest)
            self._survive(node, parts, began_at)
            return False
        await self._lost(node, digest, upstream, parts, sent_at, began_at)
        return True

    async def _ends(self, crashed, seconds):
        await asyncio.wait({crashed}, timeout=seconds)
        return crashed.done()

    def _end(self, engine, digest):
        engine.running.pop(digest, None)

    def _crash_at(self, engine, upstream, bad):
        if engine.crc == upstream:
            self._crash(engine, bad)

    def _survive(self, node, parts, began_at):
        if node.alive:
            node.exchange.survived(parts, began_at)

    async def _lost(self, node, digest, upstream, parts, sent_at, began_at):
        crashed_at = self.clock.now
        if crashed_at - began_at >= MIN_SURVIVAL_S:
            self._survive(node, parts, began_at)
            return
        await asyncio.sleep(PROBE_S)
        if node.alive:
            node.exchange.crashed(
                CrashedRequest(
                    digest=digest,
                    upstream=upstream,
                    parts=tuple(parts),
                    sent_at=sent_at,
                    crashed_at=crashed_at,
                    certain=True,
                )
            )

    def _count_later(self, node, bad):
        """Count a request with a bad part that reaches an engine too late."""
        fifth_at = self.fifth_at.get(bad)
        in_touch = self.clock.now - node.started_at >= STABLE_S
        if fifth_at is not None and self.now > fifth_at + STABLE_S and in_touch:
            self.play.later[bad] += not self.is_cut(node)


def play_parts(**more):
    """Play a fleet in simulated time; return what came of it."""
    play, clock = Play(**more), Clock()
    with pytest.MonkeyPatch.context() as patches:
        patches.setattr(part_reports, "monotonic", clock)
        loop = SimulatedLoop(clock)
        try:
            loop.run_until_complete(_Fleet(play, clock).run())
        finally:
            tasks = asyncio.all_tasks(loop)
            for task in tasks:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
            loop.close()
            gc.collect()
    return play
