"""Upstreams that say in an answer that they leave, or that they want nothing more."""

import structlog

from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.bed import Bed, ask


def test_log_tells_once_that_an_upstream_said_it_leaves(run):
    async def story():
        async with Bed() as bed:
            bed.behaviour["services-1"] = Behaviour(leaving=True)
            conn = await bed.caller()
            for number in range(12):
                await ask(conn, "/safe/x", f"s{number}")

    with structlog.testing.capture_logs() as lines:
        run(story())
    (line,) = [one for one in lines if one["event"] == "upstream_said_leaving"]
    assert (line["upstream"], line["listed_draining"]) == ("services-1", False)
