"""The system's own table."""

from collections import Counter
from random import Random

import pytest

from baobabwing_platform.fleet_rows import spread_s

# A read, and a write where the row is gone.
CALLS = 2
# Of the smallest store; writes are what it bears least of.
WRITES_PER_S = 400


@pytest.mark.parametrize("nodes", [6, 30, 100, 300])
def test_lost_rows_are_written_again_without_a_herd(nodes):
    """All nodes hear at the same moment that the store lost rows, and write theirs."""
    rng = Random(nodes)
    times = [spread_s(nodes, rng) for _ in range(nodes)]
    a_second = Counter(int(at) for at in times)
    assert CALLS * max(a_second.values()) <= WRITES_PER_S / 4
    assert max(times) <= 15.0
