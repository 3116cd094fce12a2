"""Tunnels of which one side reads nothing."""

import asyncio
import contextlib

import pytest

from baobabwing.gateway.connection import open_transport
from baobabwing.gateway.tunnels import SplicedEnd, TunnelServer
from tests.gateway.harness import WAIT_S, free_address


@pytest.mark.parametrize("sender", ["upstream", "user"])
def test_side_that_reads_nothing_fills_no_memory_of_the_relay(run, sender):
    """The side that sends may send more than the buffers of the sockets hold."""
    most = 64 * 1024 * 1024

    async def scenario():
        sent, ends, writers = [0], [], []

        async def send(writer):
            with contextlib.suppress(ConnectionError):
                while sent[0] < most:
                    writer.write(bytes(65_536))
                    await writer.drain()
                    sent[0] += 65_536

        async def serve(reader, writer):
            writers.append(writer)
            reader._transport.pause_reading()
            if sender == "upstream":
                await send(writer)

        async def connect(address):
            ends.append(await open_transport(address, SplicedEnd, timeout_s=WAIT_S))
            return ends[0]

        upstream = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = upstream.sockets[0].getsockname()[1]
        server = TunnelServer(connect=connect, listed=lambda address: True)
        relay = free_address()
        await server.start(relay)
        host, _, relay_port = relay.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(relay_port))
        target = f"127.0.0.1:{port}"
        writer.write(f"CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        reader._transport.pause_reading()
        task = asyncio.ensure_future(send(writer)) if sender == "user" else None
        before = -1
        while before != sent[0]:
            before = sent[0]
            await asyncio.sleep(0.3)
        assert 0 < sent[0] < most
        for end in (ends[0], ends[0].other):
            assert end.transport.get_write_buffer_size() < 1024 * 1024
        if task is not None:
            task.cancel()
        for one in (writer, *writers):
            one.transport.abort()
        server.stop()
        upstream.close()
        await asyncio.sleep(0.05)

    run(scenario())
