"""Load and speed that upstreams report in a header of their answers."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["USUAL_PERCENT", "ToldLoad", "UsualWork", "parse_told_load"]

# Work time of a machine that others do not use.
USUAL_PERCENT = 100.0
# Largest figures accepted. A machine with more requests, or one that takes more than a
# hundred times as long as usual, reports wrong figures.
_MAX_REQUESTS = 100_000
_MAX_WORK_PERCENT = 10_000
# Digits of a figure; bounds the cost of its conversion.
_MAX_DIGITS = 6
_FIGURES = 4
# Time constant with which reports fade: some disturbances, so that their mean is the
# usual speed, and short enough that a false report does not keep requests away.
_MEMORY_S = 5.0
# Reports within this time count as one: a disturbance lasts some hundred ms, and
# several answers within one tell no more than one of them.
_DISTURBANCE_S = 0.6


@dataclass(frozen=True, kw_only=True)
class ToldLoad:
    """Load of an upstream as it reports it; ``None`` for figures that it does not.

    :param running: requests that it processes.
    :param waiting: requests that wait there.
    :param slots: requests that it can process concurrently.
    :param work_percent: time that work takes on its machine now, in percent of the
        usual time.
    :param at: when the report arrived, by the monotonic clock.
    :param rejected: figures of the report that are no numbers or out of range.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    work_percent: int | None = None
    at: float
    rejected: int = 0


class UsualWork:
    """Usual time that work takes on a machine: a fading mean of its reports.

    :ivar percent: the mean, in percent of the usual time; ``None`` without reports.
    """

    def __init__(self) -> None:
        self.percent: float | None = None
        self._weight = 0.0
        self._at = -math.inf

    def add(self, percent: int, at: float) -> None:
        """Add a report; reports soon after another one count less."""
        if at <= self._at:
            return
        new_weight = min((at - self._at) / _DISTURBANCE_S, 1.0)
        old_weight = self._weight * math.exp((self._at - at) / _MEMORY_S)
        self._weight, self._at = old_weight + new_weight, at
        if self.percent is None:
            self.percent = float(percent)
        else:
            self.percent += new_weight / self._weight * (percent - self.percent)

    def confidence(self, now: float) -> float:
        """Return how far the mean counts: 1 after a report, fading to 0."""
        return min(math.exp((self._at - now) / _MEMORY_S), 1.0)


def parse_told_load(value: bytes | None, at: float) -> ToldLoad | None:
    """Decode the header in which an upstream reports its load, figure by figure.

    Further figures are ignored.

    :param value: value of the header; ``None`` if the answer has none.
    :param at: when the answer arrived, by the monotonic clock.
    :returns: ``None`` if there is no header.
    """
    if value is None:
        return None
    fields = value.split(b",", _FIGURES)[:_FIGURES]
    bounds = (
        (0, _MAX_REQUESTS),
        (0, _MAX_REQUESTS),
        (1, _MAX_REQUESTS),
        (1, _MAX_WORK_PERCENT),
    )
    figures = [
        _parse_figure(field, low, high)
        for field, (low, high) in zip(fields, bounds, strict=False)
    ]
    rejected = figures.count(None)
    figures += [None] * (_FIGURES - len(figures))
    running, waiting, slots, work_percent = figures
    return ToldLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        work_percent=work_percent,
        at=at,
        rejected=rejected,
    )


def _parse_figure(field: bytes, low: int, high: int) -> int | None:
    digits = field.strip()
    if not digits.isdigit() or len(digits) > _MAX_DIGITS:
        return None
    figure = int(digits)
    return figure if low <= figure <= high else None
