"""Load and speed that upstreams report in a header of their answers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ToldLoad", "parse_told_load"]

# Largest figures accepted. A machine with more requests, or one that takes more than a
# hundred times as long as usual, reports wrong figures.
_MAX_REQUESTS = 100_000
_MAX_WORK_PERCENT = 10_000
# Digits of a figure; bounds the cost of its conversion.
_MAX_DIGITS = 6
_FIGURES = 4


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
