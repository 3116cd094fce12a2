"""Complete deployment of real processes: platform, upstreams and nodes."""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from typing import Any

from baobabwing.bench.control import answers_ok, get_json
from baobabwing.bench.executions import Executed, merge_records, read_record_file
from baobabwing.bench.ports import free_port
from baobabwing.bench.processes import LOOPBACK, ProcessGroup, wait_until
from baobabwing.bench.shapes import EngineSpec, ServiceSpec, Shape, build_configuration
from baobabwing.bench.standin_arguments import (
    engine_arguments,
    platform_arguments,
    service_arguments,
)
from baobabwing.fleet.homes import home_of
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.pools.catalogue import PoolKind, Upstream
from baobabwing.pools.partition import cell_names, cell_resource
from baobabwing.settings.publish import publish
from baobabwing.store.tables import TableClient

__all__ = ["Deployment"]

PLATFORM = "platform"
PLATFORM_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 60.0
STOP_DEADLINE_MS = 20_000
STOP_TIMEOUT_S = 40.0
# Short, so that callers refresh their addresses several times even in runs that
# last only seconds.
ADDRESS_KEEP_MS = 2_000
SECRET_BYTES = 16


class Deployment:
    """Processes of a shape, started in the order of their dependencies.

    :param group: group that starts the processes and ends them on exit.
    :param nodes: number of node processes; 0 selects that of the shape.
    """

    def __init__(
        self, *, shape: Shape, group: ProcessGroup, policy: str, nodes: int = 0
    ) -> None:
        self.shape = shape
        self.policy = policy
        self.platform = f"{LOOPBACK}:{free_port()}"
        self.upstreams: dict[str, str] = {
            spec.name: f"{LOOPBACK}:{free_port()}"
            for spec in (*shape.engines, *shape.services)
        }
        count = nodes or shape.nodes
        self.nodes: dict[str, str] = {
            f"node-{number}": f"{LOOPBACK}:{free_port()}"
            for number in range(1, count + 1)
        }
        self._group = group
        self._cfg = build_configuration(shape, self.upstreams, policy=policy)
        self._secret = secrets.token_hex(SECRET_BYTES)
        self._final_records: dict[str, list[dict[str, Any]]] = {}

    @property
    def node_names(self) -> tuple[str, ...]:
        """Names of all nodes, including those that have ended."""
        return tuple(self.nodes)

    def start(self) -> None:
        """Start all processes and wait until every node is ready.

        :raises ProcessError: if a process ends or is not ready in time.
        """
        self._start_standins()
        self._publish()
        for number, name in enumerate(self.nodes):
            self._start_node(name, zone=self._zone_of(number))
        for name, address in self.nodes.items():
            self._wait_ready(name, address, "/readyz")

    def stop(self) -> dict[str, int]:
        """Stop all running nodes gracefully and concurrently.

        :returns: exit status by node name.
        :raises ProcessError: if a node does not stop in time.
        """
        return self._group.stop_all(self.living_nodes(), timeout_s=STOP_TIMEOUT_S)

    def living_nodes(self) -> list[str]:
        """Return the names of the running nodes."""
        return [name for name in self.nodes if self._group.get(name).alive()]

    def engine_homes(self) -> list[str]:
        """Return the nodes that are the home of an engine cell.

        Computed in the same way as by nodes, for a view in which every running node
        is alive.
        """
        view = FleetView(
            members=tuple(
                Member(host=self._host(name), state=MemberState.ALIVE)
                for name in self.living_nodes()
            )
        )
        cells = [
            cell
            for pool in self._cfg.pools
            if pool.kind is PoolKind.ENGINE
            for cell in cell_names(pool, self._upstreams_of(pool.name))
        ]
        homes = [home_of(view, cell_resource(cell)) for cell in cells]
        return [home.name for home in homes if home is not None]

    def kill_node(self, name: str) -> None:
        """Kill a node."""
        self._group.kill(name)

    def kill_upstream(self, name: str) -> None:
        """Kill an upstream after saving its execution record."""
        self._final_records[name] = self._fetch_record(name)
        self._group.kill(name)

    def node_cpu_seconds(self) -> float:
        """Return the total CPU time of the running nodes so far."""
        return sum(self._group.cpu_seconds(name) for name in self.living_nodes())

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Wait until all upstreams are idle and return whether they became so."""
        return wait_until(self._is_idle, timeout_s=timeout_s, poll_s=0.2)

    def executions(self, *, epoch_s: float) -> list[Executed]:
        """Return the executions of all upstreams, including killed ones.

        :param epoch_s: wall-clock time of the start of the run.
        """
        executed: list[Executed] = []
        for name in self.upstreams:
            entries = self._final_records.get(name, [])
            if self._group.get(name).alive():
                entries = self._fetch_record(name)
            else:
                entries = [*entries, *read_record_file(self._record_path(name))]
            executed += merge_records(name, entries, epoch_s=epoch_s)
        return executed

    def _host(self, name: str) -> Host:
        return Host(
            name=name,
            incarnation=0,
            zone=self._zone_of(self.node_names.index(name)),
            region=self.shape.region,
            peer="",
            http=self.nodes[name],
        )

    def _upstreams_of(self, pool: str) -> list[Upstream]:
        return [upstream for upstream in self._cfg.upstreams if upstream.pool == pool]

    def _start_standins(self) -> None:
        self._group.start(PLATFORM, platform_arguments(self.platform))
        for spec in self.shape.engines:
            self._start_engine(spec)
        for spec in self.shape.services:
            self._start_service(spec)
        for name, address in {PLATFORM: self.platform, **self.upstreams}.items():
            self._wait_ready(name, address, "/control/parameters")

    def _start_engine(self, spec: EngineSpec) -> None:
        models = next(
            pool.models for pool in self.shape.pools if pool.name == spec.pool
        )
        arguments = engine_arguments(
            spec,
            listen=self.upstreams[spec.name],
            models=models,
            platform=f"http://{self.platform}",
            record=self._record_path(spec.name),
        )
        self._group.start(spec.name, arguments)

    def _start_service(self, spec: ServiceSpec) -> None:
        arguments = service_arguments(
            spec,
            listen=self.upstreams[spec.name],
            record=self._record_path(spec.name),
        )
        self._group.start(spec.name, arguments)

    def _publish(self) -> None:
        tables = TableClient(
            url=f"http://{self.platform}", timeout_s=PLATFORM_TIMEOUT_S
        )
        publish(tables, base=0, cfg=self._cfg)

    def _start_node(self, name: str, *, zone: str) -> None:
        settings = {
            "name": name,
            "region": self.shape.region,
            "zone": zone,
            "http": self.nodes[name],
            "peer": f"{LOOPBACK}:{free_port()}",
            "platform_url": f"http://{self.platform}",
            "peer_secrets": [self._secret],
            "log_level": "info",
            "address_keep_ms": ADDRESS_KEEP_MS,
            "stop_deadline_ms": STOP_DEADLINE_MS,
        }
        path = self._group.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self._group.start(name, ["node", "--settings", str(path)])

    def _zone_of(self, number: int) -> str:
        return self.shape.zones[number % len(self.shape.zones)]

    def _wait_ready(self, name: str, address: str, path: str) -> None:
        self._group.wait_ready(
            name, lambda: answers_ok(address, path), timeout_s=READY_TIMEOUT_S
        )

    def _is_idle(self) -> bool:
        return not any(
            item["state"] in ("waiting", "running")
            for name in self.upstreams
            if self._group.get(name).alive()
            for item in self._fetch_record(name)
        )

    def _fetch_record(self, name: str) -> list[dict[str, Any]]:
        return get_json(self.upstreams[name], "/control/record")["executions"]

    def _record_path(self, name: str) -> Path:
        return self._group.folder / f"{name}.record.jsonl"
