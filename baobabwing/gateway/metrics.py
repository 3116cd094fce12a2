"""Metrics of one gateway."""

from __future__ import annotations

from enum import StrEnum

from baobabwing.reports.light_metrics import (
    LightCounter,
    LightGauge,
    LightHistogram,
    LightLabelledGauge,
    LightMetricSet,
)

__all__ = ["Crossing", "GatewayMetrics", "Outcome", "Sends", "Units"]

# Finest around the objectives of 0.1 s for calls and 0.8 s for streams.
_WAIT_BUCKETS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
_ANSWER_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0)


class Outcome(StrEnum):
    """Outcome of a request; each request is counted once.

    ``BROKEN``: the answer was cut after it had started; ``REFUSED``: the request did
    not run; ``FAILED``: it may have run, but no upstream answered; ``STOPPED``: this
    node stopped before the answer was complete.
    """

    IN_TIME = "in_time"
    LATE = "late"
    UPSTREAM_FAILURE = "upstream_failure"
    BROKEN = "broken"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_LEFT = "caller_left"
    STOPPED = "stopped"


class Sends(StrEnum):
    """Whether a send is the first one of its request, or a retry."""

    FIRST = "first"
    RETRY = "retry"


class Crossing(StrEnum):
    """Whether a send stays within its node's availability zone.

    ``UNKNOWN``: the zone of the node or of the upstream is not known.
    """

    WITHIN = "within"
    ACROSS = "across"
    UNKNOWN = "unknown"


class Units(StrEnum):
    """Kinds of sends, by which the units they use are counted.

    ``FIRST``: first send; ``AGAIN``: a retry; ``NOT_RUN``: refused by the upstream
    without being run.
    """

    FIRST = "first"
    AGAIN = "again"
    NOT_RUN = "not_run"


class GatewayMetrics(LightMetricSet):
    """All metrics of one gateway.

    Labels are pools, tiers, outcomes and reasons, so the number of series is the number
    of pools in the configuration times some tens.
    """

    def __init__(self) -> None:
        self.requests = LightCounter(
            name="baobabwing_gateway_requests_total",
            meaning="Requests by how they ended.",
            label_names=("pool", "tier", "outcome"),
        )
        self.refusals = LightCounter(
            name="baobabwing_gateway_refusals_total",
            meaning="Final answers of the gateway's own, by reason.",
            label_names=("code",),
        )
        self.refused_for_in_time = LightCounter(
            name="baobabwing_gateway_refused_for_in_time_total",
            meaning=(
                "Requests that this node, as the home of a cell, refused as requests "
                "that can be in time need the slots, or as their turn would come late."
            ),
            label_names=("pool",),
        )
        self.attempts = LightCounter(
            name="baobabwing_gateway_tries_total",
            meaning="Tries at upstreams by how they ended.",
            label_names=("pool", "step"),
        )
        self.sends = LightCounter(
            name="baobabwing_gateway_sends_total",
            meaning=(
                "Requests sent to upstreams: the first send of each, and retries, "
                "which the budget of retries bounds over all nodes."
            ),
            label_names=("pool", "kind"),
        )
        self.zone_sends = LightCounter(
            name="baobabwing_gateway_zone_sends_total",
            meaning=(
                "Requests sent to upstreams within this node's availability zone and "
                "across to another one."
            ),
            label_names=("pool", "crossing"),
        )
        self.zone_bytes = LightCounter(
            name="baobabwing_gateway_zone_bytes_total",
            meaning=(
                "Bytes of the bodies of these requests and of what their upstreams "
                "answered."
            ),
            label_names=("pool", "crossing"),
        )
        self.truncated_answers = LightCounter(
            name="baobabwing_gateway_truncated_answers_total",
            meaning=(
                "Answers that upstreams broke off after their head, by what would "
                "have marked their end."
            ),
            label_names=("pool", "framing"),
        )
        self.taken_up = LightCounter(
            name="baobabwing_gateway_taken_up_streams_total",
            meaning=(
                "Streams that their callers took up, by how the software that began "
                "them is known; unknown ones are refused."
            ),
            label_names=("pool", "known_by"),
        )
        self.recorded_pools = LightGauge(
            name="baobabwing_gateway_recorded_pools",
            meaning=(
                "Pools whose streams are recorded at other nodes, as their upstreams "
                "have lately had several versions, or may have."
            ),
        )
        self.stream_records = LightGauge(
            name="baobabwing_gateway_stream_records",
            meaning="Streams of which this node knows where they began.",
        )
        self.limit_units = LightCounter(
            name="baobabwing_gateway_limit_units_total",
            meaning=(
                "Units that limited organisations' requests took to upstreams: with "
                "their first send, with further ones, and without being run."
            ),
            label_names=("kind",),
        )
        self.limits_share = LightGauge(
            name="baobabwing_gateway_limits_share",
            meaning="Part of each limit that the nodes on this side share.",
        )
        self.slot_wait = LightHistogram(
            name="baobabwing_gateway_queue_seconds",
            meaning="From a request's arrival to its place at an upstream.",
            label_names=("pool", "tier"),
            bounds=_WAIT_BUCKETS_S,
        )
        self.first_event = LightHistogram(
            name="baobabwing_gateway_first_seconds",
            meaning="From a request's arrival to the first event or the answer.",
            label_names=("pool", "tier"),
            bounds=_ANSWER_BUCKETS_S,
        )
        self.whole_answer = LightHistogram(
            name="baobabwing_gateway_whole_seconds",
            meaning="From a request's arrival to the end of its answer.",
            label_names=("pool", "tier"),
            bounds=_ANSWER_BUCKETS_S,
        )
        self.connect = LightHistogram(
            name="baobabwing_gateway_connect_seconds",
            meaning="Time that a new connection to an upstream took.",
            label_names=("pool",),
            bounds=_WAIT_BUCKETS_S,
        )
        self.open_requests = LightGauge(
            name="baobabwing_gateway_open_requests",
            meaning="Requests without an answer yet.",
        )
        self.caller_connections = LightGauge(
            name="baobabwing_gateway_caller_connections",
            meaning="Open connections of callers.",
        )
        self.caller_connections_bound = LightGauge(
            name="baobabwing_gateway_caller_connections_bound",
            meaning="Most connections of callers that are kept.",
        )
        self.queued = LightGauge(
            name="baobabwing_gateway_queued_requests",
            meaning="Requests that wait for a place.",
        )
        self.version = LightGauge(
            name="baobabwing_gateway_configuration_version",
            meaning="Version in force; 0 for none.",
        )
        self.peers = LightGauge(
            name="baobabwing_gateway_peers",
            meaning="Other nodes that may get new work.",
        )
        self.refusal_limits = LightGauge(
            name="baobabwing_gateway_refusal_limits",
            meaning="Pools whose upstreams fail if they refuse too many requests.",
        )
        self.send_permits = LightCounter(
            name="baobabwing_gateway_send_permits_total",
            meaning=(
                "Permits for upstreams with rate limits that this node wanted beside "
                "those of homes: granted, refused, or unanswered."
            ),
            label_names=("pool", "result"),
        )
        self.rate_limits = LightGauge(
            name="baobabwing_gateway_rate_limits",
            meaning="Upstreams that limit how many requests a second they take.",
        )
        self.reported_work = LightLabelledGauge(
            name="baobabwing_gateway_reported_work_ratio",
            meaning=(
                "Time that work takes on the machines of a pool that shares them, as "
                "its upstreams report it: mean and highest of the last seconds; 1 is "
                "usual."
            ),
            label_names=("pool", "kind"),
        )
        self.rejected_figures = LightCounter(
            name="baobabwing_gateway_rejected_load_figures_total",
            meaning="Figures of reported loads that are no numbers or out of range.",
            label_names=("pool",),
        )
        self.blocked_paths = LightGauge(
            name="baobabwing_gateway_blocked_paths",
            meaning="Upstreams that this node reaches through other nodes only.",
        )
        self.tunnels = LightGauge(
            name="baobabwing_gateway_tunnels",
            meaning="Connections to upstreams that this node keeps for other nodes.",
        )
        self.work_bytes = LightGauge(
            name="baobabwing_gateway_work_bytes",
            meaning="Bytes of messages on places and limits sent to other nodes.",
        )
        self.loop_late = LightGauge(
            name="baobabwing_gateway_loop_late_seconds",
            meaning=(
                "Worst delay of the process's timers in the last one to two seconds."
            ),
        )
        self.home_answer = LightGauge(
            name="baobabwing_gateway_home_answer_seconds",
            meaning="Usual time to the answer of the slowest home that is asked.",
        )
        self.store_unavailable = LightGauge(
            name="baobabwing_gateway_store_away",
            meaning="1 while the store does not answer.",
        )
        self.store_era = LightGauge(
            name="baobabwing_gateway_store_era",
            meaning="Era of the list of upstreams; rises when an older copy is back.",
        )
        self.unreadable_rows = LightCounter(
            name="baobabwing_gateway_unreadable_rows_total",
            meaning="Versions of rows of the store that were left out as unreadable.",
            label_names=("table",),
        )
        self.held_bytes = LightLabelledGauge(
            name="baobabwing_gateway_held_bytes",
            meaning=(
                "Bytes that are kept for others, by cause: now, at most so far (peak), "
                "and the bound (max)."
            ),
            label_names=("cause", "kind"),
        )
        self.refused_bytes = LightCounter(
            name="baobabwing_gateway_refused_bytes_total",
            meaning="Times that there was no room for bytes of others, by cause.",
            label_names=("cause",),
        )
        self.rollouts = LightGauge(
            name="baobabwing_gateway_rollouts",
            meaning="Rollouts of versions without a verdict.",
        )
        self.quarantined = LightGauge(
            name="baobabwing_gateway_held_requests",
            meaning="Requests that are refused because upstreams ended under them.",
        )
        self.held_parts = LightGauge(
            name="baobabwing_gateway_held_parts",
            meaning="Parts of prompts that are refused as upstreams ended under them.",
        )
