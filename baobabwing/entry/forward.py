"""Forwarding of a call to the node that owns its idempotency key."""

from __future__ import annotations

from collections.abc import Callable

from baobabwing.entry.bodies import read_body
from baobabwing.entry.calls import HttpCall, send_bytes
from baobabwing.entry.parsing import parse_last_event
from baobabwing.entry.relay import relay_events
from baobabwing.entry.relay_report import RelayReport
from baobabwing.entry.streams import STREAM_HEADERS, finish_stream, start_stream
from baobabwing.entry.upstream import UpstreamAnswer, open_exchange
from baobabwing.exceptions import UpstreamError
from baobabwing.fleet.host import Host

__all__ = ["HOP_HEADER", "forward"]

HOP_HEADER = "X-Forwarded-By-Node"
FIRST_BYTE_TIMEOUT_S = 120.0
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_RETURNED_HEADERS = ("Retry-After", "Retry-After-Ms", "X-Request-Id")
_STREAM_TYPE = "text/event-stream"


def forward(
    call: HttpCall, owner: Host, *, is_alive: Callable[[], bool] = lambda: True
) -> bool:
    """Forward a call to the owning node and return its answer to the caller.

    The owner recognises the key, so a call may be forwarded again after a failed
    attempt without a second dispatch.

    :param is_alive: whether the membership lists the owner as alive. A frozen owner
        keeps its connections open and answers nothing; once it is declared dead,
        the answer is looked up elsewhere.
    :returns: ``False`` if the owner sent no answer, so that the answer can be looked
        up elsewhere.
    :raises UpstreamError: if the owner's answer failed after its head.
    """
    headers = {
        name: value
        for name, value in call.headers().items()
        if name.lower() not in _HOP_BY_HOP
    }
    headers[HOP_HEADER] = "1"
    try:
        answer = open_exchange(
            address=owner.http,
            method=call.method,
            target=call.path,
            headers=headers,
            body=call.body(),
            timeout_s=FIRST_BYTE_TIMEOUT_S,
            caller_socket=call.caller_socket,
            keep_waiting=is_alive,
        )
    except UpstreamError:
        return False
    if answer.headers.get("Content-Type", "").startswith(_STREAM_TYPE):
        _return_stream(call, answer)
    else:
        _return_whole(call, answer)
    return True


def _return_whole(call: HttpCall, answer: UpstreamAnswer) -> None:
    body = read_body(answer=answer)
    headers = {
        name: answer.headers[name]
        for name in _RETURNED_HEADERS
        if name in answer.headers
    }
    send_bytes(
        call,
        answer.status,
        body,
        content_type=answer.headers.get("Content-Type", "application/json"),
        headers=headers,
    )


def _return_stream(call: HttpCall, answer: UpstreamAnswer) -> None:
    attempt_id = answer.request_id
    head = (*STREAM_HEADERS, (b"X-Request-Id", attempt_id.encode()))
    relay_events(
        answer=answer,
        caller_socket=call.caller_socket,
        expect_id=attempt_id,
        resumed=RelayReport(next_id=parse_last_event(call.header("Last-Event-ID"))),
        before_first=lambda: start_stream(call.req, head),
    )
    finish_stream(call.req)
