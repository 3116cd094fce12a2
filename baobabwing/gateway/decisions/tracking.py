"""State of one upstream as measured by a gateway: load, speed and failures."""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass

from baobabwing.gateway.decisions.refusal_limit import REFUSAL_WINDOW_S
from baobabwing.gateway.decisions.stream_origins import software_crc
from baobabwing.gateway.decisions.told_load import ToldLoad, UsualWork
from baobabwing.gateway.decisions.zone_choice import zone_crc
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

__all__ = [
    "FIRST_EVENT_S",
    "PER_SEQUENCE_S",
    "PREFILL_TOKENS_PER_S",
    "InFlightRequest",
    "UpstreamTrack",
]

# Baseline of the prediction: prompt tokens processed per second, and the time to the
# first token of an empty prompt, as of some current engines. The time that an upstream
# really takes is learned as a ratio to the baseline, from first events; the interval
# between events is learned separately.
PREFILL_TOKENS_PER_S = 39_300.0
FIRST_EVENT_S = 0.045
# Delay of a first event per sequence in the batch: 0.036 ms in each step of 6.3 ms, and
# the share of prefill that each sequence brings.
PER_SEQUENCE_S = 0.02
# Weight of a new sample: the average follows a change of speed within some ten events.
_ALPHA = 0.12
# Bound of measured ratios, and by its reciprocal of the slowness from below.
_MAX_RATIO = 20.0
# Factor by which older first events count less with each new one: the ratio rests on
# the last seven or so.
_FIRST_DECAY = 0.85
# Weight of the prior against measurements, in seconds of baseline prediction: about one
# long prompt.
_PRIOR_WEIGHT_S = 0.2
# Moving average of failures above which an upstream is ejected, and the weight of a new
# sample.
_EJECT_SHARE = 0.35
_FAIL_ALPHA = 0.25
# The first ejection, and the longest; each ejection doubles the next one.
_MIN_EJECT_S = 0.8
_MAX_EJECT_S = 6.0
# Measured answers as many as which a plain service's reports count: from the second
# one on these outweigh them. The most that count, as the moving average keeps some
# eight.
_TOLD_SAMPLES = 1
_MAX_SAMPLES = 8
# Number of free slots up to which an upstream counts as nearly full, so that changes
# are worth reporting to other nodes at once.
_NEARLY_FULL_SLOTS = 3
# Ejection of an upstream that refused for load: it has a free slot again after a few
# answers.
_REFUSAL_EJECT_S = 0.1
# An upstream counts as stalled when a first event takes this many times longer than
# predicted. The floor keeps a single long prompt from counting as a stall.
_STALL_RATIO = 3.0
_STALL_FLOOR_S = 0.4


@dataclass(kw_only=True)
class InFlightRequest:
    """Request in flight at an upstream.

    :param prompt_tokens: prompt tokens still to be processed there, as far as known.
    :param sent_at: when it was sent.
    :param predicted_s: predicted seconds from ``sent_at`` to its first event.
    :param baseline_s: the same for an engine of baseline speed; 0 if its first event
        is no measurement of speed.
    :param started: whether its first event has arrived.
    :param zone: CRC-32 of the availability zone of its node; 0 if unknown.
    """

    prompt_tokens: int
    sent_at: float
    predicted_s: float
    baseline_s: float = 0.0
    started: bool = False
    zone: int = 0


class UpstreamTrack:
    """Load, speed and health of one upstream incarnation, as measured by this node.

    :param entry: entry of the platform's list.
    :param engine: figures of its pool if it is a model engine, or ``None``.
    :ivar own: this node's requests in flight there, by number.
    :ivar others_in_flight: requests of other nodes in flight there.
    :ivar others_prompt: prompt tokens of these that are still to be processed.
    :ivar event_interval_s: mean event interval; of a plain service, mean time of an
        answer.
    :ivar failure_rate: moving average of failures, from 0 to 1.
    :ivar eject_until: end of its ejection.
    :ivar closed_until: until when it asked for no new requests.
    :ivar refused_at: when it refused requests for load lately.
    :ivar received_at: when a part of an answer last arrived from it.
    :ivar told: its latest report of its load, by an answer to this node.
    :ivar usual_work: mean of the work time that it reports.
    :ivar told_slowness: ratio of its time to the pool's by its reports; 1 if they do
        not count.
    :ivar told_answer_s: answer time of a plain service by its reports; ``None`` if they
        do not count.
    :ivar told_others: requests of other nodes that it has at least by its reports, and
        that are not counted otherwise.
    :ivar own_when_told: this node's requests in flight there at its latest report.
    :ivar departed: whether it is no longer listed.
    :ivar crc: short form of its incarnation, for reports between nodes.
    """

    def __init__(self, *, entry: UpstreamEntry, engine: EngineSpec | None) -> None:
        self.entry = entry
        self.engine = engine
        self.own: dict[int, InFlightRequest] = {}
        self.others_in_flight = 0
        self.others_prompt = 0
        self.event_interval_s: float | None = None
        self._first_observed_s = 0.0
        self._first_baseline_s = 0.0
        self.failure_rate = 0.0
        self.eject_until = 0.0
        self.closed_until = 0.0
        self.refused_at: deque[float] = deque()
        self.received_at = 0.0
        self.told: ToldLoad | None = None
        self.usual_work = UsualWork()
        self.told_slowness = 1.0
        self.told_answer_s: float | None = None
        self.told_others = 0.0
        self.own_when_told = 0
        self._samples = 0
        self._next_eject_s = _MIN_EJECT_S
        self.departed = False
        self.crc = zlib.crc32(entry.instance.encode())

    @property
    def software(self) -> int:
        """Short form of the version of its software."""
        return software_crc(self.entry.version)

    @property
    def zone(self) -> int:
        """CRC-32 of the name of its availability zone; 0 if unknown."""
        return zone_crc(self.entry.zone)

    @property
    def slots(self) -> int:
        """Number of requests that it processes concurrently."""
        return max(self.entry.slots, 1)

    @property
    def nearly_full(self) -> bool:
        """Whether one slot more or less may change where a request is placed."""
        return (
            self.engine is not None
            and self.in_flight >= self.slots - _NEARLY_FULL_SLOTS
        )

    def own_prompt_tokens(self) -> int:
        """Return the prompt tokens of this node's requests still to be processed."""
        return sum(item.prompt_tokens for item in self.own.values())

    @property
    def in_flight(self) -> int:
        """Requests of all nodes in flight there, as far as reported."""
        return len(self.own) + self.others_in_flight

    def is_open(self, now: float) -> bool:
        """Whether it accepts new requests: it does not leave and is not closed."""
        return not (self.departed or self.entry.draining or now < self.closed_until)

    def is_usable(self, now: float) -> bool:
        """Whether it may get new requests: it is open and not ejected."""
        return self.is_open(now) and now >= self.eject_until

    def may_continue(self, software: int) -> bool:
        """Whether it may go on with a stream; true if that has not begun.

        :param software: CRC-32 of the version that began the stream; 0 if none has.
        """
        return software in (0, self.software)

    def add_request(self, number: int, item: InFlightRequest) -> None:
        """Record a request that is sent there."""
        self.own[number] = item

    def record_first_event(self, number: int, now: float | None = None) -> None:
        """Record that a request's prompt has been processed.

        :param now: when its first event arrived, if that is a measurement of speed.
        """
        item = self.own.get(number)
        if item is None:
            return
        if now is not None and item.baseline_s > 0 and not item.started:
            observed_s = min(now - item.sent_at, _MAX_RATIO * item.baseline_s)
            self._first_observed_s = _FIRST_DECAY * self._first_observed_s + observed_s
            self._first_baseline_s = (
                _FIRST_DECAY * self._first_baseline_s + item.baseline_s
            )
        item.started = True
        item.prompt_tokens = 0

    def remove_request(self, number: int) -> None:
        """Record that a request is no longer in flight there."""
        self.own.pop(number, None)

    def record_interval(self, seconds: float) -> None:
        """Add a sample of its event interval, or of the time of a whole answer."""
        self._samples = min(self._samples + 1, _MAX_SAMPLES)
        if self.event_interval_s is None:
            self.event_interval_s = seconds
        else:
            self.event_interval_s += _ALPHA * (seconds - self.event_interval_s)

    def record_told_load(self, load: ToldLoad) -> None:
        """Keep a report of its load, unless a later one has arrived."""
        if self.told is None or load.at >= self.told.at:
            self.told = load
            self.own_when_told = len(self.own)
        if load.work_percent is not None:
            self.usual_work.add(load.work_percent, load.at)

    def record_success(self) -> None:
        """Record a successful answer."""
        self.failure_rate *= 1 - _FAIL_ALPHA
        self._next_eject_s = _MIN_EJECT_S

    def record_failure(self, now: float, *, hard: bool = False) -> None:
        """Record a failure; eject the upstream after several, or after a hard one.

        :param hard: whether the failure shows that the upstream no longer runs.
        """
        self.failure_rate += _FAIL_ALPHA * (1 - self.failure_rate)
        if hard or self.failure_rate > _EJECT_SHARE:
            self.eject_until = max(self.eject_until, now + self._next_eject_s)
            self._next_eject_s = min(self._next_eject_s * 2, _MAX_EJECT_S)

    def undo_failure(self) -> None:
        """Undo the last failure, as the request itself caused it; end any ejection."""
        self.failure_rate = max(
            (self.failure_rate - _FAIL_ALPHA) / (1 - _FAIL_ALPHA), 0.0
        )
        self.eject_until = 0.0

    def record_refusal(self, now: float) -> None:
        """Record that it refused a request for load; eject it briefly."""
        self.eject_until = max(self.eject_until, now + _REFUSAL_EJECT_S)
        self.refused_at.append(now)
        while self.refused_at[0] <= now - REFUSAL_WINDOW_S:
            self.refused_at.popleft()

    def queued_prompt_tokens(self) -> int:
        """Return the prompt tokens of all nodes' requests still to be processed."""
        return (
            sum(item.prompt_tokens for item in self.own.values()) + self.others_prompt
        )

    def stalled_s(self, now: float) -> float:
        """Return by how much the most overdue first event exceeds the stall limit."""
        overdue = [
            now - item.sent_at - _STALL_RATIO * item.predicted_s
            for item in self.own.values()
            if not item.started and now - item.sent_at > _STALL_FLOOR_S
        ]
        return max(max(overdue, default=0.0), 0.0)

    @property
    def first_ratio(self) -> float | None:
        """Ratio of measured first event times to the baseline; ``None`` if unknown."""
        if not self._first_baseline_s:
            return None
        return self._first_observed_s / self._first_baseline_s

    def expected_ratio(self, prior: float) -> float:
        """Return the expected ratio of the next first event time to the baseline.

        :param prior: ratio expected of an engine without measurements.
        """
        observed_s = self._first_observed_s + _PRIOR_WEIGHT_S * prior
        return observed_s / (self._first_baseline_s + _PRIOR_WEIGHT_S)

    def predict_s(self, baseline_s: float, ratio: float, now: float) -> float:
        """Return the predicted time to the first event, or to the whole answer.

        :param baseline_s: result of :meth:`baseline_s`.
        :param ratio: ratio of the upstream's time to the baseline.
        """
        return ratio * baseline_s + self.stalled_s(now)

    def baseline_s(self, prompt_tokens: int, unmeasured_s: float) -> float:
        """Return the time that an upstream of baseline speed takes under this load.

        For an engine to its first event, for a plain service to the whole answer.

        :param unmeasured_s: answer time of an idle plain service without measurements.
        """
        if self.engine is None:
            load = (self.in_flight + self.told_others) / self.slots
            return self._answer_s(unmeasured_s) * (1 + load)
        prefill_s = (self.queued_prompt_tokens() + prompt_tokens) / PREFILL_TOKENS_PER_S
        batching_s = PER_SEQUENCE_S * self.in_flight
        overload_s = (
            max(self.in_flight - self.slots + 1, 0) * PER_SEQUENCE_S * self.slots
        )
        return FIRST_EVENT_S + prefill_s + batching_s + overload_s

    def _answer_s(self, unmeasured_s: float) -> float:
        """Return the expected answer time of an idle plain service."""
        if self.told_answer_s is None:
            return self.event_interval_s or unmeasured_s
        if self.event_interval_s is None:
            return self.told_answer_s
        samples = max(self._samples, 1)
        told_s = _TOLD_SAMPLES * self.told_answer_s
        total_s = samples * self.event_interval_s + told_s
        return total_s / (samples + _TOLD_SAMPLES)

    def slowness(self, typical_s: float | None) -> float:
        """Return the ratio of its event interval to the pool's.

        Without samples it is what its reports say, or 1.

        :param typical_s: median event interval of the pool.
        """
        if self.event_interval_s is None or not typical_s:
            return self.told_slowness
        return min(max(self.event_interval_s / typical_s, 1 / _MAX_RATIO), _MAX_RATIO)
