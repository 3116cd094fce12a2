"""Soak test: mixed load while random nodes are killed, stopped and restarted.

``python -m baobabwing.bench.soak --minutes 10`` exits with status 1 if a request is
unaccounted for, if safety is violated, or if a node keeps growing after its warm-up.
"""

from __future__ import annotations

import json
import random
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import fmean
from typing import Annotated

import typer

from baobabwing.bench.answers import Answer, Verdict
from baobabwing.bench.arrivals import draw_arrivals
from baobabwing.bench.demo import safety_faults
from baobabwing.bench.figures import Run
from baobabwing.bench.processes import ProcessGroup
from baobabwing.bench.rig import ProcessSample, Rig
from baobabwing.bench.scenarios import get_scenario
from baobabwing.bench.shapes import get_shape

__all__ = [
    "ProcessHistory",
    "SoakFigures",
    "main",
    "resource_growth",
    "soak",
    "unaccounted_requests",
]

SCENARIO = "tijera-day"
SEED = 7
WARM_UP_S = 45.0
# A shorter observation after the warm-up is not conclusive about growth.
MIN_OBSERVED_S = 60.0
FAULT_INTERVAL_S = (15.0, 30.0)
RESTART_DELAY_S = (2.0, 8.0)
SAMPLE_INTERVAL_S = 1.0
POLL_S = 0.1
SECONDS_PER_MINUTE = 60.0
MEGABYTE = 1e6
# Allowance for closed requests with keys, which a node keeps for twenty minutes and
# whose number therefore grows legitimately.
BYTES_PER_REQUEST = 4_000
MAX_GROWTH_BYTES = 8 * MEGABYTE
MAX_NEW_THREADS = 24
WINDOW_DIVISOR = 3
# ``sent_s`` is the start of the last attempt. If a kill cut off the first one, the
# caller retries within this time.
RETRY_SLACK_S = 4.0
KILL, STOP = "kill", "stop"


@dataclass(frozen=True, kw_only=True)
class ProcessHistory:
    """Resource samples of one process of a node, taken every second.

    :param looks: samples with the age of the process in seconds.
    """

    node: str
    looks: list[tuple[float, ProcessSample]] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class SoakFigures:
    """Results of a soak run.

    :param verdicts: number of answers by verdict.
    :param kills: number of killed nodes.
    :param stops: number of gracefully stopped nodes.
    :param lives: number of node processes that ran long enough to be evaluated.
    :param growth_bytes: maximum memory growth of a process after its warm-up.
    :param new_threads: maximum growth of the thread count of a process.
    :param faults: violations, one line each.
    """

    seconds: float
    requests: int
    verdicts: dict[str, int]
    kills: int
    stops: int
    lives: int
    growth_bytes: float
    new_threads: float
    faults: tuple[str, ...]


def soak(*, minutes: float, seed: int, folder: Path | None = None) -> SoakFigures:
    """Run the load with random node failures and check the results.

    :param seed: determines the requests and the failures.
    """
    scenario = get_scenario(SCENARIO)
    shape = get_shape(scenario.shape)
    seconds = minutes * SECONDS_PER_MINUTE
    arrivals = draw_arrivals(shape, scenario.streams, seed=seed, seconds=seconds)
    with ProcessGroup(folder=folder) as group:
        rig = Rig(
            shape=shape, group=group, nodes=shape.nodes, arrivals=arrivals, seed=seed
        )
        rig.deployment.start()
        injector = _FaultInjector(rig=rig, rng=random.Random(seed))
        rig.start_load()
        ends_at = rig.start_at + seconds
        while rig.is_loading():
            injector.step(time.monotonic(), inject=time.monotonic() < ends_at)
            time.sleep(POLL_S)
        injector.restart_stopped_node()
        rig.deployment.wait_idle(timeout_s=SECONDS_PER_MINUTE)
        executions = rig.deployment.executions(epoch_s=rig.epoch_s)
        exits = {**injector.exits, **rig.deployment.stop()}
        answers = rig.answers()
    run = Run(
        shape=shape,
        policy="baobabwing",
        fault="kills and restarts",
        seconds=seconds,
        arrivals=arrivals,
        answers=answers,
        executions=executions,
        node_cpu_s=0.0,
    )
    observed = [history for history in injector.lives if _is_long_enough(history)]
    growth = [(history, *resource_growth(history)) for history in observed]
    allowed = MAX_GROWTH_BYTES + BYTES_PER_REQUEST * len(arrivals) / shape.nodes
    faults = [
        *safety_faults(run, exits),
        *unaccounted_requests(len(arrivals), answers, injector.killed_s),
        *_growth_faults(growth, allowed),
    ]
    return SoakFigures(
        seconds=seconds,
        requests=len(arrivals),
        verdicts=dict(Counter(str(one.verdict) for one in answers)),
        kills=injector.counts[KILL],
        stops=injector.counts[STOP],
        lives=len(observed),
        growth_bytes=max((memory for _, memory, _ in growth), default=0.0),
        new_threads=max((threads for _, _, threads in growth), default=0.0),
        faults=tuple(faults),
    )


def unaccounted_requests(
    sent: int, answers: Sequence[Answer], killed_s: Sequence[float] = ()
) -> list[str]:
    """Return the violations of the rule that every request has a usable outcome.

    The outcome "unknown" is acceptable only for a request that was open when a node
    was killed.

    :param sent: number of requests that were sent.
    :param killed_s: times of node kills, in seconds from the start of the run.
    """
    indexes = Counter(one.index for one in answers)
    missing = sent - len(indexes)
    duplicated = sum(count > 1 for count in indexes.values())
    codes = Counter(one.code for one in answers if one.verdict is Verdict.ERROR)
    faults = []
    if missing:
        faults.append(f"{missing} requests have no answer at all")
    if duplicated:
        faults.append(f"{duplicated} requests were answered twice")
    faults += [f"{count} answers are errors: {code}" for code, count in codes.items()]
    unexplained = [
        one.index
        for one in answers
        if one.verdict is Verdict.UNKNOWN and not _open_at(one, killed_s)
    ]
    if unexplained:
        faults.append(f"unknown, though no node was killed: requests {unexplained}")
    return faults


def _open_at(answer: Answer, killed_s: Sequence[float]) -> bool:
    began, ended = answer.sent_s - RETRY_SLACK_S, answer.end_s + RETRY_SLACK_S
    return any(began <= at_s <= ended for at_s in killed_s)


def resource_growth(history: ProcessHistory) -> tuple[float, float]:
    """Return the growth of a process from its warm-up to its last sample.

    It is the difference between the means of the last and the first third after the
    warm-up, which is insensitive to the requests open at a single point in time.

    :returns: growth in bytes and in threads.
    """
    samples = [sample for age, sample in history.looks if age >= WARM_UP_S]
    window = max(1, len(samples) // WINDOW_DIVISOR)
    first, last = samples[:window], samples[-window:]
    memory = fmean(one.resident_bytes for one in last)
    threads = fmean(one.threads for one in last)
    return (
        memory - fmean(one.resident_bytes for one in first),
        threads - fmean(one.threads for one in first),
    )


class _FaultInjector:
    """Kills or stops random nodes, one at a time, and restarts them."""

    def __init__(self, *, rig: Rig, rng: random.Random) -> None:
        self._rig = rig
        self._rng = rng
        self._next_fault_at = 0.0
        self._restart_at = 0.0
        self._stopped_node = ""
        self._next_sample_at = 0.0
        self._current_histories: dict[str, ProcessHistory] = {}
        self._started_at: dict[str, float] = defaultdict(time.monotonic)
        self.lives: list[ProcessHistory] = []
        self.counts: Counter[str] = Counter()
        self.exits: dict[str, int] = {}
        self.killed_s: list[float] = []

    def step(self, now: float, *, inject: bool) -> None:
        """Take the samples and perform the actions that are due.

        :param inject: whether new failures may be injected.
        """
        if now >= self._next_sample_at:
            self._next_sample_at = now + SAMPLE_INTERVAL_S
            self._sample_nodes(now)
        if self._stopped_node:
            if now >= self._restart_at:
                self.restart_stopped_node()
            return
        if not self._next_fault_at:
            self._next_fault_at = now + self._rng.uniform(*FAULT_INTERVAL_S)
        if inject and now >= self._next_fault_at and self._all_ready():
            self._inject_fault(now)

    def restart_stopped_node(self) -> None:
        """Restart the killed or stopped node, if there is one."""
        if self._stopped_node:
            self._rig.restart_node(self._stopped_node)
            self._started_at[self._stopped_node] = time.monotonic()
            self._stopped_node = ""
            self._next_fault_at = 0.0

    def _inject_fault(self, now: float) -> None:
        name = self._rng.choice(self._rig.deployment.living_nodes())
        fault = self._rng.choice((KILL, STOP))
        self.counts[fault] += 1
        if fault == KILL:
            self._rig.deployment.kill_node(name)
            self.killed_s.append(now - self._rig.start_at)
        else:
            status = self._rig.group.stop(name, timeout_s=SECONDS_PER_MINUTE)
            self.exits[f"{name}, stop {self.counts[STOP]}"] = status
        self._current_histories.pop(name, None)
        self._stopped_node = name
        self._restart_at = now + self._rng.uniform(*RESTART_DELAY_S)

    def _all_ready(self) -> bool:
        return all(map(self._rig.node_ready, self._rig.deployment.node_names))

    def _sample_nodes(self, now: float) -> None:
        for name in self._rig.deployment.living_nodes():
            if name not in self._current_histories:
                self._current_histories[name] = ProcessHistory(node=name)
                self.lives.append(self._current_histories[name])
            age = now - self._started_at[name]
            self._current_histories[name].looks.append((age, self._rig.sample(name)))


def _is_long_enough(history: ProcessHistory) -> bool:
    return bool(history.looks) and history.looks[-1][0] >= WARM_UP_S + MIN_OBSERVED_S


def _growth_faults(
    growth: Sequence[tuple[ProcessHistory, float, float]], allowed: float
) -> list[str]:
    faults = []
    for history, memory, threads in growth:
        if memory > allowed:
            faults.append(f"{history.node} grew by {memory / MEGABYTE:.1f} MB")
        if threads > MAX_NEW_THREADS:
            faults.append(f"{history.node} grew by {threads:.0f} threads")
    return faults


def main(
    minutes: Annotated[float, typer.Option(min=0.5, help="Length of the load.")] = 10.0,
    seed: Annotated[int, typer.Option(help="Determines requests and failures.")] = SEED,
    logs: Annotated[Path | None, typer.Option(help="Directory for logs.")] = None,
    output: Annotated[Path | None, typer.Option(help="JSON file to write.")] = None,
) -> None:
    """Run a soak test on a deployment of Tijera Unida's shape."""
    figures = soak(minutes=minutes, seed=seed, folder=logs)
    text = json.dumps(asdict(figures), indent=1)
    typer.echo(text)
    if output is not None:
        output.write_text(text + "\n", encoding="utf-8")
    if figures.faults:
        raise typer.Exit(code=1)


if __name__ == "__main__":
    typer.run(main)
