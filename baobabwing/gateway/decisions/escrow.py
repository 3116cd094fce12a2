"""Bound on the usage of an organisation while reports of other nodes are in transit.

All nodes count what each has admitted in the last window. While counts are in transit,
all nodes could use the same remaining units, so a node may have admitted only a part of
them without an acknowledgement. A request beyond that part is counted, and runs once
its units are acknowledged. Late or lost reports cost time and refusals, but the
bound holds.

References
----------
.. [1] P. E. O'Neil, "The Escrow transactional method", ACM Transactions on Database
   Systems 11(4), 1986.
.. [2] D. Barbara and H. Garcia-Molina, "The demarcation protocol", The VLDB Journal
   3(3), 1994.

"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from baobabwing.gateway.decisions.window import SlidingSum

__all__ = ["Escrow", "Partition", "WindowDecision"]

# While the known usage is at most this part of the ceiling, a node admits one request
# before it is acknowledged, however large it is.
_RELAXED_SHARE = 0.75


class WindowDecision(Enum):
    """Whether a request may use units of the window.

    ``UNCONFIRMED`` requests are counted now, and run once peers have acknowledged the
    units.
    """

    ADMITTED = "admitted"
    UNCONFIRMED = "unconfirmed"
    FULL = "full"


@dataclass(frozen=True, kw_only=True)
class Partition:
    """The reachable nodes, and what they may use in a window.

    :param nodes: number of reachable nodes, this one included.
    :param ceiling: bound on their known usage in a window.
    :param reserve: units beyond the ceiling, for usage that not all of them know yet.
    :param isolated: whether this node keeps to its own allocation, whatever others do:
        it reaches no other, or acknowledgements are late.
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


@dataclass(frozen=True, kw_only=True)
class _UnreportedUnits:
    """Units that the previous aggregator reported and the present one does not.

    :param expires_at: when all of them have left the window.
    """

    units: float
    expires_at: float


class Escrow:
    """Usage of one organisation in the last window, as known at this node.

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
        # During a change of aggregator: the total that the previous one reported.
        self._previous_total = 0.0
        self._aggregator_since = 0.0
        self._change_complete = True
        self._unreported: list[_UnreportedUnits] = []

    def charge(self, units: float, now: float) -> None:
        """Count units that this node admits."""
        self._own.add(units, now)
        self._charged += units

    def refund(self, units: float, charged_at: float) -> None:
        """Remove units that did not run."""
        self._own.subtract(units, charged_at)
        self._charged -= units

    def record_others(self, peer: str, units: float) -> None:
        """Record what the other nodes have admitted in their last window.

        :param peer: aggregator that reports it.
        """
        self._others[peer] = units

    def set_aggregator(self, peer: str, now: float) -> None:
        """Use this peer alone as the source of what others have admitted.

        Its total may be smaller than that of the aggregator before it: units of nodes
        that ended together with that aggregator are missing. The larger total counts
        until :meth:`complete_change`. From then on the difference counts on top, until
        a window has passed since the change.

        Changes may follow each other before the first is complete. All totals hold the
        same units, so that the largest one counts, not their sum.
        """
        self._previous_total = self._reported_usage(now)
        self._aggregator_since = now
        self._change_complete = False
        self._others = {peer: self._others.get(peer, 0.0)}

    def complete_change(self) -> None:
        """Note that the new aggregator has received a report of each live node."""
        if self._change_complete:
            return
        self._change_complete = True
        missing = self._previous_total - sum(self._others.values())
        if missing > 0:
            expires_at = self._aggregator_since + self._window_s
            unreported = _UnreportedUnits(units=missing, expires_at=expires_at)
            self._unreported.append(unreported)
        else:
            self._reduce_unreported(-missing)

    def acknowledge(self, peer: str, charged: float) -> None:
        """Record that a peer has received a report of this node's units.

        :param charged: units that the report stated as charged since the start.
        """
        self._acknowledged[peer] = charged

    def forget_acknowledgements(self, peer: str) -> None:
        """Drop the acknowledgements of an unresponsive peer.

        The total that it reported still counts: :meth:`set_aggregator` compares it with
        that of the next aggregator.
        """
        self._acknowledged.pop(peer, None)

    def discount_usage(self, now: float) -> None:
        """Exclude what was used until now from the usage that counts.

        This is for a limit that is lowered: it binds what is used from now on. The
        discount falls to zero within a window, as the units leave the window.
        """
        self._discounted = self.known_usage(now)
        self._discounted_at = now

    def own_usage(self, now: float) -> float:
        """Return the units that this node has admitted in the last window."""
        return self._own.total(now)

    def known_usage(self, now: float) -> float:
        """Return the known units of all nodes in the window that ends now."""
        discount_share = max(1.0 - (now - self._discounted_at) / self._window_s, 0.0)
        used = self._own.total(now) + self._others_usage(now)
        return max(used - self._discounted * discount_share, 0.0)

    def remaining(self, partition: Partition, now: float) -> float:
        """Return the units that are left in the window."""
        return partition.ceiling - self.known_usage(now)

    def evaluate(
        self, units: float, partition: Partition, now: float
    ) -> WindowDecision:
        """Decide whether a request may be admitted."""
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
        """Whether the window has room for all units that are counted in it."""
        if partition.isolated:
            return self._own.total(now) <= partition.node_allocation
        return self.remaining(partition, now) >= 0

    def unacknowledged(self, now: float) -> float:
        """Return the units of the window that some peer has not acknowledged."""
        known = min(self._acknowledged.values(), default=0.0)
        return min(self._charged - known, self._own.total(now))

    def _max_unacknowledged(self, partition: Partition, now: float) -> float:
        """Return the units that this node may use before they are acknowledged.

        The parts of all nodes add up to one: half is allocated evenly, and half in
        proportion to each node's usage.
        """
        known = self.known_usage(now)
        remaining = max(partition.ceiling - known, 0.0)
        own_share = self._own.total(now) / known if known > 0 else 0.0
        return (remaining + partition.reserve) * (1.0 / partition.nodes + own_share) / 2

    def _others_usage(self, now: float) -> float:
        while self._unreported and self._unreported[0].expires_at <= now:
            del self._unreported[0]
        unreported = sum(entry.units for entry in self._unreported)
        return self._reported_usage(now) + unreported

    def _reported_usage(self, now: float) -> float:
        """Return the larger total of two aggregators during a change."""
        reported = sum(self._others.values())
        expired = now - self._aggregator_since >= self._window_s
        if self._change_complete or expired:
            return reported
        return max(reported, self._previous_total)

    def _reduce_unreported(self, units: float) -> None:
        """Remove units that the new aggregator reports again, the oldest first."""
        while self._unreported and units > 0:
            oldest = self._unreported.pop(0)
            if oldest.units > units:
                rest = replace(oldest, units=oldest.units - units)
                self._unreported.insert(0, rest)
            units -= oldest.units
