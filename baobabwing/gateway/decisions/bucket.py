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
    :param spent_overage: the same out of the tolerance.
    :param asked: units that were asked for since this node started.
    :param backlog_s: time that the limit would take for what was asked beyond it.
    """

    spec: OrganisationSpec
    level: float
    filled_at: float
    demand: Demand
    escrow: Escrow
    overage: SlidingSum
    spent: float = 0.0
    spent_overage: float = 0.0
    requested: float = 0.0
    backlog_s: float = field(default=0.0)

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
        elapsed_s = max(now - self.filled_at, 0.0)
        self.filled_at = now
        max_level = self.spec.burst * share + self.demand.unreported(now, age_s)
        self.level = min(
            self.level + elapsed_s * self.spec.rate_per_s * share, max_level
        )

    def take(self, units: float, rank: int, now: float) -> Charge:
        """Take units out of the bucket."""
        self.level -= units
        self.spent += units
        self.escrow.charge(units, now)
        return Charge(units=units, rank=rank, charged_at=now)

    def take_overage(self, units: float, rank: int, now: float) -> Charge:
        """Take units out of the tolerance."""
        self.spent_overage += units
        self.overage.add(units, now)
        self.escrow.charge(units, now)
        return Charge(units=units, rank=rank, charged_at=now, overage=True)

    def refund(self, charge: Charge) -> None:
        """Return units that did not run."""
        self.escrow.refund(charge.units, charge.charged_at)
        if charge.overage:
            self.spent_overage -= charge.units
            self.overage.subtract(charge.units, charge.charged_at)
        else:
            self.spent -= charge.units
            self.level += charge.units

    def deduct(
        self, units: float, overage: float, min_level: float, now: float
    ) -> None:
        """Take out what others have admitted since their last word.

        :param least: the lowest level that this leads to.
        """
        self.level = max(self.level - units, min_level)
        self.overage.add(overage, now)

    def usage(self, now: float | None) -> Spent:
        """Return what this node has admitted, for its peers."""
        return Spent(
            units=self.spent,
            excess=self.spent_overage,
            asked=self.requested,
            recent=self.escrow.own_usage(self.filled_at if now is None else now),
        )
