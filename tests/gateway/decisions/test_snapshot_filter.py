"""Tests of the filter of entries that an older snapshot lists again."""

from dataclasses import replace

from baobabwing.gateway.decisions.snapshot_filter import SnapshotFilter
from baobabwing.gateway.model import UpstreamEntry

RENEWED_S = 4.0
ENTRY = UpstreamEntry(
    instance="i-1@5",
    name="i-1",
    pool="p",
    address="10.0.0.1:80",
    zone="z",
    slots=4,
    draining=False,
    started_ms=5,
    sequence=3,
)
DRAINING = replace(ENTRY, draining=True, sequence=4)


def make_filter(*lists):
    """Return a filter that has had these lists in service, one after the other."""
    snapshot_filter = SnapshotFilter(renewed_s=RENEWED_S)
    for listed in lists:
        snapshot_filter.set_in_service(listed)
    return snapshot_filter


def test_departed_upstream_is_used_once_its_entry_would_have_expired():
    snapshot_filter = make_filter([ENTRY], [])
    assert snapshot_filter.begin_restore([ENTRY], 100.0) == ["i-1@5"]
    assert snapshot_filter.filter_entries([ENTRY], 100.0) == []
    assert snapshot_filter.filter_entries([ENTRY], 103.9) == []
    assert snapshot_filter.next_filter_s(103.0) == 1.0
    assert snapshot_filter.filter_entries([ENTRY], 104.0) == [ENTRY]
    assert snapshot_filter.next_filter_s(104.0) is None


def test_upstream_that_writes_its_entry_again_is_used_at_once():
    snapshot_filter = make_filter([ENTRY], [])
    snapshot_filter.begin_restore([ENTRY], 100.0)
    rewritten = replace(ENTRY, sequence=9)
    assert snapshot_filter.filter_entries([rewritten], 100.5) == [rewritten]
    assert snapshot_filter.filter_entries([rewritten], 101.0) == [rewritten]


def test_draining_upstream_stays_draining_if_the_snapshot_lists_it_as_ready():
    snapshot_filter = make_filter([ENTRY], [DRAINING])
    snapshot_filter.begin_restore([ENTRY], 100.0)
    assert snapshot_filter.filter_entries([ENTRY], 100.0) == [
        replace(ENTRY, draining=True)
    ]
    snapshot_filter.set_in_service(snapshot_filter.filter_entries([ENTRY], 100.0))
    assert snapshot_filter.filter_entries([DRAINING], 101.0) == [DRAINING]


def test_later_incarnation_under_the_same_name_is_used_at_once():
    snapshot_filter = make_filter([ENTRY], [])
    later = replace(ENTRY, instance="i-1@9", started_ms=9, sequence=1)
    assert snapshot_filter.begin_restore([later], 100.0) == []
    assert snapshot_filter.filter_entries([later], 100.0) == [later]


def test_upstreams_in_service_and_new_ones_need_no_confirmation():
    snapshot_filter = make_filter([ENTRY])
    other = replace(ENTRY, instance="i-2@7", name="i-2")
    assert snapshot_filter.begin_restore([ENTRY, other], 100.0) == []
    assert snapshot_filter.filter_entries([ENTRY, other], 100.0) == [ENTRY, other]


def test_second_restore_starts_the_wait_again():
    """The store is restored from an older snapshot twice in a row."""
    snapshot_filter = make_filter([ENTRY], [])
    snapshot_filter.begin_restore([ENTRY], 100.0)
    snapshot_filter.set_in_service(snapshot_filter.filter_entries([ENTRY], 100.0))
    snapshot_filter.begin_restore([ENTRY], 103.0)
    assert snapshot_filter.filter_entries([ENTRY], 106.9) == []
    assert snapshot_filter.filter_entries([ENTRY], 107.0) == [ENTRY]


def test_number_of_remembered_departed_upstreams_is_bounded():
    snapshot_filter = make_filter(
        [replace(ENTRY, instance=f"i-{n:05}") for n in range(2000)], []
    )
    assert (
        len(snapshot_filter.begin_restore([replace(ENTRY, instance="i-00000")], 1.0))
        <= 1
    )
    assert len(snapshot_filter._departed) == 1024
