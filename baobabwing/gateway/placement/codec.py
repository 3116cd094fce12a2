"""Messages between gateways as fixed binary fields.

``pycapnp`` packs the messages of the product's other processes. Here it would take
14 MB of a node's memory, more than half of what the rest takes; these few fields need
the standard library only.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from typing import Any

from baobabwing.exceptions import WireError
from baobabwing.gateway.decisions.cell_queue import HeldPlace, NoteKind
from baobabwing.gateway.decisions.quarantine import Finding, FindingKind
from baobabwing.gateway.placement.messages import (
    AskMessage,
    CellKey,
    CellState,
    Findings,
    Granted,
    Holdings,
    HoldingsTaken,
    Message,
    Note,
    Notes,
    Queued,
    Refused,
    Totals,
    Used,
    UsedReport,
)

__all__ = ["crc", "decode", "encode", "wrapped_difference"]

_MS = 1000.0
_US = 1_000_000.0
_TENTHS_MS = 10_000.0
_WRAP = 1 << 32
_U8, _U16, _U32 = 0xFF, 0xFFFF, 0xFFFFFFFF
_I16 = 0x7FFF
# Pool and index of a cell.
_CELL = struct.Struct("!IB")
# Queued, free, turnover in tenths of a ms.
_STATE = struct.Struct("!HHH")
# Node, number, rank, rank of the route; waited, to the objective (may be past), to
# the deadline, to the end, in ms; prompt, output, committed, moves from, excluded.
_ASK = struct.Struct("!IIBBHhHIIHBIB")
_NUMBER = struct.Struct("!I")
# Number, upstream, predicted ms.
_GRANT = struct.Struct("!IIH")
# Number, ms to come back after.
_REFUSAL = struct.Struct("!IH")
# Number, kind, pace in us; 0 for none.
_NOTE = struct.Struct("!IBI")
# Number, upstream, unread tokens.
_HELD = struct.Struct("!IIH")
_COUNT = struct.Struct("!H")
# Held, waiting, whether all that wait are named.
_COUNTS = struct.Struct("!HHB")
# Node, number, nodes heard.
_TOTALS = struct.Struct("!IIH")
_REPORT = struct.Struct("!II")
_USED = struct.Struct("!IIIII")
# Digest, kind, upstream, weight, times, ms left.
_FINDING = struct.Struct("!QBIBBI")

_PACKERS: dict[type, tuple[bytes, Callable[[Any], bytes]]] = {}
_READERS: dict[bytes, Callable[[_Reader], Message]] = {}


def crc(text: str) -> int:
    """Return the short form of a name."""
    return zlib.crc32(text.encode())


def wrapped_difference(now: int, before: int) -> int:
    """Return how far a counter went, forward or back, although it may wrap."""
    return (now - before + _WRAP // 2) % _WRAP - _WRAP // 2


def encode(message: Message) -> bytes:
    """Pack a message; figures beyond their fields are cut to the largest."""
    mark, pack = _PACKERS[type(message)]
    return mark + pack(message)


def decode(data: bytes) -> Message:
    """Unpack a datagram.

    :raises WireError: if it is none of ours.
    """
    try:
        reader = _Reader(data)
        message = _READERS[data[:1]](reader)
        reader.end()
        return message
    except (KeyError, struct.error, ValueError) as exc:
        raise WireError(f"no message: {exc!r}", step="decode") from exc


def _packs(kind: type, mark: bytes) -> Callable:
    def register(pack: Callable[[Any], bytes]) -> Callable[[Any], bytes]:
        _PACKERS[kind] = (mark, pack)
        return pack

    return register


def _reads(mark: bytes) -> Callable:
    def register(read: Callable[[_Reader], Message]) -> Callable[[_Reader], Message]:
        _READERS[mark] = read
        return read

    return register


class _Reader:
    """Takes fields off the front of a datagram."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 1

    def take(self, fields: struct.Struct) -> tuple:
        values = fields.unpack_from(self._data, self._at)
        self._at += fields.size
        return values

    def many(self, fields: struct.Struct, count: int) -> list[tuple]:
        size = fields.size * count
        piece = self._data[self._at : self._at + size]
        if len(piece) != size:
            raise ValueError("cut")
        self._at += size
        return list(fields.iter_unpack(piece))

    def cell(self) -> CellKey:
        pool, index = self.take(_CELL)
        return CellKey(pool=pool, index=index)

    def state(self) -> CellState:
        queued, free, turnover = self.take(_STATE)
        return CellState(queued=queued, free=free, turnover_s=turnover / _TENTHS_MS)

    def numbers(self, count: int) -> tuple[int, ...]:
        return tuple(number for (number,) in self.many(_NUMBER, count))

    def used(self) -> tuple[Used, ...]:
        (count,) = self.take(_COUNT)
        return tuple(
            Used(
                organisation=name,
                units=units,
                excess=excess,
                asked=asked,
                recent=recent,
            )
            for name, units, excess, asked, recent in self.many(_USED, count)
        )

    def end(self) -> None:
        if self._at != len(self._data):
            raise ValueError("bytes after the last field")


def _cell(key: CellKey) -> bytes:
    return _CELL.pack(key.pool, key.index)


def _state(state: CellState) -> bytes:
    return _STATE.pack(
        min(state.queued, _U16),
        min(state.free, _U16),
        min(round(state.turnover_s * _TENTHS_MS), _U16),
    )


def _ms(seconds: float, most: int = _U16) -> int:
    return max(0, min(round(seconds * _MS), most))


def _used(used: tuple[Used, ...]) -> bytes:
    packed = [
        _USED.pack(
            one.organisation,
            one.units % _WRAP,
            one.excess % _WRAP,
            one.asked % _WRAP,
            min(one.recent, _U32),
        )
        for one in used
    ]
    return _COUNT.pack(len(packed)) + b"".join(packed)


@_packs(AskMessage, b"A")
def _pack_ask(message: AskMessage) -> bytes:
    objective = round(message.objective_s * _MS)
    head = _ASK.pack(
        message.node,
        message.number % _WRAP,
        min(message.rank, _U8),
        min(message.route_rank, _U8),
        _ms(message.waited_s),
        max(-_I16, min(objective, _I16)),
        _ms(message.deadline_s),
        _ms(message.ends_s, _U32),
        min(message.prompt_tokens, _U32),
        min(message.expected_out, _U16),
        message.committed,
        message.moves_from,
        len(message.excluded),
    )
    excluded = b"".join(_NUMBER.pack(one) for one in message.excluded)
    return _cell(message.cell) + head + excluded


@_reads(b"A")
def _read_ask(reader: _Reader) -> AskMessage:
    cell = reader.cell()
    (
        node,
        number,
        rank,
        route_rank,
        waited,
        objective,
        deadline,
        ends,
        prompt,
        out,
        committed,
        moves_from,
        count,
    ) = reader.take(_ASK)
    return AskMessage(
        node=node,
        number=number,
        cell=cell,
        rank=rank,
        route_rank=route_rank,
        waited_s=waited / _MS,
        objective_s=objective / _MS,
        deadline_s=deadline / _MS,
        ends_s=ends / _MS,
        prompt_tokens=prompt,
        expected_out=out,
        committed=bool(committed),
        excluded=reader.numbers(count),
        moves_from=moves_from,
    )


@_packs(Queued, b"Q")
def _pack_queued(message: Queued) -> bytes:
    number = _NUMBER.pack(message.number % _WRAP)
    return _cell(message.cell) + number + _state(message.state)


@_reads(b"Q")
def _read_queued(reader: _Reader) -> Queued:
    cell, (number,) = reader.cell(), reader.take(_NUMBER)
    return Queued(number=number, cell=cell, state=reader.state())


@_packs(Refused, b"N")
def _pack_refused(message: Refused) -> bytes:
    refusal = _REFUSAL.pack(message.number % _WRAP, _ms(message.retry_after_s))
    return _cell(message.cell) + refusal + _state(message.state)


@_reads(b"N")
def _read_refused(reader: _Reader) -> Refused:
    cell, (number, retry_after) = reader.cell(), reader.take(_REFUSAL)
    return Refused(
        number=number,
        cell=cell,
        retry_after_s=retry_after / _MS,
        state=reader.state(),
    )


@_packs(Granted, b"G")
def _pack_granted(message: Granted) -> bytes:
    grant = _GRANT.pack(
        message.number % _WRAP, message.upstream, _ms(message.predicted_s)
    )
    return _cell(message.cell) + grant + _state(message.state)


@_reads(b"G")
def _read_granted(reader: _Reader) -> Granted:
    cell, (number, upstream, predicted) = reader.cell(), reader.take(_GRANT)
    return Granted(
        number=number,
        cell=cell,
        upstream=upstream,
        predicted_s=predicted / _MS,
        state=reader.state(),
    )


@_packs(Notes, b"E")
def _pack_notes(message: Notes) -> bytes:
    notes = [
        _NOTE.pack(
            note.number % _WRAP,
            note.kind,
            0 if note.pace_s is None else max(min(round(note.pace_s * _US), _U32), 1),
        )
        for note in message.notes
    ]
    head = _NUMBER.pack(message.node) + _COUNT.pack(len(notes))
    return _cell(message.cell) + head + b"".join(notes)


@_reads(b"E")
def _read_notes(reader: _Reader) -> Notes:
    cell, (node,), (count,) = (
        reader.cell(),
        reader.take(_NUMBER),
        reader.take(_COUNT),
    )
    notes = tuple(
        Note(number=number, kind=NoteKind(kind), pace_s=pace / _US if pace else None)
        for number, kind, pace in reader.many(_NOTE, count)
    )
    return Notes(node=node, cell=cell, notes=notes)


@_packs(Holdings, b"H")
def _pack_holdings(message: Holdings) -> bytes:
    held = [
        _HELD.pack(one.number % _WRAP, one.upstream, min(one.unread, _U16))
        for one in message.held
    ]
    waiting = [_NUMBER.pack(number % _WRAP) for number in message.waiting]
    head = _NUMBER.pack(message.node) + _COUNTS.pack(
        len(held), len(waiting), message.whole
    )
    return _cell(message.cell) + head + b"".join(held) + b"".join(waiting)


@_reads(b"H")
def _read_holdings(reader: _Reader) -> Holdings:
    cell, (node,), (held, waiting, whole) = (
        reader.cell(),
        reader.take(_NUMBER),
        reader.take(_COUNTS),
    )
    places = tuple(
        HeldPlace(number=number, upstream=upstream, unread=unread)
        for number, upstream, unread in reader.many(_HELD, held)
    )
    return Holdings(
        node=node,
        cell=cell,
        held=places,
        waiting=reader.numbers(waiting),
        whole=bool(whole),
    )


@_packs(HoldingsTaken, b"K")
def _pack_holdings_taken(message: HoldingsTaken) -> bytes:
    unknown = [_NUMBER.pack(number % _WRAP) for number in message.unknown]
    head = _cell(message.cell) + _state(message.state)
    return head + _COUNT.pack(len(unknown)) + b"".join(unknown)


@_reads(b"K")
def _read_holdings_taken(reader: _Reader) -> HoldingsTaken:
    cell, state, (count,) = reader.cell(), reader.state(), reader.take(_COUNT)
    return HoldingsTaken(cell=cell, unknown=reader.numbers(count), state=state)


@_packs(UsedReport, b"U")
def _pack_used_report(message: UsedReport) -> bytes:
    head = _REPORT.pack(message.node, message.number % _WRAP)
    return head + _used(message.used)


@_reads(b"U")
def _read_used_report(reader: _Reader) -> UsedReport:
    node, number = reader.take(_REPORT)
    return UsedReport(node=node, number=number, used=reader.used())


@_packs(Totals, b"T")
def _pack_totals(message: Totals) -> bytes:
    head = _TOTALS.pack(message.home, message.number % _WRAP, min(message.heard, _U16))
    return head + _used(message.used)


@_reads(b"T")
def _read_totals(reader: _Reader) -> Totals:
    home, number, heard = reader.take(_TOTALS)
    return Totals(home=home, number=number, heard=heard, used=reader.used())


@_packs(Findings, b"F")
def _pack_findings(message: Findings) -> bytes:
    packed = [
        _FINDING.pack(
            one.digest,
            one.kind,
            one.upstream,
            min(one.weight, _U8),
            min(one.times, _U8),
            _ms(one.left_s, _U32),
        )
        for one in message.findings
    ]
    return _COUNT.pack(len(packed)) + b"".join(packed)


@_reads(b"F")
def _read_findings(reader: _Reader) -> Findings:
    (count,) = reader.take(_COUNT)
    return Findings(
        findings=tuple(
            Finding(
                digest=digest,
                kind=FindingKind(kind),
                upstream=upstream,
                weight=weight,
                times=times,
                left_s=left / _MS,
            )
            for digest, kind, upstream, weight, times, left in reader.many(
                _FINDING, count
            )
        )
    )
