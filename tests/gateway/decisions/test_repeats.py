"""Second tries over all nodes stay within their bound."""

import pytest

from baobabwing.gateway.decisions.repeats import RepeatBudget

RATIO, SLACK, WINDOW_S = 0.2, 52.0, 10.0


def budget():
    return RepeatBudget(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)


@pytest.mark.parametrize("nodes", [1, 2, 6, 72])
@pytest.mark.parametrize("rate", [0, 1, 20])
def test_sum_over_all_nodes_keeps_the_bound(nodes, rate):
    """Every upstream fails, and every node repeats whatever it may.

    No node hears another. In any window the repeats of all together stay below
    the ratio of the requests plus the allowance.
    """
    budgets = [budget() for _ in range(nodes)]
    repeats, firsts = [], []
    for tick in range(400):
        now = tick * 0.1
        for one in budgets:
            for _ in range(rate):
                one.first(now)
                firsts.append(now)
            while one.take(now, nodes):
                repeats.append(now)
    for start in range(0, 300):
        begin = start * 0.1
        inside = sum(1 for at in repeats if begin <= at < begin + WINDOW_S)
        asked = sum(1 for at in firsts if begin <= at < begin + WINDOW_S)
        assert inside <= RATIO * asked + SLACK


def test_a_lone_failure_is_repeated_where_traffic_is_thin():
    one = budget()
    one.first(0.0)
    assert one.take(0.0, nodes=6)
