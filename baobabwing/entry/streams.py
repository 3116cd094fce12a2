"""Heads and ends of streams of server-sent events."""

from __future__ import annotations

import contextlib
import json

from baobabwing.entry.calls import HttpCall
from baobabwing.entry.chunks import LAST_CHUNK, encode_chunk

__all__ = ["STREAM_HEADERS", "end_partial"]

STREAM_HEADERS = (
    (b"Content-Type", b"text/event-stream"),
    (b"Cache-Control", b"no-cache"),
)


def end_partial(call: HttpCall, request_id: str) -> None:
    """End a stream whose rest is lost, without the event that marks a whole one.

    The caller gets an error event and never ``[DONE]``, so that a part of an
    answer can not be taken for the whole.
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
