"""Starts of real processes in which something is missing for a moment."""

import asyncio
import contextlib
import random
import signal
import socket
from pathlib import Path

import pytest

from tests.platform_adapter import demo
from tests.platform_adapter.standin_store import StoreFault

HELD_S = 1.5
LONGEST_START_S = 0.8
LATE_SETTINGS_S = 4.0
ENDING = (signal.SIGTERM, signal.SIGINT)
TCP, UDP = socket.SOCK_STREAM, socket.SOCK_DGRAM
# Settings field, kind of socket, and offset of the port.
PORTS = {
    "callers": ("listen.front", TCP, 0),
    "outgoing": ("listen.front", TCP, 0),
    "readiness": ("listen.ready", TCP, 0),
    "directory": ("listen.directory", TCP, 0),
    "peers": ("internal_ports", TCP, 0),
    "membership": ("internal_ports", UDP, 0),
    "tunnels": ("internal_ports", TCP, 1),
    "work": ("internal_ports", UDP, 1),
    "metrics": ("internal_ports", TCP, 2),
}


class HeldPorts(demo.Deployment):
    """Holds a port of each node until :meth:`release`."""

    held = ()

    async def _launch(self, number):
        text = self._settings_file(number).read_text()
        fields = dict(line.split("=", 1) for line in text.splitlines())
        self.held = [*self.held, *hold(list(PORTS)[number], fields)]
        return await super()._launch(number)

    def release(self):
        for sock in self.held:
            sock.close()


def hold(kind, fields):
    name, protocol, offset = PORTS[kind]
    port = int(fields[name].split(",")[0].rpartition(":")[2]) + offset
    sock = socket.socket(socket.AF_INET, protocol)
    sock.bind(("127.0.0.1", port))
    if kind == "outgoing":
        target = socket.create_server(("127.0.0.1", 0))
        sock.connect(target.getsockname())
        # A reset leaves no state behind that keeps the port.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return [sock, target]
    if protocol is TCP:
        sock.listen()
    return [sock]


def test_a_port_in_use_for_a_moment_ends_no_start(tmp_path):
    deployment = HeldPorts(nodes=len(PORTS), folder=tmp_path)

    async def play():
        starting = asyncio.ensure_future(deployment.start())
        try:
            while len(deployment.processes) < len(PORTS):
                await asyncio.sleep(0.01)
            await asyncio.sleep(HELD_S)
            named = [await resolve(one) for one in deployment.directories]
            deployment.release()
            ended = {
                kind: process.returncode
                for kind, process in zip(PORTS, deployment.processes, strict=True)
                if process.returncode is not None
            }
            assert ended == {}
            waiting = {deployment.callers[0], deployment.callers[1]}
            assert not waiting & {address for one in named for address in one}
            await starting
        finally:
            starting.cancel()
            deployment.release()
            await deployment.stop()

    asyncio.run(play())
    assert [process.returncode for process in deployment.processes] == [0] * len(PORTS)


async def resolve(directory):
    # A socket that holds the port accepts connections and never answers.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.5):
            return await demo.resolve(directory)
    return []


class Signalled(demo.Deployment):
    """Sends each node a signal at a drawn moment of its start."""

    signals = ()
    rng = random.Random(29)

    async def _launch(self, number):
        process = await super()._launch(number)
        self._sending = [*getattr(self, "_sending", ()), self._send(number, process)]
        return process

    async def _send(self, number, process):
        while not ignores_hangup(process.pid):
            await asyncio.sleep(0.002)
        await asyncio.sleep(self.rng.uniform(0, LONGEST_START_S))
        self.send_signal(number, self.signals[number])
        if self.signals[number] is signal.SIGSTOP:
            await asyncio.sleep(HELD_S)
            self.send_signal(number, signal.SIGCONT)

    async def start(self):
        await self.store.start()
        self._store_address = self.store.address
        self.store.write("op", "config", demo.configuration(1))
        for number in range(self._nodes):
            await self._start_node(number)
        await asyncio.gather(*self._sending)


def ignores_hangup(pid):
    """Whether the program itself has begun; before that, signals end any process."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            name, _, mask = line.partition(":")
            if name in ("SigIgn", "SigCgt") and int(mask, 16) & 1:
                return True
    return False


@pytest.mark.parametrize("turn", range(4))
def test_signals_at_any_moment_of_a_start(tmp_path, turn):
    """A SIGINT ended it with a traceback, a SIGTERM without its status."""
    signals = [*ENDING * 2, signal.SIGHUP, signal.SIGPIPE, signal.SIGSTOP]
    deployment = Signalled(nodes=len(signals), folder=tmp_path)
    deployment.signals = signals
    deployment.rng = random.Random(turn)

    async def play():
        try:
            await deployment.start()
            await asyncio.sleep(HELD_S)
            running = [one.returncode is None for one in deployment.processes]
            assert running[len(ENDING) * 2 :] == [True] * 3
        finally:
            await deployment.stop()

    asyncio.run(play())
    ended = [process.returncode for process in deployment.processes]
    assert ended == [0] * len(signals)


@pytest.mark.parametrize("text", [None, "node=front-z-0\n", "ip=\0\n"])
def test_settings_that_come_late_end_no_start(tmp_path, text):
    class Late(demo.Deployment):
        async def _launch(self, number):
            file = self._settings_file(number)
            whole = file.read_text()
            file.unlink() if text is None else file.write_text(text)
            process = await super()._launch(number)
            await asyncio.sleep(LATE_SETTINGS_S)
            file.write_text(whole)
            return process

    deployment = Late(nodes=1, folder=tmp_path)

    async def play():
        try:
            await deployment.start()
        finally:
            await deployment.stop()

    asyncio.run(play())
    assert deployment.processes[0].returncode == 0


@pytest.mark.parametrize("fault", [*StoreFault][1:])
def test_all_nodes_start_after_a_kill_while_the_store_has_a_fault(tmp_path, fault):
    deployment = demo.Deployment(nodes=3, folder=tmp_path)

    async def play():
        try:
            await deployment.start()
            for number, process in enumerate(deployment.processes):
                deployment.send_signal(number, signal.SIGKILL)
                await process.wait()
            deployment.store.fault = fault
            deployment.processes = [await deployment._launch(n) for n in range(3)]
            await asyncio.sleep(HELD_S)
            deployment.store.fault = StoreFault.NONE
            await deployment._wait_ready()
        finally:
            await deployment.stop()

    asyncio.run(play())
    assert [process.returncode for process in deployment.processes] == [0] * 3
