"""Requests of a run, computed beforehand from the seed alone."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

from baobabwing.bench.capacity import pool_seconds
from baobabwing.bench.shapes import Shape

__all__ = [
    "Arrival",
    "Form",
    "Lengths",
    "Phase",
    "Stream",
    "Work",
    "draw_arrivals",
    "own_text",
    "prompt_text",
    "shared_text",
]


class Form(StrEnum):
    """How a request is put to the system."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


@dataclass(frozen=True, kw_only=True)
class Lengths:
    """Bounds of a length in tokens; lengths are log-uniform between them."""

    minimum: int
    maximum: int

    def mean(self) -> float:
        """Return the expected length."""
        if self.minimum == self.maximum:
            return float(self.minimum)
        return (self.maximum - self.minimum) / math.log(self.maximum / self.minimum)

    def draw(self, rng: random.Random) -> int:
        """Draw one length."""
        low, high = math.log(self.minimum), math.log(self.maximum)
        return round(math.exp(rng.uniform(low, high)))


@dataclass(frozen=True, kw_only=True)
class Work:
    """One kind of request.

    :param target: the model, or the pool of a plain service.
    :param own: tokens of the prompt that no other request shares.
    :param output: tokens of the answer.
    :param shared: tokens at the head of the prompt that a group shares.
    :param groups: number of different shared heads.
    :param non_idempotent: whether it must never run twice.
    :param own_key: whether its key is of the caller's own making, bound to no node.
    :param deadline_ms: the caller's own deadline; 0 leaves it to the tier.
    """

    name: str
    tier: str
    target: str
    form: Form
    own: Lengths = Lengths(minimum=1, maximum=1)
    output: Lengths = Lengths(minimum=1, maximum=1)
    shared: int = 0
    groups: int = 1
    stream: bool = True
    non_idempotent: bool = False
    own_key: bool = False
    deadline_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class Phase:
    """A part of the run with a constant offered load.

    :param start: begin, as a share of the run.
    :param end: end, as a share of the run.
    :param load: engine time offered, as a share of the pool's capacity.
    """

    start: float
    end: float
    load: float


@dataclass(frozen=True, kw_only=True)
class Stream:
    """Requests of one kind over the phases of a run."""

    work: Work
    phases: tuple[Phase, ...]


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of a run.

    :param index: position in the run; unique.
    :param at_s: when it is sent, from the start of the run, in seconds.
    :param pool: the pool that serves it.
    :param group: which shared head its prompt has.
    :param deadline_ms: when a whole answer is late, from ``at_s``.
    """

    index: int
    at_s: float
    work: str
    tier: str
    rank: int
    organisation: str
    pool: str
    target: str
    form: Form
    group: int
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    stream: bool
    non_idempotent: bool
    own_key: bool
    deadline_ms: int

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return self.shared_tokens + self.own_tokens

    @property
    def to_engine(self) -> bool:
        """Whether an engine, and not a plain service, answers it."""
        return self.form is not Form.SERVICE


def draw_arrivals(
    shape: Shape, streams: Sequence[Stream], *, seed: int, seconds: float
) -> tuple[Arrival, ...]:
    """Compute all requests of a run, in the order in which they are sent.

    Each stream is a Poisson process whose rate follows from the share of capacity
    that its phases ask for, so the load is open: no request waits for another's
    answer. Only the arguments decide the result; the policy under test does not.

    :param seed: two runs with one seed have the same requests.
    :param seconds: length of the run.
    """
    timed_requests = [
        arrival
        for number, stream in enumerate(streams)
        for arrival in _draw_stream(
            shape, stream, random.Random(f"{seed}/{number}"), seconds
        )
    ]
    timed_requests.sort(key=lambda timed_request: timed_request[0])
    return tuple(
        _arrival(shape, index, at_s, work, rng)
        for index, (at_s, work, rng) in enumerate(timed_requests)
    )


def shared_text(arrival: Arrival) -> str:
    """Return the head of the prompt that the arrival's group shares."""
    prefix = f"{arrival.work}{arrival.group}"
    return " ".join(f"{prefix}h{n}" for n in range(arrival.shared_tokens))


def own_text(arrival: Arrival) -> str:
    """Return the part of the prompt that no other request has."""
    return " ".join(f"r{arrival.index}w{n}" for n in range(arrival.own_tokens))


def prompt_text(arrival: Arrival) -> str:
    """Return the whole prompt, parts joined as the engines join messages."""
    if not arrival.shared_tokens:
        return own_text(arrival)
    return f"{shared_text(arrival)}\n{own_text(arrival)}"


def _draw_stream(
    shape: Shape, stream: Stream, rng: random.Random, seconds: float
) -> Iterator[tuple[float, Work, random.Random]]:
    for phase in stream.phases:
        rate = phase.load / _mean_pool_seconds(shape, stream.work)
        at_s = phase.start * seconds
        while rate > 0.0:
            at_s += rng.expovariate(rate)
            if at_s >= phase.end * seconds:
                break
            yield at_s, stream.work, random.Random(rng.getrandbits(64))


def _mean_pool_seconds(shape: Shape, work: Work) -> float:
    return pool_seconds(
        shape,
        shape.pool_of(work.target),
        prefill_tokens=work.own.mean(),
        output_tokens=work.output.mean(),
    )


def _arrival(
    shape: Shape, index: int, at_s: float, work: Work, rng: random.Random
) -> Arrival:
    tier = shape.tier(work.tier)
    weights = [organisation.weight for organisation in shape.organisations]
    organisation = rng.choices(shape.organisations, weights)[0]
    return Arrival(
        index=index,
        at_s=at_s,
        work=work.name,
        tier=tier.name,
        rank=tier.rank,
        organisation=organisation.name,
        pool=shape.pool_of(work.target),
        target=work.target,
        form=work.form,
        group=rng.randrange(work.groups),
        shared_tokens=work.shared,
        own_tokens=work.own.draw(rng),
        output_tokens=work.output.draw(rng),
        stream=work.stream,
        non_idempotent=work.non_idempotent,
        own_key=work.own_key,
        deadline_ms=work.deadline_ms or tier.deadline_ms,
    )
