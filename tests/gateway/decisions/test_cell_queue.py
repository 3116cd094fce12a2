"""Tests of a cell's queue at its home: requests, reports, lost messages, node ends."""

import random

import pytest

from baobabwing.gateway.decisions.cell_queue import (
    CellQueue,
    RequestKey,
    SlotReservation,
    UpdateKind,
)
from baobabwing.gateway.decisions.scheduling import PlacementRequest
from baobabwing.gateway.model import EngineSpec, UpstreamEntry
from baobabwing.gateway.placement.codec import name_crc

ENGINE = EngineSpec(slots=2, kv_tokens=100_000, tokens_per_event=3)
CAPACITY = 3  # two slots, and one request that starts as soon as another ends
OPEN = 1.0  # after the time in which a new home only collects reports


def make_queue(engines=("e1",), now=0.0):
    queue = CellQueue(engine=ENGINE, rng=random.Random(3), now=now)
    queue.set_upstreams(
        UpstreamEntry(instance=name, pool="p", address="a", slots=2) for name in engines
    )
    return queue


def make_request(now=OPEN, **values):
    usual = {"rank": 0, "arrived_at": now, "objective_at": now + 0.8}
    usual |= {"deadline_at": now + 3.0, "ends_at": now + 15.0, "requested_at": now}
    return PlacementRequest(**{**usual, **values})


def request_slot(queue, node, number, now=OPEN, **values):
    return queue.submit(RequestKey(node, number), make_request(now, **values), now)


def grant_slots(queue, now=OPEN):
    """Grant what can be granted, and return the requests."""
    return [holder for holder, _ in queue.grants(now)]


def test_request_continues_at_engine_that_leaves():
    queue = make_queue()
    request_slot(queue, 1, 7)
    grant_slots(queue)
    queue.apply_update(RequestKey(1, 7), UpdateKind.LEAVING, None, OPEN)
    assert queue.reserved_count == 1
    assert queue.upstream_of(RequestKey(1, 7)).instance == "e1"
    assert queue.upstream_of(RequestKey(1, 8)) is None
    queue.apply_update(RequestKey(1, 7), UpdateKind.DONE, None, OPEN)
    assert queue.reserved_count == 0


def test_requests_of_all_nodes_share_one_order():
    """A released slot goes to the most urgent request, whichever node sent it first."""
    queue = make_queue()
    for number in range(CAPACITY):
        request_slot(queue, 1, number)
    assert len(grant_slots(queue)) == CAPACITY
    request_slot(queue, 1, 10, route_rank=2)
    request_slot(queue, 2, 10, route_rank=0)
    request_slot(queue, 3, 10, route_rank=1)
    queue.apply_update(RequestKey(1, 0), UpdateKind.DONE, None, OPEN + 0.1)
    assert grant_slots(queue, OPEN + 0.1) == [RequestKey(2, 10)]


def test_new_home_collects_reservations_before_it_grants_slots():
    """A home dies while its engine is full, and another node takes over.

    The new home has no record of what runs there. It must collect the reports of the
    nodes first, or it would grant slots that are in use.
    """
    queue = make_queue(now=OPEN)
    request_slot(queue, 1, 50)
    assert grant_slots(queue) == []
    queue.apply_report(
        1,
        [SlotReservation(number=1, upstream=name_crc("e1"), unread_tokens=0)],
        [50],
        OPEN,
    )
    reservations = [
        SlotReservation(number=n, upstream=name_crc("e1"), unread_tokens=90)
        for n in (1, 2)
    ]
    queue.apply_report(2, reservations, [], OPEN)
    assert grant_slots(queue, OPEN + 0.2) == []
    queue.apply_update(RequestKey(2, 2), UpdateKind.DONE, None, OPEN + 0.3)
    assert grant_slots(queue, OPEN + 0.3) == [RequestKey(1, 50)]


def test_repeated_placement_request_gets_the_same_grant():
    """The node repeats its request because the message with the grant was lost."""
    queue = make_queue()
    request_slot(queue, 1, 7)
    ((_, first),) = queue.grants(OPEN)
    assert request_slot(queue, 1, 7) is first
    assert queue.scheduler.tracks["e1"].in_flight == 1


def test_report_without_a_request_releases_its_slot():
    """The message that a request ended is lost.

    The slot would stay reserved forever; the next report releases it by leaving the
    request out, unless it may have been sent before the grant arrived.
    """
    queue = make_queue()
    request_slot(queue, 1, 7)
    assert grant_slots(queue) == [RequestKey(1, 7)]
    queue.apply_report(1, [], [], OPEN + 0.1)
    assert queue.scheduler.tracks["e1"].in_flight == 1  # may still be in transit
    queue.apply_report(1, [], [], OPEN + 0.4)
    assert queue.scheduler.tracks["e1"].in_flight == 0


def test_report_returns_requests_unknown_to_the_home():
    queue = make_queue()
    request_slot(queue, 1, 1)
    result = queue.apply_report(1, [], [1, 2], OPEN)
    assert result.unknown_requests == (2,)


def test_report_returns_grant_that_the_node_did_not_receive():
    queue = make_queue()
    request_slot(queue, 1, 1)
    ((_, grant),) = queue.grants(OPEN)
    result = queue.apply_report(1, [], [1], OPEN + 1.0)
    assert result.unreceived_grants == ((RequestKey(1, 1), grant),)
    assert queue.scheduler.tracks["e1"].in_flight == 1


def test_partial_report_removes_no_queued_request():
    queue = make_queue()
    for number in range(CAPACITY + 2):
        request_slot(queue, 1, number)
    assert len(grant_slots(queue)) == CAPACITY
    queue.apply_report(1, [], [CAPACITY], OPEN + 1.0, complete=False)
    assert queue.is_waiting(RequestKey(1, CAPACITY + 1))


def test_slots_of_dead_node_are_released():
    """A node is killed with requests at an engine and in the queue.

    Its reports stop. After a timeout its slots must go to other nodes.
    """
    queue = make_queue()
    for number in range(CAPACITY + 1):
        request_slot(queue, 1, number)
    assert len(grant_slots(queue)) == CAPACITY
    queue.expire(OPEN + 1.0, repeat_s=0.4)
    request_slot(queue, 2, 1, now=OPEN + 2.0)
    queue.expire(OPEN + 2.0, repeat_s=0.4)
    assert grant_slots(queue, OPEN + 2.0) == [RequestKey(2, 1)]


def test_request_past_its_deadline_leaves_the_queue():
    queue = make_queue()
    for number in range(CAPACITY + 1):
        request_slot(queue, 1, number)
    grant_slots(queue)
    queue.apply_report(1, [], [CAPACITY], OPEN + 2.9)
    queue.expire(OPEN + 3.1, repeat_s=0.4)
    assert not queue.is_waiting(RequestKey(1, CAPACITY))


@pytest.mark.parametrize("kind", [UpdateKind.LOST, UpdateKind.FULL])
def test_engine_that_failed_one_node_is_ejected_for_all(kind):
    """One node reports that an engine is gone or full; no other may be sent there."""
    queue = make_queue(("e1", "e2"))
    request_slot(queue, 1, 1)
    ((holder, grant),) = queue.grants(OPEN)
    queue.apply_update(holder, kind, None, OPEN)
    for number in (2, 3):
        request_slot(queue, 2, number)
    others = {other.track.entry.instance for _, other in queue.grants(OPEN)}
    assert others == {"e1", "e2"} - {grant.track.entry.instance}


def test_reported_event_intervals_send_long_outputs_to_the_fast_engine():
    queue = make_queue(("slow", "fast"))
    for number, (engine, interval_s) in enumerate({"slow": 0.06, "fast": 0.01}.items()):
        reservation = SlotReservation(
            number=number, upstream=name_crc(engine), unread_tokens=0
        )
        queue.apply_report(1, [reservation], [], OPEN)
        queue.apply_update(RequestKey(1, number), UpdateKind.DONE, interval_s, OPEN)
    request_slot(queue, 1, 9, expected_output_tokens=2000)
    ((_, grant),) = queue.grants(OPEN)
    assert grant.track.entry.instance == "fast"


def test_running_request_moves_only_while_no_request_waits():
    queue = make_queue(("slow", "fast"))
    queue.scheduler.tracks["slow"].event_interval_s = 0.06
    queue.scheduler.tracks["fast"].event_interval_s = 0.01
    grant = queue.grant_move(RequestKey(1, 1), make_request(), name_crc("slow"), OPEN)
    assert grant.track.entry.instance == "fast"
    request_slot(queue, 1, 2)
    assert (
        queue.grant_move(RequestKey(1, 3), make_request(), name_crc("slow"), OPEN)
        is None
    )


def test_move_that_is_asked_for_twice_gets_one_slot():
    """The node asks again if the grant is late."""
    queue = make_queue(("slow", "fast"))
    queue.scheduler.tracks["slow"].event_interval_s = 0.1
    queue.scheduler.tracks["fast"].event_interval_s = 0.01
    free = queue.scheduler.free_slots(OPEN)
    move = RequestKey(1, 7), make_request(), name_crc("slow"), OPEN
    grants = [queue.grant_move(*move), queue.grant_move(*move)]
    assert grants[0] is grants[1] is not None
    queue.apply_update(RequestKey(1, 7), UpdateKind.RELEASED, None, OPEN)
    assert queue.scheduler.free_slots(OPEN) == free


@pytest.mark.parametrize("granted", [False, True])
def test_report_tells_where_a_request_runs_that_another_home_placed(granted):
    """The node took this home for dead and asked another one meanwhile."""
    queue = make_queue(("e1", "e2"))
    request_slot(queue, 1, 7, excluded={"e2"})
    if granted:
        grant_slots(queue)
    item = SlotReservation(number=7, upstream=name_crc("e2"), unread_tokens=0)
    queue.apply_report(1, [item], [], OPEN)
    assert grant_slots(queue) == []
    in_flight = {name: len(one.own) for name, one in queue.scheduler.tracks.items()}
    assert in_flight == {"e1": 0, "e2": 1}
    assert queue.upstream_of(RequestKey(1, 7)).instance == "e2"
