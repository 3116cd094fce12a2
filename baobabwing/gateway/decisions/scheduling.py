"""Scheduling of the requests of one pool or cell onto its upstreams."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Iterator
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from itertools import islice
from random import Random

from baobabwing.gateway.decisions.rate_limits import RateLimits
from baobabwing.gateway.decisions.refusal_limit import RefusalLimit
from baobabwing.gateway.decisions.slot_demand import Kind, SlotDemand
from baobabwing.gateway.decisions.told_evidence import forget_reports, weigh_reports
from baobabwing.gateway.decisions.tracking import (
    FIRST_EVENT_S,
    PER_SEQUENCE_S,
    PREFILL_TOKENS_PER_S,
    InFlightRequest,
    UpstreamTrack,
)
from baobabwing.gateway.decisions.waiting import PlacementRequest, WaitingRequests
from baobabwing.gateway.decisions.zone_choice import (
    ZoneQueue,
    ZoneStates,
    crossing_cost_s,
)
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

__all__ = ["Grant", "PlacementRequest", "PoolScheduler"]

# Requests that an engine gets in excess of its slots. The next one starts as soon as
# another ends, without the round trip to the gateway (3 to 5 ms) in which the slot
# would idle.
_EXTRA_REQUESTS = 1
# Share of an engine's slots that the least urgent requests must leave free. They keep a
# slot for seconds, the more urgent ones for a few hundred ms; if the former took all
# slots, the latter would miss their objective while waiting for one.
_RESERVED_SHARE = 0.25
# Expected time of an output from which on a request counts as long.
_LONG_OUTPUT_S = 0.5
# Weight of the time for a request's output relative to the time to its first event:
# long outputs go to fast engines, as far as these are not overloaded.
_OUTPUT_WEIGHT = 0.15
# A running stream moves to another engine only if that one has this many spare slots
# and its event interval is below this share of the current one.
_MOVE_SPARE_SLOTS = 1
_MOVE_MAX_RATIO = 0.6
# Plain services answer within some 20 ms; with requests for twice their slots, their
# own queue is short enough that none of these misses an objective of 100 ms.
_PLAIN_DEPTH = 2
# Random plain services on shared machines of which a node takes the best. Where it
# chose from all of them, more requests were rejected in simulated fleets, since all
# nodes chose the same one.
_INDEPENDENT_CHOICES = 2
# Requests that a plain service gets from a home in excess of its slots. Requests queued
# there can't be ordered, but the next one starts without a round trip to the home. In a
# surge at 113 nodes 0, 1, 2 and 4 had 780, 829, 858 and 877 answers in time; 4 keep an
# urgent request waiting twice as long as 2.
_EXTRA_PLAIN_REQUESTS = 2
# Answer times of a plain service are up to this many times the mean. A request granted
# a slot any later is likely to be late. Below half of the time to its objective, as
# requests would else be late when they arrive.
_LONG_ANSWER_RATIO = 1.5
_MAX_ANSWER_SHARE = 0.5
# Part of what the plain services can serve that nodes without a home send them
# together. Above it, requests that come at random would fill the services' queues.
_ALONE_SHARE = 0.9
# Window over which grants to late requests are counted: some ten grants in a full cell,
# and short compared with the 3 s for which callers wait.
_LATE_RATE_WINDOW_S = 1.0
# Time after a late or refused request for which slots count as contended.
_CONTENDED_S = 2.0
# Requests that a search for grants passes over because they wait for faster engines;
# bounds its cost.
_MAX_WAITING_FOR_FASTER = 8
# Requests a second that limited upstreams count as taking together, at least.
_MIN_TAKEN_PER_S = 0.05
# Upper bound of the retry delay given to refused callers: bursts last 2 to 5 s.
_MAX_RETRY_AFTER_S = 5.0
# Minimum retry delay of a refused late request, as a share of the time it has left. It
# is late in any case, and a longer delay lets more of the burst pass; a second refusal
# is final. Callers honour a delay of at most a third of their time.
_RETRY_AFTER_SHARE = 0.3
# Interval at which the need of the zones is sampled; it takes a look at each request
# in flight.
_ZONE_SAMPLE_S = 0.05
# Requests of a zone and rank that a search for one for a free slot looks at; bounds its
# cost.
_MAX_RESIDENTS = 16
# Longest retry delay of a request that gets no slot because those in time need them,
# as a share of the time it has left: homes add up to a fifth, and callers honour a
# third. Delays are spread from this part of the longest on: bursts last 2 to 5 s, so a
# shorter delay ends within the same burst.
_MAX_SPREAD_SHARE = 0.27
_MIN_SPREAD = 0.55
# A request in time is refused if its expected wait is longer than this many times what
# it can wait, and by this many seconds: turnover is a mean of some twenty requests, and
# a refusal that was not needed costs more than one that comes late.
_WAIT_MARGIN = 2.5
_WAIT_MARGIN_S = 0.05
# The same for a request whose caller came back in time: it was told to come back later,
# and coming back early may not pay.
_RETURN_WAIT_SHARE = 0.25
# Least part of the slots that a kind is expected to get beside more urgent ones.
_MIN_SHARE_OF_SLOTS = 0.05
# Longest part of its objective that a first event is expected to take. Else prompts
# that are read for longer would be late on arrival, and never get a slot under load.
_MAX_FIRST_EVENT_SHARE = 0.6
# Mean time between two free slots up to which no slots are reserved for urgent
# requests: it is an eighth of their shortest objective, some 0.6 s.
_SHORT_TURNOVER_S = 0.075
# Time for the whole answer of a plain service, until there are measurements.
_INITIAL_ANSWER_S = 0.02
# Time for which a request keeps its slot, until there are measurements.
_INITIAL_HOLDING_S = 0.5
# Weight of a new sample in the moving average of that time.
_HOLDING_ALPHA = 0.05


@dataclass(frozen=True, kw_only=True)
class Grant:
    """Slot granted to a request.

    :param request: the placement request.
    :param track: the upstream that the request goes to.
    :param predicted_s: expected seconds from ``granted_at`` to its first event, or to
        the whole answer of a plain service.
    :param granted_at: when the slot was granted.
    :param has_permit: whether it is counted against the upstream's rate limit.
    """

    request: PlacementRequest
    track: UpstreamTrack
    predicted_s: float
    granted_at: float
    has_permit: bool = False


class PoolScheduler:
    """Queue and upstreams of one pool at one node; does no I/O and reads no clock.

    Upstreams serve their requests in order of arrival, so a queue inside an upstream
    can't be reordered: requests in excess of the slots wait here.

    :param engine: figures of the pool's engines; ``None`` for plain services.
    :param rng: breaks ties.
    :param refusal_limit: limit on refusals of the upstreams; by default none.
    :param rate_limits: limits that the upstreams state, if requests that are placed
        here need no further permit; by default none.
    :param serve_in_time: whether late requests leave the slots to those that can be in
        time, while the upstreams share their machines.
    :ivar tracks: the listed upstreams by incarnation.
    :ivar waiting: the queued requests.
    :ivar holding_s: mean time for which a request keeps its slot.
    :ivar max_own: maximum number of this node's requests in flight while it places
        them without a home; ``None`` for no bound.
    :ivar nodes: nodes that send to the same upstreams without a home; 1 at a home.
    :ivar shares_machines: whether the upstreams share their machines with others, as
        far as they tell.
    :ivar at_home: whether it places the requests of all nodes.
    :ivar alone: whether this node sends plain services its share only, as it places
        requests without the home that usually does.
    :ivar zone_price_s_per_mb: seconds that a megabyte between availability zones is
        worth; 0 to place without regard to zones.
    :ivar zones: which zones send requests out.
    :ivar demand: what requests in time need of the slots.
    :ivar refused_for_in_time: requests refused so far because those in time need the
        slots.
    """

    def __init__(
        self,
        *,
        engine: EngineSpec | None,
        rng: Random,
        refusal_limit: RefusalLimit | None = None,
        rate_limits: RateLimits | None = None,
        serve_in_time: bool = False,
    ) -> None:
        self.engine = engine
        self.tracks: dict[str, UpstreamTrack] = {}
        self._by_crc: dict[int, UpstreamTrack] = {}
        self.waiting = WaitingRequests(is_late=self._is_late)
        self._rng = rng
        self._typical_interval_s: float | None = None
        self._typical_first_ratio = 1.0
        self._best_first_ratio = 1.0
        self._best_answer_s = _INITIAL_ANSWER_S
        self.holding_s = _INITIAL_HOLDING_S
        self.max_own: int | None = None
        self.nodes = 1
        self.shares_machines = False
        self.at_home = False
        self.alone = False
        self.zone_price_s_per_mb = 0.0
        self.zones = ZoneStates()
        self._zones_sampled_at = -math.inf
        self._held: defaultdict[int, set[int]] = defaultdict(set)
        self._free_as_held: dict[tuple, list[UpstreamTrack]] = {}
        self.serve_in_time = serve_in_time
        self.demand = SlotDemand()
        self.refused_for_in_time = 0
        self.refusal_limit = refusal_limit or RefusalLimit()
        self._rate_limits = RateLimits() if rate_limits is None else rate_limits
        self._max_route_rank = 0
        self._closed: set[str] = set()
        self._late_grants: deque[float] = deque()
        self._contended_until = 0.0
        self._paced_until = 0.0
        self._reports_count = False

    def set_engine(self, engine: EngineSpec) -> None:
        """Replace the figures of the pool's engines."""
        self.engine = engine
        for track in self.tracks.values():
            track.engine = engine

    def set_limits(self, refusal_limit: RefusalLimit, rate_limits: RateLimits) -> None:
        """Replace the limits, which the pool goes on to update."""
        self.refusal_limit = refusal_limit
        self._rate_limits = rate_limits

    def set_upstreams(self, entries: Iterable[UpstreamEntry]) -> None:
        """Replace the list of upstreams; those already known keep their state."""
        listed = {entry.instance: entry for entry in entries}
        for instance, entry in listed.items():
            track = self.tracks.get(instance)
            if track is None:
                self.tracks[instance] = UpstreamTrack(entry=entry, engine=self.engine)
            else:
                track.entry = entry
        for instance in [key for key in self.tracks if key not in listed]:
            self.tracks.pop(instance).departed = True
        self._by_crc = {track.crc: track for track in self.tracks.values()}

    def close(self, track: UpstreamTrack, until: float) -> None:
        """Send an upstream no requests until then, as it asked for."""
        track.closed_until = max(track.closed_until, until)
        self._closed.add(track.entry.instance)

    def record_refusal(self, track: UpstreamTrack, now: float) -> None:
        """Record that an upstream refused a request for load, of this node or another.

        With a limit on refusals, it gets no requests for a moment.
        """
        track.record_refusal(now)
        if self.refusal_limit.in_force:
            hold_s = self.refusal_limit.hold_s(track.refused_at, now, self._rng)
            self.close(track, now + hold_s)

    def reopens_in_s(self, now: float) -> float:
        """Return the time until a closed upstream opens or a pause ends; 0 if none."""
        if self._is_paced(now):
            return self._paced_until - now
        closed = self.closed(now)
        return min((track.closed_until for track in closed), default=now) - now

    def closed(self, now: float) -> list[UpstreamTrack]:
        """Return the upstreams that are closed now."""
        tracks = [self.tracks.get(instance) for instance in self._closed]
        still_closed = [
            track for track in tracks if track is not None and now < track.closed_until
        ]
        self._closed = {track.entry.instance for track in still_closed}
        return still_closed

    def opens_at(self, now: float) -> float:
        """Return when the first upstream opens again; now, if one is open.

        Also now, if there are no upstreams or all of them leave: it is unknown then
        when the next one starts.
        """
        closed = self.closed(now)
        if not closed or any(track.is_open(now) for track in self.tracks.values()):
            return now
        return min(track.closed_until for track in closed)

    def track(self, crc: int) -> UpstreamTrack | None:
        """Return a listed upstream by the crc of its incarnation."""
        return self._by_crc.get(crc)

    def has_software(
        self, software: int, excluded: AbstractSet[str] = frozenset()
    ) -> bool:
        """Whether an upstream that does not leave may go on with a stream.

        :param software: CRC-32 of the version that began the stream; 0 if none has.
        :param excluded: incarnations that are left out.
        """
        return any(
            track.may_continue(software) and not track.entry.draining
            for instance, track in self.tracks.items()
            if instance not in excluded
        )

    def submit(self, request: PlacementRequest) -> None:
        """Queue a request; :meth:`grants` places it, now or later."""
        self._max_route_rank = max(self._max_route_rank, request.route_rank)
        request.length_class = self._length_class(request)
        self.waiting.add(request)
        if self._leaves_slots:
            self._record_arrival(request)
        elif self.demand.is_observed:
            self.demand = SlotDemand()

    def _record_arrival(self, request: PlacementRequest) -> None:
        arrived_at = max(request.arrived_at, request.requested_at)
        if not (_is_exempt(request) or self._is_late(request, arrived_at)):
            self.demand.record_arrival(_kind(request), arrived_at)

    def withdraw(self, request: PlacementRequest) -> None:
        """Remove a request from the queue."""
        self.waiting.remove(request)

    def grants(self, now: float) -> list[Grant]:
        """Grant all slots that can be granted now, to the most urgent requests first.

        The search ends at the first request that gets no slot although it may go to any
        upstream, unless it waits for a faster engine. Slots that the least urgent
        requests must leave free are for urgent requests that are late, too.
        """
        granted: list[Grant] = []
        if not self.waiting or not self._any_free_slot(now):
            return granted
        self.update_typical()
        self._weigh_reports(now)
        self._held.clear()
        self._free_as_held.clear()
        blocked: list[PlacementRequest] = []
        waiting_for_faster = 0
        while self.waiting and waiting_for_faster < _MAX_WAITING_FOR_FASTER:
            request = self.waiting.take_first(now)
            if self._needs_slot_left_over(request, now) and not self._late_slots(now):
                blocked.append(request)
                break
            free = self._free_tracks(request, now)
            grant = self._place(request, free, now)
            if grant is None:
                blocked.append(request)
                waiting_for_faster += bool(free)
                if not free and not request.is_restricted:
                    break
                continue
            granted.append(grant)
            self._record_lateness(request, now)
        if blocked and self._is_least_urgent(blocked[-1]):
            granted += self._grants_to_late(now)
        for request in blocked:
            self.waiting.add(request)
        return granted

    def _grants_to_late(self, now: float) -> list[Grant]:
        """Grant the reserved slots to late requests that are more urgent."""
        granted = []
        blocked = []
        while (request := self.waiting.take_late()) is not None:
            grant = None
            if not self._is_least_urgent(request) and (
                not self._needs_slot_left_over(request, now) or self._late_slots(now)
            ):
                free = self._free_tracks(request, now)
                grant = self._place(request, free, now)
            if grant is not None:
                granted.append(grant)
                self._record_lateness(request, now)
                continue
            blocked.append(request)
            if not request.software:
                break
        for request in blocked:
            self.waiting.add(request)
        return granted

    def _record_lateness(self, request: PlacementRequest, now: float) -> None:
        if self._is_late(request, now):
            self._late_grants.append(now)
            self._contended_until = now + _CONTENDED_S

    @property
    def _leaves_slots(self) -> bool:
        """Whether late requests leave the slots to those that can be in time.

        A node that places requests for plain services beside others knows only its own
        of the requests that need their slots.
        """
        knows_all = self.engine is not None or self.nodes == 1
        return self.shares_machines and self.serve_in_time and knows_all

    def _needs_slot_left_over(self, request: PlacementRequest, now: float) -> bool:
        """Whether a request gets only slots that those in time will not need."""
        return (
            self._leaves_slots
            and not _is_exempt(request)
            and self._is_late(request, now)
        )

    def slots_left_over(self, now: float) -> float | None:
        """Return how many slots requests in time will not need.

        :returns: ``None`` without an estimate, or if it is not used.
        """
        if not self._leaves_slots:
            return None
        needed = self.demand.needed_slots(now, self.holding_s)
        if needed is None:
            return None
        slots = sum(track.slots for track in self.tracks.values() if _accepts(track))
        if self.max_own is not None:
            slots = min(slots, self.max_own)
        return max(slots - needed, 0.0)

    def _late_slots(self, now: float) -> float:
        """Return how many slots late requests may be granted now."""
        left_over = self.slots_left_over(now)
        if left_over is None:
            return math.inf
        return max(math.floor(left_over) - self.demand.late_running(), 0)

    def remove_unservable(self, now: float) -> list[tuple[PlacementRequest, float]]:
        """Remove queued requests that will hardly get a slot before their deadline.

        Late requests get the slots that requests in time leave over, the newest late
        request first. At the rate of the last second the older ones would wait until
        their callers give up; refused at once, these can retry when slots are free.
        Requests that have run can't, and stay queued.

        :returns: the requests, each with the seconds after which its caller should
            retry: the estimated wait for a slot, within bounds.
        """
        removed = self._remove_beyond_limits(now)
        left_over = self.slots_left_over(now)
        if left_over is None:
            removed += self._late_beyond_rate(now)
        else:
            unreachable = self._late_beyond_left_over(left_over, now)
            unreachable += self._unreachable_in_time(now)
            self.refused_for_in_time += len(unreachable)
            removed += unreachable
        for request, _ in removed:
            self.waiting.remove(request)
            self._contended_until = now + _CONTENDED_S
        return removed

    def _late_beyond_rate(self, now: float) -> list[tuple[PlacementRequest, float]]:
        """Return the late requests in excess of what late ones were granted of late."""
        removed = []
        slots_per_s = self.late_slots_per_s(now)
        for position, request in enumerate(self.waiting.late(now), 1):
            if request.has_run:
                continue
            left_s = request.deadline_at - now
            if position > slots_per_s * left_s:
                wait_s = position / slots_per_s if slots_per_s else left_s
                wait_s = max(wait_s, _RETRY_AFTER_SHARE * (request.ends_at - now))
                removed.append((request, min(wait_s, _MAX_RETRY_AFTER_S)))
        return removed

    def _late_beyond_left_over(
        self, left_over: float, now: float
    ) -> list[tuple[PlacementRequest, float]]:
        """Return the late requests for which no slot is left over by their deadline."""
        removed = []
        free = left_over - self.demand.late_running()
        slots_per_s = left_over / self.holding_s
        for position, request in enumerate(self.waiting.late(now), 1):
            left_s = request.deadline_at - now
            if not _is_exempt(request) and position > free + slots_per_s * left_s:
                removed.append((request, self._spread_retry_s(request, now)))
        return removed

    def _unreachable_in_time(self, now: float) -> list[tuple[PlacementRequest, float]]:
        """Return the requests in time that will be late when their turn comes.

        Those that came back early go last of their kind: their caller did not wait, and
        gains nothing over those that do.
        """
        removed = []
        ahead = 0
        turnover_s = self.turnover_s(now)
        for request in sorted(self.waiting.in_time(now), key=_refusal_key):
            urgent_per_s = self.demand.urgent_per_s(_kind(request), now)
            share = max(1.0 - urgent_per_s * turnover_s, _MIN_SHARE_OF_SLOTS)
            left_s = request.objective_at - now - self._min_first_event_s(request)
            wait_s = ahead * turnover_s / share
            longest_s = _WAIT_MARGIN * left_s + _WAIT_MARGIN_S
            if request.prioritized:
                longest_s = _RETURN_WAIT_SHARE * left_s
            if _is_exempt(request) or wait_s <= longest_s:
                ahead += 1
            else:
                removed.append((request, self._spread_retry_s(request, now)))
        return removed

    def _spread_retry_s(self, request: PlacementRequest, now: float) -> float:
        """Return a retry delay, at random within those that the caller honors."""
        longest_s = min(_MAX_SPREAD_SHARE * (request.ends_at - now), _MAX_RETRY_AFTER_S)
        return longest_s * self._rng.uniform(_MIN_SPREAD, 1.0)

    def _remove_beyond_limits(self, now: float) -> list[tuple[PlacementRequest, float]]:
        """Remove queued requests for which the upstreams' rate limits leave no room.

        :returns: the requests, each with the seconds until there is room again.
        """
        taken_per_s = self._taken_per_s(now)
        if taken_per_s is None:
            return []
        removed = []
        ahead = 0
        for request in self.waiting.by_urgency():
            wait_s = (ahead + 1) / taken_per_s
            if request.has_run or now + wait_s <= request.deadline_at:
                ahead += 1
                continue
            removed.append((request, min(wait_s, _MAX_RETRY_AFTER_S)))
        for request, _ in removed:
            self.waiting.remove(request)
        return removed

    def _taken_per_s(self, now: float) -> float | None:
        """Return the requests a second that the upstreams take together.

        ``None`` unless all of them have a rate limit.
        """
        if not self._rate_limits:
            return None
        # Those that are ejected count: they are back within seconds.
        open_now = [track.crc for track in self.tracks.values() if track.is_open(now)]
        if not open_now or any(self._rate_limits.get(crc) is None for crc in open_now):
            return None
        return max(self._rate_limits.rate(open_now), _MIN_TAKEN_PER_S)

    def late_slots_per_s(self, now: float) -> float:
        """Return the rate at which late requests were granted slots of late."""
        while self._late_grants and self._late_grants[0] < now - _LATE_RATE_WINDOW_S:
            self._late_grants.popleft()
        return len(self._late_grants) / _LATE_RATE_WINDOW_S

    def adopt(
        self,
        request: PlacementRequest,
        track: UpstreamTrack,
        now: float,
        *,
        started: bool,
    ) -> Grant:
        """Record a request that another node placed before.

        :param started: whether its first event has arrived.
        """
        grant = self._grant(request, track, now)
        if started:
            track.record_first_event(request.number)
        return grant

    def grant_faster(
        self, request: PlacementRequest, current: UpstreamTrack, now: float
    ) -> Grant | None:
        """Grant a running request a slot at a much faster upstream, if one is free.

        Waiting requests go first: nothing is granted while there are any.

        :param current: the upstream where it runs.
        """
        interval_s = current.event_interval_s
        if self.waiting or interval_s is None:
            return None
        free = [
            track
            for track in self.tracks.values()
            if track.is_usable(now)
            and track.may_continue(request.software)
            and self._rate_limits.get(track.crc) is None
            and not self._leaves_zone(request, track, current)
            and self._free_slots(track, now) > _EXTRA_REQUESTS + _MOVE_SPARE_SLOTS
            and track.event_interval_s is not None
            and track.event_interval_s < _MOVE_MAX_RATIO * interval_s
        ]
        if not free:
            return None
        return self._grant(request, min(free, key=lambda track: track.in_flight), now)

    def generation_s(self, tokens: int, track: UpstreamTrack) -> float:
        """Return how long an upstream takes to generate so many tokens."""
        if self.engine is None:
            return 0.0
        interval_s = track.event_interval_s
        if interval_s is None:
            interval_s = track.told_slowness * (self._typical_interval_s or 0.0)
        return tokens * interval_s / self.engine.tokens_per_event

    def usual_output_s(self, track: UpstreamTrack) -> float:
        """Return how long an output of unknown length takes at an upstream."""
        if self.engine is None:
            return 0.0
        return self.holding_s * track.slowness(self._typical_interval_s)

    def free_slots(self, now: float) -> int:
        """Return how many requests could be placed at once."""
        return sum(
            max(self._free_slots(track, now), 0)
            for track in self.tracks.values()
            if track.is_usable(now)
        )

    def wait_s(self, request: PlacementRequest, now: float) -> float:
        """Return the estimated wait of a request for its slot."""
        ahead = sum(1 for waiting in self.waiting if waiting.rank <= request.rank)
        return ahead * self.turnover_s(now)

    def turnover_s(self, now: float) -> float:
        """Return the mean time between two requests that get a slot, under load."""
        taken_per_s = self._taken_per_s(now)
        limited_s = 0.0 if taken_per_s is None else 1.0 / taken_per_s
        return max(self._mean_release_s(), limited_s)

    def _mean_release_s(self) -> float:
        """Return the mean time between two slots that become free, if all are used."""
        slots = sum(track.slots for track in self.tracks.values()) or 1
        return self.holding_s / slots

    def record_holding(self, seconds: float, number: int = 0) -> None:
        """Add a sample of the time for which a request kept its slot.

        :param number: the number of the request; 0 if it is not known.
        """
        self.holding_s += _HOLDING_ALPHA * (seconds - self.holding_s)
        self.demand.record_holding(number, seconds)

    def _is_late(self, request: PlacementRequest, now: float) -> bool:
        return now + self._min_first_event_s(request) > request.objective_at

    def _is_least_urgent(self, request: PlacementRequest) -> bool:
        return 0 < self._max_route_rank <= request.route_rank

    def _length_class(self, request: PlacementRequest) -> int:
        if self._typical_interval_s is None or self.engine is None:
            return 0
        events = request.expected_output_tokens / self.engine.tokens_per_event
        output_s = events * self._typical_interval_s
        return math.floor(math.log2(max(output_s / _LONG_OUTPUT_S, 0.5))) + 1

    def _min_first_event_s(self, request: PlacementRequest) -> float:
        if self.engine is None:
            ordered = self.at_home or self.alone
            return self._min_answer_s(request) if ordered else 0.0
        baseline_s = FIRST_EVENT_S + request.prompt_tokens / PREFILL_TOKENS_PER_S
        if self._leaves_slots:
            return self._usual_first_event_s(request, baseline_s)
        return self._best_first_ratio * baseline_s

    def _min_answer_s(self, request: PlacementRequest) -> float:
        """Return how long before its objective a plain request needs its slot."""
        aim_s = max(request.objective_at - request.arrived_at, 0.0)
        return min(_LONG_ANSWER_RATIO * self._best_answer_s, _MAX_ANSWER_SHARE * aim_s)

    def _usual_first_event_s(
        self, request: PlacementRequest, baseline_s: float
    ) -> float:
        """Return the time to a first event at a usual engine with no slot free.

        With the shortest time instead, the last requests granted as in time are late.
        """
        engine_slots = self.engine.slots if self.engine is not None else 1
        baseline_s += PER_SEQUENCE_S * (engine_slots - 1)
        objective_s = max(request.objective_at - request.arrived_at, 0.0)
        return min(
            self._typical_first_ratio * baseline_s,
            _MAX_FIRST_EVENT_SHARE * objective_s,
        )

    def _any_free_slot(self, now: float) -> bool:
        """Whether any upstream has a free slot and this node may use it."""
        if self.max_own is not None:
            own = sum(len(track.own) for track in self.tracks.values())
            if own >= self.max_own:
                return False
        return any(self._free_slots(track, now) > 0 for track in self.tracks.values())

    def _free_slots(self, track: UpstreamTrack, now: float) -> int:
        """Return how many more requests an upstream may get, beyond its slots too."""
        if self._rate_limits.get(track.crc) is not None:
            open_now = self._rate_limits.opens_at(track.crc, now) <= now
            return min(track.slots - track.in_flight, int(open_now))
        if self.refusal_limit.in_force:
            return self._free_sure_slots(track)
        if self.engine is None and self.at_home:
            return track.slots + _EXTRA_PLAIN_REQUESTS - track.in_flight
        if self.engine is None:
            return track.slots * _PLAIN_DEPTH - track.in_flight
        return track.slots + self._extra_requests - track.in_flight

    @property
    def _extra_requests(self) -> int:
        """Requests that an engine gets in excess of its slots.

        None where requests in time need the slots: one of them would wait for the next
        slot of one engine, which long outputs keep for seconds. Queued here, it gets
        the next one of any.
        """
        return 0 if self._leaves_slots else _EXTRA_REQUESTS

    def _free_sure_slots(self, track: UpstreamTrack) -> int:
        """Return how many more requests an upstream will hardly refuse."""
        if self.engine is None and not self.at_home:
            return max(track.slots // self.nodes, 1) - len(track.own)
        return track.slots - track.in_flight

    def _free_tracks(
        self, request: PlacementRequest, now: float
    ) -> list[UpstreamTrack]:
        """Return the upstreams that have a free slot for a request."""
        if self._is_paced(now):
            return []
        if self._weighs_zones(request):
            free = self._free_of_held(request, now)
            if free:
                return free
        reserved_slots = self._reserved_slots(request)
        return [
            track
            for track in self._candidates(request, now)
            if self._free_slots(track, now) > reserved_slots(track)
        ]

    def _place(
        self, request: PlacementRequest, free: list[UpstreamTrack], now: float
    ) -> Grant | None:
        """Grant a slot at the best of the free upstreams; ``None`` if none will do."""
        if request.length_class and now < self._contended_until:
            free = self._without_too_slow(request, free, now)
        if not free:
            return None
        if self._weighs_zones(request):
            return self._place_by_zone(request, free, now)
        return self._grant_best(request, free, now)

    def _grant_best(
        self, request: PlacementRequest, free: list[UpstreamTrack], now: float
    ) -> Grant:
        best = min(
            self._choices(free),
            key=lambda track: (self._cost_s(request, track, now), self._rng.random()),
        )
        has_permit = self._rate_limits.take(best.crc, now)
        if self._leaves_slots:
            is_late = self._is_late(request, now)
            self.demand.record_grant(
                _kind(request), request.number, best, is_late=is_late
            )
        return self._grant(request, best, now, has_permit=has_permit)

    def _choices(self, free: list[UpstreamTrack]) -> list[UpstreamTrack]:
        """Return the free upstreams of which a request goes to the best."""
        if not self._places_independently or len(free) <= _INDEPENDENT_CHOICES:
            return free
        return self._rng.sample(free, _INDEPENDENT_CHOICES)

    @property
    def _places_independently(self) -> bool:
        """Whether other nodes use the upstreams, and only reports tell how much."""
        return self.shares_machines and self.engine is None and self.nodes > 1

    def _weigh_reports(self, now: float) -> None:
        if self.shares_machines:
            self._reports_count = True
            weigh_reports(
                self.tracks.values(),
                typical_s=self._typical_interval_s,
                plain=self.engine is None,
                independent=self._places_independently,
                now=now,
            )
        elif self._reports_count:
            self._reports_count = False
            forget_reports(self.tracks.values())

    @property
    def weighs_zones(self) -> bool:
        """Whether requests are placed with regard to availability zones."""
        return self.shares_machines and self.zone_price_s_per_mb > 0

    def _weighs_zones(self, request: PlacementRequest) -> bool:
        return self.weighs_zones and request.zone != 0

    def _leaves_zone(
        self,
        request: PlacementRequest,
        track: UpstreamTrack,
        current: UpstreamTrack | None = None,
    ) -> bool:
        """Whether a request has to leave its zone for an upstream.

        :param current: the upstream where it runs; it may go on in that one's zone.
        """
        if not self._weighs_zones(request) or not track.zone:
            return False
        return track.zone not in (request.zone, current.zone if current else 0)

    def _place_by_zone(
        self, request: PlacementRequest, free: list[UpstreamTrack], now: float
    ) -> Grant | None:
        """Grant a slot in the request's zone, or in another one if that pays.

        If the request waits for its zone, or the slot is for those of the slot's zone,
        one of these gets it, and the request goes back to the queue.
        """
        self._sample_zones(request.zone, now)
        within = (0, request.zone)
        own = [track for track in free if track.zone in within]
        others = [track for track in free if track.zone not in within]
        if not others:
            return self._grant_best(request, own, now)
        if own:
            spare = self._spare(request, others, now, would_be_late=False)
            return self._grant_best(
                request, self._in_time(request, own, spare, now), now
            )
        if self._free_of_held(request, now):
            self._held[request.zone].add(request.number)
            return None
        usual = [
            track
            for track in self._candidates(request, now)
            if track.zone in within and self._rate_limits.get(track.crc) is None
        ]
        if not usual:
            # It has no zone to wait for, and no slots of its own while all are full.
            return self._grant_best(request, others, now)
        leaves, would_be_late = self._may_leave(request, usual, now)
        if not leaves:
            grant = self._grant_resident(request, others, now, equal_rank=False)
            if grant is None:
                self._hold(request, others, now)
            return grant
        spare = self._spare(request, others, now, would_be_late=would_be_late)
        if spare:
            return self._grant_best(request, spare, now)
        grant = self._grant_resident(request, others, now, equal_rank=True)
        # Those of the zone may be unable to use the slot, which must not idle.
        return grant or self._grant_best(request, others, now)

    def _in_time(
        self,
        request: PlacementRequest,
        own: list[UpstreamTrack],
        others: list[UpstreamTrack],
        now: float,
    ) -> list[UpstreamTrack]:
        """Return the free upstreams to choose from.

        Those of other zones alone, whatever the price, if only they are in time; those
        of its own zone alone, if that keeps in.
        """
        self._sample_gain(request, own, others, now)
        left_s = request.objective_at - now

        def fits(track: UpstreamTrack) -> bool:
            return self.first_event_s(request, track, now) <= left_s

        if any(map(fits, own)) or not any(map(fits, others)):
            return own + others if self.zones.sends_out(request.zone) else own
        self.zones.record_too_few(request.zone, now)
        return [track for track in others if fits(track)]

    def _sample_gain(
        self,
        request: PlacementRequest,
        own: list[UpstreamTrack],
        others: list[UpstreamTrack],
        now: float,
    ) -> None:
        """Record what the request would gain in another zone."""
        if not others or not self.zones.samples_gain(request.zone, now):
            return
        cost_s = crossing_cost_s(self.zone_price_s_per_mb, request.expected_bytes)
        own_s = min(self._cost_s(request, track, now) for track in own)
        other_s = min(self._cost_s(request, track, now) for track in others)
        self.zones.record_gain(request.zone, own_s - other_s + cost_s, cost_s, now)

    def _may_leave(
        self, request: PlacementRequest, own: list[UpstreamTrack], now: float
    ) -> tuple[bool, bool]:
        """Whether a request leaves its zone, where no slot is free for it.

        :param own: the upstreams of its zone that it may use.
        :returns: whether it leaves, and whether it or another one would be late else.
        """
        queue = self._zone_queue(request, own, now)
        late = self._is_late(request, now)
        if not late and queue.too_few_slots(
            now,
            first_objective_at=request.objective_at,
            last_objective_at=self._last_objective_at(request, now),
        ):
            self.zones.record_too_few(request.zone, now)
            return True, True
        cost_s = crossing_cost_s(self.zone_price_s_per_mb, request.expected_bytes)
        sends_out = late or self.zones.sends_out(request.zone)
        return sends_out and queue.wait_s > cost_s, False

    def _zone_queue(
        self, request: PlacementRequest, own: list[UpstreamTrack], now: float
    ) -> ZoneQueue:
        waiting = sum(
            len(of_rank)
            for urgency, of_rank in self.waiting.of_zone(request.zone).items()
            if urgency <= request.urgency
        )
        return ZoneQueue(
            waiting=waiting + len(self._held[request.zone] | {request.number}),
            slots=sum(track.slots for track in own),
            holding_s=self.holding_s,
            first_event_s=min(self.first_event_s(request, track, now) for track in own),
        )

    def _last_objective_at(self, request: PlacementRequest, now: float) -> float:
        """Return the objective of the last request of a zone and rank.

        Infinity if there is none, or if it is late already.
        """
        of_rank = self.waiting.of_zone(request.zone).get(request.urgency)
        if not of_rank:
            return math.inf
        last = next(reversed(of_rank.values()))
        return math.inf if self._is_late(last, now) else last.objective_at

    def _free_of_held(
        self, request: PlacementRequest, now: float
    ) -> list[UpstreamTrack]:
        """Return what was free for a request like this one that was held.

        Empty if none was held in this search. Nothing has become free since, so that
        this one is held too, without another look at all upstreams.
        """
        if not self._free_as_held or request.is_restricted:
            return []
        return self._free_as_held.get(self._kind(request, now), [])

    def _kind(self, request: PlacementRequest, now: float) -> tuple:
        """Return what decides whether an unrestricted request is held."""
        return request.zone, request.urgency, self._is_late(request, now)

    def _spare(
        self,
        request: PlacementRequest,
        others: list[UpstreamTrack],
        now: float,
        *,
        would_be_late: bool,
    ) -> list[UpstreamTrack]:
        """Leave out upstreams whose zone has equally urgent requests of its own.

        A zone that keeps in can take those later, and still in time.
        """
        needed = {
            zone: any(self._residents(zone, request, now, equal_rank=True))
            and not (would_be_late and not self.zones.sends_out(zone))
            for zone in {track.zone for track in others}
        }
        return [track for track in others if not needed[track.zone]]

    def _residents(
        self, zone: int, request: PlacementRequest, now: float, *, equal_rank: bool
    ) -> Iterator[PlacementRequest]:
        """Return waiting requests of a zone that may get its slots before another one.

        :param request: the other one; those returned are late only if it is.
        :param equal_rank: whether only those as urgent as it may.
        """
        late = self._is_late(request, now)
        of_zone = self.waiting.of_zone(zone)
        equal_rank = equal_rank or late
        ranks = [request.urgency] if equal_rank else sorted(of_zone)
        for urgency in ranks:
            # Of the late ones, the newest go first.
            of_rank = tuple(of_zone.get(urgency, {}).values())
            for resident in islice(of_rank[::-1] if late else of_rank, _MAX_RESIDENTS):
                if self._is_late(resident, now) is late and not (
                    equal_rank and _goes_behind(resident, request)
                ):
                    yield resident

    def _grant_resident(
        self,
        request: PlacementRequest,
        others: list[UpstreamTrack],
        now: float,
        *,
        equal_rank: bool,
    ) -> Grant | None:
        """Grant a slot of another zone to a request of its own that can use it."""
        for zone in dict.fromkeys(track.zone for track in others):
            for resident in self._residents(zone, request, now, equal_rank=equal_rank):
                free = [
                    track
                    for track in self._free_tracks(resident, now)
                    if track.zone == zone
                ]
                if resident.length_class and now < self._contended_until:
                    free = self._without_too_slow(resident, free, now)
                if free:
                    self.waiting.remove(resident)
                    self.waiting.add(request)
                    return self._grant_best(resident, free, now)
        return None

    def _hold(
        self, request: PlacementRequest, others: list[UpstreamTrack], now: float
    ) -> None:
        """Record that a request waits for its zone, until the next search."""
        self._held[request.zone].add(request.number)
        if not request.is_restricted:
            self._free_as_held[self._kind(request, now)] = others

    def _sample_zones(self, zone: int, now: float) -> None:
        """Record what the requests of each zone need of its slots."""
        if now - self._zones_sampled_at < _ZONE_SAMPLE_S:
            return
        self._zones_sampled_at = now
        slots: Counter[int] = Counter()
        needed: Counter[int] = Counter()
        for track in self.tracks.values():
            if track.is_usable(now):
                slots[track.zone] += track.slots
            needed.update(item.zone for item in track.own.values())
        for known in {zone, *self.zones}:
            waiting = sum(map(len, self.waiting.of_zone(known).values()))
            self.zones.record_need(known, needed[known] + waiting, slots[known], now)

    def _without_too_slow(
        self, request: PlacementRequest, free: list[UpstreamTrack], now: float
    ) -> list[UpstreamTrack]:
        """Leave out engines at which a long output would be cut off at its end.

        Other requests can use the slot that it would waste. If all engines are too
        slow, none is left out: the expected length may be wrong.
        """
        able = [track for track in free if self._past_end_s(request, track, now) <= 0]
        if able or not any(
            self._past_end_s(request, track, now) <= 0
            for track in self._candidates(request, now)
        ):
            return able or free
        return []

    def _candidates(self, request: PlacementRequest, now: float) -> list[UpstreamTrack]:
        """Return the upstreams that a request may go to."""
        listed = [
            track
            for instance, track in self.tracks.items()
            if instance not in request.excluded
            and not track.departed
            and track.may_continue(request.software)
        ]
        usable = [track for track in listed if track.is_usable(now)]
        # If all are ejected, ejection no longer tells good upstreams from bad ones.
        return usable or [track for track in listed if track.is_open(now)]

    def _grant(
        self,
        request: PlacementRequest,
        track: UpstreamTrack,
        now: float,
        *,
        has_permit: bool = False,
    ) -> Grant:
        baseline_s = track.baseline_s(request.prompt_tokens, self._best_answer_s)
        predicted_s = track.predict_s(baseline_s, self._first_event_ratio(track), now)
        track.add_request(
            request.number,
            InFlightRequest(
                prompt_tokens=request.prompt_tokens,
                sent_at=now,
                predicted_s=predicted_s,
                baseline_s=baseline_s,
                zone=request.zone,
            ),
        )
        self._pace(track, now)
        return Grant(
            request=request,
            track=track,
            predicted_s=predicted_s,
            granted_at=now,
            has_permit=has_permit,
        )

    def _is_paced(self, now: float) -> bool:
        """Whether this node has to wait before it sends the next request."""
        paced = self.refusal_limit.in_force or self.alone
        return paced and now < self._paced_until

    def _pace(self, track: UpstreamTrack, now: float) -> None:
        """Wait until this node may send the next request there, and to any service.

        With the first bound alone, a node that was idle could send one request to each
        service at once, and so could all others at the start of a rush.
        """
        if self.engine is not None or self.at_home:
            return
        if not (self.refusal_limit.in_force or self.alone):
            return
        if not self.refusal_limit.in_force:
            pace_s = self._alone_pace_s()
            self._paced_until = max(self._paced_until, now - pace_s) + pace_s
            return
        pace_s = self.refusal_limit.pace_s(self._all_served_per_s(), self.nodes)
        self._paced_until = max(self._paced_until, now - pace_s) + pace_s
        pace_s = self.refusal_limit.pace_s(self._served_per_s(track), self.nodes)
        self.close(track, now + pace_s)

    def go_alone(self, now: float) -> None:
        """Begin to send plain services this node's share only.

        The nodes that lose a home together begin at different times.
        """
        if not self.alone:
            self.alone = True
            self._paced_until = now + self._rng.random() * self._alone_pace_s()

    def _alone_pace_s(self) -> float:
        """Return the time between two requests of a node without a home."""
        return self.nodes / (_ALONE_SHARE * max(self._all_served_per_s(), 1.0))

    def _all_served_per_s(self) -> float:
        """Return how many requests a second the plain services can serve."""
        return sum(map(self._served_per_s, filter(_accepts, self.tracks.values())))

    def _served_per_s(self, track: UpstreamTrack) -> float:
        """Return how many requests a second a plain service can serve."""
        return track.slots / (track.event_interval_s or self._best_answer_s)

    def _reserved_slots(
        self, request: PlacementRequest
    ) -> Callable[[UpstreamTrack], int]:
        """Return a function from an engine to the slots a request must leave free."""
        if self.engine is None:
            return lambda track: 0
        least_urgent = self._is_least_urgent(request)
        if self._leaves_slots and self._mean_release_s() <= _SHORT_TURNOVER_S:
            return lambda track: 0

        def reserved(track: UpstreamTrack) -> int:
            if not least_urgent or self._rate_limits.get(track.crc) is not None:
                return 0
            return int(track.slots * _RESERVED_SHARE)

        return reserved

    def first_event_s(
        self, request: PlacementRequest, track: UpstreamTrack, now: float
    ) -> float:
        """Return the expected time to a first event, or to a plain service's answer."""
        baseline_s = track.baseline_s(request.prompt_tokens, self._best_answer_s)
        return track.predict_s(baseline_s, self._first_event_ratio(track), now)

    def _first_event_ratio(self, track: UpstreamTrack) -> float:
        """Return the expected ratio of an engine's first event time to the baseline."""
        if self.engine is None:
            return 1.0
        prior = self._typical_first_ratio * track.slowness(self._typical_interval_s)
        return track.expected_ratio(prior)

    def _cost_s(
        self, request: PlacementRequest, track: UpstreamTrack, now: float
    ) -> float:
        first_event_s = self.first_event_s(request, track, now)
        if self._leaves_zone(request, track):
            first_event_s += crossing_cost_s(
                self.zone_price_s_per_mb, request.expected_bytes
            )
        if self.engine is None:
            return first_event_s
        generation_s = self.generation_s(request.expected_output_tokens, track)
        past_end_s = self._past_end_s(request, track, now)
        return first_event_s + _OUTPUT_WEIGHT * generation_s + past_end_s

    def _past_end_s(
        self, request: PlacementRequest, track: UpstreamTrack, now: float
    ) -> float:
        """Return how long after its end a request's output would be complete.

        It is cut off at the end, and all the work for it is wasted.
        """
        first_event_s = self.first_event_s(request, track, now)
        generation_s = self.generation_s(request.expected_output_tokens, track)
        return max(now + first_event_s + generation_s - request.ends_at, 0.0)

    def update_typical(self) -> None:
        """Update the median event interval, the shortest answer time and the ratios."""
        intervals = sorted(
            track.event_interval_s
            for track in self.tracks.values()
            if track.event_interval_s is not None
        )
        self._typical_interval_s = intervals[len(intervals) // 2] if intervals else None
        self._best_answer_s = intervals[0] if intervals else _INITIAL_ANSWER_S
        ratios = sorted(
            track.first_ratio
            for track in self.tracks.values()
            if track.first_ratio is not None
        )
        if ratios:
            self._typical_first_ratio = ratios[len(ratios) // 2]
            self._best_first_ratio = ratios[0]


def _goes_behind(resident: PlacementRequest, request: PlacementRequest) -> bool:
    """Whether a request of equal rank would be taken after another by its kind."""
    return (
        bool(resident.software) < bool(request.software)
        or resident.has_run < request.has_run
        or resident.prioritized < request.prioritized
        or resident.length_class > request.length_class
    )


def _refusal_key(request: PlacementRequest) -> tuple[int, int, bool]:
    came_back = request.prioritized and not _is_exempt(request)
    return request.rank, request.route_rank, came_back


def _is_exempt(request: PlacementRequest) -> bool:
    """Whether a request may not be refused: its work, or its stream, would be lost."""
    return bool(request.has_run or request.software)


def _kind(request: PlacementRequest) -> Kind:
    return request.rank, request.route_rank


def _accepts(track: UpstreamTrack) -> bool:
    return not (track.departed or track.entry.draining)
