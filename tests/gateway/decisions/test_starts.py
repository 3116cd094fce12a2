"""Which start of an upstream is believed, in whatever order its rows come."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.gateway.decisions.starts import StartBook
from baobabwing.gateway.model import UpstreamEntry


def entry(name="w", *, start, sequence, draining=False):
    return UpstreamEntry(
        instance=f"{name}@{start}",
        name=name,
        pool="engines",
        address="10.0.0.1:80",
        started_ms=start,
        sequence=sequence,
        draining=draining,
    )


def test_row_of_the_earlier_start_comes_late():
    """A worker crashes and starts again; its last write before arrives after that.

    Believed, it would send requests to a process that has ended.
    """
    book = StartBook()
    later = entry(start=2000, sequence=1)
    assert book.settle([entry(start=1000, sequence=9)])
    assert book.settle([later]) == [later]
    assert book.settle([entry(start=1000, sequence=10)]) == [later]


def test_count_that_starts_anew_is_not_older():
    """After a restart a worker counts its writes from one again."""
    book = StartBook()
    book.settle([entry(start=1000, sequence=500)])
    later = entry(start=1001, sequence=1)
    assert book.settle([later]) == [later]


def test_late_row_does_not_undo_draining():
    """A write that said ready arrives after the one that said draining."""
    book = StartBook()
    leaving = entry(start=1000, sequence=8, draining=True)
    book.settle([leaving])
    assert book.settle([entry(start=1000, sequence=7)]) == [leaving]


def test_late_row_brings_back_none_that_is_gone():
    """The entry of a worker was removed; a write of its earlier start lands then."""
    book = StartBook()
    book.settle([entry(start=2000, sequence=3)])
    assert book.settle([]) == []
    assert book.settle([entry(start=1000, sequence=9)]) == []
    back = entry(start=2000, sequence=4)
    assert book.settle([back]) == [back]


def test_upstreams_that_tell_no_start_are_taken_as_listed():
    plain = UpstreamEntry(instance="i-1", pool="p", address="10.0.0.1:80", sequence=5)
    again = UpstreamEntry(instance="i-1", pool="p", address="10.0.0.1:80", sequence=1)
    book = StartBook()
    book.settle([plain])
    assert book.settle([again]) == [again]


def test_thousands_that_are_gone_are_forgotten_in_turn():
    book = StartBook()
    for number in range(3000):
        book.settle([entry(f"w-{number}", start=1000, sequence=2)])
    assert book.settle([entry("w-2999", start=1000, sequence=1)])
    book.settle([])
    assert book.settle([entry("w-2998", start=1000, sequence=1)]) == []
    assert book.settle([entry("w-1", start=1000, sequence=1)]) != []


ORDERS = st.tuples(st.integers(1, 4), st.integers(1, 4))


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.dictionaries(st.sampled_from("abc"), ORDERS)))
def test_belief_never_goes_back(looks):
    """Whatever rows the looks at the store show, what is believed only gets newer."""
    book = StartBook()
    newest = {}
    for look in looks:
        listed = [
            entry(name, start=start, sequence=sequence)
            for name, (start, sequence) in look.items()
        ]
        believed = {one.name: one for one in book.settle(listed)}
        for name, order in look.items():
            if order >= newest.get(name, order):
                newest[name] = order
                assert name in believed
        assert believed.keys() <= look.keys()
        for name, one in believed.items():
            assert (one.started_ms, one.sequence) == newest[name]
