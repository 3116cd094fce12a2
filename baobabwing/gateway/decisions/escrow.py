"""How much of an organisation's window one node may use before others know of it.

All nodes count what each has admitted in the last window. A count that is late would
let all of them use the same rest, so a node may have admitted only a part of that rest
of which it has no confirmation. What goes beyond is counted, and runs once it is
confirmed. Words that are late or lost cost time and refusals, not the bound.

References
----------
.. [1] P. E. O'Neil, "The Escrow transactional method", ACM Transactions on Database
   Systems 11(4), 1986.
.. [2] D. Barbara and H. Garcia-Molina, "The demarcation protocol", The VLDB Journal
   3(3), 1994.

"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from baobabwing.gateway.decisions.window import SlidingSum

__all__ = ["Escrow", "Side", "Verdict"]


# While all nodes have used no more than this part of what they may, one request of each
# passes before it is confirmed, however large it is.
_OPEN_PART = 0.75


class Verdict(Enum):
    """Whether a request may be admitted."""

    ADMITTED = "admitted"
    UNCONFIRMED = "unconfirmed"
    FULL = "full"


@dataclass(frozen=True, kw_only=True)
class Side:
    """The nodes that hear each other, and what they may use in a window.

    :param nodes: how many they are, this one included.
    :param ceiling: units that they may know to be used.
    :param reserve: units beyond that of which not all of them may know.
    :param alone: whether this node keeps to its own part, whatever others do: it hears
        nobody, or late.
    """

    nodes: int
    ceiling: float
    reserve: float
    alone: bool

    @property
    def part(self) -> float:
        """Units that each node may use, whatever the others do."""
        if self.nodes <= 1:
            return self.ceiling + self.reserve
        return self.ceiling / self.nodes


class Escrow:
    """Units of one organisation in the last window, as this node knows them.

    :param window_s: length of the window.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._own = SlidingSum(window_s=window_s)
        self._charged = 0.0
        self._others: dict[str, float] = {}
        self._confirmed: dict[str, float] = {}
        self._forgiven = 0.0
        self._forgiven_at = 0.0
        self._lost = 0.0
        self._followed_at = 0.0
        self._settled = True

    def charge(self, units: float, now: float) -> None:
        """Count units that this node admits."""
        self._own.add(units, now)
        self._charged += units

    def give_back(self, units: float, charged_at: float) -> None:
        """Take out units that did not run."""
        self._own.take_back(units, charged_at)
        self._charged -= units

    def hear(self, peer: str, units: float) -> None:
        """Take what the others have admitted in their last window, as a peer tells."""
        self._others[peer] = units

    def follow(self, peer: str, now: float) -> None:
        """Take what others have admitted from this peer alone.

        It may know less than the one before: what nodes had admitted that ended with
        it. Until :meth:`settle` the larger count holds, and the difference afterwards.
        """
        self._lost = sum(self._others.values()) + self._lost_now(now)
        self._followed_at = now
        self._settled = False
        self._others = {peer: self._others.get(peer, 0.0)}

    def settle(self) -> None:
        """Take that the followed peer has heard all who still report."""
        if not self._settled:
            self._lost = max(self._lost - sum(self._others.values()), 0.0)
            self._settled = True

    def confirm(self, peer: str, charged: float) -> None:
        """Take that a peer knows of so many units, of all that were ever charged."""
        self._confirmed[peer] = charged

    def forget(self, peer: str) -> None:
        """Do without the confirmations of a peer that is silent.

        What it told still counts: :meth:`follow` compares it with what the next tells.
        """
        self._confirmed.pop(peer, None)

    def forgive(self, now: float) -> None:
        """Let what was used until now count less and less, and no more in a window.

        For a limit that is lowered: it binds what is used from now on.
        """
        self._forgiven = self.known(now)
        self._forgiven_at = now

    def own(self, now: float) -> float:
        """Return the units that this node has admitted in the last window."""
        return self._own.total(now)

    def known(self, now: float) -> float:
        """Return the units of all nodes that count in the window that ends now."""
        left = max(1.0 - (now - self._forgiven_at) / self._window_s, 0.0)
        used = self._own.total(now) + self._used_by_others(now)
        return max(used - self._forgiven * left, 0.0)

    def room(self, side: Side, now: float) -> float:
        """Return the units that are left in the window."""
        return side.ceiling - self.known(now)

    def judge(self, units: float, side: Side, now: float) -> Verdict:
        """Tell whether a request may be admitted."""
        if side.alone:
            if self._own.total(now) + units <= side.part:
                return Verdict.ADMITTED
            return Verdict.UNCONFIRMED if side.nodes > 1 else Verdict.FULL
        if units > self.room(side, now):
            return Verdict.FULL
        unconfirmed = self.unconfirmed(now)
        if unconfirmed + units <= self._credit(side, now):
            return Verdict.ADMITTED
        if unconfirmed <= 0 and self.known(now) <= _OPEN_PART * side.ceiling:
            return Verdict.ADMITTED
        return Verdict.UNCONFIRMED

    def fits(self, side: Side, now: float) -> bool:
        """Whether the window has room for all that is counted in it."""
        if side.alone:
            return self._own.total(now) <= side.part
        return self.room(side, now) >= 0

    def unconfirmed(self, now: float) -> float:
        """Return the units of the window of which some peer may not know."""
        known = min(self._confirmed.values(), default=0.0)
        return min(self._charged - known, self._own.total(now))

    def _credit(self, side: Side, now: float) -> float:
        """Return the units that may wait for a confirmation.

        The parts of all nodes are one: half is dealt out evenly, and half by what each
        has used.
        """
        known = self.known(now)
        room = max(side.ceiling - known, 0.0)
        used = self._own.total(now) / known if known > 0 else 0.0
        return (room + side.reserve) * (1.0 / side.nodes + used) / 2

    def _used_by_others(self, now: float) -> float:
        told = sum(self._others.values())
        lost = self._lost_now(now)
        return told + lost if self._settled else max(told, lost)

    def _lost_now(self, now: float) -> float:
        """Return what nobody tells any more of those that have ended."""
        counts = now - self._followed_at < self._window_s
        return self._lost if counts else 0.0
