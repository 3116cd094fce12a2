"""Timeout of a node for an unresponsive upstream."""

import asyncio
import socket
import time
from types import SimpleNamespace

import h11

from baobabwing.gateway.connection import open_connection
from baobabwing.gateway.upstream_timeouts import read_while_responsive
from tests.gateway.harness import GatewayHarness

HOST = (b"Host", b"service")


def test_unread_answer_does_not_count_as_unresponsive(run):
    """A service answers in time while the node's own process is stalled.

    When the process runs again, the timeout for the service has passed, but the answer
    is in the socket buffer. The node took the service for unresponsive and spent one of
    its few retries on another one.
    """

    async def scenario():
        async with GatewayHarness() as harness:
            route = SimpleNamespace(repeatable=True, attempts=2, streams=False)
            track = SimpleNamespace(event_interval_s=None, received_at=0.0, entry=None)
            grant = SimpleNamespace(track=track, granted_at=time.monotonic())
            call = SimpleNamespace(route=route, runs=0)
            pool = harness.gateway.state.pool("services")
            replacements = SimpleNamespace(may_seek=lambda call, pool: True)
            with socket.create_server(("127.0.0.1", 0)) as server:
                host, port = server.getsockname()
                conn = await open_connection(
                    f"{host}:{port}", timeout_s=5.0, head_bytes=65_536
                )
                service, _ = server.accept()
                await conn.send(h11.Request(method="GET", target="/", headers=[HOST]))
                await conn.send(h11.EndOfMessage())
                # Without ``find``, a search for a replacement fails the test.
                reading = read_while_responsive(
                    call, pool, grant, conn.next_event, replacements=replacements
                )
                answer = asyncio.ensure_future(reading)
                await asyncio.sleep(0)
                service.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                time.sleep(0.2)  # Stalls the node past its timeout of 0.12 s.
                assert (await answer).status_code == 200
                conn.abort()
                service.close()

    run(scenario())
