"""What nodes have admitted of each limit, added up by one of them for all others.

Two things are added up. Counts since the nodes' starts, of which only differences mean
something, pace the buckets. What each node has admitted in its last window bounds them:
it says by itself what counts, so that a node that adds up from now on knows as much as
one that always did.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from baobabwing.gateway.placement.codec import wrapped_difference
from baobabwing.gateway.placement.messages import Totals, Used, UsedReport

__all__ = ["MOST_USED", "LateCounts", "LimitSums"]

# Who is heard is looked at this often, as a part of the time after which a node counts
# as silent.
_LOOK_PART = 0.05
# Organisations in one message.
MOST_USED = 64


@dataclass(frozen=True, kw_only=True)
class LateCounts:
    """Counts that came for the first time, or after a silence.

    :param units: that were unknown until now, of all organisations.
    """

    units: int
    silent_s: float


@dataclass(kw_only=True)
class _Reporter:
    """A node that reports, as it last told.

    :param used: by crc of the organisation's name.
    """

    address: str
    heard_at: float
    number: int
    used: dict[int, Used] = field(default_factory=dict)


@dataclass(slots=True)
class _Units:
    units: int = 0
    excess: int = 0
    asked: int = 0

    def add(self, units: int, excess: int, asked: int) -> None:
        self.units += units
        self.excess += excess
        self.asked += asked


_NOTHING = _Units()


@dataclass(kw_only=True)
class _Sum:
    """Units of one organisation, admitted since this node adds them up.

    :param recent: units of the nodes' last windows.
    """

    total: _Units = field(default_factory=_Units)
    recent: int = 0
    changed_at: float = 0.0
    by_node: dict[int, _Units] = field(default_factory=dict)

    def add(self, node: int, units: int, excess: int, asked: int, now: float) -> None:
        self.total.add(units, excess, asked)
        self.by_node.setdefault(node, _Units()).add(units, excess, asked)
        self.changed_at = now


class LimitSums:
    """Adds up what nodes report.

    :param node: number of this node among those that add up.
    :param window_s: time for which what a node told last may count.
    :param fair_units: returns what each node may use of a limit, by the crc of the
        organisation's name; 0 if it is not known.
    """

    def __init__(
        self, *, node: int, window_s: float, fair_units: Callable[[int], float]
    ) -> None:
        self._node = node
        self._window_s = window_s
        self._fair_units = fair_units
        self._silent_s = window_s
        self._told_s = window_s
        self._reporters: dict[int, _Reporter] = {}
        self._sums: dict[int, _Sum] = defaultdict(_Sum)
        self._heard = 0
        self._held: dict[int, int] = {}
        self._looked_at = -window_s

    def set_pace(self, *, silent_s: float, told_s: float) -> None:
        """Take how often nodes report.

        :param silent_s: time after which a node that says nothing is not heard.
        :param told_s: time for which a change is told.
        """
        self._silent_s = silent_s
        self._told_s = told_s

    def is_overtaken(self, report: UsedReport) -> bool:
        """Whether a later report of the same node has been taken already."""
        known = self._reporters.get(report.node)
        return known is not None and report.number <= known.number

    def take(self, report: UsedReport, address: str, now: float) -> LateCounts | None:
        """Add what a node reports.

        :returns: counts that were unknown for long; none if there are none.
        """
        known = self._reporters.get(report.node)
        if known is None:
            known = _Reporter(address=address, heard_at=now, number=report.number)
            self._reporters[report.node] = known
            self._looked_at = -self._window_s
        silent_s = now - known.heard_at
        fresh = silent_s <= self._silent_s
        known.heard_at, known.number = now, report.number
        late = 0
        for used in report.used:
            before = known.used.get(used.organisation)
            known.used[used.organisation] = used
            late += self._add(report.node, used, before, fresh=fresh, now=now)
        self._look(now)
        return LateCounts(units=late, silent_s=silent_s) if late > 0 else None

    def totals_for(self, report: UsedReport, now: float) -> Totals:
        """Return what all others have admitted, for one that reports."""
        own = self._reporters[report.node].used
        used = []
        for organisation, total in self._sums.items():
            recent = total.recent - self._held.get(organisation, 0)
            if organisation in own:
                recent -= own[organisation].recent
            if recent <= 0 and total.changed_at < now - self._told_s:
                continue
            whole, told = total.total, total.by_node.get(report.node, _NOTHING)
            used.append(
                Used(
                    organisation=organisation,
                    units=whole.units - told.units,
                    excess=whole.excess - told.excess,
                    asked=whole.asked - told.asked,
                    recent=max(recent, 0),
                )
            )
        if len(used) > MOST_USED:
            used.sort(key=self._part_used, reverse=True)
        return Totals(
            home=self._node,
            number=report.number,
            heard=self._heard,
            used=tuple(used[:MOST_USED]),
        )

    def _add(
        self, node: int, used: Used, before: Used | None, *, fresh: bool, now: float
    ) -> int:
        """Add one organisation's counts; return the units that are not added up.

        Differences over a silence came out of the share of the node's own side of a
        cut. What counts in the window counts all the same.
        """
        total = self._sums[used.organisation]
        total.recent += used.recent - (before.recent if before else 0)
        if before is None:
            return used.recent
        units = wrapped_difference(used.units, before.units)
        if not fresh:
            return units
        excess = wrapped_difference(used.excess, before.excess)
        asked = wrapped_difference(used.asked, before.asked)
        if units or excess or asked:
            total.add(node, units, excess, asked, now)
        return 0

    def _look(self, now: float) -> None:
        """See who is heard, from time to time: each report asks for it."""
        if now - self._looked_at < _LOOK_PART * self._silent_s:
            return
        self._looked_at = now
        self._forget_silent(now)
        self._heard = sum(self._is_heard(one, now) for one in self._reporters.values())
        self._held = self._held_by_silent(now)

    def _is_heard(self, reporter: _Reporter, now: float) -> bool:
        return now - reporter.heard_at <= self._silent_s

    def _held_by_silent(self, now: float) -> dict[int, int]:
        """Return what silent nodes have used of their own share of each limit.

        They may run on behind a cut and use that share; it is kept from all others, so
        that what they used of it counts only once. An earlier run of a node that is
        heard has ended, and has no share.
        """
        silent, running = [], set()
        for one in self._reporters.values():
            if self._is_heard(one, now):
                running.add(one.address)
            else:
                silent.append(one)
        held: dict[int, int] = defaultdict(int)
        for one in silent:
            if one.address in running:
                continue
            for organisation, used in one.used.items():
                fair = int(self._fair_units(organisation))
                held[organisation] += min(used.recent, fair)
        return held

    def _forget_silent(self, now: float) -> None:
        """Drop nodes of whom nothing counts in the window any more."""
        for node, one in tuple(self._reporters.items()):
            if now - one.heard_at <= self._window_s + self._silent_s:
                continue
            del self._reporters[node]
            for organisation, used in one.used.items():
                total = self._sums[organisation]
                total.recent -= used.recent
                total.by_node.pop(node, None)

    def _part_used(self, used: Used) -> float:
        """Return how much of its limit an organisation has used."""
        fair = self._fair_units(used.organisation)
        return used.recent / fair if fair > 0 else float("inf")
