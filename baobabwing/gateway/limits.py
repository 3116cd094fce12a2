"""Counts of limits, exchanged by way of two nodes that add them up.

Each node tells the first two of a ranking what it has admitted, and each of these
tells it what all others have. Two, so that one may end without anybody noticing. What
a node sends and takes does not grow with the fleet, and a node that hears neither
keeps to its own share of each limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import deque
from dataclasses import dataclass
from random import Random

from baobabwing.gateway.decisions.charges import Spent
from baobabwing.gateway.events import COUNTS_LATE, SUMS_TAKEN_FROM
from baobabwing.gateway.limit_sources import SumSources
from baobabwing.gateway.limit_sums import MOST_USED, LimitSums
from baobabwing.gateway.members import Members
from baobabwing.gateway.placement.codec import crc
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
# Requests that wait for a confirmation share a report: those of some ms, and all that
# come within this part of the pace after the last one. Without it, those that add up
# would get more reports the more requests wait for them.
_TOGETHER_S = 0.003
_PAUSE_PACES = 0.5
# A confirmation takes some ms from its report on; it is waited for so long at the most.
_CONFIRM_S = 0.1
# Reports whose confirmation may still come.
_SENT_KEPT = 32


@dataclass(frozen=True, kw_only=True)
class _Sent:
    """A report of this node.

    :param charged: units that it names, by organisation.
    """

    number: int
    at: float
    charged: dict[str, float]


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
        self._sent: deque[_Sent] = deque(maxlen=_SENT_KEPT)
        self._sums = LimitSums(
            node=self._node,
            window_s=state.quotas.window_s,
            fair_units=self._fair_units,
        )
        self._sources = SumSources()
        self._homes: tuple[str, ...] = ()
        self._names: dict[int, str] = {}
        self._names_of: tuple[str, ...] = ()
        self._hurry = asyncio.Event()
        self._report_due = False
        self._reported_at = 0.0
        self._confirmed = asyncio.Event()
        members.on_change(self._take_members)
        link.handle(UsedReport, self._take_report)
        link.handle(Totals, self._take_totals)
        self._count_nodes()

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

    async def confirm(self) -> bool:
        """Wait until those that add up know what this node has admitted until now.

        Requests that wait at almost the same time share one report.

        :returns: whether they know; false if they do not say so in time.
        """
        pause_s = _PAUSE_PACES * self._pace_s()
        if not self._report_due:
            self._report_due = True
            due_s = self._reported_at + pause_s - time.monotonic()
            loop = asyncio.get_running_loop()
            loop.call_later(max(due_s, _TOGETHER_S), self._report_now)
        number = self._number + 1
        try:
            async with asyncio.timeout(pause_s + _CONFIRM_S):
                while self._sources.confirmed(self._homes) < number:
                    await self._confirmed.wait()
        except TimeoutError:
            return False
        return True

    def _take_members(self) -> None:
        """Share limits with other nodes from now on, and tell them soon."""
        self._count_nodes()
        self._hurry.set()

    def _report_now(self) -> None:
        self._report_due = False
        self._report()

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
        now = self._reported_at = time.monotonic()
        told = self._to_tell(now)
        self._sent.append(
            _Sent(
                number=self._number,
                at=now,
                charged={name: spent.charged for name, spent in told},
            )
        )
        used = tuple(_used(name, spent) for name, spent in told)
        report = UsedReport(node=self._node, number=self._number, used=used)
        self._homes = tuple(self._members.homes(_RESOURCE, _SUMMERS))
        for address in self._homes:
            self._link.send(address, report)

    def _to_tell(self, now: float) -> list[tuple[str, Spent]]:
        """Return the counts that changed in the last few reports or that count still.

        The first word of an organisation is what later differences are taken from.
        """
        told = []
        for name, spent in self._state.quotas.spent(now).items():
            before, times = self._told.get(name, (None, 0))
            times = _USED_TOLD if spent != before else times - 1
            self._told[name] = (spent, times)
            if times > 0 or spent.recent > 0:
                told.append((name, spent))
        if len(told) > MOST_USED:
            told.sort(key=lambda one: one[1].recent, reverse=True)
        return told[:MOST_USED]

    # What this node adds up for others.

    def _take_report(self, message: UsedReport, address: str) -> None:
        if self._sums.is_overtaken(message):
            return
        now = time.monotonic()
        self._sums.set_pace(
            silent_s=self._silent_s(), told_s=_USED_TOLD * self._pace_s()
        )
        late = self._sums.take(message, address, now)
        if late is not None:
            silent_s = round(late.silent_s, 2)
            log(COUNTS_LATE, peer=address, units=late.units, silent_s=silent_s)
        self._link.send(address, self._sums.totals_for(message, now))

    def _fair_units(self, organisation: int) -> float:
        """Return what each node may use of an organisation's window."""
        name = self._name_of().get(organisation)
        if name is None:
            return 0.0
        return self._state.quotas.ceiling(name) / self._members.total

    def _name_of(self) -> dict[int, str]:
        """Return the organisations that have a limit, by the crc of their names."""
        names = self._state.quotas.names()
        if names != self._names_of:
            self._names_of = names
            self._names = {crc(name): name for name in names}
        return self._names

    # What others have added up.

    def _take_totals(self, message: Totals, address: str) -> None:
        now = time.monotonic()
        home, sources = message.home, self._sources
        if not sources.take(message, address, self._name_of(), now):
            return
        before = sources.in_use
        if sources.choose(home, self._homes, now, self._silent_s()):
            silent = before is None or now - before.heard_at > self._silent_s()
            heard = message.heard
            log(SUMS_TAKEN_FROM, peer=address, heard=heard, others_silent=silent)
            self._state.quotas.follow(str(home), now)
        # The other one's sums hold the same units; counted twice they would halve
        # each limit. They are followed, so that its differences count from here on.
        counted = home == sources.taken
        totals = sources[home].totals
        self._state.quotas.hear(str(home), totals, now, counted=counted)
        self._confirm(home, message.number)
        self._count_nodes()

    def _confirm(self, home: int, number: int) -> None:
        """Note what a node that adds up knows of this one."""
        for sent in self._sent:
            if sent.number == number:
                self._state.quotas.confirm(str(home), sent.charged, sent.at)
                break
        self._confirmed.set()
        self._confirmed = asyncio.Event()

    def _count_nodes(self) -> None:
        """Take the share of all nodes that are on this side."""
        now = time.monotonic()
        for home in self._sources.drop_silent(self._homes, now, self._silent_s()):
            self._state.quotas.forget(str(home))
        in_use = self._sources.in_use
        heard = in_use.nodes if in_use is not None else 1
        self._state.set_nodes(heard, self._members.total)


def _used(name: str, spent: Spent) -> Used:
    return Used(
        organisation=crc(name),
        units=int(spent.units),
        excess=int(spent.excess),
        asked=int(spent.asked),
        recent=math.ceil(spent.recent),
    )
