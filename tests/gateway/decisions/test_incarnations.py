"""Tests of the choice of an upstream's latest incarnation, for rows in any order."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.gateway.decisions.incarnations import LatestIncarnations
from baobabwing.gateway.model import UpstreamEntry


def make_entry(name="w", *, start, sequence, draining=False):
    return UpstreamEntry(
        instance=f"{name}@{start}",
        name=name,
        pool="engines",
        address="10.0.0.1:80",
        started_ms=start,
        sequence=sequence,
        draining=draining,
    )


def test_late_row_of_an_earlier_incarnation_is_ignored():
    """An upstream crashes and restarts; its last write before arrives after that.

    If the row were used, requests would be sent to a process that has ended.
    """
    incarnations = LatestIncarnations()
    later = make_entry(start=2000, sequence=1)
    assert incarnations.latest_entries([make_entry(start=1000, sequence=9)])
    assert incarnations.latest_entries([later]) == [later]
    assert incarnations.latest_entries([make_entry(start=1000, sequence=10)]) == [later]


def test_write_count_of_a_new_incarnation_starts_again():
    """After a restart an upstream counts its writes from one again."""
    incarnations = LatestIncarnations()
    incarnations.latest_entries([make_entry(start=1000, sequence=500)])
    later = make_entry(start=1001, sequence=1)
    assert incarnations.latest_entries([later]) == [later]


def test_late_row_does_not_undo_draining():
    """A write of the ready state arrives after the write of the draining state."""
    incarnations = LatestIncarnations()
    leaving = make_entry(start=1000, sequence=8, draining=True)
    incarnations.latest_entries([leaving])
    assert incarnations.latest_entries([make_entry(start=1000, sequence=7)]) == [
        leaving
    ]


def test_late_row_does_not_bring_back_a_departed_upstream():
    """The entry was removed; a write of the upstream's earlier incarnation follows."""
    incarnations = LatestIncarnations()
    incarnations.latest_entries([make_entry(start=2000, sequence=3)])
    assert incarnations.latest_entries([]) == []
    assert incarnations.latest_entries([make_entry(start=1000, sequence=9)]) == []
    back = make_entry(start=2000, sequence=4)
    assert incarnations.latest_entries([back]) == [back]


def test_upstreams_without_a_start_time_are_used_as_listed():
    first = UpstreamEntry(instance="i-1", pool="p", address="10.0.0.1:80", sequence=5)
    second = UpstreamEntry(instance="i-1", pool="p", address="10.0.0.1:80", sequence=1)
    incarnations = LatestIncarnations()
    incarnations.latest_entries([first])
    assert incarnations.latest_entries([second]) == [second]


def test_number_of_remembered_departed_upstreams_is_bounded():
    incarnations = LatestIncarnations()
    for number in range(3000):
        incarnations.latest_entries([make_entry(f"w-{number}", start=1000, sequence=2)])
    assert incarnations.latest_entries([make_entry("w-2999", start=1000, sequence=1)])
    incarnations.latest_entries([])
    assert (
        incarnations.latest_entries([make_entry("w-2998", start=1000, sequence=1)])
        == []
    )
    assert (
        incarnations.latest_entries([make_entry("w-1", start=1000, sequence=1)]) != []
    )


ORDERS = st.tuples(st.integers(1, 4), st.integers(1, 4))


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.dictionaries(st.sampled_from("abc"), ORDERS)))
def test_used_entries_never_get_older(reads):
    """Whatever rows the reads of the store return, the entries used only get newer."""
    incarnations = LatestIncarnations()
    newest = {}
    for rows in reads:
        listed = [
            make_entry(name, start=start, sequence=sequence)
            for name, (start, sequence) in rows.items()
        ]
        used = {entry.name: entry for entry in incarnations.latest_entries(listed)}
        for name, order in rows.items():
            if order >= newest.get(name, order):
                newest[name] = order
                assert name in used
        assert used.keys() <= rows.keys()
        for name, entry in used.items():
            assert (entry.started_ms, entry.sequence) == newest[name]
