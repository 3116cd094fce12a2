"""Datagrams of the membership protocol, between plain data and packed bytes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import capnp

from baobabwing.exceptions import WireError
from baobabwing.wire.schema import load_schema

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_UPDATES",
    "Datagram",
    "DatagramKind",
    "MemberRecord",
    "decode",
    "encode",
    "record_size",
]

MAX_DATAGRAM_BYTES = 1200
MAX_UPDATES = 64
_MAX_TEXT = 64
_RECORD_OVERHEAD_BYTES = 20
_TEXT_OVERHEAD_BYTES = 4

# Two threads that use the schema first at the same time would both load it, and
# pycapnp ends the process then. An import is run by one thread only.
_SCHEMA = load_schema()


class DatagramKind(IntEnum):
    """What a datagram asks or says."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    INDIRECT_ACK = 4
    INDIRECT_NACK = 5
    GOSSIP = 6
    JOIN = 7
    INTRODUCE = 8
    PAGE_REQUEST = 9
    PAGE = 10


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberRecord:
    """What a datagram says of one member.

    :param state: number of a :class:`baobabwing.fleet.host.MemberState`.
    :param refutation: raised by the member itself to refute its own death.
    :param peer: empty in a brief record, which changes a known member only.
    :param weight: share of homes in hundredths.
    """

    name: str
    incarnation: int
    state: int
    refutation: int = 0
    zone: str = ""
    region: str = ""
    peer: str = ""
    http: str = ""
    weight: int = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Datagram:
    """One UDP message between two nodes.

    :param sequence: microseconds of the sender's clock, growing strictly.
    :param configuration: highest configuration version heard of.
    :param holds: configuration version that the sender holds.
    :param target: the member that is asked about, or a cursor of pages.
    :param answers: sequence of the datagram that this one answers.
    :param digest: digest of the live members that the sender knows.
    """

    kind: DatagramKind
    sender: str
    incarnation: int
    sequence: int
    configuration: int = 0
    holds: int = 0
    target: str = ""
    answers: int = 0
    digest: int = 0
    updates: tuple[MemberRecord, ...] = ()


def record_size(record: MemberRecord) -> int:
    """Return an upper estimate of the packed size of a record in bytes."""
    texts = (record.name, record.zone, record.region, record.peer, record.http)
    return _RECORD_OVERHEAD_BYTES + sum(_text_size(text) for text in texts if text)


def encode(datagram: Datagram) -> bytes:
    """Pack a datagram.

    :raises WireError: if a number is out of range for its field.
    """
    try:
        return _build(datagram).to_bytes_packed()
    except (capnp.KjException, OverflowError, TypeError, ValueError) as exc:
        raise WireError("datagram cannot be encoded", step="encode") from exc


def decode(payload: bytes) -> Datagram:
    """Unpack a datagram and check its bounds.

    :raises WireError: if it is malformed or over a bound.
    """
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise WireError("datagram is too large", step="decode")
    try:
        return _read(payload)
    except (capnp.KjException, ValueError, OverflowError, MemoryError) as exc:
        raise WireError("datagram is malformed", step="decode") from exc


def _text_size(text: str) -> int:
    size = len(text.encode()) + 1
    return size + (size + 7) // 8 + _TEXT_OVERHEAD_BYTES


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
    for field in ("zone", "region", "peer", "http"):
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
        weight=slot.weight,
    )


def _name(text: str) -> str:
    if not text:
        raise ValueError("name is empty")
    return _text(text)


def _text(text: str) -> str:
    if len(text) > _MAX_TEXT:
        raise ValueError("text is too long")
    return text
