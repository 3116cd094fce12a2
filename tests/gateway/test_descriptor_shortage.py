"""A node that can open no socket for a while, and callers that never read."""

import asyncio
import os
import resource
import socket
import time

import pytest

from baobabwing.gateway import connection
from tests.gateway.harness import GatewayHarness, ask, eventually

SMALL_BYTES = 4096
PIPELINED = 2000
SHORT_S = 0.05


@pytest.fixture
def no_descriptors():
    """Return functions that take all descriptors, and give them back."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def take():
        lowest_free = os.dup(0)
        os.close(lowest_free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))

    def give_back():
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    yield take, give_back
    give_back()


def test_upstreams_are_not_ejected_for_the_descriptors_of_a_node(run, no_descriptors):
    """A failure to open a socket counted as one of the upstream."""
    take, give_back = no_descriptors

    async def scenario():
        async with GatewayHarness() as harness:
            caller = await harness.caller()
            await eventually(lambda: harness.gateway.callers.open_connections, "open")
            take()
            asking = asyncio.ensure_future(ask(caller, "/safe/x", "short"))
            await asyncio.sleep(SHORT_S)
            give_back()
            tracks = harness.gateway.state.pool("services").scheduler.tracks.values()
            assert {track.is_usable(time.monotonic()) for track in tracks} == {True}
            assert {track.failure_rate for track in tracks} == {0.0}
            assert (await asking).status == 200

    run(scenario())


def test_caller_that_never_reads_its_refusals_is_given_up(run, monkeypatch):
    """It kept its connection, and a task that waited to write, for ever."""
    monkeypatch.setattr(connection, "_UNREAD_S", 0.2)

    async def scenario():
        async with GatewayHarness() as harness:
            callers = harness.gateway.callers
            caller = await harness.caller()
            await eventually(lambda: callers._received_before, "connected")
            (conn,) = callers._received_before
            sock = conn.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BYTES)
            caller.transport.pause_reading()
            own = caller.transport.get_extra_info("socket")
            own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BYTES)
            request = b"GET /unknown HTTP/1.1\r\nHost: api.example\r\n\r\n"
            caller.transport.write(PIPELINED * request)
            await eventually(lambda: callers.unsent, "answers wait to be read")
            await eventually(lambda: not callers._received_before, "given up")

    run(scenario())
