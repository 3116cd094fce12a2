"""Blame of parts of prompts for crashes, and what is held for how long."""

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.gateway.decisions.prompt_parts import (
    CrashedRequest,
    PartQuarantine,
    blamed_parts,
)
from baobabwing.gateway.decisions.quarantine import CrashReport, CrashReportKind

COMMON, BAD, TOPIC, OTHER = 1, 2, 3, 4
NUMBERS = itertools.count(1)


def crash(at, *parts, ran_s=0.1, upstream=None, digest=None, certain=True):
    number = next(NUMBERS)
    return CrashedRequest(
        digest=digest or number,
        upstream=upstream or number,
        parts=parts,
        sent_at=at - ran_s,
        crashed_at=at,
        certain=certain,
    )


def test_part_of_three_crashes_in_a_row_is_blamed():
    crashes = [crash(at, COMMON, BAD, 100 + at) for at in (1, 2, 3)]
    survived_at = {COMMON: 2.5}
    assert blamed_parts(crashes[:2], survived_at) == []
    assert blamed_parts(crashes, survived_at) == [BAD]


def test_part_that_an_upstream_survived_in_between_is_not_blamed():
    crashes = [crash(at, COMMON) for at in (1, 2, 3, 4)]
    assert blamed_parts(crashes, {COMMON: 2.5}) == []
    assert blamed_parts(crashes, {COMMON: 0.5}) == [COMMON]


def test_request_that_is_repeated_alone_accuses_no_part():
    """Its digest is quarantined; others with its parts are sound."""
    crashes = [crash(at, COMMON, digest=7) for at in (1, 2, 3, 4)]
    assert blamed_parts(crashes, {}) == []


def test_crashes_at_the_same_moment_count_once():
    """All engines ended together; their requests share the common part."""
    crashes = [crash(1.0 + n / 1000, COMMON, 10 + n) for n in range(9)]
    assert blamed_parts(crashes, {}) == []


def test_requests_sent_before_the_last_crash_count_little():
    """They were under way when it came, and may have ended for the same reason."""
    crashes = [crash(1.0 + n / 10, COMMON, ran_s=2.0) for n in range(6)]
    assert blamed_parts(crashes, {}) == []


def test_upstreams_that_may_have_closed_a_connection_only_count_little():
    crashes = [crash(at, BAD, certain=False) for at in range(1, 9)]
    assert blamed_parts(crashes, {}) == []
    assert blamed_parts([*crashes, crash(9, BAD, certain=False)], {}) == [BAD]


def test_rare_part_is_blamed_before_the_common_one_that_all_requests_have():
    """No engine has survived either, as all of them have just started."""
    crashes = []
    for at in (1, 2, 3):
        crashes.append(crash(at, COMMON, BAD, upstream=at))
        crashes += [crash(at, COMMON, 10 * at + n, upstream=at) for n in range(3)]
    assert blamed_parts(crashes, {}) == [BAD]


def test_common_part_is_not_blamed_while_a_rare_one_may_explain_the_crashes():
    """Sound requests were sent in between, so that more crashes accuse the common part.

    It was held first, and nothing was served.
    """
    crashes = [
        crash(1.0, COMMON, BAD, upstream=1),
        crash(2.0, COMMON, BAD, upstream=2),
        crash(2.6, COMMON, BAD, upstream=3, ran_s=0.7),
        crash(2.6, COMMON, upstream=3),
        crash(2.6, COMMON, upstream=3),
    ]
    assert blamed_parts(crashes, {}) == []


def test_crashes_that_a_held_part_explains_accuse_no_other():
    crashes = [crash(at, BAD, TOPIC) for at in (1, 2, 3, 4)]
    assert blamed_parts(crashes, {}, held=[BAD]) == []


def test_two_bad_parts_in_different_prompts_are_both_blamed():
    crashes = [crash(at, COMMON, BAD) for at in (1, 3, 5)]
    crashes += [crash(at, COMMON, OTHER) for at in (2, 4, 6)]
    assert sorted(blamed_parts(crashes, {COMMON: 5.5})) == [BAD, OTHER]


def test_parts_that_always_come_together_are_both_blamed():
    crashes = [crash(at, COMMON, TOPIC, BAD) for at in (1, 2, 3)]
    assert sorted(blamed_parts(crashes, {COMMON: 2.5})) == [BAD, TOPIC]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000))
def test_order_and_repetition_of_reports_change_nothing(seed):
    rng = random.Random(seed)
    crashes = [
        crash(rng.uniform(0, 9), *rng.sample(range(1, 6), 2), upstream=n)
        for n in range(1, 9)
    ]
    survived_at = {part: rng.uniform(0, 9) for part in rng.sample(range(1, 6), 2)}
    blamed = sorted(blamed_parts(crashes, survived_at))
    shuffled = crashes * 2
    rng.shuffle(shuffled)
    assert sorted(blamed_parts(shuffled, survived_at)) == blamed


def held_part(*, crashes=3, survived_at=None):
    quarantine = PartQuarantine()
    if survived_at is not None:
        quarantine.survived([BAD], survived_at)
    for at in range(1, crashes + 1):
        quarantine.crashed(crash(float(at), BAD))
    quarantine.hold(BAD, 10.0)
    return quarantine


@pytest.mark.parametrize(("crashes", "hold_s"), [(3, 20.0), (4, 160.0), (5, 1280.0)])
def test_first_hold_is_longer_the_more_upstreams_have_crashed(crashes, hold_s):
    """Each trial costs an upstream, and three may crash after the fifth."""
    quarantine = held_part(crashes=crashes)
    assert not quarantine.is_due(BAD, 10.0 + hold_s - 0.1)
    assert quarantine.is_due(BAD, 10.0 + hold_s)


def test_part_that_was_sound_once_is_tried_soon():
    """It may be in many requests, while upstreams crash for other reasons."""
    assert held_part(survived_at=0.5).is_due(BAD, 11.0)


def test_due_part_stays_held_and_one_trial_runs_at_a_time():
    quarantine = held_part()
    assert not quarantine.grant_trial(BAD, 29.0)
    assert quarantine.grant_trial(BAD, 30.0)
    assert not quarantine.grant_trial(BAD, 34.0)
    assert quarantine.held_in([COMMON, BAD]) == [BAD]
    assert quarantine.grant_trial(BAD, 35.0)


def test_crash_of_a_trial_is_a_failed_one_and_earlier_requests_are_not():
    quarantine = held_part()
    quarantine.crashed(crash(29.0, BAD))
    assert quarantine.failed_trials(30.0) == []
    quarantine.crashed(crash(31.0, BAD))
    assert quarantine.failed_trials(31.0) == [BAD]
    quarantine.hold(BAD, 31.0)
    assert quarantine.failed_trials(31.0) == []
    assert quarantine.report(BAD, 31.0).times == 2


def test_only_an_answer_that_began_after_the_hold_releases_a_part():
    """A long answer that began before the part turned bad ends later."""
    quarantine = held_part()
    assert quarantine.survived([BAD], 9.0) == []
    assert quarantine.survived([COMMON, BAD], 31.0) == [BAD]


def test_late_report_of_a_hold_does_not_bring_it_back():
    quarantine = held_part()
    late = quarantine.report(BAD, 10.0)
    assert quarantine.release(BAD, 12.0)
    assert not quarantine.hear(late, 13.0)
    assert quarantine.report(BAD, 13.0).kind is CrashReportKind.CLEARED
    quarantine.hold(BAD, 14.0)
    assert quarantine.report(BAD, 14.0).times == 2


def test_report_of_a_longer_hold_replaces_the_known_one():
    quarantine = held_part()
    longer = CrashReport(digest=BAD, kind=CrashReportKind.HELD, times=2, left_s=100.0)
    assert quarantine.hear(longer, 20.0)
    assert not quarantine.hear(longer, 20.0)
    assert not quarantine.is_due(BAD, 119.0)


def test_number_of_records_is_bounded():
    quarantine = PartQuarantine()
    for part in range(5000):
        quarantine.survived([part], 1.0)
        quarantine.crashed(crash(1.0, part))
        quarantine.hold(part, 1.0)
    assert len(quarantine.requests(1.0)) <= 512
    assert len(quarantine.held()) <= 512
    assert quarantine.survived_s(0, 2.0) is None
    assert quarantine.survived_s(4999, 2.0) == 1.0
