"""Permits at the rate that upstreams state."""

import math
import random

import pytest

from baobabwing.gateway.decisions.rate_limits import RateLimits
from baobabwing.gateway.decisions.scheduling import PlacementRequest, PoolScheduler
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

A, B = 1, 2
WINDOW_S = 4.0


def issued(limits, upstream, *, since, seconds, step_s=0.01):
    """Return when permits are issued if one is always wanted."""
    times = []
    for step in range(int(seconds / step_s)):
        now = since + step * step_s
        if limits.reserve(upstream, now, 0.0) is not None:
            times.append(now)
    return times


def issuing(per_s, *, now=0.0):
    limits = RateLimits()
    limits.set(A, per_s, now)
    limits.issue_from(A, now)
    return limits


@pytest.mark.parametrize("per_s", [0.7, 1.9, 10.0, 50.0])
def test_permits_come_at_the_stated_rate(per_s):
    times = issued(issuing(per_s), A, since=0.0, seconds=20.0)
    assert 0.95 * 20.0 * per_s - 1 <= len(times) <= 20.0 * per_s + 2


@pytest.mark.parametrize("per_s", [0.0, 0.7, 1.9, 10.0])
def test_pauses_earn_no_more_than_the_operators_allow_at_once(per_s):
    limits = issuing(per_s)
    rng = random.Random(5)
    times = []
    now = 0.0
    for _ in range(60):
        now += rng.choice([0.0, 0.2, 5.0])
        times += issued(limits, A, since=now, seconds=rng.uniform(0.1, 1.5))
        now += 1.5
    for begin in times:
        count = sum(begin <= at < begin + WINDOW_S for at in times)
        assert count <= 1.5 * per_s * WINDOW_S + 5


def test_upstream_that_takes_nothing_is_still_asked_now_and_then():
    """Only its own answers tell when that has changed."""
    times = issued(issuing(0.0), A, since=0.0, seconds=60.0)
    assert 2 <= len(times) <= 60.0 / WINDOW_S


def test_node_that_does_not_issue_gives_no_permit():
    limits = RateLimits()
    limits.set(A, 10.0, 0.0)
    assert limits.opens_at(A, 5.0) == math.inf
    assert limits.reserve(A, 5.0, 60.0) is None


def test_new_issuer_begins_later_and_with_nothing_earned():
    """The one before may have issued all that was earned a moment ago."""
    limits = RateLimits()
    limits.set(A, 1.0, 0.0)
    limits.issue_from(A, 10.0)
    assert limits.reserve(A, 10.5, 0.0) is None
    assert limits.reserve(A, 11.1, 0.0) == 0.0
    assert limits.reserve(A, 11.2, 0.0) is None


def test_two_sides_of_a_partition_use_one_limit_together():
    sides = [issuing(2.0) for _ in range(2)]
    for side, share in zip(sides, (0.25, 0.75), strict=True):
        side.set_share(share, 0.0)
    counts = [len(issued(side, A, since=0.0, seconds=40.0)) for side in sides]
    assert 70 <= sum(counts) <= 2.0 * 40.0 + 4
    assert counts[0] < counts[1] / 2


def test_node_that_hears_others_issues_at_the_higher_share_at_once():
    """A node that had just started counted itself one of hundreds, for minutes."""
    limits = RateLimits()
    limits.set_share(1 / 460, 0.0)
    limits.set(A, 4.0, 0.0)
    limits.issue_from(A, 2.0)
    limits.set_share(1.0, 0.5)
    assert len(issued(limits, A, since=2.0, seconds=5.0)) >= 16


def test_higher_limit_is_used_at_once():
    limits = issuing(0.0)
    issued(limits, A, since=0.0, seconds=20.0)
    assert limits.set(A, 20.0, 20.0)
    assert len(issued(limits, A, since=20.0, seconds=1.0)) >= 15


def test_request_that_can_wait_gets_the_next_permit():
    limits = issuing(2.0)
    assert limits.reserve(A, 10.0, 0.0) == 0.0
    assert limits.reserve(A, 10.0, 0.0) == 0.0
    assert limits.reserve(A, 10.0, 0.4) is None
    assert limits.reserve(A, 10.0, 0.6) == pytest.approx(0.5)
    assert limits.reserve(A, 10.0, 0.6) is None


def test_refused_nodes_come_back_one_after_the_other():
    """Hundreds of nodes would ask again together for one permit."""
    limits = issuing(4.0)
    issued(limits, A, since=0.0, seconds=1.0)
    returns = [limits.returns_in_s(A, 1.0) for _ in range(5)]
    assert returns == sorted(returns)
    assert returns[-1] - returns[0] >= 0.9
    assert limits.returns_in_s(A, 1.0) <= 2.0


def test_limit_is_that_of_one_incarnation():
    limits = issuing(1.0)
    assert limits.get(B) is None
    assert limits.opens_at(B, 3.0) == 3.0
    limits.retain([B])
    assert limits.get(A) is None


def engines(*limited, per_s=1.0):
    limits = RateLimits()
    scheduler = PoolScheduler(
        engine=EngineSpec(slots=4, kv_tokens=100_000),
        rng=random.Random(1),
        rate_limits=limits,
    )
    scheduler.set_upstreams(
        UpstreamEntry(instance=name, pool="p", address="a", slots=4)
        for name in ("e0", "e1")
    )
    for name in limited:
        crc = scheduler.tracks[name].crc
        limits.set(crc, per_s, 0.0)
        limits.issue_from(crc, 0.0)
    return scheduler


def submit(scheduler, count, *, now, rank=0, route_rank=0):
    requests = [
        PlacementRequest(
            rank=rank,
            route_rank=route_rank,
            arrived_at=now,
            objective_at=now + 3.0,
            deadline_at=now + 3.0,
        )
        for _ in range(count)
    ]
    for request in requests:
        scheduler.submit(request)
    return requests


def test_limited_engine_is_used_beside_full_ones_and_up_to_its_limit():
    scheduler = engines("e0")
    submit(scheduler, 40, now=10.0)
    granted = [grant.track.entry.instance for grant in scheduler.grants(10.0)]
    assert granted.count("e1") == 5
    assert granted.count("e0") == 2
    assert scheduler.grants(10.5) == []
    assert len(scheduler.grants(11.1)) == 1


def test_limited_engines_are_open_to_the_least_urgent_requests():
    """Slots that these must leave free were more than a limited engine ever has."""
    scheduler = engines("e0", "e1")
    submit(scheduler, 2, now=10.0, route_rank=3)
    assert len(scheduler.grants(10.0)) == 2


def test_requests_beyond_all_limits_are_refused_by_urgency():
    """They waited until their callers gave up."""
    scheduler = engines("e0", "e1")
    urgent = submit(scheduler, 4, now=10.0, rank=0)
    others = submit(scheduler, 20, now=10.0, rank=1)
    refused = scheduler.remove_unservable(10.0)
    assert not {request.number for request, _ in refused} & {
        request.number for request in urgent
    }
    assert 16 <= len(refused) <= len(others)
    assert all(wait_s >= 1.0 for _, wait_s in refused)


def test_request_that_has_run_is_not_refused_for_a_limit():
    scheduler = engines("e0", "e1")
    requests = submit(scheduler, 20, now=10.0)
    for request in requests:
        request.has_run = True
    assert scheduler.remove_unservable(10.0) == []


def test_requests_wait_for_engines_that_are_left_out_for_a_moment():
    """All of them were refused, while only the limited engine seemed usable."""
    scheduler = engines("e0")
    scheduler.tracks["e1"].eject_until = 10.8
    submit(scheduler, 20, now=10.0)
    assert scheduler.remove_unservable(10.0) == []
