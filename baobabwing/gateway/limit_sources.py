"""The nodes that add up limits, as one that takes their sums knows them."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from baobabwing.gateway.decisions.charges import Spent
from baobabwing.gateway.limit_sums import MOST_USED
from baobabwing.gateway.placement.codec import wrapped_difference
from baobabwing.gateway.placement.messages import Totals, Used

__all__ = ["Source", "SumSources"]

# A source that hears so many times the nodes of the one in use is taken instead of it.
# Both hear about the same; a few nodes more are no reason to change.
_MORE_NODES = 1.1


@dataclass(kw_only=True)
class Source:
    """A node that adds up, as it last told.

    :param number: of the report that it answered last.
    :param nodes: that report to it.
    :param totals: what all others have admitted, by organisation.
    """

    address: str
    heard_at: float = 0.0
    number: int = -1
    nodes: int = 0
    totals: dict[str, Spent] = field(default_factory=dict)
    _last: dict[int, Used] = field(default_factory=dict)

    def take(self, message: Totals, names: Mapping[int, str], now: float) -> None:
        """Take its sums.

        :param names: of organisations, by crc.
        """
        self.heard_at, self.number, self.nodes = now, message.number, message.heard
        for used in message.used:
            name = names.get(used.organisation)
            if name is not None:
                self._unwrap(name, used)
        if len(message.used) < MOST_USED:
            self._forget_recent({names.get(used.organisation) for used in message.used})

    def _unwrap(self, name: str, used: Used) -> None:
        """Make counts that wrap around into such that do not."""
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

    def _forget_recent(self, told: Collection[str | None]) -> None:
        """Take that nothing counts any more of organisations that are not told."""
        for name, total in self.totals.items():
            if name not in told and total.recent:
                self.totals[name] = replace(total, recent=0.0)


class SumSources:
    """Those whose sums may be taken, and the one whose sums are.

    :ivar taken: number of the node whose sums count here; none at the start.
    """

    def __init__(self) -> None:
        self.taken: int | None = None
        self._known: dict[int, Source] = {}

    def __getitem__(self, home: int) -> Source:
        return self._known[home]

    def take(
        self, message: Totals, address: str, names: Mapping[int, str], now: float
    ) -> bool:
        """Take a node's sums; return whether they are later than those known."""
        source = self._known.setdefault(message.home, Source(address=address))
        if message.number <= source.number:
            return False
        source.take(message, names, now)
        return True

    def choose(
        self, home: int, homes: Collection[str], now: float, silent_s: float
    ) -> bool:
        """Take the sums of a node if they are better than those taken until now.

        :param homes: addresses of those that add up now.
        :returns: whether this is a change.
        """
        taken = self.in_use
        over = (
            taken is None
            or now - taken.heard_at > silent_s
            or (taken.address not in homes and self._known[home].address in homes)
        )
        if home == self.taken:
            return False
        if not over and self._known[home].nodes <= _MORE_NODES * taken.nodes:
            return False
        self.taken = home
        return True

    @property
    def in_use(self) -> Source | None:
        """The one whose sums are taken; none if it is not heard."""
        return None if self.taken is None else self._known.get(self.taken)

    def confirmed(self, homes: Collection[str]) -> int:
        """Return the last report that all who add up now have answered."""
        numbers = [one.number for one in self._known.values() if one.address in homes]
        return min(numbers, default=-1)

    def drop_silent(
        self, homes: Collection[str], now: float, silent_s: float
    ) -> list[int]:
        """Forget those that are not heard, or not asked and not in use any more."""
        gone = [
            home
            for home, one in self._known.items()
            if now - one.heard_at > silent_s
            or (one.address not in homes and home != self.taken)
        ]
        for home in gone:
            del self._known[home]
        return gone
