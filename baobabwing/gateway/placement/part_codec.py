"""Binary encoding of the messages about parts of prompts."""

from __future__ import annotations

import struct
from collections.abc import Iterable

from baobabwing.gateway.placement.codec import (
    Reader,
    decoder_for,
    encoder_for,
    pack_crash_reports,
    to_ms,
)
from baobabwing.gateway.placement.messages import (
    CrashedRequestReport,
    CrashedRequestReports,
    PartInquiry,
    PartSurvival,
    PartSurvivals,
    PartTrialAnswer,
    PartTrialRequest,
    PartVerdicts,
)

__all__: list[str] = []

_MS_PER_S = 1000.0
_MODULUS = 1 << 32
_MAX_U8, _MAX_U32 = 0xFF, 0xFFFFFFFF
_COUNT = struct.Struct("!H")
_PART = struct.Struct("!Q")
# Crashed request: digest, upstream, certain, ms that it ran, ms since the crash, count
# of parts.
_CRASHED_REQUEST = struct.Struct("!QI?IIB")
# Survival: part, ms since the answer began.
_SURVIVAL = struct.Struct("!QI")
# Request for a trial: number, part.
_TRIAL_REQUEST = struct.Struct("!IQ")
# Answer: number, whether granted.
_TRIAL_ANSWER = struct.Struct("!I?")


def _pack_parts(parts: Iterable[int]) -> bytes:
    return b"".join(_PART.pack(part) for part in parts)


def _read_parts(reader: Reader, count: int) -> tuple[int, ...]:
    return tuple(part for (part,) in reader.unpack_many(_PART, count))


@encoder_for(CrashedRequestReports, b"c")
def _pack_crashed_requests(message: CrashedRequestReports) -> bytes:
    packed = [_COUNT.pack(len(message.requests))]
    for request in message.requests:
        parts = request.parts[:_MAX_U8]
        head = _CRASHED_REQUEST.pack(
            request.digest,
            request.upstream,
            request.certain,
            to_ms(request.ran_s, _MAX_U32),
            to_ms(request.age_s, _MAX_U32),
            len(parts),
        )
        packed += [head, _pack_parts(parts)]
    return b"".join(packed)


@decoder_for(b"c")
def _read_crashed_requests(reader: Reader) -> CrashedRequestReports:
    (count,) = reader.unpack(_COUNT)
    return CrashedRequestReports(
        requests=tuple(_read_crashed_request(reader) for _ in range(count))
    )


def _read_crashed_request(reader: Reader) -> CrashedRequestReport:
    digest, upstream, certain, ran_ms, age_ms, count = reader.unpack(_CRASHED_REQUEST)
    return CrashedRequestReport(
        digest=digest,
        upstream=upstream,
        certain=certain,
        ran_s=ran_ms / _MS_PER_S,
        age_s=age_ms / _MS_PER_S,
        parts=_read_parts(reader, count),
    )


@encoder_for(PartInquiry, b"q")
def _pack_inquiry(message: PartInquiry) -> bytes:
    return _COUNT.pack(len(message.parts)) + _pack_parts(message.parts)


@decoder_for(b"q")
def _read_inquiry(reader: Reader) -> PartInquiry:
    (count,) = reader.unpack(_COUNT)
    return PartInquiry(parts=_read_parts(reader, count))


@encoder_for(PartSurvivals, b"s")
def _pack_survivals(message: PartSurvivals) -> bytes:
    packed = [
        _SURVIVAL.pack(survival.part, to_ms(survival.age_s, _MAX_U32))
        for survival in message.survivals
    ]
    return _COUNT.pack(len(packed)) + b"".join(packed)


@decoder_for(b"s")
def _read_survivals(reader: Reader) -> PartSurvivals:
    (count,) = reader.unpack(_COUNT)
    return PartSurvivals(
        survivals=tuple(
            PartSurvival(part=part, age_s=age_ms / _MS_PER_S)
            for part, age_ms in reader.unpack_many(_SURVIVAL, count)
        )
    )


@encoder_for(PartVerdicts, b"v")
def _pack_verdicts(message: PartVerdicts) -> bytes:
    return pack_crash_reports(message.verdicts)


@decoder_for(b"v")
def _read_verdicts(reader: Reader) -> PartVerdicts:
    return PartVerdicts(verdicts=reader.crash_reports())


@encoder_for(PartTrialRequest, b"t")
def _pack_trial_request(message: PartTrialRequest) -> bytes:
    return _TRIAL_REQUEST.pack(message.number % _MODULUS, message.part)


@decoder_for(b"t")
def _read_trial_request(reader: Reader) -> PartTrialRequest:
    number, part = reader.unpack(_TRIAL_REQUEST)
    return PartTrialRequest(number=number, part=part)


@encoder_for(PartTrialAnswer, b"y")
def _pack_trial_answer(message: PartTrialAnswer) -> bytes:
    return _TRIAL_ANSWER.pack(message.number % _MODULUS, message.granted)


@decoder_for(b"y")
def _read_trial_answer(reader: Reader) -> PartTrialAnswer:
    number, granted = reader.unpack(_TRIAL_ANSWER)
    return PartTrialAnswer(number=number, granted=granted)
