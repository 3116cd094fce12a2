"""Counts of limits, exchanged by way of two nodes that add them up.

Each node tells the first two of a ranking what it has admitted, and each of these
tells it what all others have. Two, so that one may end without anybody noticing. What
a node sends and takes does not grow with the fleet, and a node that hears neither
keeps to its own share of each limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from baobabwing.gateway.decisions.quotas import Spent
from baobabwing.gateway.events import COUNTS_LATE, SUMS_TAKEN_FROM
from baobabwing.gateway.members import Members
from baobabwing.gateway.placement.codec import crc, wrapped_difference
from baobabwing.gateway.placement.link import WorkLink
from baobabwing.gateway.placement.messages import Totals, Used, UsedReport
from baobabwing.gateway.state import GatewayState
from baobabwing.reports.events import log

__all__ = ["LimitsExchange"]

_RESOURCE = "limits"
_SUMMERS = 2
# Between two reports. What all nodes admit in this time comes on top of a limit; the
# excess that operators tolerate in 8 s covers it.
_REPORT_S = 0.25
# From this many nodes on a summer would get too much; the time grows with them.
_NODES_AT_FULL_PACE = 72
# Changes of the members within this time are one. In larger fleets it is a part of the
# pace: while 195 nodes come within some seconds, each told each of the two that add up
# thirty times a second what it had told before.
_GATHER_S = 0.03
_GATHER_SHARE = 0.25
# A node, or a summer, that is silent for this many reports does not count.
_SILENT_REPORTS = 3
# Reports that name an organisation after its count changed, so that one gets through.
_USED_TOLD = 4
_MOST_USED = 64


@dataclass(kw_only=True)
class _Reporter:
    """A node that reports to this one.

    :param counts: as it last told them, by crc of the organisation's name.
    """

    address: str
    heard_at: float
    number: int
    counts: dict[int, Used] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class _Units:
    units: int = 0
    excess: int = 0
    asked: int = 0

    def plus(self, other: _Units, *, sign: int = 1) -> _Units:
        return _Units(
            units=self.units + sign * other.units,
            excess=self.excess + sign * other.excess,
            asked=self.asked + sign * other.asked,
        )


@dataclass(kw_only=True)
class _Sum:
    """Units that all nodes have admitted since this node adds them up."""

    total: _Units = field(default_factory=_Units)
    changed_at: float = 0.0
    by_node: dict[int, _Units] = field(default_factory=dict)

    def add(self, node: int, now_told: Used, before: Used, now: float) -> None:
        change = _Units(
            units=wrapped_difference(now_told.units, before.units),
            excess=wrapped_difference(now_told.excess, before.excess),
            asked=wrapped_difference(now_told.asked, before.asked),
        )
        self.total = self.total.plus(change)
        self.by_node[node] = self.by_node.get(node, _Units()).plus(change)
        self.changed_at = now

    def without(self, node: int) -> _Units:
        return self.total.plus(self.by_node.get(node, _Units()), sign=-1)


@dataclass(kw_only=True)
class _Summer:
    """A node that adds up, as it last told."""

    heard_at: float = 0.0
    number: int = -1
    nodes: int = 0
    last: dict[int, Used] = field(default_factory=dict)
    totals: dict[str, Spent] = field(default_factory=dict)


class LimitsExchange:
    """Tells what this node admits, adds up what others do, and takes the sums.

    :param state: holds the limits.
    """

    def __init__(
        self, *, state: GatewayState, members: Members, link: WorkLink, rng: Random
    ) -> None:
        self._state = state
        self._members = members
        self._link = link
        self._node = rng.getrandbits(32)
        self._number = 0
        self._told: dict[str, tuple[Spent | None, int]] = {}
        self._reporters: dict[int, _Reporter] = {}
        self._sums: dict[int, _Sum] = defaultdict(_Sum)
        self._summers: dict[int, _Summer] = {}
        self._taken_from: int | None = None
        self._hurry = asyncio.Event()
        members.on_change(self._hurry.set)
        link.handle(UsedReport, self._take_report)
        link.handle(Totals, self._take_totals)

    async def run(self) -> None:
        """Report for as long as the node runs."""
        while True:
            self._state.quotas.set_pace(self._pace_s())
            self._report()
            self._count_nodes()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._pace_s()):
                    await self._hurry.wait()
            self._hurry.clear()
            await asyncio.sleep(self._gather_s())

    def _pace_s(self) -> float:
        return _REPORT_S * max(1.0, self._members.total / _NODES_AT_FULL_PACE)

    def _gather_s(self) -> float:
        pace_s = self._pace_s()
        return _GATHER_S if pace_s <= _REPORT_S else _GATHER_SHARE * pace_s

    def _silent_s(self) -> float:
        return _SILENT_REPORTS * self._pace_s()

    # What this node tells.

    def _report(self) -> None:
        self._number += 1
        report = UsedReport(node=self._node, number=self._number, used=self._changed())
        for address in self._members.homes(_RESOURCE, _SUMMERS):
            self._link.send(address, report)

    def _changed(self) -> tuple[Used, ...]:
        """Return the counts that are new or changed in the last few reports.

        The first word of an organisation is what later ones are compared with.
        """
        changed = []
        for name, spent in self._state.quotas.spent().items():
            before, times = self._told.get(name, (None, 0))
            times = _USED_TOLD if spent != before else times - 1
            self._told[name] = (spent, times)
            if times > 0 and len(changed) < _MOST_USED:
                changed.append(
                    Used(
                        organisation=crc(name),
                        units=int(spent.units),
                        excess=int(spent.excess),
                        asked=int(spent.asked),
                    )
                )
        return tuple(changed)

    # What this node adds up for others.

    def _take_report(self, message: UsedReport, address: str) -> None:
        now = time.monotonic()
        known = self._reporters.get(message.node)
        if known is None:
            known = _Reporter(address=address, heard_at=now, number=message.number)
            self._reporters[message.node] = known
        elif message.number <= known.number:
            return
        silent_s = now - known.heard_at
        fresh = silent_s <= self._silent_s()
        known.heard_at, known.number = now, message.number
        late = 0
        for used in message.used:
            before = known.counts.get(used.organisation)
            known.counts[used.organisation] = used
            # What was admitted over a silence came out of the other side's share.
            if before is not None and fresh:
                self._sums[used.organisation].add(message.node, used, before, now)
            else:
                late += _grown(used, before)
        if late > 0:
            log(COUNTS_LATE, peer=address, units=late, silent_s=round(silent_s, 2))
        self._forget_silent(now)
        self._link.send(address, self._totals_for(message, now))

    def _totals_for(self, message: UsedReport, now: float) -> Totals:
        recently = now - _USED_TOLD * self._pace_s()
        used = []
        for organisation, total in self._sums.items():
            if total.changed_at < recently:
                continue
            others = total.without(message.node)
            used.append(
                Used(
                    organisation=organisation,
                    units=others.units,
                    excess=others.excess,
                    asked=others.asked,
                )
            )
        return Totals(
            home=self._node,
            number=message.number,
            heard=len(self._reporters),
            used=tuple(used[:_MOST_USED]),
        )

    def _forget_silent(self, now: float) -> None:
        limit_s = self._silent_s()
        for node, known in tuple(self._reporters.items()):
            if now - known.heard_at > limit_s:
                del self._reporters[node]
                for total in self._sums.values():
                    total.by_node.pop(node, None)

    # What others have added up.

    def _take_totals(self, message: Totals, address: str) -> None:
        summer = self._summers.setdefault(message.home, _Summer())
        if message.number <= summer.number:
            return
        now = time.monotonic()
        summer.heard_at, summer.number = now, message.number
        summer.nodes = message.heard
        names = {crc(name): name for name in self._state.quotas.spent()}
        for used in message.used:
            name = names.get(used.organisation)
            if name is not None:
                self._unwrap(summer, name, used)
        self._choose(message.home, address, now)
        # The other one's sums hold the same units; counted twice they would halve
        # each limit. They are followed, so that its differences count from here on.
        self._state.quotas.hear(
            str(message.home),
            summer.totals,
            now,
            counted=message.home == self._taken_from,
        )
        self._count_nodes()

    def _choose(self, home: int, address: str, now: float) -> None:
        """Take the sums of the one that hears most nodes, and stay with it."""
        taken = self._summers.get(self._taken_from) if self._taken_from else None
        silent = taken is None or now - taken.heard_at > self._silent_s()
        if silent or self._summers[home].nodes > taken.nodes:
            if home != self._taken_from:
                heard = self._summers[home].nodes
                log(SUMS_TAKEN_FROM, peer=address, heard=heard, others_silent=silent)
            self._taken_from = home

    def _unwrap(self, summer: _Summer, name: str, used: Used) -> None:
        before = summer.last.get(used.organisation)
        summer.last[used.organisation] = used
        total = summer.totals.get(name, Spent())
        if before is None:
            summer.totals[name] = Spent(
                units=used.units, excess=used.excess, asked=used.asked
            )
            return
        summer.totals[name] = Spent(
            units=total.units + wrapped_difference(used.units, before.units),
            excess=total.excess + wrapped_difference(used.excess, before.excess),
            asked=total.asked + wrapped_difference(used.asked, before.asked),
        )

    def _count_nodes(self) -> None:
        """Take the share of all nodes that are on this side."""
        now = time.monotonic()
        limit_s = self._silent_s()
        for home, summer in tuple(self._summers.items()):
            if now - summer.heard_at > limit_s:
                del self._summers[home]
        taken = self._summers.get(self._taken_from) if self._taken_from else None
        heard = taken.nodes if taken is not None else 1
        self._state.set_nodes(heard, self._members.total)


def _grown(used: Used, before: Used | None) -> int:
    """Return the units that a count has grown by since the last one, or in all."""
    if before is None:
        return used.units
    return wrapped_difference(used.units, before.units)
