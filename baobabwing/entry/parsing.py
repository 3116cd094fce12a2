"""Parsing and validation of callers' bodies, deadlines and idempotency keys."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from baobabwing.exceptions import RequestError
from baobabwing.requests.keys import MAX_KEY_LENGTH

__all__ = [
    "Completion",
    "parse_completion",
    "parse_deadline",
    "parse_key",
    "parse_last_event",
]

DEFAULT_OUTPUT_TOKENS = 16
# Enough for any number of milliseconds or events. The interpreter refuses to parse
# thousands of digits, with an error that would be reported as an internal one.
MAX_DIGITS = 18
_STEP = "parse"


@dataclass(frozen=True, kw_only=True)
class Completion:
    """A chat or text completion, validated as far as scheduling needs it.

    :param prompt: text of the prompt; contents of messages joined by newlines.
    :param prompt_tokens: estimate, as the number of words.
    :param output_tokens: maximum number of tokens of the answer.
    :param fields: the complete body, for the upstream.
    """

    model: str
    prompt: str
    prompt_tokens: int
    output_tokens: int
    stream: bool
    include_usage: bool
    fields: dict[str, Any]


def parse_completion(body: bytes, *, chat: bool, max_output_tokens: int) -> Completion:
    """Parse the body of a completion request.

    :param chat: whether it holds messages instead of a prompt.
    :param max_output_tokens: largest number of output tokens that is accepted.
    :raises RequestError: 400 that names the invalid field.
    """
    fields = _parse_object(body)
    prompt = _read_messages(fields) if chat else _read_prompt(fields)
    if _typed(fields, "n", int, 1) != 1:
        raise _bad("only one choice can be asked for", "n")
    options = _typed(fields, "stream_options", dict, {})
    return Completion(
        model=_required(fields, "model", str),
        prompt=prompt,
        prompt_tokens=len(prompt.split()),
        output_tokens=_read_output_tokens(fields, max_output_tokens),
        stream=_typed(fields, "stream", bool, False),
        include_usage=bool(options.get("include_usage")),
        fields=fields,
    )


def parse_deadline(text: str, *, default_ms: int, max_ms: int) -> float:
    """Return the time until a request's deadline, in seconds.

    :param text: value of the header ``X-Deadline-Ms``, or an empty string.
    :param default_ms: used if the header is missing.
    :param max_ms: upper bound for the value of the header.
    :raises RequestError: 400 if it is not a whole number above zero.
    """
    if not text:
        return default_ms / 1000
    if not _is_number(text) or int(text) == 0:
        raise _bad("a whole number of milliseconds above 0 is wanted", "X-Deadline-Ms")
    return min(int(text), max_ms) / 1000


def parse_last_event(text: str) -> int:
    """Return the number of the first event that a caller does not have yet.

    :param text: value of the header ``Last-Event-ID``, or an empty string.
    :raises RequestError: 400 if it is not an event number; a stream from the start
        would repeat events that the caller has.
    """
    if not text:
        return 0
    if not _is_number(text):
        raise _bad("the number of an event is wanted", "Last-Event-ID")
    return int(text) + 1


def parse_key(text: str) -> str:
    """Return the idempotency key, or an empty string for none.

    :raises RequestError: 400 if it is too long or not printable ASCII.
    """
    if len(text) > MAX_KEY_LENGTH or not (text.isascii() and text.isprintable()):
        raise _bad(
            f"at most {MAX_KEY_LENGTH} printable ASCII characters are allowed",
            "Idempotency-Key",
        )
    return text


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _bad("the body is not JSON", "body") from exc
    if not isinstance(fields, dict):
        raise _bad("the body is not a JSON object", "body")
    return fields


def _read_prompt(fields: dict[str, Any]) -> str:
    return _required(fields, "prompt", str)


def _read_messages(fields: dict[str, Any]) -> str:
    messages = _required(fields, "messages", list)
    if not messages:
        raise _bad("at least one message is wanted", "messages")
    return "\n".join(
        _read_content(message, f"messages[{number}]")
        for number, message in enumerate(messages)
    )


def _read_content(message: Any, where: str) -> str:
    if not isinstance(message, dict):
        raise _bad("an object is wanted", where)
    if not isinstance(message.get("role"), str):
        raise _bad("a string is wanted", f"{where}.role")
    content = message.get("content")
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise _bad("a string or a list of parts is wanted", f"{where}.content")
    return "\n".join(_read_part(part, f"{where}.content") for part in content)


def _read_part(part: Any, where: str) -> str:
    text = part.get("text") if isinstance(part, dict) else None
    if not isinstance(text, str):
        raise _bad("only parts of type text are taken", where)
    return text


def _read_output_tokens(fields: dict[str, Any], maximum: int) -> int:
    name = "max_completion_tokens"
    if name not in fields:
        name = "max_tokens"
    tokens = _typed(fields, name, int, DEFAULT_OUTPUT_TOKENS)
    if not 1 <= tokens <= maximum:
        raise _bad(f"a number from 1 to {maximum} is wanted", name)
    return tokens


def _required(fields: dict[str, Any], name: str, kind: type) -> Any:
    if name not in fields:
        raise _bad("the field is missing", name)
    return _typed(fields, name, kind, None)


def _typed(fields: dict[str, Any], name: str, kind: type, default: Any) -> Any:
    value = fields.get(name)
    if value is None and default is not None:
        return default
    # bool is a subclass of int in Python, but a JSON true does not stand for 1.
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise _bad(f"a value of type {kind.__name__} is wanted", name)
    return value


def _bad(message: str, field: str) -> RequestError:
    return RequestError(
        message, status=400, code="bad_request", field=field, step=_STEP
    )
