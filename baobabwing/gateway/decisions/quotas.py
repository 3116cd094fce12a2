"""Limits of organisations over all nodes, enforced by each node on its own.

Each node keeps a copy of each organisation's token bucket and deducts what it admits
itself and what the others report. The bucket paces: it spreads a limit over time, nodes
and ranks. A node that reaches only some of the others refills its copy in proportion to
the nodes that it reaches.

The bound is enforced over a sliding window: by the known usage of all nodes, and by an
escrow for usage that is not known yet (:mod:`baobabwing.gateway.decisions.escrow`).

Beyond the bucket, the operator tolerates an overage in any window. It is used only for
requests whose slot no queued request needs, and is counted separately.
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
    RefusalCause,
    Tolerance,
    Usage,
)
from baobabwing.gateway.decisions.demand import Demand
from baobabwing.gateway.decisions.escrow import Escrow, Partition, WindowDecision
from baobabwing.gateway.decisions.pacing import ReportTiming
from baobabwing.gateway.decisions.window import SlidingSum
from baobabwing.gateway.model import OrganisationSpec, QuotaUnit

__all__ = ["QuotaBook"]

_MIN_RETRY_S = 0.05
# A node that reaches no other has usually just started, and finds others within this
# time.
_ISOLATED_RETRY_S = 0.3
# The delay of a refused caller is a random part of the backlog, between these bounds,
# so that callers do not all retry at the same time.
_RETRY_SPREAD = (0.5, 1.0)
# A starting node finds the others within this time. As its share of the limits grows
# meanwhile, its buckets get the same part of their start level.
_DISCOVERY_S = 2.0


@dataclass(frozen=True, kw_only=True)
class _ReceivedCounts:
    """Counts that a peer reported last."""

    counts: dict[str, Usage]
    received_at: float


class QuotaBook:
    """Limits of all organisations, as one node enforces them.

    :param tolerance: overage that is allowed while upstreams have free slots.
    :param now: when this node started.
    :param rng: picks which requests of an organisation over its limit pass.
    """

    def __init__(
        self, *, tolerance: Tolerance, now: float, rng: Random | None = None
    ) -> None:
        self._tolerance = tolerance
        self._rng = rng or Random()
        # A starting node does not know what its previous incarnation admitted, so it
        # leaves the tolerance unused until that has left the window.
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
        # Buckets of organisations that have no limit any more. Their counts must not
        # restart with a new limit: peers take a count that falls for a refund.
        self._unlimited: dict[str, Bucket] = {}

    def set_report_interval(self, interval_s: float) -> None:
        """Set the interval between two reports of a peer."""
        self._timing = ReportTiming(interval_s=interval_s)

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Apply a changed tolerance."""
        self._tolerance = tolerance

    def configure(
        self, organisations: Iterable[OrganisationSpec], now: float
    ) -> list[LimitChange]:
        """Apply the limits of a new configuration; a lower one binds at once.

        :returns: changes of limits, of organisations that had one before and still do.
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
                changes.append(LimitChange(before=bucket.spec, after=spec))
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
        """Set the part of each limit that belongs to the reachable nodes.

        :param share: reachable nodes, this one included, of all that may be running.
        :param nodes: number of reachable nodes, this one included.
        """
        self._reachable_nodes = nodes
        if share == self._share:
            return
        for bucket in self._buckets.values():
            bucket.fill(now, self._share, self._timing.age_s)
            if share < self._share:
                # What nodes admitted between their last report and the partition is
                # never received; without this, each partition adds it to the limit.
                bucket.level -= bucket.demand.unreported(now, self._timing.age_s)
                bucket.level *= share / self._share
            elif now - self._started < _DISCOVERY_S:
                added_share = share - self._share
                bucket.level += added_share * self._tolerance.start_level(bucket.spec)
        self._recent_shares.append((now, self._share))
        self._share = share

    def units_of(self, spec: OrganisationSpec, tokens: int | None) -> float:
        """Return the units that a request costs.

        :param tokens: tokens of the request; ``None`` if it does not state them.
        """
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
        slot_free: bool = False,
    ) -> Charge:
        """Charge a request to an organisation, or refuse it.

        :param rank: urgency among the organisation's requests; 0 goes first.
        :param slot_free: whether a slot is free that no queued request needs; the
            request may then use the tolerance, at no cost to other organisations.
        :returns: the charge; it tells whether the request may run, has to wait for
            acknowledgements, or is refused.
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
        if admitted or (slot_free and self._within_tolerance(bucket, units, now)):
            return self._admit_within_window(
                bucket, units, rank, now, overage=not admitted
            )
        return Charge(
            retry_after_s=self._retry_after_s(bucket, units),
            refused_by=RefusalCause.PACE,
        )

    def admit_acknowledged(
        self, name: str, charge: Charge, now: float, *, acknowledged: bool
    ) -> Charge:
        """Admit a request that waited for acknowledgements, or refund and refuse it.

        :param charge: the unacknowledged charge that :meth:`admit` returned.
        :param acknowledged: whether this node's usage has been acknowledged.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return Charge()
        bucket.fill(now, self._share, self._timing.age_s)
        partition = self._partition(bucket.spec, now)
        known = acknowledged or partition.isolated
        if known and bucket.escrow.within_limit(partition, now):
            return replace(charge, retry_after_s=0.0, unacknowledged=False)
        bucket.refund(charge)
        return Charge(
            retry_after_s=self._retry_after_s(bucket, charge.units),
            refused_by=RefusalCause.WINDOW if known else RefusalCause.UNACKNOWLEDGED,
        )

    def _admit_within_window(
        self, bucket: Bucket, units: float, rank: int, now: float, *, overage: bool
    ) -> Charge:
        """Charge a request if the window has room for it.

        Where its units have to be acknowledged first, the charge is unacknowledged.
        """
        partition = self._partition(bucket.spec, now)
        decision = bucket.escrow.evaluate(units, partition, now)
        if decision is WindowDecision.FULL:
            units_to_expire = units - bucket.escrow.remaining(partition, now)
            return Charge(
                retry_after_s=self._retry_after_s(bucket, units, units_to_expire),
                refused_by=RefusalCause.WINDOW,
            )
        take = bucket.take_overage if overage else bucket.take
        charge = take(units, rank, now)
        if decision is WindowDecision.ADMITTED:
            return charge
        retry_after_s = self._retry_after_s(bucket, units)
        return replace(charge, retry_after_s=retry_after_s, unacknowledged=True)

    def charge_retry(self, name: str, charge: Charge, now: float) -> Charge:
        """Charge a request that is sent to one more upstream.

        It is not refused, since its work has begun. Later requests get less instead.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return Charge()
        bucket.fill(now, self._share, self._timing.age_s)
        return bucket.take(charge.units, charge.rank, now)

    def refund(self, name: str, charge: Charge, now: float) -> None:
        """Refund a request that did not run.

        Its units are taken out of the demand as well. While engines are full, most
        admitted units are refunded; when these still counted as demand, organisations
        with a full bucket seemed to be over their limit, and two in five of their
        requests were refused.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return
        bucket.requested -= charge.units
        bucket.demand.add(-charge.units, charge.rank, now)
        bucket.refund(charge)

    def refund_units(self, name: str, charge: Charge) -> None:
        """Refund units that stay in the demand.

        These are the units of a further send that did not run, and of a request that
        was cancelled while it waited for acknowledgements.
        """
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.refund(charge)

    def usage(self, now: float | None = None) -> dict[str, Usage]:
        """Return what this node has admitted, by organisation, to report to peers.

        :param now: end of the window of the recent units; if not given, the time when
            each bucket was last filled.
        """
        return {name: bucket.usage(now) for name, bucket in self._buckets.items()}

    def organisations(self) -> tuple[str, ...]:
        """Return the organisations that have a limit."""
        return tuple(self._buckets)

    @property
    def window_s(self) -> float:
        """Length of the sliding window over which usage is bounded."""
        return self._tolerance.window_s

    def ceiling(self, name: str) -> float:
        """Return the bound on all nodes' known usage in a window; 0 if unlimited."""
        bucket = self._buckets.get(name)
        return self._tolerance.ceiling(bucket.spec) if bucket else 0.0

    def record_counts(
        self,
        peer: str,
        counts: Mapping[str, Usage],
        now: float,
        *,
        deduct: bool = True,
    ) -> None:
        """Record the counts that a peer reports.

        :param peer: name and incarnation; a new incarnation counts from zero.
        :param counts: usage of the nodes that the peer reports for, by organisation.
        :param deduct: whether what the peer adds is deducted here; if not, the counts
            are only the baseline for its later reports.
        """
        if deduct:
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
            last = previous.counts.get(name, Usage())
            bucket.fill(now, self._share, self._timing.age_s)
            bucket.demand.record_peer(
                peer,
                requested=count.requested - last.requested,
                admitted=count.units - last.units,
                interval_s=now - previous.received_at,
                stale_s=self._timing.stale_s,
                now=now,
                included=deduct,
            )
            if deduct:
                self._deduct(bucket, count, last, now)

    def acknowledge(
        self, peer: str, admitted: Mapping[str, float], sent_at: float
    ) -> None:
        """Record that a peer has acknowledged a report of this node.

        :param admitted: units that the report stated as admitted since this node
            started, by organisation.
        :param sent_at: when the report was sent.
        """
        if peer == self._aggregator:
            self._acknowledged_at = sent_at
        for name, units in admitted.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.escrow.acknowledge(peer, units)

    def forget_acknowledgements(self, peer: str) -> None:
        """Drop the acknowledgements of an unresponsive peer."""
        for bucket in self._buckets.values():
            bucket.escrow.forget_acknowledgements(peer)

    def set_aggregator(self, peer: str, now: float) -> None:
        """Use this peer alone as the source of what others have admitted."""
        self._aggregator = peer
        self._aggregator_since = now
        for bucket in self._buckets.values():
            bucket.escrow.set_aggregator(peer, now)

    def _record_window_usage(
        self, peer: str, counts: Mapping[str, Usage], now: float
    ) -> None:
        """Record what other nodes have admitted in the last window.

        A node that has just started learns from it how much of each limit is left.
        """
        reports_complete = now - self._aggregator_since > self._timing.fresh_s
        just_started = now - self._started < self.window_s
        for name, bucket in self._buckets.items():
            units = counts[name].recent if name in counts else 0.0
            bucket.escrow.record_others(peer, units)
            if reports_complete:
                bucket.escrow.complete_change()
            elif just_started:
                # The share still is that of an isolated node, while the counts
                # cover all nodes.
                used = bucket.escrow.known_usage(now)
                remaining = self._tolerance.ceiling(bucket.spec) - used
                bucket.level = min(bucket.level, remaining)

    def _deduct(self, bucket: Bucket, count: Usage, last: Usage, now: float) -> None:
        """Deduct from a bucket what others have admitted since their last report."""
        # An overdraft is paid back, but not for longer than it counts in the window.
        min_level = -bucket.spec.rate_per_s * self._tolerance.window_s
        bucket.deduct(
            count.units - last.units, count.overage - last.overage, min_level, now
        )

    @property
    def share(self) -> float:
        """Part of each limit that belongs to the reachable nodes."""
        return self._share

    def counts_age_s(self, now: float) -> float | None:
        """Return the time since others' counts were last received, if ever."""
        return (
            None if self._counts_received_at is None else now - self._counts_received_at
        )

    def describe(self, name: str) -> dict[str, float]:
        """Return the state of a bucket as log fields."""
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
        """Return the reachable nodes and what they may use of a limit's window."""
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
        """Return the time after which the caller of a refused request is to retry.

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
        """Return the smallest share of the last window.

        After a partition heals, what the other partition admitted in the last window is
        not known here; the share that each of them had still bounds it.
        """
        while (
            self._recent_shares
            and self._recent_shares[0][0] < now - self._tolerance.window_s
        ):
            self._recent_shares.popleft()
        return min([self._share, *(share for _, share in self._recent_shares)])
