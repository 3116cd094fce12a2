"""Tests of the retry budget: the retries of all nodes stay within the bound."""

import bisect
import itertools
import random

import pytest

from baobabwing.gateway.decisions.retry_budget import RetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 52.0, 10.0


def make_budget(*, ratio=RATIO, slack=SLACK, now=0.0, nodes=1, full=False):
    return RetryBudget(
        ratio=ratio, slack=slack, window_s=WINDOW_S, now=now, nodes=nodes, full=full
    )


@pytest.mark.parametrize("nodes", [1, 2, 6, 72])
@pytest.mark.parametrize("rate", [0, 1, 20])
def test_sum_over_all_nodes_keeps_the_bound(nodes, rate):
    """Every upstream fails, and every node retries as much as it may.

    The nodes do not communicate. In any window the retries of all nodes together must
    stay below the ratio of the requests plus the allowance.
    """
    budgets = [make_budget(nodes=nodes, full=True) for _ in range(nodes)]
    retries, first_attempts = [], []
    for tick in range(400):
        now = tick * 0.1
        for budget in budgets:
            for _ in range(rate):
                budget.count_request(now)
                first_attempts.append(now)
            while budget.try_take(now):
                budget.spend()
                retries.append(now)
    for start in range(0, 300):
        begin = start * 0.1
        retried = sum(1 for at in retries if begin <= at < begin + WINDOW_S)
        requests = sum(1 for at in first_attempts if begin <= at < begin + WINDOW_S)
        assert retried <= RATIO * requests + SLACK


def test_single_failure_is_retried_at_low_traffic():
    budget = make_budget(nodes=6, full=True)
    budget.count_request(0.0)
    assert budget.try_take(0.0)


def test_first_start_is_full_once_the_node_knows_the_others():
    """It counts hundreds of nodes at first, whose parts have no retry at all."""
    budget = make_budget(full=True)
    budget.set_nodes(460, 0.1)
    assert budget.remaining(0.2) < 1
    budget.set_nodes(6, 0.3)
    assert budget.remaining(0.4) == pytest.approx(budget.capacity)
    while budget.try_take(0.4):
        budget.spend()
    budget.set_nodes(1, 0.5)
    assert budget.remaining(0.5) < 1


def test_single_failure_is_retried_seconds_after_a_restart():
    budget = make_budget(nodes=6)
    budget.count_request(WINDOW_S / 2)
    assert budget.try_take(WINDOW_S / 2)


def test_retries_come_back_without_a_further_request():
    budget = make_budget(full=True)
    while budget.try_take(0.0):
        budget.spend()
    assert budget.remaining(WINDOW_S / 100) < 1
    assert budget.remaining(WINDOW_S + 1) >= 1


def test_steady_failures_use_most_of_what_is_allowed():
    """One in five requests fails for a minute; nine in ten of these are retried."""
    budget = make_budget(nodes=6, full=True)
    rng = random.Random(3)
    failed = retried = 0
    for tick in range(600):
        budget.count_request(tick * 0.1)
        if rng.random() < RATIO:
            failed += 1
            if budget.try_take(tick * 0.1):
                budget.spend()
                retried += 1
    assert retried >= 0.9 * failed


def test_retry_that_is_given_back_may_be_taken_again():
    budget = make_budget(ratio=0.0, slack=3.0, full=True)
    assert budget.try_take(1.0)
    assert budget.try_take(1.0)
    assert not budget.try_take(1.0)
    budget.give_back()
    assert budget.try_take(1.0)
    budget.spend()
    budget.spend()
    assert budget.remaining(1.0) < 1


def test_retry_that_is_set_aside_is_not_replaced_before_it_is_sent():
    """Sent late, it would arrive together with the retry that took its place."""
    budget = make_budget(ratio=0.0, full=True)
    taken = 0
    while budget.try_take(0.0):
        taken += 1
    assert budget.remaining(100 * WINDOW_S) < 1
    for _ in range(taken):
        budget.spend()
    assert budget.remaining(200 * WINDOW_S) == pytest.approx(budget.capacity)


TICK_S = 0.1
# Shares of the requests that fail at every upstream they are sent to.
FAILING = [0.3, 1.0]


class Fleet:
    """Nodes that send each failed request again as often as they may.

    :param held_s: longest time between a decision to retry and the send.
    :ivar running: budgets of the nodes that run, by name.
    """

    def __init__(self, *, nodes, rate, failing, seed, held_s=0.0):
        self.rng = random.Random(seed)
        self.rate, self.failing, self.held_s = rate, failing, held_s
        self.names = itertools.count()
        self.running = {}
        self.held = []
        self.requests, self.retries = [], []
        self.now = 0.0
        for _ in range(nodes):
            self.start(next(self.names), full=True)

    def start(self, name, *, full=False):
        nodes = max(len(self.running), 1)
        self.running[name] = make_budget(now=self.now, nodes=nodes, full=full)
        self.tell_nodes()

    def stop(self, name):
        del self.running[name]
        self.tell_nodes()

    def tell_nodes(self):
        for budget in self.running.values():
            budget.set_nodes(len(self.running), self.now)

    def restart(self, names):
        for name in names:
            self.start(name)

    def run(self, seconds, *, rate=None):
        until = self.now + seconds
        while self.now < until:
            for budget in self.running.values():
                self._serve(budget, self.rate if rate is None else rate)
            self._send_held()
            self.now += TICK_S

    def _send_held(self):
        running = list(self.running.values())
        due = [held for held in self.held if held[0] <= self.now]
        self.held = [held for held in self.held if held[0] > self.now]
        for _, budget in due:
            if any(budget is other for other in running):
                budget.spend()
                self.retries.append(self.now)

    def _serve(self, budget, rate):
        wanted = rate * TICK_S
        for _ in range(int(wanted) + (self.rng.random() < wanted % 1)):
            budget.count_request(self.now)
            self.requests.append(self.now)
        sends = 0
        while sends < 5 * max(wanted, 1) and self.rng.random() < self.failing:
            sends += 1
            if not budget.try_take(self.now):
                break
            # Retries that wait for a slot get one together.
            until = (
                self.now - self.now % self.held_s + self.held_s if self.held_s else 0
            )
            self.held.append((until, budget))

    def check_bound(self):
        """Check the bound in each window that begins with a retry."""
        for begin in sorted(set(self.retries)):
            retried = _count(self.retries, begin)
            requests = max(
                _count(self.requests, begin - back * WINDOW_S) for back in (0, 0.5, 1)
            )
            allowed = RATIO * requests + SLACK
            assert retried <= allowed, f"{retried} of {allowed} from {begin:.1f} s on"


def _count(times, begin):
    end = begin + WINDOW_S - TICK_S / 2
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


def restart_all_once(fleet):
    fleet.run(12.0)
    fleet.restart(list(fleet.running))
    fleet.run(12.0)


def restart_all_every_three_seconds(fleet):
    for _ in range(6):
        fleet.run(3.0)
        fleet.restart(list(fleet.running))
    fleet.run(12.0)


def restart_in_turn(fleet):
    fleet.run(12.0)
    for name in list(fleet.running):
        fleet.restart([name])
        fleet.run(8.0 / len(fleet.running))
    fleet.run(12.0)


def leave_for_good(fleet):
    fleet.run(12.0)
    for name in list(fleet.running)[1:]:
        fleet.stop(name)
        fleet.run(0.1)
    fleet.run(12.0)


def replace_in_turn(fleet):
    fleet.run(12.0)
    for name in list(fleet.running):
        fleet.stop(name)
        fleet.run(0.3)
        fleet.start(next(fleet.names))
        fleet.run(0.3)
    fleet.run(12.0)


def rush_and_restart(fleet):
    fleet.run(12.0)
    fleet.run(2.0, rate=5 * fleet.rate)
    fleet.restart(list(fleet.running))
    fleet.run(12.0)


@pytest.mark.parametrize("held_s", [0.0, 4.0])
@pytest.mark.parametrize("failing", FAILING)
@pytest.mark.parametrize("rate", [0.5, 4])
@pytest.mark.parametrize("nodes", [6, 24])
@pytest.mark.parametrize(
    "play",
    [
        restart_all_once,
        restart_all_every_three_seconds,
        restart_in_turn,
        leave_for_good,
        replace_in_turn,
        rush_and_restart,
    ],
)
def test_restarts_do_not_renew_the_retries_of_a_window(
    play, nodes, rate, failing, held_s
):
    """A node that starts knows nothing of the retries sent before its start."""
    fleet = Fleet(nodes=nodes, rate=rate, failing=failing, seed=7, held_s=held_s)
    play(fleet)
    fleet.check_bound()
