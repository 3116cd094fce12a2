"""Encoding of messages between gateways, truncated and invalid data, and counters."""

import contextlib
import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import baobabwing.gateway.placement.part_codec  # noqa: F401  (registers its messages)
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
from baobabwing.gateway.placement.codec import decode, encode, wrapped_difference
from baobabwing.gateway.placement.messages import (
    CellKey,
    CellLoad,
    CrashedRequestReport,
    CrashedRequestReports,
    CrashReports,
    Granted,
    OrganisationUsage,
    PartInquiry,
    PartSurvival,
    PartSurvivals,
    PartTrialAnswer,
    PartTrialRequest,
    PartVerdicts,
    Queued,
    Refused,
    RequestUpdate,
    RequestUpdates,
    ReservationReport,
    ReservationReportAck,
    RolloutEvidence,
    RolloutReport,
    SlotRequest,
    StreamQuery,
    StreamQueryAnswer,
    StreamRecord,
    StreamRecords,
    UpstreamRefused,
    UsageReport,
    UsageTotals,
)

ORIGIN = StreamOrigin(pool=3, software=2**32 - 1)
CELL = CellKey(pool=2**32 - 1, index=3)
STATE = CellLoad(queued=12, free=0, turnover_s=0.0125)
SLOT_REQUEST = SlotRequest(
    node=2**32 - 1,
    number=7,
    cell=CELL,
    rank=1,
    route_rank=2,
    waited_s=0.25,
    objective_s=-1.5,
    deadline_s=3.0,
    ends_s=15.0,
    prompt_tokens=2890,
    expected_out=120,
    committed=True,
    has_run=True,
    excluded=(5, 6),
    moves_from=9,
)
USED = (OrganisationUsage(organisation=1, units=2, overage=2**32 - 1, requested=9),)
EXAMPLES = [
    SLOT_REQUEST,
    dataclasses.replace(SLOT_REQUEST, committed=False),
    dataclasses.replace(SLOT_REQUEST, has_run=False),
    dataclasses.replace(SLOT_REQUEST, software=2**32 - 1),
    dataclasses.replace(SLOT_REQUEST, zone=2**32 - 1, expected_bytes=7_000, software=3),
    Queued(number=1, cell=CELL, state=STATE),
    Granted(number=1, cell=CELL, upstream=8, predicted_s=0.125, state=STATE),
    Granted(
        number=1,
        cell=CELL,
        upstream=8,
        predicted_s=0.125,
        has_permit=True,
        state=STATE,
    ),
    Refused(number=1, cell=CELL, retry_after_s=0.75, state=STATE),
    RequestUpdates(
        node=4,
        cell=CELL,
        updates=(
            RequestUpdate(number=1, kind=UpdateKind.FIRST),
            RequestUpdate(number=2, kind=UpdateKind.DONE, interval_s=0.02),
        ),
    ),
    ReservationReport(
        node=4,
        cell=CELL,
        reservations=(SlotReservation(number=1, upstream=2, unread_tokens=300),),
        waiting=(3, 4),
        complete=False,
    ),
    ReservationReportAck(cell=CELL, unknown=(3,), state=STATE),
    UsageReport(node=1, number=2, used=USED),
    UsageTotals(home=1, number=2, heard=72, used=USED),
    CrashReports(
        findings=(
            CrashReport(
                digest=2**64 - 1, kind=CrashReportKind.ENDED, upstream=7, weight=3
            ),
            CrashReport(digest=1, kind=CrashReportKind.HELD, times=2, left_s=3600.0),
            CrashReport(digest=0, kind=CrashReportKind.CLEARED),
        )
    ),
    CrashedRequestReports(
        requests=(
            CrashedRequestReport(
                digest=2**64 - 1,
                upstream=2**32 - 1,
                certain=True,
                ran_s=0.25,
                age_s=600.0,
                parts=(1, 2**64 - 1),
            ),
            CrashedRequestReport(
                digest=1, upstream=2, certain=False, ran_s=0.0, age_s=0.0, parts=()
            ),
        )
    ),
    PartInquiry(parts=(1, 2**64 - 1)),
    PartSurvivals(survivals=(PartSurvival(part=2**64 - 1, age_s=0.5),)),
    PartVerdicts(
        verdicts=(
            CrashReport(digest=1, kind=CrashReportKind.HELD, times=2, left_s=3600.0),
            CrashReport(digest=2, kind=CrashReportKind.CLEARED),
        )
    ),
    PartTrialRequest(number=7, part=2**64 - 1),
    PartTrialAnswer(number=7, granted=True),
    RolloutEvidence(
        node=2**32 - 1,
        pool=3,
        order=2**40,
        series=(
            SeriesCounts(
                key=SeriesKey(route=9, aspect=Aspect.INTERVAL, new=True),
                failed=2**16 - 1,
                times=tuple(range(TIME_CLASSES)),
            ),
        ),
    ),
    RolloutReport(pool=3, order=7, phase=RolloutPhase.ROLLED_BACK, age_s=12.5),
    UpstreamRefused(pool=3, upstream=2**32 - 1, per_s=7.5),
    StreamRecords(
        records=(StreamRecord(stream=2**64 - 1, origin=ORIGIN, left_s=15.5),)
    ),
    StreamQuery(number=2**32 - 1, pool=3, stream=2**64 - 1),
    StreamQueryAnswer(
        number=1,
        answer=OriginAnswer(
            origin=ORIGIN, seen=SoftwareView(versions=2, sole=0, watched_s=12.5)
        ),
    ),
    StreamQueryAnswer(
        number=1,
        answer=OriginAnswer(
            origin=None, seen=SoftwareView(versions=1, sole=8, watched_s=0.0)
        ),
    ),
]


@pytest.mark.parametrize(
    "message", EXAMPLES, ids=lambda message: type(message).__name__
)
def test_encode_decode_round_trip(message):
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "message", EXAMPLES, ids=lambda message: type(message).__name__
)
def test_truncated_messages_are_rejected(message):
    data = encode(message)
    for size in range(len(data)):
        with pytest.raises(WireError):
            decode(data[:size])
    with pytest.raises(WireError):
        decode(data + b"x")


@settings(max_examples=400, deadline=None, derandomize=True)
@given(tag=st.sampled_from(b"AQGNEHKUTFVOLSWX?"), payload=st.binary(max_size=120))
def test_random_bytes_are_decoded_or_rejected(tag, payload):
    with contextlib.suppress(WireError):
        decode(bytes([tag]) + payload)


def test_values_beyond_their_field_are_clamped():
    """A million output tokens and a wait of 115 days are clamped; the number wraps."""
    excessive_s = 10.0**7
    message = SlotRequest(
        node=1,
        number=2**40 + 3,
        cell=CELL,
        rank=999,
        route_rank=999,
        waited_s=excessive_s,
        objective_s=-excessive_s,
        deadline_s=excessive_s,
        ends_s=excessive_s,
        prompt_tokens=10**12,
        expected_out=10**6,
    )
    decoded = decode(encode(message))
    assert (decoded.number, decoded.rank, decoded.expected_out) == (3, 255, 65_535)
    assert decoded.ends_s >= 4_000_000


@pytest.mark.parametrize(
    ("now", "before", "difference"),
    [(10, 4, 6), (4, 10, -6), (3, 2**32 - 2, 5), (2**32 - 2, 3, -5)],
)
def test_wrapped_difference(now, before, difference):
    assert wrapped_difference(now, before) == difference


def test_slot_request_that_excludes_most_of_a_large_pool_is_sent():
    """The home may then grant one of the last; the node gives that slot back."""
    message = dataclasses.replace(SLOT_REQUEST, excluded=tuple(range(300)))
    assert decode(encode(message)).excluded == tuple(range(255))


def test_builds_that_know_no_versions_drop_requests_for_one():
    """An older home would place the stream at any version."""
    plain = encode(SLOT_REQUEST)
    bound = encode(dataclasses.replace(SLOT_REQUEST, software=5))
    assert len(bound) == len(plain) + 4
    without_flag = bytearray(bound)
    without_flag[: len(plain)] = plain
    with pytest.raises(WireError):
        decode(bytes(without_flag))


def test_builds_that_know_no_zones_read_requests_with_one():
    """They would drop bytes after the last field, and the request would be lost."""
    plain = encode(SLOT_REQUEST)
    zoned = bytearray(
        encode(dataclasses.replace(SLOT_REQUEST, zone=8, expected_bytes=9_000))
    )
    # The flags are followed by the engine it moves from, the count and the excluded.
    flags_at = len(plain) - 4 * len(SLOT_REQUEST.excluded) - 6
    zoned[flags_at] = plain[flags_at]
    assert decode(bytes(zoned)) == dataclasses.replace(
        SLOT_REQUEST, excluded=(*SLOT_REQUEST.excluded, 8, 9_000)
    )


def test_slot_request_with_a_zone_excludes_two_fewer():
    message = dataclasses.replace(
        SLOT_REQUEST, excluded=tuple(range(300)), zone=8, expected_bytes=2**40
    )
    decoded = decode(encode(message))
    assert decoded.excluded == tuple(range(253))
    assert (decoded.zone, decoded.expected_bytes) == (8, 2**32 - 1)


def test_slot_request_with_a_zone_but_no_numbers_is_refused():
    data = bytearray(encode(dataclasses.replace(SLOT_REQUEST, excluded=())))
    data[-6] |= 0x08
    with pytest.raises(WireError):
        decode(bytes(data))
