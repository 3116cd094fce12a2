"""Tests of the retry budget: the retries of all nodes stay within the bound."""

import bisect
import itertools
import random

import pytest

from baobabwing.gateway.decisions.retry_budget import RetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 52.0, 10.0


def make_budget():
    return RetryBudget(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)


@pytest.mark.parametrize("nodes", [1, 2, 6, 72])
@pytest.mark.parametrize("rate", [0, 1, 20])
def test_sum_over_all_nodes_keeps_the_bound(nodes, rate):
    """Every upstream fails, and every node retries as much as it may.

    The nodes do not communicate. In any window the retries of all nodes together must
    stay below the ratio of the requests plus the allowance.
    """
    budgets = [make_budget() for _ in range(nodes)]
    retries, first_attempts = [], []
    for tick in range(400):
        now = tick * 0.1
        for budget in budgets:
            for _ in range(rate):
                budget.count_request(now)
                first_attempts.append(now)
            while budget.try_take(now, nodes):
                retries.append(now)
    for start in range(0, 300):
        begin = start * 0.1
        retried = sum(1 for at in retries if begin <= at < begin + WINDOW_S)
        requests = sum(1 for at in first_attempts if begin <= at < begin + WINDOW_S)
        assert retried <= RATIO * requests + SLACK


def test_single_failure_is_retried_at_low_traffic():
    budget = make_budget()
    budget.count_request(0.0)
    assert budget.try_take(0.0, nodes=6)


def test_retries_come_back_without_a_further_request():
    budget = make_budget()
    while budget.try_take(0.0, nodes=1):
        pass
    assert budget.remaining(WINDOW_S / 2, nodes=1) < 1
    assert budget.remaining(WINDOW_S + 1, nodes=1) >= 1


def test_retry_that_is_given_back_may_be_taken_again_within_its_window():
    budget = RetryBudget(ratio=0.0, slack=3.0, window_s=WINDOW_S)
    assert budget.try_take(1.0, nodes=1)
    assert budget.try_take(2.0, nodes=1)
    budget.give_back(WINDOW_S, since=1.5)
    assert budget.remaining(WINDOW_S, nodes=1) == pytest.approx(1.1)
    budget.give_back(WINDOW_S + 2, since=1.5)
    assert budget.remaining(WINDOW_S + 2, nodes=1) == pytest.approx(1.1)


TICK_S = 0.1
# Shares of the requests that fail at every upstream they are sent to.
FAILING = [0.3, 1.0]


class Fleet:
    """Nodes that send each failed request again as often as they may.

    :ivar running: budgets of the nodes that run, by name.
    """

    def __init__(self, *, nodes, rate, failing, seed):
        self.rng = random.Random(seed)
        self.rate, self.failing = rate, failing
        self.names = itertools.count()
        self.running = {}
        self.requests, self.retries = [], []
        self.now = 0.0
        for _ in range(nodes):
            self.start(next(self.names))

    def start(self, name):
        self.running[name] = make_budget()

    def restart(self, names):
        for name in names:
            self.start(name)

    def run(self, seconds, *, rate=None):
        until = self.now + seconds
        while self.now < until:
            for budget in self.running.values():
                self._serve(budget, self.rate if rate is None else rate)
            self.now += TICK_S

    def _serve(self, budget, rate):
        wanted = rate * TICK_S
        for _ in range(int(wanted) + (self.rng.random() < wanted % 1)):
            budget.count_request(self.now)
            self.requests.append(self.now)
        sends = 0
        while sends < 5 * max(wanted, 1) and self.rng.random() < self.failing:
            sends += 1
            if not budget.try_take(self.now, len(self.running)):
                break
            self.retries.append(self.now)

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
        del fleet.running[name]
        fleet.run(0.1)
    fleet.run(12.0)


def replace_in_turn(fleet):
    fleet.run(12.0)
    for name in list(fleet.running):
        del fleet.running[name]
        fleet.run(0.3)
        fleet.start(next(fleet.names))
        fleet.run(0.3)
    fleet.run(12.0)


def rush_and_restart(fleet):
    fleet.run(12.0)
    fleet.run(2.0, rate=5 * fleet.rate)
    fleet.restart(list(fleet.running))
    fleet.run(12.0)


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
def test_restarts_do_not_renew_the_retries_of_a_window(play, nodes, rate, failing):
    """A node that starts knows nothing of the retries sent before its start."""
    fleet = Fleet(nodes=nodes, rate=rate, failing=failing, seed=7)
    play(fleet)
    fleet.check_bound()
