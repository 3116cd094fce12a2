"""Routing of a request to the owner of its idempotency key.

A request without a key, or with a key that this node owns, is served here. A
request whose key belongs to another live node is forwarded to that node. A request
whose owner has departed is never dispatched again: its answer is fetched from the
upstream that is recorded at the home of its cell, or else the caller gets the
outcome "unknown".
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from baobabwing.entry.calls import HttpCall, send_error
from baobabwing.entry.context import EntryContext
from baobabwing.entry.dispatch import Dispatch, UpstreamCall, attempt_id, scoped_key
from baobabwing.entry.forward import HOP_HEADER, forward
from baobabwing.entry.key_owners import ClaimUnavailableError, find_owner
from baobabwing.entry.serving import Deliver, Serving, answer_unknown
from baobabwing.exceptions import PeerError, RequestError
from baobabwing.fleet.host import Host
from baobabwing.pools.partition import cell_names
from baobabwing.requests.outcome import Outcome
from baobabwing.requests.request import Placement, Request, RequestState

__all__ = ["serve_owned"]

Fetch = Deliver
REUSE_RETRY_S = 1.0


@dataclass(frozen=True, kw_only=True)
class _KeyLookup:
    """Result of looking up a key at the homes of its pool.

    :param sure: whether a key without a placement was certainly not dispatched.
    """

    placement: Placement | None
    sure: bool


def serve_owned(
    *,
    serving: Serving,
    call: HttpCall,
    request: Request,
    upstream_call: UpstreamCall,
    deliver: Deliver,
    fetch: Fetch,
    resuming: bool = False,
) -> None:
    """Serve a request here, at its owner, or from the state its owner left behind.

    :param deliver: delivers the answer of a request that was just dispatched.
    :param fetch: delivers the answer of a request that was dispatched earlier.
    :param resuming: whether the caller has a part of the answer already. Such a
        request was dispatched earlier and is never dispatched again, whatever the
        state of this node.
    """
    with serving.context.open_calls.tracking(call.caller_socket):
        _serve(serving, call, request, upstream_call, deliver, fetch, resuming)


def _serve(
    serving: Serving,
    call: HttpCall,
    request: Request,
    upstream_call: UpstreamCall,
    deliver: Deliver,
    fetch: Fetch,
    resuming: bool,
) -> None:
    context = serving.context
    facts = request.facts
    try:
        owner = find_owner(context, facts.organisation, facts.key)
    except ClaimUnavailableError as exc:
        _serve_unclaimed(context, call, request, fetch, exc)
        return
    if owner.is_local:
        if owner.dispatchable and not resuming:
            earlier = context.registry.register(request, time.monotonic())
        else:
            earlier = context.registry.find(facts.organisation, facts.key)
        if earlier is not None:
            _fetch_earlier(call, earlier, fetch)
        elif owner.dispatchable and not resuming:
            serving.run(call, request, upstream_call, deliver)
        else:
            answer_unknown(call, request, "nothing is known of this key any more")
        return
    if owner.host is not None and _forward(context, call, owner.host):
        return
    _fetch_from_homes(context, call, request, fetch)


def _fetch_earlier(call: HttpCall, earlier: Request, fetch: Fetch) -> None:
    """Deliver the answer of the first attempt to a retry; it may still be running."""
    wait_s = max(0.0, earlier.facts.deadline - time.monotonic()) + REUSE_RETRY_S
    earlier.wait_settled(wait_s)
    placement = earlier.placement
    if earlier.outcome is Outcome.NOT_RUN or placement is None:
        _answer_not_run(call, earlier)
    elif earlier.state < RequestState.DISPATCHED:
        answer_unknown(call, earlier, "the request is still waiting")
    else:
        fetch(earlier, _earlier_dispatch(placement))


def _answer_not_run(call: HttpCall, earlier: Request) -> None:
    certain = earlier.outcome is Outcome.NOT_RUN
    send_error(
        call,
        RequestError("the first try was not run", status=503, code="first_not_run"),
        outcome=Outcome.NOT_RUN if certain else Outcome.UNKNOWN,
        request_id=earlier.facts.request_id,
        retry_after_s=REUSE_RETRY_S,
    )


def _forward(context: EntryContext, call: HttpCall, host: Host) -> bool:
    """Forward to the owner; return ``False`` if it did not answer.

    A call that was forwarded once is not forwarded again.
    """
    if call.header(HOP_HEADER):
        return False
    return forward(
        call,
        host,
        is_alive=lambda: context.view().is_current(host.name, host.incarnation),
    )


def _fetch_from_homes(
    context: EntryContext, call: HttpCall, request: Request, fetch: Fetch
) -> None:
    lookup = _query_homes(context, request)
    if lookup.placement is None:
        answer_unknown(call, request, "the host that had this request is gone")
        return
    fetch(request, _earlier_dispatch(lookup.placement))


def _serve_unclaimed(
    context: EntryContext,
    call: HttpCall,
    request: Request,
    fetch: Fetch,
    exc: ClaimUnavailableError,
) -> None:
    """Answer a request whose key has no known owner because the store is down.

    This attempt is not dispatched, but an earlier one at another host may have been
    before the store went down. "Not run" would then be false, and the caller would
    take it as the outcome of its request. The homes are queried to find out.
    """
    lookup = _query_homes(context, request)
    if lookup.placement is not None:
        fetch(request, _earlier_dispatch(lookup.placement))
    elif lookup.sure:
        raise exc
    else:
        answer_unknown(call, request, "an earlier try with this key may have run")


def _query_homes(context: EntryContext, request: Request) -> _KeyLookup:
    sure = True
    facts = request.facts
    catalogue = context.require_catalogue()
    pool = next(entry for entry in catalogue.cfg.pools if entry.name == facts.pool)
    key = scoped_key(facts.organisation, facts.key)
    for cell in cell_names(pool, catalogue.upstreams_of(pool.name)):
        try:
            answer = context.permits.find_placement(cell, key, pool.name)
        except PeerError:
            sure = False
            continue
        sure = sure and answer.sure
        upstream = catalogue.upstream(answer.upstream) if answer.known else None
        if upstream is not None:
            placement = Placement(
                upstream=upstream.name,
                address=upstream.address,
                attempt_id=attempt_id(answer.request_id, upstream.name),
                cell=cell,
            )
            return _KeyLookup(placement=placement, sure=True)
    return _KeyLookup(placement=None, sure=sure)


def _earlier_dispatch(placement: Placement) -> Dispatch:
    """Return an earlier dispatch; its permit is not released by this call."""
    return Dispatch(
        placement=placement,
        answer=None,
        dispatched_at=time.monotonic(),
        finished=True,
    )
