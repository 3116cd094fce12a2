"""Datagrams of the membership protocol, packed by pycapnp."""

from __future__ import annotations

from typing import Any

import capnp

from baobabwing.exceptions import WireError
from baobabwing.wire.datagram import (
    MAX_TEXT,
    MAX_UPDATES,
    Datagram,
    DatagramKind,
    MemberRecord,
    registers,
)
from baobabwing.wire.schema import load_schema

__all__ = ["CapnpCodec"]

# Two threads that use the schema first at the same time would both load it, and
# pycapnp ends the process then. An import is run by one thread only.
_SCHEMA = load_schema()


@registers("capnp")
class CapnpCodec:
    """Packs by the schema of all messages between the product's processes."""

    def encode(self, datagram: Datagram) -> bytes:
        """Pack a datagram."""
        try:
            return _build(datagram).to_bytes_packed()
        except (capnp.KjException, OverflowError, TypeError, ValueError) as exc:
            raise WireError("datagram cannot be encoded", step="encode") from exc

    def decode(self, payload: bytes) -> Datagram:
        """Unpack a datagram."""
        try:
            return _read(payload)
        except (capnp.KjException, ValueError, OverflowError, MemoryError) as exc:
            raise WireError("datagram is malformed", step="decode") from exc


def _build(datagram: Datagram) -> Any:
    message = _SCHEMA.Datagram.new_message()
    message.kind = int(datagram.kind)
    message.sender = datagram.sender
    message.incarnation = datagram.incarnation
    message.sequence = datagram.sequence
    message.configuration = datagram.configuration
    message.holds = datagram.holds
    message.answers = datagram.answers
    message.digest = datagram.digest
    if datagram.target:
        message.target = datagram.target
    if datagram.updates:
        slots = message.init("updates", len(datagram.updates))
        for slot, record in zip(slots, datagram.updates, strict=True):
            _fill(slot, record)
    return message


def _fill(slot: Any, record: MemberRecord) -> None:
    slot.name = record.name
    slot.incarnation = record.incarnation
    slot.state = int(record.state)
    slot.refutation = record.refutation
    slot.weight = record.weight
    for field in ("zone", "region", "peer", "http", "work"):
        text = getattr(record, field)
        if text:
            setattr(slot, field, text)


def _read(payload: bytes) -> Datagram:
    message = _SCHEMA.Datagram.from_bytes_packed(payload)
    # A forged list of elements without size can claim half a milliard entries
    # in a few bytes; reading it would hold the receiving thread for minutes.
    if len(message.updates) > MAX_UPDATES:
        raise ValueError("too many updates")
    return Datagram(
        kind=DatagramKind(message.kind),
        sender=_name(message.sender),
        incarnation=message.incarnation,
        sequence=message.sequence,
        configuration=message.configuration,
        holds=message.holds,
        target=_text(message.target),
        answers=message.answers,
        digest=message.digest,
        updates=tuple(_record(slot) for slot in message.updates),
    )


def _record(slot: Any) -> MemberRecord:
    return MemberRecord(
        name=_name(slot.name),
        incarnation=slot.incarnation,
        state=slot.state,
        refutation=slot.refutation,
        zone=_text(slot.zone),
        region=_text(slot.region),
        peer=_text(slot.peer),
        http=_text(slot.http),
        work=_text(slot.work),
        weight=slot.weight,
    )


def _name(text: str) -> str:
    if not text:
        raise ValueError("name is empty")
    return _text(text)


def _text(text: str) -> str:
    if len(text) > MAX_TEXT:
        raise ValueError("text is too long")
    return text
