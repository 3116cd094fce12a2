import random

from baobabwing.fleet.counters import DropReason
from baobabwing.fleet.replay import ReplayGuard

NOW = 10**12
WINDOW_US = 60_000_000


def check(guard, sequence, *, sender="x", incarnation=1, now=NOW):
    return guard.check(sender, incarnation, sequence, now_us=now)


def test_each_sequence_is_accepted_once_in_any_order():
    guard = ReplayGuard(clock_window_ms=60_000)
    sequences = list(range(NOW, NOW + 50))
    random.Random(1).shuffle(sequences)
    assert all(check(guard, s) is None for s in sequences)
    assert all(check(guard, s) is DropReason.REPLAYED for s in sequences)


def test_sequences_below_the_window_are_refused():
    guard = ReplayGuard(clock_window_ms=60_000)
    for sequence in range(NOW, NOW + 500):
        check(guard, sequence)
    assert check(guard, NOW - 1) is DropReason.REPLAYED


def test_clock_bounds_replays_of_unknown_senders():
    guard = ReplayGuard(clock_window_ms=60_000)
    assert check(guard, NOW - WINDOW_US - 1) is DropReason.CLOCK
    assert check(guard, NOW + WINDOW_US + 1) is DropReason.CLOCK


def test_new_incarnation_starts_a_new_window_and_ends_the_old_one():
    guard = ReplayGuard(clock_window_ms=60_000)
    assert check(guard, NOW + 9) is None
    assert check(guard, NOW, incarnation=2) is None
    assert check(guard, NOW + 10, incarnation=1) is DropReason.STALE


def test_windows_of_departed_senders_are_dropped():
    guard = ReplayGuard(clock_window_ms=60_000)
    for index in range(3000):
        now = NOW + index * 1_000_000
        check(guard, now, sender=f"x{index}", now=now)
    assert len(guard._windows) < 1200
