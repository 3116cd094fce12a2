"""Chat and text completions, compatible with OpenAI's public API."""

from __future__ import annotations

import json
import time
import uuid

from baobabwing.entry.admission import admitted_catalogue, require_chunks
from baobabwing.entry.assembly import assemble, count_events
from baobabwing.entry.bodies import read_body
from baobabwing.entry.calls import HttpCall, send_bytes, send_json
from baobabwing.entry.context import EntryContext
from baobabwing.entry.credentials import Caller
from baobabwing.entry.dispatch import Dispatch, UpstreamCall
from baobabwing.entry.key_routing import serve_owned
from baobabwing.entry.parsing import (
    Completion,
    parse_completion,
    parse_deadline,
    parse_key,
    parse_last_event,
)
from baobabwing.entry.relay import relay_events
from baobabwing.entry.relay_report import (
    RelayReport,
    StreamMalformedError,
    StreamTruncatedError,
)
from baobabwing.entry.routes import route
from baobabwing.entry.serving import (
    Delivery,
    Serving,
    answer_unknown,
    read_whole_stream,
)
from baobabwing.entry.streams import (
    STREAM_HEADERS,
    end_partial,
    finish_stream,
    start_stream,
)
from baobabwing.entry.upstream import UpstreamAnswer
from baobabwing.exceptions import RequestError, UpstreamError
from baobabwing.pools.prefix_digest import prompt_prefix
from baobabwing.requests.outcome import Outcome
from baobabwing.requests.request import Request, RequestFacts

__all__ = ["serve_chat", "serve_text"]

MIN_SERVER_ERROR_STATUS = 500


@route("/v1/chat/completions", "POST")
def serve_chat(context: EntryContext, call: HttpCall) -> None:
    """Serve a chat completion."""
    _serve(context, call, chat=True)


@route("/v1/completions", "POST")
def serve_text(context: EntryContext, call: HttpCall) -> None:
    """Serve a text completion."""
    _serve(context, call, chat=False)


def _serve(context: EntryContext, call: HttpCall, *, chat: bool) -> None:
    catalogue = admitted_catalogue(context, call)
    if catalogue is None:
        return
    caller = catalogue.credentials.identify(
        call.header("Authorization"), call.header("X-Tier")
    )
    limits = context.settings.limits
    completion = parse_completion(
        call.body(), chat=chat, max_output_tokens=limits.output_tokens
    )
    model = catalogue.resolve_model(caller.organisation.brand, completion.model)
    if completion.stream:
        # Checked before the dispatch: a check at the first event would come after
        # the engine had started on an answer that cannot be delivered.
        require_chunks(call.req)
    pool = catalogue.pool_of_model(model)
    request = Request(
        facts=_facts(call, caller, completion, pool.name, limits.request_ms)
    )
    first_event = parse_last_event(call.header("Last-Event-ID"))
    if first_event and not request.facts.key:
        raise RequestError(
            "a stream can only go on by the key of its request",
            status=400,
            code="key_missing",
            field="Idempotency-Key",
        )
    writer = _AnswerWriter(
        serving=Serving(context=context),
        call=call,
        completion=completion,
        chat=chat,
        first_event=first_event,
    )
    serve_owned(
        serving=writer.serving,
        call=call,
        request=request,
        upstream_call=_upstream_call(call, caller, completion, model),
        deliver=writer.deliver,
        fetch=writer.fetch,
        resuming=first_event > 0,
    )


def _facts(
    call: HttpCall, caller: Caller, completion: Completion, pool: str, max_ms: int
) -> RequestFacts:
    budget_s = parse_deadline(
        call.header("X-Deadline-Ms"),
        default_ms=caller.tier.deadline_ms,
        max_ms=max_ms,
    )
    return RequestFacts(
        request_id=f"req-{uuid.uuid4().hex}",
        key=parse_key(call.header("Idempotency-Key")),
        brand=caller.organisation.brand,
        organisation=caller.organisation.name,
        tier=caller.tier.name,
        tier_rank=caller.tier.rank,
        pool=pool,
        prompt_tokens=completion.prompt_tokens,
        output_tokens=completion.output_tokens,
        deadline=time.monotonic() + budget_s,
    )


def _upstream_call(
    call: HttpCall, caller: Caller, completion: Completion, model: str
) -> UpstreamCall:
    fields = dict(completion.fields, stream=True, model=model)
    return UpstreamCall(
        method="POST",
        target=call.path,
        body=json.dumps(fields, separators=(",", ":")).encode(),
        headers={"Content-Type": "application/json", "Accept": "text/event-stream"},
        prefix=prompt_prefix(completion.prompt),
        weight=caller.organisation.weight,
    )


class _AnswerWriter:
    """Delivers a completion to one caller, as a stream or in one piece.

    :param first_event: number of the first event that a resuming caller lacks.
    """

    def __init__(
        self,
        *,
        serving: Serving,
        call: HttpCall,
        completion: Completion,
        chat: bool,
        first_event: int,
    ) -> None:
        self.serving = serving
        self._call = call
        self._completion = completion
        self._chat = chat
        self._first_event = first_event
        self._head_sent = False

    def deliver(self, request: Request, dispatch: Dispatch) -> Delivery:
        """Deliver the answer of a request that was just dispatched."""
        answer = dispatch.answer
        if answer is not None and answer.status >= MIN_SERVER_ERROR_STATUS:
            # The engine may run the request nevertheless; its stream is then still
            # available and is fetched below.
            answer.discard()
            answer = None
        elif answer is not None and answer.status != 200:
            return self._deliver_refusal(dispatch, answer)
        if self._completion.stream:
            return self._deliver_stream(request, dispatch, answer, RelayReport())
        return self._deliver_whole(request, dispatch, answer)

    def fetch(self, request: Request, dispatch: Dispatch) -> Delivery:
        """Deliver the answer of a request that was dispatched earlier."""
        report = RelayReport(next_id=self._first_event)
        if not self._completion.stream:
            return self._deliver_whole(request, dispatch, None)
        return self._deliver_stream(request, dispatch, None, report)

    def _deliver_refusal(self, dispatch: Dispatch, answer: UpstreamAnswer) -> Delivery:
        """Forward an answer by which the upstream rejected the request."""
        body = read_body(answer=answer)
        send_bytes(
            self._call,
            answer.status,
            body,
            content_type=answer.headers.get("Content-Type", "application/json"),
            headers={"X-Request-Id": dispatch.placement.attempt_id},
        )
        return Delivery(outcome=Outcome.ANSWERED)

    def _deliver_whole(
        self, request: Request, dispatch: Dispatch, answer: UpstreamAnswer | None
    ) -> Delivery:
        attempt_id = dispatch.placement.attempt_id
        body = read_whole_stream(self.serving, dispatch, answer)
        if body is None:
            answer_unknown(self._call, request, "the answer was lost with its engine")
            return Delivery(outcome=Outcome.UNKNOWN)
        try:
            document = assemble(body, chat=self._chat, request_id=attempt_id)
        except UpstreamError:
            answer_unknown(self._call, request, "the upstream's answer is not readable")
            return Delivery(outcome=Outcome.UNKNOWN)
        send_json(self._call, document, headers={"X-Request-Id": attempt_id})
        return Delivery(
            outcome=Outcome.ANSWERED, report=RelayReport(next_id=count_events(body))
        )

    def _deliver_stream(
        self,
        request: Request,
        dispatch: Dispatch,
        answer: UpstreamAnswer | None,
        report: RelayReport,
    ) -> Delivery:
        while True:
            if answer is None:
                answer = self.serving.resume_after(dispatch, report)
            if answer is None:
                return self._end_lost_stream(request, report)
            try:
                report = relay_events(
                    answer=answer,
                    caller_socket=self._call.caller_socket,
                    expect_id=dispatch.placement.attempt_id,
                    resumed=report,
                    before_first=lambda: self._send_head(dispatch),
                )
            except StreamTruncatedError as exc:
                report, answer = exc.report, None
                continue
            except StreamMalformedError as exc:
                return self._end_lost_stream(request, exc.report)
            finish_stream(self._call.req)
            return Delivery(outcome=Outcome.ANSWERED, report=report)

    def _send_head(self, dispatch: Dispatch) -> None:
        if self._head_sent:
            return
        self._head_sent = True
        attempt_id = dispatch.placement.attempt_id.encode()
        start_stream(self._call.req, (*STREAM_HEADERS, (b"X-Request-Id", attempt_id)))

    def _end_lost_stream(self, request: Request, report: RelayReport) -> Delivery:
        """End a stream whose rest is lost, with an error for the caller."""
        if not self._head_sent:
            answer_unknown(self._call, request, "the answer was lost with its engine")
            return Delivery(outcome=Outcome.UNKNOWN, report=report)
        end_partial(self._call, request.facts.request_id)
        return Delivery(outcome=Outcome.PARTIAL, report=report)
