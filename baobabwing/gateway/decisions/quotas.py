"""Limits of organisations over all nodes, without asking any of them.

Each node keeps a copy of each organisation's token bucket and takes from it what it
admits itself and what the others report. The bucket paces: it spreads a limit over
time, nodes and ranks. A node that hears only some of the others lets it fill in
proportion to those it hears.

The bound is kept by the window: what all nodes have admitted in it, as far as it is
known, and an escrow for what is not (:mod:`baobabwing.gateway.decisions.escrow`).

Beyond the bucket, the operator tolerates an excess in any window. It is used only
for requests that take a place from nobody, and counted by itself.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from random import Random

from baobabwing.gateway.decisions import pacing
from baobabwing.gateway.decisions.bucket import Bucket
from baobabwing.gateway.decisions.charges import (
    Charge,
    LimitChange,
    Spent,
    Tolerance,
)
from baobabwing.gateway.decisions.demand import Demand
from baobabwing.gateway.decisions.escrow import Escrow, Partition, WindowDecision
from baobabwing.gateway.decisions.pacing import ReportTiming
from baobabwing.gateway.decisions.window import SlidingSum
from baobabwing.gateway.model import OrganisationSpec, QuotaUnit

__all__ = ["QuotaBook"]

_MIN_RETRY_S = 0.05
# A node that hears nobody has mostly just started, and knows more after this time.
_ISOLATED_RETRY_S = 0.3
# Callers that are refused come back spread over this part of the time that the limit
# is behind, so that they do not all meet again.
_RETRY_SPREAD = (0.5, 1.0)
# A node that started just now finds the others within this time, and adds their part of
# what buckets hold at a start.
_DISCOVERY_S = 2.0


@dataclass(frozen=True, kw_only=True)
class _ReceivedCounts:
    counts: dict[str, Spent]
    received_at: float


class QuotaBook:
    """Buckets of all organisations at one node.

    :param tolerance: excess that is allowed while upstreams have free places.
    :param now: when this node started.
    :param rng: draws which requests of an organisation over its limit pass.
    """

    def __init__(
        self, *, tolerance: Tolerance, now: float, rng: Random | None = None
    ) -> None:
        self._tolerance = tolerance
        self._rng = rng or Random()
        # A node that has just started does not know what its last run admitted.
        self._started = now
        self._overage_from = now + tolerance.window_s
        self._buckets: dict[str, Bucket] = {}
        self._received: dict[str, _ReceivedCounts] = {}
        self._share = 1.0
        self._recent_shares: deque[tuple[float, float]] = deque()
        self._reachable_nodes = 1
        self._timing = ReportTiming()
        self._counts_received_at: float | None = None
        self._aggregator = ""
        self._aggregator_since = now
        self._acknowledged_at = now
        # Organisations without a limit. Their counts go on where they were: peers take
        # a count that falls for units that came back.
        self._unlimited: dict[str, Bucket] = {}

    def set_pace(self, interval_s: float) -> None:
        """Take the time between two words of a peer."""
        self._timing = ReportTiming(interval_s=interval_s)

    def reload(self, tolerance: Tolerance) -> None:
        """Take a changed tolerance."""
        self._tolerance = tolerance

    def configure(
        self, organisations: Iterable[OrganisationSpec], now: float
    ) -> list[LimitChange]:
        """Take the limits of a new configuration; a lower one binds at once.

        :returns: organisations that were limited before, and are otherwise now.
        """
        limited = {}
        changes = []
        for spec in organisations:
            if spec.rate_per_s <= 0:
                continue
            bucket = self._buckets.get(spec.name)
            if bucket is None:
                bucket = self._new_bucket(spec, now)
            elif bucket.limit != (spec.rate_per_s, spec.burst):
                changes.append(LimitChange(before=bucket.spec, now=spec))
                self._change_limit(bucket, spec, now)
            limited[spec.name] = bucket
        removed = self._buckets.keys() - limited.keys()
        self._unlimited.update({name: self._buckets[name] for name in removed})
        self._buckets = limited
        return changes

    def _new_bucket(self, spec: OrganisationSpec, now: float) -> Bucket:
        level = self._tolerance.start_level(spec) * self._share
        bucket = self._unlimited.pop(spec.name, None)
        if bucket is not None:
            bucket.spec, bucket.level, bucket.filled_at = spec, level, now
            return bucket
        window_s = self._tolerance.window_s
        return Bucket(
            spec=spec,
            level=level,
            filled_at=now,
            demand=Demand(sample_began=now),
            escrow=Escrow(window_s=window_s),
            overage=SlidingSum(window_s=window_s),
        )

    def _change_limit(self, bucket: Bucket, spec: OrganisationSpec, now: float) -> None:
        bucket.fill(now, self._share, self._timing.age_s)
        if self._tolerance.limit(spec) < self._tolerance.limit(bucket.spec):
            bucket.escrow.discount_usage(now)
        bucket.spec = spec
        bucket.level = min(bucket.level, spec.burst * self._share)

    def set_share(self, share: float, now: float, *, nodes: int = 1) -> None:
        """Take the part of all nodes that hear each other on this side.

        :param share: nodes heard, this one included, of all that may be running.
        :param nodes: the nodes heard, this one included.
        """
        self._reachable_nodes = nodes
        if share == self._share:
            return
        for bucket in self._buckets.values():
            bucket.fill(now, self._share, self._timing.age_s)
            if share < self._share:
                # What nodes admitted between their last words and their silence is
                # never heard; without this, each cut adds that to the limit.
                bucket.level -= bucket.demand.unreported(now, self._timing.age_s)
                bucket.level *= share / self._share
            elif now - self._started < _DISCOVERY_S:
                added_share = share - self._share
                bucket.level += added_share * self._tolerance.start_level(bucket.spec)
        self._recent_shares.append((now, self._share))
        self._share = share

    def charge(self, spec: OrganisationSpec, tokens: int | None) -> float:
        """Return the units that a request costs."""
        if spec.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(tokens) if tokens is not None else spec.plain_units

    def admit(
        self,
        name: str,
        units: float,
        now: float,
        *,
        rank: int = 0,
        places_free: bool = False,
    ) -> Charge:
        """Take units from an organisation's bucket.

        :param rank: urgency among the organisation's requests; 0 goes first.
        :param places_free: whether the request takes a place from nobody; it may
            then use the tolerance, which costs no other organisation anything.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return Charge()
        bucket.fill(now, self._share, self._timing.age_s)
        bucket.requested += units
        bucket.demand.add(units, rank, now)
        rate = bucket.spec.rate_per_s * self._share
        bucket.backlog_s = bucket.demand.backlog_s(rate, now)
        admitted = pacing.admits(
            bucket,
            units,
            rank,
            now,
            share=self._share,
            timing=self._timing,
            rng=self._rng,
        )
        if admitted or (places_free and self._within_tolerance(bucket, units, now)):
            return self._admit_within_window(
                bucket, units, rank, now, overage=not admitted
            )
        return Charge(retry_after_s=self._retry_after_s(bucket, units))

    def admit_confirmed(
        self, name: str, charge: Charge, now: float, *, confirmed: bool
    ) -> Charge:
        """Admit a request that has waited for others to know of it, or refuse it.

        :param confirmed: whether they know of it.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return Charge()
        bucket.fill(now, self._share, self._timing.age_s)
        partition = self._partition(bucket.spec, now)
        if (confirmed or partition.isolated) and bucket.escrow.within_limit(
            partition, now
        ):
            return replace(charge, retry_after_s=0.0, unconfirmed=False)
        bucket.refund(charge)
        return Charge(retry_after_s=self._retry_after_s(bucket, charge.units))

    def _admit_within_window(
        self, bucket: Bucket, units: float, rank: int, now: float, *, overage: bool
    ) -> Charge:
        """Admit a request if the window has room for it, or count it until it may."""
        partition = self._partition(bucket.spec, now)
        decision = bucket.escrow.evaluate(units, partition, now)
        if decision is WindowDecision.FULL:
            units_to_expire = units - bucket.escrow.remaining(partition, now)
            return Charge(
                retry_after_s=self._retry_after_s(bucket, units, units_to_expire)
            )
        take = bucket.take_overage if overage else bucket.take
        charge = take(units, rank, now)
        if decision is WindowDecision.ADMITTED:
            return charge
        retry_after_s = self._retry_after_s(bucket, units)
        return replace(charge, retry_after_s=retry_after_s, unconfirmed=True)

    def charge_again(self, name: str, charge: Charge, now: float) -> Charge:
        """Charge a request that is sent to one more upstream.

        It is not refused: its work has begun. Later requests get less instead.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return Charge()
        bucket.fill(now, self._share, self._timing.age_s)
        return bucket.take(charge.units, charge.rank, now)

    def give_back(self, name: str, charge: Charge, now: float) -> None:
        """Return units of a request that did not run.

        It is taken out of the demand as well. While engines are full, most of what is
        admitted comes back like this: counted as asked for, it made organisations seem
        to be over their limit whose bucket was full, and two in five were refused.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return
        bucket.requested -= charge.units
        bucket.demand.add(-charge.units, charge.rank, now)
        bucket.refund(charge)

    def give_back_again(self, name: str, charge: Charge) -> None:
        """Return units of a further send that did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.refund(charge)

    def spent(self, now: float | None = None) -> dict[str, Spent]:
        """Return what this node has admitted, for its peers."""
        return {name: bucket.usage(now) for name, bucket in self._buckets.items()}

    def names(self) -> tuple[str, ...]:
        """Return the organisations that have a limit."""
        return tuple(self._buckets)

    @property
    def window_s(self) -> float:
        """Length of the window in which the operator counts."""
        return self._tolerance.window_s

    def ceiling(self, name: str) -> float:
        """Return what all nodes may know to be used in a window; 0 if unlimited."""
        bucket = self._buckets.get(name)
        return self._tolerance.ceiling(bucket.spec) if bucket else 0.0

    def hear(
        self,
        peer: str,
        counts: Mapping[str, Spent],
        now: float,
        *,
        counted: bool = True,
    ) -> None:
        """Take a peer's counts.

        :param peer: name and incarnation; counts start anew with each.
        :param counted: whether what it adds is taken off here; if not, it only is
            what later counts of this peer are compared with.
        """
        if counted:
            self._counts_received_at = now
            self._record_window_usage(peer, counts, now)
        previous = self._received.get(peer)
        self._received[peer] = _ReceivedCounts(counts=dict(counts), received_at=now)
        if previous is None or now - previous.received_at > self._timing.stale_s:
            for bucket in self._buckets.values():
                bucket.demand.forget_peer(peer)
            return
        for name, count in counts.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            last = previous.counts.get(name, Spent())
            bucket.fill(now, self._share, self._timing.age_s)
            bucket.demand.record_peer(
                peer,
                requested=count.asked - last.asked,
                admitted=count.units - last.units,
                interval_s=now - previous.received_at,
                stale_s=self._timing.stale_s,
                now=now,
                included=counted,
            )
            if counted:
                self._deduct(bucket, count, last, now)

    def confirm(self, peer: str, admitted: Mapping[str, float], sent_at: float) -> None:
        """Take that a peer knows what this node had admitted at a time.

        :param charged: units since this node started, by organisation.
        """
        if peer == self._aggregator:
            self._acknowledged_at = sent_at
        for name, units in admitted.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.escrow.acknowledge(peer, units)

    def forget(self, peer: str) -> None:
        """Do without a peer that is silent."""
        for bucket in self._buckets.values():
            bucket.escrow.forget_acknowledgements(peer)

    def follow(self, peer: str, now: float) -> None:
        """Take what others have admitted from this peer alone."""
        self._aggregator = peer
        self._aggregator_since = now
        for bucket in self._buckets.values():
            bucket.escrow.set_aggregator(peer, now)

    def _record_window_usage(
        self, peer: str, counts: Mapping[str, Spent], now: float
    ) -> None:
        """Take what others have admitted in the last window.

        A node that started just now learns by it how much of each limit is left.
        """
        reports_complete = now - self._aggregator_since > self._timing.fresh_s
        just_started = now - self._started < self.window_s
        for name, bucket in self._buckets.items():
            units = counts[name].recent if name in counts else 0.0
            bucket.escrow.record_others(peer, units)
            if reports_complete:
                bucket.escrow.complete_change()
            elif just_started:
                # Its share is still that of a node alone; what is told is of all.
                used = bucket.escrow.known_usage(now)
                remaining = self._tolerance.ceiling(bucket.spec) - used
                bucket.level = min(bucket.level, remaining)

    def _deduct(self, bucket: Bucket, count: Spent, last: Spent, now: float) -> None:
        """Take out of a bucket what others have admitted since their last word."""
        # What was too much is paid back, but not for longer than it counts.
        min_level = -bucket.spec.rate_per_s * self._tolerance.window_s
        bucket.deduct(
            count.units - last.units, count.excess - last.excess, min_level, now
        )

    @property
    def share(self) -> float:
        """Part of all nodes that hear each other on this side."""
        return self._share

    def counts_age_s(self, now: float) -> float | None:
        """Return how long ago others' counts were last taken; none if never."""
        return (
            None if self._counts_received_at is None else now - self._counts_received_at
        )

    def describe(self, name: str) -> dict[str, float]:
        """Return a bucket's figures for the log."""
        bucket = self._buckets[name]
        return {
            "bucket": round(bucket.level, 1),
            "rate_per_s": bucket.spec.rate_per_s,
            "burst": bucket.spec.burst,
            "excess": round(bucket.overage.total(bucket.filled_at), 1),
            "used": round(bucket.escrow.known_usage(bucket.filled_at), 1),
            "unconfirmed": round(bucket.escrow.unacknowledged(bucket.filled_at), 1),
            "ceiling": round(self._tolerance.ceiling(bucket.spec), 1),
            "share": round(self._share, 3),
            "spent": round(bucket.spent, 1),
        }

    def _partition(self, spec: OrganisationSpec, now: float) -> Partition:
        """Return what the nodes on this side may use of a limit's window."""
        tolerance, share = self._tolerance, self._share
        age_s = now - self._acknowledged_at
        return Partition(
            nodes=self._reachable_nodes,
            ceiling=tolerance.ceiling(spec) * share,
            reserve=tolerance.reserve(spec) * share,
            isolated=self._reachable_nodes <= 1 or age_s > self._timing.fresh_s,
        )

    def _retry_after_s(
        self, bucket: Bucket, units: float, units_to_expire: float = 0.0
    ) -> float:
        """Return when a request that is refused is to come back.

        :param units_to_expire: units that have to leave the window first.
        """
        rate = bucket.spec.rate_per_s * self._share
        refill_s = (
            pacing.required_level(bucket, units, self._share) - bucket.level
        ) / rate
        backlog_s = bucket.backlog_s * self._rng.uniform(*_RETRY_SPREAD)
        isolated = self._reachable_nodes <= 1 and self._share < 1
        min_s = _ISOLATED_RETRY_S if isolated else _MIN_RETRY_S
        return max(refill_s, units_to_expire / rate, backlog_s, min_s)

    def _within_tolerance(self, bucket: Bucket, units: float, now: float) -> bool:
        if now < self._overage_from:
            return False
        limit = self._tolerance.overage(bucket.spec) * self._min_share(now)
        return bucket.overage.total(now) + units <= limit

    def _min_share(self, now: float) -> float:
        """Return the smallest share within a window.

        After a partition heals, what the other side admitted in the last window
        is not known here; each side's own part still bounds it.
        """
        while (
            self._recent_shares
            and self._recent_shares[0][0] < now - self._tolerance.window_s
        ):
            self._recent_shares.popleft()
        return min([self._share, *(share for _, share in self._recent_shares)])
