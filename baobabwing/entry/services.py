"""Calls of plain services, some of which are not idempotent."""

from __future__ import annotations

import time
import uuid

from baobabwing.entry.admission import admitted_catalogue
from baobabwing.entry.bodies import read_body
from baobabwing.entry.calls import HttpCall, send_bytes
from baobabwing.entry.context import EntryContext
from baobabwing.entry.dispatch import Dispatch, UpstreamCall
from baobabwing.entry.key_routing import serve_owned
from baobabwing.entry.parsing import parse_deadline, parse_key
from baobabwing.entry.routes import route
from baobabwing.entry.serving import (
    STORED_ANSWER_BYTES,
    Delivery,
    Serving,
    answer_unknown,
)
from baobabwing.exceptions import RequestError, UpstreamError
from baobabwing.requests.outcome import Outcome
from baobabwing.requests.request import (
    Request,
    RequestFacts,
    RequestState,
    StoredAnswer,
)

__all__ = ["serve_service"]

PREFIX = "/v1/services/"
_FORWARDED_HEADERS = ("Content-Type", "Accept")


@route(PREFIX + "*")
def serve_service(context: EntryContext, call: HttpCall) -> None:
    """Serve a call of a plain service."""
    catalogue = admitted_catalogue(context, call)
    if catalogue is None:
        return
    caller = catalogue.credentials.identify(
        call.header("Authorization"), call.header("X-Tier")
    )
    name, _, rest = call.path.removeprefix(PREFIX).partition("/")
    pool = catalogue.service_pool(name)
    key = parse_key(call.header("Idempotency-Key"))
    _require_key(call, key)
    budget_s = parse_deadline(
        call.header("X-Deadline-Ms"),
        default_ms=caller.tier.deadline_ms,
        max_ms=context.settings.limits.request_ms,
    )
    body = call.body()
    request = Request(
        facts=RequestFacts(
            request_id=f"req-{uuid.uuid4().hex}",
            key=key,
            brand=caller.organisation.brand,
            organisation=caller.organisation.name,
            tier=caller.tier.name,
            tier_rank=caller.tier.rank,
            pool=pool.name,
            prompt_tokens=0,
            output_tokens=0,
            deadline=time.monotonic() + budget_s,
        )
    )
    writer = _AnswerWriter(call=call)
    serve_owned(
        serving=Serving(context=context),
        call=call,
        request=request,
        upstream_call=UpstreamCall(
            method=call.method,
            target=f"/{rest}" + (f"?{call.query}" if call.query else ""),
            body=body,
            headers={
                field: call.header(field)
                for field in _FORWARDED_HEADERS
                if call.header(field)
            },
            weight=caller.organisation.weight,
            resumable=False,
        ),
        deliver=writer.deliver,
        fetch=writer.fetch,
    )


def _require_key(call: HttpCall, key: str) -> None:
    """Require an idempotency key for a call that is marked as not idempotent.

    :raises RequestError: 400 if the key is missing.
    """
    marked = call.header("X-Non-Idempotent") not in ("", "0")
    if marked and not key:
        raise RequestError(
            "a call that may not be repeated needs a key",
            status=400,
            code="key_missing",
            field="Idempotency-Key",
        )


class _AnswerWriter:
    """Delivers the answer of a service to one caller."""

    def __init__(self, *, call: HttpCall) -> None:
        self._call = call

    def deliver(self, request: Request, dispatch: Dispatch) -> Delivery:
        """Deliver the answer of a call that was just dispatched."""
        answer = dispatch.answer
        if answer is None:
            return self._answer_lost(request)
        try:
            body = read_body(answer=answer, expect_id=dispatch.placement.attempt_id)
        except UpstreamError:
            return self._answer_lost(request)
        whole = StoredAnswer(
            status=answer.status,
            content_type=answer.headers.get("Content-Type", "application/json"),
            body=body,
        )
        # The answer is stored also for a disconnected caller, which may retry with
        # its key.
        caller_gone = not self._send(whole, dispatch)
        stored = whole if len(body) <= STORED_ANSWER_BYTES else None
        return Delivery(outcome=Outcome.ANSWERED, stored=stored, cancelled=caller_gone)

    def fetch(self, request: Request, dispatch: Dispatch) -> Delivery:
        """Deliver the stored answer of a call that was dispatched earlier."""
        if request.state < RequestState.DISPATCHED:
            # Dispatched by a host that has departed; only that host had the answer.
            return self._answer_lost(request)
        request.wait_closed(max(0.0, request.facts.deadline - time.monotonic()))
        stored = request.stored_answer
        if stored is None:
            return self._answer_lost(request)
        self._send(stored, dispatch)
        return Delivery(outcome=Outcome.ANSWERED)

    def _answer_lost(self, request: Request) -> Delivery:
        answer_unknown(self._call, request, "the service may have run the call")
        return Delivery(outcome=Outcome.UNKNOWN)

    def _send(self, whole: StoredAnswer, dispatch: Dispatch) -> bool:
        """Send an answer; return ``False`` if the caller has disconnected."""
        try:
            send_bytes(
                self._call,
                whole.status,
                whole.body,
                content_type=whole.content_type,
                headers={"X-Request-Id": dispatch.placement.attempt_id},
            )
        except OSError:
            self._call.req.close_connection = True
            return False
        return True
