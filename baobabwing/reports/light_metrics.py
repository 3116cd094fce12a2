"""Metrics that import ``prometheus_client`` only when they are collected.

Importing ``prometheus_client`` takes 94 of 350 ms of CPU time at process start, mostly
for the HTTP server and mail modules that it imports. Without it, a host with half a
core that restarts after a power loss answers its callers 0.2 s sooner.
"""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

__all__ = [
    "LightCounter",
    "LightGauge",
    "LightHistogram",
    "LightLabelledGauge",
    "LightMetricSet",
]

_COUNTER_SUFFIX = "_total"


@dataclass(kw_only=True, eq=False)
class _CounterSeries:
    """Counter value for one combination of labels."""

    value: float = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Increase the value."""
        self.value += amount


@dataclass(kw_only=True, eq=False)
class _HistogramSeries:
    """Histogram for one combination of labels.

    :param bounds: upper bounds of all buckets but the last.
    :param counts: observations per bucket, not cumulative; the last bucket has no
        upper bound.
    :param total: sum of the observed values.
    """

    bounds: tuple[float, ...]
    counts: list[int]
    total: float = 0.0

    def observe(self, value: float) -> None:
        """Record an observation."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value


@dataclass(kw_only=True, eq=False)
class LightCounter:
    """A counter.

    :param name: metric name, ending with ``_total``.
    :param meaning: help text of the metric.
    :param label_names: names for the values that :meth:`labels` takes, in order.
    """

    name: str
    meaning: str
    label_names: tuple[str, ...]
    _series: dict[tuple[str, ...], _CounterSeries] = field(default_factory=dict)

    def labels(self, *values: str) -> _CounterSeries:
        """Return the series for label values, creating it if missing."""
        return self._series.setdefault(values, _CounterSeries())

    def collect(self) -> list[Any]:
        """Return the metric as a ``prometheus_client`` metric family."""
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

    :param meaning: help text of the metric.
    :param label_names: names for the values that :meth:`labels` takes, in order.
    :param bounds: upper bounds of all buckets but the last, which has none.
    """

    name: str
    meaning: str
    label_names: tuple[str, ...]
    bounds: tuple[float, ...]
    _series: dict[tuple[str, ...], _HistogramSeries] = field(default_factory=dict)

    def labels(self, *values: str) -> _HistogramSeries:
        """Return the series for label values, creating it if missing."""
        series = self._series.get(values)
        if series is None:
            counts = [0] * (len(self.bounds) + 1)
            series = _HistogramSeries(bounds=self.bounds, counts=counts)
            self._series[values] = series
        return series

    def collect(self) -> list[Any]:
        """Return the metric as a ``prometheus_client`` metric family."""
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
    """A gauge.

    :param meaning: help text of the metric.
    :param label_names: empty, as gauges have no labels; the generated metrics page
        reads it.
    """

    name: str
    meaning: str
    label_names: tuple[str, ...] = ()
    value: float = 0.0

    def set(self, value: float) -> None:
        """Set the current value."""
        self.value = float(value)

    def collect(self) -> list[Any]:
        """Return the metric as a ``prometheus_client`` metric family."""
        from prometheus_client.core import GaugeMetricFamily

        return [GaugeMetricFamily(self.name, self.meaning, value=self.value)]

    describe = collect


@dataclass(kw_only=True, eq=False)
class LightLabelledGauge:
    """A gauge with labels; its values are replaced as a whole.

    :param name: metric name.
    :param meaning: help text of the metric.
    :param label_names: names for the label values, in order.
    :ivar values: value by label values.
    """

    name: str
    meaning: str
    label_names: tuple[str, ...]
    values: dict[tuple[str, ...], float] = field(default_factory=dict)

    def collect(self) -> list[Any]:
        """Return the metric as a ``prometheus_client`` metric family."""
        from prometheus_client.core import GaugeMetricFamily

        family = GaugeMetricFamily(self.name, self.meaning, labels=self.label_names)
        for labels, value in tuple(self.values.items()):
            family.add_metric(labels, value)
        return [family]

    describe = collect


class LightMetricSet:
    """Base class for the metrics of one process.

    Metrics may be rendered in another thread than the one that updates them. The
    series are copied before iteration, because adding a series to a dictionary
    during iteration raises an error.
    """

    def collect(self) -> Iterator[Any]:
        """Yield all metrics as ``prometheus_client`` metric families."""
        for metric in vars(self).values():
            yield from metric.collect()

    def render(self) -> bytes:
        """Return the text exposition of all metrics; imports ``prometheus_client``."""
        from prometheus_client.exposition import generate_latest

        return generate_latest(self)
