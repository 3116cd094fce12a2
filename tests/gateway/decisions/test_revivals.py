"""Which upstreams of an older copy are believed."""

from dataclasses import replace

from baobabwing.gateway.decisions.revivals import RevivalGuard
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


def guard_that_knew(*lists):
    """Return one that has had these in service, one list after the other."""
    guard = RevivalGuard(renewed_s=RENEWED_S)
    for listed in lists:
        guard.note(listed)
    return guard


def test_upstream_that_had_left_counts_once_nobody_would_have_renewed_it():
    guard = guard_that_knew([ENTRY], [])
    assert guard.restored([ENTRY], 100.0) == ["i-1@5"]
    assert guard.settle([ENTRY], 100.0) == []
    assert guard.settle([ENTRY], 103.9) == []
    assert guard.due_s(103.0) == 1.0
    assert guard.settle([ENTRY], 104.0) == [ENTRY]
    assert guard.due_s(104.0) is None


def test_upstream_that_writes_its_entry_again_counts_at_once():
    guard = guard_that_knew([ENTRY], [])
    guard.restored([ENTRY], 100.0)
    again = replace(ENTRY, sequence=9)
    assert guard.settle([again], 100.5) == [again]
    assert guard.settle([again], 101.0) == [again]


def test_draining_upstream_stays_so_although_the_copy_shows_it_ready():
    guard = guard_that_knew([ENTRY], [DRAINING])
    guard.restored([ENTRY], 100.0)
    assert guard.settle([ENTRY], 100.0) == [replace(ENTRY, draining=True)]
    guard.note(guard.settle([ENTRY], 100.0))
    assert guard.settle([DRAINING], 101.0) == [DRAINING]


def test_later_start_under_the_same_name_counts_at_once():
    guard = guard_that_knew([ENTRY], [])
    later = replace(ENTRY, instance="i-1@9", started_ms=9, sequence=1)
    assert guard.restored([later], 100.0) == []
    assert guard.settle([later], 100.0) == [later]


def test_upstreams_in_service_and_new_ones_are_not_doubted():
    guard = guard_that_knew([ENTRY])
    other = replace(ENTRY, instance="i-2@7", name="i-2")
    assert guard.restored([ENTRY, other], 100.0) == []
    assert guard.settle([ENTRY, other], 100.0) == [ENTRY, other]


def test_second_copy_doubts_anew():
    """The store comes back from an older copy twice in a row."""
    guard = guard_that_knew([ENTRY], [])
    guard.restored([ENTRY], 100.0)
    guard.note(guard.settle([ENTRY], 100.0))
    guard.restored([ENTRY], 103.0)
    assert guard.settle([ENTRY], 106.9) == []
    assert guard.settle([ENTRY], 107.0) == [ENTRY]


def test_few_of_those_that_left_are_remembered():
    guard = guard_that_knew(
        [replace(ENTRY, instance=f"i-{n:05}") for n in range(2000)], []
    )
    assert len(guard.restored([replace(ENTRY, instance="i-00000")], 1.0)) <= 1
    assert len(guard._departed) == 1024
