"""Test scenes that bring a request to a processing step and inject a fault there."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from baobabwing.bench.executions import Executed
from baobabwing.bench.matrix.caller import Caller, Job, Transcript, Try
from baobabwing.bench.matrix.site import BOOKING, ENGINES, SERVICES, Site
from baobabwing.bench.processes import ProcessError, wait_until

__all__ = ["STEPS", "Scene", "get_step", "is_overfull", "step"]

WAIT_S = 20.0
FILLERS = 18
QUEUE_ATTEMPTS = 4
FILLER_TOKENS = 2_000
# Longer than the fillers take; with a shorter deadline the request would be refused
# immediately.
QUEUED_DEADLINE_MS = 60_000
LONG_PROMPT_WORDS = 16_000
SERVICE_SLOWNESS = 40.0
STREAM_TOKENS = 120
# Long enough for a failure to be detected and a home to be replaced meanwhile.
LONG_STREAM_TOKENS = 600
EARLY_WORDS = 3


@dataclass(kw_only=True)
class Scene:
    """Request with the nodes and the caller that take part in it.

    :param service: whether the request is a booking at a plain service.
    :param own_key: whether the caller chooses a key that is bound to no node.
    :param strike: injects the fault when the step has been reached.
    :param entry: node to which the caller sends the first attempt.
    :param home: home of the request's cell.
    :param other: third node, which is next in the ranking as home.
    :param first: first attempt of the caller.
    :param entry_hangs: whether the entry is frozen, so that the first attempt hangs.
    """

    site: Site
    caller: Caller
    service: bool
    own_key: bool
    epoch_s: float
    strike: Callable[[Scene], None]
    entry: str = ""
    home: str = ""
    other: str = ""
    job: Job = field(default_factory=lambda: Job(text=""))
    first: Try | None = None
    entry_hangs: bool = False

    def __post_init__(self) -> None:
        pool = BOOKING if self.service else "assistant"
        self.home, self.other, self.entry = self.site.homes(pool)

    def prepare(
        self, *, prompt_words: int = 0, tokens: int = 16, deadline_ms: int = 8_000
    ) -> None:
        """Create the job and its key without sending it."""
        name = uuid.uuid4().hex
        address = self.site.address(self.entry)
        key = name if self.own_key else self.caller.key_at(address, name)
        text = " ".join([f"a cut {name}", *(["please"] * prompt_words)])
        self.job = Job(
            text=text,
            key=key,
            tokens=tokens,
            service=self.service,
            deadline_ms=deadline_ms,
        )

    def send(self) -> Try:
        """Start the first attempt."""
        self.first = self.caller.begin(self.job, self.site.address(self.entry))
        return self.first

    def executions(self) -> list[Executed]:
        """Return the executions of this request."""
        return [one for one in self.all_executions() if one.key == self.job.key]

    def all_executions(self) -> list[Executed]:
        """Return all executions since the start of the scene."""
        found = self.site.executions(epoch_s=self.epoch_s)
        return [one for one in found if one.started_s >= 0]

    def running_at(self) -> list[str]:
        """Return the upstreams that executed the request, or all candidates."""
        names = [one.upstream for one in self.executions()]
        return names or list(SERVICES if self.service else ENGINES)

    def wait(self, condition: Callable[[], bool], what: str) -> None:
        """Wait for a condition.

        :param what: name of the condition for the error message.
        :raises ProcessError: if it does not hold within ``WAIT_S``.
        """
        if not wait_until(condition, timeout_s=WAIT_S):
            raise ProcessError(f"condition not reached: {what}", step="scene")

    def try_again(self) -> Transcript:
        """Retry at other addresses until the caller receives an outcome."""
        others = tuple(
            self.site.address(name) for name in (self.other, self.home, self.entry)
        )
        if not self.entry_hangs:
            return self.caller.finish(self.job, self.first, others)
        words = self.caller.words_of(self.job)
        last_event = len(words) - 1 if words else None
        second_attempt = self.caller.begin(self.job, others[0], last_event=last_event)
        transcript = self.caller.finish(self.job, second_attempt, others[:2])
        self.recover()
        self.first.wait()
        return transcript

    def recover(self) -> None:
        """Resume all frozen processes."""
        for name in self.site.group.names():
            if self.site.group.get(name).alive():
                self.site.group.thaw(name)


StepFunction = Callable[[Scene], None]
STEPS: dict[str, StepFunction] = {}


def step(name: str) -> Callable[[StepFunction], StepFunction]:
    """Decorate a function that brings a scene to a step to add it to the registry."""

    def register(step_function: StepFunction) -> StepFunction:
        STEPS[name] = step_function
        return step_function

    return register


def get_step(name: str) -> StepFunction:
    """Return the function that brings a scene to a step and injects the fault.

    :raises KeyError: if there is no step with the given name.
    """
    return STEPS[name]


@step("before it arrives")
def _before(scene: Scene) -> None:
    scene.prepare()
    scene.strike(scene)
    scene.send()


@step("while it is queued")
def _queued(scene: Scene) -> None:
    fillers: list[Try] = []
    try:
        _queue_request(scene, fillers)
        scene.strike(scene)
    finally:
        for filler in fillers:
            filler.leave()


@step("at its dispatch")
def _at_dispatch(scene: Scene) -> None:
    if scene.service:
        for name in SERVICES:
            scene.site.fault(name, "slow", value=SERVICE_SLOWNESS)
        scene.prepare()
    else:
        scene.prepare(prompt_words=LONG_PROMPT_WORDS)
    scene.send()
    scene.wait(lambda: bool(scene.executions()), "dispatched")
    scene.strike(scene)


@step("while it streams")
def _streaming(scene: Scene) -> None:
    scene.prepare(tokens=STREAM_TOKENS)
    if not scene.send().wait_words(EARLY_WORDS):
        raise ProcessError("the stream did not start", step="scene")
    scene.strike(scene)


@step("while it streams at length")
def _streaming_long(scene: Scene) -> None:
    scene.prepare(tokens=LONG_STREAM_TOKENS)
    if not scene.send().wait_words(EARLY_WORDS):
        raise ProcessError("the stream did not start", step="scene")
    scene.strike(scene)


@step("after its answer")
def _after(scene: Scene) -> None:
    scene.prepare()
    scene.send().wait()
    scene.strike(scene)
    scene.first = scene.caller.begin(scene.job, scene.site.address(scene.other))


def _queue_request(scene: Scene, fillers: list[Try]) -> None:
    """Saturate the upstreams until a request is queued.

    A home may have capacity for a short request but not for long ones; in that case
    more long requests are sent.
    """
    for _ in range(QUEUE_ATTEMPTS):
        fillers.extend(_send_filler(scene, number) for number in range(FILLERS))
        scene.wait(lambda: is_overfull(scene.site, scene.other, fillers), "full")
        scene.prepare(deadline_ms=QUEUED_DEADLINE_MS)
        scene.send()
        scene.wait(
            lambda: (
                bool(scene.executions()) or scene.site.open_requests(scene.entry) == 1
            ),
            "queued",
        )
        if not scene.executions():
            return
        scene.first.wait()
    raise ProcessError("the request was not queued", step="scene")


def _send_filler(scene: Scene, number: int) -> Try:
    """Send a long request that occupies an upstream."""
    job = Job(
        text=f"filler {number} {uuid.uuid4().hex}",
        tokens=FILLER_TOKENS,
        service=scene.service,
        deadline_ms=60_000,
    )
    return scene.caller.begin(job, scene.site.address(scene.other))


def is_overfull(site: Site, node: str, fillers: list[Try]) -> bool:
    """Return whether some fillers are running and others are queued.

    The number of running ones is not checked, because an engine that has just been
    restarted gets little work.
    """
    if site.open_requests(node) < len(fillers):
        return False
    running = sum(bool(one.transcript.words) for one in fillers)
    return 0 < running < len(fillers)
