"""What a node's state passes from its settings to its pools."""

import random

import pytest

from baobabwing.gateway.model import GatewayConfiguration, PoolSpec, UpstreamEntry
from baobabwing.gateway.settings import GatewaySettings, SharedMachineSettings
from baobabwing.gateway.state import GatewayState


@pytest.mark.parametrize("serve_in_time", [True, False])
def test_operator_can_disable_that_late_requests_leave_slots(serve_in_time):
    settings = GatewaySettings(
        name="n",
        callers="",
        peers="",
        work="",
        shared_machines=SharedMachineSettings(serve_in_time=serve_in_time),
    )
    state = GatewayState(settings=settings, rng=random.Random(1))
    assert state.pool("p").scheduler.serve_in_time is serve_in_time


def entry_of(number):
    return UpstreamEntry(
        instance=f"i-{number}", pool=f"p-{number:04}", address=f"10.0.0.1:{number + 1}"
    )


@pytest.mark.parametrize("lists", [1, 20])
@pytest.mark.parametrize("configured_first", [True, False])
def test_names_that_nobody_configured_get_no_pools_without_bound(
    run, lists, configured_first
):
    async def story():
        settings = GatewaySettings(name="n", callers="", peers="", work="")
        state = GatewayState(settings=settings, rng=random.Random(1))
        listed = []
        state.on_pool = lambda pool: listed.append(pool.name)
        cfg = GatewayConfiguration(
            version=1, routes=(), pools=(PoolSpec(name="p-1999"),)
        )
        if configured_first:
            state.take_configuration(cfg, source="store")
        for part in range(lists):
            step = 2000 // lists
            rows = [entry_of(n) for n in range(part * step, (part + 1) * step)]
            state.take_upstreams(rows, source="store")
        state.take_configuration(cfg, source="store")
        assert len(state.pools) <= 256 + 1
        assert len(state.listed_versions()) <= 256 + 1
        listed.clear()
        state.take_upstreams([entry_of(1999)], source="store")
        assert "p-1999" in listed
        assert len(state.listed()) == 1

    run(story())
