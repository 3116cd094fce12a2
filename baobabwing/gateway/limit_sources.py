"""The aggregators of limits, as seen by a node that applies their totals."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from baobabwing.gateway.decisions.charges import Spent
from baobabwing.gateway.limit_sums import MAX_ORGANISATIONS_PER_MESSAGE
from baobabwing.gateway.placement.codec import wrapped_difference
from baobabwing.gateway.placement.messages import Totals, Used

__all__ = ["Aggregator", "Aggregators"]

# An aggregator to which this many times the nodes of the current one report is selected
# instead of it. Both receive reports of about the same nodes; a few more are no reason
# to change.
_MORE_NODES = 1.1


@dataclass(kw_only=True)
class Aggregator:
    """The last known totals of an aggregator.

    :param number: of the last report of this node that it has answered.
    :param nodes: that report to it.
    :param totals: usage of all other nodes, by organisation.
    """

    address: str
    received_at: float = 0.0
    number: int = -1
    nodes: int = 0
    totals: dict[str, Spent] = field(default_factory=dict)
    _last: dict[int, Used] = field(default_factory=dict)

    def record(self, message: Totals, names: Mapping[int, str], now: float) -> None:
        """Store the totals of a message.

        :param names: of organisations, by crc.
        """
        self.received_at, self.number, self.nodes = now, message.number, message.heard
        for used in message.used:
            name = names.get(used.organisation)
            if name is not None:
                self._unwrap(name, used)
        if len(message.used) < MAX_ORGANISATIONS_PER_MESSAGE:
            self._clear_recent({names.get(used.organisation) for used in message.used})

    def _unwrap(self, name: str, used: Used) -> None:
        """Extend counts that wrap around at 2**32 into unbounded totals."""
        before = self._last.get(used.organisation)
        self._last[used.organisation] = used
        total = self.totals.get(name, Spent())
        if before is None:
            before = Used(organisation=used.organisation, units=0, excess=0, asked=0)
        self.totals[name] = Spent(
            units=total.units + wrapped_difference(used.units, before.units),
            excess=total.excess + wrapped_difference(used.excess, before.excess),
            asked=total.asked + wrapped_difference(used.asked, before.asked),
            recent=used.recent,
        )

    def _clear_recent(self, reported: Collection[str | None]) -> None:
        """Set the recent usage of organisations to 0 that are not reported."""
        for name, total in self.totals.items():
            if name not in reported and total.recent:
                self.totals[name] = replace(total, recent=0.0)


class Aggregators:
    """The aggregators that have sent totals, and the selected one.

    :ivar selected: number of the aggregator whose totals are applied; ``None`` at the
        start.
    """

    def __init__(self) -> None:
        self.selected: int | None = None
        self._known: dict[int, Aggregator] = {}

    def __getitem__(self, home: int) -> Aggregator:
        return self._known[home]

    def record(
        self, message: Totals, address: str, names: Mapping[int, str], now: float
    ) -> bool:
        """Store totals; return whether they are later than the last known ones."""
        aggregator = self._known.setdefault(message.home, Aggregator(address=address))
        if message.number <= aggregator.number:
            return False
        aggregator.record(message, names, now)
        return True

    def select(
        self, home: int, homes: Collection[str], now: float, unresponsive_s: float
    ) -> bool:
        """Select an aggregator if it is better than the current one.

        :param home: its number.
        :param homes: addresses of the present aggregators.
        :returns: whether the selection has changed.
        """
        current = self.current
        replaceable = (
            current is None
            or now - current.received_at > unresponsive_s
            or (current.address not in homes and self._known[home].address in homes)
        )
        if home == self.selected:
            return False
        if not replaceable and self._known[home].nodes <= _MORE_NODES * current.nodes:
            return False
        self.selected = home
        return True

    @property
    def current(self) -> Aggregator | None:
        """The selected aggregator; ``None`` if there is none or it was dropped."""
        return None if self.selected is None else self._known.get(self.selected)

    def acknowledged(self, homes: Collection[str]) -> int:
        """Return the number of the last report that all present aggregators answered.

        :param homes: their addresses.
        """
        numbers = [
            aggregator.number
            for aggregator in self._known.values()
            if aggregator.address in homes
        ]
        return min(numbers, default=-1)

    def drop_unresponsive(
        self, homes: Collection[str], now: float, unresponsive_s: float
    ) -> list[int]:
        """Drop unresponsive aggregators, and unselected ones that are not in use.

        :param homes: addresses of the present aggregators.
        :returns: numbers of the dropped ones.
        """
        dropped = [
            home
            for home, aggregator in self._known.items()
            if now - aggregator.received_at > unresponsive_s
            or (aggregator.address not in homes and home != self.selected)
        ]
        for home in dropped:
            del self._known[home]
        return dropped
