"""At most one process holds the lease despite lost messages and pauses."""

import pytest

from baobabwing.exceptions import PlatformUnavailableError, PlatformUncertainError
from baobabwing.orders.errors import LeaseLostError
from baobabwing.store.memory import Fault

LEASE_S = 10.0


def fail(site, operation, *faults):
    remaining = list(faults)

    def on_call(call):
        return remaining.pop(0) if call.operation == operation and remaining else None

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
    """Guards against two holders that give orders at the same time.

    A holder is paused within a move, its lease lapses and another process takes
    it. When the first resumes, its state still says that it holds the lease.
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


def test_paused_holder_continues_if_no_rival_took_over(site):
    first = site.holder("a")
    first.acquire()
    site.clock.sleep(LEASE_S * 3)
    assert first.require(1.0, step="order").token == 1


def test_order_that_would_end_too_late_is_not_given(site):
    """Guards against orders past the lease while the store is unavailable.

    The lease cannot be renewed. Orders are given while they end well before it
    lapses, and then no more: a rival that reaches the store may take it over.
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
    """Guards against a wrong outcome when taking the lease is uncertain.

    The write is lost, or only its answer. A holder that wrongly assumes failure
    would block all processes for the lease's duration; one that wrongly assumes
    success would give orders at the same time as the actual holder.
    """
    fail(site, "put", fault)
    first, second = site.holder("a"), site.holder("b")
    first_result = first.acquire()
    assert (first_result is not None) == (fault is Fault.LOSE_ANSWER)
    lease = first_result or first.acquire()
    assert lease.token == 1
    assert second.acquire() is None


def test_answer_lost_and_store_down_after(site):
    """Guards against a lease that counts from its adoption, too late.

    The answer to taking the lease is lost and the store becomes unavailable. Later
    the row shows that the lease was taken; its duration counts from the first
    request, and it is renewed before any order.
    """
    holder = site.holder("a")
    fail(site, "put", Fault.LOSE_ANSWER)
    lose_answer = site.tables.on_call
    reads = [None, Fault.REFUSE]
    site.tables.on_call = lambda call: (
        reads.pop(0) if call.operation == "read" and reads else lose_answer(call)
    )
    with pytest.raises(PlatformUnavailableError):
        holder.acquire()
    site.tables.on_call = None
    requested_at = site.clock()
    site.clock.sleep(LEASE_S)
    assert holder.acquire().counted_from == requested_at
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
    """Guards against two processes that take a lapsed lease at the same time."""
    first, second, third = (site.holder(name) for name in "abc")
    first.acquire()
    assert (second.acquire(), third.acquire()) == (None, None)
    site.clock.sleep(LEASE_S * 1.2)
    rival_leases = []

    def on_call(call):
        if call.operation == "put":
            site.tables.on_call = None
            rival_leases.append(third.acquire())

    site.tables.on_call = on_call
    assert second.acquire() is None
    assert [lease.token for lease in rival_leases] == [2]


def test_renewal_with_reads_that_lag(site):
    """Guards against a loop, or a wrong loss of the lease, when reads lag.

    A renewal's answer is lost, and the store then answers reads with older rows,
    so that the outcome of the renewal cannot be read back.
    """
    holder = site.holder("a")
    holder.acquire()
    older_row = site.tables.read("leases", "orders")
    fail(site, "put", Fault.LOSE_ANSWER)
    site.tables.read = lambda table, key: older_row
    for _ in range(2):
        with pytest.raises(PlatformUncertainError):
            holder.renew()
    del site.tables.read
    assert holder.renew().token == 1
