"""The metrics that a node exposes to Prometheus."""

from __future__ import annotations

from baobabwing.reports.metric_set import MetricSet

__all__ = ["NodeMetrics"]

_FIRST_TOKEN_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 10, 30)
_BETWEEN_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.055, 0.1, 0.2, 0.5, 1, 5)
_PERMIT_BUCKETS_S = (0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.05, 0.2, 1, 5, 30)


class NodeMetrics(MetricSet):
    """All counters, gauges and histograms of one node, in one registry."""

    def __init__(self) -> None:
        super().__init__()
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
        self.first_token = self._histogram(
            "baobabwing_first_token_seconds",
            "From the request's arrival to its first token.",
            ("tier",),
            _FIRST_TOKEN_BUCKETS_S,
        )
        self.between_tokens = self._histogram(
            "baobabwing_between_tokens_seconds",
            "Mean time between two tokens of a request.",
            ("tier",),
            _BETWEEN_BUCKETS_S,
        )
        self.permit_wait = self._histogram(
            "baobabwing_permit_wait_seconds",
            "From asking for a permit to the decision.",
            ("tier",),
            _PERMIT_BUCKETS_S,
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
