"""A node that can open no socket for a while."""

import asyncio
import os
import resource
import time

import pytest

from tests.gateway.harness import GatewayHarness, ask, eventually

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
