"""Grants and refusals of one cell, and its state after lost messages."""

from threading import Thread

import pytest

from baobabwing.exceptions import ConfigurationError
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream, UpstreamState
from baobabwing.pools.cell import ALL_ADMITTED, NONE_ADMITTED, Cell
from baobabwing.pools.permits import (
    Grant,
    InflightPermit,
    Outcome,
    PermitEnd,
    Placement,
    PlacementRequest,
    Refusal,
    RefusalCode,
)

ENTRY = "n1#1"


def make_cell(upstreams=1, capacity=1, queue_limit=8, policy="baobabwing"):
    cell = Cell(name="cell", now=0.0)
    pool = Pool(name="p", kind=PoolKind.ENGINE, queue_limit=queue_limit, policy=policy)
    cell.configure(pool, make_upstreams(upstreams, capacity), 0.0)
    return cell


def make_upstreams(count, capacity=1, **changes):
    return [
        Upstream(
            name=f"u{i}",
            pool="p",
            address=f"127.0.0.1:{9000 + i}",
            capacity=capacity,
            **changes,
        )
        for i in range(count)
    ]


def make_request(request_id, rank=0, deadline=60.0, entry=ENTRY, **changes):
    changes.setdefault("organisation", "salon")
    changes.setdefault("prompt_tokens", 10)
    changes.setdefault("output_tokens", 10)
    return PlacementRequest(
        request_id=request_id,
        entry=entry,
        pool="p",
        tier_rank=rank,
        deadline=deadline,
        **changes,
    )


def done(grant, outcome=Outcome.ANSWERED, duration_s=0.1, **changes):
    changes.setdefault("first_token_s", 0.01)
    changes.setdefault("tokens", 10)
    changes.setdefault("prompt_tokens", 10)
    return PermitEnd(
        request_id=grant.request_id,
        upstream=grant.upstream,
        outcome=outcome,
        duration_s=duration_s,
        **changes,
    )


def granted(decisions):
    return [d.request_id for d in decisions if isinstance(d, Grant)]


def refused(decisions):
    return {d.request_id: d.code for d in decisions if isinstance(d, Refusal)}


def test_idle_cell_grants_at_once():
    cell = make_cell()
    assert cell.submit(make_request("a"), 0.0) == [
        Grant(request_id="a", entry=ENTRY, upstream="u0", attempt=1)
    ]


def test_cell_without_configuration_refuses():
    cell = Cell(name="cell", now=0.0)
    assert refused(cell.submit(make_request("a"), 0.0)) == {
        "a": RefusalCode.NO_UPSTREAM
    }
    assert cell.floor() == NONE_ADMITTED


def test_unknown_policy_is_named_in_the_error():
    cell = Cell(name="cell", now=0.0)
    pool = Pool(name="p", kind=PoolKind.ENGINE, policy="fastest")
    with pytest.raises(ConfigurationError, match="fastest"):
        cell.configure(pool, [], 0.0)


def test_repeated_request_gets_the_same_permit():
    cell = make_cell()
    first = cell.submit(make_request("a"), 0.0)
    assert cell.submit(make_request("a"), 0.1) == first
    assert cell.snapshot().in_flight == 1


def test_repeated_request_is_queued_once():
    cell = make_cell()
    cell.submit(make_request("a"), 0.0)
    assert cell.submit(make_request("b"), 0.0) == []
    assert cell.submit(make_request("b"), 0.1) == []
    assert cell.snapshot().queued[0].count == 1


def test_repeated_request_gets_the_same_refusal():
    cell = make_cell()
    first = cell.submit(make_request("a", deadline=0.001), 0.0)
    assert cell.submit(make_request("a", deadline=0.001), 0.1) == first


def test_request_of_another_entry_is_refused_as_duplicate():
    cell = make_cell()
    cell.submit(make_request("a"), 0.0)
    decisions = cell.submit(make_request("a", entry="n2#1"), 0.1)
    assert refused(decisions) == {"a": RefusalCode.DUPLICATE}


def test_ended_request_is_never_permitted_again():
    """A duplicate of a placement request arrives after the answer.

    The entry sent it twice over a broken connection. A permit for the duplicate
    would dispatch the request a second time.
    """
    cell = make_cell()
    [grant] = cell.submit(make_request("a"), 0.0)
    cell.end_permit(done(grant), 0.1)
    assert refused(cell.submit(make_request("a"), 0.2)) == {"a": RefusalCode.CLOSED}


def test_refused_request_tries_another_upstream():
    cell = make_cell(upstreams=2)
    [first] = cell.submit(make_request("a"), 0.0)
    cell.end_permit(done(first, Outcome.NOT_ADMITTED), 0.1)
    [second] = cell.submit(make_request("a", exclude=(first.upstream,)), 0.1)
    assert (second.attempt, second.upstream != first.upstream) == (2, True)


def test_refusal_of_upstream_overtaken_by_the_retry():
    """An upstream refuses, and the retry arrives before the report of it.

    The first slot must be released, and the late report must not release the
    slot of the second attempt.
    """
    cell = make_cell(upstreams=2)
    [first] = cell.submit(make_request("a"), 0.0)
    [second] = cell.submit(make_request("a", exclude=(first.upstream,)), 0.1)
    cell.end_permit(done(first, Outcome.NOT_ADMITTED), 0.2)
    assert second.attempt == 2
    assert cell.snapshot().in_flight == 1


def test_request_that_excludes_all_upstreams_is_refused_at_once():
    cell = make_cell()
    decisions = cell.submit(make_request("a", exclude=("u0",)), 0.0)
    assert refused(decisions) == {"a": RefusalCode.NO_UPSTREAM}


def test_withdrawn_request_is_not_granted():
    cell = make_cell()
    [grant] = cell.submit(make_request("a"), 0.0)
    cell.submit(make_request("b"), 0.0)
    cell.withdraw("b", ENTRY, 0.1)
    assert cell.end_permit(done(grant), 0.2) == []


def test_slot_of_a_withdrawn_permit_goes_to_the_next():
    cell = make_cell()
    cell.submit(make_request("a"), 0.0)
    cell.submit(make_request("b"), 0.0)
    assert granted(cell.withdraw("a", ENTRY, 0.1)) == ["b"]


def test_leaving_upstream_gets_no_new_requests():
    cell = make_cell(upstreams=2, capacity=4)
    upstreams = make_upstreams(2, 4)
    leaving = make_upstreams(1, 4, state=UpstreamState.LEAVING)
    cell.configure(Pool(name="p", kind=PoolKind.ENGINE), [*leaving, upstreams[1]], 0.1)
    grants = [cell.submit(make_request(f"r{i}"), 0.2)[0] for i in range(4)]
    assert {grant.upstream for grant in grants} == {"u1"}


def test_removed_upstream_is_tracked_until_idle():
    """An upstream is removed and added again while a request runs on it.

    If its permits were forgotten, it would get more than its capacity.
    """
    cell = make_cell()
    [grant] = cell.submit(make_request("a"), 0.0)
    pool = Pool(name="p", kind=PoolKind.ENGINE)
    cell.configure(pool, [], 0.1)
    cell.configure(pool, make_upstreams(1), 0.2)
    assert cell.submit(make_request("b"), 0.3) == []
    assert granted(cell.end_permit(done(grant), 0.4)) == ["b"]


def test_queue_is_refused_when_the_last_upstream_is_removed():
    cell = make_cell()
    cell.submit(make_request("a"), 0.0)
    cell.submit(make_request("b"), 0.0)
    decisions = cell.configure(Pool(name="p", kind=PoolKind.ENGINE), [], 0.1)
    assert refused(decisions) == {"b": RefusalCode.NO_UPSTREAM}


def test_where_returns_the_upstream_of_a_key():
    cell = make_cell()
    [grant] = cell.submit(make_request("a", key="k"), 0.0)
    cell.end_permit(done(grant), 0.1)
    assert cell.last_placement("k") == Placement(upstream="u0", request_id="a")
    assert cell.last_placement("other") is None


def test_new_home_counts_permits_of_an_earlier_home():
    """The home of a cell dies with a request in flight on the only slot.

    The entry reports the request to the new home, which would otherwise grant
    the slot a second time.
    """
    cell = make_cell()
    cell.hold(5.0)
    item = InflightPermit(request_id="a", entry=ENTRY, upstream="u0", key="k")
    cell.adopt([item], 0.0)
    cell.release()
    assert cell.submit(make_request("b"), 0.1) == []
    assert cell.last_placement("k") == Placement(upstream="u0", request_id="a")
    grant = Grant(request_id="a", entry=ENTRY, upstream="u0", attempt=1)
    assert granted(cell.end_permit(done(grant), 0.2)) == ["b"]


def test_adopted_permit_for_an_upstream_not_configured_yet():
    cell = Cell(name="cell", now=0.0)
    cell.adopt([InflightPermit(request_id="a", entry=ENTRY, upstream="u0")], 0.0)
    cell.configure(Pool(name="p", kind=PoolKind.ENGINE), make_upstreams(1), 0.1)
    assert cell.submit(make_request("b"), 0.2) == []


def test_held_cell_uses_a_part_of_its_capacity_until_released():
    cell = make_cell(capacity=8)
    cell.hold(5.0)
    grants = [d for i in range(8) for d in cell.submit(make_request(f"r{i}"), 0.0)]
    assert len(grants) == 2
    assert len(granted(cell.release())) == 6


def test_hold_expires():
    cell = make_cell(capacity=8)
    cell.hold(5.0)
    for i in range(8):
        cell.submit(make_request(f"r{i}"), 0.0)
    assert len(granted(cell.tick(5.0))) == 6


def test_permits_of_a_dead_entry_are_released_after_a_bound():
    """An entry dies with one request running and another one queued.

    The engine may run the first one to its end, so its slot is released only
    after a while. The queued one is never granted.
    """
    cell = make_cell()
    cell.submit(make_request("a", entry="dead#1"), 0.0)
    cell.submit(make_request("b", entry="dead#1"), 0.0)
    cell.submit(make_request("c"), 0.0)
    assert cell.remove_entry("dead#1", 0.1) == []
    assert cell.tick(0.5) == []
    assert granted(cell.tick(31.0)) == ["c"]


def test_floor_of_an_idle_cell_admits_all():
    assert make_cell().floor() == ALL_ADMITTED


def test_full_queue_lowers_the_floor():
    cell = make_cell(queue_limit=1)
    cell.submit(make_request("a", rank=2), 0.0)
    cell.submit(make_request("b", rank=2), 0.0)
    assert cell.floor() == 1


def test_reduced_capacity_bounds_the_ramp_up():
    """The capacity of a restarted engine is reduced while its limit ramps up.

    Ramping up to the old capacity would give it more than the new one.
    """
    cell = make_cell(capacity=16)
    cell.apply_cache_events("u0", 0.0, cleared=True)
    cell.configure(Pool(name="p", kind=PoolKind.ENGINE), make_upstreams(1, 2), 0.0)
    assert cell.snapshot().upstreams[0].limit == 2


def test_permit_that_its_entry_lacks_is_released():
    """The message that returns a permit is lost when its connection breaks."""
    cell = make_cell()
    cell.submit(make_request("a"), 0.0)
    cell.submit(make_request("b"), 0.0)
    assert cell.entries_with_permits(1.0) == {ENTRY}
    assert cell.reconcile(ENTRY, {"a"}, 1.0, 2.0) == []
    assert granted(cell.reconcile(ENTRY, set(), 1.0, 2.0)) == ["b"]


def test_concurrent_calls_keep_the_counts_consistent():
    cell = make_cell(upstreams=2, capacity=2, queue_limit=1000)

    def serve(number):
        for i in range(100):
            name = f"r{number}.{i}"
            decisions = cell.submit(make_request(name, rank=i % 3, deadline=1e6), 0.0)
            while decisions:
                grants = [d for d in decisions if isinstance(d, Grant)]
                decisions = [n for g in grants for n in cell.end_permit(done(g), 0.0)]
            cell.tick(0.0)

    threads = [Thread(target=serve, args=(number,)) for number in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    snapshot = cell.snapshot()
    assert snapshot.in_flight == 0
    assert sum(t.count for t in snapshot.granted) == 400


def test_request_refused_as_closed_stays_closed():
    """Duplicates of an answered request arrive long after the answer.

    The record of the answer alone would have expired by then. The refusal of
    each duplicate must extend it, as a permit would contradict the refusal.
    """
    cell = make_cell()
    [grant] = cell.submit(make_request("a", deadline=1000.0), 0.0)
    cell.end_permit(done(grant), 0.1)
    for now in (50.0, 100.0, 150.0):
        decisions = cell.submit(make_request("a", deadline=1000.0), now)
        assert refused(decisions) == {"a": RefusalCode.CLOSED}
