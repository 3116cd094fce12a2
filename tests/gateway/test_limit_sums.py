"""What nodes report of limits, added up."""

import pytest

from baobabwing.gateway.limit_sums import MOST_USED, LimitSums
from baobabwing.gateway.placement.messages import Used, UsedReport

WINDOW_S = 8.0
SILENT_S = 0.75
FAIR = 100.0
ACME = 7


@pytest.fixture
def sums():
    made = LimitSums(node=1, window_s=WINDOW_S, fair_units=lambda organisation: FAIR)
    made.set_pace(silent_s=SILENT_S, told_s=1.0)
    return made


def report(node, number, recent, units=0, organisation=ACME):
    used = Used(
        organisation=organisation, units=units, excess=0, asked=0, recent=recent
    )
    return UsedReport(node=node, number=number, used=(used,))


def told(sums, asked, now):
    """Return what a node hears that others have used, and how many are heard."""
    sums.take(asked, f"a{asked.node}", now)
    totals = sums.totals_for(asked, now)
    return {one.organisation: one.recent for one in totals.used}, totals.heard


def test_first_word_says_what_counts(sums):
    """A node that adds up from now on knows as much as one that always did."""
    sums.take(report(5, 90, 300, units=90_000), "a5", 0.0)
    assert told(sums, report(6, 1, 0), 0.1) == ({ACME: 300}, 2)


def test_own_units_are_not_told_back(sums):
    sums.take(report(5, 1, 300), "a5", 0.0)
    assert told(sums, report(5, 2, 400), 0.1)[0].get(ACME, 0) == 0


def test_report_that_was_overtaken_is_known(sums):
    sums.take(report(5, 2, 300), "a5", 0.0)
    assert sums.is_overtaken(report(5, 1, 0))
    assert not sums.is_overtaken(report(5, 3, 0))


def test_silent_node_keeps_its_part_and_what_it_used_beyond_counts(sums):
    sums.take(report(5, 1, 130), "a5", 0.0)
    used, heard = told(sums, report(6, 1, 0), 2.0)
    assert (used, heard) == ({ACME: 30}, 1)


def test_all_of_an_earlier_run_counts_once_its_node_is_back(sums):
    sums.take(report(5, 1, 130), "a5", 0.0)
    sums.take(report(50, 1, 0), "a5", 2.0)
    used, heard = told(sums, report(6, 1, 0), 2.1)
    assert (used, heard) == ({ACME: 130}, 2)


def test_nothing_of_a_node_counts_a_window_after_its_last_word(sums):
    sums.take(report(5, 1, 130), "a5", 0.0)
    sums.take(report(50, 1, 0), "a5", 2.0)
    late = SILENT_S + WINDOW_S + 0.1
    assert told(sums, report(6, 1, 0), late)[0].get(ACME, 0) == 0


def test_counts_after_a_silence_are_told_as_late(sums):
    sums.take(report(5, 1, 10, units=10), "a5", 0.0)
    late = sums.take(report(5, 2, 60, units=70), "a5", 3.0)
    assert (late.units, late.silent_s) == (60, 3.0)


def test_organisations_nearest_to_their_limits_are_told_first(sums):
    """More have used something than one message names."""
    many = range(3 * MOST_USED)
    for organisation in many:
        sums.take(
            report(100 + organisation, 1, organisation + 1, organisation=organisation),
            f"a{organisation}",
            0.0,
        )
    asking = UsedReport(node=6, number=1, used=())
    sums.take(asking, "a6", 0.1)
    named = {one.organisation for one in sums.totals_for(asking, 0.1).used}
    assert named == set(many[-MOST_USED:])
