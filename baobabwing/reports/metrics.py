"""The metrics that a node offers to Prometheus."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["NodeMetrics"]

_FIRST_TOKEN_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 10, 30)
_BETWEEN_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.055, 0.1, 0.2, 0.5, 1, 5)
_PERMIT_BUCKETS_S = (0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.05, 0.2, 1, 5, 30)


class NodeMetrics:
    """All counters, gauges and histograms of one node, in one registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = self._counter(
            "baobabwing_answers_total",
            "Requests by how they ended: whole_in_time, late, shed, upstream, "
            "unknown, cancelled, refused.",
            ("brand", "tier", "outcome"),
        )
        self.prefill = self._counter(
            "baobabwing_prefill_tokens_total",
            "Prompt tokens of dispatched requests.",
            ("brand",),
        )
        self.wasted = self._counter(
            "baobabwing_wasted_prefill_tokens_total",
            "Prompt tokens of requests whose work was lost, by reason.",
            ("brand", "reason"),
        )
        self.tokens = self._counter(
            "baobabwing_relayed_tokens_total", "Tokens given to callers.", ("tier",)
        )
        self.late_answers = self._counter(
            "baobabwing_mismatched_answers_total",
            "Answers of another attempt that were dropped.",
            (),
        )
        self.resumed = self._counter(
            "baobabwing_resumed_streams_total",
            "Streams that went on after a broken connection.",
            ("result",),
        )
        self.first_token = Histogram(
            "baobabwing_first_token_seconds",
            "From the request's arrival to its first token.",
            ("tier",),
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.between_tokens = Histogram(
            "baobabwing_between_tokens_seconds",
            "Mean time between two tokens of a request.",
            ("tier",),
            buckets=_BETWEEN_BUCKETS_S,
            registry=self.registry,
        )
        self.permit_wait = Histogram(
            "baobabwing_permit_wait_seconds",
            "From asking for a permit to the decision.",
            ("tier",),
            buckets=_PERMIT_BUCKETS_S,
            registry=self.registry,
        )
        self.open_requests = self._gauge(
            "baobabwing_open_requests", "Requests that have no outcome yet."
        )
        self.configuration_version = self._gauge(
            "baobabwing_configuration_version", "Version in force."
        )
        self.members = self._gauge(
            "baobabwing_serving_members", "Hosts that this node sends new work to."
        )
        self.control_bytes = self._gauge(
            "baobabwing_control_bytes", "Bytes sent to and received from other nodes."
        )

    def render(self) -> bytes:
        """Return the text exposition of all metrics."""
        return generate_latest(self.registry)

    def _counter(self, name: str, meaning: str, labels: tuple[str, ...]) -> Counter:
        return Counter(name, meaning, labels, registry=self.registry)

    def _gauge(self, name: str, meaning: str) -> Gauge:
        return Gauge(name, meaning, registry=self.registry)
