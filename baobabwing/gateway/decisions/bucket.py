"""The token bucket of one organisation at one node."""

from __future__ import annotations

from dataclasses import dataclass, field

from baobabwing.gateway.decisions.charges import Charge, Usage
from baobabwing.gateway.decisions.demand import Demand
from baobabwing.gateway.decisions.escrow import Escrow
from baobabwing.gateway.decisions.window import SlidingSum
from baobabwing.gateway.model import OrganisationSpec

__all__ = ["Bucket"]


@dataclass(kw_only=True)
class Bucket:
    """Paces the requests of one organisation, and counts its usage.

    :param level: units that may be admitted now; negative after an overdraft.
    :param filled_at: when it was last filled.
    :param demand: rates at which units are requested at all nodes.
    :param escrow: bounds the usage of all nodes in a window.
    :param overage: units of all nodes out of the tolerance, in the last window.
    :param spent: units that this node took out of the bucket since it started.
    :param spent_overage: units that it took out of the tolerance since then.
    :param requested: units that were requested at this node since then.
    :param backlog_s: time that the limit takes for what was requested beyond it.
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
        """Add what the limit has allowed since the last call.

        What others have probably admitted, but not reported yet, is deducted when their
        report arrives. Until then the bucket may hold that much more than its burst.
        Filled up only to the burst, a bucket that others use all the time seemed to
        hold less than half of its units, and requests far below their limit were
        refused.

        :param share: part of the limit that belongs to the reachable nodes.
        :param age_s: age of others' counts when they arrive.
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
        """Deduct what others have admitted since their last report.

        :param units: units out of the bucket.
        :param overage: units out of the tolerance.
        :param min_level: lower bound of the resulting level.
        """
        self.level = max(self.level - units, min_level)
        self.overage.add(overage, now)

    def usage(self, now: float | None) -> Usage:
        """Return what this node has admitted, to report to peers.

        :param now: end of the window of the recent units; ``None`` for the last fill.
        """
        return Usage(
            units=self.spent,
            overage=self.spent_overage,
            requested=self.requested,
            recent=self.escrow.own_usage(self.filled_at if now is None else now),
        )
