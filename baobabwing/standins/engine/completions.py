"""Requests and answers of the stand-in engine in the format of OpenAI's API."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from baobabwing.exceptions import RequestError
from baobabwing.standins.blocks import prefix_blocks
from baobabwing.standins.engine.parameters import EngineParameters
from baobabwing.standins.engine.sequence import Sequence
from baobabwing.standins.output import prompt_seed, seeded_token
from baobabwing.standins.record import Execution

__all__ = ["CompletionRequest", "EventWriter", "completion_document", "new_sequence"]

DEFAULT_MAX_TOKENS = 16
LAST_EVENT = b"data: [DONE]\n\n"


@dataclass(frozen=True, kw_only=True)
class CompletionRequest:
    """A validated completion or chat completion request.

    :param prompt_text: the prompt, or a chat's contents joined by newlines.
    :param chat: whether this is a chat completion.
    :param stream: whether to stream the answer.
    :param max_tokens: number of tokens to produce.
    """

    model: str
    prompt_text: str
    chat: bool
    stream: bool
    max_tokens: int

    @classmethod
    def parse(cls, document: Mapping[str, Any], *, chat: bool) -> CompletionRequest:
        """Parse the body of a request.

        :raises RequestError: if a field is missing or of another type.
        """
        model = document.get("model", "")
        if not isinstance(model, str):
            raise _bad_field("model")
        stream = document.get("stream", False)
        if not isinstance(stream, bool):
            raise _bad_field("stream")
        return cls(
            model=model,
            prompt_text=_chat_text(document) if chat else _prompt_text(document),
            chat=chat,
            stream=stream,
            max_tokens=_max_tokens(document),
        )


def new_sequence(
    req: CompletionRequest, *, attempt: str, key: str, limits: EngineParameters
) -> Sequence:
    """Return a new sequence for a request.

    :raises RequestError: if the prompt is empty or a size exceeds the engine's limits.
    """
    prompt_tokens = len(req.prompt_text.split())
    if not 0 < prompt_tokens <= limits.max_prompt_tokens:
        raise _bad_field("prompt")
    if req.max_tokens > limits.max_output_tokens:
        raise _bad_field("max_tokens")
    execution = Execution(attempt=attempt, key=key, prompt_tokens=prompt_tokens)
    return Sequence(
        execution=execution,
        model=req.model,
        chat=req.chat,
        seed=prompt_seed(req.prompt_text),
        blocks=prefix_blocks(req.prompt_text),
        limit=req.max_tokens,
        created=int(time.time()),
    )


def completion_document(seq: Sequence) -> dict[str, Any]:
    """Return the body of an answer that is not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if seq.execution.state == "cancelled":
        choice["finish_reason"] = "cancelled"
    if seq.chat:
        choice["message"] = {"role": "assistant", "content": seq.text()}
    else:
        choice["text"] = seq.text()
    return {
        "id": seq.attempt,
        "object": "chat.completion" if seq.chat else "text_completion",
        "created": seq.created,
        "model": seq.model,
        "choices": [choice],
        "usage": _usage(seq),
    }


class EventWriter:
    """Encoder of a sequence's tokens as server-sent events in HTTP chunks.

    The parts common to all events are encoded once, as an engine sends thousands of
    events per second.
    """

    def __init__(self, *, seq: Sequence) -> None:
        self._seq = seq
        head, tail = _event_affixes(seq)
        self._head = head
        self._tail = tail

    def chunk(self, first: int, end: int) -> bytes:
        """Return one HTTP chunk with the events of tokens ``first`` to ``end - 1``."""
        body = "".join([self._event(index) for index in range(first, end)]).encode()
        return b"%x\r\n%b\r\n" % (len(body), body)

    def final_chunk(self) -> bytes:
        """Return the HTTP chunk with the event that ends the stream."""
        return b"%x\r\n%b\r\n" % (len(LAST_EVENT), LAST_EVENT)

    def _event(self, index: int) -> str:
        seq = self._seq
        separator = " " if index else ""
        token = seeded_token(seq.seed, index)
        tail = self._tail if index + 1 < seq.limit else _final_tail(seq)
        return f"id: {index}\ndata: {self._head}{separator}{token}{tail}\n\n"


def _event_affixes(seq: Sequence) -> tuple[str, str]:
    object_type = "chat.completion.chunk" if seq.chat else "text_completion"
    opening = '"delta":{"content":"' if seq.chat else '"text":"'
    closing = '"}' if seq.chat else '"'
    head = (
        f'{{"id":{json.dumps(seq.attempt)},"object":"{object_type}",'
        f'"created":{seq.created},"model":{json.dumps(seq.model)},'
        f'"choices":[{{"index":0,{opening}'
    )
    return head, f'{closing},"finish_reason":null}}]}}'


def _final_tail(seq: Sequence) -> str:
    closing = '"}' if seq.chat else '"'
    usage = json.dumps(_usage(seq), separators=(",", ":"))
    return f'{closing},"finish_reason":"length"}}],"usage":{usage}}}'


def _usage(seq: Sequence) -> dict[str, Any]:
    execution = seq.execution
    return {
        "prompt_tokens": execution.prompt_tokens,
        "completion_tokens": execution.output_tokens,
        "total_tokens": execution.prompt_tokens + execution.output_tokens,
        "prompt_tokens_details": {"cached_tokens": execution.cached_tokens},
    }


def _prompt_text(document: Mapping[str, Any]) -> str:
    prompt = document.get("prompt")
    if not isinstance(prompt, str):
        raise _bad_field("prompt")
    return prompt


def _chat_text(document: Mapping[str, Any]) -> str:
    messages = document.get("messages")
    if not isinstance(messages, list):
        raise _bad_field("messages")
    contents = []
    for message in messages:
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str):
            raise _bad_field("messages")
        contents.append(content)
    return "\n".join(contents)


def _max_tokens(document: Mapping[str, Any]) -> int:
    value = document.get("max_completion_tokens", document.get("max_tokens"))
    if value is None:
        return DEFAULT_MAX_TOKENS
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise _bad_field("max_tokens")
    return value


def _bad_field(name: str) -> RequestError:
    return RequestError(
        f"{name} is missing or out of range",
        status=HTTPStatus.BAD_REQUEST,
        code="bad_field",
        field=name,
    )
