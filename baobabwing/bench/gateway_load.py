"""Discrete-event simulation of a pool of engines under a scheduling policy.

The engines use continuous batching: each step prefills a chunk of the oldest
incomplete prompt and generates one token for every prefilled sequence. Callers give
up when their patience is exhausted. Seconds of load are simulated in tenths of a
second, so that policies can be evaluated without processes.
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

__all__ = ["EngineTiming", "Load", "RequestClass", "RequestClassResult", "simulate"]


@dataclass(frozen=True, kw_only=True)
class EngineTiming:
    """Timing of an engine with time factor 1, as stated by the operator.

    :param step_s: duration of a step with an empty batch.
    :param step_s_per_sequence: additional duration per decoding sequence.
    :param prefill_tokens_per_s: prefill throughput in prompt tokens per second.
    :param chunk_tokens: maximum number of prompt tokens prefilled in one step.
    """

    slots: int = 8
    step_s: float = 0.00627
    step_s_per_sequence: float = 0.0000358
    prefill_tokens_per_s: float = 39_300.0
    chunk_tokens: int = 4096
    tokens_per_event: int = 3


@dataclass(frozen=True, kw_only=True)
class RequestClass:
    """Class of requests with common parameters.

    :param per_s: arrival rate, in requests per second.
    :param prompt: mean of the exponentially distributed prompt length in tokens.
    :param output: mean of the exponentially distributed output length in tokens.
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
    """Request classes and the engines that serve them.

    :param time_factors: factor by which each engine takes longer than
        :class:`EngineTiming`.
    :param burst_factor: factor of the arrival rate in the second quarter of the
        simulated time.
    """

    request_classes: tuple[RequestClass, ...]
    time_factors: tuple[float, ...]
    seconds: float
    burst_factor: float = 1.0
    engine: EngineTiming = field(default_factory=EngineTiming)


@dataclass(kw_only=True)
class RequestClassResult:
    """Results of the requests of a class."""

    sent: int = 0
    in_time: int = 0
    served: int = 0

    @property
    def in_time_share(self) -> float:
        """Fraction of requests served completely with the first event in time."""
        return self.in_time / max(self.sent, 1)

    @property
    def served_share(self) -> float:
        """Fraction of requests served completely."""
        return self.served / max(self.sent, 1)


@dataclass(kw_only=True, eq=False)
class _Request:
    request_class: RequestClass
    arrived: float
    prompt_tokens_left: float
    output_tokens: int
    placement_request: PlacementRequest
    generated_tokens: int = 0
    first_at: float | None = None
    ended: bool = False


class _Engine:
    """Engine with a batch and a FIFO queue."""

    def __init__(self, *, time_factor: float, timing: EngineTiming) -> None:
        self.time_factor = time_factor
        self.timing = timing
        self.batch: list[_Request] = []
        self.queue: deque[_Request] = deque()
        self.stepping = False

    def admit(self) -> None:
        """Remove ended requests from the batch and fill it from the queue."""
        self.batch = [member for member in self.batch if not member.ended]
        while self.queue and len(self.batch) < self.timing.slots:
            request = self.queue.popleft()
            if not request.ended:
                self.batch.append(request)

    def step(self) -> tuple[float, list[_Request]]:
        """Return the duration of the next step and the requests that get a token."""
        prefilling = next(
            (request for request in self.batch if request.prompt_tokens_left > 0), None
        )
        chunk_tokens = 0.0
        if prefilling is not None:
            chunk_tokens = min(prefilling.prompt_tokens_left, self.timing.chunk_tokens)
            prefilling.prompt_tokens_left -= chunk_tokens
        decoding = [
            request for request in self.batch if request.prompt_tokens_left <= 0
        ]
        duration_s = (
            self.timing.step_s
            + self.timing.step_s_per_sequence * len(decoding)
            + chunk_tokens / self.timing.prefill_tokens_per_s
        )
        return duration_s * self.time_factor, decoding


class _Simulation:
    """Simulation run that processes arrivals, engine steps and departures."""

    def __init__(self, *, load: Load, scheduler: PoolScheduler, rng: Random) -> None:
        self.load = load
        self.scheduler = scheduler
        self.rng = rng
        self.results = {
            request_class.name: RequestClassResult()
            for request_class in load.request_classes
        }
        self.engines = {
            f"e{number}": _Engine(time_factor=time_factor, timing=load.engine)
            for number, time_factor in enumerate(load.time_factors)
        }
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence_numbers = itertools.count()
        self._grants: dict[int, Grant] = {}
        self._waiting: dict[int, _Request] = {}

    def run(self) -> None:
        """Process events until all requests have ended."""
        for request_class in self.load.request_classes:
            self._schedule(
                self._next_arrival_at(request_class, 0.0),
                self._arrival_event(request_class),
            )
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence_numbers), action))

    def _next_arrival_at(self, request_class: RequestClass, now: float) -> float:
        rate = request_class.per_s
        if 0.25 <= now / self.load.seconds < 0.5:
            rate *= self.load.burst_factor
        return now + self.rng.expovariate(rate)

    def _arrival_event(self, request_class: RequestClass) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            if now >= self.load.seconds:
                return
            self._schedule(
                self._next_arrival_at(request_class, now),
                self._arrival_event(request_class),
            )
            self._submit_request(request_class, now)

        return arrive

    def _submit_request(self, request_class: RequestClass, now: float) -> None:
        prompt = max(self.rng.expovariate(1 / request_class.prompt), 16)
        output_tokens = max(int(self.rng.expovariate(1 / request_class.output)), 3)
        placement_request = PlacementRequest(
            rank=0,
            route_rank=request_class.route_rank,
            arrived_at=now,
            objective_at=now + request_class.objective_s,
            deadline_at=now + 0.75 * request_class.patience_s,
            ends_at=now + request_class.deadline_s,
            prompt_tokens=int(prompt),
            expected_output_tokens=int(request_class.output),
        )
        request = _Request(
            request_class=request_class,
            arrived=now,
            prompt_tokens_left=prompt,
            output_tokens=output_tokens,
            placement_request=placement_request,
        )
        self.results[request_class.name].sent += 1
        self._waiting[placement_request.number] = request
        self.scheduler.submit(placement_request)
        self._dispatch_grants(now)
        self._schedule(
            now + request_class.patience_s, lambda at: self._give_up(request, at, False)
        )
        self._schedule(
            now + request_class.deadline_s, lambda at: self._give_up(request, at, True)
        )

    def _dispatch_grants(self, now: float) -> None:
        for grant in self.scheduler.grants(now):
            request = self._waiting.pop(grant.request.number)
            self._grants[grant.request.number] = grant
            engine = self.engines[grant.track.entry.instance]
            engine.queue.append(request)
            self._start_step(engine, now)

    def _start_step(self, engine: _Engine, now: float) -> None:
        engine.admit()
        if engine.stepping or not engine.batch:
            return
        engine.stepping = True
        duration_s, decoding = engine.step()
        self._schedule(
            now + duration_s, lambda at: self._finish_step(engine, decoding, at)
        )

    def _finish_step(
        self, engine: _Engine, decoding: list[_Request], now: float
    ) -> None:
        engine.stepping = False
        for request in decoding:
            if not request.ended:
                self._record_token(engine, request, now)
        self._start_step(engine, now)

    def _record_token(self, engine: _Engine, request: _Request, now: float) -> None:
        request.generated_tokens += 1
        per_event = self.load.engine.tokens_per_event
        track = self._grants[request.placement_request.number].track
        if request.generated_tokens == per_event:
            request.first_at = now
            track.record_first_event(request.placement_request.number, now)
        elif request.generated_tokens % per_event == 0:
            track.record_interval(
                per_event * self.load.engine.step_s * engine.time_factor
            )
        if request.generated_tokens >= request.output_tokens:
            self._end_request(request, now, served=True)

    def _give_up(self, request: _Request, now: float, at_deadline: bool) -> None:
        if request.ended or (request.first_at is not None and not at_deadline):
            return
        self._end_request(request, now, served=False)

    def _end_request(self, request: _Request, now: float, *, served: bool) -> None:
        request.ended = True
        result = self.results[request.request_class.name]
        result.served += served
        first_s = (request.first_at or now) - request.arrived
        result.in_time += served and first_s <= request.request_class.objective_s
        if self._waiting.pop(request.placement_request.number, None) is not None:
            self.scheduler.withdraw(request.placement_request)
        grant = self._grants.pop(request.placement_request.number, None)
        if grant is not None:
            grant.track.remove_request(request.placement_request.number)
        self._dispatch_grants(now)


def simulate(load: Load, policy: str, *, seed: int) -> dict[str, RequestClassResult]:
    """Simulate a load under a registered policy.

    :returns: results by the name of the request class.
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
        for number in range(len(load.time_factors))
    )
    simulation = _Simulation(load=load, scheduler=scheduler, rng=rng)
    simulation.run()
    return simulation.results
