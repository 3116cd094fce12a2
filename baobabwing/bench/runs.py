"""Execution of a benchmark run: deployment, load, optional fault and results."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from baobabwing.bench.answers import Answer
from baobabwing.bench.arrivals import Arrival, draw_arrivals
from baobabwing.bench.deployments import Deployment
from baobabwing.bench.driver import Plan, Progress, read_answers, write_plan
from baobabwing.bench.faults import BenchFault
from baobabwing.bench.figures import Run
from baobabwing.bench.processes import ProcessError, ProcessGroup
from baobabwing.bench.scenarios import Scenario
from baobabwing.bench.shapes import Shape, get_shape

__all__ = ["Progress", "RunOptions", "RunResult", "run_scenario"]

DRIVERS = 2
LOAD_DELAY_S = 1.5
POLL_INTERVAL_S = 0.25
IDLE_TIMEOUT_S = 60.0
# A driver waits for answers until ten seconds after the longest deadline, and then
# checks all answers.
DRIVER_GRACE_S = 120.0
FAULT_BEGIN_SHARE = 1 / 3
FAULT_END_SHARE = 2 / 3


class Report(Protocol):
    """Callback that receives status lines of a run."""

    def __call__(self, line: str, *, progress: bool) -> None:
        """Report a line; progress lines may be omitted from the output."""


@dataclass(frozen=True, kw_only=True)
class RunOptions:
    """Options of a run other than its scenario.

    :param nodes: number of node processes; 0 selects that of the shape.
    :param folder: directory for logs and records; a temporary one when omitted.
    """

    policy: str
    seed: int
    seconds: float
    nodes: int = 0
    fault: BenchFault | None = None
    folder: Path | None = None


@dataclass(frozen=True, kw_only=True)
class RunResult:
    """Result of a run.

    :param exits: exit status by name of the nodes that were stopped gracefully.
    :param folder: directory of logs and records.
    """

    run: Run
    exits: dict[str, int]
    folder: Path


def run_scenario(
    scenario: Scenario, options: RunOptions, *, report: Report
) -> RunResult:
    """Start a deployment, apply the load, stop the deployment and collect the results.

    :param report: receives status lines.
    :raises ProcessError: if a process does not start, answer or stop in time.
    """
    shape = get_shape(scenario.shape)
    arrivals = draw_arrivals(
        shape, scenario.streams, seed=options.seed, seconds=options.seconds
    )
    with ProcessGroup(folder=options.folder) as group:
        deployment = Deployment(
            shape=shape, group=group, policy=options.policy, nodes=options.nodes
        )
        deployment.start()
        report(
            f"{len(deployment.nodes)} nodes and {len(deployment.upstreams)} upstreams"
            f" are ready; {len(arrivals)} requests over {options.seconds:g} s",
            progress=False,
        )
        load = _Load(group=group, deployment=deployment, arrivals=arrivals)
        load.start(options)
        load.wait_until_done(options, report)
        deployment.wait_idle(timeout_s=IDLE_TIMEOUT_S)
        executions = deployment.executions(epoch_s=load.epoch_s)
        exits = deployment.stop()
        run = Run(
            shape=shape,
            policy=options.policy,
            fault=options.fault.name if options.fault else "",
            seconds=options.seconds,
            arrivals=arrivals,
            answers=load.answers(),
            executions=executions,
            node_cpu_s=load.node_cpu_s,
        )
        return RunResult(run=run, exits=exits, folder=group.folder)


class _Load:
    """Driver processes of a run."""

    def __init__(
        self,
        *,
        group: ProcessGroup,
        deployment: Deployment,
        arrivals: Sequence[Arrival],
    ) -> None:
        self._group = group
        self._deployment = deployment
        self._arrivals = arrivals
        self._names = [f"driver-{number}" for number in range(1, DRIVERS + 1)]
        self._start_at = 0.0
        self.epoch_s = 0.0
        self.node_cpu_s = 0.0

    def start(self, options: RunOptions) -> None:
        """Start the drivers; the load begins after ``LOAD_DELAY_S``."""
        self._start_at = time.monotonic() + LOAD_DELAY_S
        self.epoch_s = time.time() + LOAD_DELAY_S
        for number, name in enumerate(self._names):
            plan = self._plan(number, options.seed)
            write_plan(self._plan_path(name), plan)
            arguments = [
                "-m",
                "baobabwing.bench.driver",
                str(self._plan_path(name)),
                str(self._answers_path(name)),
            ]
            self._group.start_python(name, arguments)

    def wait_until_done(self, options: RunOptions, report: Report) -> None:
        """Wait until all drivers have finished and inject the fault meanwhile.

        :raises ProcessError: if a driver failed or exceeded its time limit.
        """
        max_deadline_s = max(arrival.deadline_ms for arrival in self._arrivals) / 1_000
        timeout_at = self._start_at + options.seconds + max_deadline_s + DRIVER_GRACE_S
        pending_steps = self._fault_steps(options)
        cpu_before = self._deployment.node_cpu_seconds()
        while any(self._group.get(name).alive() for name in self._names):
            while pending_steps and time.monotonic() >= pending_steps[0][0]:
                _, label, action = pending_steps.pop(0)
                action(self._deployment)
                report(label, progress=False)
            if time.monotonic() > timeout_at:
                raise ProcessError("driver did not finish in time", step="load")
            report(self._progress(), progress=True)
            time.sleep(POLL_INTERVAL_S)
        self.node_cpu_s = self._deployment.node_cpu_seconds() - cpu_before
        for name in self._names:
            if self._group.get(name).popen.returncode != 0:
                log = self._group.get(name).log
                raise ProcessError(f"driver failed, see {log}", step="load", peer=name)

    def answers(self) -> list[Answer]:
        """Return the answers of all drivers, sorted by arrival."""
        collected = [
            answer
            for name in self._names
            for answer in read_answers(self._answers_path(name))
        ]
        return sorted(collected, key=lambda answer: answer.index)

    def _plan(self, number: int, seed: int) -> Plan:
        shape = self._deployment.shape
        return Plan(
            run=f"s{seed}",
            nodes=tuple(self._deployment.nodes.values()),
            start_at=self._start_at,
            seed=seed * DRIVERS + number,
            keys=_credential_keys(shape),
            arrivals=tuple(
                arrival
                for arrival in self._arrivals
                if arrival.index % DRIVERS == number
            ),
        )

    def _fault_steps(
        self, options: RunOptions
    ) -> list[tuple[float, str, Callable[[Deployment], None]]]:
        fault = options.fault
        if fault is None:
            return []
        begin_at = self._start_at + options.seconds * FAULT_BEGIN_SHARE
        pending_steps = [(begin_at, f"fault {fault.name} begins", fault.begin)]
        if fault.end is not None:
            end_at = self._start_at + options.seconds * FAULT_END_SHARE
            pending_steps.append((end_at, f"fault {fault.name} ends", fault.end))
        return pending_steps

    def _progress(self) -> str:
        progress = [
            _read_last_progress(self._group.get(name).log) for name in self._names
        ]
        sent = sum(item.sent for item in progress)
        done = sum(item.done for item in progress)
        return f"{sent}/{len(self._arrivals)} sent, {done} answered"

    def _plan_path(self, name: str) -> Path:
        return self._group.folder / f"{name}.plan.json"

    def _answers_path(self, name: str) -> Path:
        return self._group.folder / f"{name}.answers.json"


def _credential_keys(shape: Shape) -> dict[str, str]:
    return {
        f"{organisation.name}/{tier.name}": shape.credential_key(
            organisation.name, tier.name
        )
        for organisation in shape.organisations
        for tier in shape.tiers
    }


def _read_last_progress(log: Path) -> Progress:
    for line in reversed(log.read_text(encoding="utf-8").splitlines()):
        if line.startswith('{"sent"') and line.endswith("}"):
            return Progress(**json.loads(line))
    return Progress(sent=0, done=0)
