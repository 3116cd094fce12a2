"""Aggregation of the usage of limits that all nodes report to one of them.

Two kinds of counts are added up. Counts since the incarnations' starts pace the
buckets; only their differences have a meaning. The usage of each node's last window
bounds the limits: a report holds all of it, so that a new aggregator has the same
totals as one that has received every report.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from baobabwing.gateway.placement.codec import wrapped_difference
from baobabwing.gateway.placement.messages import (
    OrganisationUsage,
    UsageReport,
    UsageTotals,
)

__all__ = ["MAX_ORGANISATIONS_PER_MESSAGE", "LateUsage", "UsageAggregator"]

# Interval at which unresponsive nodes are looked for, as a part of the time after which
# a node is unresponsive.
_CHECK_INTERVAL_PART = 0.05
# Those with the most usage are sent if there are more.
MAX_ORGANISATIONS_PER_MESSAGE = 64


@dataclass(frozen=True, kw_only=True)
class LateUsage:
    """Usage in a node's first report, or in the first after it was unresponsive.

    :param units: that were unknown before the report, of all organisations.
    :param gap_s: time since the node's report before.
    """

    units: int
    gap_s: float


@dataclass(kw_only=True)
class _Reporter:
    """The last known usage of a node that reports.

    :param used: by crc of the organisation's name.
    """

    address: str
    received_at: float
    number: int
    used: dict[int, OrganisationUsage] = field(default_factory=dict)


@dataclass(slots=True)
class _Units:
    units: int = 0
    overage: int = 0
    requested: int = 0

    def add(self, units: int, overage: int, requested: int) -> None:
        self.units += units
        self.overage += overage
        self.requested += requested


_ZERO_UNITS = _Units()


@dataclass(kw_only=True)
class _OrganisationUsage:
    """Units of one organisation, admitted since this node started to aggregate.

    :param recent: units of the nodes' last windows.
    :param by_node: what each reporter has added to the total.
    """

    total: _Units = field(default_factory=_Units)
    recent: int = 0
    changed_at: float = 0.0
    by_node: dict[int, _Units] = field(default_factory=dict)

    def add(
        self, node: int, units: int, overage: int, requested: int, now: float
    ) -> None:
        self.total.add(units, overage, requested)
        self.by_node.setdefault(node, _Units()).add(units, overage, requested)
        self.changed_at = now


class UsageAggregator:
    """Adds up the usage that nodes report.

    :param node_id: number that identifies this node among the aggregators.
    :param window_s: longest time for which a node's last report may count.
    :param node_allocation: returns the units of a limit that one node may use, by the
        crc of the organisation's name; 0 if it is not known.
    """

    def __init__(
        self, *, node_id: int, window_s: float, node_allocation: Callable[[int], float]
    ) -> None:
        self._node_id = node_id
        self._window_s = window_s
        self._node_allocation = node_allocation
        self._unresponsive_s = window_s
        self._change_retention_s = window_s
        self._reporters: dict[int, _Reporter] = {}
        self._usage_by_organisation: dict[int, _OrganisationUsage] = defaultdict(
            _OrganisationUsage
        )
        self._responsive_nodes = 0
        self._reserved: dict[int, int] = {}
        self._checked_at = -window_s

    def set_intervals(
        self, *, unresponsive_s: float, change_retention_s: float
    ) -> None:
        """Set the times that depend on the nodes' report interval.

        :param unresponsive_s: time without a report after which a node is unresponsive.
        :param change_retention_s: time for which a change is included in the totals.
        """
        self._unresponsive_s = unresponsive_s
        self._change_retention_s = change_retention_s

    def is_outdated(self, report: UsageReport) -> bool:
        """Whether a later report of the same node has been recorded already."""
        reporter = self._reporters.get(report.node)
        return reporter is not None and report.number <= reporter.number

    def record(self, report: UsageReport, address: str, now: float) -> LateUsage | None:
        """Add the usage of a report.

        :returns: usage that was unknown for longer than the timeout; ``None`` if there
            is none.
        """
        reporter = self._reporters.get(report.node)
        if reporter is None:
            reporter = _Reporter(address=address, received_at=now, number=report.number)
            self._reporters[report.node] = reporter
            self._checked_at = -self._window_s
        gap_s = now - reporter.received_at
        fresh = gap_s <= self._unresponsive_s
        reporter.received_at, reporter.number = now, report.number
        late = 0
        for used in report.used:
            before = reporter.used.get(used.organisation)
            reporter.used[used.organisation] = used
            late += self._add(report.node, used, before, fresh=fresh, now=now)
        self._check_reporters(now)
        return LateUsage(units=late, gap_s=gap_s) if late > 0 else None

    def totals_for(self, report: UsageReport, now: float) -> UsageTotals:
        """Return the usage of all nodes but the one that sent a report."""
        own = self._reporters[report.node].used
        used = []
        for organisation, usage in self._usage_by_organisation.items():
            recent = usage.recent - self._reserved.get(organisation, 0)
            if organisation in own:
                recent -= own[organisation].recent
            if recent <= 0 and usage.changed_at < now - self._change_retention_s:
                continue
            total, own_units = usage.total, usage.by_node.get(report.node, _ZERO_UNITS)
            used.append(
                OrganisationUsage(
                    organisation=organisation,
                    units=total.units - own_units.units,
                    overage=total.overage - own_units.overage,
                    requested=total.requested - own_units.requested,
                    recent=max(recent, 0),
                )
            )
        if len(used) > MAX_ORGANISATIONS_PER_MESSAGE:
            used.sort(key=self._utilisation, reverse=True)
        return UsageTotals(
            home=self._node_id,
            number=report.number,
            heard=self._responsive_nodes,
            used=tuple(used[:MAX_ORGANISATIONS_PER_MESSAGE]),
        )

    def _add(
        self,
        node: int,
        used: OrganisationUsage,
        before: OrganisationUsage | None,
        *,
        fresh: bool,
        now: float,
    ) -> int:
        """Add one organisation's counts; return the units that are not added up.

        Units that a node admitted while it was unresponsive came out of the share of
        its own partition, so their difference is not added. The usage of the window is
        added in any case.
        """
        usage = self._usage_by_organisation[used.organisation]
        usage.recent += used.recent - (before.recent if before else 0)
        if before is None:
            return used.recent
        units = wrapped_difference(used.units, before.units)
        if not fresh:
            return units
        overage = wrapped_difference(used.overage, before.overage)
        requested = wrapped_difference(used.requested, before.requested)
        if units or overage or requested:
            usage.add(node, units, overage, requested, now)
        return 0

    def _check_reporters(self, now: float) -> None:
        """Update the responsive nodes; rate limited, as each report calls this."""
        if now - self._checked_at < _CHECK_INTERVAL_PART * self._unresponsive_s:
            return
        self._checked_at = now
        self._drop_expired(now)
        self._responsive_nodes = sum(
            self._is_responsive(reporter, now) for reporter in self._reporters.values()
        )
        self._reserved = self._units_of_unresponsive(now)

    def _is_responsive(self, reporter: _Reporter, now: float) -> bool:
        return now - reporter.received_at <= self._unresponsive_s

    def _units_of_unresponsive(self, now: float) -> dict[int, int]:
        """Return the units that unresponsive nodes used of their own allocations.

        They may run on in another partition and use their allocation of each limit. It
        is withheld from all others already, so that the totals leave out what they used
        of it. An earlier incarnation of a responsive node has ended, and has no
        allocation.
        """
        unresponsive, running = [], set()
        for reporter in self._reporters.values():
            if self._is_responsive(reporter, now):
                running.add(reporter.address)
            else:
                unresponsive.append(reporter)
        reserved: dict[int, int] = defaultdict(int)
        for reporter in unresponsive:
            if reporter.address in running:
                continue
            for organisation, used in reporter.used.items():
                allocation = int(self._node_allocation(organisation))
                reserved[organisation] += min(used.recent, allocation)
        return reserved

    def _drop_expired(self, now: float) -> None:
        """Drop nodes of which no unit counts in the window any more."""
        for node, reporter in tuple(self._reporters.items()):
            if now - reporter.received_at <= self._window_s + self._unresponsive_s:
                continue
            del self._reporters[node]
            for organisation, used in reporter.used.items():
                usage = self._usage_by_organisation[organisation]
                usage.recent -= used.recent
                usage.by_node.pop(node, None)

    def _utilisation(self, used: OrganisationUsage) -> float:
        """Return an organisation's usage as a multiple of one node's allocation."""
        allocation = self._node_allocation(used.organisation)
        return used.recent / allocation if allocation > 0 else float("inf")
