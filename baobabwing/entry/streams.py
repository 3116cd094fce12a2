"""Start and end of streams of server-sent events."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterable
from http import HTTPStatus

from cheroot.server import HTTPRequest

from baobabwing.entry.calls import HttpCall
from baobabwing.entry.chunks import LAST_CHUNK, encode_chunk
from baobabwing.exceptions import RequestError

__all__ = ["STREAM_HEADERS", "end_partial", "finish_stream", "start_stream"]

STREAM_HEADERS = (
    (b"Content-Type", b"text/event-stream"),
    (b"Cache-Control", b"no-cache"),
)


def end_partial(call: HttpCall, request_id: str) -> None:
    """End a stream whose rest is lost, with an error event.

    The caller never gets ``[DONE]``, so that a partial answer cannot be mistaken
    for a complete one.
    """
    error = {
        "message": "the rest of the answer was lost with its engine",
        "type": "baobabwing_error",
        "code": "answer_partial",
        "outcome": "partial",
        "request_id": request_id,
    }
    event = f"event: error\ndata: {json.dumps({'error': error})}\n\n".encode()
    with contextlib.suppress(OSError):
        call.caller_socket.sendall(encode_chunk(event) + LAST_CHUNK)
    call.req.close_connection = True


def start_stream(req: HTTPRequest, headers: Iterable[tuple[bytes, bytes]]) -> None:
    """Send the head of a stream and leave the body to :func:`relay_events`.

    cheroot would terminate a chunked body by itself, even a truncated one, and
    would then accept the next request on the connection. Both are disabled here, so
    that after any failure the caller sees an unterminated body and a closed
    connection; :func:`finish_stream` enables keep-alive again.

    :raises RequestError: if the caller does not speak HTTP/1.1, which has chunks.
    """
    if req.response_protocol != "HTTP/1.1":
        raise RequestError(
            "streams need HTTP/1.1",
            status=HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
            code="http_version",
        )
    req.status = b"200 OK"
    req.outheaders.extend(headers)
    req.sent_headers = True
    req.send_headers()
    req.chunked_write = False
    req.close_connection = True


def finish_stream(req: HTTPRequest) -> None:
    """Keep the connection open after a complete stream, unless the head forbids it."""
    req.close_connection = (b"Connection", b"close") in req.outheaders
