"""How long a node waits for an upstream that says nothing."""

import asyncio
import socket
import time
from types import SimpleNamespace

import h11

from baobabwing.gateway.connection import open_connection
from baobabwing.gateway.listening import read_while_responsive
from tests.gateway.bed import Bed

HOST = (b"Host", b"service")


def test_answer_that_lies_unread_is_no_silence(run):
    """A service answers in time, while the node itself stands still for a moment.

    When the node runs again, its limit on the service's silence is over and the answer
    is in its socket. It held the service for mute, asked another one, and spent one of
    the few second tries on its own delay.
    """

    async def story():
        async with Bed() as bed:
            route = SimpleNamespace(repeatable=True, attempts=2, streams=False)
            track = SimpleNamespace(pace_s=None, heard_at=0.0, entry=None)
            grant = SimpleNamespace(track=track, since=time.monotonic())
            call = SimpleNamespace(route=route, runs=0)
            pool = bed.gateway.state.pool("services")
            with socket.create_server(("127.0.0.1", 0)) as server:
                host, port = server.getsockname()
                conn = await open_connection(
                    f"{host}:{port}", timeout_s=5.0, head_bytes=65_536
                )
                service, _ = server.accept()
                await conn.send(h11.Request(method="GET", target="/", headers=[HOST]))
                await conn.send(h11.EndOfMessage())
                state = bed.gateway.state
                reading = read_while_responsive(
                    call, pool, grant, conn.next_event, state=state
                )
                answer = asyncio.ensure_future(reading)
                await asyncio.sleep(0)
                service.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                time.sleep(0.2)  # The node stands still, past its limit of 0.12 s.
                assert (await answer).status_code == 200
                conn.abort()
                service.close()

    run(story())
