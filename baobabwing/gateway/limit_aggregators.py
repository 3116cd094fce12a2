"""The aggregators of limits, as seen by a node that applies their totals."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from baobabwing.gateway.decisions.charges import Usage
from baobabwing.gateway.limit_aggregation import MAX_ORGANISATIONS_PER_MESSAGE
from baobabwing.gateway.placement.codec import wrapped_difference
from baobabwing.gateway.placement.messages import OrganisationUsage, UsageTotals

__all__ = ["Aggregator", "Aggregators"]

# An aggregator to which this many times the nodes of the current one report is selected
# instead of it. Both receive reports of about the same nodes; a few more are no reason
# to change.
_MORE_NODES = 1.1


@dataclass(kw_only=True)
class Aggregator:
    """The last known totals of an aggregator.

    :param answered: number of the last report of this node that it has answered.
    :param nodes: that report to it.
    :param totals: usage of all other nodes, by organisation.
    """

    address: str
    received_at: float = 0.0
    answered: int = -1
    nodes: int = 0
    totals: dict[str, Usage] = field(default_factory=dict)
    _last: dict[int, OrganisationUsage] = field(default_factory=dict)

    def record(
        self, message: UsageTotals, names: Mapping[int, str], now: float
    ) -> None:
        """Store the totals of a message.

        :param names: of organisations, by crc.
        """
        self.received_at, self.answered, self.nodes = now, message.number, message.heard
        for used in message.used:
            name = names.get(used.organisation)
            if name is not None:
                self._unwrap(name, used)
        if len(message.used) < MAX_ORGANISATIONS_PER_MESSAGE:
            self._clear_recent({names.get(used.organisation) for used in message.used})

    def _unwrap(self, name: str, used: OrganisationUsage) -> None:
        """Extend counts that wrap around at 2**32 into unbounded totals."""
        before = self._last.get(used.organisation)
        self._last[used.organisation] = used
        total = self.totals.get(name, Usage())
        if before is None:
            before = OrganisationUsage(
                organisation=used.organisation, units=0, overage=0, requested=0
            )
        self.totals[name] = Usage(
            units=total.units + wrapped_difference(used.units, before.units),
            overage=total.overage + wrapped_difference(used.overage, before.overage),
            requested=total.requested
            + wrapped_difference(used.requested, before.requested),
            recent=used.recent,
        )

    def _clear_recent(self, reported: Collection[str | None]) -> None:
        """Set the recent usage of organisations to 0 that are not reported."""
        for name, total in self.totals.items():
            if name not in reported and total.recent:
                self.totals[name] = replace(total, recent=0.0)


class Aggregators:
    """The aggregators that have sent totals, and the selected one.

    :ivar selected: id of the aggregator whose totals are applied; ``None`` at the
        start.
    """

    def __init__(self) -> None:
        self.selected: int | None = None
        self._by_id: dict[int, Aggregator] = {}

    def __getitem__(self, aggregator_id: int) -> Aggregator:
        return self._by_id[aggregator_id]

    def record(
        self, message: UsageTotals, address: str, names: Mapping[int, str], now: float
    ) -> bool:
        """Store totals; return whether they are later than the last known ones."""
        aggregator = self._by_id.setdefault(message.home, Aggregator(address=address))
        if message.number <= aggregator.answered:
            return False
        aggregator.record(message, names, now)
        return True

    def select(
        self, addresses: Collection[str], now: float, unresponsive_s: float
    ) -> bool:
        """Select the best responsive aggregator, if the current one is to be replaced.

        A responsive one is kept until another one receives reports of as many nodes:
        with the totals of one that has just begun to aggregate, this node's share of
        all limits would fall to a part.

        :param addresses: of the present aggregators.
        :returns: whether the selection has changed.
        """
        responsive = {
            aggregator_id: aggregator
            for aggregator_id, aggregator in self._by_id.items()
            if now - aggregator.received_at <= unresponsive_s
        }
        current = responsive.pop(self.selected, None)
        if not responsive:
            return False
        best_id = max(
            responsive,
            key=lambda one: (
                responsive[one].nodes,
                responsive[one].address in addresses,
            ),
        )
        if current is not None and not _replaces(
            responsive[best_id], current, addresses
        ):
            return False
        self.selected = best_id
        return True

    @property
    def current(self) -> Aggregator | None:
        """The selected aggregator; ``None`` if there is none or it was dropped."""
        return None if self.selected is None else self._by_id.get(self.selected)

    def acknowledged(self, addresses: Collection[str]) -> int:
        """Return the number of the last report that all present aggregators answered.

        Aggregators that have not answered yet, or were dropped, are left out.

        :param addresses: of the present aggregators.
        """
        numbers = [
            aggregator.answered
            for aggregator in self._by_id.values()
            if aggregator.address in addresses
        ]
        return min(numbers, default=-1)

    def drop_unresponsive(
        self, addresses: Collection[str], now: float, unresponsive_s: float
    ) -> list[int]:
        """Drop unresponsive aggregators, and former ones that are not selected.

        :param addresses: of the present aggregators.
        :returns: ids of the dropped ones.
        """
        dropped = [
            aggregator_id
            for aggregator_id, aggregator in self._by_id.items()
            if now - aggregator.received_at > unresponsive_s
            or (aggregator.address not in addresses and aggregator_id != self.selected)
        ]
        for aggregator_id in dropped:
            del self._by_id[aggregator_id]
        return dropped


def _replaces(
    candidate: Aggregator, current: Aggregator, addresses: Collection[str]
) -> bool:
    """Whether an aggregator is selected instead of a current one that responds."""
    if candidate.nodes > _MORE_NODES * current.nodes:
        return True
    # The current one counts itself, and may have ended.
    complete = candidate.nodes >= current.nodes - 1
    left = current.address not in addresses and candidate.address in addresses
    return left and complete
