"""Claims on caller-chosen keys, with faults of the table service."""

import threading

import pytest

from baobabwing.bench.processes import wait_until
from baobabwing.exceptions import PlatformUnavailableError
from baobabwing.requests.claims import Claim, ClaimService
from baobabwing.store.memory import Fault, MemoryTables

BUDGET_S = 5.0


def _claim(node, at_s=100):
    return Claim(node=node, incarnation=1, claimed_at_s=at_s)


@pytest.fixture
def services():
    started = []

    def make(tables, budget_s=BUDGET_S):
        service = ClaimService(tables=tables, budget_s=budget_s)
        service.start()
        started.append(service)
        return service

    yield make
    for service in started:
        service.stop()


def _faults(*faults):
    """Return a hook that injects these faults into the first calls."""
    remaining = list(faults)

    def on_call(call):
        return remaining.pop(0) if remaining else None

    return on_call


def test_first_claim_holds(services):
    """A request is sent to two hosts at once; only one may dispatch it."""
    tables = MemoryTables()
    one, two = services(tables), services(tables)
    assert one.claim("salon", "k", _claim("a")) == _claim("a")
    assert two.claim("salon", "k", _claim("b")) == _claim("a")
    assert two.claim("rival", "k", _claim("b")) == _claim("b")


def test_race_of_many(services):
    tables = MemoryTables()
    nodes = [f"n{number}" for number in range(8)]
    services_by_node = {node: services(tables) for node in nodes}
    held = {}

    def claim(node):
        held[node] = services_by_node[node].claim("salon", "k", _claim(node))

    threads = [threading.Thread(target=claim, args=(node,)) for node in nodes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(set(held.values())) == 1


def test_lost_answer_is_settled_by_reading_back(services):
    """The insert takes effect but its response is lost; the request goes on."""
    service = services(MemoryTables(on_call=_faults(Fault.LOSE_ANSWER)))
    assert service.claim("salon", "k", _claim("a")) == _claim("a")


def test_lost_answer_may_hide_another_owner(services):
    """The lost response would have reported that another host owns the key.

    A host that treats the loss as success would dispatch a second time.
    """
    tables = MemoryTables()
    services(tables).claim("salon", "k", _claim("b"))
    tables.on_call = _faults(Fault.LOSE_ANSWER, Fault.REFUSE)
    assert services(tables).claim("salon", "k", _claim("a")) == _claim("b")


def test_lost_request_is_not_run(services):
    """The insert never arrived: reading back finds no claim, so nothing is run."""
    service = services(MemoryTables(on_call=_faults(Fault.LOSE_REQUEST)))
    with pytest.raises(PlatformUnavailableError):
        service.claim("salon", "k", _claim("a"))
    assert service.claim("salon", "k", _claim("a", 101)) == _claim("a", 101)


def test_lost_answer_and_store_down_after(services):
    """Whether the insert took effect cannot be read back; nothing is dispatched.

    When the store is available again, the stored claim names this host, and the
    caller's next attempt uses it.
    """
    faults = (Fault.LOSE_ANSWER, *(Fault.REFUSE,) * 3)
    service = services(MemoryTables(on_call=_faults(*faults)))
    with pytest.raises(PlatformUnavailableError):
        service.claim("salon", "k", _claim("a"))
    assert service.claim("salon", "k", _claim("a", 101)) == _claim("a")


def test_store_down(services):
    """The store is down; the claim fails at once, not after the deadline."""
    service = services(MemoryTables(on_call=lambda call: Fault.REFUSE))
    with pytest.raises(PlatformUnavailableError):
        service.claim("salon", "k", _claim("a"))


def test_store_hangs(services):
    """The store hangs past the budget; then the insert takes effect all the same.

    The claim names this host, so another host's claim must fail.
    """
    proceed = threading.Event()

    def hang(call):
        proceed.wait(20.0)

    tables = MemoryTables(on_call=hang)
    service = services(tables, budget_s=0.05)
    with pytest.raises(PlatformUnavailableError):
        service.claim("salon", "k", _claim("a"))
    proceed.set()
    assert wait_until(lambda: bool(tables.list_items("claims")), timeout_s=10.0)
    assert services(tables).claim("salon", "k", _claim("b")) == _claim("a")


def test_pending_claims_are_sent_as_one_write(services):
    """Peak traffic must fit into a few hundred writes a second."""
    first_inserted, proceed = threading.Event(), threading.Event()
    inserts = []

    def on_call(call):
        inserts.append(call)
        first_inserted.set()
        proceed.wait(20.0)

    tables = MemoryTables(on_call=on_call)
    service = services(tables, budget_s=20.0)
    threads = [
        threading.Thread(target=service.claim, args=("salon", f"k{n}", _claim("a")))
        for n in range(33)
    ]
    threads[0].start()
    first_inserted.wait(20.0)
    for thread in threads[1:]:
        thread.start()
    while service._queue.qsize() < 32:
        threads[1].join(0.001)
    proceed.set()
    for thread in threads:
        thread.join(20.0)
    assert len(inserts) == 2
