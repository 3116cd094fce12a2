"""A listener whose bound is reached."""

import asyncio

import pytest

from baobabwing.gateway.listener import Listener
from tests.gateway.harness import eventually

BOUND = 2


def test_connection_with_a_request_is_not_closed_for_a_newcomer(run):
    """Newcomers wait until it has ended, and the listener rests meanwhile."""
    served = []

    async def serve(conn):
        served.append(conn)
        await conn.next_event()
        conn.take_request()
        await conn.closes_within(60.0)

    async def scenario():
        listener = Listener(
            serve=serve, head_bytes=lambda: 1024, name="test", bound=lambda: BOUND
        )
        await listener.start("127.0.0.1:0")
        host, port = listener.address.split(":")
        callers = []
        for _ in range(BOUND + 1):
            callers.append(await asyncio.open_connection(host, int(port)))
            callers[-1][1].write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await eventually(lambda: listener._rest is not None, "the listener rests")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(callers[0][0].read(1), 1.0)
        assert len(served) == listener.open_connections == BOUND
        callers[0][1].close()
        await eventually(lambda: len(served) == BOUND + 1, "the newcomer is served")
        listener.stop()
        for _, writer in callers:
            writer.close()

    run(scenario())
