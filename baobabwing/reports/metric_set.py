"""Base class for the metrics of a process."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["MetricSet"]


class MetricSet:
    """Metrics of one process in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

    def render(self) -> bytes:
        """Return the text exposition of all metrics."""
        return generate_latest(self.registry)

    def _counter(self, name: str, meaning: str, labels: tuple[str, ...]) -> Counter:
        return Counter(name, meaning, labels, registry=self.registry)

    def _gauge(self, name: str, meaning: str) -> Gauge:
        return Gauge(name, meaning, registry=self.registry)

    def _histogram(
        self,
        name: str,
        meaning: str,
        labels: tuple[str, ...],
        buckets: tuple[float, ...],
    ) -> Histogram:
        return Histogram(name, meaning, labels, buckets=buckets, registry=self.registry)
