"""Slices of an organisation's limits over many entries."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from baobabwing.brands.catalogue import Limits
from baobabwing.brands.slices import Demand, SliceHome, fallback_limits

VALID_S = 2.0
LIMITS = Limits(requests_per_s=100.0, tokens_per_s=1000.0, concurrency=10)


def make_home(**changes):
    return SliceHome(limits=Limits(**changes) if changes else LIMITS, valid_s=VALID_S)


def test_slices_follow_demand():
    home = make_home(requests_per_s=100.0)
    for step in range(20):
        busy = home.lease("a#1", Demand(requests_per_s=30.0), step * 0.5)
        calm = home.lease("b#1", Demand(requests_per_s=10.0), step * 0.5)
    ratio = busy.limits.requests_per_s / calm.limits.requests_per_s
    assert ratio == pytest.approx(3.0)
    assert busy.limits.requests_per_s + calm.limits.requests_per_s > 90.0


def test_unbounded_stays_unbounded():
    assert make_home(requests_per_s=5.0).lease("a#1", Demand(), 0.0).limits == Limits(
        requests_per_s=4.75
    )


def test_new_entry_gets_a_slice_immediately():
    home = make_home(requests_per_s=100.0)
    home.lease("a#1", Demand(requests_per_s=100.0), 0.0)
    late = home.lease("b#1", Demand(requests_per_s=100.0), 0.1)
    assert late.valid_s == VALID_S
    assert late.limits.requests_per_s == pytest.approx(5.0)


def test_last_unit_rotates_between_entries():
    """Guards against one entry that renews the last unit indefinitely.

    Two entries query for a limit of one open request. Without rotation, callers of
    the second entry would be refused for as long as the first one runs.
    """
    home = make_home(concurrency=1)
    served = set()
    for step in range(40):
        for entry in ("a#1", "b#1"):
            if home.lease(entry, Demand(open=1), step * 0.5).valid_s:
                served.add(entry)
    assert served == {"a#1", "b#1"}


def test_empty_slice_is_not_mistaken_for_no_limit():
    """Guards against an entry that admits everything when nothing is left to lease.

    A slice with a concurrency of 0 would mean "no limit".
    """
    home = make_home(concurrency=1)
    home.lease("a#1", Demand(open=1), 0.0)
    assert home.lease("b#1", Demand(open=1), 0.1).valid_s == 0.0


def test_dead_entry_frees_its_slice():
    home = make_home(concurrency=1)
    home.lease("a#1", Demand(open=1), 0.0)
    home.forget_entry("a#1")
    assert home.lease("b#1", Demand(open=1), 0.1).valid_s == VALID_S


def test_change_of_home_at_most_doubles_usage_for_one_validity():
    """Bounds the overshoot when a home dies after leasing everything.

    The next home has none of its leases. Both sets of slices are in use until those
    of the first home expire, and never more.
    """
    first = make_home()
    second = make_home()
    for entry in ("a#1", "b#1", "c#1"):
        first.lease(entry, Demand(requests_per_s=50.0, open=3), 0.0)
        second.lease(entry, Demand(requests_per_s=50.0, open=3), 0.1)
    both = first.in_use(0.2).requests_per_s + second.in_use(0.2).requests_per_s
    assert both <= 2 * LIMITS.requests_per_s
    assert first.in_use(VALID_S).requests_per_s == 0.0


def test_fallback_adds_up_to_the_limits():
    part = fallback_limits(LIMITS, 5)
    assert part == Limits(requests_per_s=20.0, tokens_per_s=200.0, concurrency=2)
    assert fallback_limits(Limits(), 5) == Limits()


STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.floats(0.0, 500.0),
        st.integers(0, 20),
        st.floats(0.0, 1.5),
        st.booleans(),
    ),
    min_size=1,
    max_size=60,
)


@seed(20261202)
@settings(max_examples=150, deadline=None, database=None)
@given(STEPS)
def test_slices_in_use_never_exceed_the_limits(steps):
    """Guards against overshoot when answers with slices are lost.

    Each entry uses the last slice that it received. The test adds up the slices that
    may still be in use without relying on the records of the home.
    """
    home = make_home()
    received = {}
    now = 0.0
    for number, rate, open_requests, pause, lost in steps:
        now += pause
        entry = f"n{number}#1"
        demand = Demand(requests_per_s=rate, tokens_per_s=10 * rate, open=open_requests)
        leased = home.lease(entry, demand, now)
        if leased.valid_s and not lost:
            received[entry] = (leased.limits, now + leased.valid_s)
        live = [limits for limits, until in received.values() if until > now]
        assert sum(p.requests_per_s for p in live) <= LIMITS.requests_per_s + 1e-6
        assert sum(p.tokens_per_s for p in live) <= LIMITS.tokens_per_s + 1e-6
        assert sum(p.concurrency for p in live) <= LIMITS.concurrency
