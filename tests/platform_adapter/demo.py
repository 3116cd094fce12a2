"""End-to-end demo with a stand-in store, stand-in workers, three nodes and callers.

``make platform-demo`` runs it. It exits with 0 only if each answer was complete
and each request ran as often as its kind allows, by the workers' own records. Its seed
decides which nodes callers use.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import random
import secrets
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path

import h11

from baobabwing.bench.ports import free_port, free_ports
from baobabwing.exceptions import ConnectionLostError, MalformedError
from baobabwing.gateway.connection import HttpConnection, open_connection
from baobabwing.standins.gateway_upstream import (
    Behaviour,
    GatewayUpstream,
    SeenRequest,
    StreamRun,
)
from baobabwing.standins.loopback_proxy import LoopbackProxy
from baobabwing_platform.dialect import HEADERS
from tests.platform_adapter.local_sockets import holds_socket, socket_inode
from tests.platform_adapter.standin_store import StandinStore

__all__ = [
    "BAD_PART",
    "CRASH",
    "DEADLINE_S",
    "KEY",
    "SPARE_SERVICE",
    "Deployment",
    "configuration",
    "main",
    "request_headers",
    "resolve",
]

_NODES = 3
_WORKERS = 3
_SPARE_WORKERS = 2
_REQUESTS = 300
_CALLERS = 12
_EVENTS = 12
_READY_TIMEOUT_S = 20.0
_HEAD_BYTES = 65_536
_HOST = "demo.example"
KEY = "demo-key"
# How long callers say that they wait.
DEADLINE_S = 8.0
# A service to which a route may be moved.
SPARE_SERVICE = "spare"
# Body of a request that crashes each worker that begins to run it.
CRASH = b"crash"
# Beginning of the name of a part of prompts that crashes each worker that begins to run
# a request with it.
BAD_PART = "bad-"
# A crashed worker is replaced after this.
_RESTART_DELAY_S = 0.3
# Delay before such a request begins to run.
_CRASH_DELAY_S = 0.03
_START_SCRIPT = Path(__file__).resolve().parents[2] / "platform/start.py"


class Deployment:
    """Stand-ins in this process, and nodes in processes of their own.

    :param nodes: how many nodes to start.
    :param folder: folder of settings files and the nodes' output.
    :param through_proxies: whether nodes reach workers and store through proxies
        that can disturb their connections.
    :param cut_streams: whether workers cut some streams by themselves.
    :param unframed: whether they frame some streams by the close of the connection.
    :param spare: whether there is a spare service.
    :param grace_s: how long a node may take to stop.
    :param ttl_s: how long callers may keep the addresses of nodes.
    :param settings: further lines of the nodes' settings files.
    :ivar crashed: number of crashes by requests with the body ``CRASH``, by target.
    :ivar crashed_at: times of the crashes by parts of prompts, by part.
    :ivar callers: addresses of the nodes for callers.
    :ivar proxies: by the name of the worker, or ``store``.
    :ivar next_version: returns the version of a worker that replaces another one, from
        that one's.
    :ivar cut_off: nodes that reach no worker through the proxies.
    """

    def __init__(
        self,
        *,
        nodes: int,
        folder: Path,
        through_proxies: bool = False,
        cut_streams: bool = True,
        unframed: bool = False,
        spare: bool = False,
        grace_s: float = 4,
        ttl_s: float = 0.3,
        settings: Iterable[str] = (),
    ) -> None:
        self.folder = folder
        self._settings = tuple(settings)
        self._spare = spare
        self._times = {"grace_s": grace_s, "ttl_s": ttl_s}
        self.store = StandinStore()
        self.workers: list[GatewayUpstream] = []
        self.crashed: Counter[str] = Counter()
        self.crashed_at: defaultdict[str, list[float]] = defaultdict(list)
        self.processes: list[asyncio.subprocess.Process] = []
        self.directories: list[str] = []
        self.callers: list[str] = []
        self.proxies: dict[str, LoopbackProxy] = {}
        self._through_proxies = through_proxies
        self.cut_off: set[int] = set()
        stream = _cut_stream if cut_streams else _whole_stream
        self._stream_behaviour = partial(stream, unframed=unframed)
        self._restarts: set[asyncio.Task[None]] = set()
        self._current: dict[str, tuple[GatewayUpstream, str]] = {}
        self._states: dict[str, str] = {}
        self._versions: dict[str, str] = {}
        self.version_by_instance: dict[str, str] = {}
        self._service_by_instance: dict[str, str] = {}
        self.next_version: Callable[[str], str] = lambda before: before
        self._writes: Counter[str] = Counter()
        self._nodes = nodes
        self._run = secrets.token_hex(3)

    async def start(self) -> None:
        """Start everything, and wait until all nodes are ready."""
        await self.store.start()
        self._store_address = await self._reachable_address("store", self.store.address)
        for number in range(_WORKERS):
            await self._add_worker(f"engine-{number}", "engines")
            await self._add_worker(f"service-{number}", "services")
        for number in range(_SPARE_WORKERS if self._spare else 0):
            await self._add_worker(f"spare-{number}", SPARE_SERVICE)
        self.store.write("op", "config", configuration(1))
        for number in range(self._nodes):
            await self._start_node(number)
        await self._wait_ready()

    async def stop(self) -> None:
        """Stop the nodes by their ids, then the stand-ins."""
        for number in range(len(self.processes)):
            self.send_signal(number, signal.SIGCONT)
            self.send_signal(number, signal.SIGTERM)
        for process in self.processes:
            await process.wait()
        for task in self._restarts:
            task.cancel()
        for proxy in self.proxies.values():
            proxy.stop()
        for worker in self.workers:
            worker.stop()
        self.store.stop()

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a node, unless it has ended.

        The process object's own method first polls whether the process has ended. That
        may take the exit status away from the event loop, which then reports 255: a
        killed node would look as if it had exited by itself.
        """
        process = self.processes[number]
        if process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal_number)

    def runs(self) -> Counter[str]:
        """Return how often each request ran, by the workers' own records."""
        total: Counter[str] = Counter()
        for worker in self.workers:
            total.update(worker.runs)
        return total

    def received_requests(self) -> list[tuple[str, str]]:
        """Return the pairs of request id and worker instance that received it."""
        return [
            (seen.request_id, worker.instance)
            for worker in self.workers
            for seen in worker.seen
        ]

    def arrivals(self) -> dict[str, list[tuple[str, float]]]:
        """Return request ids with the times of their arrivals, by service, in turn."""
        by_service: dict[str, list[tuple[str, float]]] = defaultdict(list)
        for worker in self.workers:
            by_service[self._service_by_instance[worker.instance]] += [
                (seen.request_id, seen.at) for seen in worker.seen
            ]
        return {
            service: sorted(arrived, key=lambda arrival: arrival[1])
            for service, arrived in by_service.items()
        }

    def arrivals_at(self, instance: str) -> list[tuple[str, float]]:
        """Return request ids with the times of their arrivals at a worker, in turn."""
        return [
            (seen.request_id, seen.at)
            for worker in self.workers
            if worker.instance == instance
            for seen in worker.seen
        ]

    def run_starts(self) -> list[tuple[str, float]]:
        """Return request ids with the times they began to run, ordered by time."""
        runs = [run for worker in self.workers for run in worker.began]
        return sorted(runs, key=lambda run: run[1])

    def work_times(self) -> dict[str, list[tuple[float, float]]]:
        """Return when the runs of each request began and ended."""
        times: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
        for worker in self.workers:
            for number, began_at, ended_at in worker.worked:
                times[number].append((began_at, ended_at))
        return times

    def stream_runs(self) -> list[tuple[StreamRun, str]]:
        """Return all runs of streams with their workers' versions, ordered by time."""
        runs = [
            (run, self.version_by_instance[worker.instance])
            for worker in self.workers
            for run in worker.streams
        ]
        return sorted(runs, key=lambda run: run[0].began_at)

    def worker(self, name: str) -> GatewayUpstream:
        """Return the worker that currently has a name."""
        return self._current[name][0]

    @property
    def names(self) -> list[str]:
        """Names of the workers; a replaced worker keeps its name."""
        return sorted(self._current)

    def write_row(self, name: str, *, state: str = "ready") -> None:
        """Write the row of a worker."""
        self._states[name] = state
        self.rewrite_row(name)

    def rewrite_row(self, name: str) -> None:
        """Write the row of a worker again, with an unchanged state."""
        worker, service = self._current[name]
        self._writes[worker.instance] += 1
        entry = {
            "service": service,
            "address": self._address_of(name, worker),
            "zone": "z",
            "version": self._versions[name],
            "slots": 8,
            "state": self._states[name],
            "sequence": self._writes[worker.instance],
        }
        self.store.write("servers", worker.instance, entry)

    def drop_expired_rows(self) -> None:
        """Drop rows of ended workers, as the store does after three heartbeats."""
        current = {worker.instance for worker, _ in self._current.values()}
        for key in self.store.keys("servers"):
            if key not in current:
                self.store.write("servers", key, None)

    async def replace_worker(self, name: str) -> None:
        """Stop a worker, and start another one under its name."""
        worker, service = self._current[name]
        self.store.write("servers", worker.instance, None)
        worker.stop()
        await self._add_worker(
            name, service, version=self.next_version(self._versions[name])
        )

    async def _restart(self, name: str, crashed: GatewayUpstream) -> None:
        """Replace a worker shortly after it crashed, unless that was already done."""
        await asyncio.sleep(_RESTART_DELAY_S)
        if self._current[name][0] is crashed:
            await self.replace_worker(name)

    async def start_version(
        self, service: str, version: str, behave: Callable[[SeenRequest], Behaviour]
    ) -> None:
        """Start workers of another version of a service beside the present ones.

        :param behave: how they answer.
        """
        for number in range(_WORKERS):
            name = f"{service}-{version}-{number}"
            await self._add_worker(name, service, version=version, behave=behave)

    def stop_version(self, service: str, version: str) -> None:
        """Stop all workers of a version of a service at once."""
        for name, (worker, other) in tuple(self._current.items()):
            if other == service and self._versions[name] == version:
                self.store.write("servers", worker.instance, None)
                worker.stop()
                del self._current[name]

    async def _add_worker(
        self,
        name: str,
        service: str,
        *,
        version: str = "v1",
        behave: Callable[[SeenRequest], Behaviour] | None = None,
    ) -> None:
        usual = self._stream_behaviour if service == "engines" else _plain
        default_behaviour = behave or usual
        self._versions[name] = version

        def behave(seen: SeenRequest) -> Behaviour:
            if seen.body != CRASH and not _bad_part(seen):
                return default_behaviour(seen)
            return Behaviour(delay_s=_CRASH_DELAY_S, crash=True)

        def on_crash(seen: SeenRequest) -> None:
            if part := _bad_part(seen):
                self.crashed_at[part].append(time.monotonic())
            else:
                self.crashed[seen.target] += 1
            self._restarts.add(asyncio.ensure_future(self._restart(name, worker)))

        # Runs beside each other reuse ports; names tell their workers apart.
        instance = f"{name}-{len(self.workers)}-{self._run}"
        self.version_by_instance[instance] = version
        self._service_by_instance[instance] = service
        worker = GatewayUpstream(
            instance=instance, names=HEADERS, behave=behave, on_crash=on_crash
        )
        await worker.start()
        self.workers.append(worker)
        self._current[name] = (worker, service)
        await self._reachable_address(name, worker.address)
        self.write_row(name)

    async def _reachable_address(self, name: str, target: str) -> str:
        """Return the address by which nodes reach a target."""
        if not self._through_proxies:
            return target
        cut_off = self._is_cut_off if name != "store" else lambda port: False
        proxy = LoopbackProxy(target=target, cut_off=cut_off)
        await proxy.start()
        previous = self.proxies.get(name)
        if previous is not None:
            previous.stop()
        self.proxies[name] = proxy
        return proxy.address

    def cut_off_nodes(self, numbers: Iterable[int], *, reset: bool) -> None:
        """Cut nodes off from all workers, until ``cut_off`` names them no longer.

        :param reset: whether their open connections end, too.
        """
        self.cut_off |= set(numbers)
        if reset:
            for proxy in self.proxies.values():
                proxy.reset_cut_off()

    def _is_cut_off(self, port: int) -> bool:
        """Whether a local port is that of a node that is cut off."""
        if not self.cut_off:
            return False
        inode = socket_inode(port)
        return any(
            holds_socket(self.processes[number].pid, inode) for number in self.cut_off
        )

    def _address_of(self, name: str, worker: GatewayUpstream) -> str:
        proxy = self.proxies.get(name)
        return proxy.address if proxy else worker.address

    def change_settings(self, number: int, line: str) -> None:
        """Add a line to a node's settings file."""
        file = self._settings_file(number)
        file.write_text(f"{file.read_text()}\n{line}")

    async def restart(self, number: int) -> None:
        """Start a node that has ended, with the settings it had."""
        self.change_settings(number, "bootstrap=false")
        self.processes[number] = await self._launch(number)

    async def _start_node(self, number: int) -> None:
        file = self._settings_file(number)
        text = settings_text(number, self._store_address, **self._times)
        file.write_text("\n".join([text, *self._settings]))
        fields = dict(line.split("=", 1) for line in file.read_text().splitlines())
        self.directories.append(fields["listen.directory"])
        self.callers.append(fields["listen.front"])
        self.processes.append(await self._launch(number))

    def _settings_file(self, number: int) -> Path:
        return self.folder / f"node-{number}.conf"

    async def _launch(self, number: int) -> asyncio.subprocess.Process:
        settings = str(self._settings_file(number))
        with (self.folder / f"node-{number}.log").open("ab") as output:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                str(_START_SCRIPT),
                env={**os.environ, "BAOBABWING_SETTINGS": settings},
                cwd=_START_SCRIPT.parents[1],
                stdout=output,
                stderr=output,
            )

    async def _wait_ready(self) -> None:
        until = time.monotonic() + _READY_TIMEOUT_S
        for directory in self.directories:
            while len(await resolve(directory)) < self._nodes:
                if time.monotonic() > until:
                    raise ConnectionLostError("not ready", step="start", peer=directory)
                await asyncio.sleep(0.05)


def settings_text(
    number: int, store: str, *, grace_s: float = 4, ttl_s: float = 0.3
) -> str:
    """Return a settings file as the platform writes it."""
    ports = [free_port() for _ in range(3)]
    internal = free_ports(3)
    return "\n".join(
        [
            f"node=front-z-{number}",
            "ip=127.0.0.1",
            "zone=z",
            "region=r",
            f"listen.front=127.0.0.1:{ports[0]}",
            f"listen.ready=127.0.0.1:{ports[1]}",
            f"listen.directory=127.0.0.1:{ports[2]}",
            f"internal_ports={internal},{internal + 2}",
            f"platform.address={store}",
            "bootstrap=true",
            f"bounds.grace_s={grace_s}",
            f"bounds.ttl_max_s={ttl_s}",
            "bounds.quota_slack=72000",
            "bounds.expose_share=0.1",
            "bounds.expose_slack=50",
            "",
        ]
    ).strip()


def configuration(version: int) -> dict:
    """Return a configuration as the operator writes it."""

    def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
        return {
            "name": name,
            "host": _HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeout_ms": 10_000,
            "target_latency_ms": 800,
            "gap_aim_ms": 500,
            "max_attempts": 2,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("safe", "/safe/", "safe", "services"),
            route("unsafe", "/unsafe/", "unsafe", "services", max_attempts=1),
            route("stream", "/stream/", "stream", "engines", resumable=True),
        ],
        "services": [
            {"name": "services", "health_path": "/health"},
            {
                "name": "engines",
                "health_path": "/health",
                "engine": {"slots": 8, "kv_tokens": 200_000, "stride": 1},
            },
        ],
        "tenants": [{"name": "demo", "api_keys": [KEY], "unit": "tokens"}],
    }


def request_headers(
    number: str, key: str, *, deadline_s: float = DEADLINE_S
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a caller's request."""
    return [
        (b"Host", _HOST.encode()),
        (HEADERS.request_id, number.encode()),
        (HEADERS.deadline, b"%d" % (1000 * deadline_s)),
        (HEADERS.key, key.encode()),
    ]


async def resolve(directory: str) -> list[str]:
    """Request the caller addresses from a node, as callers do."""
    target = f"/resolve?name={_HOST}&region=r&zone=z"
    try:
        conn = await open_connection(directory, timeout_s=1.0, head_bytes=_HEAD_BYTES)
        status, body = await exchange(conn, "GET", target, [(b"Host", b"d")], b"")
    except (ConnectionLostError, MalformedError):
        return []
    conn.close()
    return json.loads(body)["addresses"] if status == 200 else []


async def exchange(
    conn: HttpConnection, method: str, target: str, headers: list, body: bytes
) -> tuple[int, bytes]:
    """Send a request and read its complete answer.

    :raises ConnectionLostError: if the answer is incomplete.
    """
    length = [(b"Content-Length", b"%d" % len(body))] if method == "POST" else []
    request = h11.Request(method=method, target=target, headers=headers + length)
    await conn.send(request)
    if body:
        await conn.send(h11.Data(data=body))
    await conn.send(h11.EndOfMessage())
    status, received = 0, b""
    while True:
        event = await conn.next_event()
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            received += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, received
        else:
            raise ConnectionLostError("cut", step="answer", peer=conn.peer)


def _bad_part(seen: SeenRequest) -> str:
    """Return the part of a request's prompt that crashes workers, or nothing."""
    parts = seen.headers.get(HEADERS.prefix, b"").decode().split(",")[:-1]
    names = (part.partition(":")[0] for part in parts)
    return next((name for name in names if name.startswith(BAD_PART)), "")


def _plain(seen: SeenRequest) -> Behaviour:
    return Behaviour(delay_s=0.005)


def _cut_stream(seen: SeenRequest, *, unframed: bool) -> Behaviour:
    # Every seventh stream is cut once, to be resumed at another worker.
    fresh = HEADERS.last_event not in seen.headers
    cut = 5 if fresh and int(seen.request_id) % 7 == 0 else None
    return dataclasses.replace(_whole_stream(seen, unframed=unframed), cut_after=cut)


def _whole_stream(seen: SeenRequest, *, unframed: bool) -> Behaviour:
    by_close = unframed and int(seen.request_id) % 3 == 0
    events, gap_ms, padding = _EVENTS, 10, 0
    if "/long-" in seen.target:
        events, gap_ms, padding = map(int, seen.target.split("-")[1:])
    return Behaviour(
        events=events, gap_s=gap_ms / 1000, unframed=by_close, padding=padding
    )


def _expected(number: int, kind: str) -> bytes:
    name = b"%d" % number
    if kind != "stream":
        return b"answer to " + name
    return b"".join(
        b"id: %d\ndata: piece %d of %s\n\n" % (n, n, name)
        for n in range(1, _EVENTS + 1)
    )


async def _caller(
    deployment: Deployment,
    numbers: asyncio.Queue[int],
    errors: list[str],
    rng: random.Random,
) -> None:
    while not numbers.empty():
        number = numbers.get_nowait()
        kind = ("safe", "unsafe", "stream")[number % 3]
        addresses = await resolve(rng.choice(deployment.directories))
        if not addresses:
            numbers.put_nowait(number)
            await asyncio.sleep(0.02)
            continue
        headers = request_headers(str(number), KEY)
        try:
            conn = await open_connection(
                rng.choice(addresses), timeout_s=1.0, head_bytes=_HEAD_BYTES
            )
        except ConnectionLostError:
            numbers.put_nowait(number)
            continue
        try:
            status, body = await exchange(conn, "POST", f"/{kind}/x", headers, b"x")
        except (ConnectionLostError, MalformedError) as exc:
            errors.append(f"request {number}: {exc}")
        else:
            if status != 200 or body != _expected(number, kind):
                errors.append(f"request {number}: status {status}, {len(body)} bytes")
        conn.close()


async def _run(folder: Path, rng: random.Random) -> int:
    deployment = Deployment(nodes=_NODES, folder=folder)
    errors: list[str] = []
    began = time.monotonic()
    try:
        await deployment.start()
        numbers: asyncio.Queue[int] = asyncio.Queue()
        for number in range(_REQUESTS):
            numbers.put_nowait(number)
        callers = [
            asyncio.ensure_future(_caller(deployment, numbers, errors, rng))
            for _ in range(_CALLERS)
        ]
        while numbers.qsize() > _REQUESTS // 2:
            await asyncio.sleep(0.01)
        # A planned stop during traffic must not affect any caller.
        deployment.send_signal(0, signal.SIGTERM)
        await asyncio.gather(*callers)
    finally:
        await deployment.stop()
    runs = deployment.runs()
    for number in range(_REQUESTS):
        allowed = (2, 1, 2)[number % 3]
        if not 1 <= runs[str(number)] <= allowed:
            errors.append(f"request {number} ran {runs[str(number)]} times")
    resumed = sum(1 for number in range(2, _REQUESTS, 3) if runs[str(number)] > 1)
    elapsed_s = time.monotonic() - began
    print(
        f"{_REQUESTS} requests over {_NODES} nodes in {elapsed_s:.1f} s: "
        f"{_REQUESTS - len(errors)} whole and run as allowed, "
        f"{resumed} streams resumed"
    )
    for line in errors[:20]:
        print(line)
    return 1 if errors else 0


def main() -> None:
    """Run the demo with the seed that the first argument gives, or with 0."""
    rng = random.Random(int(sys.argv[1]) if len(sys.argv) > 1 else 0)
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(asyncio.run(_run(Path(folder), rng)))


if __name__ == "__main__":
    main()
