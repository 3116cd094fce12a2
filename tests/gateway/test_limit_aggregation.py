"""Aggregation of the usage of limits that nodes report."""

import pytest

from baobabwing.gateway.limit_aggregation import (
    MAX_ORGANISATIONS_PER_MESSAGE,
    UsageAggregator,
)
from baobabwing.gateway.placement.messages import OrganisationUsage, UsageReport

WINDOW_S = 8.0
UNRESPONSIVE_S = 0.75
ALLOCATION = 100.0
ACME = 7


@pytest.fixture
def aggregator():
    aggregator = UsageAggregator(
        node_id=1, window_s=WINDOW_S, node_allocation=lambda organisation: ALLOCATION
    )
    aggregator.set_intervals(unresponsive_s=UNRESPONSIVE_S, change_retention_s=1.0)
    return aggregator


def report(node, number, recent, units=0, organisation=ACME):
    used = OrganisationUsage(
        organisation=organisation, units=units, overage=0, requested=0, recent=recent
    )
    return UsageReport(node=node, number=number, used=(used,))


def totals_after(aggregator, usage_report, now):
    """Record a report; return others' usage and the number of responsive nodes."""
    aggregator.record(usage_report, f"a{usage_report.node}", now)
    totals = aggregator.totals_for(usage_report, now)
    return {used.organisation: used.recent for used in totals.used}, totals.heard


def test_first_report_counts_with_its_last_window(aggregator):
    """A new aggregator has the same totals as one that received all reports."""
    aggregator.record(report(5, 90, 300, units=90_000), "a5", 0.0)
    assert totals_after(aggregator, report(6, 1, 0), 0.1) == ({ACME: 300}, 2)


def test_totals_exclude_the_units_of_the_reporting_node(aggregator):
    aggregator.record(report(5, 1, 300), "a5", 0.0)
    assert totals_after(aggregator, report(5, 2, 400), 0.1)[0].get(ACME, 0) == 0


def test_report_older_than_the_last_one_is_outdated(aggregator):
    aggregator.record(report(5, 2, 300), "a5", 0.0)
    assert aggregator.is_outdated(report(5, 1, 0))
    assert not aggregator.is_outdated(report(5, 3, 0))


def test_usage_of_an_unresponsive_node_beyond_its_allocation_counts(aggregator):
    aggregator.record(report(5, 1, 130), "a5", 0.0)
    used, heard = totals_after(aggregator, report(6, 1, 0), 2.0)
    assert (used, heard) == ({ACME: 30}, 1)


def test_usage_of_an_earlier_incarnation_counts_whole_once_its_node_is_back(aggregator):
    aggregator.record(report(5, 1, 130), "a5", 0.0)
    aggregator.record(report(50, 1, 0), "a5", 2.0)
    used, heard = totals_after(aggregator, report(6, 1, 0), 2.1)
    assert (used, heard) == ({ACME: 130}, 2)


def test_usage_of_a_node_expires_a_window_after_its_last_report(aggregator):
    aggregator.record(report(5, 1, 130), "a5", 0.0)
    aggregator.record(report(50, 1, 0), "a5", 2.0)
    after_s = UNRESPONSIVE_S + WINDOW_S + 0.1
    assert totals_after(aggregator, report(6, 1, 0), after_s)[0].get(ACME, 0) == 0


def test_usage_reported_after_a_gap_is_returned_as_late(aggregator):
    aggregator.record(report(5, 1, 10, units=10), "a5", 0.0)
    late = aggregator.record(report(5, 2, 60, units=70), "a5", 3.0)
    assert (late.units, late.gap_s) == (60, 3.0)


def test_totals_name_the_organisations_nearest_to_their_limits(aggregator):
    """More organisations have usage than fit one message."""
    organisations = range(3 * MAX_ORGANISATIONS_PER_MESSAGE)
    for organisation in organisations:
        aggregator.record(
            report(100 + organisation, 1, organisation + 1, organisation=organisation),
            f"a{organisation}",
            0.0,
        )
    empty_report = UsageReport(node=6, number=1, used=())
    aggregator.record(empty_report, "a6", 0.1)
    reported = {
        used.organisation for used in aggregator.totals_for(empty_report, 0.1).used
    }
    assert reported == set(organisations[-MAX_ORGANISATIONS_PER_MESSAGE:])
