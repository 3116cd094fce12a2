"""A request that ends each upstream that begins to run it, and comes again."""

import pytest

from tests.gateway.bed import eventually
from tests.gateway.fleet_bed import FleetBed

# Upstreams may end three times before anybody can be sure of the cause, and three
# times more in retries.
MOST_ENDED = 3 + 3
TIMES = 12


@pytest.mark.parametrize(
    "target", ["/stream/a", "/resumable/a", "/safe/a", "/unsafe/a"]
)
def test_request_that_crashes_upstreams_ends_few_of_them(run, target):
    """A league sends a request that its engines can't stand, again and again.

    Each time it came, to whichever node, one more engine ended, and up to eight
    streams of other callers broke with it: nodes held each failure against the engine,
    and nobody remembered the request. Seven and nine engines ended so under two
    requests, four and six of them after a third had ended.
    """

    async def story():
        async with FleetBed() as bed:
            for time in range(TIMES):
                await bed.ask(time % 3, target, f"c{time}", body=b"crash")
                await eventually(lambda: bed.whole, "upstreams are back")
            assert len(bed.crashed) <= MOST_ENDED

    run(story())
