"""Retry budgets of pools and organisations."""

from baobabwing.requests.retries import MIN_RETRIES, RetryBudget, RetryBudgets


def take_all(budget, now, limit=1000):
    taken = 0
    while taken < limit and budget.allows(now):
        budget.take(now)
        taken += 1
    return taken


def test_retries_are_a_fraction_of_recent_requests():
    budget = RetryBudget(fraction=0.1)
    for i in range(200):
        budget.count_request(i * 0.01)
    assert take_all(budget, 2.0) == 20


def test_low_traffic_may_use_the_minimum_of_retries():
    assert take_all(RetryBudget(), 0.0) == MIN_RETRIES


def test_requests_outside_the_window_do_not_count():
    budget = RetryBudget(fraction=0.1)
    for _ in range(200):
        budget.count_request(0.0)
    assert take_all(budget, 60.0) == MIN_RETRIES


def test_exhausted_budget_is_replenished():
    budget = RetryBudget()
    take_all(budget, 0.0)
    assert not budget.allows(1.0)
    assert budget.allows(60.0)


def test_overload_is_not_multiplied():
    """An engine pool fails every request for a minute and all are retried.

    Each request is retried as often as the budgets allow; the attempts exceed the
    requests by at most a tenth, plus the minimum of three organisations.
    """
    budgets = RetryBudgets()
    attempts = requests = 0
    for step in range(6000):
        now = step * 0.01
        budgets.count_request("p", f"o{step % 3}", now)
        requests += 1
        attempts += 1
        while budgets.take_retry("p", f"o{step % 3}", now):
            attempts += 1
    assert attempts <= 1.1 * requests + 3 * MIN_RETRIES


def test_one_organisation_cannot_use_up_the_pool():
    """One organisation's requests all fail; another has one failure.

    The first exhausts its own budget, and the pool's budget still has retries for
    the other.
    """
    budgets = RetryBudgets()
    for i in range(200):
        budgets.count_request("p", "failing" if i % 2 else "calm", 0.0)
    spent = sum(budgets.take_retry("p", "failing", 0.0) for _ in range(200))
    assert spent == 10
    assert budgets.take_retry("p", "calm", 0.0)


def test_denied_retry_is_charged_to_neither_budget():
    budgets = RetryBudgets()
    for _ in range(100):
        budgets.count_request("p", "a", 0.0)
    while budgets.take_retry("p", "b", 0.0):
        pass
    left = sum(budgets.take_retry("p", "a", 0.0) for _ in range(100))
    assert left == 10 - MIN_RETRIES


def test_window_is_bounded_in_memory():
    budget = RetryBudget()
    for second in range(1000):
        budget.count_request(float(second))
    assert len(budget._requests._buckets) <= 11
