"""A load on a pool of engines, played in simulated time against a policy.

The engines batch continuously: each step reads a chunk of the oldest unread prompt
and generates one token for every sequence that has been read. Callers leave when
their patience ends. Seconds of load take tenths of a second to play, so that a policy
can be tried and tested without processes.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from baobabwing.gateway.decisions.policies import make_scheduler
from baobabwing.gateway.decisions.scheduling import (
    Grant,
    PlacementRequest,
    PoolScheduler,
)
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

__all__ = ["EngineFigures", "Kind", "KindResult", "Load", "play"]


@dataclass(frozen=True, kw_only=True)
class EngineFigures:
    """What an engine of speed 1 takes; the operator's figures.

    :param step_s: one step of an empty batch.
    :param sequence_s: more for each sequence in it.
    :param prefill_per_s: prompt tokens read a second.
    :param chunk: most prompt tokens read in one step.
    """

    slots: int = 8
    step_s: float = 0.00627
    sequence_s: float = 0.0000358
    prefill_per_s: float = 39_300.0
    chunk: int = 4096
    tokens_per_event: int = 3


@dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests of one kind.

    :param prompt: mean prompt tokens, exponentially spread.
    :param output: mean output tokens, exponentially spread.
    """

    name: str
    per_s: float
    prompt: float
    output: float
    objective_s: float
    deadline_s: float
    patience_s: float
    route_rank: int


@dataclass(frozen=True, kw_only=True)
class Load:
    """Kinds of requests on engines of several speeds.

    :param speeds: times that each engine takes, against :class:`EngineFigures`.
    :param burst: times the usual rate, from a quarter to a half of the time.
    """

    kinds: tuple[Kind, ...]
    speeds: tuple[float, ...]
    seconds: float
    burst: float = 1.0
    engine: EngineFigures = field(default_factory=EngineFigures)


@dataclass(kw_only=True)
class KindResult:
    """What callers of one kind got."""

    asked: int = 0
    in_time: int = 0
    served: int = 0

    @property
    def in_time_share(self) -> float:
        """Share of requests answered whole, the first event in time."""
        return self.in_time / max(self.asked, 1)

    @property
    def served_share(self) -> float:
        """Share of requests answered whole."""
        return self.served / max(self.asked, 1)


@dataclass(kw_only=True, eq=False)
class _Request:
    kind: Kind
    arrived: float
    unread: float
    tokens: int
    ask: PlacementRequest
    made: int = 0
    first_at: float | None = None
    gone: bool = False


class _Engine:
    """One engine: a batch and a queue, first come first served."""

    def __init__(self, *, speed: float, figures: EngineFigures) -> None:
        self.speed = speed
        self.figures = figures
        self.batch: list[_Request] = []
        self.queue: deque[_Request] = deque()
        self.stepping = False

    def admit(self) -> None:
        """Fill the batch from the queue, and drop those whose callers left."""
        self.batch = [one for one in self.batch if not one.gone]
        while self.queue and len(self.batch) < self.figures.slots:
            request = self.queue.popleft()
            if not request.gone:
                self.batch.append(request)

    def step(self) -> tuple[float, list[_Request]]:
        """Return how long the next step takes, and who gets a token at its end."""
        reading = next((one for one in self.batch if one.unread > 0), None)
        chunk = 0.0
        if reading is not None:
            chunk = min(reading.unread, self.figures.chunk)
            reading.unread -= chunk
        generating = [one for one in self.batch if one.unread <= 0]
        took = (
            self.figures.step_s
            + self.figures.sequence_s * len(generating)
            + chunk / self.figures.prefill_per_s
        )
        return took * self.speed, generating


class _Play:
    """One run: arrivals, steps of engines and departures in order of time."""

    def __init__(self, *, load: Load, scheduler: PoolScheduler, rng: Random) -> None:
        self.load = load
        self.scheduler = scheduler
        self.rng = rng
        self.results = {kind.name: KindResult() for kind in load.kinds}
        self.engines = {
            f"e{number}": _Engine(speed=speed, figures=load.engine)
            for number, speed in enumerate(load.speeds)
        }
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._grants: dict[int, Grant] = {}
        self._waiting: dict[int, _Request] = {}

    def run(self) -> None:
        """Play until all requests have ended."""
        for kind in self.load.kinds:
            self._at(self._next(kind, 0.0), self._arrival(kind))
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _next(self, kind: Kind, now: float) -> float:
        rate = kind.per_s
        if 0.25 <= now / self.load.seconds < 0.5:
            rate *= self.load.burst
        return now + self.rng.expovariate(rate)

    def _arrival(self, kind: Kind) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            if now >= self.load.seconds:
                return
            self._at(self._next(kind, now), self._arrival(kind))
            self._ask(kind, now)

        return arrive

    def _ask(self, kind: Kind, now: float) -> None:
        prompt = max(self.rng.expovariate(1 / kind.prompt), 16)
        tokens = max(int(self.rng.expovariate(1 / kind.output)), 3)
        ask = PlacementRequest(
            rank=0,
            route_rank=kind.route_rank,
            arrived_at=now,
            objective_at=now + kind.objective_s,
            deadline_at=now + 0.75 * kind.patience_s,
            ends_at=now + kind.deadline_s,
            prompt_tokens=int(prompt),
            expected_output_tokens=int(kind.output),
        )
        request = _Request(
            kind=kind, arrived=now, unread=prompt, tokens=tokens, ask=ask
        )
        self.results[kind.name].asked += 1
        self._waiting[ask.number] = request
        self.scheduler.submit(ask)
        self._pump(now)
        self._at(now + kind.patience_s, lambda at: self._leave(request, at, False))
        self._at(now + kind.deadline_s, lambda at: self._leave(request, at, True))

    def _pump(self, now: float) -> None:
        for grant in self.scheduler.grants(now):
            request = self._waiting.pop(grant.request.number)
            self._grants[grant.request.number] = grant
            engine = self.engines[grant.track.entry.instance]
            engine.queue.append(request)
            self._start(engine, now)

    def _start(self, engine: _Engine, now: float) -> None:
        engine.admit()
        if engine.stepping or not engine.batch:
            return
        engine.stepping = True
        took, generating = engine.step()
        self._at(now + took, lambda at: self._stepped(engine, generating, at))

    def _stepped(self, engine: _Engine, generating: list[_Request], now: float) -> None:
        engine.stepping = False
        for request in generating:
            if not request.gone:
                self._token(engine, request, now)
        self._start(engine, now)

    def _token(self, engine: _Engine, request: _Request, now: float) -> None:
        request.made += 1
        per_event = self.load.engine.tokens_per_event
        track = self._grants[request.ask.number].track
        if request.made == per_event:
            request.first_at = now
            track.record_first_event(request.ask.number, now)
        elif request.made % per_event == 0:
            track.record_interval(per_event * self.load.engine.step_s * engine.speed)
        if request.made >= request.tokens:
            self._end(request, now, served=True)

    def _leave(self, request: _Request, now: float, at_deadline: bool) -> None:
        if request.gone or (request.first_at is not None and not at_deadline):
            return
        self._end(request, now, served=False)

    def _end(self, request: _Request, now: float, *, served: bool) -> None:
        request.gone = True
        result = self.results[request.kind.name]
        result.served += served
        first_s = (request.first_at or now) - request.arrived
        result.in_time += served and first_s <= request.kind.objective_s
        if self._waiting.pop(request.ask.number, None) is not None:
            self.scheduler.withdraw(request.ask)
        grant = self._grants.pop(request.ask.number, None)
        if grant is not None:
            grant.track.remove_request(request.ask.number)
        self._pump(now)


def play(load: Load, policy: str, *, seed: int) -> dict[str, KindResult]:
    """Play a load against a policy of the registry.

    :returns: what callers of each kind got.
    """
    rng = Random(seed)
    spec = EngineSpec(
        slots=load.engine.slots,
        kv_tokens=200_000,
        tokens_per_event=load.engine.tokens_per_event,
    )
    scheduler = make_scheduler(policy, engine=spec, rng=rng)
    scheduler.set_upstreams(
        UpstreamEntry(
            instance=f"e{number}", pool="p", address="-", slots=load.engine.slots
        )
        for number in range(len(load.speeds))
    )
    run = _Play(load=load, scheduler=scheduler, rng=rng)
    run.run()
    return run.results
