"""Bytes that a node keeps for others, and who gets how much of the room."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabwing.gateway.held_bytes import Cause, HeldBytes

MAX_BYTES = 1024 * 1024
PIECE_BYTES = 16 * 1024


@pytest.fixture
def held():
    return HeldBytes(cause=Cause.ANSWERS, max_bytes=MAX_BYTES)


def fill(held, holder):
    holding = held.holding(holder)
    while holding.resize(holding.size + PIECE_BYTES):
        pass
    return holding


@pytest.mark.parametrize("greedy", [1, 2, 8])
def test_holders_that_send_without_end_leave_room_for_others(held, greedy):
    kept = [fill(held, f"greedy-{number}").size for number in range(greedy)]
    assert max(kept) <= MAX_BYTES // 2
    assert held.holding("other").resize(PIECE_BYTES)


def test_accounts_of_one_holder_share_its_room(held):
    first = fill(held, "greedy")
    assert not held.holding("greedy").resize(PIECE_BYTES)
    first.release()
    assert held.holding("greedy").resize(PIECE_BYTES)


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, MAX_BYTES)), max_size=60))
def test_no_order_of_changes_exceeds_the_bound(changes):
    held = HeldBytes(cause=Cause.REQUESTS, max_bytes=MAX_BYTES)
    holdings = [held.holding() for _ in range(10)]
    for number, size in changes:
        holdings[number].resize(size)
        assert held.total == sum(one.size for one in holdings) <= MAX_BYTES
    for one in holdings:
        one.release()
    assert held.total == 0
