"""Processor time of views of a fleet, homes and address answers."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable
from dataclasses import asdict, replace

from baobabwing.bench.slopes.fitting import Slope, fit, heap_bytes, seconds_of
from baobabwing.bench.slopes.registry import measurement
from baobabwing.bench.slopes.size import TARGET
from baobabwing.bench.slopes.state import member_record
from baobabwing.fleet.addresses import address_answer
from baobabwing.fleet.homes import carry_homes, home_of
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.store.hosts import ListedHost

__all__ = ["host_of", "measure_fleets", "view_of"]

MEMBERS = (57, 115, 230, 460)
REPEAT = 50
MICROSECONDS = 1e6
US = "us"
BYTES = "bytes"
RESOURCES = TARGET.cells + TARGET.organisations


def host_of(number: int) -> Host:
    """Return a host of a fleet over the target's zones and regions."""
    record = member_record(number)
    return Host(
        name=record.name,
        incarnation=record.incarnation,
        zone=f"zone-{number % TARGET.zones}",
        region=f"region-{number % TARGET.zones % TARGET.regions}",
        peer=record.peer,
        http=record.http,
    )


def view_of(count: int) -> FleetView:
    """Return a view in which that many hosts serve."""
    return FleetView(
        members=tuple(
            Member(host=host_of(number), state=MemberState.ALIVE)
            for number in range(count)
        )
    )


@measurement("fleet")
def measure_fleets() -> Iterable[Slope]:
    """Measure what grows with the members that a node knows."""
    yield _per_member("time: home of a resource, not yet remembered", _home_us)
    yield _per_member("time: address answer", _address_us)
    yield _per_member("time: homes carried to a new view", _carry_us)
    points = [(size, _listed_bytes(size)) for size in MEMBERS]
    yield fit("bytes: list of hosts", unit=BYTES, per="host", points=points)
    points = [(size, _remembered_bytes(size)) for size in (500, 1_000, 2_000)]
    yield fit("memory: remembered home", unit=BYTES, per="resource", points=points)


def _per_member(name: str, cost: object) -> Slope:
    points = [(size, cost(size) * MICROSECONDS) for size in MEMBERS]
    return fit(name, unit=US, per="member", points=points)


def _home_us(members: int) -> float:
    view = view_of(members)
    names = (f"cell:model/{number}" for number in itertools.count())
    return seconds_of(lambda: home_of(view, next(names)), repeat=REPEAT)


def _address_us(members: int) -> float:
    view = view_of(members)
    seeds = (f"caller-{number}" for number in itertools.count())

    def answer() -> None:
        address_answer(view, me=host_of(0), zone="zone-0", seed=next(seeds))

    return seconds_of(answer, repeat=REPEAT)


def _carry_us(members: int) -> float:
    """Return the time to carry all homes of the target to a view with one host more."""
    old = view_of(members)
    for number in range(RESOURCES):
        home_of(old, f"resource:{number}")
    newcomer = Member(
        host=replace(host_of(members), name="new"), state=MemberState.ALIVE
    )

    def carry() -> None:
        carry_homes(old, FleetView(members=(*old.members, newcomer)))

    return seconds_of(carry)


def _listed_bytes(members: int) -> float:
    """Return the size of the platform's answer to who is there."""
    listed = [
        ListedHost(
            name=host.name,
            zone=host.zone,
            region=host.region,
            peer=host.peer,
            http=host.http,
        )
        for host in map(host_of, range(members))
    ]
    return len(json.dumps([asdict(one) for one in listed]))


def _remembered_bytes(resources: int) -> float:
    def build() -> FleetView:
        view = view_of(8)
        for number in range(resources):
            home_of(view, f"organisation:organisation-{number:04d}")
        return view

    return heap_bytes(build)
