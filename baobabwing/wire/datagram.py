"""Datagrams of the membership protocol and the registry of their codecs."""

from __future__ import annotations

import importlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from baobabwing.exceptions import WireError

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_TEXT",
    "MAX_UPDATES",
    "Datagram",
    "DatagramCodec",
    "DatagramKind",
    "MemberRecord",
    "datagram_codec",
    "decode",
    "encode",
    "record_size",
    "register_codec",
]

MAX_DATAGRAM_BYTES = 1200
MAX_UPDATES = 64
MAX_TEXT = 64
_RECORD_OVERHEAD_BYTES = 20
_TEXT_OVERHEAD_BYTES = 4

# Codec modules, imported when the codec is first used.
_CODEC_MODULES = {
    "capnp": "baobabwing.wire.datagram_capnp",
    "packed": "baobabwing.wire.datagram_packed",
}


class DatagramKind(IntEnum):
    """Kind of a datagram; the numbers are part of the wire format."""

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
    """State of one member as carried by a datagram.

    :param state: number of a :class:`baobabwing.fleet.host.MemberState`.
    :param refutation: incremented by the member itself to refute its own death.
    :param peer: empty in a brief record, which only applies to a known member.
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
    work: str = ""
    weight: int = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Datagram:
    """One UDP message between two nodes.

    :param sequence: microseconds of the sender's clock, strictly increasing.
    :param configuration: highest configuration version known to the sender.
    :param holds: configuration version that the sender holds.
    :param target: name of the member that is probed, or a page cursor.
    :param answers: sequence of the datagram that this one answers, or 0.
    :param digest: digest of the live members known to the sender.
    :param updates: member records piggybacked on the datagram.
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
    texts = (
        record.name,
        record.zone,
        record.region,
        record.peer,
        record.http,
        record.work,
    )
    return _RECORD_OVERHEAD_BYTES + sum(_text_size(text) for text in texts if text)


class DatagramCodec(Protocol):
    """Packs and unpacks datagrams."""

    def encode(self, datagram: Datagram) -> bytes:
        """Pack a datagram.

        :raises WireError: if a number is out of range for its field.
        """

    def decode(self, payload: bytes) -> Datagram:
        """Unpack a datagram of at most :data:`MAX_DATAGRAM_BYTES`.

        :raises WireError: if it is malformed or exceeds a bound.
        """


_CODECS: dict[str, DatagramCodec] = {}


def register_codec(name: str) -> Callable[[type], type]:
    """Register a codec class under its name in the settings."""

    def register(codec_class: type) -> type:
        _CODECS[name] = codec_class()
        return codec_class

    return register


def datagram_codec(name: str) -> DatagramCodec:
    """Return a codec by its name: ``capnp``, or ``packed``, which takes less memory.

    :raises KeyError: if there is no codec of that name.
    """
    if name not in _CODECS:
        importlib.import_module(_CODEC_MODULES[name])
    return _CODECS[name]


def encode(datagram: Datagram, *, codec: str = "capnp") -> bytes:
    """Pack a datagram.

    :raises WireError: if a number is out of range for its field.
    """
    return datagram_codec(codec).encode(datagram)


def decode(payload: bytes, *, codec: str = "capnp") -> Datagram:
    """Unpack a datagram and check its bounds.

    :raises WireError: if it is malformed or exceeds a bound.
    """
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise WireError("datagram is too large", step="decode")
    return datagram_codec(codec).decode(payload)


def _text_size(text: str) -> int:
    size = len(text.encode()) + 1
    return size + (size + 7) // 8 + _TEXT_OVERHEAD_BYTES
