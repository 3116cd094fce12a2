"""Measures how fast nodes react to configuration changes and to failures.

It uses real node processes:


``python -m baobabwing.bench.changes --nodes 3,6,12 --output figures.json``
"""

from __future__ import annotations

import json
import re
import threading
import time
import uuid
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import asdict, dataclass, replace
from datetime import datetime
from pathlib import Path
from statistics import median
from typing import Annotated

import typer

from baobabwing.bench.control import answers_ok
from baobabwing.bench.deployments import PLATFORM
from baobabwing.bench.matrix.caller import Caller, Ending, Job, Transcript
from baobabwing.bench.matrix.site import Site, trial_shape
from baobabwing.bench.processes import ProcessError, ProcessGroup, wait_until
from baobabwing.brands.operators import Operator, Role, token_digest
from baobabwing.cli.node_client import hand_over
from baobabwing.exceptions import BaobabwingError
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.plans import confirm, plan
from baobabwing.store.tables import TableClient

__all__ = ["Figures", "PropagationTimes", "main", "measure"]

CONVERGENCE_TIMEOUT_S = 15.0
READY_S = 120.0
FIRST_NODE_TIMEOUT_S = 3.0
TABLES_TIMEOUT_S = 5.0
POOL = "assistant"
CALLERS = 4
DRAIN_OBSERVATION_S = 4.0
TRIALS = 5
DEATHS = 3
DRAINS = 3
WORKER_THREADS = 8
CONNECTIONS = 64
_TOKEN = "bench-operator"
_AUTHOR = "bench"
_APPLIED = "configuration_applied"
_SERVING_MEMBERS = re.compile(r"^baobabwing_serving_members (\S+)$", re.MULTILINE)


@dataclass(frozen=True, kw_only=True)
class PropagationTimes:
    """Seconds from accepting a change until nodes applied it, over several trials.

    :param half_s: maximum over the trials of the time until half of the nodes
        applied it.
    :param all_s: maximum over the trials of the time until all nodes applied it.
    :param all_median_s: median over the trials of the time until all nodes
        applied it.
    :param nowhere: trials in which no node applied it within 3 s; the other figures
        exclude them.
    """

    tries: int
    half_s: float
    all_s: float
    all_median_s: float
    nowhere: int


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Figures of one fleet size.

    :param calm: with the platform available.
    :param stopped: with the platform frozen immediately after accepting.
    :param handed_over: as ``stopped``, with the version handed over to one node.
    :param home_s: seconds from killing the home of a cell until the end of the first
        answer to a request that was sent afterwards.
    :param drain_s: seconds from confirming a drain until the last dispatch to the
        drained engine; 0 if nothing was dispatched after the confirmation.
    """

    nodes: int
    calm: PropagationTimes
    stopped: PropagationTimes
    handed_over: PropagationTimes
    home_s: tuple[float, ...]
    drain_s: tuple[float, ...]


class _Fleet(Site):
    """Site of many small nodes that reports when each node applied a version."""

    def __init__(self, *, group: ProcessGroup, nodes: int) -> None:
        super().__init__(group=group, shape=replace(trial_shape(), nodes=nodes))

    def tables(self) -> TableClient:
        return TableClient(url=f"http://{self.platform}", timeout_s=TABLES_TIMEOUT_S)

    def applied_at(self, node: str, version: int) -> float | None:
        """Return when a node logged that it applied a version or a higher one."""
        for line in self.group.get(node).log.read_text().splitlines():
            with suppress(ValueError, KeyError):
                entry = json.loads(line)
                if entry["event"] == _APPLIED and entry["version"] >= version:
                    return datetime.fromisoformat(entry["timestamp"]).timestamp()
        return None

    def applied_times(self, version: int) -> list[float]:
        found = (self.applied_at(node, version) for node in self.nodes)
        return [at for at in found if at is not None]

    def is_whole(self) -> bool:
        """Return whether every node is ready and counts all nodes as serving.

        The metric is used because address answers list only some nodes of a large
        fleet.
        """
        counts = (self._gauge(name, _SERVING_MEMBERS) for name in self.nodes)
        ready = (answers_ok(address, "/readyz") for address in self.nodes.values())
        return all(count == len(self.nodes) for count in counts) and all(ready)

    def wait_until_complete(self) -> None:
        if not wait_until(self.is_whole, timeout_s=READY_S, poll_s=1.0):
            raise ProcessError("not all nodes became ready in time", step="wait")

    def _start_node(self, name: str, *, zone: str) -> None:
        super()._start_node(name, zone=zone)
        self.group.kill(name)
        path = self.group.folder / f"{name}.json"
        settings = json.loads(path.read_text(encoding="utf-8"))
        settings["limits"] = {
            "worker_threads": WORKER_THREADS,
            "connections": CONNECTIONS,
        }
        # Use the default timing of the membership protocol.
        del settings["membership"]
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.restart_node(name)


class _Load:
    """Callers that send short chat turns to the given nodes in a closed loop."""

    def __init__(self, fleet: _Fleet, nodes: list[str]) -> None:
        self._fleet = fleet
        self._stopped = threading.Event()
        self._key = fleet.shape.credential_key("pocitos", "chat")
        self.transcripts: list[Transcript] = []
        self._threads = [
            threading.Thread(target=self._run, args=(nodes[i % len(nodes)],))
            for i in range(CALLERS)
        ]

    def __enter__(self) -> _Load:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def first_answer_after(self, at: float) -> float | None:
        """Return the earliest end of an answer to a request sent after a time."""
        ends = [
            item.ended_s
            for item in tuple(self.transcripts)
            if item.ending is Ending.WHOLE and item.sent_s > at
        ]
        return min(ends, default=None)

    def _run(self, node: str) -> None:
        caller = Caller(credential=self._key)
        while not self._stopped.is_set():
            job = Job(text=f"a cut at noon {uuid.uuid4().hex}", tokens=1)
            self.transcripts.append(caller.begin(job, self._fleet.address(node)).wait())


def measure(nodes: int) -> Figures:
    """Measure a fleet of the given size and stop all its processes afterwards."""
    with ProcessGroup() as group:
        fleet = _Fleet(group=group, nodes=nodes)
        fleet.start()
        fleet.wait_until_complete()
        operator = Operator(name=_AUTHOR, sha256=token_digest(_TOKEN), role=Role.ADMIN)
        fleet.change(lambda cfg: replace(cfg, operators=(operator,)))
        return Figures(
            nodes=nodes,
            calm=_measure_propagation(fleet, _change),
            stopped=_measure_propagation(fleet, _change_and_freeze_platform),
            handed_over=_measure_propagation(fleet, _change_freeze_and_hand_over),
            home_s=tuple(_measure_death(fleet) for _ in range(DEATHS)),
            drain_s=tuple(_measure_drain(fleet) for _ in range(DRAINS)),
        )


def _measure_propagation(
    fleet: _Fleet, change: Callable[[_Fleet], tuple[Configuration, float]]
) -> PropagationTimes:
    half_times, all_times, nowhere = [], [], 0
    for trial in range(TRIALS):
        # Nodes of small fleets poll the store about once a second. The delay varies
        # so that trials start at different points of the poll interval.
        time.sleep(0.3 + 0.17 * trial)
        cfg, accepted = change(fleet)
        applied_somewhere = wait_until(
            lambda cfg=cfg: fleet.applied_times(cfg.version),
            timeout_s=FIRST_NODE_TIMEOUT_S,
        )
        nowhere += not applied_somewhere
        if applied_somewhere:
            after = sorted(at - accepted for at in _wait_until_applied(fleet, cfg))
            half_times.append(after[(len(after) - 1) // 2])
            all_times.append(after[-1])
        fleet.group.thaw(PLATFORM)
        _wait_until_applied(fleet, cfg)
    return PropagationTimes(
        tries=TRIALS,
        half_s=round(max(half_times, default=-1.0), 3),
        all_s=round(max(all_times, default=-1.0), 3),
        all_median_s=round(median(all_times), 3) if all_times else -1.0,
        nowhere=nowhere,
    )


def _wait_until_applied(fleet: _Fleet, cfg: Configuration) -> list[float]:
    def applied_everywhere() -> bool:
        return len(fleet.applied_times(cfg.version)) == len(fleet.nodes)

    if not wait_until(applied_everywhere, timeout_s=CONVERGENCE_TIMEOUT_S, poll_s=0.2):
        raise ProcessError("not applied by all nodes", step=f"version {cfg.version}")
    return fleet.applied_times(cfg.version)


def _change(fleet: _Fleet) -> tuple[Configuration, float]:
    cfg = fleet.change(lambda cfg: cfg)
    return cfg, time.time()


def _change_and_freeze_platform(fleet: _Fleet) -> tuple[Configuration, float]:
    cfg, accepted = _change(fleet)
    fleet.group.freeze(PLATFORM)
    return cfg, accepted


def _change_freeze_and_hand_over(fleet: _Fleet) -> tuple[Configuration, float]:
    cfg, accepted = _change_and_freeze_platform(fleet)
    hand_over(fleet.nodes["node-1"], _TOKEN, cfg)
    return cfg, accepted


def _measure_death(fleet: _Fleet) -> float:
    home, *others = fleet.homes(POOL)
    with _Load(fleet, others) as load:
        if not wait_until(
            lambda: len(load.transcripts) > 2 * CALLERS, timeout_s=CONVERGENCE_TIMEOUT_S
        ):
            raise ProcessError("no answers", step="load")
        fleet.kill(home)
        killed = time.time()
        wait_until(
            lambda: load.first_answer_after(killed) is not None,
            timeout_s=CONVERGENCE_TIMEOUT_S,
        )
        answered = load.first_answer_after(killed)
    fleet.restart_node(home)
    fleet.wait_until_complete()
    if answered is None:
        raise ProcessError("no answer from a new home", step="death", peer=home)
    return round(answered - killed, 3)


def _measure_drain(fleet: _Fleet) -> float:
    engine = fleet.shape.engines[0].name
    before = fleet.accepted()
    with _Load(fleet, list(fleet.nodes)) as load, _restore_upstreams(fleet, before):
        if not wait_until(
            lambda: len(load.transcripts) > 2 * CALLERS, timeout_s=CONVERGENCE_TIMEOUT_S
        ):
            raise ProcessError("no answers", step="load")
        drain_plan = plan(
            fleet.tables(),
            intent="drain-upstream",
            arguments={"upstream": engine},
            author=_AUTHOR,
        )
        confirm(fleet.tables(), drain_plan.id, author=_AUTHOR)
        confirmed = time.time()
        time.sleep(DRAIN_OBSERVATION_S)
        starts = [item["started_at"] for item in fleet.record(engine)]
    after = [at - confirmed for at in starts if at is not None and at > confirmed]
    return round(max(after, default=0.0), 3)


@contextmanager
def _restore_upstreams(fleet: _Fleet, before: Configuration) -> Iterator[None]:
    yield
    cfg = fleet.change(lambda cfg: replace(cfg, upstreams=before.upstreams))
    _wait_until_applied(fleet, cfg)


def _run_all(sizes: Iterable[int]) -> Iterator[Figures]:
    for nodes in sizes:
        try:
            yield measure(nodes)
        except BaobabwingError as exc:
            typer.echo(f"{nodes} nodes failed: {exc}", err=True)


def main(
    nodes: Annotated[
        str, typer.Option(help="Fleet sizes, separated by commas.")
    ] = "3,6,12",
    output: Annotated[Path | None, typer.Option(help="JSON file to write.")] = None,
) -> None:
    """Measure fleets of several sizes in sequence."""
    found = []
    for figures in _run_all(int(size) for size in nodes.split(",")):
        found.append(asdict(figures))
        typer.echo(json.dumps(found[-1]))
        if output:
            output.write_text(json.dumps(found, indent=2), encoding="utf-8")


if __name__ == "__main__":
    typer.run(main)
