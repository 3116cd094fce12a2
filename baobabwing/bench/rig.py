"""Deployment under load whose processes can be sampled, killed and restarted."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from baobabwing.bench.answers import Answer
from baobabwing.bench.arrivals import Arrival
from baobabwing.bench.control import answers_ok
from baobabwing.bench.deployments import Deployment
from baobabwing.bench.driver import Plan, read_answers, write_plan
from baobabwing.bench.processes import ProcessError, ProcessGroup
from baobabwing.bench.shapes import Shape

__all__ = ["ProcessSample", "Rig"]

DRIVERS = 2
LOAD_DELAY_S = 1.5
DRIVER_GRACE_S = 150.0
BYTES_PER_KIB = 1024
NODE_COMMAND = "node"


@dataclass(frozen=True, kw_only=True)
class ProcessSample:
    """Resource usage of a process at one point in time."""

    resident_bytes: int
    threads: int


class Rig:
    """Deployment and the drivers that put load on it.

    :param group: group that starts the processes.
    """

    def __init__(
        self,
        *,
        shape: Shape,
        group: ProcessGroup,
        nodes: int,
        arrivals: Sequence[Arrival],
        seed: int,
    ) -> None:
        self.group = group
        self.deployment = Deployment(
            shape=shape, group=group, policy="baobabwing", nodes=nodes
        )
        self.arrivals = arrivals
        self.start_at = 0.0
        self.epoch_s = 0.0
        self._seed = seed
        self._drivers = [f"driver-{number}" for number in range(DRIVERS)]

    def start_load(self) -> None:
        """Start the drivers; the load begins after ``LOAD_DELAY_S``."""
        self.start_at = time.monotonic() + LOAD_DELAY_S
        self.epoch_s = time.time() + LOAD_DELAY_S
        for number, name in enumerate(self._drivers):
            write_plan(self._file_path(name, "plan"), self._plan(number))
            paths = [str(self._file_path(name, kind)) for kind in ("plan", "answers")]
            self.group.start_python(name, ["-m", "baobabwing.bench.driver", *paths])

    def is_loading(self) -> bool:
        """Return whether a driver is still running.

        :raises ProcessError: if a driver failed or exceeded its time limit.
        """
        ends_at = self.start_at + self.arrivals[-1].at_s + DRIVER_GRACE_S
        if time.monotonic() > ends_at:
            raise ProcessError("driver did not finish in time", step="load")
        for name in self._drivers:
            if self.group.get(name).popen.poll():
                raise ProcessError("driver failed", step="load", peer=name)
        return any(self.group.get(name).alive() for name in self._drivers)

    def answers(self) -> list[Answer]:
        """Return the answers of all drivers, sorted by arrival."""
        collected = [
            answer
            for name in self._drivers
            for answer in read_answers(self._file_path(name, "answers"))
        ]
        return sorted(collected, key=lambda answer: answer.index)

    def restart_node(self, name: str) -> None:
        """Start a node again with its previous settings."""
        path = self.group.folder / f"{name}.json"
        self.group.start(name, [NODE_COMMAND, "--settings", str(path)])

    def node_ready(self, name: str) -> bool:
        """Return whether a node is running and ready."""
        if not self.group.get(name).alive():
            return False
        return answers_ok(self.deployment.nodes[name], "/readyz")

    def sample(self, name: str) -> ProcessSample:
        """Return the current memory usage and thread count of a running node."""
        path = Path(f"/proc/{self.group.get(name).pid}/status")
        lines = path.read_text(encoding="ascii").splitlines()
        values = dict(line.split(":", 1) for line in lines if ":" in line)
        return ProcessSample(
            resident_bytes=int(values["VmRSS"].split()[0]) * BYTES_PER_KIB,
            threads=int(values["Threads"]),
        )

    def _plan(self, number: int) -> Plan:
        shape = self.deployment.shape
        keys = {
            f"{organisation.name}/{tier.name}": shape.credential_key(
                organisation.name, tier.name
            )
            for organisation in shape.organisations
            for tier in shape.tiers
        }
        return Plan(
            run=f"rig{self._seed}",
            nodes=tuple(self.deployment.nodes.values()),
            start_at=self.start_at,
            seed=self._seed * DRIVERS + number,
            keys=keys,
            arrivals=tuple(
                arrival
                for arrival in self.arrivals
                if arrival.index % DRIVERS == number
            ),
        )

    def _file_path(self, name: str, kind: str) -> Path:
        return self.group.folder / f"{name}.{kind}.json"
