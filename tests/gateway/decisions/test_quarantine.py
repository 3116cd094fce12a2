"""Which requests are held back, from what many nodes saw in any order."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.gateway.decisions.quarantine import Finding, FindingKind, Quarantine

BAD, SOUND = 7, 8


def ended(upstream, digest=BAD, weight=3):
    return Finding(
        digest=digest, kind=FindingKind.ENDED, upstream=upstream, weight=weight
    )


def lost(book, upstream, now=0.0, *, digest=BAD, **more):
    book.lost(digest, upstream, now=now, **more)


def test_two_upstreams_that_end_as_they_begin_are_enough():
    book = Quarantine()
    lost(book, 1)
    assert not book.any_held(0.0)
    lost(book, 2)
    assert book.held_s(BAD, 0.0) == 10.0
    assert book.held_s(SOUND, 0.0) == 0.0


def test_one_upstream_counts_once_whoever_tells_of_it():
    book = Quarantine()
    for _ in range(5):
        lost(book, 1)
        book.hear(ended(1), 0.0)
    assert book.held_s(BAD, 0.0) == 0.0


def test_long_answers_that_meet_several_crashes_are_not_held_back():
    """A stream of a minute moves to the next engine each time that one ends.

    Five ends are more than an attempt and its caller's next one can meet.
    """
    book = Quarantine()
    for upstream in range(5):
        lost(book, upstream, begun_s=4.0)
    assert book.held_s(BAD, 0.0) == 0.0
    lost(book, 5, begun_s=4.0)
    assert book.held_s(BAD, 0.0) > 0.0


def test_upstreams_that_may_have_been_gone_before_tell_little():
    """Behind proxies of their own, upstreams that are gone accept and reset at once.

    A question that many callers ask met two of them within 20 ms of a start, before
    any was answered, and all callers were refused.
    """
    book = Quarantine()
    for upstream in range(5):
        lost(book, upstream, sure=False)
    assert book.held_s(BAD, 0.0) == 0.0


def test_request_that_makes_upstreams_end_in_silence_is_held_back_at_last():
    """Hosts that die under it send nothing; each comes back as another incarnation."""
    book = Quarantine()
    for upstream in range(6):
        assert book.held_s(BAD, 0.0) == 0.0
        lost(book, upstream, sure=False)
    assert book.held_s(BAD, 0.0) > 0.0


def test_request_that_is_answered_meanwhile_is_sound():
    """Many callers ask for the same, and upstreams crash for reasons of their own."""
    book = Quarantine()
    for upstream in range(20):
        lost(book, upstream)
        book.served(BAD)
    assert book.held_s(BAD, 0.0) == 0.0


def test_one_crash_after_an_answer_is_forgiven_a_second_is_not():
    book = Quarantine()
    book.served(BAD)
    lost(book, 1)
    lost(book, 2)
    assert book.held_s(BAD, 0.0) == 0.0
    lost(book, 3)
    assert book.held_s(BAD, 0.0) > 0.0


def test_it_may_be_tried_after_the_hold_and_is_held_longer_after_one_more_end():
    book = Quarantine()
    lost(book, 1)
    lost(book, 2)
    assert book.held_s(BAD, 10.0) == 0.0
    lost(book, 3, now=11.0)
    assert book.held_s(BAD, 11.0) == 80.0
    lost(book, 4, now=100.0)
    assert book.held_s(BAD, 100.0) == 640.0


def test_ends_of_requests_that_were_sent_before_the_hold_make_it_no_longer():
    """Copies of it were on their way to three more engines when it was found out."""
    book = Quarantine()
    for upstream in range(5):
        lost(book, upstream)
    assert book.held_s(BAD, 0.0) == 10.0
    assert book.held_s(BAD, 10.0) == 0.0


def test_suspicion_is_forgotten_if_nothing_follows():
    book = Quarantine()
    lost(book, 1)
    lost(book, 2, now=601.0)
    assert book.held_s(BAD, 601.0) == 0.0


def test_memory_is_bounded_and_keeps_what_is_held_back():
    book = Quarantine()
    lost(book, 1)
    lost(book, 2)
    for digest in range(100, 3000):
        lost(book, 1, digest=digest)
    assert len(book.digests()) <= 512
    assert book.held_s(BAD, 0.0) > 0.0


def test_node_that_served_it_contradicts():
    book = Quarantine()
    book.served(BAD)
    news = []
    book.on_news = news.append
    book.hear(ended(1), 0.0)
    hold = Finding(digest=BAD, kind=FindingKind.HELD, times=1, left_s=10.0)
    book.hear(hold, 0.0)
    assert [(one.own, one.verdict) for one in news] == [(True, True)] * 2
    (told,) = book.findings(BAD, 0.0)
    assert told.kind is FindingKind.CLEARED
    assert book.held_s(BAD, 0.0) == 0.0


def test_verdicts_are_told_once():
    book, verdicts = Quarantine(), []
    book.on_verdict = verdicts.append
    for _ in range(3):
        lost(book, 1)
        lost(book, 2)
        book.hear(ended(3), 0.0)
    book.served(BAD)
    assert [one.kind for one in verdicts] == [FindingKind.HELD, FindingKind.CLEARED]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    ends=st.lists(st.integers(0, 4), max_size=8),
    copies=st.integers(1, 3),
    seed=st.integers(0, 10_000),
)
def test_order_loss_and_repetition_of_findings_change_nothing(ends, copies, seed):
    """Findings come late, twice and in any order; the verdict is that of the set."""
    findings = [ended(upstream) for upstream in ends] * copies
    random.Random(seed).shuffle(findings)
    book = Quarantine()
    for finding in findings:
        book.hear(finding, 0.0)
    held = book.held_s(BAD, 0.0) > 0.0
    assert held == (len(set(ends)) >= 2)
    assert book.held_s(BAD, 0.0) in (0.0, 10.0)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), nodes=st.integers(2, 5))
def test_nodes_agree_once_all_findings_are_told(seed, nodes):
    """Each node sees some ends; all tell each other what they know until it is over."""
    rng = random.Random(seed)
    books = [Quarantine() for _ in range(nodes)]
    for upstream in range(rng.randint(0, 6)):
        lost(rng.choice(books), upstream)
    for _ in range(2):
        told = [one for book in books for one in book.findings(BAD, 0.0)]
        rng.shuffle(told)
        for book in books:
            for finding in told:
                book.hear(finding, 0.0)
    assert len({book.held_s(BAD, 0.0) for book in books}) == 1


@pytest.mark.parametrize("repeat_s", [0.5, 2.0, 10.0, 45.0])
def test_request_that_comes_all_day_ends_few_upstreams(repeat_s):
    """Over an hour: two ends, then one after each hold of 10, 80, 640 and 3,600 s."""
    book, ends, now = Quarantine(), 0, 0.0
    while now < 3600.0:
        if book.held_s(BAD, now) == 0.0:
            lost(book, ends, now=now)
            ends += 1
        now += repeat_s
    assert ends <= 5
