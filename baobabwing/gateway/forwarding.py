"""Handle one request: admission, a slot, attempts at upstreams, the answer."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Set as AbstractSet
from functools import partial
from http import HTTPStatus

from baobabwing.exceptions import (
    ConnectionLostError,
    DescriptorShortageError,
    EndlessAnswerError,
    MalformedError,
    NoRoomError,
    NoSlotError,
    PeerClosedError,
)
from baobabwing.gateway.admission import Admission
from baobabwing.gateway.answer_bodies import AnswerBody, keep
from baobabwing.gateway.answers import CallerAnswer, Refusal
from baobabwing.gateway.call import AttemptResult, Call
from baobabwing.gateway.charging import Charging
from baobabwing.gateway.crash_checks import CrashChecks
from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.decisions.prompt_parts import MIN_SURVIVAL_S
from baobabwing.gateway.decisions.scheduling import Grant, PlacementRequest
from baobabwing.gateway.decisions.stopping import (
    expected_answer_s,
    longest_answer_s,
    shortest_answer_s,
)
from baobabwing.gateway.decisions.zone_choice import zone_crc
from baobabwing.gateway.events import RATE_LIMIT_INVALID, UPSTREAM_CLOSED
from baobabwing.gateway.metrics import Outcome
from baobabwing.gateway.part_reports import PartReportExchange
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.replacements import Replacements
from baobabwing.gateway.request_head import Headers, RequestHead, upstream_headers
from baobabwing.gateway.request_recorder import RequestRecorder
from baobabwing.gateway.retries import RETURN_TRIP_S, Retries
from baobabwing.gateway.state import GatewayState
from baobabwing.gateway.stream_moves import StreamMoves
from baobabwing.gateway.stream_origins import StreamOrigins
from baobabwing.gateway.upstream_connections import (
    AnswerHead,
    ConnectionPool,
    Framing,
    UpstreamConnection,
)
from baobabwing.gateway.upstream_timeouts import read_while_responsive
from baobabwing.reports.events import log

__all__ = ["Forwarder", "objective_at"]

# Share of the route's longest wait for the first event that a stream may wait for its
# slot; the rest is left for the upstream to produce that event.
_SLOT_WAIT_SHARE = 0.75
_MIN_RETRY_AFTER_S = 0.05
# Shortest delay after which a stream may be taken up again of which no node knows where
# it began.
_UNKNOWN_RETRY_AFTER_S = 0.5
# Delay after which callers that a stopping node refuses come back to another one.
_STOPPING_RETRY_AFTER_S = 0.02
# Time from the end of a stopping node until it serves again.
_RESTART_S = 1.0
# Time after which a full upstream may have room again, for each send of the request.
_FULL_PAUSE_S = 0.05
# Shortest delay of a retry after upstreams have refused a request for load, as a share
# of the time that its caller has left, and the bound of that.
_FULL_RETRY_SHARE = 0.2
_MAX_FULL_RETRY_S = 1.0
# A request whose deadline is this much shorter than that of others on its route is a
# retry by the caller; clock differences and rounding stay below it.
_CALLER_RETRY_THRESHOLD_S = 0.05
# Bytes that a stream may have without an event, and share of the time that is left when
# the head of a plain answer comes in which a body without a length has to end.
_MAX_EVENT_BYTES = 256 * 1024
_MAX_BODY_TIME_SHARE = 0.4
# Events that a stream may have for each output token that was asked for, and beside
# these: some have no token, such as the last one.
_MAX_EVENTS_PER_TOKEN = 2
_MAX_OTHER_EVENTS = 16
# Bytes of an invalid header that are logged.
_LOGGED_BYTES = 32


class Forwarder:
    """Forwards requests from callers to upstreams and relays the answers.

    :param state: configuration, upstreams and limits as known to this node.
    :param connections: pool of persistent connections to upstreams.
    :param recorder: logs and counts the outcomes of requests and attempts.
    :param origins: where streams began, here and at other nodes.
    :param parts: what is known of the parts of prompts, here and at other nodes.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        connections: ConnectionPool,
        recorder: RequestRecorder,
        origins: StreamOrigins,
        parts: PartReportExchange,
    ) -> None:
        self._state = state
        self._origins = origins
        self._parts = parts
        self._connections = connections
        self._recorder = recorder
        self._admission = Admission(state=state, may_try=parts.may_try)
        self._charging = Charging(state=state, recorder=recorder)
        self._retries = Retries(state=state)
        self._replacements = Replacements(
            state=state,
            connections=connections,
            recorder=recorder,
            retries=self._retries,
            placement_request=self._placement_request,
        )
        self._crash_checks = CrashChecks(
            quarantine=state.quarantine, parts=parts, connections=connections
        )
        self._moves = StreamMoves(
            retries=self._retries, replacements=self._replacements
        )
        self._names = state.settings.names

    async def handle(
        self,
        request_head: RequestHead,
        body: bytes,
        arrived: float,
        answer: CallerAnswer,
    ) -> None:
        """Answer one request.

        :param arrived: monotonic time at which its head was complete.
        """
        call = await self._admit(request_head, body, arrived, answer)
        if isinstance(call, Refusal):
            self._recorder.refused_at_admission(request_head, call)
            await answer.refuse(call)
            return
        try:
            await self._answer(call)
        except (asyncio.CancelledError, ConnectionLostError):
            if self._state.leaving and not call.answer.conn.gone:
                self._recorder.cut_by_stop(call)
            else:
                self._recorder.caller_left(call)
            raise
        finally:
            pool = self._state.pool(call.pool)
            self._origins.ended(call)
            self._charging.over(call)
            self._retries.over(call, pool)
            if call.replacement is not None:
                self._replacements.give_back(pool, call.replacement)
            for holding in call.holdings:
                holding.release()
            await self._replacements.stop(call, pool)

    async def _admit(
        self,
        request_head: RequestHead,
        body: bytes,
        arrived: float,
        answer: CallerAnswer,
    ) -> Call | Refusal:
        """Admit a request; refuse it if this node ends before that is decided."""
        try:
            async with self._state.shutdown.limit_answer() as limit:
                return await self._admission.admit(request_head, body, arrived, answer)
        except TimeoutError:
            if not limit.expired():
                raise
            retry_after_s = self._retry_after_stop_s()
            return Refusal(status=503, code="stopping", retry_after_s=retry_after_s)

    async def _answer(self, call: Call) -> None:
        """Answer a call, with a failure if this node ends before an answer begins.

        An upstream may still run it, and its caller waits longer than this node lives.
        """
        shutdown = self._state.shutdown
        try:
            async with shutdown.limit_answer() as limit:
                call.answer.on_start = partial(shutdown.lift, limit)
                if await self._find_origin(call):
                    pool = self._state.pool(call.pool)
                    pool.budget.count_request(time.monotonic())
                    if not await self._refused_by_stop(call, pool):
                        await self._serve(call, pool)
        except TimeoutError:
            if not limit.expired():
                raise
            await self._refuse_stopping(call)

    async def _find_origin(self, call: Call) -> bool:
        """Bind a stream that its caller takes up to the version that began it.

        :returns: whether it may be served; if not, it got its final answer.
        """
        head = call.request_head
        if not (call.route.resumable and head.last_event):
            return True
        found = await self._origins.find(call)
        self._recorder.taken_up(call, found)
        if found is None:
            # Records may still be on their way from nodes that were cut off.
            retry_after_s = _UNKNOWN_RETRY_AFTER_S * self._state.rng.uniform(1.0, 1.5)
            call.end_reason = "unknown where the stream began"
            await self._give_up(call, retry_after_s, code="stream_unknown")
            return False
        pool = self._state.pool_by_crc(found.origin.pool)
        if pool is not None and call.route.uses(pool.cells.name):
            call.pool, call.software = pool.cells.name, found.origin.software
        return True

    async def _serve(self, call: Call, pool: PoolRuntime) -> None:
        while True:
            replacement, call.replacement = call.replacement, None
            if replacement is not None:
                grant, connection = replacement.grant, replacement.connection
                call.has_retry = True
            else:
                grant, connection = await self._reserve_slot(call, pool), None
            if grant is None:
                return
            call.release_kind, call.event_interval_s = UpdateKind.RELEASED, None
            call.output_began_at, call.prior_events = None, call.splitter.events
            call.unresponsive, call.sent_at, call.framing = False, None, None
            call.answer_bytes = 0
            self._recorder.placed(call, grant, pool)
            try:
                result = await self._attempt(call, pool, grant, connection)
            finally:
                self._recorder.received(call)
                pool.free(grant, call.release_kind, call.event_interval_s)
            self._recorder.attempt_ended(call, result)
            if result is AttemptResult.DONE:
                if not call.prior_events:
                    tokens = grant.request.expected_output_tokens
                    pool.answer_size.record(call.answer_bytes, tokens)
                self._recorder.answered(call)
                return
            failed = result is AttemptResult.FAILED and not call.passed_through
            if call.replacement is None and failed:
                await self._crash_checks.settle(
                    call, until=call.ends_at - RETURN_TRIP_S
                )
            if call.replacement is None and not self._replacements.take_found(call):
                await self._replacements.stop(call, pool)
                call.end_reason = self._retries.take(call, pool, result)
            if call.end_reason:
                await self._fail(call, pool)
                return
            self._recorder.retried(call, result, pool)
            await self._exclude(call, pool, grant)

    async def _exclude(self, call: Call, pool: PoolRuntime, grant: Grant) -> None:
        """Exclude an upstream after a failed attempt.

        If all are excluded, this waits until those that were full may have room again.
        A stream may go on where it broke off if its version runs nowhere else.
        """
        instance = grant.track.entry.instance
        call.excluded.add(instance)
        if call.release_kind is UpdateKind.FULL:
            call.full.add(instance)
        if pool.any_open(call.excluded, call.software):
            return
        if not call.full:
            if call.software:
                call.excluded.clear()
            return
        pause_s = call.sends * _FULL_PAUSE_S * self._state.rng.uniform(0.5, 1.5)
        left_s = call.ends_at - RETURN_TRIP_S - time.monotonic()
        await asyncio.sleep(min(pause_s, max(left_s, 0.0)))
        call.excluded -= call.full
        call.full.clear()

    async def _reserve_slot(self, call: Call, pool: PoolRuntime) -> Grant | None:
        """Reserve a slot, or give the call its final answer and return ``None``."""
        request = self._placement_request(call)
        try:
            grant = await self._place(call, pool, request)
        except TimeoutError:
            call.end_reason = "no slot in time"
            await self._give_up(call, self._retry_after_s(call, pool))
            return None
        except NoSlotError as exc:
            call.end_reason = f"{exc.message} ({exc.peer})"
            gone = not pool.scheduler.has_software(call.software)
            code = "version_gone" if call.software and gone else "no_place"
            await self._give_up(call, exc.retry_after_s, code=code)
            return None
        if grant is None or not self._fits_before_stop(call, pool, grant):
            if grant is not None:
                pool.free(grant, UpdateKind.RELEASED)
            await self._refuse_stopping(call)
            return None
        quarantined_s = self._retries.quarantined_s(call)
        if quarantined_s > 0:
            pool.free(grant, UpdateKind.RELEASED)
            call.end_reason = "quarantined"
            await self._give_up(call, quarantined_s, code="crashes_upstreams")
            return None
        return grant

    async def _place(
        self, call: Call, pool: PoolRuntime, request: PlacementRequest
    ) -> Grant | None:
        """Reserve a slot; a queued request leaves once this node can't take it.

        :returns: the slot; ``None`` if it has left.
        :raises TimeoutError: if no slot became free in time.
        :raises NoSlotError: if none can become free in time.
        """
        grant = await self._place_canary(call, pool, request)
        if grant is not None:
            return grant
        if _is_committed(call):
            return await pool.place(request, self._state.nodes)
        longest = partial(self._longest_answer_s, call, pool, request)
        try:
            async with self._state.shutdown.limit_wait(
                longest, ends_at=call.ends_at
            ) as wait:
                return await pool.place(request, self._state.nodes)
        except TimeoutError:
            if wait.expired():
                return None
            raise

    def _longest_answer_s(
        self, call: Call, pool: PoolRuntime, request: PlacementRequest
    ) -> float:
        now = time.monotonic()
        return longest_answer_s(
            pool.scheduler,
            request,
            (one for one in pool.scheduler.tracks.values() if one.is_usable(now)),
            now,
            streams=call.route.streams,
            max_output_tokens=call.request_head.tokens_out,
        )

    def _fits_before_stop(self, call: Call, pool: PoolRuntime, grant: Grant) -> bool:
        """Whether a call can be whole before this node stops, if it does."""
        now = time.monotonic()
        if _is_committed(call) or not self._state.leaving:
            return True
        request, track = grant.request, grant.track
        most = call.request_head.tokens_out
        call.expected_s = expected_answer_s(
            pool.scheduler, request, track, now, max_output_tokens=most
        )
        longest_s = longest_answer_s(
            pool.scheduler,
            request,
            [track],
            now,
            streams=call.route.streams,
            max_output_tokens=most,
        )
        return self._state.shutdown.fits(
            call.expected_s, longest_s, now=now, ends_at=call.ends_at
        )

    async def _refused_by_stop(self, call: Call, pool: PoolRuntime) -> bool:
        """Refuse a call at once that can't be whole before this node stops."""
        if not self._state.leaving:
            return False
        now = time.monotonic()
        request = self._placement_request(call)
        wait_s = pool.queued * pool.turnover_s
        answer_s = shortest_answer_s(pool.scheduler, request, wait_s, now)
        longest_s = wait_s + self._longest_answer_s(call, pool, request)
        if self._state.shutdown.fits(
            answer_s, longest_s, now=now, ends_at=call.ends_at
        ):
            return False
        call.expected_s = answer_s
        await self._refuse_stopping(call)
        return True

    async def _refuse_stopping(self, call: Call) -> None:
        """Refuse a call that this node, which stops, can't take."""
        call.end_reason = "the node stops before"
        await self._give_up(call, self._retry_after_stop_s(), code="stopping")

    def _retry_after_stop_s(self) -> float:
        """Return when callers that this node refuses as it stops may come back.

        If no other node serves, that is once this one has started again.
        """
        if self._state.other_serves():
            return _STOPPING_RETRY_AFTER_S
        left_s = self._state.shutdown.stops_at - time.monotonic()
        spread_s = self._state.rng.uniform(1.0, 2.0) * _RESTART_S
        return max(left_s, 0.0) + spread_s

    async def _place_canary(
        self, call: Call, pool: PoolRuntime, request: PlacementRequest
    ) -> Grant | None:
        """Place a request at a version that is rolled out, if it is drawn for that.

        One that failed there goes to the other upstreams.
        """
        if call.sends or call.software or not self._state.rollouts:
            return None
        grant = self._state.rollouts.place_canary(
            call.pool, call.route, request, time.monotonic(), nodes=self._state.nodes
        )
        return grant if grant is not None and await pool.permit(grant) else None

    def _placement_request(
        self,
        call: Call,
        *,
        excluded: AbstractSet[str] = frozenset(),
        generated_tokens: int = 0,
    ) -> PlacementRequest:
        """Return the placement request of a call.

        :param excluded: instances of upstreams that are of no use to this request, in
            addition to those of the call.
        :param generated_tokens: tokens already generated by earlier attempts, which
            the next upstream has to read as part of the prompt.
        """
        tokens = call.request_head.expected_out or call.request_head.tokens_out
        answer_bytes = self._state.pool(call.pool).answer_size.expected(tokens)
        return PlacementRequest(
            rank=call.rank,
            route_rank=call.route.rank,
            arrived_at=call.arrived,
            objective_at=objective_at(call),
            deadline_at=self._slot_deadline(call),
            ends_at=call.ends_at,
            prioritized=call.runs > 0
            or call.asked_before_s > _CALLER_RETRY_THRESHOLD_S,
            has_run=call.runs > 0,
            software=call.software,
            prompt_tokens=(call.request_head.tokens_in or 0) + generated_tokens,
            expected_output_tokens=tokens,
            excluded=call.excluded | excluded,
            zone=zone_crc(self._state.settings.zone),
            expected_bytes=len(call.body) + answer_bytes,
        )

    def _slot_deadline(self, call: Call) -> float:
        """Return the time until which a slot is still useful to the caller."""
        until = call.ends_at - RETURN_TRIP_S
        if call.route.streams and call.first_event_at is None:
            # A caller that has received no event leaves; a slot granted just before
            # that would be wasted, and so would the wait for it.
            max_wait_s = _SLOT_WAIT_SHARE * call.route.patience_s
            until = min(until, call.arrived + max_wait_s)
        return until

    async def _attempt(
        self,
        call: Call,
        pool: PoolRuntime,
        grant: Grant,
        connection: UpstreamConnection | None,
    ) -> AttemptResult:
        """Send a request to the upstream of a slot and relay the answer.

        :param connection: open connection to the upstream; ``None``: one from the pool.
        """
        entry = grant.track.entry
        call.sends += 1
        try:
            if connection is None:
                connection = await self._connections.acquire(
                    entry.address,
                    entry.instance,
                    request_id=call.request_head.request_id,
                )
        except DescriptorShortageError as exc:
            # It may be tried again in a moment, as one that was full.
            call.full.add(entry.instance)
            self._recorder.attempt_failed(call, grant, exc)
            return AttemptResult.UNSENT
        except ConnectionLostError as exc:
            grant.track.record_failure(time.monotonic(), hard=True)
            call.release_kind = UpdateKind.LOST
            self._recorder.attempt_failed(call, grant, exc)
            return AttemptResult.UNSENT
        call.attempts[-1].relay = connection.relay
        call.holdings.append(self._state.held_answers.holding(entry.instance))
        if not connection.used:
            self._recorder.connected(call, connection.opened_in_s)
        self._state.rollouts.sent(call.pool, call.route, entry)
        # Unless the answer was read to its end, the connection is closed: the upstream
        # stops its work, and no late bytes can reach another caller.
        complete = False
        try:
            async with asyncio.timeout_at(call.ends_at - RETURN_TRIP_S):
                result = await self._exchange(call, pool, grant, connection)
            complete = result not in (AttemptResult.FAILED, AttemptResult.MOVED)
        except TimeoutError:
            self._record_evidence(call, grant)
            result = AttemptResult.FAILED
        except (ConnectionLostError, MalformedError, NoRoomError) as exc:
            if call.answer.conn.gone:
                raise
            self._record_lost_answer(call, grant, connection, exc)
            result = AttemptResult.FAILED
        finally:
            if call.failure is None:
                call.holdings[-1].release()
            if complete:
                self._connections.release(entry.address, entry.instance, connection)
            else:
                self._connections.discard(entry.address, entry.instance, connection)
        return result

    async def _exchange(
        self,
        call: Call,
        pool: PoolRuntime,
        grant: Grant,
        connection: UpstreamConnection,
    ) -> AttemptResult:
        headers = upstream_headers(
            call.request_head,
            self._names,
            left_s=call.ends_at - time.monotonic() - RETURN_TRIP_S,
            instance=grant.track.entry.name,
            organisation=call.organisation.name if call.organisation else "",
            body_bytes=len(call.body),
            last_event=call.last_event,
        )
        self._charging.sending(call)
        self._recorder.passed_on(call)
        self._retries.sending(call, pool)
        sent_at = call.sent_at = time.monotonic()
        request_head = call.request_head
        await connection.send(
            request_head.method,
            request_head.target,
            headers,
            call.body,
            request_id=request_head.request_id,
        )
        head = await read_while_responsive(
            call, pool, grant, connection.read_head, replacements=self._replacements
        )
        call.framing = head.framing
        if not connection.is_answer(head):
            raise MalformedError(
                f"answer to another request: {head.request_id or 'no id'}",
                step="head",
                peer=connection.conn.peer,
            )
        self._apply_upstream_notices(pool, grant, head, sent_at)
        if head.not_executed or head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return await self._handle_not_run(call, pool, grant, connection, head)
        if call.route.streams and head.status == HTTPStatus.OK and head.event_stream:
            return await self._relay_stream(call, pool, grant, connection, head)
        return await self._relay_complete(call, grant, connection, head, sent_at)

    def _apply_upstream_notices(
        self, pool: PoolRuntime, grant: Grant, head: AnswerHead, sent_at: float
    ) -> None:
        """Handle what the head states about the upstream.

        It may leave, be closed or fragile, limit what it takes, or report its load.
        """
        entry = grant.track.entry
        if head.signed or head.not_executed:
            pool.note_refusal_limit(head.refusal_limit)
            self._apply_rate_limit(pool, grant, head, sent_at)
            if head.status != HTTPStatus.MISDIRECTED_REQUEST:
                pool.note_load(grant.track, head.load, time.monotonic())
                self._recorder.load_reported(pool, head.load)
        if head.leaving and self._state.note_leaving(entry, source="answer"):
            pool.report_leaving(grant)
        if head.status == HTTPStatus.SERVICE_UNAVAILABLE and head.retry_after_s:
            log(UPSTREAM_CLOSED, upstream=entry.instance, seconds=head.retry_after_s)
            pool.pause_upstream(grant, head.retry_after_s)

    def _apply_rate_limit(
        self, pool: PoolRuntime, grant: Grant, head: AnswerHead, sent_at: float
    ) -> None:
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another incarnation answers.
            return
        if head.invalid_rate_limit is not None:
            log(
                RATE_LIMIT_INVALID,
                upstream=grant.track.entry.instance,
                value=head.invalid_rate_limit[:_LOGGED_BYTES].decode("latin-1"),
            )
            return
        pool.note_rate_limit(grant.track, head.rate_limit, sent_at=sent_at)

    async def _handle_not_run(
        self,
        call: Call,
        pool: PoolRuntime,
        grant: Grant,
        connection: UpstreamConnection,
        head: AnswerHead,
    ) -> AttemptResult:
        self._charging.not_run(call)
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another incarnation has the address; the listed one is dead.
            grant.track.record_failure(time.monotonic(), hard=True)
            call.release_kind = UpdateKind.LOST
        else:
            pool.record_refusal(grant)
            call.release_kind = UpdateKind.FULL
        body = self._answer_body(call, connection, head)
        try:
            await body.skip()
        except EndlessAnswerError as exc:
            # What its head says holds all the same.
            grant.track.record_failure(time.monotonic(), hard=True)
            call.release_kind = UpdateKind.LOST
            self._recorder.attempt_failed(call, grant, exc)
        finally:
            call.answer_bytes += body.received
        return AttemptResult.NOT_RUN

    async def _relay_complete(
        self,
        call: Call,
        grant: Grant,
        connection: UpstreamConnection,
        head: AnswerHead,
        sent_at: float,
    ) -> AttemptResult:
        failed = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        body = self._answer_body(call, connection, head)
        try:
            whole = await body.read_whole()
        except NoRoomError:
            if failed or head.framing is not Framing.LENGTH:
                raise
            await self._pass_through(call, head, body)
            whole = None
        finally:
            call.answer_bytes += body.received
        now = time.monotonic()
        if failed:
            self._record_answered_failure(call, grant, now)
            self._record_evidence(call, grant, failed=True)
            call.failure = (head, whole)
            return AttemptResult.ANSWERED_FAILURE
        self._record_success(call, grant)
        if head.status == HTTPStatus.OK:
            self._note_survival(call, now)
        if not call.route.streams:
            grant.track.record_interval(now - sent_at)
            if grant.track.engine is None:
                call.event_interval_s = now - sent_at
        if whole is not None:
            await self._send_complete(call, head, whole)
        return AttemptResult.DONE

    def _answer_body(
        self, call: Call, connection: UpstreamConnection, head: AnswerHead
    ) -> AnswerBody:
        """Return the body of an answer, to be read."""
        left_s = call.ends_at - RETURN_TRIP_S - time.monotonic()
        return AnswerBody(
            connection=connection,
            head=head,
            holding=call.holdings[-1],
            max_bytes=self._state.settings.max_answer_bytes,
            max_stated_bytes=self._state.settings.max_stated_bytes,
            timeout_s=max(_MAX_BODY_TIME_SHARE * left_s, 0.0),
        )

    async def _pass_through(
        self, call: Call, head: AnswerHead, body: AnswerBody
    ) -> None:
        """Pass an answer of a stated length on as it comes."""
        headers = [*_without_length(head), (b"Content-Length", b"%d" % head.length)]
        call.passed_through = True
        await call.answer.start(head.status, head.reason, headers)
        async with contextlib.aclosing(body.pass_on()) as pieces:
            async for piece in pieces:
                await call.answer.data(piece)
        await call.answer.end()

    def _record_success(self, call: Call, grant: Grant) -> None:
        grant.track.record_success()
        call.release_kind = UpdateKind.DONE
        self._state.quarantine.served(call.digest)
        self._record_evidence(call, grant)

    def _note_survival(self, call: Call, began_at: float) -> None:
        """Note that an upstream lived on after it began to answer a call."""
        if call.parts and not call.survived:
            call.survived = True
            self._parts.survived(call.parts, began_at)

    def _record_evidence(
        self, call: Call, grant: Grant, *, failed: bool = False
    ) -> None:
        """Record an answer for a rollout's verdict, also one that did not come in time.

        Lost connections are left out: they tell of the host more than of the version.
        """
        if call.sent_at is None or not self._state.rollouts:
            return
        began_at = call.output_began_at or time.monotonic()
        self._state.rollouts.answered(
            call.pool,
            call.route,
            grant,
            answer_s=None if failed else began_at - call.sent_at,
            interval_s=call.event_interval_s,
        )

    def _record_lost_answer(
        self,
        call: Call,
        grant: Grant,
        connection: UpstreamConnection,
        exc: ConnectionLostError | MalformedError | NoRoomError,
    ) -> None:
        """Record a lost answer as a failure of the upstream and of the request.

        The cause of a crash is unknown: it may be this request, which would crash every
        upstream that starts to run it, or any other one that ran there. Tunnels end
        with their relay, which shows nothing of either, and neither does a lack of room
        at this node.
        """
        lost = isinstance(exc, ConnectionLostError)
        withdrawn = self._connections.is_withdrawn(connection)
        by_node = isinstance(exc, NoRoomError) or (lost and withdrawn)
        if by_node and not call.unresponsive:
            self._recorder.attempt_failed(call, grant, exc)
            return
        endless = isinstance(exc, EndlessAnswerError)
        if not call.unresponsive:
            grant.track.record_failure(time.monotonic(), hard=endless)
            call.release_kind = UpdateKind.LOST if endless else UpdateKind.FAILED
        else:
            self._record_evidence(call, grant)
        self._recorder.attempt_failed(call, grant, exc)
        if lost:
            entry = grant.track.entry
            self._connections.suspect_path(entry.address, connection)
            self._crash_checks.lost(call, grant, connection, exc)

    def _record_answered_failure(self, call: Call, grant: Grant, now: float) -> None:
        """Count a 5xx answer against the upstream, unless a second one fails too.

        Some requests fail wherever they run; if each failure counted, a few of them
        would eject every upstream, although all serve other requests well. So when a
        second one fails, the failure of the first is withdrawn. The home of a cell of
        plain services is not told: it would eject them for all nodes.
        """
        if call.failed_track is None:
            call.failed_track = grant.track
            if grant.track.engine is not None:
                call.release_kind = UpdateKind.FAILED
            grant.track.record_failure(now)
        else:
            call.failed_track.undo_failure()

    async def _send_complete(
        self, call: Call, head: AnswerHead, body: bytes | bytearray
    ) -> None:
        headers = [*_without_length(head), (b"Content-Length", b"%d" % len(body))]
        await call.answer.start(head.status, head.reason, headers)
        await call.answer.data(body)
        await call.answer.end()

    async def _relay_stream(
        self,
        call: Call,
        pool: PoolRuntime,
        grant: Grant,
        connection: UpstreamConnection,
        head: AnswerHead,
    ) -> AttemptResult:
        """Forward whole events to the caller as they arrive."""
        last_at = None
        call.splitter.drop_incomplete()
        prior_events = call.prior_events
        while True:
            piece = await read_while_responsive(
                call, pool, grant, connection.read_body, replacements=self._replacements
            )
            now = time.monotonic()
            grant.track.received_at = now
            if piece is None:
                break
            call.answer_bytes += len(piece)
            complete = call.splitter.feed(piece)
            _check_stream_size(call, connection)
            keep(
                call.holdings[-1], call.splitter.incomplete_bytes, connection.conn.peer
            )
            if not complete:
                continue
            if last_at is None:
                pool.first_event(grant)
                call.first_event_at = call.first_event_at or now
                self._origins.began(call, grant.track.entry)
                call.output_began_at = now
            else:
                grant.track.record_interval(now - last_at)
                call.max_gap_s = max(call.max_gap_s, now - last_at)
                gaps = call.splitter.events - prior_events - 1
                call.event_interval_s = (now - call.output_began_at) / max(gaps, 1)
            if now - call.output_began_at >= MIN_SURVIVAL_S:
                self._note_survival(call, call.output_began_at)
            last_at = call.last_event_at = now
            if not call.answer.started:
                await self._start_stream(call, head)
            await call.answer.data(complete)
            if self._moves.should_move(call, pool, grant, now):
                return AttemptResult.MOVED
        _check_stream_end(call, connection, head)
        if not call.answer.started:
            await self._start_stream(call, head)
        await call.answer.data(call.splitter.remainder())
        if call.splitter.events > prior_events:
            self._record_success(call, grant)
            self._note_survival(call, call.output_began_at)
        await call.answer.end()
        return AttemptResult.DONE

    async def _start_stream(self, call: Call, head: AnswerHead) -> None:
        """Send the head of a stream, without the length that its upstream states.

        The stream may go on at another upstream, whose events have other lengths.
        """
        await call.answer.start(head.status, head.reason, _without_length(head))

    async def _fail(self, call: Call, pool: PoolRuntime) -> None:
        """Send the final answer to a request that no upstream answered with success."""
        if call.answer.started:
            # A truncated answer must not look complete to the caller.
            call.answer.conn.abort()
            self._recorder.answered(call, Outcome.BROKEN)
            return
        if call.failure is not None:
            head, body = call.failure
            await self._send_complete(call, head, body)
            self._recorder.answered(call, Outcome.UPSTREAM_FAILURE)
            return
        if call.runs == 0:
            refusal = Refusal(
                status=503,
                code="not_run",
                retry_after_s=self._retry_after_s(call, pool),
            )
        elif time.monotonic() >= call.ends_at - RETURN_TRIP_S:
            refusal = Refusal(status=504, code="timeout")
        else:
            refusal = Refusal(status=502, code="upstream_failed")
        self._recorder.refused(call, refusal)
        await call.answer.refuse(refusal)

    async def _give_up(
        self,
        call: Call,
        retry_after_s: float,
        code: str = "no_place",
    ) -> None:
        """Refuse a request that gets no slot, or may not be sent."""
        if call.runs or call.answer.started:
            await self._fail(call, self._state.pool(call.pool))
            return
        refusal = Refusal(status=503, code=code, retry_after_s=retry_after_s)
        self._recorder.refused(call, refusal)
        await call.answer.refuse(refusal)

    def _retry_after_s(self, call: Call, pool: PoolRuntime) -> float:
        wait_s = max(pool.queued * pool.turnover_s, pool.opens_in_s())
        if call.sends and not call.runs:
            # The upstreams are full; a caller that returns at once is refused again.
            left_s = call.ends_at - time.monotonic()
            wait_s = max(wait_s, min(_FULL_RETRY_SHARE * left_s, _MAX_FULL_RETRY_S))
        return max(wait_s, _MIN_RETRY_AFTER_S) * self._state.rng.uniform(1.0, 1.5)


def _is_committed(call: Call) -> bool:
    """Whether a call can't be refused as not run any more."""
    return call.runs > 0 or call.answer.started


def _without_length(head: AnswerHead) -> Headers:
    return [item for item in head.headers if item[0].lower() != b"content-length"]


def _check_stream_size(call: Call, connection: UpstreamConnection) -> None:
    """Check that a stream has no more than its upstream was asked for.

    :raises EndlessAnswerError: if it has too many bytes without an event, or more
        events than its tokens need.
    """
    splitter, tokens = call.splitter, call.request_head.tokens_out
    too_long = splitter.bytes_without_event > _MAX_EVENT_BYTES
    max_events = _MAX_EVENTS_PER_TOKEN * tokens + _MAX_OTHER_EVENTS
    if too_long or (tokens and splitter.events > max_events):
        reason = "more events than tokens"
        if too_long:
            reason = "too many bytes without an event"
        raise EndlessAnswerError(reason, step="body", peer=connection.conn.peer)


def _check_stream_end(
    call: Call, connection: UpstreamConnection, head: AnswerHead
) -> None:
    """Check that a stream which has ended was not broken off.

    Without a length and chunks, a crash ends the body like its regular end does; what
    was left inside an event, or no event at all, shows the difference.

    :raises PeerClosedError: if it was broken off.
    """
    no_event = call.splitter.events == call.prior_events
    if call.splitter.inside_event:
        reason = "stream ended inside an event"
    elif head.framing is Framing.CLOSE and no_event:
        reason = "connection closed before the first event"
    else:
        return
    raise PeerClosedError(reason, step="body", peer=connection.conn.peer)


def objective_at(call: Call) -> float:
    """Return when the next event, or the answer, starts to count as late.

    A stream that its caller takes up has had its first event; when the last one came is
    not known here.
    """
    if call.last_event_at is not None:
        return call.last_event_at + call.route.gap_objective_s
    if call.route.resumable and call.request_head.last_event:
        return call.arrived + call.route.gap_objective_s
    return call.arrived - call.asked_before_s + call.route.objective_s
