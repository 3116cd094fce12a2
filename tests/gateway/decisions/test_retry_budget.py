"""Tests of the retry budget: the retries of all nodes stay within the bound."""

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
