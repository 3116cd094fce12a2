"""Slots of plain services that a home grants, and homes that are left for a while."""

import random

import pytest

from baobabwing.gateway.decisions.cell_queue import (
    CellQueue,
    RequestKey,
    UpdateKind,
)
from baobabwing.gateway.decisions.plain_slots import HomeBackoff, needs_home
from baobabwing.gateway.decisions.refusal_limit import RefusalLimit
from baobabwing.gateway.decisions.scheduling import PlacementRequest, PoolScheduler
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

SLOTS = 6
# Requests that a home sends a service beyond its slots.
EXTRA = 2
SERVICES = ("s1", "s2", "s3")
OPEN = 1.0  # after the time in which a new home only collects reports
ANSWER_S = 0.09
OBJECTIVE_S = 0.415


def entries(services=SERVICES):
    return [
        UpstreamEntry(instance=name, pool="p", address="a", slots=SLOTS)
        for name in services
    ]


def make_scheduler(engine=None):
    scheduler = PoolScheduler(engine=engine, rng=random.Random(1))
    scheduler.set_upstreams(entries())
    scheduler.shares_machines = True
    return scheduler


def make_queue(services=SERVICES, limit=None):
    queue = CellQueue(engine=None, rng=random.Random(3), now=0.0, refusal_limit=limit)
    queue.set_upstreams(entries(services))
    return queue


def make_request(now=OPEN, rank=2, waited_s=0.0):
    arrived = now - waited_s
    return PlacementRequest(
        rank=rank,
        arrived_at=arrived,
        objective_at=arrived + OBJECTIVE_S,
        deadline_at=arrived + 2.0,
        ends_at=arrived + 2.0,
        requested_at=now,
    )


def fill(queue, now=OPEN, count=100):
    """Queue many requests; return those that are granted a slot."""
    for number in range(count):
        queue.submit(RequestKey(1, number), make_request(now), now)
    return queue.grants(now)


def test_home_is_needed_where_nodes_outnumber_the_slots():
    scheduler = make_scheduler()
    slots = SLOTS * len(SERVICES)
    assert not needs_home(scheduler, slots)
    assert needs_home(scheduler, slots + 1)
    scheduler.shares_machines = False
    assert not needs_home(scheduler, slots + 1)


def test_home_is_not_asked_under_a_limit_on_refusals_or_without_services():
    scheduler = make_scheduler()
    scheduler.refusal_limit.per_s = 8.0
    assert not needs_home(scheduler, 100)
    scheduler.refusal_limit.per_s = None
    assert needs_home(scheduler, 100)
    scheduler.set_upstreams([])
    assert not needs_home(scheduler, 100)
    assert not needs_home(make_scheduler(EngineSpec(slots=5, kv_tokens=1000)), 100)


@pytest.mark.parametrize("limited", [False, True])
def test_services_get_few_requests_beyond_their_slots(limited):
    """A limit on refusals that the home learns first must not slow it to a node's pace.

    Its nodes ask it until they have heard of the limit too.
    """
    limit = RefusalLimit()
    limit.per_s = 8.0 if limited else None
    granted = fill(make_queue(limit=limit))
    assert len(granted) == len(SERVICES) * (SLOTS if limited else SLOTS + EXTRA)


def test_urgent_requests_go_first_and_those_that_would_be_late_go_last():
    queue = make_queue(("s1",))
    for _, grant in fill(queue, count=SLOTS + EXTRA):
        grant.track.record_interval(ANSWER_S)
    queue.scheduler.update_typical()
    # Half of the answers would come within the 100 ms that one of these has left.
    hopeless = make_request(rank=0, waited_s=OBJECTIVE_S - 0.1)
    for number, request in enumerate((hopeless, make_request(), make_request(rank=1))):
        queue.submit(RequestKey(2, number), request, OPEN)
    order = []
    for number in range(3):
        queue.apply_update(RequestKey(1, number), UpdateKind.DONE, ANSWER_S, OPEN)
        order += [holder.number for holder, _ in queue.grants(OPEN)]
    assert order == [2, 1, 0]


def test_request_is_never_late_on_arrival():
    """Services slower than their objective would have their requests refused."""
    queue = make_queue(("s1",))
    for _, grant in fill(queue, count=SLOTS + EXTRA):
        grant.track.record_interval(10 * OBJECTIVE_S)
    queue.scheduler.update_typical()
    queue.submit(RequestKey(2, 1), make_request(), OPEN)
    assert queue.grants(OPEN) == []
    assert not queue.scheduler.waiting.late(OPEN)


@pytest.mark.parametrize(
    ("kind", "ejected"), [(UpdateKind.RELEASED, False), (UpdateKind.FAILED, True)]
)
def test_lost_connections_eject_a_service_and_answered_failures_do_not(kind, ejected):
    """Requests that fail wherever they run ejected one service after the other.

    Nodes report an answered failure as ``RELEASED``, and a lost connection as
    ``FAILED``.
    """
    queue = make_queue()
    for holder, grant in fill(queue):
        if grant.track.entry.instance == "s1":
            queue.apply_update(holder, kind, None, OPEN)
    assert queue.scheduler.tracks["s1"].is_usable(OPEN) is not ejected


def test_service_that_refused_a_request_gets_none_for_a_moment():
    queue = make_queue()
    holder, grant = fill(queue)[0]
    queue.apply_update(holder, UpdateKind.FULL, None, OPEN)
    assert queue.grants(OPEN) == []
    assert len(queue.grants(OPEN + 0.2)) == 1


def test_new_home_starts_with_the_answer_times_that_its_node_measured():
    """With the 0.5 s of engines it told callers to stay away five times too long."""
    queue, measured = make_queue(), make_scheduler()
    for track in measured.tracks.values():
        track.record_interval(ANSWER_S)
    queue.copy_intervals(measured.tracks)
    slots = len(SERVICES) * SLOTS
    assert queue.scheduler.turnover_s(OPEN) == pytest.approx(ANSWER_S / slots)


def test_node_without_its_home_sends_its_share_of_what_services_can_serve():
    scheduler = make_scheduler()
    scheduler.nodes = 100
    for track in scheduler.tracks.values():
        track.record_interval(ANSWER_S)
    scheduler.go_alone(OPEN)
    # The nodes don't begin together: the first requests of all would fill the queues.
    scheduler.submit(make_request(OPEN))
    assert scheduler.grants(OPEN) == []
    sent = 0
    for tick in range(1000):
        now = OPEN + tick / 100
        scheduler.submit(make_request(now))
        sent += len(scheduler.grants(now))
        for track in scheduler.tracks.values():
            track.own.clear()
    served = len(SERVICES) * SLOTS / ANSWER_S
    # Two requests may follow each other after a pause.
    assert 0.8 * served / 10 <= sent <= served / 10 + 1


def test_overloaded_home_is_asked_by_few_nodes_at_a_time():
    backoff = HomeBackoff(rng=random.Random(1))
    assert backoff.may_ask(0.0)
    backoff.record_silence(0.0, 300)
    # Asked before the first one was found to be late; the pause stays the same.
    backoff.record_silence(0.1, 300)
    assert not backoff.may_ask(2.9)
    assert backoff.may_ask(9.1)


def test_pauses_become_longer_until_the_home_answers_in_time():
    backoff = HomeBackoff(rng=random.Random(1))
    backoff.record_silence(0.0, 20)
    assert backoff.may_ask(0.8)
    for now in (10.0, 20.0, 30.0, 40.0):
        backoff.record_silence(now, 20)
    assert not backoff.may_ask(43.9)
    for _ in range(20):
        backoff.record_answer()
    backoff.record_silence(60.0, 20)
    assert backoff.may_ask(60.8)
