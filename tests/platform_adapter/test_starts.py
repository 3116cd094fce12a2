"""Starts of real processes in which something is missing for a moment."""

import asyncio
import contextlib
import socket

from tests.platform_adapter import demo

HELD_S = 1.5
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
