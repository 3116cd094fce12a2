"""Binary encoding of the messages between gateways, with fixed-size fields.

The product's other processes use ``pycapnp`` for their messages. It would add 14 MB to
a gateway's memory, more than half of what everything else takes, and these few fields
need only the standard library.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from baobabwing.exceptions import WireError
from baobabwing.gateway.decisions.cell_queue import SlotReservation, UpdateKind
from baobabwing.gateway.decisions.quarantine import CrashReport, CrashReportKind
from baobabwing.gateway.decisions.rollouts import RolloutPhase
from baobabwing.gateway.decisions.stream_origins import (
    OriginAnswer,
    SoftwareView,
    StreamOrigin,
)
from baobabwing.gateway.decisions.version_evidence import (
    TIME_CLASSES,
    Aspect,
    SeriesCounts,
    SeriesKey,
)
from baobabwing.gateway.placement.messages import (
    CellKey,
    CellLoad,
    CrashReports,
    Granted,
    Message,
    OrganisationUsage,
    Queued,
    RateLimitNotice,
    Refused,
    RequestUpdate,
    RequestUpdates,
    ReservationReport,
    ReservationReportAck,
    RolloutEvidence,
    RolloutReport,
    SendPermitAnswer,
    SendPermitRequest,
    SlotRequest,
    StreamQuery,
    StreamQueryAnswer,
    StreamRecord,
    StreamRecords,
    UpstreamRefused,
    UsageReport,
    UsageTotals,
)

__all__ = [
    "Reader",
    "decode",
    "decoder_for",
    "encode",
    "encoder_for",
    "name_crc",
    "pack_crash_reports",
    "to_ms",
    "wrapped_difference",
]

_MS_PER_S = 1000.0
_US_PER_S = 1_000_000.0
_TENTHS_MS_PER_S = 10_000.0
_TENTHS_PER_S = 10.0
_MODULUS = 1 << 32
_MAX_U8, _MAX_U16, _MAX_U32 = 0xFF, 0xFFFF, 0xFFFFFFFF
_MAX_I16 = 0x7FFF
# Cell: pool, index.
_CELL = struct.Struct("!IB")
# Cell state: queued, free, turnover in tenths of a ms.
_STATE = struct.Struct("!HHH")
# Slot request: node, number, rank, route rank; ms waited, to the objective (negative
# once missed), to the deadline and to the end; prompt tokens, output tokens, flags,
# moves from, count of excluded.
_SLOT_REQUEST = struct.Struct("!IIBBHhHIIHBIB")
_COMMITTED = 0x01
_HAS_RUN = 0x02
# The message ends with the software of its stream. Builds without this flag drop such
# a message: they would place the stream at any version.
_HAS_SOFTWARE = 0x04
# The last two of the excluded incarnations are the zone and the expected bytes. Builds
# without this flag refuse bytes after the last field, and take these two for
# incarnations that are not in their list.
_HAS_ZONE = 0x08
_ZONE_NUMBERS = 2
_NUMBER = struct.Struct("!I")
# Grant: number, upstream, predicted ms below a flag. Builds that don't know the flag
# take it for another 33 s.
_GRANT = struct.Struct("!IIH")
_HAS_PERMIT = 0x8000
_MAX_PREDICTED_MS = _HAS_PERMIT - 1
# Refusal: number, ms until a retry.
_REFUSAL = struct.Struct("!IH")
# Request update: number, kind, event interval in us or 0 for none.
_UPDATE = struct.Struct("!IBI")
# Reservation: number, upstream, unread prompt tokens.
_RESERVATION = struct.Struct("!IIH")
_COUNT = struct.Struct("!H")
# Reservation report: counts of reservations and of waiting requests, complete.
_REPORT_COUNTS = struct.Struct("!HHB")
# Usage totals: sender, number, reporting nodes.
_TOTALS_HEAD = struct.Struct("!IIH")
# Usage report: node, number.
_USAGE_REPORT_HEAD = struct.Struct("!II")
# Usage: organisation, units, overage, requested, recent.
_USAGE = struct.Struct("!IIIII")
# Crash record: digest, kind, upstream, weight, times, ms left.
_CRASH_RECORD = struct.Struct("!QBIBBI")
# Evidence of a rollout: node, pool, order.
_EVIDENCE_HEAD = struct.Struct("!IIQ")
# Series of it: route, aspect, whether it is the new version's, failures, times.
_SERIES = struct.Struct(f"!IB?H{TIME_CLASSES}H")
# Report on a rollout: pool, order, phase, age in ms.
_ROLLOUT_REPORT = struct.Struct("!IQBI")

# Refusal by an upstream: pool, upstream, limit on its refusals a second.
_UPSTREAM_REFUSED = struct.Struct("!IIf")
# Rate limit of an upstream: pool, upstream, whether there is one, requests a second.
_RATE_LIMIT_NOTICE = struct.Struct("!II?f")
# Request for a permit: number, pool, upstream, limit, ms that it can wait.
_PERMIT_REQUEST = struct.Struct("!IIIfH")
# Answer: number, whether granted, ms until the send or the next request.
_PERMIT_ANSWER = struct.Struct("!I?H")
# Record of a stream: stream, pool, software, tenths of a second left.
_STREAM_RECORD = struct.Struct("!QIIH")
# Query for a stream: number, pool, stream.
_STREAM_QUERY = struct.Struct("!IIQ")
# Answer: number, pool and software of the record or 0; versions of the pool, sole one,
# tenths of a second for which it was watched.
_STREAM_QUERY_ANSWER = struct.Struct("!IIIBIH")

_ENCODERS: dict[type, tuple[bytes, Callable[[Any], bytes]]] = {}
_DECODERS: dict[bytes, Callable[[Reader], Message]] = {}


def name_crc(text: str) -> int:
    """Return the CRC-32 of a name, which stands for it in messages."""
    return zlib.crc32(text.encode())


def wrapped_difference(now: int, before: int) -> int:
    """Return the signed difference of two values of a counter that wraps at 2**32."""
    return (now - before + _MODULUS // 2) % _MODULUS - _MODULUS // 2


def encode(message: Message) -> bytes:
    """Encode a message.

    Request numbers and counters wrap around at 2**32; other values beyond the range of
    their fields are clamped.
    """
    tag, pack = _ENCODERS[type(message)]
    return tag + pack(message)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    :raises WireError: if it is not a valid message.
    """
    try:
        reader = Reader(data)
        message = _DECODERS[data[:1]](reader)
        reader.end()
        return message
    except (KeyError, struct.error, ValueError) as exc:
        raise WireError(f"no message: {exc!r}", step="decode") from exc


def encoder_for(message_type: type, tag: bytes) -> Callable:
    """Register the encoder of a message type, and the type's leading byte."""

    def register(pack: Callable[[Any], bytes]) -> Callable[[Any], bytes]:
        _ENCODERS[message_type] = (tag, pack)
        return pack

    return register


def decoder_for(tag: bytes) -> Callable:
    """Register the decoder of the messages with a leading byte."""

    def register(read: Callable[[Reader], Message]) -> Callable[[Reader], Message]:
        _DECODERS[tag] = read
        return read

    return register


class Reader:
    """Reads the fields of a datagram in order, after its type byte."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 1

    def unpack(self, fields: struct.Struct) -> tuple:
        """Return the next values of a fixed format."""
        values = fields.unpack_from(self._data, self._offset)
        self._offset += fields.size
        return values

    def unpack_many(self, fields: struct.Struct, count: int) -> list[tuple]:
        """Return the values of several records; fewer than these are an error."""
        size = fields.size * count
        chunk = self._data[self._offset : self._offset + size]
        if len(chunk) != size:
            raise ValueError("cut")
        self._offset += size
        return list(fields.iter_unpack(chunk))

    def cell(self) -> CellKey:
        """Return a cell's key."""
        pool, index = self.unpack(_CELL)
        return CellKey(pool=pool, index=index)

    def state(self) -> CellLoad:
        """Return a cell's load."""
        queued, free, turnover = self.unpack(_STATE)
        return CellLoad(
            queued=queued, free=free, turnover_s=turnover / _TENTHS_MS_PER_S
        )

    def numbers(self, count: int) -> tuple[int, ...]:
        """Return some numbers."""
        return tuple(number for (number,) in self.unpack_many(_NUMBER, count))

    def used(self) -> tuple[OrganisationUsage, ...]:
        """Return the usage of organisations, with their count first."""
        (count,) = self.unpack(_COUNT)
        return tuple(
            OrganisationUsage(
                organisation=name,
                units=units,
                overage=overage,
                requested=requested,
                recent=recent,
            )
            for name, units, overage, requested, recent in self.unpack_many(
                _USAGE, count
            )
        )

    def crash_reports(self) -> tuple[CrashReport, ...]:
        """Return crash reports, with their count first."""
        (count,) = self.unpack(_COUNT)
        return tuple(
            CrashReport(
                digest=digest,
                kind=CrashReportKind(kind),
                upstream=upstream,
                weight=weight,
                times=times,
                left_s=left / _MS_PER_S,
            )
            for digest, kind, upstream, weight, times, left in self.unpack_many(
                _CRASH_RECORD, count
            )
        )

    def end(self) -> None:
        """Check that nothing is left.

        :raises ValueError: if bytes follow the last field.
        """
        if self._offset != len(self._data):
            raise ValueError("bytes after the last field")


def _pack_cell(key: CellKey) -> bytes:
    return _CELL.pack(key.pool, key.index)


def _pack_state(state: CellLoad) -> bytes:
    return _STATE.pack(
        min(state.queued, _MAX_U16),
        min(state.free, _MAX_U16),
        min(round(state.turnover_s * _TENTHS_MS_PER_S), _MAX_U16),
    )


def to_ms(seconds: float, max_value: int = _MAX_U16) -> int:
    """Return a time in whole milliseconds, clamped to the range of its field."""
    return max(0, min(round(seconds * _MS_PER_S), max_value))


def _pack_usage(used: tuple[OrganisationUsage, ...]) -> bytes:
    packed = [
        _USAGE.pack(
            usage.organisation,
            usage.units % _MODULUS,
            usage.overage % _MODULUS,
            usage.requested % _MODULUS,
            min(usage.recent, _MAX_U32),
        )
        for usage in used
    ]
    return _COUNT.pack(len(packed)) + b"".join(packed)


@encoder_for(SlotRequest, b"A")
def _pack_slot_request(message: SlotRequest) -> bytes:
    objective = round(message.objective_s * _MS_PER_S)
    excluded = message.excluded[:_MAX_U8]
    if message.zone:
        expected_bytes = min(message.expected_bytes, _MAX_U32)
        excluded = excluded[: _MAX_U8 - _ZONE_NUMBERS]
        excluded += (message.zone, expected_bytes)
    head = _SLOT_REQUEST.pack(
        message.node,
        message.number % _MODULUS,
        min(message.rank, _MAX_U8),
        min(message.route_rank, _MAX_U8),
        to_ms(message.waited_s),
        max(-_MAX_I16, min(objective, _MAX_I16)),
        to_ms(message.deadline_s),
        to_ms(message.ends_s, _MAX_U32),
        min(message.prompt_tokens, _MAX_U32),
        min(message.expected_out, _MAX_U16),
        _COMMITTED * message.committed
        | _HAS_RUN * message.has_run
        | _HAS_SOFTWARE * bool(message.software)
        | _HAS_ZONE * bool(message.zone),
        message.moves_from,
        len(excluded),
    )
    numbers = b"".join(_NUMBER.pack(upstream) for upstream in excluded)
    software = _NUMBER.pack(message.software) if message.software else b""
    return _pack_cell(message.cell) + head + numbers + software


@decoder_for(b"A")
def _read_slot_request(reader: Reader) -> SlotRequest:
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
        flags,
        moves_from,
        count,
    ) = reader.unpack(_SLOT_REQUEST)
    excluded = reader.numbers(count)
    zone = expected_bytes = 0
    if flags & _HAS_ZONE:
        *excluded, zone, expected_bytes = excluded
    return SlotRequest(
        node=node,
        number=number,
        cell=cell,
        rank=rank,
        route_rank=route_rank,
        waited_s=waited / _MS_PER_S,
        objective_s=objective / _MS_PER_S,
        deadline_s=deadline / _MS_PER_S,
        ends_s=ends / _MS_PER_S,
        prompt_tokens=prompt,
        expected_out=out,
        committed=bool(flags & _COMMITTED),
        has_run=bool(flags & _HAS_RUN),
        excluded=tuple(excluded),
        moves_from=moves_from,
        software=reader.unpack(_NUMBER)[0] if flags & _HAS_SOFTWARE else 0,
        zone=zone,
        expected_bytes=expected_bytes,
    )


@encoder_for(Queued, b"Q")
def _pack_queued(message: Queued) -> bytes:
    number = _NUMBER.pack(message.number % _MODULUS)
    return _pack_cell(message.cell) + number + _pack_state(message.state)


@decoder_for(b"Q")
def _read_queued(reader: Reader) -> Queued:
    cell, (number,) = reader.cell(), reader.unpack(_NUMBER)
    return Queued(number=number, cell=cell, state=reader.state())


@encoder_for(Refused, b"N")
def _pack_refused(message: Refused) -> bytes:
    refusal = _REFUSAL.pack(message.number % _MODULUS, to_ms(message.retry_after_s))
    return _pack_cell(message.cell) + refusal + _pack_state(message.state)


@decoder_for(b"N")
def _read_refused(reader: Reader) -> Refused:
    cell, (number, retry_after) = reader.cell(), reader.unpack(_REFUSAL)
    return Refused(
        number=number,
        cell=cell,
        retry_after_s=retry_after / _MS_PER_S,
        state=reader.state(),
    )


@encoder_for(Granted, b"G")
def _pack_granted(message: Granted) -> bytes:
    predicted = to_ms(message.predicted_s, _MAX_PREDICTED_MS)
    grant = _GRANT.pack(
        message.number % _MODULUS,
        message.upstream,
        predicted | _HAS_PERMIT * message.has_permit,
    )
    return _pack_cell(message.cell) + grant + _pack_state(message.state)


@decoder_for(b"G")
def _read_granted(reader: Reader) -> Granted:
    cell, (number, upstream, predicted) = reader.cell(), reader.unpack(_GRANT)
    return Granted(
        number=number,
        cell=cell,
        upstream=upstream,
        predicted_s=(predicted & _MAX_PREDICTED_MS) / _MS_PER_S,
        has_permit=bool(predicted & _HAS_PERMIT),
        state=reader.state(),
    )


@encoder_for(RequestUpdates, b"E")
def _pack_request_updates(message: RequestUpdates) -> bytes:
    updates = [
        _UPDATE.pack(
            update.number % _MODULUS,
            update.kind,
            0
            if update.interval_s is None
            else max(min(round(update.interval_s * _US_PER_S), _MAX_U32), 1),
        )
        for update in message.updates
    ]
    head = _NUMBER.pack(message.node) + _COUNT.pack(len(updates))
    return _pack_cell(message.cell) + head + b"".join(updates)


@decoder_for(b"E")
def _read_request_updates(reader: Reader) -> RequestUpdates:
    cell, (node,), (count,) = (
        reader.cell(),
        reader.unpack(_NUMBER),
        reader.unpack(_COUNT),
    )
    updates = tuple(
        RequestUpdate(
            number=number,
            kind=UpdateKind(kind),
            interval_s=interval / _US_PER_S if interval else None,
        )
        for number, kind, interval in reader.unpack_many(_UPDATE, count)
    )
    return RequestUpdates(node=node, cell=cell, updates=updates)


@encoder_for(ReservationReport, b"H")
def _pack_reservation_report(message: ReservationReport) -> bytes:
    reserved = [
        _RESERVATION.pack(
            reservation.number % _MODULUS,
            reservation.upstream,
            min(reservation.unread_tokens, _MAX_U16),
        )
        for reservation in message.reservations
    ]
    waiting = [_NUMBER.pack(number % _MODULUS) for number in message.waiting]
    head = _NUMBER.pack(message.node) + _REPORT_COUNTS.pack(
        len(reserved), len(waiting), message.complete
    )
    return _pack_cell(message.cell) + head + b"".join(reserved) + b"".join(waiting)


@decoder_for(b"H")
def _read_reservation_report(reader: Reader) -> ReservationReport:
    cell, (node,), (reserved, waiting, complete) = (
        reader.cell(),
        reader.unpack(_NUMBER),
        reader.unpack(_REPORT_COUNTS),
    )
    reservations = tuple(
        SlotReservation(number=number, upstream=upstream, unread_tokens=unread)
        for number, upstream, unread in reader.unpack_many(_RESERVATION, reserved)
    )
    return ReservationReport(
        node=node,
        cell=cell,
        reservations=reservations,
        waiting=reader.numbers(waiting),
        complete=bool(complete),
    )


@encoder_for(ReservationReportAck, b"K")
def _pack_reservation_report_ack(message: ReservationReportAck) -> bytes:
    unknown = [_NUMBER.pack(number % _MODULUS) for number in message.unknown]
    head = _pack_cell(message.cell) + _pack_state(message.state)
    return head + _COUNT.pack(len(unknown)) + b"".join(unknown)


@decoder_for(b"K")
def _read_reservation_report_ack(reader: Reader) -> ReservationReportAck:
    cell, state, (count,) = reader.cell(), reader.state(), reader.unpack(_COUNT)
    return ReservationReportAck(cell=cell, unknown=reader.numbers(count), state=state)


@encoder_for(UsageReport, b"U")
def _pack_usage_report(message: UsageReport) -> bytes:
    head = _USAGE_REPORT_HEAD.pack(message.node, message.number % _MODULUS)
    return head + _pack_usage(message.used)


@decoder_for(b"U")
def _read_usage_report(reader: Reader) -> UsageReport:
    node, number = reader.unpack(_USAGE_REPORT_HEAD)
    return UsageReport(node=node, number=number, used=reader.used())


@encoder_for(UsageTotals, b"T")
def _pack_totals(message: UsageTotals) -> bytes:
    head = _TOTALS_HEAD.pack(
        message.home, message.number % _MODULUS, min(message.heard, _MAX_U16)
    )
    return head + _pack_usage(message.used)


@decoder_for(b"T")
def _read_totals(reader: Reader) -> UsageTotals:
    home, number, heard = reader.unpack(_TOTALS_HEAD)
    return UsageTotals(home=home, number=number, heard=heard, used=reader.used())


@encoder_for(CrashReports, b"F")
def _pack_crash_reports(message: CrashReports) -> bytes:
    return pack_crash_reports(message.findings)


def pack_crash_reports(reports: Iterable[CrashReport]) -> bytes:
    """Encode crash reports, with their count first."""
    packed = [
        _CRASH_RECORD.pack(
            finding.digest,
            finding.kind,
            finding.upstream,
            min(finding.weight, _MAX_U8),
            min(finding.times, _MAX_U8),
            to_ms(finding.left_s, _MAX_U32),
        )
        for finding in reports
    ]
    return _COUNT.pack(len(packed)) + b"".join(packed)


@decoder_for(b"F")
def _read_crash_reports(reader: Reader) -> CrashReports:
    return CrashReports(findings=reader.crash_reports())


@encoder_for(RolloutEvidence, b"V")
def _pack_rollout_evidence(message: RolloutEvidence) -> bytes:
    packed = [
        _SERIES.pack(
            series.key.route,
            series.key.aspect,
            series.key.new,
            *(count & _MAX_U16 for count in (series.failed, *series.times)),
        )
        for series in message.series
    ]
    head = _EVIDENCE_HEAD.pack(message.node, message.pool, message.order)
    return head + _COUNT.pack(len(packed)) + b"".join(packed)


@decoder_for(b"V")
def _read_rollout_evidence(reader: Reader) -> RolloutEvidence:
    (node, pool, order), (count,) = reader.unpack(_EVIDENCE_HEAD), reader.unpack(_COUNT)
    return RolloutEvidence(
        node=node,
        pool=pool,
        order=order,
        series=tuple(
            SeriesCounts(
                key=SeriesKey(route=route, aspect=Aspect(aspect), new=new),
                failed=failed,
                times=tuple(times),
            )
            for route, aspect, new, failed, *times in reader.unpack_many(_SERIES, count)
        ),
    )


@encoder_for(RolloutReport, b"O")
def _pack_rollout_report(message: RolloutReport) -> bytes:
    return _ROLLOUT_REPORT.pack(
        message.pool, message.order, message.phase, to_ms(message.age_s, _MAX_U32)
    )


@decoder_for(b"O")
def _read_rollout_report(reader: Reader) -> RolloutReport:
    pool, order, phase, age = reader.unpack(_ROLLOUT_REPORT)
    return RolloutReport(
        pool=pool, order=order, phase=RolloutPhase(phase), age_s=age / _MS_PER_S
    )


@encoder_for(UpstreamRefused, b"L")
def _pack_upstream_refused(message: UpstreamRefused) -> bytes:
    return _UPSTREAM_REFUSED.pack(message.pool, message.upstream, message.per_s)


@decoder_for(b"L")
def _read_upstream_refused(reader: Reader) -> UpstreamRefused:
    pool, upstream, per_s = reader.unpack(_UPSTREAM_REFUSED)
    if not 0 <= per_s < math.inf:
        raise ValueError(f"limit of {per_s} refusals a second")
    return UpstreamRefused(pool=pool, upstream=upstream, per_s=per_s)


@encoder_for(RateLimitNotice, b"l")
def _pack_rate_limit_notice(message: RateLimitNotice) -> bytes:
    limited = message.per_s is not None
    per_s = message.per_s if limited else 0.0
    return _RATE_LIMIT_NOTICE.pack(message.pool, message.upstream, limited, per_s)


@decoder_for(b"l")
def _read_rate_limit_notice(reader: Reader) -> RateLimitNotice:
    pool, upstream, limited, per_s = reader.unpack(_RATE_LIMIT_NOTICE)
    per_s = _checked_rate(per_s) if limited else None
    return RateLimitNotice(pool=pool, upstream=upstream, per_s=per_s)


@encoder_for(SendPermitRequest, b"p")
def _pack_permit_request(message: SendPermitRequest) -> bytes:
    return _PERMIT_REQUEST.pack(
        message.number % _MODULUS,
        message.pool,
        message.upstream,
        message.per_s,
        to_ms(message.wait_s),
    )


@decoder_for(b"p")
def _read_permit_request(reader: Reader) -> SendPermitRequest:
    number, pool, upstream, per_s, wait_ms = reader.unpack(_PERMIT_REQUEST)
    return SendPermitRequest(
        number=number,
        pool=pool,
        upstream=upstream,
        per_s=_checked_rate(per_s),
        wait_s=wait_ms / _MS_PER_S,
    )


@encoder_for(SendPermitAnswer, b"a")
def _pack_permit_answer(message: SendPermitAnswer) -> bytes:
    return _PERMIT_ANSWER.pack(
        message.number % _MODULUS, message.granted, to_ms(message.seconds)
    )


@decoder_for(b"a")
def _read_permit_answer(reader: Reader) -> SendPermitAnswer:
    number, granted, ms = reader.unpack(_PERMIT_ANSWER)
    return SendPermitAnswer(number=number, granted=granted, seconds=ms / _MS_PER_S)


def _checked_rate(per_s: float) -> float:
    if not 0 <= per_s < math.inf:
        raise ValueError(f"limit of {per_s} requests a second")
    return per_s


@encoder_for(StreamRecords, b"S")
def _pack_stream_records(message: StreamRecords) -> bytes:
    packed = [
        _STREAM_RECORD.pack(
            record.stream,
            record.origin.pool,
            record.origin.software,
            max(0, min(math.ceil(record.left_s * _TENTHS_PER_S), _MAX_U16)),
        )
        for record in message.records
    ]
    return _COUNT.pack(len(packed)) + b"".join(packed)


@decoder_for(b"S")
def _read_stream_records(reader: Reader) -> StreamRecords:
    (count,) = reader.unpack(_COUNT)
    return StreamRecords(
        records=tuple(
            StreamRecord(
                stream=stream,
                origin=StreamOrigin(pool=pool, software=software),
                left_s=left / _TENTHS_PER_S,
            )
            for stream, pool, software, left in reader.unpack_many(
                _STREAM_RECORD, count
            )
        )
    )


@encoder_for(StreamQuery, b"W")
def _pack_stream_query(message: StreamQuery) -> bytes:
    return _STREAM_QUERY.pack(message.number % _MODULUS, message.pool, message.stream)


@decoder_for(b"W")
def _read_stream_query(reader: Reader) -> StreamQuery:
    number, pool, stream = reader.unpack(_STREAM_QUERY)
    return StreamQuery(number=number, pool=pool, stream=stream)


@encoder_for(StreamQueryAnswer, b"X")
def _pack_stream_query_answer(message: StreamQueryAnswer) -> bytes:
    answer = message.answer
    origin = answer.origin or StreamOrigin(pool=0, software=0)
    return _STREAM_QUERY_ANSWER.pack(
        message.number % _MODULUS,
        origin.pool,
        origin.software,
        min(answer.seen.versions, _MAX_U8),
        answer.seen.sole,
        int(min(answer.seen.watched_s * _TENTHS_PER_S, _MAX_U16)),
    )


@decoder_for(b"X")
def _read_stream_query_answer(reader: Reader) -> StreamQueryAnswer:
    number, pool, software, versions, sole, watched = reader.unpack(
        _STREAM_QUERY_ANSWER
    )
    return StreamQueryAnswer(
        number=number,
        answer=OriginAnswer(
            origin=StreamOrigin(pool=pool, software=software) if software else None,
            seen=SoftwareView(
                versions=versions, sole=sole, watched_s=watched / _TENTHS_PER_S
            ),
        ),
    )
