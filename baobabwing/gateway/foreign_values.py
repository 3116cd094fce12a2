"""Values that other programs wrote: refused unless they can be used everywhere.

JSON carries values that fail only far from where they were read: text that UTF-8 does
not have, numbers that are not finite, and nesting that is too deep to be written again.
"""

from __future__ import annotations

import ipaddress
import json
import math
import re
from typing import Any

__all__ = [
    "DECODING_ERRORS",
    "MAX_COUNT",
    "TooManyValuesError",
    "check_value",
    "count",
    "load_json",
    "load_object",
    "name",
    "number",
    "parse_json",
    "socket_address",
    "string",
]

# Errors that values of other types or sizes raise in code that expects certain ones.
DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Values in one document: 37 for each of 6,600 upstreams. A value of three bytes takes
# some 70 once it is decoded, one of a key of its own some 200.
_MAX_VALUES = 250_000
# Levels of arrays and objects; no row or document has more than six.
_MAX_DEPTH = 32
# Larger integers can't be converted to a float.
_MAX_INTEGER_BITS = 1023
# Names are sent in headers.
_MAX_NAME_BYTES = 1024
MAX_COUNT = 1 << 63
# Strings and brackets of JSON.
_TOKENS = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


class TooManyValuesError(ValueError):
    """JSON that would take many times its length once it is decoded."""


def parse_json(data: bytes | str, **options: Any) -> Any:
    """Decode JSON whose values are checked elsewhere, within a bounded memory.

    :param options: of ``json.loads``.
    :raises TooManyValuesError: if there are more values than in any sound document.
    :raises ValueError: if it is malformed, or nested too deeply to be decoded.
    """
    # Each value but the first follows a comma, or the start of an array or object.
    marks = (",", "[", "{") if isinstance(data, str) else (b",", b"[", b"{")
    values = sum(data.count(mark) for mark in marks)
    if values > _MAX_VALUES:
        raise TooManyValuesError(f"over {_MAX_VALUES} values")
    try:
        return json.loads(data, **options)
    except (MemoryError, RecursionError) as exc:
        raise ValueError(f"can't be decoded: {exc!r:.200}") from exc


def load_json(data: bytes | str) -> Any:
    """Decode JSON that another program wrote.

    :raises ValueError: if it is malformed, or if its value can't be used.
    """
    value = parse_json(data)
    check_value(value)
    return value


def load_object(data: bytes) -> dict[str, Any]:
    """Decode a JSON object of values that are each checked when they are used.

    A value that can't be decoded leaves the others: it contains a part that
    :func:`check_value` refuses.

    :raises ValueError: if it is not a JSON object.
    """
    try:
        value = parse_json(data)
    except TooManyValuesError:
        raise
    except ValueError:
        # Bytes that are no UTF-8 become halves of surrogate pairs.
        text = data.decode(errors="surrogateescape")
        value = parse_json(_without_deep_parts(text), parse_int=_parse_integer)
    if not isinstance(value, dict):
        raise ValueError(f"not an object: {_excerpt(value)}")
    return value


def _without_deep_parts(text: str) -> str:
    """Replace what is nested too deeply in JSON by a number that is not finite."""
    kept, depth, start = [], 0, 0
    for token in _TOKENS.finditer(text):
        if token[0] in "[{":
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept.append(text[start : token.start()])
        elif token[0] in "]}":
            if depth == _MAX_DEPTH + 1:
                kept.append("NaN")
                start = token.end()
            depth -= 1
    return "".join(kept) + text[start:]


def _parse_integer(digits: str) -> float:
    return int(digits) if len(digits) <= _MAX_INTEGER_BITS else math.inf


def check_value(value: Any) -> None:
    """Check a value that was decoded from JSON.

    :raises ValueError: if a part of it can't be encoded, converted or written again.
    """
    level = [value]
    for _ in range(_MAX_DEPTH + 1):
        if not level:
            return
        below: list[Any] = []
        for item in level:
            if isinstance(item, dict):
                below += item.keys()
                below += item.values()
            elif isinstance(item, list):
                below += item
            else:
                _check_scalar(item)
        level = below
    raise ValueError("nested too deeply")


def _check_scalar(value: Any) -> None:
    if isinstance(value, str):
        value.encode()
    elif isinstance(value, int):
        if value.bit_length() > _MAX_INTEGER_BITS:
            raise ValueError("number out of range")
    elif isinstance(value, float) and not math.isfinite(value):
        raise ValueError("number not finite")


def string(value: Any) -> str:
    """Return a text; it may be empty.

    :raises ValueError: if the value is none.
    """
    if not isinstance(value, str):
        raise ValueError(f"not a string: {_excerpt(value)}")
    return value


def name(value: Any) -> str:
    """Return a text that can be used as a name, also in headers and metrics.

    :raises ValueError: if the value is none.
    """
    if not string(value):
        raise ValueError("empty string")
    # Also false for half of a surrogate pair, which can't be encoded.
    if not value.isprintable() or value != value.strip():
        raise ValueError(f"not a name: {_excerpt(value)}")
    if len(value.encode()) > _MAX_NAME_BYTES:
        raise ValueError(f"longer than {_MAX_NAME_BYTES} bytes: {_excerpt(value)}")
    return value


def count(value: Any, *, lower: int = 1, upper: int = MAX_COUNT) -> int:
    """Return an integer within bounds.

    :raises ValueError: if the value is none.
    """
    # bool is a subclass of int.
    if type(value) is not int or not lower <= value <= upper:
        raise ValueError(f"not an integer from {lower} to {upper}: {_excerpt(value)}")
    return value


def number(value: Any) -> float:
    """Return a finite number.

    :raises ValueError: if the value is none.
    """
    if type(value) not in (int, float):
        raise ValueError(f"not a number: {_excerpt(value)}")
    _check_scalar(value)
    return value


def socket_address(value: Any) -> str:
    """Return the text of an IPv4 address with a port, ``ip:port``.

    :raises ValueError: if the value is none.
    """
    ip, _, port = string(value).rpartition(":")
    ipaddress.IPv4Address(ip)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 1 << 16):
        raise ValueError(f"invalid port: {port:.10}")
    return value


def _excerpt(value: Any) -> str:
    try:
        return f"{value!r:.40}"
    except DECODING_ERRORS:
        return type(value).__name__
