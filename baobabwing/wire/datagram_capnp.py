"""Codec for membership datagrams that uses pycapnp."""

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
    register_codec,
)
from baobabwing.wire.schema import load_schema

__all__ = ["CapnpCodec"]

# Loaded at import, which only one thread executes: pycapnp terminates the process
# when two threads load the schema at the same time.
_SCHEMA = load_schema()


@register_codec("capnp")
class CapnpCodec:
    """Packs datagrams according to ``messages.capnp``."""

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
        entries = message.init("updates", len(datagram.updates))
        for entry, record in zip(entries, datagram.updates, strict=True):
            _write_record(entry, record)
    return message


def _write_record(entry: Any, record: MemberRecord) -> None:
    entry.name = record.name
    entry.incarnation = record.incarnation
    entry.state = int(record.state)
    entry.refutation = record.refutation
    entry.weight = record.weight
    for field in ("zone", "region", "peer", "http", "work"):
        text = getattr(record, field)
        if text:
            setattr(entry, field, text)


def _read(payload: bytes) -> Datagram:
    message = _SCHEMA.Datagram.from_bytes_packed(payload)
    # A forged list of zero-sized elements can claim 500 million entries in a few
    # bytes; reading it would block the receiving thread for minutes.
    if len(message.updates) > MAX_UPDATES:
        raise ValueError("too many updates")
    return Datagram(
        kind=DatagramKind(message.kind),
        sender=_checked_name(message.sender),
        incarnation=message.incarnation,
        sequence=message.sequence,
        configuration=message.configuration,
        holds=message.holds,
        target=_checked_text(message.target),
        answers=message.answers,
        digest=message.digest,
        updates=tuple(_read_record(entry) for entry in message.updates),
    )


def _read_record(entry: Any) -> MemberRecord:
    return MemberRecord(
        name=_checked_name(entry.name),
        incarnation=entry.incarnation,
        state=entry.state,
        refutation=entry.refutation,
        zone=_checked_text(entry.zone),
        region=_checked_text(entry.region),
        peer=_checked_text(entry.peer),
        http=_checked_text(entry.http),
        work=_checked_text(entry.work),
        weight=entry.weight,
    )


def _checked_name(text: str) -> str:
    if not text:
        raise ValueError("name is empty")
    return _checked_text(text)


def _checked_text(text: str) -> str:
    if len(text) > MAX_TEXT:
        raise ValueError("text is too long")
    return text
