"""What a gateway knows of one upstream: its load, its speed and its failures."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from baobabwing.gateway.model import EngineSpec, UpstreamEntry

__all__ = ["Outstanding", "UpstreamTrack"]

# Shape of the prediction; how long an upstream really takes is learned as a ratio to
# it, from first events and from the pauses between events apart. The figures are those
# of some engines of today: prefill_s a prompt, and the first token of an empty one.
PREFILL_TOKENS_PER_S = 39_300.0
FIRST_EVENT_S = 0.045
# A plain service's whole answer, until its own pace is known.
_INITIAL_ANSWER_S = 0.02
# A sequence more in the batch costs each step this much; 0.036 ms a step of
# 6.3 ms and the share of prefill that each sequence brings.
_PER_SEQUENCE_S = 0.02
# Weight of a new sample: about ten events tell a speed.
_ALPHA = 0.12
_MAX_RATIO = 20.0
# What was seen of first events counts this much less with each further one: some seven
# of them tell how fast an engine reads.
_FIRST_DECAY = 0.85
# Seconds of the usual prediction that the prior is worth against what was seen: about
# one long prompt.
_PRIOR_WEIGHT_S = 0.2
# Failures from which an upstream is set aside, as a moving share.
_EJECT_SHARE = 0.35
_FAIL_ALPHA = 0.25
_MIN_EJECT_S = 0.8
_MAX_EJECT_S = 6.0
# Slots from the last on within which changes are told to other nodes at once.
_NEARLY_FULL_SLOTS = 3
# An upstream that refuses for load has a place again within a few answers.
_REFUSAL_EJECT_S = 0.1
# Waiting this many times longer than predicted for a first event shows a
# stalled upstream, but not below the floor, where one long prompt would do it.
_STALL_RATIO = 3.0
_STALL_FLOOR_S = 0.4


@dataclass(kw_only=True)
class Outstanding:
    """A request that is at an upstream.

    :param prompt_tokens: still to be read there, as far as we know.
    :param predicted_s: when its first event was expected, from ``since``.
    :param baseline_s: the same for an engine of the usual speed; 0 if it says nothing.
    """

    prompt_tokens: int
    since: float
    predicted_s: float
    baseline_s: float = 0.0
    started: bool = False


class UpstreamTrack:
    """Load, speed and health of one upstream incarnation, as seen from here.

    :param entry: what the platform lists.
    :param engine: figures of its pool if it is a model engine.
    :ivar crc: short form of its incarnation, for reports between nodes.
    """

    def __init__(self, *, entry: UpstreamEntry, engine: EngineSpec | None) -> None:
        self.entry = entry
        self.engine = engine
        self.own: dict[int, Outstanding] = {}
        self.others = 0
        self.others_prompt = 0
        self.pace_s: float | None = None
        self._first_observed_s = 0.0
        self._first_baseline_s = 0.0
        self.failed_share = 0.0
        self.eject_until = 0.0
        self.closed_until = 0.0
        self.heard_at = 0.0
        self._next_eject_s = _MIN_EJECT_S
        self.gone = False
        self.crc = zlib.crc32(entry.instance.encode())

    @property
    def slots(self) -> int:
        """Requests that it works on at one time."""
        return max(self.entry.slots, 1)

    @property
    def nearly_full(self) -> bool:
        """Whether a slot more or less may decide where a request goes."""
        return (
            self.engine is not None
            and self.in_flight >= self.slots - _NEARLY_FULL_SLOTS
        )

    def own_prompt_tokens(self) -> int:
        """Return the prompt tokens of this node's that wait to be read there."""
        return sum(item.prompt_tokens for item in self.own.values())

    @property
    def in_flight(self) -> int:
        """Requests that all nodes have there, as far as they told."""
        return len(self.own) + self.others

    def open(self, now: float) -> bool:
        """Whether it wants new work: it does not leave, and has not said otherwise."""
        return not (self.gone or self.entry.draining or now < self.closed_until)

    def usable(self, now: float) -> bool:
        """Whether it may get new work."""
        return self.open(now) and now >= self.eject_until

    def begin(self, number: int, item: Outstanding) -> None:
        """Note a request that is sent there."""
        self.own[number] = item

    def first_event(self, number: int, now: float | None = None) -> None:
        """Note that a request's prompt has been read.

        :param now: when its first event came, if that says how fast it was read.
        """
        item = self.own.get(number)
        if item is None:
            return
        if now is not None and item.baseline_s > 0 and not item.started:
            observed_s = min(now - item.since, _MAX_RATIO * item.baseline_s)
            self._first_observed_s = _FIRST_DECAY * self._first_observed_s + observed_s
            self._first_baseline_s = (
                _FIRST_DECAY * self._first_baseline_s + item.baseline_s
            )
        item.started = True
        item.prompt_tokens = 0

    def end(self, number: int) -> None:
        """Note that a request is no longer there."""
        self.own.pop(number, None)

    def paced(self, seconds: float) -> None:
        """Take a sample of its pace: between two events, or of a whole answer."""
        if self.pace_s is None:
            self.pace_s = seconds
        else:
            self.pace_s += _ALPHA * (seconds - self.pace_s)

    def succeeded(self) -> None:
        """Note an answer as it should be."""
        self.failed_share *= 1 - _FAIL_ALPHA
        self._next_eject_s = _MIN_EJECT_S

    def failed(self, now: float, *, hard: bool = False) -> None:
        """Note a failure; after several, or a hard one, it is set aside.

        :param hard: whether it shows that the upstream is not there at all.
        """
        self.failed_share += _FAIL_ALPHA * (1 - self.failed_share)
        if hard or self.failed_share > _EJECT_SHARE:
            self.eject_until = max(self.eject_until, now + self._next_eject_s)
            self._next_eject_s = min(self._next_eject_s * 2, _MAX_EJECT_S)

    def forgive(self) -> None:
        """Take back the last failure: it was the request's own."""
        self.failed_share = max(
            (self.failed_share - _FAIL_ALPHA) / (1 - _FAIL_ALPHA), 0.0
        )
        self.eject_until = 0.0

    def refused(self, now: float) -> None:
        """Note that it was full; it gets nothing new for a moment."""
        self.eject_until = max(self.eject_until, now + _REFUSAL_EJECT_S)

    def queued_prompt_tokens(self) -> int:
        """Return the prompt tokens that wait to be read there."""
        return (
            sum(item.prompt_tokens for item in self.own.values()) + self.others_prompt
        )

    def stalled_s(self, now: float) -> float:
        """Return how long it has been silent beyond what was predicted."""
        overdue = [
            now - item.since - _STALL_RATIO * item.predicted_s
            for item in self.own.values()
            if not item.started and now - item.since > _STALL_FLOOR_S
        ]
        return max(max(overdue, default=0.0), 0.0)

    @property
    def first_ratio(self) -> float | None:
        """Time to first events against the usual prediction; ``None`` if not known."""
        if not self._first_baseline_s:
            return None
        return self._first_observed_s / self._first_baseline_s

    def expected_ratio(self, prior: float) -> float:
        """Return the ratio to be expected of the next first event.

        :param prior: what is expected of an engine that has not been seen.
        """
        observed_s = self._first_observed_s + _PRIOR_WEIGHT_S * prior
        return observed_s / (self._first_baseline_s + _PRIOR_WEIGHT_S)

    def predict_s(self, baseline_s: float, ratio: float, now: float) -> float:
        """Return when the first event, or the whole answer, is to be expected.

        :param baseline_s: what :meth:`baseline_s` says.
        :param ratio: what the upstream takes against that.
        """
        return ratio * baseline_s + self.stalled_s(now)

    def baseline_s(self, prompt_tokens: int) -> float:
        """Return when an upstream of the usual speed would answer, with this load.

        The first event of an engine, the whole answer of a plain service.
        """
        if self.engine is None:
            return (self.pace_s or _INITIAL_ANSWER_S) * (
                1 + self.in_flight / self.slots
            )
        prefill_s = (self.queued_prompt_tokens() + prompt_tokens) / PREFILL_TOKENS_PER_S
        batching_s = _PER_SEQUENCE_S * self.in_flight
        overload = (
            max(self.in_flight - self.slots + 1, 0) * _PER_SEQUENCE_S * self.slots
        )
        return FIRST_EVENT_S + prefill_s + batching_s + overload

    def slowness(self, typical_s: float | None) -> float:
        """Return its pace against that of its pool; 1 where nothing is known."""
        if self.pace_s is None or not typical_s:
            return 1.0
        return min(max(self.pace_s / typical_s, 1 / _MAX_RATIO), _MAX_RATIO)
