"""Decoding of request heads from callers, and heads for upstreams."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.gateway.headers import HOP_BY_HOP, HeaderNames

__all__ = ["PromptPart", "RequestHead", "read_request_head", "upstream_headers"]

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt, possibly shared by several requests.

    :param name: identifies the text of the part.
    :param tokens: number of its tokens.
    """

    name: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class RequestHead:
    """Decoded head of a caller's request.

    :param headers: as the caller sent them, in order.
    :param deadline_s: how long the caller waits; ``None`` if not stated.
    :param key: the caller's key, or empty.
    :param tokens_in: prompt tokens; ``None`` if not stated.
    :param tokens_out: maximum number of output tokens; 0 if not stated.
    :param expected_out: the caller's estimate of output tokens; 0 if not stated.
    :param parts: parts of the prompt, in order.
    :param last_event: id of the last event the caller has received, or empty.
    :param resumes: request id of the caller's attempt that brought the stream's first
        event, or empty.
    """

    method: str
    target: str
    headers: Headers
    host: str = ""
    request_id: str = ""
    deadline_s: float | None = None
    key: str = ""
    tokens_in: int | None = None
    tokens_out: int = 0
    expected_out: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: str = ""
    resumes: str = ""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may have too; the last one is the caller's own."""
        return self.parts[:-1]


def read_request_head(
    method: str, target: str, headers: Headers, names: HeaderNames
) -> RequestHead:
    """Decode a request head; figures that are not numbers count as not stated."""
    values = {name.lower(): value for name, value in headers}
    deadline_ms = _parse_number(values.get(names.deadline))
    tokens_in, tokens_out = _parse_tokens(values.get(names.tokens))
    hint = _parse_number(values.get(names.length_hint))
    return RequestHead(
        method=method,
        target=target,
        headers=headers,
        host=_decode(values.get(b"host")),
        request_id=_decode(values.get(names.request_id)),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        key=_decode(values.get(names.key)).strip(),
        tokens_in=tokens_in,
        tokens_out=tokens_out,
        expected_out=int(hint or 0),
        parts=_parse_parts(values.get(names.prefix)),
        last_event=_decode(values.get(names.last_event)),
        resumes=_decode(values.get(names.resumes)).strip(),
    )


def upstream_headers(
    request_head: RequestHead,
    names: HeaderNames,
    *,
    left_s: float,
    instance: str,
    organisation: str,
    body_bytes: int,
    last_event: str,
) -> Headers:
    """Return the headers of a request to an upstream.

    :param left_s: time left for the upstream to answer; sent as the deadline.
    :param instance: the upstream that the request is meant for.
    :param organisation: holder of the caller's key, or empty.
    :param last_event: id of the last event that the caller has received, from this
        attempt or an earlier one.
    """
    dropped = HOP_BY_HOP | names.reserved | _replaced_headers(names)
    named = _connection_named(request_head.headers)
    headers = [
        (name, value)
        for name, value in request_head.headers
        if name.lower() not in dropped and name.lower() not in named
    ]
    headers.append((names.deadline, b"%d" % max(int(left_s * 1000), 1)))
    headers.append((names.expected_instance, instance.encode()))
    if organisation:
        headers.append((names.organisation, organisation.encode()))
    if last_event:
        headers.append((names.last_event, last_event.encode()))
    if body_bytes or request_head.method not in ("GET", "HEAD"):
        headers.append((b"Content-Length", b"%d" % body_bytes))
    return headers


def _replaced_headers(names: HeaderNames) -> frozenset[bytes]:
    return frozenset(
        {
            names.deadline,
            names.key,
            names.organisation,
            names.expected_instance,
            names.last_event,
            b"content-length",
            b"expect",
        }
    )


def _connection_named(headers: Headers) -> frozenset[bytes]:
    """Return the header names listed in ``Connection`` headers."""
    named = [value.lower() for name, value in headers if name.lower() == b"connection"]
    tokens = {token.strip() for value in named for token in value.split(b",")}
    # A caller must not be able to strip the Host header by listing it here.
    return frozenset(tokens - {b"host", b"close", b"keep-alive"})


def _parse_tokens(value: bytes | None) -> tuple[int | None, int]:
    if value is None:
        return None, 0
    first, _, second = value.partition(b",")
    tokens_in, tokens_out = _parse_number(first), _parse_number(second)
    if tokens_in is None:
        return None, 0
    return int(tokens_in), int(tokens_out or 0)


def _parse_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (value or b"").split(b","):
        name, _, tokens = entry.partition(b":")
        count = _parse_number(tokens)
        if name.strip() and count is not None:
            parts.append(PromptPart(name=_decode(name.strip()), tokens=int(count)))
    return tuple(parts)


def _parse_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e12 else None


def _decode(value: bytes | None) -> str:
    return (value or b"").decode("latin-1")
