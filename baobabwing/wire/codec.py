"""Conversion between typed messages and packed Cap'n Proto bytes."""

from __future__ import annotations

import dataclasses
import functools
from typing import Any

import capnp

from baobabwing.exceptions import WireError
from baobabwing.wire.messages import (
    Failure,
    InflightItem,
    Message,
    member_of,
    types_by_member,
)
from baobabwing.wire.schema import load_schema

__all__ = ["decode", "encode"]

_STEP = "decode"
# InflightAnswer.items is the only list of structs in the envelope.
_ITEM_FIELD = "items"


def encode(message: Message, *, correlation: int = 0) -> bytes:
    """Pack a message into one envelope.

    :param correlation: number that matches a reply to its call; 0 for a one-way
        message.
    :returns: packed Cap'n Proto bytes, without framing.
    """
    envelope = load_schema().Envelope.new_message(correlation=correlation)
    member = member_of(message)
    if isinstance(message, Failure):
        envelope.body.failure = message.text
        return envelope.to_bytes_packed()
    struct = envelope.body.init(member)
    for field, name in _fields(type(message)):
        value = getattr(message, field)
        if field == _ITEM_FIELD:
            value = [_item_values(item) for item in value]
        elif isinstance(value, tuple):
            value = list(value)
        setattr(struct, name, value)
    return envelope.to_bytes_packed()


def decode(data: bytes) -> tuple[int, Message]:
    """Unpack the envelope in ``data``.

    :returns: the correlation number and the message.
    :raises WireError: if the bytes are not an envelope or hold an unknown message.
    """
    try:
        envelope = load_schema().Envelope.from_bytes_packed(data)
        return envelope.correlation, _read_body(envelope.body)
    except (capnp.KjException, ValueError, KeyError, TypeError, OverflowError) as exc:
        raise WireError(f"unreadable message: {type(exc).__name__}", step=_STEP) from (
            exc
        )


def _read_body(body: Any) -> Message:
    member = body.which()
    if member == "failure":
        return Failure(text=body.failure)
    cls = types_by_member()[str(member)]
    struct = getattr(body, str(member))
    return cls(**_read_struct(struct, cls))


def _read_struct(struct: Any, cls: type) -> dict[str, Any]:
    values = {}
    for field, name in _fields(cls):
        value = getattr(struct, name)
        if field == _ITEM_FIELD:
            value = tuple(
                InflightItem(**_read_struct(item, InflightItem)) for item in value
            )
        elif isinstance(value, capnp.lib.capnp._DynamicListReader):
            value = tuple(value)
        values[field] = value
    return values


def _item_values(item: InflightItem) -> dict[str, Any]:
    return {name: getattr(item, field) for field, name in _fields(InflightItem)}


@functools.lru_cache(maxsize=64)
def _fields(cls: type) -> tuple[tuple[str, str], ...]:
    """Return the attribute name and the schema name of each field."""
    return tuple(
        (field.name, _camel_case(field.name)) for field in dataclasses.fields(cls)
    )


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)
