"""Which requests leave their zone: the price, the zone's state, and full zones."""

import heapq
import itertools
import random
from collections import Counter

import pytest

from baobabwing.gateway.decisions.scheduling import PlacementRequest, PoolScheduler
from baobabwing.gateway.decisions.zone_choice import (
    ZoneQueue,
    ZoneStates,
    crossing_cost_s,
    zone_crc,
)
from baobabwing.gateway.model import EngineSpec, UpstreamEntry

ZONES = ("za", "zb", "zc")
ENGINES, SLOTS, HOLD_S = 5, 5, 0.5
# Requests a second that fill the engines of one zone.
FULL_PER_S = ENGINES * SLOTS / HOLD_S
PRICE = 5.0
# 10 KB cost 50 ms at this price, and 3 ms for two crossings.
BYTES = 10_000


class ZonedCell:
    """Home of one cell with engines in three zones, in simulated time.

    :ivar in_time: requests of each zone with a slot before the last useful moment.
    :ivar crossed: those of them that left their zone.
    :ivar changes: starts and stops of sending out, each with its time.
    """

    def __init__(self, *, price=PRICE, shares_machines=True, zoned=True, seed=1):
        self.zoned = zoned
        engine = EngineSpec(slots=SLOTS, kv_tokens=1_000_000)
        self.rng = random.Random(seed)
        self.scheduler = PoolScheduler(engine=engine, rng=random.Random(seed))
        self.scheduler.shares_machines = shares_machines
        self.scheduler.zone_price_s_per_mb = price
        self.list_engines()
        self.now = 0.0
        self.asked, self.in_time = Counter(), Counter()
        self.crossed, self.granted = Counter(), []
        self.changes = []
        self._events, self._order = [], itertools.count()
        self._zones = {zone_crc(zone): zone for zone in ZONES}

    def list_engines(self, **engines):
        """List engines; some zones may have fewer than the usual number."""
        self.scheduler.set_upstreams(
            UpstreamEntry(
                instance=f"{zone}{n}", pool="p", address="a", zone=zone, slots=SLOTS
            )
            for zone in ZONES
            for n in range(engines.get(zone, ENGINES))
        )

    def run(self, seconds, loads, *, aim_s=0.8, ranks=(0,), **values):
        """Send requests.

        :param loads: demand by zone, as a share of what fills its engines.
        """
        ends_at = self.now + seconds
        for zone, load in loads.items():
            at = self.now
            while (at := at + self.rng.expovariate(load * FULL_PER_S)) < ends_at:
                self._push(at, zone)
        while self._events and self._events[0][0] < ends_at:
            self.now, _, event = heapq.heappop(self._events)
            if isinstance(event, str):
                self.submit(event, aim_s, rank=self.rng.choice(ranks), **values)
            elif event is not None:
                event.track.remove_request(event.request.number)
            self.place()
        self.now = ends_at

    def submit(self, zone, aim_s=0.8, **values):
        self.asked[zone] += 1
        usual = {"rank": 0, "prompt_tokens": 500, "expected_bytes": BYTES}
        request = PlacementRequest(
            **{**usual, **values},
            arrived_at=self.now,
            objective_at=self.now + aim_s,
            deadline_at=self.now + 3.0,
            zone=zone_crc(zone) if self.zoned else 0,
        )
        self.scheduler.submit(request)
        return request

    def place(self):
        self.scheduler.remove_unservable(self.now)
        for grant in self.scheduler.grants(self.now):
            self.granted.append(grant)
            zone = self._zones.get(grant.request.zone, "")
            self.in_time[zone] += self.now + 0.2 <= grant.request.objective_at
            self.crossed[zone] += grant.track.entry.zone != zone
            self._push(self.now + HOLD_S * self.rng.uniform(0.5, 1.5), grant)
        for change in self.scheduler.zones.take_changes():
            self.changes.append((self.now, self._zones[change.zone], change.sends_out))

    def _push(self, at, event):
        heapq.heappush(self._events, (at, next(self._order), event))

    def reset_counts(self):
        self.asked, self.in_time, self.crossed = Counter(), Counter(), Counter()
        self.granted.clear()

    def share(self, counts, zone):
        return counts[zone] / self.asked[zone]


def usual(load, **others):
    return {zone: others.get(zone, load) for zone in ZONES}


def test_price_is_for_the_bytes_and_two_crossings():
    assert crossing_cost_s(5.0, 10_000) == pytest.approx(0.05 + 2 * 0.0014)


def test_zone_with_enough_slots_keeps_its_requests():
    cell = ZonedCell()
    cell.run(20, usual(0.7))
    assert sum(cell.crossed.values()) == 0
    assert cell.changes == []


def test_without_the_rule_requests_cross_all_the_time():
    """The load of the test above, which shows that it tells the difference."""
    for off in ({"price": 0.0}, {"shares_machines": False}):
        cell = ZonedCell(**off)
        cell.run(10, usual(0.7))
        assert cell.share(cell.crossed, "za") > 0.5


def test_switched_off_nothing_differs_from_requests_without_a_zone():
    """Price 0, or machines that are not shared: the same grants in the same order."""
    granted = []
    for off in ({"price": 0.0}, {"shares_machines": False}, {"zoned": False}, {}):
        cell = ZonedCell(**off)
        cell.run(5, usual(1.3), ranks=(0, 1))
        granted.append(
            [(grant.track.entry.instance, grant.granted_at) for grant in cell.granted]
        )
    assert granted[0] == granted[1] == granted[2] != granted[3]


def test_zone_that_loses_half_of_its_engines_sends_out_and_recovers():
    """It keeps its own engines in use, and sends no more once they are back."""
    cell = ZonedCell()
    cell.run(5, usual(0.7))
    cell.list_engines(za=2)
    cell.reset_counts()
    cell.run(15, usual(0.7))
    assert cell.share(cell.in_time, "za") > 0.95
    assert 0.3 < cell.share(cell.crossed, "za") < 0.6
    assert cell.crossed["zb"] + cell.crossed["zc"] == 0
    cell.list_engines()
    cell.run(4, usual(0.7))
    cell.reset_counts()
    cell.run(10, usual(0.7))
    assert sum(cell.crossed.values()) == 0
    assert [change[1:] for change in cell.changes] == [("za", True), ("za", False)]


def test_zone_without_engines_sends_all_out_at_once():
    cell = ZonedCell()
    cell.list_engines(za=0)
    cell.run(5, usual(0.4))
    assert cell.share(cell.crossed, "za") == 1.0
    assert cell.share(cell.in_time, "za") == 1.0


def test_zone_at_twice_its_demand_uses_the_slots_that_others_leave():
    cell = ZonedCell()
    cell.run(3, usual(0.5, za=2.0))
    cell.reset_counts()
    cell.run(10, usual(0.4, za=1.9))
    for zone in ZONES:
        assert cell.share(cell.in_time, zone) > 0.95
    assert cell.share(cell.crossed, "za") < 0.6


def test_when_all_zones_are_full_nothing_leaves():
    cell = ZonedCell()
    cell.run(3, usual(1.5))
    cell.reset_counts()
    cell.run(10, usual(1.5))
    assert sum(cell.crossed.values()) < 0.02 * len(cell.granted)
    slots_per_s = len(ZONES) * FULL_PER_S
    assert len(cell.granted) > 0.95 * 10 * slots_per_s


def test_zone_without_engines_is_served_while_the_others_are_full():
    """It has no slot that could be kept for it, and would get none at all."""
    cell = ZonedCell()
    cell.list_engines(za=0)
    cell.run(3, usual(1.2))
    cell.reset_counts()
    cell.run(10, usual(1.2))
    assert cell.crossed["za"] > 0.25 * len(cell.granted)


def test_full_zones_serve_as_many_in_time_as_without_the_rule():
    """A rule that left slots idle, or served late requests first, would serve fewer."""
    served = []
    for price in (PRICE, 0.0):
        cell = ZonedCell(price=price)
        cell.run(15, usual(1.4, za=1.8, zb=1.1), ranks=(0, 1, 2))
        served.append((sum(cell.in_time.values()), len(cell.granted)))
    assert served[0][0] > 0.95 * served[1][0]
    assert served[0][1] > 0.97 * served[1][1]


def test_no_flapping_at_a_demand_near_the_bound():
    for load in (0.8, 0.9, 1.0):
        cell = ZonedCell(seed=3)
        cell.run(60, usual(0.4, za=load))
        assert len(cell.changes) <= 6


@pytest.mark.parametrize("cut", ["za", "zb"])
def test_partition_between_two_zones_leaves_each_with_the_third(cut):
    """Requests that can't reach a zone's engines exclude them, and are not held."""
    cell = ZonedCell()
    other = "zb" if cut == "za" else "za"
    excluded = {f"{other}{n}" for n in range(ENGINES)}
    cell.run(10, {cut: 1.4}, excluded=excluded)
    assert cell.share(cell.in_time, cut) > 0.95
    assert {grant.track.entry.zone for grant in cell.granted} == {cut, "zc"}


def full_zones():
    """Return a cell with one engine in each of two zones, which send out."""
    cell = ZonedCell()
    cell.list_engines(za=1, zb=1, zc=0)
    for zone in ("za", "zb"):
        for _ in range(SLOTS + 1):
            cell.submit(zone, aim_s=9.0)
        cell.scheduler.zones.record_too_few(zone_crc(zone), cell.now)
    cell.place()
    return cell


def free_slot(cell, zone):
    grant = next(one for one in cell.granted if one.track.entry.zone == zone)
    grant.track.remove_request(grant.request.number)
    cell.place()
    return cell.granted[-1].request


def test_urgent_request_takes_the_slot_of_another_zone():
    """The rule never overrides urgency: the slot's zone has less urgent ones only."""
    cell = full_zones()
    cell.submit("zb", rank=1)
    urgent = cell.submit("za", rank=0)
    assert free_slot(cell, "zb") is urgent


def test_slot_of_a_full_zone_goes_to_its_own_request_of_equal_rank():
    cell = full_zones()
    cell.submit("za")
    own = cell.submit("zb")
    assert free_slot(cell, "zb") is own
    assert len(cell.scheduler.waiting) == 1


def test_slot_that_its_zone_cannot_use_goes_to_another_zone():
    """It would idle while requests of both zones wait."""
    cell = full_zones()
    other = cell.submit("za")
    cell.submit("zb", excluded={"zb0"})
    assert free_slot(cell, "zb") is other


def test_request_that_would_be_late_leaves_whatever_the_price():
    cell = ZonedCell(price=1e6)
    cell.list_engines(za=1)
    for _ in range(SLOTS + 1):
        cell.submit("za")
    cell.place()
    cell.submit("za", aim_s=0.3)
    cell.place()
    assert cell.granted[-1].track.entry.zone != "za"


def test_running_stream_does_not_move_to_another_zone():
    cell = ZonedCell()
    tracks = cell.scheduler.tracks
    tracks["za0"].event_interval_s = 0.04
    tracks["zb0"].event_interval_s = 0.01
    request = PlacementRequest(
        rank=0, arrived_at=0, objective_at=1, deadline_at=3, zone=zone_crc("za")
    )
    assert cell.scheduler.grant_faster(request, tracks["za0"], 0.0) is None
    tracks["za1"].event_interval_s = 0.01
    moved = cell.scheduler.grant_faster(request, tracks["za0"], 0.0)
    assert moved.track is tracks["za1"]


def test_plain_service_in_its_zone_is_used_unless_it_is_slower_than_the_price():
    scheduler = PoolScheduler(engine=None, rng=random.Random(1))
    scheduler.shares_machines, scheduler.zone_price_s_per_mb = True, PRICE
    scheduler.set_upstreams(
        UpstreamEntry(instance=zone, pool="p", address="a", zone=zone, slots=6)
        for zone in ZONES
    )
    for began_at, own_s, expected in ((0.0, 0.12, "za"), (20.0, 0.2, "zb")):
        for track in scheduler.tracks.values():
            track.event_interval_s = own_s if track.entry.zone == "za" else 0.15
        scheduler.tracks["zb"].event_interval_s = 0.09
        for step in range(200):
            now = began_at + step / 10
            request = PlacementRequest(
                rank=0,
                arrived_at=now,
                objective_at=now + 1,
                deadline_at=now + 3,
                zone=zone_crc("za"),
                expected_bytes=BYTES,
            )
            scheduler.submit(request)
            (grant,) = scheduler.grants(now)
            grant.track.remove_request(request.number)
        assert grant.track.entry.instance == expected


def test_state_stops_only_with_a_margin_and_after_a_calm():
    states = ZoneStates()
    states.record_need(1, 10, 10, 0.0)
    states.record_too_few(1, 0.0)
    for step in range(1, 31):
        states.record_need(1, 9, 10, step / 10)
    assert states.sends_out(1)
    states.record_too_few(1, 3.0)
    for step in range(31, 50):
        states.record_need(1, 5, 10, step / 10)
        assert states.sends_out(1)
    states.record_need(1, 5, 10, 5.1)
    assert not states.sends_out(1)
    assert [change.sends_out for change in states.take_changes()] == [True, False]
    assert states.take_changes() == []


def test_queue_without_slots_can_take_nothing_in_time():
    queue = ZoneQueue(waiting=1, slots=0, holding_s=0.5, first_event_s=0.1)
    assert queue.too_few_slots(0.0, first_objective_at=9.0, last_objective_at=9.0)


def test_slot_that_becomes_free_at_the_time_of_a_search_is_granted():
    """What one search found is no longer true after a release."""
    cell = ZonedCell()
    cell.list_engines(za=1)
    for _ in range(SLOTS + 3):
        cell.submit("za")
    cell.place()
    assert len(cell.granted) == SLOTS + 1
    first = cell.granted[0]
    first.track.remove_request(first.request.number)
    cell.place()
    assert len(cell.granted) == SLOTS + 2
    assert {grant.track.entry.zone for grant in cell.granted} == {"za"}
