"""Counters and latency histograms of one gateway."""

from __future__ import annotations

from enum import StrEnum

from baobabwing.reports.metric_set import MetricSet

__all__ = ["GatewayMetrics", "Outcome"]

# Around the objectives of 0.1 s for calls and 0.8 s for streams.
_WAIT_BUCKETS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
_ANSWER_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0)


class Outcome(StrEnum):
    """How a request ended; each is counted once, under one of these."""

    IN_TIME = "in_time"
    LATE = "late"
    UPSTREAM_FAILURE = "upstream_failure"
    BROKEN = "broken"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_LEFT = "caller_left"


class GatewayMetrics(MetricSet):
    """All metrics of one gateway, in one registry.

    Labels are pools, tiers, outcomes and reasons: as many as the configuration has
    pools, times some tens.
    """

    def __init__(self) -> None:
        super().__init__()
        self.requests = self._counter(
            "baobabwing_gateway_requests_total",
            "Requests by how they ended.",
            ("pool", "tier", "outcome"),
        )
        self.refusals = self._counter(
            "baobabwing_gateway_refusals_total",
            "Final answers of the gateway's own, by reason.",
            ("code",),
        )
        self.tries = self._counter(
            "baobabwing_gateway_tries_total",
            "Tries at upstreams by how they ended.",
            ("pool", "step"),
        )
        self.queue = self._histogram(
            "baobabwing_gateway_queue_seconds",
            "From a request's arrival to its place at an upstream.",
            ("pool", "tier"),
            _WAIT_BUCKETS_S,
        )
        self.first = self._histogram(
            "baobabwing_gateway_first_seconds",
            "From a request's arrival to the first event or the answer.",
            ("pool", "tier"),
            _ANSWER_BUCKETS_S,
        )
        self.whole = self._histogram(
            "baobabwing_gateway_whole_seconds",
            "From a request's arrival to the end of its answer.",
            ("pool", "tier"),
            _ANSWER_BUCKETS_S,
        )
        self.connect = self._histogram(
            "baobabwing_gateway_connect_seconds",
            "Time that a new connection to an upstream took.",
            ("pool",),
            _WAIT_BUCKETS_S,
        )
        self.open_requests = self._gauge(
            "baobabwing_gateway_open_requests", "Requests without an answer yet."
        )
        self.queued = self._gauge(
            "baobabwing_gateway_queued_requests", "Requests that wait for a place."
        )
        self.version = self._gauge(
            "baobabwing_gateway_configuration_version", "Version in force; 0 for none."
        )
        self.peers = self._gauge(
            "baobabwing_gateway_peers", "Other nodes that may get new work."
        )
        self.work_bytes = self._gauge(
            "baobabwing_gateway_work_bytes",
            "Bytes of messages on places and limits sent to other nodes.",
        )
        self.late = self._gauge(
            "baobabwing_gateway_loop_late_seconds",
            "Worst delay of the process's timers in the last one to two seconds.",
        )
        self.home_answer = self._gauge(
            "baobabwing_gateway_home_answer_seconds",
            "Usual time to the answer of the slowest home that is asked.",
        )
        self.store_away = self._gauge(
            "baobabwing_gateway_store_away", "1 while the store does not answer."
        )
