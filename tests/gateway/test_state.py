"""What a node's state passes from its settings to its pools."""

import random

import pytest

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
