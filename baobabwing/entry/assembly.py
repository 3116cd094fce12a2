"""Assembly of a complete answer from the events of a stream.

A stream is requested from engines also for callers that want the answer in one
piece, since only streams can be resumed after a broken connection.
"""

from __future__ import annotations

import json
from typing import Any

from baobabwing.exceptions import UpstreamError

__all__ = ["assemble", "count_events"]

_EVENT_END = b"\n\n"
_DATA = b"data: "
_DONE = b"[DONE]"


def assemble(body: bytes, *, chat: bool, request_id: str) -> dict[str, Any]:
    """Return the completion that results from the chunks of a complete stream.

    :param body: the stream, from its first event to ``[DONE]``.
    :param chat: whether it is a chat completion, not a text completion.
    :raises UpstreamError: if the stream is incomplete or cannot be parsed.
    """
    objects = _read_objects(body)
    if not objects:
        raise UpstreamError("the stream holds no event", step="assemble")
    last = objects[-1]
    text = "".join(_text_of(chunk, chat) for chunk in objects)
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": last["choices"][0].get("finish_reason"),
    }
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "created": last.get("created", 0),
        "model": last.get("model", ""),
        "choices": [choice],
        "usage": last.get("usage", {}),
    }


def count_events(body: bytes) -> int:
    """Return the number of numbered events, which carry one token each."""
    return body.count(b"id: ", 0, 4) + body.count(b"\n\nid: ")


def _read_objects(body: bytes) -> list[dict[str, Any]]:
    objects = []
    done = False
    try:
        for event in body.split(_EVENT_END):
            _, separator, data = event.partition(_DATA)
            if data == _DONE:
                done = True
            elif separator:
                objects.append(json.loads(data))
    except ValueError as exc:
        raise UpstreamError("an event is not JSON", step="assemble") from exc
    if not done:
        raise UpstreamError("the stream does not end with [DONE]", step="assemble")
    return objects


def _text_of(chunk: dict[str, Any], chat: bool) -> str:
    try:
        choice = chunk["choices"][0]
        if chat:
            return choice["delta"].get("content") or ""
        return choice["text"] or ""
    except (KeyError, IndexError, TypeError) as exc:
        raise UpstreamError("an event has no text", step="assemble") from exc
