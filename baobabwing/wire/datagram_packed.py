"""Codec for membership datagrams with fixed binary fields.

For processes with little memory: pycapnp takes 14 MB per process, the standard
library's ``struct`` next to nothing.
"""

from __future__ import annotations

import struct

from baobabwing.exceptions import WireError
from baobabwing.wire.datagram import (
    MAX_TEXT,
    MAX_UPDATES,
    Datagram,
    DatagramKind,
    MemberRecord,
    register_codec,
)

__all__ = ["PackedCodec"]

# Kind, incarnation, sequence, configuration, holds, answers, digest, updates.
_HEADER = struct.Struct("!BQQQQQQB")
# Incarnation, state, refutation, weight.
_RECORD = struct.Struct("!QBIH")


@register_codec("packed")
class PackedCodec:
    """Packs numbers in network byte order and texts with a one-byte length prefix."""

    def encode(self, datagram: Datagram) -> bytes:
        """Pack a datagram."""
        try:
            return b"".join(_parts(datagram))
        except (struct.error, ValueError, TypeError) as exc:
            raise WireError("datagram cannot be encoded", step="encode") from exc

    def decode(self, payload: bytes) -> Datagram:
        """Unpack a datagram."""
        try:
            return _Reader(payload).datagram()
        except (struct.error, ValueError, IndexError) as exc:
            raise WireError("datagram is malformed", step="decode") from exc


def _parts(datagram: Datagram) -> list[bytes]:
    header = _HEADER.pack(
        int(datagram.kind),
        datagram.incarnation,
        datagram.sequence,
        datagram.configuration,
        datagram.holds,
        datagram.answers,
        datagram.digest,
        len(datagram.updates),
    )
    parts = [header, _packed_text(datagram.sender), _packed_text(datagram.target)]
    for record in datagram.updates:
        parts.extend(_record_parts(record))
    return parts


def _record_parts(record: MemberRecord) -> list[bytes]:
    numbers = _RECORD.pack(
        record.incarnation, record.state, record.refutation, record.weight
    )
    texts = (
        record.name,
        record.zone,
        record.region,
        record.peer,
        record.http,
        record.work,
    )
    return [numbers, *(_packed_text(text) for text in texts)]


def _packed_text(text: str) -> bytes:
    data = text.encode()
    return bytes([len(data)]) + data


class _Reader:
    """Reads the fields of a payload in order."""

    def __init__(self, payload: bytes) -> None:
        self._payload = payload
        self._offset = 0

    def datagram(self) -> Datagram:
        """Read the whole payload as one datagram."""
        kind, incarnation, sequence, configuration, holds, answers, digest, count = (
            self._numbers(_HEADER)
        )
        if count > MAX_UPDATES:
            raise ValueError("too many updates")
        sender, target = self._name(), self._text()
        updates = tuple(self._member() for _ in range(count))
        if self._offset != len(self._payload):
            raise ValueError("bytes after the last field")
        return Datagram(
            kind=DatagramKind(kind),
            sender=sender,
            incarnation=incarnation,
            sequence=sequence,
            configuration=configuration,
            holds=holds,
            target=target,
            answers=answers,
            digest=digest,
            updates=updates,
        )

    def _member(self) -> MemberRecord:
        incarnation, state, refutation, weight = self._numbers(_RECORD)
        return MemberRecord(
            name=self._name(),
            incarnation=incarnation,
            state=state,
            refutation=refutation,
            zone=self._text(),
            region=self._text(),
            peer=self._text(),
            http=self._text(),
            work=self._text(),
            weight=weight,
        )

    def _numbers(self, fields: struct.Struct) -> tuple:
        numbers = fields.unpack_from(self._payload, self._offset)
        self._offset += fields.size
        return numbers

    def _name(self) -> str:
        name = self._text()
        if not name:
            raise ValueError("name is empty")
        return name

    def _text(self) -> str:
        size = self._payload[self._offset]
        start, self._offset = self._offset + 1, self._offset + 1 + size
        if self._offset > len(self._payload):
            raise ValueError("text is truncated")
        text = self._payload[start : self._offset].decode()
        if len(text) > MAX_TEXT:
            raise ValueError("text is too long")
        return text
