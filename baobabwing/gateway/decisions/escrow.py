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

__all__ = ["Escrow", "Partition", "WindowDecision"]


# While all nodes have used no more than this part of what they may, one request of each
# passes before it is confirmed, however large it is.
_RELAXED_SHARE = 0.75


class WindowDecision(Enum):
    """Whether a request may be admitted."""

    ADMITTED = "admitted"
    UNCONFIRMED = "unconfirmed"
    FULL = "full"


@dataclass(frozen=True, kw_only=True)
class Partition:
    """The nodes that hear each other, and what they may use in a window.

    :param nodes: how many they are, this one included.
    :param ceiling: units that they may know to be used.
    :param reserve: units beyond that of which not all of them may know.
    :param isolated: whether this node keeps to its own part, whatever others do: it
        hears nobody, or late.
    """

    nodes: int
    ceiling: float
    reserve: float
    isolated: bool

    @property
    def node_allocation(self) -> float:
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
        self._acknowledged: dict[str, float] = {}
        self._discounted = 0.0
        self._discounted_at = 0.0
        self._unreported = 0.0
        self._aggregator_since = 0.0
        self._change_complete = True

    def charge(self, units: float, now: float) -> None:
        """Count units that this node admits."""
        self._own.add(units, now)
        self._charged += units

    def refund(self, units: float, charged_at: float) -> None:
        """Take out units that did not run."""
        self._own.subtract(units, charged_at)
        self._charged -= units

    def record_others(self, peer: str, units: float) -> None:
        """Take what the others have admitted in their last window, as a peer tells."""
        self._others[peer] = units

    def set_aggregator(self, peer: str, now: float) -> None:
        """Take what others have admitted from this peer alone.

        It may know less than the one before: what nodes had admitted that ended with
        it. Until :meth:`complete_change` the larger count holds, and the difference
        afterwards.
        """
        self._unreported = sum(self._others.values()) + self._unreported_usage(now)
        self._aggregator_since = now
        self._change_complete = False
        self._others = {peer: self._others.get(peer, 0.0)}

    def complete_change(self) -> None:
        """Take that the followed peer has heard all who still report."""
        if not self._change_complete:
            self._unreported = max(self._unreported - sum(self._others.values()), 0.0)
            self._change_complete = True

    def acknowledge(self, peer: str, charged: float) -> None:
        """Take that a peer knows of so many units, of all that were ever charged."""
        self._acknowledged[peer] = charged

    def forget_acknowledgements(self, peer: str) -> None:
        """Do without the confirmations of a peer that is silent.

        What it told still counts: :meth:`set_aggregator` compares it with what the
        next tells.
        """
        self._acknowledged.pop(peer, None)

    def discount_usage(self, now: float) -> None:
        """Let what was used until now count less and less, and no more in a window.

        For a limit that is lowered: it binds what is used from now on.
        """
        self._discounted = self.known_usage(now)
        self._discounted_at = now

    def own_usage(self, now: float) -> float:
        """Return the units that this node has admitted in the last window."""
        return self._own.total(now)

    def known_usage(self, now: float) -> float:
        """Return the units of all nodes that count in the window that ends now."""
        discount_share = max(1.0 - (now - self._discounted_at) / self._window_s, 0.0)
        used = self._own.total(now) + self._others_usage(now)
        return max(used - self._discounted * discount_share, 0.0)

    def remaining(self, partition: Partition, now: float) -> float:
        """Return the units that are left in the window."""
        return partition.ceiling - self.known_usage(now)

    def evaluate(
        self, units: float, partition: Partition, now: float
    ) -> WindowDecision:
        """Tell whether a request may be admitted."""
        if partition.isolated:
            if self._own.total(now) + units <= partition.node_allocation:
                return WindowDecision.ADMITTED
            return (
                WindowDecision.UNCONFIRMED
                if partition.nodes > 1
                else WindowDecision.FULL
            )
        if units > self.remaining(partition, now):
            return WindowDecision.FULL
        unacknowledged = self.unacknowledged(now)
        if unacknowledged + units <= self._max_unacknowledged(partition, now):
            return WindowDecision.ADMITTED
        if (
            unacknowledged <= 0
            and self.known_usage(now) <= _RELAXED_SHARE * partition.ceiling
        ):
            return WindowDecision.ADMITTED
        return WindowDecision.UNCONFIRMED

    def within_limit(self, partition: Partition, now: float) -> bool:
        """Whether the window has room for all that is counted in it."""
        if partition.isolated:
            return self._own.total(now) <= partition.node_allocation
        return self.remaining(partition, now) >= 0

    def unacknowledged(self, now: float) -> float:
        """Return the units of the window of which some peer may not know."""
        known = min(self._acknowledged.values(), default=0.0)
        return min(self._charged - known, self._own.total(now))

    def _max_unacknowledged(self, partition: Partition, now: float) -> float:
        """Return the units that may wait for a confirmation.

        The parts of all nodes are one: half is dealt out evenly, and half by what each
        has used.
        """
        known = self.known_usage(now)
        remaining = max(partition.ceiling - known, 0.0)
        own_share = self._own.total(now) / known if known > 0 else 0.0
        return (remaining + partition.reserve) * (1.0 / partition.nodes + own_share) / 2

    def _others_usage(self, now: float) -> float:
        reported = sum(self._others.values())
        unreported = self._unreported_usage(now)
        return (
            reported + unreported
            if self._change_complete
            else max(reported, unreported)
        )

    def _unreported_usage(self, now: float) -> float:
        """Return what nobody tells any more of those that have ended."""
        still_counts = now - self._aggregator_since < self._window_s
        return self._unreported if still_counts else 0.0
