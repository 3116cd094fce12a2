"""Estimate of the slots that requests in time need, and of what is left for others."""

from __future__ import annotations

import math
from dataclasses import dataclass

from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.decisions.window import SlidingSum

__all__ = ["Kind", "SlotDemand"]

# Window over which arrivals are counted: bursts last 2 to 5 s, and in a shorter window
# a cell sees too few requests of a kind with long outputs, some ten a second.
_ARRIVALS_WINDOW_S = 2.0
# Time after the first arrival for which there is no estimate: less says too little
# about the rate.
_MIN_OBSERVED_S = 1.0
# Weight of a new sample of a holding time, once there are as many samples as its
# reciprocal.
_HOLDING_ALPHA = 0.05
# Requests whose end was not reported are removed once this many more are recorded than
# twice those that run.
_MIN_SWEEP_SIZE = 64

# Rank of a request and of its route.
Kind = tuple[int, int]


@dataclass(frozen=True, kw_only=True)
class _Running:
    """Request that has been granted a slot."""

    kind: Kind
    track: UpstreamTrack
    is_late: bool


@dataclass(kw_only=True)
class _Holding:
    """Moving average of the time for which requests of one kind keep their slots."""

    seconds: float = 0.0
    samples: int = 0

    def add(self, seconds: float) -> None:
        self.samples += 1
        alpha = max(_HOLDING_ALPHA, 1.0 / self.samples)
        self.seconds += alpha * (seconds - self.seconds)


class SlotDemand:
    """Arrivals of requests in time, holding times and late requests with a slot.

    Requests in time need as many slots as arrive while one of them keeps its slot:
    their rate times their holding time, added up over the kinds. All of it is soft
    state of one scheduler.
    """

    def __init__(self) -> None:
        self._arrivals: dict[Kind, SlidingSum] = {}
        self._holdings: dict[Kind, _Holding] = {}
        self._running: dict[int, _Running] = {}
        self._observed_from: float | None = None
        self._sweep_size = _MIN_SWEEP_SIZE

    @property
    def is_observed(self) -> bool:
        """Whether any arrival has been recorded."""
        return self._observed_from is not None

    def record_arrival(self, kind: Kind, now: float) -> None:
        """Record a request that arrived in time."""
        if self._observed_from is None:
            self._observed_from = now
        arrivals = self._arrivals.get(kind)
        if arrivals is None:
            arrivals = SlidingSum(window_s=_ARRIVALS_WINDOW_S)
            self._arrivals[kind] = arrivals
        arrivals.add(1.0, now)

    def record_grant(
        self, kind: Kind, number: int, track: UpstreamTrack, *, is_late: bool
    ) -> None:
        """Record that a request was granted a slot.

        :param number: its number at the upstream.
        """
        self._running[number] = _Running(kind=kind, track=track, is_late=is_late)
        if len(self._running) > self._sweep_size:
            self._sweep()

    def record_holding(self, number: int, seconds: float) -> None:
        """Record for how long a request kept its slot."""
        running = self._running.pop(number, None)
        if running is not None:
            self._holdings.setdefault(running.kind, _Holding()).add(seconds)

    def late_running(self) -> int:
        """Return how many late requests keep a slot."""
        return sum(
            running.is_late and number in running.track.own
            for number, running in self._running.items()
        )

    def holding_s(self, kind: Kind, default_s: float) -> float:
        """Return for how long requests of a kind keep their slots.

        :param default_s: the result without measurements.
        """
        holding = self._holdings.get(kind)
        return holding.seconds if holding is not None else default_s

    def arrivals_per_s(self, kind: Kind, now: float) -> float:
        """Return the rate at which requests of a kind arrived in time of late."""
        arrivals = self._arrivals.get(kind)
        if arrivals is None or self._observed_from is None:
            return 0.0
        observed_s = min(max(now - self._observed_from, 0.1), _ARRIVALS_WINDOW_S)
        return arrivals.total(now) / observed_s

    def urgent_per_s(self, kind: Kind, now: float) -> float:
        """Return the rate at which more urgent requests than a kind arrived of late."""
        return math.fsum(
            self.arrivals_per_s(other, now) for other in self._arrivals if other < kind
        )

    def needed_slots(self, now: float, default_s: float) -> float | None:
        """Return how many slots the requests in time need.

        :param default_s: holding time of kinds without measurements.
        :returns: ``None`` if arrivals have been observed for too short a time.
        """
        if self._observed_from is None or now - self._observed_from < _MIN_OBSERVED_S:
            return None
        return math.fsum(
            self.arrivals_per_s(kind, now) * self.holding_s(kind, default_s)
            for kind in self._arrivals
        )

    def _sweep(self) -> None:
        self._running = {
            number: running
            for number, running in self._running.items()
            if number in running.track.own
        }
        self._sweep_size = 2 * len(self._running) + _MIN_SWEEP_SIZE
