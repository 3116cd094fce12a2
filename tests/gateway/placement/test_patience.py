"""How long a home may be quiet before it counts as gone."""

import pytest

from baobabwing.gateway.placement.patience import HomePatience

HOME = "10.0.0.1:7"


def answered(patience, answer_s, times, now=100.0):
    for _ in range(times):
        patience.asked(HOME, now)
        patience.heard(HOME, now + answer_s, answer_s)
        now += 1.0
    return now


def test_a_home_that_answers_fast_is_gone_after_80_ms_of_silence():
    patience = HomePatience()
    now = answered(patience, 0.003, 20)
    assert patience.repeat_s(HOME) == 0.04
    assert patience.limit_s(HOME) == 0.08
    patience.asked(HOME, now)
    patience.asked(HOME, now + 0.05)
    assert patience.quiet_s(HOME, now + 0.09) == pytest.approx(0.09)


def test_a_home_that_nobody_asks_is_never_quiet():
    patience = HomePatience()
    now = answered(patience, 0.003, 3)
    assert patience.quiet_s(HOME, now + 60.0) == 0.0


@pytest.mark.parametrize("answer_s", [0.06, 0.1, 0.15])
def test_a_home_that_falls_behind_is_given_as_much_time(answer_s):
    """Answers of a home take longer and longer in a rush; it is not left for that."""
    patience = HomePatience()
    now = answered(patience, 0.005, 20)
    for part in range(1, 11):
        late_s = 0.005 + (answer_s - 0.005) * part / 10
        assert patience.limit_s(HOME) > late_s
        now = answered(patience, late_s, 3, now)
    assert patience.repeat_s(HOME) > answer_s


def test_a_home_behind_for_good_is_still_left_within_half_a_second():
    patience = HomePatience()
    answered(patience, 0.9, 20)
    assert patience.limit_s(HOME) == 0.5


def test_an_answer_that_comes_after_the_home_was_left_counts():
    """A home fell behind at one stroke and was left. Its answer came late.

    Without it the next question would be judged by the fast answers of before, and
    the home would be left again each time.
    """
    patience = HomePatience()
    now = answered(patience, 0.005, 20)
    patience.asked(HOME, now)
    patience.leave(HOME, now + 0.08)
    assert patience.left(HOME, now + 0.1)
    patience.heard(HOME, now + 0.12)
    assert not patience.left(HOME, now + 0.12)
    assert patience.limit_s(HOME) > 0.12


def test_a_home_that_was_gone_is_judged_anew():
    """A home loses power and starts again; its first word comes seconds later.

    That word is no answer to the questions of before: it makes nobody wait longer for
    the home's next answers, and the time before it is not held against them.
    """
    patience = HomePatience()
    now = answered(patience, 0.005, 20)
    limit_s = patience.limit_s(HOME)
    patience.asked(HOME, now)
    patience.leave(HOME, now + 0.08)
    patience.asked(HOME, now + 3.0)
    assert patience.quiet_s(HOME, now + 3.04) == pytest.approx(0.04)
    patience.heard(HOME, now + 3.05)
    assert patience.limit_s(HOME) == limit_s


def test_a_home_that_stays_silent_is_asked_less_and_less_often():
    patience = HomePatience()
    pauses = [patience.leave(HOME, 100.0) for _ in range(5)]
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0]
    patience.heard(HOME, 110.0)
    assert patience.leave(HOME, 111.0) == 0.5


def test_homes_are_excused_when_this_process_stood_still():
    patience = HomePatience()
    now = answered(patience, 0.003, 3)
    patience.asked(HOME, now)
    patience.excuse(now + 5.0)
    assert patience.quiet_s(HOME, now + 5.01) == pytest.approx(0.01)
    assert patience.unheard_s(HOME, now + 5.0) == 0.0
