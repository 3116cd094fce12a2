"""Evidence on a new version: failures and times of its answers beside the old one's."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

__all__ = [
    "Aspect",
    "EvidenceBook",
    "EvidenceCounts",
    "SeriesCounts",
    "SeriesKey",
    "TIME_CLASSES",
    "time_class",
]

# Classes of times, two for each doubling.
TIME_CLASSES = 24
_CLASSES_PER_DOUBLING = 2
# An answer is slow if it took this many classes longer than the median of the old
# version's answers: 2.8 times.
_SLOW_CLASSES = 3
# Share of bad answers, beyond that of the old version, that the test looks for.
_EXCESS_SHARE = 0.15
# Share of bad answers that is assumed of an old version without any, and its weight in
# answers; and the smallest share, so that a few failures do not decide.
_PRIOR_BAD_SHARE = 0.05
_PRIOR_WEIGHT = 10.0
_MIN_BAD_SHARE = 0.03
# Factor by which older answers of the old version count less with each evaluation: both
# versions may become slow within a second.
_DECAY = 0.8
# Answers of the old version below which its median time is unknown.
_MIN_OLD_ANSWERS = 5.0
# Answers of the new version that are enough for a verdict in its favour.
_MIN_NEW_ANSWERS = 10
_MAX_COUNT = 1 << 16


class Aspect(IntEnum):
    """What a series measures; the numbers are the wire values.

    ``ANSWER``: failures, and the time to the first event or whole answer.
    ``INTERVAL``: the mean time between the events of a stream.
    """

    ANSWER = 1
    INTERVAL = 2


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class SeriesKey:
    """Identifies a series of answers.

    :param route: CRC-32 of the route's name.
    :param new: whether they are the new version's.
    """

    route: int
    aspect: Aspect
    new: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class SeriesCounts:
    """Counts of one series at one node since it received the order.

    :param failed: answers that were failures.
    :param times: other answers by class of their time.
    """

    key: SeriesKey
    failed: int
    times: tuple[int, ...]


class EvidenceCounts:
    """Answers that one node has received during a rollout."""

    def __init__(self) -> None:
        self._failed: dict[SeriesKey, int] = {}
        self._times: dict[SeriesKey, list[int]] = {}
        self._changed: dict[SeriesKey, None] = {}

    def add(self, key: SeriesKey, time: int | None) -> None:
        """Count an answer.

        :param time: its class by :func:`time_class`; ``None`` for a failure.
        """
        times = self._times.setdefault(key, [0] * TIME_CLASSES)
        self._failed.setdefault(key, 0)
        if time is None:
            self._failed[key] += 1
        else:
            times[time] += 1
        self._changed[key] = None

    def take_changed(self) -> list[SeriesCounts]:
        """Return the series that changed since the last call."""
        changed, self._changed = self._changed, {}
        return [self._counts(key) for key in changed]

    def all(self) -> list[SeriesCounts]:
        """Return all series."""
        return [self._counts(key) for key in self._times]

    def _counts(self, key: SeriesKey) -> SeriesCounts:
        return SeriesCounts(
            key=key, failed=self._failed[key], times=tuple(self._times[key])
        )


@dataclass(kw_only=True)
class _Recent:
    """Answers of the old version, older ones with a lower weight."""

    failed: float = 0.0
    times: list[float] = field(default_factory=lambda: [0.0] * TIME_CLASSES)

    @property
    def total(self) -> float:
        return self.failed + sum(self.times)

    def decay(self) -> None:
        self.failed *= _DECAY
        self.times = [count * _DECAY for count in self.times]

    def slow_from(self) -> int:
        """Return the class from which on an answer is slow."""
        answered = sum(self.times)
        if answered < _MIN_OLD_ANSWERS:
            return TIME_CLASSES
        below = 0.0
        for index, count in enumerate(self.times):
            below += count
            if 2 * below >= answered:
                return index + _SLOW_CLASSES
        return TIME_CLASSES

    def bad_share(self) -> float:
        bad = self.failed + sum(self.times[self.slow_from() :])
        share = (bad + _PRIOR_BAD_SHARE * _PRIOR_WEIGHT) / (self.total + _PRIOR_WEIGHT)
        return max(share, _MIN_BAD_SHARE)


@dataclass(kw_only=True)
class _Test:
    """Cumulative sum test of one route and aspect.

    Adds up the logarithm of how much likelier each answer of the new version is if it
    has more bad answers than the old one. The sum does not fall below 0, so that a
    version that turns bad late is found as soon.

    References
    ----------
    E. S. Page, "Continuous inspection schemes", Biometrika 41 (1954).

    """

    score: float = 0.0

    def add(self, bad: int, good: int, old_share: float) -> None:
        new_share = min(old_share + _EXCESS_SHARE, 0.99)
        change = bad * math.log(new_share / old_share)
        change += good * math.log((1 - new_share) / (1 - old_share))
        self.score = max(self.score + change, 0.0)


class EvidenceBook:
    """Adds up the evidence of all nodes on one rollout; does no I/O.

    Nodes report counts since the order, so that lost and repeated reports do no harm.
    Each route and aspect is tested by itself, against the old version's answers in the
    same seconds: a version that is bad on one route is found, and one whose old version
    became slow as well is not blamed.
    """

    def __init__(self) -> None:
        self._last: dict[tuple[int, SeriesKey], SeriesCounts] = {}
        self._pending: dict[SeriesKey, list[int]] = {}
        self._recent: dict[tuple[int, Aspect], _Recent] = {}
        self._tests: dict[tuple[int, Aspect], _Test] = {}
        self.new_answers = 0
        self.new_bad = 0

    def hear(self, node: int, series: Iterable[SeriesCounts]) -> None:
        """Add the counts that a node reports.

        :param node: number that each process picks at its start.
        """
        for counts in series:
            rises = _rises(counts, self._last.get((node, counts.key)))
            if rises is None:
                continue
            self._last[node, counts.key] = counts
            pending = self._pending.setdefault(counts.key, [0] * (TIME_CLASSES + 1))
            for index, rise in enumerate(rises):
                pending[index] += rise

    def evaluate(self) -> float:
        """Test the evidence that arrived since the last call.

        :returns: the highest score of all routes; a good version rarely reaches 7, and
            hardly ever 11.
        """
        for recent in self._recent.values():
            recent.decay()
        pending, self._pending = self._pending, {}
        # False sorts before True: the old version's answers are the reference.
        for key in sorted(pending, key=lambda key: key.new):
            failed, *times = pending[key]
            if key.new:
                self._test(key, failed, times)
            else:
                self._add_reference(key, failed, times)
        return self.score

    @property
    def score(self) -> float:
        """The highest score at the last evaluation."""
        return max((test.score for test in self._tests.values()), default=0.0)

    def is_sufficient(self) -> bool:
        """Whether there are enough answers for a verdict in favour."""
        return self.new_answers >= _MIN_NEW_ANSWERS

    def _add_reference(self, key: SeriesKey, failed: int, times: list[int]) -> None:
        recent = self._recent.setdefault((key.route, key.aspect), _Recent())
        recent.failed += failed
        recent.times = [old + new for old, new in zip(recent.times, times, strict=True)]

    def _test(self, key: SeriesKey, failed: int, times: list[int]) -> None:
        reference = self._recent.get((key.route, key.aspect), _Recent())
        slow = sum(times[reference.slow_from() :])
        bad = failed + slow
        good = sum(times) - slow
        test = self._tests.setdefault((key.route, key.aspect), _Test())
        test.add(bad, good, reference.bad_share())
        if key.aspect is Aspect.ANSWER:
            self.new_answers += bad + good
            self.new_bad += bad


def time_class(value: float) -> int:
    """Return the class of a time.

    :param value: in any unit; 1 and less are the first class.

    Examples
    --------
    >>> [time_class(value) for value in (0.5, 1.0, 2.0, 8.0)]
    [0, 0, 2, 6]

    """
    doublings = math.log2(max(value, 1.0))
    return min(round(_CLASSES_PER_DOUBLING * doublings), TIME_CLASSES - 1)


def _rises(counts: SeriesCounts, before: SeriesCounts | None) -> list[int] | None:
    """Return how much each count rose; ``None`` if the report is an earlier one.

    Counts wrap around on the wire.
    """
    now = (counts.failed, *counts.times)
    then = (before.failed, *before.times) if before else (0,) * len(now)
    rises = [
        (value - previous) % _MAX_COUNT
        for value, previous in zip(now, then, strict=True)
    ]
    return None if max(rises) >= _MAX_COUNT // 2 else rises
