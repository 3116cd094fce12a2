"""Small deployment of real processes that supports fault injection and recovery."""

from __future__ import annotations

import http.client
import json
import re
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from baobabwing.bench.control import answers_ok, clear_faults, get_json
from baobabwing.bench.deployments import PLATFORM, Deployment
from baobabwing.bench.executions import Executed, merge_records, read_record_file
from baobabwing.bench.processes import LOOPBACK, ProcessError, ProcessGroup, wait_until
from baobabwing.bench.shapes import EngineSpec, ServiceSpec, Shape, get_shape
from baobabwing.bench.standin_arguments import platform_arguments
from baobabwing.brands.catalogue import Tier
from baobabwing.fleet.homes import home_ranking
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.pools.partition import cell_resource
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.publish import publish
from baobabwing.standins.engine.parameters import EngineParameters
from baobabwing.standins.service import ServiceParameters
from baobabwing.store.tables import TableClient

__all__ = ["BOOKING", "CHAT_MODEL", "ENGINES", "SERVICES", "Site", "trial_shape"]

CHAT_MODEL = "assistant-8b"
BOOKING = "booking"
ENGINES = ("engine-1", "engine-2", "engine-3")
SERVICES = ("service-1", "service-2")
HEAL_TIMEOUT_S = 30.0
# Faster than the default, so that failures are detected early, but slow enough for a
# busy host.
_MEMBERSHIP = {"probe_interval_ms": 250, "probe_timeout_ms": 120, "suspicion_ms": 800}
TABLES_TIMEOUT_S = 5.0
# Sufficient for the tests; hundreds of threads per node overload a busy host.
WORKER_THREADS = 64
LOG_TAIL_CHARACTERS = 500
_VERSION = re.compile(r"^baobabwing_configuration_version (\S+)$", re.MULTILINE)
_OPEN_REQUESTS = re.compile(r"^baobabwing_open_requests (\S+)$", re.MULTILINE)


def trial_shape(*, step_ms: float = 10.0, capacity: int = 4) -> Shape:
    """Return a shape of three engines, two services and three nodes in three zones.

    :param capacity: maximum number of concurrent requests per engine.
    """
    full = get_shape("tijera")
    engine = EngineParameters(
        step_ms=step_ms,
        step_ms_per_sequence=0.1,
        prefill_tokens_per_s=20_000.0,
        max_batch=capacity,
        cache_tokens=20_480,
    )
    service = ServiceParameters(service_ms=20.0)
    return replace(
        full,
        name="trial",
        nodes=3,
        tiers=(
            _tier("chat", 0),
            _tier("notes", 1),
        ),
        organisations=full.organisations[:2],
        engines=tuple(
            EngineSpec(
                name=name, pool="assistant", zone=zone, generation="g1", engine=engine
            )
            for name, zone in zip(ENGINES, full.zones, strict=False)
        ),
        services=tuple(
            ServiceSpec(name=name, pool=BOOKING, zone=zone, service=service)
            for name, zone in zip(SERVICES, full.zones, strict=False)
        ),
    )


class Site(Deployment):
    """Deployment for fault injection.

    :param group: group that starts the processes and ends them on exit.
    """

    def __init__(self, *, group: ProcessGroup, shape: Shape | None = None) -> None:
        super().__init__(shape=shape or trial_shape(), group=group, policy="baobabwing")
        self.group = group
        self._stopping: set[str] = set()
        self._latest_version = 0

    def address(self, name: str) -> str:
        """Return the address of a node, an upstream or the platform."""
        if name == PLATFORM:
            return self.platform
        return self.nodes.get(name) or self.upstreams[name]

    def kill(self, name: str) -> None:
        """Kill a process."""
        if name in self.upstreams:
            self.kill_upstream(name)
        else:
            self.group.kill(name)

    def homes(self, pool: str) -> tuple[str, ...]:
        """Return the running nodes in the order of the home ranking of a cell."""
        members = tuple(
            Member(host=_host(name), state=MemberState.ALIVE)
            for name in self.living_nodes()
        )
        hosts = home_ranking(FleetView(members=members), cell_resource(f"{pool}/0"))
        return tuple(host.name for host in hosts)

    def open_requests(self, node: str) -> int:
        """Return the number of open requests that a node reports."""
        return int(self._gauge(node, _OPEN_REQUESTS))

    def members(self, node: str) -> dict[str, str]:
        """Return the incarnations of the nodes that a node announces to callers."""
        try:
            addresses = get_json(self.nodes[node], "/v1/addresses")["addresses"]
        except ProcessError:
            return {}
        return {one["name"]: one["key_prefix"].split(".")[2] for one in addresses}

    def stop_node(self, name: str) -> None:
        """Start a graceful stop of a node without waiting for it."""
        self._stopping.add(name)
        self.group.get(name).popen.terminate()

    def record(self, upstream: str) -> list[dict[str, Any]]:
        """Return the execution record of an upstream."""
        return get_json(self.upstreams[upstream], "/control/record")["executions"]

    def fault(
        self,
        name: str,
        fault: str,
        *,
        value: object = None,
        count: int | None = None,
        for_ms: float | None = None,
        names: tuple[str, ...] = (),
    ) -> None:
        """Activate a fault of a stand-in.

        :raises ProcessError: if the stand-in rejects it.
        """
        document = {"fault": fault, "value": value, "count": count, "names": names}
        if for_ms is not None:
            document["for_ms"] = for_ms
        conn = http.client.HTTPConnection(self.address(name), timeout=5.0)
        try:
            conn.request("POST", "/control/faults", body=json.dumps(document))
            status = conn.getresponse().status
        finally:
            conn.close()
        if status != HTTPStatus.NO_CONTENT:
            raise ProcessError(
                f"setting fault {fault} returned status {status}",
                step="fault",
                peer=name,
            )

    def executions(self, *, epoch_s: float) -> list[Executed]:
        """Return all executions of all upstreams from their record files.

        Several executions of one attempt are not merged, so that violations of "at
        most once" can be detected.
        """
        found: list[Executed] = []
        for name in self.upstreams:
            runs: dict[tuple[str, float], list[dict[str, Any]]] = defaultdict(list)
            for item in read_record_file(self._record_path(name)):
                runs[item["attempt"], item["started_at"]].append(item)
            for documents in runs.values():
                found += merge_records(name, documents, epoch_s=epoch_s)
        return found

    def heal(self) -> None:
        """Revert all faults and wait until all nodes have joined the fleet.

        :raises ProcessError: if a process does not recover in time.
        """
        for name in self.group.names():
            if self.group.get(name).alive():
                self.group.thaw(name)
        self._latest_version = max(self.version(name) for name in self.nodes)
        while self._stopping:
            self.group.get(self._stopping.pop()).popen.wait(HEAL_TIMEOUT_S)
        for name in self._ended_processes():
            self.restart(name)
        for name in (PLATFORM, *self.upstreams):
            clear_faults(self.address(name))
        if not wait_until(self.is_whole, timeout_s=HEAL_TIMEOUT_S, poll_s=0.05):
            raise ProcessError(
                f"fleet not complete: {self._describe_state()}", step="heal"
            )

    def version(self, node: str) -> int:
        """Return the configuration version that a node has applied."""
        return int(self._gauge(node, _VERSION))

    def accepted(self) -> Configuration:
        """Return the configuration stored by the platform."""
        return fetch_configuration(self._tables())

    def change(
        self, edit: Callable[[Configuration], Configuration], *, author: str = "bench"
    ) -> Configuration:
        """Publish an operator's change of the accepted configuration.

        :raises ConflictError: if another change was accepted in the meantime.
        :raises PlatformError: if the platform rejects the change, or if the outcome is
            unknown.
        """
        base = self.accepted()
        changed = replace(edit(base), author=author, attempt="")
        return publish(self._tables(), base=base.version, cfg=changed)

    def _tables(self) -> TableClient:
        return TableClient(url=f"http://{self.platform}", timeout_s=TABLES_TIMEOUT_S)

    def _describe_state(self) -> str:
        """Describe the state of the fleet for the error message of a failed test."""
        log_tails = {
            name: self.group.get(name).log.read_text()[-LOG_TAIL_CHARACTERS:]
            for name in self._ended_processes()
        }
        views = {name: sorted(self.members(name)) for name in self.nodes}
        return f"members {views}, ended {log_tails}"

    def restart_node(self, name: str) -> None:
        """Restart a node that has ended, as a new incarnation."""
        settings = self.group.folder / f"{name}.json"
        self.group.start(name, ["node", "--settings", str(settings)])

    def restart(self, name: str) -> None:
        """Restart a process that has ended and wait until it responds."""
        if name in self.nodes:
            self.restart_node(name)
        elif name == PLATFORM:
            self.group.start(PLATFORM, platform_arguments(self.platform))
            self._wait_ready(PLATFORM, self.platform, "/control/parameters")
            self._publish()
            while self.accepted().version < self._latest_version:
                self.change(lambda cfg: cfg)
        else:
            specs = {one.name: one for one in self.shape.engines}
            if name in specs:
                self._start_engine(specs[name])
            else:
                services = {one.name: one for one in self.shape.services}
                self._start_service(services[name])
            self._wait_ready(name, self.upstreams[name], "/control/parameters")

    def _ended_processes(self) -> list[str]:
        return [name for name in self.group.names() if not self.group.get(name).alive()]

    def is_whole(self) -> bool:
        """Return whether every node is ready and has the same, complete fleet view."""
        views = [self.members(name) for name in self.nodes]
        ready = all(answers_ok(address, "/readyz") for address in self.nodes.values())
        # Equal views imply that each incarnation is that of the running process.
        views_agree = all(view == views[0] for view in views)
        return ready and views_agree and len(views[0]) == len(self.nodes)

    def _gauge(self, node: str, pattern: re.Pattern[str]) -> float:
        conn = http.client.HTTPConnection(self.nodes[node], timeout=2.0)
        try:
            conn.request("GET", "/metrics")
            text = conn.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            return -1.0
        finally:
            conn.close()
        found = pattern.search(text)
        return float(found[1]) if found else -1.0

    def _start_node(self, name: str, *, zone: str) -> None:
        super()._start_node(name, zone=zone)
        self.group.kill(name)
        path = self.group.folder / f"{name}.json"
        settings = json.loads(path.read_text(encoding="utf-8"))
        settings["membership"] = _MEMBERSHIP
        settings["limits"] = {"worker_threads": WORKER_THREADS}
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.restart_node(name)


def _tier(name: str, rank: int) -> Tier:
    return Tier(
        name=name,
        rank=rank,
        first_token_ms=2_000,
        between_tokens_ms=100,
        deadline_ms=10_000,
        objective=0.99,
    )


def _host(name: str) -> Host:
    return Host(
        name=name,
        incarnation=0,
        zone="",
        region="",
        peer=f"{LOOPBACK}:0",
        http=f"{LOOPBACK}:0",
    )
