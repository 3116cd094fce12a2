"""Exchange of usage counts of organisations' limits, through two aggregators.

Each node reports what it has admitted to the first two nodes of a ranking, the
aggregators. Each aggregator replies with the usage totals of all other nodes. There are
two of them so that one can fail without any effect on limits. The traffic of a node
does not grow with the fleet, and a node that receives no totals keeps to its own share
of each limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import deque
from dataclasses import dataclass
from random import Random

from baobabwing.gateway.decisions.charges import Usage
from baobabwing.gateway.events import COUNTS_LATE, SUMS_TAKEN_FROM
from baobabwing.gateway.limit_aggregation import (
    MAX_ORGANISATIONS_PER_MESSAGE,
    UsageAggregator,
)
from baobabwing.gateway.limit_aggregators import Aggregators
from baobabwing.gateway.members import Members
from baobabwing.gateway.placement.codec import name_crc
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import (
    OrganisationUsage,
    UsageReport,
    UsageTotals,
)
from baobabwing.gateway.state import GatewayState
from baobabwing.reports.events import log

__all__ = ["LimitsExchange"]

_RESOURCE = "limits"
_AGGREGATORS = 2
# Time between two reports. What all nodes admit within it may exceed a limit; the
# overage that operators tolerate in 8 s covers it.
_REPORT_INTERVAL_S = 0.25
# In larger fleets the interval grows with the number of nodes, since an aggregator
# would receive too many reports.
_MAX_NODES_AT_BASE_INTERVAL = 72
# Membership changes within this time cause one report. In larger fleets it is a part
# of the report interval: while 195 nodes joined within some seconds, each sent the same
# report to both aggregators thirty times a second.
_CHANGE_DELAY_S = 0.03
_CHANGE_DELAY_PART = 0.25
# A node or an aggregator that misses this many reports counts as unresponsive.
_UNRESPONSIVE_REPORTS = 3
# Reports that include an organisation after its usage changed, so that the change
# arrives although some reports are lost.
_REPORTS_PER_CHANGE = 4
# Requests that wait for an acknowledgement share a report: those that arrive within
# some ms, and all that arrive within this part of the report interval after the last
# report. Without it, the load of aggregators would grow with the number of waiting
# requests.
_BATCH_DELAY_S = 0.003
_PAUSE_INTERVALS = 0.5
# Longest wait for an acknowledgement after its report; it usually takes some ms.
_ACKNOWLEDGE_TIMEOUT_S = 0.1
# Number of sent reports that are kept until their acknowledgement arrives.
_MAX_SENT = 32


@dataclass(frozen=True, kw_only=True)
class _SentReport:
    """A report that this node has sent.

    :param charged: units that it contains, by organisation.
    """

    number: int
    at: float
    charged: dict[str, float]


class LimitsExchange:
    """Reports this node's usage, aggregates that of others, and applies the totals.

    :param state: holds the limits.
    :param members: rank the aggregators and count the nodes.
    :param link: carries the messages.
    :param rng: generates the number by which others identify this incarnation.
    """

    def __init__(
        self, *, state: GatewayState, members: Members, link: GatewayLink, rng: Random
    ) -> None:
        self._state = state
        self._members = members
        self._link = link
        self._node_id = rng.getrandbits(32)
        self._report_number = 0
        self._reported: dict[str, tuple[Usage | None, int]] = {}
        self._sent: deque[_SentReport] = deque(maxlen=_MAX_SENT)
        self._aggregator = UsageAggregator(
            node_id=self._node_id,
            window_s=state.quotas.window_s,
            node_allocation=self._node_allocation,
        )
        self._aggregators = Aggregators()
        self._aggregator_addresses: tuple[str, ...] = ()
        self._names: dict[int, str] = {}
        self._indexed_names: tuple[str, ...] = ()
        self._members_changed = asyncio.Event()
        self._report_scheduled = False
        self._reported_at = 0.0
        self._acknowledged = asyncio.Event()
        members.on_change(self._handle_members)
        link.handle(UsageReport, self._handle_report)
        link.handle(UsageTotals, self._handle_totals)
        self._update_node_count()

    async def run(self) -> None:
        """Report for as long as the node runs."""
        while True:
            self._state.quotas.set_report_interval(self._report_interval_s())
            self._report()
            self._update_node_count()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._report_interval_s()):
                    await self._members_changed.wait()
            self._members_changed.clear()
            await asyncio.sleep(self._change_delay_s())

    async def confirm(self) -> bool:
        """Wait until the responsive aggregators have acknowledged this node's usage.

        Requests that wait at almost the same time share one report.

        :returns: whether they have; false after a timeout.
        """
        pause_s = _PAUSE_INTERVALS * self._report_interval_s()
        if not self._report_scheduled:
            self._report_scheduled = True
            due_s = self._reported_at + pause_s - time.monotonic()
            loop = asyncio.get_running_loop()
            loop.call_later(max(due_s, _BATCH_DELAY_S), self._send_scheduled_report)
        number = self._report_number + 1
        try:
            async with asyncio.timeout(pause_s + _ACKNOWLEDGE_TIMEOUT_S):
                while (
                    self._aggregators.acknowledged(self._aggregator_addresses) < number
                ):
                    await self._acknowledged.wait()
        except TimeoutError:
            return False
        return True

    def _handle_members(self) -> None:
        """Adapt this node's share of limits at once, and report soon."""
        self._update_node_count()
        self._members_changed.set()

    def _send_scheduled_report(self) -> None:
        self._report_scheduled = False
        self._report()

    def _report_interval_s(self) -> float:
        return _REPORT_INTERVAL_S * max(
            1.0, self._members.total / _MAX_NODES_AT_BASE_INTERVAL
        )

    def _change_delay_s(self) -> float:
        interval_s = self._report_interval_s()
        return (
            _CHANGE_DELAY_S
            if interval_s <= _REPORT_INTERVAL_S
            else _CHANGE_DELAY_PART * interval_s
        )

    def _unresponsive_s(self) -> float:
        """Return the time without messages after which a peer is unresponsive."""
        return _UNRESPONSIVE_REPORTS * self._report_interval_s()

    # Reports to the aggregators.

    def _report(self) -> None:
        self._report_number += 1
        now = self._reported_at = time.monotonic()
        usage = self._usage_to_report(now)
        self._sent.append(
            _SentReport(
                number=self._report_number,
                at=now,
                charged={name: spent.charged for name, spent in usage},
            )
        )
        used = tuple(_used(name, spent) for name, spent in usage)
        report = UsageReport(node=self._node_id, number=self._report_number, used=used)
        self._aggregator_addresses = tuple(self._members.homes(_RESOURCE, _AGGREGATORS))
        for address in self._aggregator_addresses:
            self._link.send(address, report)

    def _usage_to_report(self, now: float) -> list[tuple[str, Usage]]:
        """Return the usage that changed recently or is still within the window.

        The first report of an organisation is the base of later differences.
        """
        usage = []
        for name, spent in self._state.quotas.usage(now).items():
            before, repeats = self._reported.get(name, (None, 0))
            repeats = _REPORTS_PER_CHANGE if spent != before else repeats - 1
            self._reported[name] = (spent, repeats)
            if repeats > 0 or spent.recent > 0:
                usage.append((name, spent))
        if len(usage) > MAX_ORGANISATIONS_PER_MESSAGE:
            usage.sort(key=lambda item: item[1].recent, reverse=True)
        return usage[:MAX_ORGANISATIONS_PER_MESSAGE]

    # Aggregation for other nodes.

    def _handle_report(self, message: UsageReport, address: str) -> None:
        if self._aggregator.is_outdated(message):
            return
        now = time.monotonic()
        self._aggregator.set_intervals(
            unresponsive_s=self._unresponsive_s(),
            change_retention_s=_REPORTS_PER_CHANGE * self._report_interval_s(),
        )
        late = self._aggregator.record(message, address, now)
        if late is not None:
            silent_s = round(late.gap_s, 2)
            log(COUNTS_LATE, peer=address, units=late.units, silent_s=silent_s)
        self._link.send(address, self._aggregator.totals_for(message, now))

    def _node_allocation(self, organisation: int) -> float:
        """Return the units of an organisation's window that one node may use.

        :param organisation: crc of its name.
        """
        name = self._names_by_crc().get(organisation)
        if name is None:
            return 0.0
        return self._state.quotas.ceiling(name) / self._members.total

    def _names_by_crc(self) -> dict[int, str]:
        """Return the organisations that have a limit, by the crc of their names."""
        names = self._state.quotas.organisations()
        if names != self._indexed_names:
            self._indexed_names = names
            self._names = {name_crc(name): name for name in names}
        return self._names

    # Totals from the aggregators.

    def _handle_totals(self, message: UsageTotals, address: str) -> None:
        now = time.monotonic()
        aggregator_id, aggregators = message.home, self._aggregators
        if not aggregators.record(message, address, self._names_by_crc(), now):
            return
        self._select_aggregator(now)
        # Both aggregators' totals hold the same units; counted twice they would halve
        # each limit. Those of the other one are recorded only, so that differences
        # start from them if it is selected later.
        deduct = aggregator_id == aggregators.selected
        totals = aggregators[aggregator_id].totals
        self._state.quotas.record_counts(str(aggregator_id), totals, now, deduct=deduct)
        self._acknowledge(aggregator_id, message.number)
        self._update_node_count()

    def _select_aggregator(self, now: float) -> None:
        """Apply the totals of another aggregator from now on, if it is better."""
        before, unresponsive_s = self._aggregators.current, self._unresponsive_s()
        if not self._aggregators.select(
            self._aggregator_addresses, now, unresponsive_s
        ):
            return
        selected = self._aggregators.current
        silent = before is None or now - before.received_at > unresponsive_s
        log(
            SUMS_TAKEN_FROM,
            peer=selected.address,
            heard=selected.nodes,
            others_silent=silent,
        )
        self._state.quotas.set_aggregator(str(self._aggregators.selected), now)

    def _acknowledge(self, aggregator_id: int, number: int) -> None:
        """Record that an aggregator has received a report of this node."""
        for sent in self._sent:
            if sent.number == number:
                self._state.quotas.acknowledge(
                    str(aggregator_id), sent.charged, sent.at
                )
                break
        self._acknowledged.set()
        self._acknowledged = asyncio.Event()

    def _update_node_count(self) -> None:
        """Set this node's share of limits by the nodes of its partition."""
        now = time.monotonic()
        # Between the drop of an aggregator and the selection of the other one, this
        # node would count only itself.
        self._select_aggregator(now)
        for aggregator_id in self._aggregators.drop_unresponsive(
            self._aggregator_addresses, now, self._unresponsive_s()
        ):
            self._state.quotas.forget_acknowledgements(str(aggregator_id))
        current = self._aggregators.current
        heard = current.nodes if current is not None else 1
        self._state.set_nodes(heard, self._members.total)


def _used(name: str, spent: Usage) -> OrganisationUsage:
    return OrganisationUsage(
        organisation=name_crc(name),
        units=int(spent.units),
        overage=int(spent.overage),
        requested=int(spent.requested),
        recent=math.ceil(spent.recent),
    )
