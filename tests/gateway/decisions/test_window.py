"""Units in a sliding window."""

from collections import deque

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.gateway.decisions.window import SlidingSum

WINDOW_S = 8.0


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 3.0),
            st.integers(1, 50),
            st.sampled_from(["add", "subtract"]),
        ),
        max_size=40,
    )
)
def test_total_is_never_below_the_exact_sum(steps):
    used, exact, now = SlidingSum(window_s=WINDOW_S), deque(), 0.0
    for elapsed_s, units, operation in steps:
        now += elapsed_s
        if operation == "add":
            used.add(units, now)
            exact.append((now, units))
        elif exact:
            at, removed = exact.pop()
            used.subtract(removed, at)
        exact_total = sum(added for at, added in exact if at > now - WINDOW_S)
        upper_bound = sum(added for at, added in exact if at > now - 1.05 * WINDOW_S)
        assert exact_total - 1e-6 <= used.total(now) <= upper_bound + 1e-6


def test_units_that_left_the_window_are_not_subtracted_again():
    used = SlidingSum(window_s=WINDOW_S)
    used.add(5.0, now=0.0)
    used.add(7.0, now=9.0)
    assert used.total(9.0) == 7.0
    used.subtract(5.0, 0.0)
    assert used.total(9.0) == 7.0
