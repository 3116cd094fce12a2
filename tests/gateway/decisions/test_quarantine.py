"""Tests of the quarantine of requests that crash upstreams."""

import heapq
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.gateway.decisions.quarantine import (
    CrashReport,
    CrashReportKind,
    Quarantine,
)

BAD, SOUND = 7, 8


def crash_report(upstream, digest=BAD, weight=3):
    return CrashReport(
        digest=digest, kind=CrashReportKind.ENDED, upstream=upstream, weight=weight
    )


def record_crash(quarantine, upstream, now=0.0, *, digest=BAD, **more):
    quarantine.lost(digest, upstream, now=now, **more)


def test_two_upstreams_that_crash_at_the_start_are_enough():
    quarantine = Quarantine()
    record_crash(quarantine, 1)
    assert not quarantine.any_held(0.0)
    record_crash(quarantine, 2)
    assert quarantine.held_s(BAD, 0.0) == 10.0
    assert quarantine.held_s(SOUND, 0.0) == 0.0


def test_each_upstream_counts_once_whichever_node_reports_it():
    quarantine = Quarantine()
    for _ in range(5):
        record_crash(quarantine, 1)
        quarantine.hear(crash_report(1), 0.0)
    assert quarantine.held_s(BAD, 0.0) == 0.0


def test_long_answers_that_meet_several_crashes_are_not_quarantined():
    """A stream of a minute moves to the next engine each time one crashes.

    Five crashes are more than an attempt and its caller's next one can meet.
    """
    quarantine = Quarantine()
    for upstream in range(5):
        record_crash(quarantine, upstream, begun_s=4.0)
    assert quarantine.held_s(BAD, 0.0) == 0.0
    record_crash(quarantine, 5, begun_s=4.0)
    assert quarantine.held_s(BAD, 0.0) > 0.0


def test_upstreams_that_may_have_ended_before_are_weak_evidence():
    """Behind a proxy of its own, an upstream that has ended accepts and resets at once.

    A request sent by many callers met two of these within 20 ms of a start, before any
    copy was answered, and all callers were refused.
    """
    quarantine = Quarantine()
    for upstream in range(5):
        record_crash(quarantine, upstream, sure=False)
    assert quarantine.held_s(BAD, 0.0) == 0.0


def test_request_that_makes_upstreams_unresponsive_is_quarantined_eventually():
    """Hosts that die under it send nothing, and return as another incarnation."""
    quarantine = Quarantine()
    for upstream in range(6):
        assert quarantine.held_s(BAD, 0.0) == 0.0
        record_crash(quarantine, upstream, sure=False)
    assert quarantine.held_s(BAD, 0.0) > 0.0


def test_unconfirmed_crashes_count_once_they_are_confirmed():
    quarantine = Quarantine()
    for upstream in (1, 2):
        record_crash(quarantine, upstream, sure=False)
    assert quarantine.held_if_confirmed(BAD, [1, 2])
    quarantine.confirm(BAD, 1, now=0.0)
    assert quarantine.held_s(BAD, 0.0) == 0.0
    assert quarantine.held_if_confirmed(BAD, [2])
    quarantine.confirm(BAD, 2, now=0.0)
    assert quarantine.held_s(BAD, 0.0) == 10.0


def test_one_unconfirmed_crash_is_not_enough_when_the_other_upstream_stayed_up():
    quarantine = Quarantine()
    for upstream in (1, 2):
        record_crash(quarantine, upstream, sure=False)
    assert not quarantine.held_if_confirmed(BAD, [2])


def test_crash_is_not_confirmed_after_the_request_was_served():
    quarantine = Quarantine()
    for upstream in (1, 2):
        record_crash(quarantine, upstream, sure=False)
    quarantine.served(BAD)
    for upstream in (1, 2):
        quarantine.confirm(BAD, upstream, now=0.0)
    assert not quarantine.held_if_confirmed(BAD, [1, 2])
    assert quarantine.held_s(BAD, 0.0) == 0.0


def test_request_that_is_answered_in_between_is_not_quarantined():
    """Many callers send the same request while upstreams crash for other reasons."""
    quarantine = Quarantine()
    for upstream in range(20):
        record_crash(quarantine, upstream)
        quarantine.served(BAD)
    assert quarantine.held_s(BAD, 0.0) == 0.0


def test_first_crash_after_an_answer_is_ignored_the_second_is_not():
    quarantine = Quarantine()
    quarantine.served(BAD)
    record_crash(quarantine, 1)
    record_crash(quarantine, 2)
    assert quarantine.held_s(BAD, 0.0) == 0.0
    record_crash(quarantine, 3)
    assert quarantine.held_s(BAD, 0.0) > 0.0


def test_quarantine_ends_and_is_longer_after_one_more_crash():
    quarantine = Quarantine()
    record_crash(quarantine, 1)
    record_crash(quarantine, 2)
    assert quarantine.held_s(BAD, 10.0) == 0.0
    record_crash(quarantine, 3, now=11.0)
    assert quarantine.held_s(BAD, 11.0) == 80.0
    record_crash(quarantine, 4, now=100.0)
    assert quarantine.held_s(BAD, 100.0) == 640.0


def test_crashes_under_copies_sent_before_the_quarantine_do_not_extend_it():
    """Copies of the request were in transit to three more engines when it began."""
    quarantine = Quarantine()
    for upstream in range(5):
        record_crash(quarantine, upstream)
    assert quarantine.held_s(BAD, 0.0) == 10.0
    assert quarantine.held_s(BAD, 10.0) == 0.0


def test_crash_record_without_updates_expires():
    quarantine = Quarantine()
    record_crash(quarantine, 1)
    record_crash(quarantine, 2, now=601.0)
    assert quarantine.held_s(BAD, 601.0) == 0.0


def test_number_of_records_is_bounded_and_quarantined_requests_stay():
    quarantine = Quarantine()
    record_crash(quarantine, 1)
    record_crash(quarantine, 2)
    for digest in range(100, 3000):
        record_crash(quarantine, 1, digest=digest)
    assert len(quarantine.digests()) <= 512
    assert quarantine.held_s(BAD, 0.0) > 0.0


def test_node_that_served_the_request_reports_it_as_cleared():
    quarantine = Quarantine()
    quarantine.served(BAD)
    news = []
    quarantine.on_news = news.append
    quarantine.hear(crash_report(1), 0.0)
    quarantined = CrashReport(
        digest=BAD, kind=CrashReportKind.HELD, times=1, left_s=10.0
    )
    quarantine.hear(quarantined, 0.0)
    assert [(change.own, change.verdict) for change in news] == [(True, True)] * 2
    (report,) = quarantine.findings(BAD, 0.0)
    assert report.kind is CrashReportKind.CLEARED
    assert quarantine.held_s(BAD, 0.0) == 0.0


def test_on_verdict_is_called_once_for_each_decision():
    quarantine, reports = Quarantine(), []
    quarantine.on_verdict = reports.append
    for _ in range(3):
        record_crash(quarantine, 1)
        record_crash(quarantine, 2)
        quarantine.hear(crash_report(3), 0.0)
    quarantine.served(BAD)
    assert [report.kind for report in reports] == [
        CrashReportKind.HELD,
        CrashReportKind.CLEARED,
    ]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    crashed=st.lists(st.integers(0, 4), max_size=8),
    copies=st.integers(1, 3),
    seed=st.integers(0, 10_000),
)
def test_order_and_repetition_of_reports_change_nothing(crashed, copies, seed):
    """Reports arrive late, repeatedly and in any order; only their set counts."""
    reports = [crash_report(upstream) for upstream in crashed] * copies
    random.Random(seed).shuffle(reports)
    quarantine = Quarantine()
    for report in reports:
        quarantine.hear(report, 0.0)
    quarantined = quarantine.held_s(BAD, 0.0) > 0.0
    assert quarantined == (len(set(crashed)) >= 2)
    assert quarantine.held_s(BAD, 0.0) in (0.0, 10.0)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), nodes=st.integers(2, 5))
def test_nodes_agree_once_all_reports_are_exchanged(seed, nodes):
    """Each node records some crashes; then all nodes exchange all their reports."""
    rng = random.Random(seed)
    quarantines = [Quarantine() for _ in range(nodes)]
    for upstream in range(rng.randint(0, 6)):
        record_crash(rng.choice(quarantines), upstream)
    for _ in range(2):
        reports = [
            report
            for quarantine in quarantines
            for report in quarantine.findings(BAD, 0.0)
        ]
        rng.shuffle(reports)
        for quarantine in quarantines:
            for report in reports:
                quarantine.hear(report, 0.0)
    assert len({quarantine.held_s(BAD, 0.0) for quarantine in quarantines}) == 1


@pytest.mark.parametrize("first, second", [(BAD, SOUND), (SOUND, BAD)])
def test_requests_that_may_both_be_the_cause_are_quarantined_for_a_moment(
    first, second
):
    quarantine, news = Quarantine(), []
    record_crash(quarantine, 1, digest=first)
    record_crash(quarantine, 1, digest=second)
    record_crash(quarantine, 2, digest=first)
    assert quarantine.held_s(first, 0.0) == 10.0
    quarantine.on_news = news.append
    record_crash(quarantine, 2, digest=second)
    assert 0.0 < quarantine.held_s(first, 0.0) <= 4.0
    assert 0.0 < quarantine.held_s(second, 0.0) <= 4.0
    assert abs(quarantine.held_s(first, 0.0) - quarantine.held_s(second, 0.0)) >= 1.0
    assert first in {change.digest for change in news if change.verdict}


@pytest.mark.parametrize("weak", [1, 2])
def test_cut_connections_do_not_lengthen_the_quarantine_of_a_sound_request(weak):
    """A lookup was refused for 10 s: answers of it had also been lost elsewhere.

    The request that crashed both upstreams had not run where these were lost.
    """
    quarantine = Quarantine()
    for upstream in range(10, 10 + weak):
        record_crash(quarantine, upstream, digest=SOUND, sure=False)
    for upstream in (1, 2):
        record_crash(quarantine, upstream)
        record_crash(quarantine, upstream, digest=SOUND)
    assert 0.0 < quarantine.held_s(SOUND, 0.0) <= 4.0


def test_request_beside_which_others_ran_at_one_upstream_only_is_the_cause():
    quarantine = Quarantine()
    for upstream, other in ((1, 20), (2, 21)):
        record_crash(quarantine, upstream, digest=other)
        record_crash(quarantine, upstream)
    assert quarantine.held_s(BAD, 0.0) == 10.0


def test_long_answers_beside_a_crashing_request_are_not_taken_for_the_cause():
    quarantine = Quarantine()
    for upstream in (1, 2):
        record_crash(quarantine, upstream, digest=SOUND, begun_s=4.0)
        record_crash(quarantine, upstream)
    assert quarantine.held_s(BAD, 0.0) == 10.0
    assert quarantine.held_s(SOUND, 0.0) == 0.0


def test_quarantine_that_another_node_has_shortened_is_shortened_once():
    quarantine, news = Quarantine(), []
    quarantine.on_news = news.append
    for left_s, now in ((10.0, 0.0), (9.9, 0.0), (1.0, 0.1), (0.9, 0.15), (9.5, 0.5)):
        report = CrashReport(
            digest=BAD, kind=CrashReportKind.HELD, times=1, left_s=left_s
        )
        quarantine.hear(report, now)
    assert quarantine.held_s(BAD, 0.1) == 1.0
    assert len(news) == 2


class _Services:
    """Two services that crash by one request; another one is sent by many callers.

    Both requests have two attempts. A service that crashed is back after half a second.
    """

    RUN_S, CRASH_S, DOWN_S = 0.4, 0.1, 0.5

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.quarantine = Quarantine()
        self.numbers = itertools.count(1)
        self.up = {name: next(self.numbers) for name in range(2)}
        self.crashed = self.refused = self.asked = 0
        self.running = []
        self.events = []

    def play(self, duration_s):
        for step in range(int(duration_s * 20)):
            self.schedule(step * 0.05, self.arrive, SOUND, 2)
        for step in range(int(duration_s * 2.5)):
            self.schedule(step * 0.4, self.arrive, BAD, 2)
        while self.events:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)

    def schedule(self, at, action, *args):
        heapq.heappush(self.events, (at, next(self.numbers), action, args))

    def arrive(self, now, digest, attempts):
        self.asked += digest == SOUND and attempts == 2
        if self.quarantine.held_s(digest, now):
            self.refused += digest == SOUND
        elif self.up and attempts:
            name = self.rng.choice(sorted(self.up))
            run = (digest, name, self.up[name], attempts)
            self.running.append(run)
            if digest == BAD:
                self.schedule(now + self.CRASH_S, self.crash, run)
            else:
                self.schedule(now + self.RUN_S, self.finish, run)

    def finish(self, now, run):
        if run in self.running:
            self.running.remove(run)
            self.quarantine.served(run[0])

    def crash(self, now, run):
        _, name, incarnation, _ = run
        if self.up.get(name) != incarnation:
            return
        del self.up[name]
        self.crashed += 1
        self.schedule(now + self.DOWN_S, self.start, name)
        lost = [one for one in self.running if one[2] == incarnation]
        self.running = [one for one in self.running if one[2] != incarnation]
        for digest in {one[0] for one in lost}:
            record_crash(self.quarantine, incarnation, now, digest=digest)
        for digest, _, _, attempts in lost:
            self.arrive(now, digest, attempts - 1)

    def start(self, now, name):
        self.up[name] = next(self.numbers)


@pytest.mark.parametrize("seed", range(5))
def test_request_of_many_callers_is_hardly_refused_beside_one_that_crashes(seed):
    """Both run at both services as they crash; nothing tells them apart at first."""
    services = _Services(seed)
    services.play(60.0)
    assert services.refused < 0.1 * services.asked
    assert services.crashed <= 6


@pytest.mark.parametrize("repeat_s", [0.5, 2.0, 10.0, 45.0])
def test_request_that_arrives_all_day_crashes_few_upstreams(repeat_s):
    """Two crashes, then one after each quarantine of 10, 80, 640 and 3,600 s."""
    quarantine, crashes, now = Quarantine(), 0, 0.0
    while now < 3600.0:
        if quarantine.held_s(BAD, now) == 0.0:
            record_crash(quarantine, crashes, now=now)
            crashes += 1
        now += repeat_s
    assert crashes <= 5
