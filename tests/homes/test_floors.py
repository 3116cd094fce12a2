"""Several cells of a pool under overload: redirection and refusal of requests."""

import random
import threading
from types import SimpleNamespace

import pytest

from baobabwing.bench.processes import wait_until
from baobabwing.exceptions import PeerError
from baobabwing.fleet.homes import home_of
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.homes import cells as cells_module
from baobabwing.homes import floors as floors_module
from baobabwing.homes.cells import CROWDED, LOAD_REFUSAL_CODES, CellHomes
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.partition import cell_names, cell_resource, upstreams_of_cell
from baobabwing.settings.configuration import Configuration
from baobabwing.wire.messages import (
    InflightAnswer,
    InflightItem,
    PermitDone,
    PermitRequest,
)

WAIT_S = 20.0
# The node of the callers, which is home of no cell.
ENTRY = "n9"
IDENTITY = f"{ENTRY}#1"
LOWEST = 9
QUEUE_LIMIT = 3


def make_host(name):
    return Host(
        name=name,
        incarnation=1,
        zone="abc"[int(name[1:]) % 3],
        region="r",
        peer=f"127.0.0.1:{1000 + int(name[1:])}",
        http="127.0.0.1:2",
        weight=1e-9 if name == ENTRY else 1.0,
    )


def make_configuration(count, each):
    """Return a configuration with one pool, whose cells have ``each`` upstreams."""
    pool = Pool(name="p", kind=PoolKind.SERVICE, cell_size=1, queue_limit=QUEUE_LIMIT)
    names = cell_names(pool, [None] * count)
    pool = Pool(
        name="p", kind=PoolKind.SERVICE, cell_size=each, queue_limit=QUEUE_LIMIT
    )
    members = {name: [] for name in names}
    number = 0
    while any(len(group) < each for group in members.values()):
        upstream = Upstream(
            name=f"u{number}", pool="p", address="127.0.0.1:1", capacity=1
        )
        number += 1
        filler = [upstream] * (count * each)
        home = next(n for n in names if upstreams_of_cell(n, pool, filler))
        if len(members[home]) < each:
            members[home].append(upstream)
    upstreams = tuple(member for group in members.values() for member in group)
    return Configuration(version=1, pools=(pool,), upstreams=upstreams)


class Clock:
    """A manual clock in place of the module ``time``."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now


class Fleet:
    """Homes that call each other directly, and an entry that follows redirections."""

    def __init__(self, homes, cells, each=1):
        self.hosts = [make_host(f"n{number}") for number in range(homes)]
        self.view = self._view_without(None)
        self.cfg = make_configuration(cells, each)
        self.cells = cell_names(self.cfg.pools[0], self.cfg.upstreams)
        self.floor_queries = 0
        self.floor_query_hook = lambda host: None
        self.inflight_items = ()
        self.entry_may_answer = threading.Event()
        self.entry_may_answer.set()
        self.request_count = 0
        self.homes = {host.name: self._make_homes(host) for host in self.hosts}
        for node in self.homes.values():
            node.configure(self.cfg)
        for node in self.homes.values():
            assert wait_until(lambda node=node: not node._rebuilding, timeout_s=WAIT_S)

    def _make_homes(self, host):
        return CellHomes(
            me=host,
            view=lambda: self.view,
            query_inflight=self._query_entry,
            local_inflight=lambda cell: InflightAnswer(),
            query_floor=self._query_floor,
        )

    def _view_without(self, dead):
        hosts = [*self.hosts, make_host(ENTRY)]
        return FleetView(
            members=tuple(
                Member(
                    host=host,
                    state=MemberState.DEAD if host.name == dead else MemberState.ALIVE,
                )
                for host in hosts
            )
        )

    def kill_home(self, cell):
        """Stop the home of a cell and show its death to all other homes."""
        dead = home_of(self.view, cell_resource(cell)).name
        self.homes.pop(dead).stop()
        self.view = self._view_without(dead)
        for homes in self.homes.values():
            homes.update_cells()

    def _query_entry(self, host, query):
        if host.name != ENTRY:
            return InflightAnswer()
        assert self.entry_may_answer.wait(WAIT_S)
        return InflightAnswer(items=self.inflight_items)

    def resubmit(self, request):
        """Submit a request to the new home, as its entry does when the old one died."""
        self._submit(request, True, 1)

    def _query_floor(self, host, query):
        self.floor_queries += 1
        self.floor_query_hook(host)
        return self.homes[host.name].answer_floor_query(query)

    def home(self, cell):
        return self.homes[home_of(self.view, cell_resource(cell)).name]

    def submit(self, cell, rank, budget_s=600.0, follow=True, moves=1):
        """Submit a request as an entry does; its decisions are added as they arrive.

        :param follow: whether redirections are followed.
        :param moves: cells that redirected the request before.
        """
        self.request_count += 1
        request = SimpleNamespace(
            id=f"r{self.request_count}",
            rank=rank,
            cell=cell,
            decisions=[],
            tried={},
            final_decision=None,
        )
        request.deadline = cells_module.time.monotonic() + budget_s
        self._submit(request, follow, moves)
        return request

    def _submit(self, request, follow, moves):
        now = cells_module.time.monotonic()
        message = PermitRequest(
            request_id=request.id,
            cell=request.cell,
            organisation="o",
            tier_rank=request.rank,
            budget_ms=max(1, int((request.deadline - now) * 1000)),
            prompt_tokens=0,
            output_tokens=0,
            tried=tuple(request.tried),
            moves=moves,
            recent=sum(at > now - 0.1 for at in request.tried.values()),
        )

        def respond(decision):
            request.decisions.append(decision)
            if decision.hand_to and follow:
                if decision.code != CROWDED:
                    request.tried[request.cell] = cells_module.time.monotonic()
                request.cell = decision.hand_to
                self._submit(request, follow, moves + 1)
            else:
                request.final_decision = decision
            return True

        self.home(request.cell).submit(IDENTITY, message, respond)

    def wait_settled(self, request):
        """Wait until a request is finally decided or queued; return the decision."""
        assert wait_until(
            lambda: request.final_decision is not None or self.is_queued(request),
            timeout_s=WAIT_S,
        )
        return request.final_decision

    def is_queued(self, request):
        home = self.home(request.cell)
        return request.id in home.cells()[request.cell]._queued

    def finish(self, request):
        done = PermitDone(
            request_id=request.id,
            cell=request.cell,
            upstream=request.final_decision.upstream,
            outcome="answered",
            duration_ms=100.0,
        )
        self.home(request.cell).release(done)

    def tick(self):
        for homes in self.homes.values():
            for cell in homes.cells().values():
                homes._send_decisions(cell, cell.tick(cells_module.time.monotonic()))

    def fill(self, cell, rank, each=1):
        """Fill all slots and the queue of a cell; return the requests."""
        requests = [
            self.submit(cell, rank, follow=False) for _ in range(each + QUEUE_LIMIT)
        ]
        for request in requests:
            self.wait_settled(request)
        return requests


@pytest.fixture
def clock(monkeypatch):
    manual_clock = Clock()
    for module in (cells_module, floors_module):
        monkeypatch.setattr(module, "time", manual_clock)
    # On a busy test host no home may be taken for unresponsive.
    monkeypatch.setattr(floors_module, "FLOOR_TIMEOUT_S", WAIT_S)
    return manual_clock


@pytest.fixture
def make_fleet(clock):
    fleets = []

    def make(*args, **kwargs):
        fleets.append(Fleet(*args, **kwargs))
        return fleets[-1]

    yield make
    for fleet in fleets:
        for homes in fleet.homes.values():
            homes.stop()


def is_final(decision):
    return decision is not None and decision.code in LOAD_REFUSAL_CODES


def test_full_cell_redirects_requests_to_one_with_free_slots(make_fleet):
    """Guards against refusing a request while upstreams of its pool are idle.

    Many requests share one prompt prefix and go to one cell. Its queue is full,
    and the other cells of the pool are empty.
    """
    fleet = make_fleet(homes=3, cells=3)
    fleet.fill("p/0", rank=1)
    request = fleet.submit("p/0", rank=1)
    fleet.wait_settled(request)
    assert request.final_decision.granted
    assert request.cell != "p/0"


def test_redirected_request_evicts_lower_tier_from_queue(make_fleet):
    """Guards against refusing a redirected request where lower tiers are queued.

    One cell is full of chats, the other of requests of a lower tier. The next chat
    must evict a queued request, whose refusal has a retry delay.
    """
    fleet = make_fleet(homes=2, cells=2)
    fleet.fill("p/0", rank=1)
    batch_requests = fleet.fill("p/1", rank=3)
    chat = fleet.submit("p/0", rank=1)
    assert fleet.wait_settled(chat) is None
    assert chat.cell == "p/1"
    assert wait_until(
        lambda: any(is_final(request.final_decision) for request in batch_requests),
        timeout_s=WAIT_S,
    )
    refused = [
        request for request in batch_requests if is_final(request.final_decision)
    ]
    assert len(refused) == 1
    assert refused[0].final_decision.retry_after_ms > 0


def test_all_cells_are_tried_before_a_request_is_refused(make_fleet):
    """Guards against refusing a request while one cell of many is empty."""
    fleet = make_fleet(homes=5, cells=8)
    for cell in fleet.cells[:-1]:
        fleet.fill(cell, rank=1)
    request = fleet.submit("p/0", rank=1)
    assert fleet.wait_settled(request).granted
    assert request.cell == fleet.cells[-1]


@pytest.mark.parametrize("number", range(4))
def test_no_lower_tier_is_admitted_when_a_higher_one_is_refused(
    make_fleet, clock, number
):
    """Guards against admitting a lower tier while a higher one is refused.

    A request ends in one cell just after its home reported to another home that it
    admits nothing. The other home refuses a chat on that answer, and the first home,
    which has free slots again, admits a lower tier. Runs generated histories.
    """
    rng = random.Random(number)
    fleet = make_fleet(homes=4, cells=6, each=2)
    waiting, running = [], []
    refused = redirected = 0
    for _ in range(400):
        clock.now += rng.uniform(0.0, 0.1)
        if running and rng.random() < 0.3:
            fleet.finish(running.pop(rng.randrange(len(running))))
        else:
            budget_s = rng.choice((0.3, 1.0, 30.0, 30.0))
            rank = rng.choice((0, 1, 1, 2, 2, 2, 3))
            waiting.append(fleet.submit(rng.choice(fleet.cells), rank, budget_s))
            if is_final(fleet.wait_settled(waiting[-1])):
                refused += 1
                check_lowest_tier_refused(fleet, fleet.cells)
        fleet.tick()
        for request in [request for request in waiting if fleet.wait_settled(request)]:
            waiting.remove(request)
            redirected += len(request.tried)
            if request.final_decision.granted:
                running.append(request)
    assert refused > 10
    assert redirected > 10


def check_lowest_tier_refused(fleet, cells):
    """Submit a request of the lowest tier to each cell; all must refuse it."""
    for cell in cells:
        decision = fleet.wait_settled(fleet.submit(cell, LOWEST, follow=False))
        assert decision is not None
        assert not decision.granted


def test_unresponsive_home_does_not_delay_a_refusal(make_fleet, monkeypatch):
    """Guards against delaying refusals for as long as one home is unresponsive."""
    fleet = make_fleet(homes=3, cells=4)
    monkeypatch.setattr(floors_module, "FLOOR_TIMEOUT_S", 0.1)
    resumed = threading.Event()
    local_home = fleet.home("p/0")
    frozen_host = next(
        host for host in fleet.hosts if fleet.homes[host.name] is not local_home
    )
    fleet.floor_query_hook = lambda host: host is frozen_host and resumed.wait(WAIT_S)
    for cell in fleet.cells:
        fleet.fill(cell, rank=1)
    request = fleet.submit("p/0", rank=1)
    try:
        assert fleet.wait_settled(request).code in LOAD_REFUSAL_CODES
        assert not resumed.is_set()
    finally:
        resumed.set()


def test_a_host_out_of_threads_still_refuses(make_fleet, monkeypatch):
    """Guards against callers that get no answer until their deadline.

    A host that cannot start another thread cannot query the other homes.
    """
    fleet = make_fleet(homes=1, cells=2)

    def start(thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", start)
    requests = [fleet.submit("p/0", rank=1) for _ in range(QUEUE_LIMIT + 2)]
    assert is_final(fleet.wait_settled(requests[-1]))


def test_a_dead_home_counts_as_full(make_fleet):
    fleet = make_fleet(homes=3, cells=4)

    def fail(host):
        raise PeerError("dead", step="floor")

    fleet.floor_query_hook = fail
    for cell in fleet.cells:
        fleet.fill(cell, rank=1)
    request = fleet.submit("p/0", rank=1)
    assert not fleet.wait_settled(request).granted


def test_floors_cost_nothing_at_rest_and_little_under_overload(make_fleet, clock):
    """Guards against control traffic that grows with the refusals under overload."""
    fleet = make_fleet(homes=6, cells=6)
    for cell in fleet.cells:
        fleet.submit(cell, rank=1)
    assert fleet.floor_queries == 0
    for cell in fleet.cells:
        fleet.fill(cell, rank=1)
    others = set(map(fleet.home, fleet.cells)) - {fleet.home("p/0")}
    before = fleet.floor_queries
    refused = [fleet.submit("p/0", rank=1, follow=False) for _ in range(100)]
    assert all(map(fleet.wait_settled, refused))
    # Cached answers that reported free slots are refreshed at most once.
    assert fleet.floor_queries - before <= 2 * len(others)


def test_hot_prefix_is_spread_over_cells(make_fleet):
    """Guards against queueing for one cell while upstreams of others are idle.

    All requests go to the cell of their prompt prefix. It would admit all of them,
    since its queue is long and their deadlines are late.
    """
    fleet = make_fleet(homes=3, cells=3)
    waiting = [fleet.submit("p/0", rank=1, moves=0) for _ in range(3)]
    fleet.home("p/0")._measure_occupancy()

    def is_redirected():
        request = fleet.submit("p/0", rank=1, moves=0)
        waiting.append(request)
        fleet.wait_settled(request)
        return request.cell != "p/0"

    assert wait_until(is_redirected, timeout_s=WAIT_S)
    assert waiting[-1].decisions[0].code == CROWDED
    assert waiting[-1].final_decision.granted


def test_higher_tier_is_not_redirected_because_of_lower_tiers(make_fleet):
    """Guards against losing a cached prefix because lower tiers are queued."""
    fleet = make_fleet(homes=3, cells=3)
    fleet.fill("p/0", rank=3)
    home = fleet.home("p/0")
    home._measure_occupancy()
    assert home._occupancy["p/0"].waits_long(3)
    assert not home._occupancy["p/0"].waits_long(1)


@pytest.mark.parametrize("still_running", [True, False])
def test_new_home_admits_resubmitted_requests_in_tier_order(make_fleet, still_running):
    """Guards against admitting a lower tier before a chat that was queued longer.

    The home of one of two cells dies in a burst. The entries resubmit their requests
    to the new home, lower tiers first. It must not grant the slot before it has the
    requests in flight and the chat was resubmitted.
    """
    fleet = make_fleet(homes=3, cells=2)
    running = fleet.submit("p/0", rank=2)
    queued = [fleet.submit("p/0", rank) for rank in (1, 3, 2)]
    assert fleet.wait_settled(running).granted
    assert not any(map(fleet.wait_settled, queued))
    if still_running:
        item = InflightItem(
            request_id=running.id, upstream=running.final_decision.upstream
        )
        fleet.inflight_items = (item,)
    fleet.entry_may_answer.clear()
    fleet.kill_home("p/0")
    by_tier = sorted(queued, key=lambda request: request.rank)
    for request in reversed(by_tier):
        fleet.resubmit(request)
    assert not any(request.decisions for request in queued)
    fleet.entry_may_answer.set()
    home = fleet.home("p/0")
    assert wait_until(lambda: not home._rebuilding, timeout_s=WAIT_S)
    if still_running:
        assert not any(request.decisions for request in queued)
        fleet.finish(running)
    for number, request in enumerate(by_tier):
        assert wait_until(
            lambda request=request: request.final_decision, timeout_s=WAIT_S
        )
        assert not any(other.decisions for other in by_tier[number + 1 :])
        fleet.finish(request)
    assert all([d.granted for d in request.decisions] == [True] for request in queued)


def test_promise_closes_lower_tiers_until_it_expires():
    promises = floors_module.Promises()
    promises.close_below("p/0", 1, 10.0)
    assert promises.closed_s("p/0", 2, 9.0) == pytest.approx(1.0)
    assert promises.closed_s("p/0", 1, 9.0) == 0.0
    assert promises.closed_s("p/1", 2, 9.0) == 0.0
    assert promises.lowest_open("p/0", 9.0) == 1
    promises.expire(10.0)
    assert promises.closed_s("p/0", 2, 9.0) == 0.0
