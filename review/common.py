"""A small deployment for the cases: nodes as processes, stand-ins in this one."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import h11

from baobabwing.bench.ports import free_port, free_ports
from baobabwing.exceptions import ConnectionLostError, MalformedError
from baobabwing.gateway.connection import open_connection
from baobabwing_platform.dialect import HEADERS
from review.worker import Run, Worker
from tests.platform_adapter.standin_store import StandinStore

__all__ = ["HOST", "KEY", "Deployment", "Record", "ask", "route", "run_case"]

ROOT = Path(__file__).resolve().parents[1]
HOST = "demo.example"
KEY = "demo-key"
_READY_TIMEOUT_S = 30.0
_HEAD_BYTES = 65_536


class Record:
    """Lines of ``record.txt``, with the time since the start.

    :param file: where they go.
    """

    def __init__(self, *, file: Path) -> None:
        self._file = file.open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Add a line."""
        print(f"{time.monotonic() - self._began:8.3f} {text}", file=self._file)
        self._file.flush()


def route(name: str, kind: str, service: str, **more) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 8000,
        "target_latency_ms": 800,
        "gap_aim_ms": 500,
        "max_attempts": 2,
        "priority": 0,
        **more,
    }


class Deployment:
    """Nodes by the command of the deploy file, a store, and workers.

    :param folder: folder of the settings files and the nodes' output.
    :param nodes: number of nodes.
    :param routes: routes of the configuration.
    :param services: services of the configuration.
    :param store_proxy: given the store's address, returns the one that a node is told.
    """

    def __init__(
        self,
        *,
        folder: Path,
        nodes: int,
        routes: list[dict],
        services: list[dict],
        tenants: list[dict] | None = None,
        store_proxy: Callable[[str], Awaitable[str]] | None = None,
    ) -> None:
        self.store = StandinStore()
        self.processes: list[asyncio.subprocess.Process] = []
        self.callers: list[str] = []
        self.workers: dict[str, Worker] = {}
        self._ready: list[str] = []
        self._nodes = nodes
        self._folder = folder
        self._store_proxy = store_proxy
        self.configuration = {
            "version": 1,
            "routes": routes,
            "services": services,
            "tenants": tenants or [{"name": "demo", "api_keys": [KEY]}],
        }

    async def start_store(self) -> None:
        """Start the store, with the first configuration."""
        await self.store.start()
        self.store.write("op", "config", self.configuration)

    async def add_worker(
        self,
        name: str,
        service: str,
        work: Callable[[Run], Awaitable[bytes]],
        slots: int = 8,
        address: Callable[[str], Awaitable[str]] | None = None,
    ) -> Worker:
        """Start a worker and have it register.

        :param address: given the worker's address, returns the one it registers.
        """
        worker = Worker(name=name, work=work)
        await worker.start()
        self.workers[name] = worker
        row = {
            "service": service,
            "address": await address(worker.address) if address else worker.address,
            "zone": "z",
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        self.store.write("servers", name, row)
        return worker

    async def start_nodes(self) -> None:
        """Start the nodes, and wait until all of them are ready."""
        for number in range(self._nodes):
            store = self.store.address
            if self._store_proxy is not None:
                store = await self._store_proxy(store)
            (self._folder / f"node-{number}.conf").write_text(
                self._settings(number, store)
            )
            self.processes.append(await self.launch(number))
        until = time.monotonic() + _READY_TIMEOUT_S
        for address in self._ready:
            while not await _is_ready(address):
                if time.monotonic() > until:
                    raise ConnectionLostError("not ready", step="start", peer=address)
                await asyncio.sleep(0.05)

    async def launch(self, number: int) -> asyncio.subprocess.Process:
        """Start the process of a node."""
        with (self._folder / f"node-{number}.log").open("ab") as output:
            return await asyncio.create_subprocess_exec(
                "python3",
                "platform/start.py",
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BAOBABWING_SETTINGS": str(self._folder / f"node-{number}.conf"),
                },
                cwd=ROOT,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a node."""
        process = self.processes[number]
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal_number)

    async def stop(self) -> None:
        """End all processes by their ids, and the stand-ins."""
        for number, process in enumerate(self.processes):
            self.send_signal(number, signal.SIGCONT)
            self.send_signal(number, signal.SIGKILL)
            await process.wait()
        for worker in self.workers.values():
            worker.stop()
        self.store.stop()

    def _settings(self, number: int, store: str) -> str:
        front, ready, directory, control = (free_port() for _ in range(4))
        internal = free_ports(3)
        self.callers.append(f"127.0.0.1:{front}")
        self._ready.append(f"127.0.0.1:{ready}")
        return "\n".join(
            [
                f"node=front-z-{number}",
                "role=node",
                "machine_class=front",
                "serves=front,directory",
                "ip=127.0.0.1",
                "zone=z",
                "region=r",
                "zones.z=r",
                f"listen.front=127.0.0.1:{front}",
                f"listen.ready=127.0.0.1:{ready}",
                f"listen.control=127.0.0.1:{control}",
                f"listen.directory=127.0.0.1:{directory}",
                f"internal_ports={internal},{internal + 2}",
                "bootstrap=true",
                "limits.cpu_share=0.537",
                "limits.cores=2",
                "limits.memory_mb=150",
                "limits.max_fds=4200",
                "discovery=platform",
                "entry=directory",
                "heartbeat_ms=1200",
                "bounds.seed_lag_s=3",
                "bounds.reuse_after_s=2",
                "bounds.stable_window_ms=3000",
                "bounds.ack_ms=4000",
                "bounds.catch_up_s=4",
                "bounds.drain_ms=2000",
                "bounds.grace_s=8",
                "bounds.lost_ms=200",
                "bounds.config_ms=2000",
                "bounds.rollback_slack_ms=250",
                "bounds.outer_ms=5000",
                "bounds.retry_budget_ratio=0.2",
                "bounds.budget_window_s=10",
                "bounds.budget_slack=52",
                "bounds.quota_window_s=8",
                "bounds.quota_over=0.1",
                "bounds.quota_slack=72000",
                "bounds.recover_s=12",
                "bounds.pass_ms=120",
                "bounds.again_s=6.1",
                "bounds.ttl_max_s=5",
                f"platform.address={store}",
                "platform.form=table",
                "platform.writes_per_s=400",
                "platform.reads_per_s=2000",
                "platform.row_bytes=65536",
                "platform.history_s=20",
                "",
            ]
        )


async def _is_ready(address: str) -> bool:
    try:
        conn = await open_connection(address, timeout_s=1.0, head_bytes=_HEAD_BYTES)
        await conn.send(
            h11.Request(method="GET", target="/ready", headers=[(b"Host", b"r")])
        )
        await conn.send(h11.EndOfMessage())
        event = await conn.next_event()
        conn.close()
    except (ConnectionLostError, MalformedError):
        return False
    return isinstance(event, h11.Response) and event.status_code == 200


async def ask(
    address: str,
    request_id: str,
    target: str,
    body: bytes,
    *,
    deadline_ms: int = 8000,
    more: tuple[tuple[bytes, bytes], ...] = (),
) -> tuple[int, bytes]:
    """Send a request as a client does on a new connection, and read its answer.

    The connection is closed in any case, also if this is cancelled.

    :raises ConnectionLostError: if the connection ends before the whole answer.
    """
    conn = await open_connection(address, timeout_s=1.0, head_bytes=_HEAD_BYTES)
    try:
        headers = [
            (b"Host", HOST.encode()),
            (HEADERS.request_id, request_id.encode()),
            (HEADERS.deadline, b"%d" % deadline_ms),
            (HEADERS.key, KEY.encode()),
            (b"Content-Length", b"%d" % len(body)),
            *more,
        ]
        head = h11.Request(method="POST", target=target, headers=headers)
        data = conn.http.send(head)
        if body:
            data += conn.http.send(h11.Data(data=body))
        data += conn.http.send(h11.EndOfMessage())
        await conn.write(data)
        status, received = 0, b""
        while not isinstance(event := await conn.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                received += bytes(event.data)
            else:
                raise ConnectionLostError("cut", step="answer", peer=address)
        return status, received
    finally:
        conn.close()


def run_case(
    play: Callable[[Path, Record, bool], Awaitable[bool]], case: Path, limit_s: float
) -> None:
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, else 2.

    :param play: gets a temporary folder, the record, and whether the disruption is
        to happen; returns whether the rule held.
    :param case: the folder of the case.
    :param limit_s: longest time that it may take.
    """
    record = Record(file=case / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited(folder: Path) -> bool:
        async with asyncio.timeout(limit_s):
            return await play(folder, record, trouble)

    record(json.dumps({"trouble": trouble}))
    with tempfile.TemporaryDirectory() as folder:
        try:
            held = asyncio.run(limited(Path(folder)))
        except Exception as exc:
            record(f"could not run: {exc!r}")
            print(f"could not run: {exc!r}", file=sys.stderr)
            sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
