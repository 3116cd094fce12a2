"""Dispatch of requests to upstreams: permits, sending, resuming of streams.

All retries happen here, and only while the request certainly has not run: see
:class:`baobabwing.requests.request.Request` for the rules.
"""

from __future__ import annotations

import hashlib
import select
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from baobabwing.entry.context import Catalogue, EntryContext
from baobabwing.entry.events import (
    STREAM_RESUME_FAILED,
    STREAM_RESUMED,
    UPSTREAM_REFUSED,
)
from baobabwing.entry.relay_report import RelayReport
from baobabwing.entry.upstream import (
    CallerGoneError,
    UpstreamAnswer,
    UpstreamBrokenError,
    UpstreamUnreachableError,
    cancel,
    open_exchange,
    resume,
)
from baobabwing.exceptions import (
    BaobabwingError,
    NotAdmittedError,
    PeerError,
    UpstreamError,
)
from baobabwing.homes.cells import CROWDED
from baobabwing.pools.partition import cell_names, preferred_cell
from baobabwing.reports.events import log
from baobabwing.requests.request import Placement, Request, StateError
from baobabwing.wire.messages import (
    PermitDecision,
    PermitDone,
    PermitRequest,
    PermitWithdraw,
)

__all__ = [
    "Dispatch",
    "Dispatcher",
    "RefusedError",
    "UpstreamCall",
    "attempt_id",
    "scoped_key",
]

FIRST_BYTE_TIMEOUT_S = 60.0
RESUME_BUDGET_S = 5.0
RESUME_PAUSES_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8)
MAX_DISPATCH_ATTEMPTS = 4
# A cell that refused a request is not tried again with it, so this many hops reach
# every cell of a pool with that many cells. With fewer hops, a request could be
# shed while a cell was still untried.
MAX_HANDOVERS = 32
RECENT_REFUSAL_S = 0.1
DEFAULT_RETRY_AFTER_S = 1.0
_NOT_FOUND = 404
# Long enough to distinguish the upstreams that one request can be sent to.
_UPSTREAM_DIGEST_BYTES = 6


class RefusedError(BaobabwingError):
    """A request was refused before any of it ran.

    :param code: error code for the caller.
    :param retry_after_s: time after which the caller may retry, in seconds.
    """

    def __init__(
        self, message: str, *, code: str, retry_after_s: float, step: str = "permit"
    ) -> None:
        super().__init__(message, step=step)
        self.code = code
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, kw_only=True)
class UpstreamCall:
    """The HTTP request for the upstream, and its scheduling parameters.

    :param target: path and query.
    :param prefix: chained digests of the prompt's blocks.
    :param weight: weight of the organisation within its tier.
    :param resumable: whether the upstream keeps the answer as a stream that can
        be resumed and cancelled.
    """

    method: str
    target: str
    body: bytes
    headers: Mapping[str, str]
    prefix: tuple[int, ...] = ()
    weight: float = 1.0
    resumable: bool = True


@dataclass(kw_only=True)
class Dispatch:
    """A request that was sent to an upstream, and its permit.

    :param answer: head of the answer; ``None`` if the connection broke after the
        request may have run, or if the answer has to be fetched again.
    :param dispatched_at: monotonic time just before sending.
    :param lost_at: when its stream was lost; ``None`` while it is not, or goes on.
    :param finished: whether the permit was released, or belongs to another
        dispatch.
    """

    placement: Placement
    answer: UpstreamAnswer | None
    dispatched_at: float
    lost_at: float | None = None
    finished: bool = field(default=False)
    resumable: bool = True


@dataclass(frozen=True, kw_only=True)
class _PlacementHistory:
    """Previous results of placing a request, sent along with its permit request.

    :param exclude: upstreams that refused the request.
    :param tried: cells that refused it for load.
    :param moves: number of cells that forwarded it to another cell.
    :param recent: number of tried cells that refused it within the last
        ``RECENT_REFUSAL_S`` seconds. Older refusals no longer describe the load,
        since the request was queued in the meantime.
    """

    exclude: tuple[str, ...]
    tried: tuple[str, ...]
    moves: int
    recent: int


class Dispatcher:
    """Obtains permits for requests and sends them to upstreams.

    :param context: components of the node that serve calls.
    """

    def __init__(self, *, context: EntryContext) -> None:
        self._context = context

    def dispatch(
        self, request: Request, call: UpstreamCall, caller: socket.socket
    ) -> Dispatch:
        """Wait for a permit and send the request, once.

        :param caller: socket of the caller, checked before the request is sent.
        :returns: the dispatch, with the head of the answer, or without one if
            the connection broke after the request may have run.
        :raises RefusedError: if the request did not and will not run.
        :raises StateError: if the request was given up before the dispatch.
        :raises CallerGoneError: if the caller disconnected before the dispatch.
        """
        refused_s = self._context.held_prompts.refused_s(call.prefix)
        if refused_s > 0:
            raise RefusedError(
                "engines have crashed under prompts that begin like this one",
                code="crashes_engines",
                retry_after_s=refused_s,
                step="dispatch",
            )
        exclude: list[str] = []
        facts = request.facts
        retries = self._context.retries
        retries.count_request(facts.pool, facts.organisation, time.monotonic())
        for _ in range(MAX_DISPATCH_ATTEMPTS):
            placement = self._obtain_placement(request, call, tuple(exclude))
            try:
                return self._send(request, call, placement, caller)
            except (UpstreamUnreachableError, NotAdmittedError) as exc:
                self._record_refusal(request, placement, exc)
                exclude.append(placement.upstream)
            if not retries.take_retry(facts.pool, facts.organisation, time.monotonic()):
                break
        raise RefusedError(
            "every upstream that was tried refused the request",
            code="upstreams_refuse",
            retry_after_s=DEFAULT_RETRY_AFTER_S,
            step="dispatch",
        )

    def resume_dispatch(
        self, dispatch: Dispatch, report: RelayReport, until: float
    ) -> UpstreamAnswer | None:
        """Resume the broken stream of a dispatch, and note whether it is lost."""
        dispatch.lost_at = time.monotonic()
        answer = self.resume(dispatch.placement, report, until)
        if answer is not None:
            dispatch.lost_at = None
        return answer

    def resume(
        self, placement: Placement, report: RelayReport, until: float
    ) -> UpstreamAnswer | None:
        """Resume a broken stream after the last event that was relayed.

        :param until: monotonic time at which to give up.
        :returns: the answer that continues the stream, or ``None`` if the engine
            no longer has the stream or cannot be reached.
        """
        for pause_s in RESUME_PAUSES_S:
            answer = self._resume_once(placement, report)
            if answer is not None:
                if answer.status == 200:
                    log(STREAM_RESUMED, peer=placement.address)
                    self._context.metrics.resumed.labels("resumed").inc()
                    return answer
                answer.discard()
                if answer.status == _NOT_FOUND:
                    break
            if time.monotonic() + pause_s > until:
                break
            time.sleep(pause_s)
        log(STREAM_RESUME_FAILED, peer=placement.address)
        self._context.metrics.resumed.labels("lost").inc()
        return None

    def cancel(self, placement: Placement) -> None:
        """Ask the upstream to cancel the request, ignoring failures."""
        try:
            cancel(placement.address, placement.attempt_id)
        except UpstreamError:
            # The engine is dead or unresponsive: either nothing is left to cancel,
            # or it ends the stream by itself. No caller waits for the result.
            return

    def finish(
        self,
        request: Request,
        dispatch: Dispatch,
        outcome: str,
        report: RelayReport | None = None,
    ) -> None:
        """Release the permit and report the upstream's timings to the home.

        :param outcome: outcome of the permit, as in :class:`PermitDone`.
        """
        if dispatch.finished:
            return
        dispatch.finished = True
        report = report or RelayReport()
        first_event_s = 0.0
        if report.first_event_at is not None:
            first_event_s = max(0.0, report.first_event_at - dispatch.dispatched_at)
        facts = request.facts
        self._context.permits.release(
            PermitDone(
                request_id=facts.request_id,
                cell=dispatch.placement.cell,
                upstream=dispatch.placement.upstream,
                outcome=outcome,
                first_token_ms=first_event_s * 1000,
                tokens=report.next_id,
                duration_ms=(time.monotonic() - dispatch.dispatched_at) * 1000,
                prompt_tokens=facts.prompt_tokens,
            )
        )

    def _obtain_placement(
        self, request: Request, call: UpstreamCall, exclude: tuple[str, ...]
    ) -> Placement:
        """Request a permit from cell after cell until one grants it.

        :param exclude: upstreams that refused the request.
        :raises RefusedError: if no cell grants a permit.
        """
        catalogue = self._context.require_catalogue()
        cell = self._first_cell(catalogue, request, call)
        tried: dict[str, float] = {}
        for moves in range(MAX_HANDOVERS):
            since = time.monotonic() - RECENT_REFUSAL_S
            history = _PlacementHistory(
                exclude=exclude,
                tried=tuple(tried),
                moves=moves,
                recent=sum(at >= since for at in tried.values()),
            )
            decision = self._request_permit(request, call, cell, history)
            if decision.granted:
                return self._to_placement(catalogue, request, cell, decision)
            if not decision.hand_to:
                break
            if decision.code != CROWDED:
                tried[cell] = time.monotonic()
            cell = decision.hand_to
        raise RefusedError(
            f"no permit: {decision.code}",
            code=decision.code,
            retry_after_s=decision.retry_after_ms / 1000 or DEFAULT_RETRY_AFTER_S,
        )

    def _request_permit(
        self,
        request: Request,
        call: UpstreamCall,
        cell: str,
        history: _PlacementHistory,
    ) -> PermitDecision:
        facts = request.facts
        budget_s = facts.deadline - time.monotonic()
        started_at = time.monotonic()
        message = PermitRequest(
            request_id=facts.request_id,
            cell=cell,
            organisation=facts.organisation,
            tier_rank=facts.tier_rank,
            budget_ms=max(1, int(budget_s * 1000)),
            prompt_tokens=facts.prompt_tokens,
            output_tokens=facts.output_tokens,
            prefix=call.prefix,
            key=scoped_key(facts.organisation, facts.key),
            exclude=history.exclude,
            weight=call.weight,
            tried=history.tried,
            moves=history.moves,
            recent=history.recent,
        )
        try:
            decision = self._context.permits.request_permit(
                message, still_wanted=lambda: request.outcome is None
            )
        except PeerError as exc:
            self._context.permits.withdraw(
                PermitWithdraw(request_id=facts.request_id, cell=cell)
            )
            raise RefusedError(
                "no home decided in time",
                code="no_decision",
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            ) from exc
        waited_s = time.monotonic() - started_at
        self._context.metrics.permit_wait.labels(facts.tier).observe(waited_s)
        return decision

    def _first_cell(
        self, catalogue: Catalogue, request: Request, call: UpstreamCall
    ) -> str:
        """Return the cell that the first prompt block, or else the id, hashes to."""
        pool_name = request.facts.pool
        pool = next(entry for entry in catalogue.cfg.pools if entry.name == pool_name)
        cells = cell_names(pool, catalogue.upstreams_of(pool_name))
        affinity = str(call.prefix[0]) if call.prefix else request.facts.request_id
        return preferred_cell(cells, affinity)

    def _to_placement(
        self,
        catalogue: Catalogue,
        request: Request,
        cell: str,
        decision: PermitDecision,
    ) -> Placement:
        upstream = catalogue.upstream(decision.upstream)
        if upstream is None:
            # The home has a newer configuration than this node, so the permit
            # cannot be used here yet.
            self._release_permit(request, cell, decision.upstream, "unused")
            raise RefusedError(
                "the upstream is not known here yet",
                code="unknown_upstream",
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        return Placement(
            upstream=upstream.name,
            address=upstream.address,
            attempt_id=attempt_id(request.facts.request_id, upstream.name),
            cell=cell,
        )

    def _send(
        self,
        request: Request,
        call: UpstreamCall,
        placement: Placement,
        caller: socket.socket,
    ) -> Dispatch:
        try:
            request.permit(placement)
        except StateError:
            self._release_permit(request, placement.cell, placement.upstream, "unused")
            raise
        if _has_disconnected(caller) and not request.facts.key:
            # Avoids wasted prefill, most of which comes from callers that gave up
            # while their request was queued. A caller with a key may come back for
            # the answer.
            self._release_permit(request, placement.cell, placement.upstream, "unused")
            raise CallerGoneError("the caller left", step="dispatch")
        if request.facts.key:
            self._context.permits.back_up_placement(
                placement.cell,
                scoped_key(request.facts.organisation, request.facts.key),
                placement.upstream,
                request.facts.request_id,
            )
        started_at = time.monotonic()
        try:
            answer = open_exchange(
                address=placement.address,
                method=call.method,
                target=call.target,
                headers=self._headers(request, call, placement),
                body=call.body,
                timeout_s=FIRST_BYTE_TIMEOUT_S,
                before_send=request.dispatch,
            )
        except StateError:
            self._release_permit(request, placement.cell, placement.upstream, "unused")
            raise
        except UpstreamBrokenError:
            answer = None
        return Dispatch(
            placement=placement,
            answer=answer,
            dispatched_at=started_at,
            resumable=call.resumable,
        )

    def _headers(
        self, request: Request, call: UpstreamCall, placement: Placement
    ) -> dict[str, str]:
        headers = dict(call.headers)
        headers["X-Request-Id"] = placement.attempt_id
        if request.facts.key:
            headers["Idempotency-Key"] = request.facts.key
        return headers

    def _record_refusal(
        self, request: Request, placement: Placement, exc: UpstreamError
    ) -> None:
        if isinstance(exc, NotAdmittedError):
            request.revert_dispatch()
        log(UPSTREAM_REFUSED, peer=placement.address, error=type(exc).__name__)
        self._release_permit(
            request, placement.cell, placement.upstream, "not_admitted"
        )

    def _release_permit(
        self, request: Request, cell: str, upstream: str, outcome: str
    ) -> None:
        self._context.permits.release(
            PermitDone(
                request_id=request.facts.request_id,
                cell=cell,
                upstream=upstream,
                outcome=outcome,
            )
        )

    def _resume_once(
        self, placement: Placement, report: RelayReport
    ) -> UpstreamAnswer | None:
        try:
            return resume(placement.address, placement.attempt_id, report.last_event_id)
        except UpstreamError:
            return None


def attempt_id(request_id: str, upstream: str) -> str:
    """Return the id of a request's attempt at an upstream.

    An upstream that refused a request is not tried again with it, so the pair of
    request and upstream is unique, and any node can compute the id from it to find
    the stream. Callers see the id; the digest hides the upstream's name, which is
    internal to the operator.
    """
    digest = hashlib.blake2b(upstream.encode(), digest_size=_UPSTREAM_DIGEST_BYTES)
    return f"{request_id}.{digest.hexdigest()}"


def scoped_key(organisation: str, key: str) -> str:
    """Return the key as stored by homes, scoped to its organisation.

    The scope keeps an organisation from fetching the answer of another. An empty
    key stays empty.
    """
    return f"{organisation}\0{key}" if key else ""


def _has_disconnected(caller: socket.socket) -> bool:
    """Whether the caller has closed its connection."""
    poll = select.poll()
    poll.register(caller, select.POLLRDHUP)
    closed_mask = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    return any(mask & closed_mask for _, mask in poll.poll(0))
