"""The lease: one holder at a time, whatever is lost or paused."""

import pytest

from baobabwing.exceptions import PlatformUnavailableError, PlatformUncertainError
from baobabwing.orders.errors import LeaseLostError
from baobabwing.store.memory import Fault

LEASE_S = 10.0


def fail(site, operation, *faults):
    left = list(faults)

    def on_call(call):
        return left.pop(0) if call.operation == operation and left else None

    site.tables.on_call = on_call


def test_second_holder_waits_and_gets_a_higher_token(site):
    first, second = site.holder("a"), site.holder("b")
    assert first.acquire().token == 1
    assert second.acquire() is None
    site.clock.sleep(LEASE_S)
    assert second.acquire() is None
    site.clock.sleep(LEASE_S * 0.2)
    lease = second.acquire()
    assert lease.token == 2
    assert lease.taken_over_at == site.clock()


def test_renewed_lease_is_not_taken(site):
    first, second = site.holder("a"), site.holder("b")
    first.acquire()
    for _ in range(10):
        site.clock.sleep(LEASE_S / 4)
        first.require(1.0, step="order")
        assert second.acquire() is None


def test_released_lease_is_free_at_once(site):
    first, second = site.holder("a"), site.holder("b")
    first.acquire()
    first.release()
    lease = second.acquire()
    assert lease.token == 2
    assert lease.taken_over_at == float("-inf")


def test_paused_holder_stops(site):
    """A holder is paused within a move, and its lease lapses.

    Another process takes the lease and goes on. When the first wakes up, it
    believes that it holds the lease, and would give its next order beside it.
    """
    first, second = site.holder("a"), site.holder("b")
    first.acquire()
    assert second.acquire() is None
    site.clock.sleep(LEASE_S * 1.2)
    assert second.acquire().token == 2
    with pytest.raises(LeaseLostError):
        first.require(0.0, step="order")
    with pytest.raises(LeaseLostError):
        first.require(0.0, step="order")


def test_paused_holder_goes_on_if_nobody_took_over(site):
    first = site.holder("a")
    first.acquire()
    site.clock.sleep(LEASE_S * 3)
    assert first.require(1.0, step="order").token == 1


def test_order_that_would_end_too_late_is_not_given(site):
    """The store is down, and the lease cannot be renewed.

    Orders go on while they end well inside the lease, and then stop: a rival
    with a store that answers may take over as soon as the lease lapses.
    """
    first = site.holder("a")
    first.acquire()
    site.tables.on_call = lambda call: Fault.REFUSE
    site.clock.sleep(LEASE_S * 0.4)
    first.require(LEASE_S * 0.1, step="order")
    with pytest.raises(LeaseLostError):
        first.require(LEASE_S * 0.3, step="order")


@pytest.mark.parametrize("fault", [Fault.LOSE_ANSWER, Fault.LOSE_REQUEST])
def test_answer_to_taking_is_lost(site, fault):
    """The write that takes the lease is lost, or only its answer is.

    A holder that wrongly thinks it failed would block everybody for a lease; one
    that wrongly thinks it succeeded would order beside the real holder.
    """
    fail(site, "put", fault)
    first, second = site.holder("a"), site.holder("b")
    got = first.acquire()
    assert (got is not None) == (fault is Fault.LOSE_ANSWER)
    lease = got or first.acquire()
    assert lease.token == 1
    assert second.acquire() is None


def test_answer_lost_and_store_down_after(site):
    """The answer to taking the lease is lost and then the store is down.

    When it is back the row says that the lease is ours; it counts from when it
    was first asked for, and is renewed before any order.
    """
    holder = site.holder("a")
    fail(site, "put", Fault.LOSE_ANSWER)
    broken = site.tables.on_call
    reads = [None, Fault.REFUSE]
    site.tables.on_call = lambda call: (
        reads.pop(0) if call.operation == "read" and reads else broken(call)
    )
    with pytest.raises(PlatformUnavailableError):
        holder.acquire()
    site.tables.on_call = None
    asked_at = site.clock()
    site.clock.sleep(LEASE_S)
    assert holder.acquire().counted_from == asked_at
    assert holder.require(1.0, step="order").counted_from == site.clock()


@pytest.mark.parametrize("fault", [Fault.LOSE_ANSWER, Fault.LOSE_REQUEST])
def test_answer_to_a_renewal_is_lost(site, fault):
    holder, rival = site.holder("a"), site.holder("b")
    holder.acquire()
    site.clock.sleep(LEASE_S * 0.5)
    fail(site, "put", fault)
    assert holder.require(0.5, step="order").token == 1
    site.clock.sleep(LEASE_S * 0.5)
    assert rival.acquire() is None
    assert holder.require(0.5, step="order").token == 1


def test_answer_to_a_renewal_is_lost_and_cannot_be_read_back(site):
    holder = site.holder("a")
    holder.acquire()
    site.clock.sleep(LEASE_S * 0.3)
    site.tables.on_call = lambda call: (
        Fault.LOSE_ANSWER if call.operation == "put" else Fault.REFUSE
    )
    holder.require(0.5, step="order")
    site.tables.on_call = None
    site.clock.sleep(LEASE_S * 0.2)
    assert holder.renew().counted_from == site.clock()


def test_two_rivals_race_for_a_lapsed_lease(site):
    """Two processes see a lease lapse, and both take it in the same moment."""
    first, second, third = (site.holder(name) for name in "abc")
    first.acquire()
    assert (second.acquire(), third.acquire()) == (None, None)
    site.clock.sleep(LEASE_S * 1.2)
    won = []

    def on_call(call):
        if call.operation == "put":
            site.tables.on_call = None
            won.append(third.acquire())

    site.tables.on_call = on_call
    assert second.acquire() is None
    assert [lease.token for lease in won] == [2]


def test_renewal_with_reads_that_lag(site):
    """A renewal's answer is lost, and the store then answers reads from the past.

    The row has moved on, but reading does not show it: nothing can be settled
    now, and the holder must neither loop nor believe that a rival took over.
    """
    holder = site.holder("a")
    holder.acquire()
    past = site.tables.read("leases", "orders")
    fail(site, "put", Fault.LOSE_ANSWER)
    site.tables.read = lambda table, key: past
    for _ in range(2):
        with pytest.raises(PlatformUncertainError):
            holder.renew()
    del site.tables.read
    assert holder.renew().token == 1
