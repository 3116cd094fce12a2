"""Which connections make way for newcomers, without a network."""

import resource

import pytest

from baobabwing.gateway.connection_bounds import (
    ConnectionBounds,
    IdleConnection,
    descriptor_limit,
    pick_to_close,
)

# Readiness, directory and metrics.
OTHER_LISTENERS = 3
# Of 460 nodes; each follows two of the twelve that follow the store.
FOLLOWERS = 460 * 2 / 12


def idle(key, idle_s, *, used):
    return IdleConnection(key=key, idle_s=idle_s, used=used)


@pytest.mark.parametrize(
    ("connections", "closed"),
    [
        ([idle("kept", 60, used=True), idle("silent", 1, used=False)], "silent"),
        ([idle("a", 2, used=False), idle("b", 3, used=False)], "b"),
        ([idle("a", 20, used=True), idle("b", 30, used=True)], "b"),
        ([idle("kept", 1, used=True), idle("new", 0.1, used=False)], None),
        ([], None),
    ],
)
def test_callers_in_use_are_not_closed_before_silent_ones(connections, closed):
    assert pick_to_close(connections) == closed
    assert pick_to_close(reversed(connections)) == closed


@pytest.mark.parametrize("limit", [150, 1024, 4200])
def test_callers_leave_as_many_descriptors_to_upstreams(limit):
    bounds = ConnectionBounds.within(limit)
    others = bounds.peers + bounds.tunnels + OTHER_LISTENERS * bounds.others
    assert limit - bounds.callers - others >= bounds.callers
    assert bounds.others >= 4


def test_nodes_of_a_large_fleet_can_follow_one_with_a_usual_limit():
    assert ConnectionBounds.within(1024).peers >= FOLLOWERS


def test_smaller_of_own_and_stated_limit_counts():
    own, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert descriptor_limit(own - 1) == own - 1
    assert descriptor_limit(own + 1) == descriptor_limit() == own
