"""Which request goes to which upstream, and which one waits."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from baobabwing.gateway.decisions.tracking import (
    FIRST_EVENT_S,
    PREFILL_TOKENS_PER_S,
    Outstanding,
    UpstreamTrack,
)
from baobabwing.gateway.decisions.waiting import Ask, WaitingRequests
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

__all__ = ["Ask", "Grant", "PoolScheduler"]

# Requests beyond its slots that an engine gets: the next one starts as soon as
# one ends, without the way to us and back (3 to 5 ms) in which it would idle.
_EXTRA_REQUESTS = 1
# Part of an engine's slots that the least urgent requests leave free. They hold a
# slot for seconds, the more urgent ones for a few hundred ms; with all slots
# taken by the former, the latter wait for one while their objective runs out.
_RESERVED_SHARE = 0.25
# Weight of the time that a request's output takes, against the time to its first
# event: long outputs go to fast engines, as far as these are not behind.
_OUTPUT_WEIGHT = 0.15
# A stream goes on at another engine only if that one has this many slots to spare
# and takes less than this share of the time.
_MOVE_SPARE_SLOTS = 1
_MOVE_MAX_RATIO = 0.6
# Plain services answer within some 20 ms; twice their slots keeps their own
# queue short enough that nothing in it misses an objective of 100 ms.
_PLAIN_DEPTH = 2
# Places that late requests got are counted over this time: some ten of them at a full
# cell, and short against the 3 s for which callers wait.
_LATE_RATE_WINDOW_S = 1.0
# Callers are not sent away for longer: bursts last 2 to 5 s.
_MAX_RETRY_AFTER_S = 5.0
# Part of its time that a late request which is refused is to wait before it comes back.
# It is late either way, and the more of a burst is over by then, the better: a second
# refusal is its last. Callers keep to a third of their time at the most.
_RETRY_AFTER_SHARE = 0.3
# How long a request keeps its place, until it has been measured.
_INITIAL_HOLDING_S = 0.5
# Weight of a new sample of that.
_HOLDING_ALPHA = 0.05


@dataclass(frozen=True, kw_only=True)
class Grant:
    """Where a request goes, and when its first event was expected."""

    ask: Ask
    track: UpstreamTrack
    predicted_s: float
    since: float


class PoolScheduler:
    """Queue and upstreams of one pool at one node. Knows no network and no clock.

    Upstreams serve in order of arrival, so that a queue inside them can't be
    ordered: what does not fit their slots waits here.

    :param engine: figures of the pool's engines, if they are engines.
    :param rng: breaks ties.
    :ivar most_own: bound on what this node places, where it places without a home.
    """

    def __init__(self, *, engine: EngineSpec | None, rng: Random) -> None:
        self.engine = engine
        self.tracks: dict[str, UpstreamTrack] = {}
        self._by_crc: dict[int, UpstreamTrack] = {}
        self.waiting = WaitingRequests(is_late=self._is_late)
        self._rng = rng
        self._typical_interval_s: float | None = None
        self._typical_first_ratio = 1.0
        self._best_first_ratio = 1.0
        self.holding_s = _INITIAL_HOLDING_S
        self.most_own: int | None = None
        self._max_route_rank = 0
        self._closed: set[str] = set()
        self._late_grants: deque[float] = deque()

    def set_engine(self, engine: EngineSpec) -> None:
        """Take changed figures of the pool's engines."""
        self.engine = engine
        for track in self.tracks.values():
            track.engine = engine

    def list_upstreams(self, entries: Iterable[UpstreamEntry]) -> None:
        """Take the upstreams that are listed now."""
        listed = {entry.instance: entry for entry in entries}
        for instance, entry in listed.items():
            track = self.tracks.get(instance)
            if track is None:
                self.tracks[instance] = UpstreamTrack(entry=entry, engine=self.engine)
            else:
                track.entry = entry
        for instance in [one for one in self.tracks if one not in listed]:
            self.tracks.pop(instance).gone = True
        self._by_crc = {track.crc: track for track in self.tracks.values()}

    def close(self, track: UpstreamTrack, until: float) -> None:
        """Send an upstream nothing until then: it said that it wants nothing."""
        track.closed_until = max(track.closed_until, until)
        self._closed.add(track.entry.instance)

    def closed(self, now: float) -> list[UpstreamTrack]:
        """Return the upstreams that want nothing now."""
        tracks = [self.tracks.get(instance) for instance in self._closed]
        found = [one for one in tracks if one is not None and now < one.closed_until]
        self._closed = {one.entry.instance for one in found}
        return found

    def opens_at(self, now: float) -> float:
        """Return when one of the upstreams wants work again; now, if one does.

        Where there are none, or all leave, nobody knows when there will be one.
        """
        closed = self.closed(now)
        if not closed or any(track.open(now) for track in self.tracks.values()):
            return now
        return min(track.closed_until for track in closed)

    def track(self, crc: int) -> UpstreamTrack | None:
        """Return a listed upstream by the short form of its incarnation."""
        return self._by_crc.get(crc)

    def submit(self, ask: Ask) -> None:
        """Queue a request; :meth:`grants` places it, now or later."""
        self._max_route_rank = max(self._max_route_rank, ask.route_rank)
        self.waiting.add(ask)

    def withdraw(self, ask: Ask) -> None:
        """Take a request out of the queue."""
        self.waiting.remove(ask)

    def grants(self, now: float) -> list[Grant]:
        """Place what can be placed now, the most urgent first."""
        granted: list[Grant] = []
        if not self.waiting or not self._any_free_slot():
            return granted
        self._update_typical()
        blocked: list[Ask] = []
        while self.waiting:
            ask = self.waiting.take_first(now)
            grant = self._place(ask, now)
            if grant is None:
                blocked.append(ask)
                if not ask.exclude:
                    break
                continue
            granted.append(grant)
            if self._is_late(ask, now):
                self._late_grants.append(now)
        for ask in blocked:
            self.waiting.add(ask)
        return granted

    def hopeless(self, now: float) -> list[tuple[Ask, float]]:
        """Take out of the queue what will hardly get a place while it is of use.

        Requests that are late get what those in time leave, the newest of them first.
        At the rate of the last second the older ones would wait until their callers
        leave; told at once, these can come back when there are places again.

        :returns: the requests, and when each would probably have its place.
        """
        while self._late_grants and self._late_grants[0] < now - _LATE_RATE_WINDOW_S:
            self._late_grants.popleft()
        late = self.waiting.late(now)
        places_per_s = len(self._late_grants) / _LATE_RATE_WINDOW_S
        given_up = []
        for ahead, ask in enumerate(late, 1):
            left_s = ask.deadline_at - now
            if ahead > places_per_s * left_s:
                wait_s = ahead / places_per_s if places_per_s else left_s
                wait_s = max(wait_s, _RETRY_AFTER_SHARE * (ask.ends_at - now))
                given_up.append((ask, min(wait_s, _MAX_RETRY_AFTER_S)))
        for ask, _ in given_up:
            self.waiting.remove(ask)
        return given_up

    def adopt(
        self, ask: Ask, track: UpstreamTrack, now: float, *, started: bool
    ) -> Grant:
        """Count a request that was placed by another node before.

        :param started: whether its first event has been seen.
        """
        grant = self._grant(ask, track, now)
        if started:
            track.first_event(ask.number)
        return grant

    def faster(self, ask: Ask, than: UpstreamTrack, now: float) -> Grant | None:
        """Place a request that runs already at a much faster upstream, if one is free.

        Nothing that waits may be overtaken by it.
        """
        pace = than.pace_s
        if self.waiting or pace is None:
            return None
        free = [
            track
            for track in self.tracks.values()
            if track.usable(now)
            and self._free_slots(track) > _EXTRA_REQUESTS + _MOVE_SPARE_SLOTS
            and track.pace_s is not None
            and track.pace_s < _MOVE_MAX_RATIO * pace
        ]
        if not free:
            return None
        return self._grant(ask, min(free, key=lambda track: track.in_flight), now)

    def output_s(self, tokens: int, track: UpstreamTrack) -> float:
        """Return how long an upstream takes to generate so many tokens."""
        if self.engine is None:
            return 0.0
        pace = track.pace_s or self._typical_interval_s or 0.0
        return tokens * pace / self.engine.tokens_per_event

    def free_places(self, now: float) -> int:
        """Return the requests that could start at once."""
        return sum(
            max(self._free_slots(track), 0)
            for track in self.tracks.values()
            if track.usable(now)
        )

    def wait_s(self, ask: Ask, now: float) -> float:
        """Return how long a request would probably wait here for its place."""
        ahead = sum(1 for one in self.waiting if one.rank <= ask.rank)
        return ahead * self.turnover_s()

    def turnover_s(self) -> float:
        """Return the mean time between two places that become free."""
        places = sum(track.slots for track in self.tracks.values()) or 1
        return self.holding_s / places

    def held(self, seconds: float) -> None:
        """Take a sample of how long a request keeps its place."""
        self.holding_s += _HOLDING_ALPHA * (seconds - self.holding_s)

    def _is_late(self, ask: Ask, now: float) -> bool:
        return now + self._min_first_event_s(ask) > ask.objective_at

    def _min_first_event_s(self, ask: Ask) -> float:
        if self.engine is None:
            return 0.0
        baseline_s = FIRST_EVENT_S + ask.prompt_tokens / PREFILL_TOKENS_PER_S
        return self._best_first_ratio * baseline_s

    def _any_free_slot(self) -> bool:
        """Whether any upstream has a place, for whichever request."""
        if self.most_own is not None:
            own = sum(len(track.own) for track in self.tracks.values())
            if own >= self.most_own:
                return False
        return any(self._free_slots(track) > 0 for track in self.tracks.values())

    def _free_slots(self, track: UpstreamTrack) -> int:
        if self.engine is None:
            return track.slots * _PLAIN_DEPTH - track.in_flight
        return track.slots + _EXTRA_REQUESTS - track.in_flight

    def _place(self, ask: Ask, now: float) -> Grant | None:
        kept_free = self._reserved_slots(ask)
        free = [
            track
            for track in self._candidates(ask, now)
            if self._free_slots(track) > kept_free(track)
        ]
        if not free:
            return None
        best = min(
            free, key=lambda track: (self._cost_s(ask, track, now), self._rng.random())
        )
        return self._grant(ask, best, now)

    def _candidates(self, ask: Ask, now: float) -> list[UpstreamTrack]:
        """Return the upstreams that a request may go to."""
        listed = [
            track
            for instance, track in self.tracks.items()
            if instance not in ask.exclude and not track.gone
        ]
        sound = [track for track in listed if track.usable(now)]
        # Where all were set aside, being set aside says nothing any more.
        return sound or [track for track in listed if track.open(now)]

    def _grant(self, ask: Ask, track: UpstreamTrack, now: float) -> Grant:
        baseline_s = track.baseline_s(ask.prompt_tokens)
        predicted = track.predict_s(baseline_s, self._first_event_ratio(track), now)
        track.begin(
            ask.number,
            Outstanding(
                prompt_tokens=ask.prompt_tokens,
                since=now,
                predicted_s=predicted,
                baseline_s=baseline_s,
            ),
        )
        return Grant(ask=ask, track=track, predicted_s=predicted, since=now)

    def _reserved_slots(self, ask: Ask) -> Callable[[UpstreamTrack], int]:
        """Return how many slots of an engine a request must leave free."""
        if self.engine is None:
            return lambda track: 0
        least_urgent = 0 < self._max_route_rank <= ask.route_rank

        def kept(track: UpstreamTrack) -> int:
            return int(track.slots * _RESERVED_SHARE) if least_urgent else 0

        return kept

    def _first_event_s(self, ask: Ask, track: UpstreamTrack, now: float) -> float:
        baseline_s = track.baseline_s(ask.prompt_tokens)
        return track.predict_s(baseline_s, self._first_event_ratio(track), now)

    def _first_event_ratio(self, track: UpstreamTrack) -> float:
        """Return what an engine takes to first events, against the usual."""
        if self.engine is None:
            return 1.0
        prior = self._typical_first_ratio * track.slowness(self._typical_interval_s)
        return track.expected_ratio(prior)

    def _cost_s(self, ask: Ask, track: UpstreamTrack, now: float) -> float:
        first = self._first_event_s(ask, track, now)
        if self.engine is None:
            return first
        output = self.output_s(ask.expected_out, track)
        # What can't end in time there is cut off after all its work.
        cut = max(now + first + output - ask.ends_at, 0.0)
        return first + _OUTPUT_WEIGHT * output + cut

    def _update_typical(self) -> None:
        paces = sorted(
            track.pace_s for track in self.tracks.values() if track.pace_s is not None
        )
        self._typical_interval_s = paces[len(paces) // 2] if paces else None
        ratios = sorted(
            track.first_ratio
            for track in self.tracks.values()
            if track.first_ratio is not None
        )
        if ratios:
            self._typical_first_ratio = ratios[len(ratios) // 2]
            self._best_first_ratio = ratios[0]
