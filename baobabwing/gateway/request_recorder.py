"""Log lines and metrics of requests and their attempts."""

from __future__ import annotations

import time

from baobabwing.exceptions import BaobabwingError
from baobabwing.gateway.answers import Refusal
from baobabwing.gateway.call import Attempt, AttemptResult, Call
from baobabwing.gateway.decisions.scheduling import Grant
from baobabwing.gateway.decisions.told_load import ToldLoad
from baobabwing.gateway.events import (
    CALLER_LEFT,
    REQUEST_ENDED,
    REQUEST_FAILED,
    REQUEST_REFUSED,
    REQUEST_REPEATED,
    REQUEST_SENT,
    REQUEST_STOPPED,
    STREAM_TAKEN_UP,
    UPSTREAM_FAILED,
)
from baobabwing.gateway.metrics import Crossing, GatewayMetrics, Outcome, Sends, Units
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.request_head import RequestHead
from baobabwing.gateway.state import GatewayState
from baobabwing.gateway.stream_origins import FoundOrigin
from baobabwing.reports.events import log

__all__ = ["RequestRecorder", "part_names"]

# Higher tiers are counted under this label, which bounds the number of label values.
_MAX_TIER_LABEL = 9
# Parts of a prompt that are logged, and characters of their names.
_LOGGED_PARTS = 8
_LOGGED_PART_CHARS = 32


class RequestRecorder:
    """Logs the decisions on requests and counts each request's outcome once.

    :param state: gives the configuration version, queues and retry budgets to log.
    :param metrics: the counters and histograms to update.
    """

    def __init__(self, *, state: GatewayState, metrics: GatewayMetrics) -> None:
        self._state = state
        self._metrics = metrics
        self._started_at = time.monotonic()

    def refused_at_admission(self, request_head: RequestHead, refusal: Refusal) -> None:
        """Record a request that was refused at admission."""
        self._metrics.requests.labels("", "", Outcome.REFUSED).inc()
        self._metrics.refusals.labels(refusal.code).inc()
        log(
            REQUEST_REFUSED,
            request=request_head.request_id,
            status=refusal.status,
            code=refusal.code,
            retry_after_s=refusal.retry_after_s,
            reason=refusal.reason,
            version=self._state.version,
        )

    def placed(self, call: Call, grant: Grant, pool: PoolRuntime) -> None:
        """Record the chosen upstream and the figures behind the choice."""
        track, request = grant.track, grant.request
        waited_s = grant.granted_at - call.arrived
        call.attempts.append(
            Attempt(
                upstream=track.entry.instance,
                software=track.entry.version,
                zone=track.entry.zone,
                waited_s=waited_s,
                predicted_s=grant.predicted_s,
            )
        )
        self._metrics.slot_wait.labels(call.pool, _tier(call)).observe(waited_s)
        log(
            REQUEST_SENT,
            request=call.request_head.request_id,
            route=call.route.name,
            upstream=track.entry.instance,
            software=track.entry.version,
            last_event=call.last_event,
            resumes=call.request_head.resumes,
            waited_ms=_ms(waited_s),
            predicted_ms=_ms(grant.predicted_s),
            prompt_tokens=request.prompt_tokens,
            expected_out=request.expected_output_tokens,
            pace_ms=_ms(track.event_interval_s or 0.0),
            own=len(track.own),
            failed_share=round(track.failure_rate, 2),
            version=self._state.version,
            **self._other_zone(track.entry.zone),
            **pool.describe(grant),
            **_describe_reports(grant, pool),
        )

    def taken_up(self, call: Call, found: FoundOrigin | None) -> None:
        """Record how it is known where a stream began that its caller takes up."""
        known_by = found.known_by.value if found is not None else "unknown"
        self._metrics.taken_up.labels(call.pool, known_by).inc()
        log(
            STREAM_TAKEN_UP,
            request=call.request_head.request_id,
            resumes=call.request_head.resumes,
            last_event=call.request_head.last_event,
            known_by=known_by,
            waited_ms=_ms(time.monotonic() - call.arrived),
        )

    def load_reported(self, pool: PoolRuntime, load: ToldLoad | None) -> None:
        """Count the figures of a reported load that were rejected."""
        if load is not None and load.rejected:
            self._metrics.rejected_figures.labels(pool.cells.name).inc(load.rejected)

    def passed_on(self, call: Call) -> None:
        """Count a send over an open connection, about to be made."""
        kind = Sends.RETRY if call.passed_on else Sends.FIRST
        self._metrics.sends.labels(call.pool, kind).inc()
        crossing = self._crossing(call)
        self._metrics.zone_sends.labels(call.pool, crossing).inc()
        self._metrics.zone_bytes.labels(call.pool, crossing).inc(len(call.body))

    def received(self, call: Call) -> None:
        """Count the bytes that an attempt has brought, also if it failed."""
        if call.answer_bytes:
            self._metrics.zone_bytes.labels(call.pool, self._crossing(call)).inc(
                call.answer_bytes
            )

    def _crossing(self, call: Call) -> Crossing:
        zone, own = call.attempts[-1].zone, self._state.settings.zone
        if not zone or not own:
            return Crossing.UNKNOWN
        return Crossing.WITHIN if zone == own else Crossing.ACROSS

    def _other_zone(self, zone: str) -> dict[str, str]:
        """Return the zone of an upstream for the log, if it is not this node's."""
        own = self._state.settings.zone
        return {"zone": zone} if zone and own and zone != own else {}

    def sent(self, call: Call) -> None:
        """Count the units of an organisation's limit that a send used."""
        kind = Units.FIRST if call.runs == 1 else Units.AGAIN
        self._metrics.limit_units.labels(kind).inc(call.charges[0].units)

    def not_run(self, call: Call) -> None:
        """Count the units of a send that its upstream refused without running it."""
        self._metrics.limit_units.labels(Units.NOT_RUN).inc(call.charges[0].units)

    def connected(self, call: Call, seconds: float) -> None:
        """Record the time that a new connection to an upstream took."""
        self._metrics.connect.labels(call.pool).observe(seconds)

    def attempt_ended(self, call: Call, result: AttemptResult) -> None:
        """Record how an attempt ended."""
        call.attempts[-1].ended = call.attempts[-1].ended or result.value
        self._metrics.attempts.labels(call.pool, result.value).inc()

    def attempt_failed(self, call: Call, grant: Grant, exc: BaobabwingError) -> None:
        """Record why an attempt failed and how far it had run.

        The digest identifies one request that fails at several upstreams, whichever
        nodes it was sent to.
        """
        call.attempts[-1].ended = f"{exc.step}: {exc.message}"
        if call.framing is not None:
            self._metrics.truncated_answers.labels(call.pool, call.framing).inc()
        self._log_upstream_failed(
            call,
            grant,
            exc,
            began_at=call.output_began_at,
            events=call.splitter.events - call.prior_events,
            framing=call.framing,
            incomplete_bytes=call.splitter.incomplete_bytes,
        )

    def unreachable(self, call: Call, grant: Grant, exc: BaobabwingError) -> None:
        """Record that no connection to the upstream of a replacement was possible."""
        self._log_upstream_failed(call, grant, exc, began_at=None, events=0)

    def retried(self, call: Call, result: AttemptResult, pool: PoolRuntime) -> None:
        """Record that a request is sent to another upstream."""
        now = time.monotonic()
        log(
            REQUEST_REPEATED,
            request=call.request_head.request_id,
            after=result.value,
            sends=call.sends,
            runs=call.runs,
            budget_left=round(pool.budget.remaining(now), 1),
            nodes=self._state.nodes,
            up_s=round(now - self._started_at, 1),
            last_event=call.last_event,
        )

    def refused(self, call: Call, refusal: Refusal) -> None:
        """Record a refusal of a request that was admitted.

        A refusal without ``Retry-After`` means that the request may have run.
        """
        may_have_run = refusal.retry_after_s is None
        outcome = Outcome.FAILED if may_have_run else Outcome.REFUSED
        self._metrics.refusals.labels(refusal.code).inc()
        self._count(call, outcome)
        self._log_failure(
            call,
            outcome,
            status=refusal.status,
            code=refusal.code,
            retry_after_s=refusal.retry_after_s,
        )

    def answered(self, call: Call, outcome: Outcome | None = None) -> None:
        """Record an upstream's answer that the caller received in whole or in part.

        :param outcome: ``None`` for a complete answer, in time or late.
        """
        now = time.monotonic()
        first_s = (call.first_event_at or now) - call.arrived
        if outcome is None:
            outcome = self._classify(call, first_s)
        self._metrics.first_event.labels(call.pool, _tier(call)).observe(first_s)
        self._metrics.whole_answer.labels(call.pool, _tier(call)).observe(
            now - call.arrived
        )
        self._count(call, outcome)
        if outcome is not Outcome.IN_TIME or len(call.attempts) > 1:
            self._log_failure(call, outcome, status=call.answer.status)
            return
        log(
            REQUEST_ENDED,
            request=call.request_head.request_id,
            route=call.route.name,
            status=call.answer.status,
            first_ms=_ms(first_s),
            whole_ms=_ms(now - call.arrived),
            events=call.splitter.events,
            longest_pause_ms=_ms(call.max_gap_s),
            framing=call.framing,
            incomplete_bytes=call.splitter.incomplete_bytes,
        )

    def caller_left(self, call: Call) -> None:
        """Record that the caller disconnected before its answer was complete."""
        if call.counted:
            return
        self._count(call, Outcome.CALLER_LEFT)
        log(
            CALLER_LEFT,
            request=call.request_head.request_id,
            route=call.route.name,
            after_ms=_ms(time.monotonic() - call.arrived),
            events=call.splitter.events,
            tries=[attempt.summary() for attempt in call.attempts],
        )

    def cut_by_stop(self, call: Call) -> None:
        """Record that this node stopped before the answer was complete."""
        if call.counted:
            return
        self._count(call, Outcome.STOPPED)
        now = time.monotonic()
        head = call.request_head
        last_at = call.last_event_at or call.sent_at
        log(
            REQUEST_STOPPED,
            request=head.request_id,
            route=call.route.name,
            age_ms=_ms(now - call.arrived),
            stopping_ms=_ms(now - (self._state.shutdown.began_at or now)),
            expected_ms=None if call.expected_s is None else _ms(call.expected_s),
            left_ms=_ms(call.ends_at - now),
            events=call.splitter.events,
            silent_ms=None if last_at is None else _ms(now - last_at),
            longest_pause_ms=_ms(call.max_gap_s),
            expected_out=head.expected_out,
            max_out=head.tokens_out,
            tries=[attempt.summary() for attempt in call.attempts],
        )

    def _log_upstream_failed(
        self,
        call: Call,
        grant: Grant,
        exc: BaobabwingError,
        *,
        began_at: float | None,
        events: int,
        **fields: object,
    ) -> None:
        now = time.monotonic()
        log(
            UPSTREAM_FAILED,
            request=call.request_head.request_id,
            upstream=grant.track.entry.instance,
            step=exc.step,
            peer=exc.peer,
            reason=exc.message,
            digest=f"{call.digest:016x}",
            parts=part_names(call.request_head),
            age_ms=_ms(now - grant.granted_at),
            begun_ms=None if began_at is None else _ms(now - began_at),
            events=events,
            failed_share=round(grant.track.failure_rate, 2),
            **fields,
        )

    def _classify(self, call: Call, first_s: float) -> Outcome:
        route = call.route
        gap_exceeded = call.max_gap_s > route.gap_objective_s
        late = first_s > route.objective_s or (route.streams and gap_exceeded)
        return Outcome.LATE if late else Outcome.IN_TIME

    def _count(self, call: Call, outcome: Outcome) -> None:
        call.counted = True
        self._metrics.requests.labels(call.pool, _tier(call), outcome).inc()

    def _log_failure(self, call: Call, outcome: Outcome, **fields: object) -> None:
        now = time.monotonic()
        log(
            REQUEST_FAILED,
            request=call.request_head.request_id,
            route=call.route.name,
            organisation=call.organisation.name if call.organisation else "",
            outcome=outcome.value,
            first_ms=_ms((call.first_event_at or now) - call.arrived),
            whole_ms=_ms(now - call.arrived),
            left_ms=_ms(call.ends_at - now),
            events=call.splitter.events,
            longest_pause_ms=_ms(call.max_gap_s),
            framing=call.framing,
            incomplete_bytes=call.splitter.incomplete_bytes,
            tries=[attempt.summary() for attempt in call.attempts],
            reason=call.end_reason,
            queued=self._state.pool(call.pool).queued,
            version=self._state.version,
            **fields,
        )


def _tier(call: Call) -> str:
    return str(min(call.rank, _MAX_TIER_LABEL))


def _describe_reports(grant: Grant, pool: PoolRuntime) -> dict[str, object]:
    """Return what the upstream's reports say, if its pool shares its machines."""
    track = grant.track
    if not pool.scheduler.shares_machines or track.told is None:
        return {}
    told = track.told
    percent = track.usual_work.percent
    return {
        "told": [told.running, told.waiting, told.slots, told.work_percent],
        "told_age_ms": _ms(grant.granted_at - told.at),
        "usual_work": None if percent is None else round(percent),
        "told_slowness": round(track.told_slowness, 2),
        "told_others": round(track.told_others, 1),
    }


def part_names(request_head: RequestHead) -> list[str]:
    """Return the names of the first shared parts of a prompt, for the log."""
    parts = request_head.shared_parts[:_LOGGED_PARTS]
    return [part.name[:_LOGGED_PART_CHARS] for part in parts]


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
