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
            st.floats(0.0, 3.0), st.integers(1, 50), st.sampled_from(["add", "back"])
        ),
        max_size=40,
    )
)
def test_total_is_never_less_than_what_the_window_holds(steps):
    used, exact, now = SlidingSum(window_s=WINDOW_S), deque(), 0.0
    for passed, units, what in steps:
        now += passed
        if what == "add":
            used.add(units, now)
            exact.append((now, units))
        elif exact:
            at, given_back = exact.pop()
            used.take_back(given_back, at)
        inside = sum(one for at, one in exact if at > now - WINDOW_S)
        late = sum(one for at, one in exact if at > now - 1.05 * WINDOW_S)
        assert inside - 1e-6 <= used.total(now) <= late + 1e-6


def test_what_has_left_the_window_is_not_taken_out_again():
    used = SlidingSum(window_s=WINDOW_S)
    used.add(5.0, now=0.0)
    used.add(7.0, now=9.0)
    assert used.total(9.0) == 7.0
    used.take_back(5.0, 0.0)
    assert used.total(9.0) == 7.0
