"""Counts that load the metrics library only when somebody asks for them.

Loading ``prometheus_client`` takes 94 of 350 ms of processor time at the start of a
process, mostly for servers and mail formats that it brings along. A host of half a core
that comes back after a loss of power answers its callers 0.2 s sooner without it.
"""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

__all__ = ["LightCounter", "LightGauge", "LightHistogram", "LightMetricSet"]

_COUNTER_SUFFIX = "_total"


@dataclass(kw_only=True, eq=False)
class _CounterSeries:
    """One series of a counter."""

    value: float = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add to it."""
        self.value += amount


@dataclass(kw_only=True, eq=False)
class _HistogramSeries:
    """One series of a histogram.

    :param counts: of each bucket by itself, the last one without an upper bound.
    """

    bounds: tuple[float, ...]
    counts: list[int]
    total: float = 0.0

    def observe(self, value: float) -> None:
        """Take a value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value


@dataclass(kw_only=True, eq=False)
class LightCounter:
    """A counter.

    :param name: ends with ``_total``.
    :param label_names: of the values that :meth:`labels` takes.
    """

    name: str
    meaning: str
    label_names: tuple[str, ...]
    _series: dict[tuple[str, ...], _CounterSeries] = field(default_factory=dict)

    def labels(self, *values: str) -> _CounterSeries:
        """Return the series of some labels."""
        return self._series.setdefault(values, _CounterSeries())

    def collect(self) -> list[Any]:
        """Return it as a family of the metrics library."""
        from prometheus_client.core import CounterMetricFamily

        name = self.name.removesuffix(_COUNTER_SUFFIX)
        family = CounterMetricFamily(name, self.meaning, labels=self.label_names)
        for values, series in tuple(self._series.items()):
            family.add_metric(values, series.value)
        return [family]

    describe = collect


@dataclass(kw_only=True, eq=False)
class LightHistogram:
    """A histogram.

    :param bounds: upper bounds of its buckets but the last one, which has none.
    """

    name: str
    meaning: str
    label_names: tuple[str, ...]
    bounds: tuple[float, ...]
    _series: dict[tuple[str, ...], _HistogramSeries] = field(default_factory=dict)

    def labels(self, *values: str) -> _HistogramSeries:
        """Return the series of some labels."""
        series = self._series.get(values)
        if series is None:
            counts = [0] * (len(self.bounds) + 1)
            series = _HistogramSeries(bounds=self.bounds, counts=counts)
            self._series[values] = series
        return series

    def collect(self) -> list[Any]:
        """Return it as a family of the metrics library."""
        from prometheus_client.core import HistogramMetricFamily

        family = HistogramMetricFamily(self.name, self.meaning, labels=self.label_names)
        names = [*map(str, self.bounds), "+Inf"]
        for values, series in tuple(self._series.items()):
            sums = itertools.accumulate(series.counts)
            family.add_metric(
                values, list(zip(names, sums, strict=True)), sum_value=series.total
            )
        return [family]

    describe = collect


@dataclass(kw_only=True, eq=False)
class LightGauge:
    """A value that is set."""

    name: str
    meaning: str
    label_names: tuple[str, ...] = ()
    value: float = 0.0

    def set(self, value: float) -> None:
        """Take the value of now."""
        self.value = float(value)

    def collect(self) -> list[Any]:
        """Return it as a family of the metrics library."""
        from prometheus_client.core import GaugeMetricFamily

        return [GaugeMetricFamily(self.name, self.meaning, value=self.value)]

    describe = collect


class LightMetricSet:
    """Metrics of one process.

    They may be rendered in another thread than the one that counts: series are copied
    before they are gone through, since a new one would end that otherwise.
    """

    def collect(self) -> Iterator[Any]:
        """Yield all metrics as families of the metrics library."""
        for metric in vars(self).values():
            yield from metric.collect()

    def render(self) -> bytes:
        """Return the text exposition of all metrics; loads the library."""
        from prometheus_client.exposition import generate_latest

        return generate_latest(self)
