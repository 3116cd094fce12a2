"""Generation of the requests of a run in advance, determined by the seed."""

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
    """API through which a request is sent."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


@dataclass(frozen=True, kw_only=True)
class Lengths:
    """Log-uniform distribution of a length in tokens, given by its bounds."""

    minimum: int
    maximum: int

    def mean(self) -> float:
        """Return the expected value."""
        if self.minimum == self.maximum:
            return float(self.minimum)
        return (self.maximum - self.minimum) / math.log(self.maximum / self.minimum)

    def draw(self, rng: random.Random) -> int:
        """Return a random length."""
        low, high = math.log(self.minimum), math.log(self.maximum)
        return round(math.exp(rng.uniform(low, high)))


@dataclass(frozen=True, kw_only=True)
class Work:
    """Class of requests with common parameters.

    :param target: the model, or the pool of a plain service.
    :param own: length of the prompt part that is unique to a request.
    :param output: length of the answer.
    :param shared: length of the prompt prefix that the requests of a group share.
    :param groups: number of distinct shared prefixes.
    :param non_idempotent: whether a request must never run twice.
    :param own_key: whether the caller chooses a key that is bound to no node.
    :param deadline_ms: the caller's deadline; 0 selects that of the tier.
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
    """Part of a run with a constant offered load.

    :param start: start, as a fraction of the run.
    :param end: end, as a fraction of the run.
    :param load: offered engine time, as a fraction of the pool's capacity.
    """

    start: float
    end: float
    load: float


@dataclass(frozen=True, kw_only=True)
class Stream:
    """Requests of one class over the phases of a run."""

    work: Work
    phases: tuple[Phase, ...]


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """Request of a run.

    :param index: unique position in the run.
    :param at_s: scheduled sending time, in seconds from the start of the run.
    :param pool: the pool that serves it.
    :param group: index of the shared prompt prefix.
    :param deadline_ms: latest end of the answer, relative to ``at_s``.
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
        """Number of tokens of the complete prompt."""
        return self.shared_tokens + self.own_tokens

    @property
    def to_engine(self) -> bool:
        """Whether the request goes to an engine rather than to a plain service."""
        return self.form is not Form.SERVICE


def draw_arrivals(
    shape: Shape, streams: Sequence[Stream], *, seed: int, seconds: float
) -> tuple[Arrival, ...]:
    """Generate all requests of a run, in sending order.

    Each stream is a Poisson process whose rate follows from the fraction of the
    capacity that its phases request. The load is open-loop: no request waits for the
    answer to another one. The result depends only on the arguments and not on the
    policy under test.

    :param seed: runs with the same seed have the same requests.
    :param seconds: duration of the run.
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
    """Return the prompt prefix that the group of the arrival shares."""
    prefix = f"{arrival.work}{arrival.group}"
    return " ".join(f"{prefix}h{n}" for n in range(arrival.shared_tokens))


def own_text(arrival: Arrival) -> str:
    """Return the part of the prompt that is unique to the request."""
    return " ".join(f"r{arrival.index}w{n}" for n in range(arrival.own_tokens))


def prompt_text(arrival: Arrival) -> str:
    """Return the complete prompt, with its parts joined as engines join messages."""
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
