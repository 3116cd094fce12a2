"""Whether requests leave their availability zone; does no I/O and reads no clock."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache

__all__ = [
    "AnswerSize",
    "ZoneChange",
    "ZoneQueue",
    "ZoneStates",
    "crossing_cost_s",
    "zone_crc",
]

# One-way latency between two zones in seconds, the larger one measured. A request
# crosses on its way there, and its answer on its way back.
_CROSSING_S = 0.0014
_CROSSINGS = 2
_BYTES_PER_MB = 1_000_000
# Homes look at their queues each 100 ms at least, so a request that is to leave its
# zone in time must do so this long before it would be late.
_CHECK_S = 0.1
# A zone that sends out keeps in again once its requests need less than this share of
# its own slots. Above it, the bursts of random arrivals fill them again and again.
_KEEP_IN_SHARE = 0.8
# A zone also sends out while its requests would gain more elsewhere than leaving costs
# them, on average, and until the gain is below this share of the cost: requests that
# leave make it smaller.
_KEEP_IN_GAIN = 0.5
# Time over which the gain is averaged. It is for upstreams that stay slower than those
# of other zones; with 1 s, chance alone made zones at 0.7 of their capacity send out.
_GAIN_TIME_S = 10.0
# Interval between two samples of the gain; each compares all free upstreams.
_GAIN_SAMPLE_S = 0.05
# Time over which the need is averaged: longer than most requests keep a slot, and
# short compared with the 17 s of the waves of demand.
_NEED_TIME_S = 1.0
# Time without any request that its zone could not take in time, before the zone keeps
# in again: bursts come within seconds of each other.
_SETTLE_S = 2.0
# Need that is recorded for a zone without slots, and bound of a sample of the gain: one
# stalled upstream must not decide for its zone.
_MAX_NEED = 10.0
_MAX_GAIN = 3.0
# Bytes of a plain answer, and of an answer for each output token, until there are
# measurements: a small document, and a token in the frame of an event.
_INITIAL_ANSWER_BYTES = 2_000.0
_INITIAL_TOKEN_BYTES = 100.0
# Weight of a new answer in these means.
_SIZE_ALPHA = 0.05


@lru_cache(maxsize=64)
def zone_crc(zone: str) -> int:
    """Return the CRC-32 of a zone's name; 0 if the zone is unknown."""
    return zlib.crc32(zone.encode()) if zone else 0


def crossing_cost_s(price_s_per_mb: float, expected_bytes: int) -> float:
    """Return the cost of an upstream in another zone, in seconds.

    :param price_s_per_mb: seconds that a megabyte between zones is worth.
    :param expected_bytes: bytes of the request and of its expected answer.
    """
    price_s = price_s_per_mb * expected_bytes / _BYTES_PER_MB
    return price_s + _CROSSINGS * _CROSSING_S


@dataclass(frozen=True, kw_only=True, slots=True)
class ZoneQueue:
    """Requests of a zone that wait for its own upstreams, none of which is free.

    :param waiting: requests as urgent as the first one or more, itself included.
    :param slots: slots of the upstreams that they may use.
    :param holding_s: mean time for which a request keeps its slot.
    :param first_event_s: expected time from a slot there to the first event, or to the
        whole answer of a plain service.
    """

    waiting: int
    slots: int
    holding_s: float
    first_event_s: float

    @property
    def wait_s(self) -> float:
        """Time until the last of the requests has a slot.

        It is also what the requests gain in sum if the first one leaves.
        """
        return self.waiting * self._turnover_s

    def too_few_slots(
        self, now: float, *, first_objective_at: float, last_objective_at: float
    ) -> bool:
        """Whether the first or the last request would be late if it stayed."""
        first_at = now + self._turnover_s + self.first_event_s + _CHECK_S
        last_at = now + self.wait_s + self.first_event_s
        return first_at > first_objective_at or last_at > last_objective_at

    @property
    def _turnover_s(self) -> float:
        return self.holding_s / self.slots if self.slots else math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class ZoneChange:
    """A zone started or stopped sending requests out.

    :param zone: CRC-32 of its name.
    :param need: mean need of its requests, as a share of its own slots.
    :param gain: mean gain of a request that leaves, in relation to its cost.
    """

    zone: int
    sends_out: bool
    need: float
    gain: float


@dataclass(kw_only=True, slots=True)
class _ZoneState:
    """State of a zone; ``pays``: whether it sends out because of the gain."""

    sends_out: bool = False
    need: float = 0.0
    gain: float = 0.0
    gain_at: float = -math.inf
    pays: bool = False
    sampled_at: float = -math.inf
    too_few_at: float = -math.inf


class ZoneStates:
    """Which zones send requests out, by the CRC-32 of their names.

    A zone starts to send out when its own upstreams can't take a request in time, or
    when its requests would gain more elsewhere than leaving costs. It stops when its
    requests, wherever they run, would leave some of its own slots free; or, if it sends
    out for the gain, once that is small.

    :ivar changes: starts and stops that were not logged yet.
    """

    def __init__(self) -> None:
        self._states: dict[int, _ZoneState] = {}
        self.changes: list[ZoneChange] = []

    def __iter__(self) -> Iterator[int]:
        """Iterate over the zones of which something is recorded."""
        return iter(self._states)

    def sends_out(self, zone: int) -> bool:
        """Whether a zone sends requests out."""
        state = self._states.get(zone)
        return state is not None and state.sends_out

    def record_too_few(self, zone: int, now: float) -> None:
        """Record that a zone's own upstreams can't take a request in time."""
        state = self._states.setdefault(zone, _ZoneState())
        state.too_few_at = now
        self._set(zone, state, sends_out=True)

    def record_need(self, zone: int, needed: int, slots: int, now: float) -> None:
        """Record what a zone's requests need of its own slots.

        :param needed: its requests that wait or run, in whatever zone.
        """
        state = self._states.setdefault(zone, _ZoneState())
        need = min(needed / slots, _MAX_NEED) if slots else _MAX_NEED
        state.need += _weight(now - state.sampled_at, _NEED_TIME_S) * (
            need - state.need
        )
        state.sampled_at = now
        settled = now - state.too_few_at >= _SETTLE_S
        state.pays = state.pays and state.gain >= _KEEP_IN_GAIN
        enough = state.need < _KEEP_IN_SHARE and not state.pays
        if state.sends_out and settled and enough:
            # What was gained while slots were too few does not count any more.
            state.gain = min(state.gain, _KEEP_IN_GAIN)
            self._set(zone, state, sends_out=False)

    def samples_gain(self, zone: int, now: float) -> bool:
        """Whether it is time for another sample of a zone's gain."""
        state = self._states.get(zone)
        return state is None or now - state.gain_at >= _GAIN_SAMPLE_S

    def record_gain(self, zone: int, gain_s: float, cost_s: float, now: float) -> None:
        """Record what a request would gain by leaving a zone that has a slot for it.

        :param cost_s: result of :func:`crossing_cost_s`.
        """
        state = self._states.setdefault(zone, _ZoneState(gain_at=now))
        gain = max(0.0, min(gain_s / cost_s, _MAX_GAIN))
        state.gain += _weight(now - state.gain_at, _GAIN_TIME_S) * (gain - state.gain)
        state.gain_at = now
        if state.gain > 1.0 and not state.sends_out:
            state.pays, state.too_few_at = True, now
            self._set(zone, state, sends_out=True)

    def _set(self, zone: int, state: _ZoneState, *, sends_out: bool) -> None:
        if state.sends_out is sends_out:
            return
        state.sends_out = sends_out
        self.changes.append(
            ZoneChange(zone=zone, sends_out=sends_out, need=state.need, gain=state.gain)
        )

    def take_changes(self) -> list[ZoneChange]:
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes


class AnswerSize:
    """Mean size of a pool's answers, in bytes."""

    def __init__(self) -> None:
        self._answer_bytes = _INITIAL_ANSWER_BYTES
        self._token_bytes = _INITIAL_TOKEN_BYTES

    def expected(self, tokens: int) -> int:
        """Return the expected size of an answer.

        :param tokens: its expected output tokens; 0 for a plain answer.
        """
        return round(tokens * self._token_bytes if tokens else self._answer_bytes)

    def record(self, size: int, tokens: int) -> None:
        """Add the size of a complete answer.

        :param tokens: the output tokens that were expected of it.
        """
        if tokens:
            self._token_bytes += _SIZE_ALPHA * (size / tokens - self._token_bytes)
        else:
            self._answer_bytes += _SIZE_ALPHA * (size - self._answer_bytes)


def _weight(since_s: float, averaged_s: float) -> float:
    """Return the weight of a sample so long after the one before, in a mean."""
    return 1 - math.exp(-since_s / averaged_s)
