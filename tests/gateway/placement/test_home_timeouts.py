"""Timeouts of homes: fast, overloaded, dead and restarted ones."""

import pytest

from baobabwing.gateway.placement.home_timeouts import HomeTimeouts

HOME = "10.0.0.1:7"


def record_answers(timeouts, answer_s, count, now=100.0):
    for _ in range(count):
        timeouts.record_request(HOME, now)
        timeouts.record_message(HOME, now + answer_s, answer_s)
        now += 1.0
    return now


def test_fast_home_times_out_after_80_ms():
    timeouts = HomeTimeouts()
    now = record_answers(timeouts, 0.003, 20)
    assert timeouts.retry_interval_s(HOME) == 0.04
    assert timeouts.timeout_s(HOME) == 0.08
    timeouts.record_request(HOME, now)
    timeouts.record_request(HOME, now + 0.05)
    assert timeouts.unresponsive_s(HOME, now + 0.09) == pytest.approx(0.09)


def test_home_without_open_requests_is_never_unresponsive():
    timeouts = HomeTimeouts()
    now = record_answers(timeouts, 0.003, 3)
    assert timeouts.unresponsive_s(HOME, now + 60.0) == 0.0


@pytest.mark.parametrize("answer_s", [0.06, 0.1, 0.15])
def test_timeout_follows_rising_answer_times(answer_s):
    """A home whose answers take longer and longer in a burst is not excluded."""
    timeouts = HomeTimeouts()
    now = record_answers(timeouts, 0.005, 20)
    for step in range(1, 11):
        delayed_s = 0.005 + (answer_s - 0.005) * step / 10
        assert timeouts.timeout_s(HOME) > delayed_s
        now = record_answers(timeouts, delayed_s, 3, now)
    assert timeouts.retry_interval_s(HOME) > answer_s


def test_timeout_is_at_most_half_a_second():
    timeouts = HomeTimeouts()
    record_answers(timeouts, 0.9, 20)
    assert timeouts.timeout_s(HOME) == 0.5


def test_late_answer_after_exclusion_raises_the_timeout():
    """A home is overloaded suddenly and excluded, and its answer arrives late.

    If the late answer did not count, the timeout would still follow the earlier fast
    answers, and the home would be excluded again each time.
    """
    timeouts = HomeTimeouts()
    now = record_answers(timeouts, 0.005, 20)
    timeouts.record_request(HOME, now)
    timeouts.exclude(HOME, now + 0.08)
    assert timeouts.is_excluded(HOME, now + 0.1)
    timeouts.record_message(HOME, now + 0.12)
    assert not timeouts.is_excluded(HOME, now + 0.12)
    assert timeouts.timeout_s(HOME) > 0.12


def test_outage_does_not_raise_the_timeout():
    """A home loses power, and sends its first message seconds later.

    That message answers no earlier request: it does not raise the timeout, and the time
    of the outage does not count against the next request.
    """
    timeouts = HomeTimeouts()
    now = record_answers(timeouts, 0.005, 20)
    timeout_s = timeouts.timeout_s(HOME)
    timeouts.record_request(HOME, now)
    timeouts.exclude(HOME, now + 0.08)
    timeouts.record_request(HOME, now + 3.0)
    assert timeouts.unresponsive_s(HOME, now + 3.04) == pytest.approx(0.04)
    timeouts.record_message(HOME, now + 3.05)
    assert timeouts.timeout_s(HOME) == timeout_s


def test_repeated_exclusions_last_longer():
    timeouts = HomeTimeouts()
    durations = [timeouts.exclude(HOME, 100.0) for _ in range(5)]
    assert durations == [0.5, 1.0, 2.0, 4.0, 4.0]
    timeouts.record_message(HOME, 110.0)
    assert timeouts.exclude(HOME, 111.0) == 0.5


def test_stall_of_this_process_is_not_counted():
    timeouts = HomeTimeouts()
    now = record_answers(timeouts, 0.003, 3)
    timeouts.record_request(HOME, now)
    timeouts.reset_after_stall(now + 5.0)
    assert timeouts.unresponsive_s(HOME, now + 5.01) == pytest.approx(0.01)
    assert timeouts.since_message_s(HOME, now + 5.0) == 0.0
