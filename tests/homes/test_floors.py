"""Several cells of a pool under overload: who takes over, and who refuses."""

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
# The node of the callers, which is home of nothing.
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
    """Return a pool of cells with the same number of upstreams each."""
    pool = Pool(name="p", kind=PoolKind.SERVICE, cell_size=1, queue_limit=QUEUE_LIMIT)
    names = cell_names(pool, [None] * count)
    pool = Pool(
        name="p", kind=PoolKind.SERVICE, cell_size=each, queue_limit=QUEUE_LIMIT
    )
    members = {name: [] for name in names}
    number = 0
    while any(len(one) < each for one in members.values()):
        upstream = Upstream(
            name=f"u{number}", pool="p", address="127.0.0.1:1", capacity=1
        )
        number += 1
        filler = [upstream] * (count * each)
        home = next(n for n in names if upstreams_of_cell(n, pool, filler))
        if len(members[home]) < each:
            members[home].append(upstream)
    upstreams = tuple(one for group in members.values() for one in group)
    return Configuration(version=1, pools=(pool,), upstreams=upstreams)


class Clock:
    """Time that only the test moves."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now


class Fleet:
    """Homes that reach each other directly, and an entry that follows refusals."""

    def __init__(self, homes, cells, each=1):
        self.hosts = [make_host(f"n{number}") for number in range(homes)]
        self.view = self._view_without(None)
        self.cfg = make_configuration(cells, each)
        self.cells = cell_names(self.cfg.pools[0], self.cfg.upstreams)
        self.asked = 0
        self.ask_hook = lambda host: None
        self.at_upstreams = ()
        self.entry_answers = threading.Event()
        self.entry_answers.set()
        self.count = 0
        self.homes = {one.name: self._make(one) for one in self.hosts}
        for one in self.homes.values():
            one.configure(self.cfg)
        for one in self.homes.values():
            assert wait_until(lambda one=one: not one._rebuilding, timeout_s=WAIT_S)

    def _make(self, host):
        return CellHomes(
            me=host,
            view=lambda: self.view,
            ask_peer=self._ask_entry,
            own_inflight=lambda cell: InflightAnswer(),
            ask_floor=self._ask_floor,
        )

    def _view_without(self, dead):
        hosts = [*self.hosts, make_host(ENTRY)]
        return FleetView(
            members=tuple(
                Member(
                    host=one,
                    state=MemberState.DEAD if one.name == dead else MemberState.ALIVE,
                )
                for one in hosts
            )
        )

    def kill_home(self, cell):
        """Let the home of a cell die, and all others see it."""
        dead = home_of(self.view, cell_resource(cell)).name
        self.homes.pop(dead).stop()
        self.view = self._view_without(dead)
        for one in self.homes.values():
            one.place()

    def _ask_entry(self, host, query):
        if host.name != ENTRY:
            return InflightAnswer()
        assert self.entry_answers.wait(WAIT_S)
        return InflightAnswer(items=self.at_upstreams)

    def ask_again(self, asked):
        """Ask the present home, as an entry does that lost the one before."""
        self._submit(asked, True, 1)

    def _ask_floor(self, host, query):
        self.asked += 1
        self.ask_hook(host)
        return self.homes[host.name].floor(query)

    def home(self, cell):
        return self.homes[home_of(self.view, cell_resource(cell)).name]

    def enter(self, cell, rank, budget_s=600.0, follow=True, moves=1):
        """Ask as an entry does; the result fills in once it is known."""
        self.count += 1
        asked = SimpleNamespace(
            id=f"r{self.count}", rank=rank, cell=cell, decisions=[], tried={}, last=None
        )
        asked.deadline = cells_module.time.monotonic() + budget_s
        self._submit(asked, follow, moves)
        return asked

    def _submit(self, asked, follow, moves):
        now = cells_module.time.monotonic()
        message = PermitRequest(
            request_id=asked.id,
            cell=asked.cell,
            organisation="o",
            tier_rank=asked.rank,
            budget_ms=max(1, int((asked.deadline - now) * 1000)),
            prompt_tokens=0,
            output_tokens=0,
            tried=tuple(asked.tried),
            moves=moves,
            recent=sum(at > now - 0.1 for at in asked.tried.values()),
        )

        def respond(decision):
            asked.decisions.append(decision)
            if decision.hand_to and follow:
                if decision.code != CROWDED:
                    asked.tried[asked.cell] = cells_module.time.monotonic()
                asked.cell = decision.hand_to
                self._submit(asked, follow, moves + 1)
            else:
                asked.last = decision
            return True

        self.home(asked.cell).submit(IDENTITY, message, respond)

    def settle(self, asked):
        """Wait until an ask is decided or queued for good."""
        assert wait_until(
            lambda: asked.last is not None or self.queued(asked), timeout_s=WAIT_S
        )
        return asked.last

    def queued(self, asked):
        home = self.home(asked.cell)
        return asked.id in home.cells()[asked.cell]._queued

    def end(self, asked):
        done = PermitDone(
            request_id=asked.id,
            cell=asked.cell,
            upstream=asked.last.upstream,
            outcome="answered",
            duration_ms=100.0,
        )
        self.home(asked.cell).done(done)

    def tick(self):
        for homes in self.homes.values():
            for cell in homes.cells().values():
                homes._send_decisions(cell, cell.tick(cells_module.time.monotonic()))

    def fill(self, cell, rank, each=1):
        """Take all slots and queue places of a cell; return the asks."""
        asks = [self.enter(cell, rank, follow=False) for _ in range(each + QUEUE_LIMIT)]
        for one in asks:
            self.settle(one)
        return asks


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    for module in (cells_module, floors_module):
        monkeypatch.setattr(module, "time", made)
    # A busy machine must not make a home look silent.
    monkeypatch.setattr(floors_module, "FLOOR_TIMEOUT_S", WAIT_S)
    return made


@pytest.fixture
def make_fleet(clock):
    made = []

    def make(*args, **kwargs):
        made.append(Fleet(*args, **kwargs))
        return made[-1]

    yield make
    for fleet in made:
        for one in fleet.homes.values():
            one.stop()


def is_final(decision):
    return decision is not None and decision.code in LOAD_REFUSAL_CODES


def test_a_full_cell_hands_its_work_to_one_with_room(make_fleet):
    """A customer's chat would be refused while workers of its pool stand idle.

    Many requests share one prompt prefix and go to one cell. Its queue is full;
    the pool's other cells are empty.
    """
    fleet = make_fleet(homes=3, cells=3)
    fleet.fill("p/0", rank=1)
    asked = fleet.enter("p/0", rank=1)
    fleet.settle(asked)
    assert asked.last.granted
    assert asked.cell != "p/0"


def test_handed_work_pushes_lower_tiers_out_of_the_queue(make_fleet):
    """A chat handed on would be refused where parent notes are queued.

    One cell is full of chats, the other of notes. The next chat must take the
    place of a queued note, whose caller is told to come back.
    """
    fleet = make_fleet(homes=2, cells=2)
    fleet.fill("p/0", rank=1)
    notes = fleet.fill("p/1", rank=3)
    chat = fleet.enter("p/0", rank=1)
    assert fleet.settle(chat) is None
    assert chat.cell == "p/1"
    assert wait_until(
        lambda: any(is_final(one.last) for one in notes), timeout_s=WAIT_S
    )
    refused = [one for one in notes if is_final(one.last)]
    assert len(refused) == 1
    assert refused[0].last.retry_after_ms > 0


def test_all_cells_are_tried_before_a_request_is_refused(make_fleet):
    """A chat would be refused with one cell of many still empty."""
    fleet = make_fleet(homes=5, cells=8)
    for cell in fleet.cells[:-1]:
        fleet.fill(cell, rank=1)
    asked = fleet.enter("p/0", rank=1)
    assert fleet.settle(asked).granted
    assert asked.cell == fleet.cells[-1]


@pytest.mark.parametrize("number", range(4))
def test_no_lower_tier_is_admitted_when_a_higher_one_is_refused(
    make_fleet, clock, number
):
    """A waiting customer is refused while another home queues parent notes.

    Work ends in one cell just after another cell's home was told that nothing
    is admitted there. The second refuses a chat, relying on that answer, and
    the first, with room again, admits notes. Generated histories.
    """
    rng = random.Random(number)
    fleet = make_fleet(homes=4, cells=6, each=2)
    waiting, running = [], []
    refused = handed = 0
    for _ in range(400):
        clock.now += rng.uniform(0.0, 0.1)
        if running and rng.random() < 0.3:
            fleet.end(running.pop(rng.randrange(len(running))))
        else:
            budget_s = rng.choice((0.3, 1.0, 30.0, 30.0))
            rank = rng.choice((0, 1, 1, 2, 2, 2, 3))
            waiting.append(fleet.enter(rng.choice(fleet.cells), rank, budget_s))
            if is_final(fleet.settle(waiting[-1])):
                refused += 1
                check_closed(fleet, fleet.cells)
        fleet.tick()
        for one in [one for one in waiting if fleet.settle(one)]:
            waiting.remove(one)
            handed += len(one.tried)
            if one.last.granted:
                running.append(one)
    assert refused > 10
    assert handed > 10


def check_closed(fleet, cells):
    """Ask for the lowest tier at cells; none may take it."""
    for cell in cells:
        last = fleet.settle(fleet.enter(cell, LOWEST, follow=False))
        assert last is not None
        assert not last.granted


def test_a_frozen_home_does_not_hold_up_a_refusal(make_fleet, monkeypatch):
    """Callers would wait for their refusal for as long as one home is frozen."""
    fleet = make_fleet(homes=3, cells=4)
    monkeypatch.setattr(floors_module, "FLOOR_TIMEOUT_S", 0.1)
    thawed = threading.Event()
    silent = fleet.home("p/0")
    slow = next(one for one in fleet.hosts if fleet.homes[one.name] is not silent)
    fleet.ask_hook = lambda host: host is slow and thawed.wait(WAIT_S)
    for cell in fleet.cells:
        fleet.fill(cell, rank=1)
    asked = fleet.enter("p/0", rank=1)
    try:
        assert fleet.settle(asked).code in LOAD_REFUSAL_CODES
        assert not thawed.is_set()
    finally:
        thawed.set()


def test_a_host_out_of_threads_still_refuses(make_fleet, monkeypatch):
    """Callers would hear nothing until their deadline.

    A host at the bound of its threads cannot ask the other homes.
    """
    fleet = make_fleet(homes=1, cells=2)

    def start(thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", start)
    asked = [fleet.enter("p/0", rank=1) for _ in range(QUEUE_LIMIT + 2)]
    assert is_final(fleet.settle(asked[-1]))


def test_a_dead_home_counts_as_full(make_fleet):
    fleet = make_fleet(homes=3, cells=4)

    def fail(host):
        raise PeerError("dead", step="floor")

    fleet.ask_hook = fail
    for cell in fleet.cells:
        fleet.fill(cell, rank=1)
    asked = fleet.enter("p/0", rank=1)
    assert not fleet.settle(asked).granted


def test_floors_cost_nothing_at_rest_and_little_under_overload(make_fleet, clock):
    """Control traffic would grow with every refusal, just when all is busy."""
    fleet = make_fleet(homes=6, cells=6)
    for cell in fleet.cells:
        fleet.enter(cell, rank=1)
    assert fleet.asked == 0
    for cell in fleet.cells:
        fleet.fill(cell, rank=1)
    others = set(map(fleet.home, fleet.cells)) - {fleet.home("p/0")}
    before = fleet.asked
    refused = [fleet.enter("p/0", rank=1, follow=False) for _ in range(100)]
    assert all(map(fleet.settle, refused))
    # Old answers that told of room are asked for once more at most.
    assert fleet.asked - before <= 2 * len(others)


def test_one_hot_prefix_does_not_crowd_one_cell(make_fleet):
    """Callers with one prompt prefix would queue while workers stand idle.

    All requests go to the cell of their prefix. It would take them all, one
    after the other, since its queue is long and their deadlines are late.
    """
    fleet = make_fleet(homes=3, cells=3)
    waiting = [fleet.enter("p/0", rank=1, moves=0) for _ in range(3)]
    fleet.home("p/0")._measure_occupancy()

    def moved():
        asked = fleet.enter("p/0", rank=1, moves=0)
        waiting.append(asked)
        fleet.settle(asked)
        return asked.cell != "p/0"

    assert wait_until(moved, timeout_s=WAIT_S)
    assert waiting[-1].decisions[0].code == CROWDED
    assert waiting[-1].last.granted


def test_a_higher_tier_is_not_moved_for_the_sake_of_lower_work(make_fleet):
    """A chat would lose its cached prefix since notes wait behind it anyway."""
    fleet = make_fleet(homes=3, cells=3)
    fleet.fill("p/0", rank=3)
    home = fleet.home("p/0")
    home._measure_occupancy()
    assert home._occupancy["p/0"].waits_long(3)
    assert not home._occupancy["p/0"].waits_long(1)


@pytest.mark.parametrize("runs_on", [True, False])
def test_queued_work_goes_to_the_new_home_in_its_order(make_fleet, runs_on):
    """Parent notes would run before a chat that had queued longer.

    The home of one of two cells dies in a burst. The entries ask the new home
    again, notes first. It must not give the slot away, nor give it to notes,
    before it knows what still runs and the chat has come back.
    """
    fleet = make_fleet(homes=3, cells=2)
    running = fleet.enter("p/0", rank=2)
    queued = [fleet.enter("p/0", rank) for rank in (1, 3, 2)]
    assert fleet.settle(running).granted
    assert not any(map(fleet.settle, queued))
    if runs_on:
        item = InflightItem(request_id=running.id, upstream=running.last.upstream)
        fleet.at_upstreams = (item,)
    fleet.entry_answers.clear()
    fleet.kill_home("p/0")
    by_tier = sorted(queued, key=lambda one: one.rank)
    for one in reversed(by_tier):
        fleet.ask_again(one)
    assert not any(one.decisions for one in queued)
    fleet.entry_answers.set()
    home = fleet.home("p/0")
    assert wait_until(lambda: not home._rebuilding, timeout_s=WAIT_S)
    if runs_on:
        assert not any(one.decisions for one in queued)
        fleet.end(running)
    for number, one in enumerate(by_tier):
        assert wait_until(lambda one=one: one.last, timeout_s=WAIT_S)
        assert not any(other.decisions for other in by_tier[number + 1 :])
        fleet.end(one)
    assert all([d.granted for d in one.decisions] == [True] for one in queued)


def test_promises_outlast_the_use_of_the_answers():
    promises = floors_module.Promises()
    promises.close_below("p/0", 1, 10.0)
    assert promises.closed_s("p/0", 2, 9.0) == pytest.approx(1.0)
    assert promises.closed_s("p/0", 1, 9.0) == 0.0
    assert promises.closed_s("p/1", 2, 9.0) == 0.0
    assert promises.lowest_open("p/0", 9.0) == 1
    promises.expire(10.0)
    assert promises.closed_s("p/0", 2, 9.0) == 0.0
