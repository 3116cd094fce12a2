"""The token bucket of one organisation, as one node keeps it."""

from __future__ import annotations

from dataclasses import dataclass, field

from baobabwing.gateway.decisions.charges import Charge, Spent
from baobabwing.gateway.decisions.demand import Demand
from baobabwing.gateway.decisions.escrow import Escrow
from baobabwing.gateway.decisions.window import SlidingSum
from baobabwing.gateway.model import OrganisationSpec

__all__ = ["Bucket"]


@dataclass(kw_only=True)
class Bucket:
    """Paces one organisation, and counts what it uses.

    :param level: units that may be admitted now; below zero after too many.
    :param updated: when it was last filled.
    :param demand: what all nodes are asked for.
    :param escrow: bounds what all nodes use in a window.
    :param excess: units out of the tolerance in the last window, of all nodes.
    :param spent: units out of the bucket since this node started.
    :param spent_excess: the same out of the tolerance.
    :param asked: units that were asked for since this node started.
    :param behind_s: time that the limit would take for what was asked beyond it.
    """

    spec: OrganisationSpec
    level: float
    updated: float
    demand: Demand
    escrow: Escrow
    excess: SlidingSum
    spent: float = 0.0
    spent_excess: float = 0.0
    asked: float = 0.0
    behind_s: float = field(default=0.0)

    @property
    def limit(self) -> tuple[float, float]:
        """Rate and burst."""
        return self.spec.rate_per_s, self.spec.burst

    def fill(self, now: float, share: float, age_s: float) -> None:
        """Add what the limit has allowed since the last time.

        What others have probably admitted, and have not told yet, is taken off when
        they tell it. Until then it is room in the bucket: filled up only to its brim,
        a bucket out of which others take all the time seemed to hold less than half of
        what it did, and requests far below their limit were refused.

        :param share: of the limit, for the nodes on this side.
        :param age_s: age of others' counts when they come.
        """
        passed = max(now - self.updated, 0.0)
        self.updated = now
        most = self.spec.burst * share + self.demand.unheard(now, age_s)
        self.level = min(self.level + passed * self.spec.rate_per_s * share, most)

    def take(self, units: float, rank: int, now: float) -> Charge:
        """Take units out of the bucket."""
        self.level -= units
        self.spent += units
        self.escrow.charge(units, now)
        return Charge(units=units, rank=rank, at=now)

    def take_excess(self, units: float, rank: int, now: float) -> Charge:
        """Take units out of the tolerance."""
        self.spent_excess += units
        self.excess.add(units, now)
        self.escrow.charge(units, now)
        return Charge(units=units, rank=rank, at=now, excess=True)

    def give_back(self, charge: Charge) -> None:
        """Return units that did not run."""
        self.escrow.give_back(charge.units, charge.at)
        if charge.excess:
            self.spent_excess -= charge.units
            self.excess.take_back(charge.units, charge.at)
        else:
            self.spent -= charge.units
            self.level += charge.units

    def take_off(self, units: float, excess: float, least: float, now: float) -> None:
        """Take out what others have admitted since their last word.

        :param least: the lowest level that this leads to.
        """
        self.level = max(self.level - units, least)
        self.excess.add(excess, now)

    def told(self, now: float | None) -> Spent:
        """Return what this node has admitted, for its peers."""
        return Spent(
            units=self.spent,
            excess=self.spent_excess,
            asked=self.asked,
            recent=self.escrow.own(self.updated if now is None else now),
        )
