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
from baobabwing.gateway.decisions.escrow import Escrow, Side, Verdict
from baobabwing.gateway.decisions.pacing import Words
from baobabwing.gateway.decisions.window import SlidingSum
from baobabwing.gateway.model import OrganisationSpec, QuotaUnit

__all__ = ["QuotaBook"]

_LEAST_RETRY_S = 0.05
# A node that hears nobody has mostly just started, and knows more after this time.
_ALONE_RETRY_S = 0.3
# Callers that are refused come back spread over this part of the time that the limit
# is behind, so that they do not all meet again.
_SPREAD = (0.5, 1.0)
# A node that started just now finds the others within this time, and adds their part of
# what buckets hold at a start.
_FINDING_S = 2.0


@dataclass(frozen=True, kw_only=True)
class _Heard:
    counts: dict[str, Spent]
    at: float


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
        self._excess_from = now + tolerance.window_s
        self._buckets: dict[str, Bucket] = {}
        self._heard: dict[str, _Heard] = {}
        self._share = 1.0
        self._shares: deque[tuple[float, float]] = deque()
        self._nodes = 1
        self._words = Words()
        self._counted_at: float | None = None
        self._followed = ""
        self._followed_at = now
        self._confirmed_at = now
        # Organisations without a limit. Their counts go on where they were: peers take
        # a count that falls for units that came back.
        self._unlimited: dict[str, Bucket] = {}

    def set_pace(self, seconds: float) -> None:
        """Take the time between two words of a peer."""
        self._words = Words(pace_s=seconds)

    def reload(self, tolerance: Tolerance) -> None:
        """Take a changed tolerance."""
        self._tolerance = tolerance

    def configure(
        self, organisations: Iterable[OrganisationSpec], now: float
    ) -> list[LimitChange]:
        """Take the limits of a new configuration; a lower one binds at once.

        :returns: organisations that were limited before, and are otherwise now.
        """
        known = {}
        changes = []
        for spec in organisations:
            if spec.rate_per_s <= 0:
                continue
            bucket = self._buckets.get(spec.name)
            if bucket is None:
                bucket = self._begin(spec, now)
            elif bucket.limit != (spec.rate_per_s, spec.burst):
                changes.append(LimitChange(before=bucket.spec, now=spec))
                self._change(bucket, spec, now)
            known[spec.name] = bucket
        gone = self._buckets.keys() - known.keys()
        self._unlimited.update({name: self._buckets[name] for name in gone})
        self._buckets = known
        return changes

    def _begin(self, spec: OrganisationSpec, now: float) -> Bucket:
        level = self._tolerance.start_level(spec) * self._share
        bucket = self._unlimited.pop(spec.name, None)
        if bucket is not None:
            bucket.spec, bucket.level, bucket.updated = spec, level, now
            return bucket
        window_s = self._tolerance.window_s
        return Bucket(
            spec=spec,
            level=level,
            updated=now,
            demand=Demand(since=now),
            escrow=Escrow(window_s=window_s),
            excess=SlidingSum(window_s=window_s),
        )

    def _change(self, bucket: Bucket, spec: OrganisationSpec, now: float) -> None:
        bucket.fill(now, self._share, self._words.age_s)
        if self._tolerance.limit(spec) < self._tolerance.limit(bucket.spec):
            bucket.escrow.forgive(now)
        bucket.spec = spec
        bucket.level = min(bucket.level, spec.burst * self._share)

    def set_share(self, share: float, now: float, *, nodes: int = 1) -> None:
        """Take the part of all nodes that hear each other on this side.

        :param share: nodes heard, this one included, of all that may be running.
        :param nodes: the nodes heard, this one included.
        """
        self._nodes = nodes
        if share == self._share:
            return
        for bucket in self._buckets.values():
            bucket.fill(now, self._share, self._words.age_s)
            if share < self._share:
                # What nodes admitted between their last words and their silence is
                # never heard; without this, each cut adds that to the limit.
                bucket.level -= bucket.demand.unheard(now, self._words.age_s)
                bucket.level *= share / self._share
            elif now - self._started < _FINDING_S:
                found = share - self._share
                bucket.level += found * self._tolerance.start_level(bucket.spec)
        self._shares.append((now, self._share))
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
        bucket.fill(now, self._share, self._words.age_s)
        bucket.asked += units
        bucket.demand.ask(units, rank, now)
        rate = bucket.spec.rate_per_s * self._share
        bucket.behind_s = bucket.demand.behind_s(rate, now)
        passes = pacing.passes(
            bucket,
            units,
            rank,
            now,
            share=self._share,
            words=self._words,
            rng=self._rng,
        )
        if passes or (places_free and self._tolerated(bucket, units, now)):
            return self._settle(bucket, units, rank, now, excess=not passes)
        return Charge(retry_after_s=self._wait_s(bucket, units))

    def admit_confirmed(
        self, name: str, waiting: Charge, now: float, *, confirmed: bool
    ) -> Charge:
        """Admit a request that has waited for others to know of it, or refuse it.

        :param confirmed: whether they know of it.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return Charge()
        bucket.fill(now, self._share, self._words.age_s)
        side = self._side(bucket.spec, now)
        if (confirmed or side.alone) and bucket.escrow.fits(side, now):
            return replace(waiting, retry_after_s=0.0, unconfirmed=False)
        bucket.give_back(waiting)
        return Charge(retry_after_s=self._wait_s(bucket, waiting.units))

    def _settle(
        self, bucket: Bucket, units: float, rank: int, now: float, *, excess: bool
    ) -> Charge:
        """Admit a request if the window has room for it, or count it until it may."""
        side = self._side(bucket.spec, now)
        verdict = bucket.escrow.judge(units, side, now)
        if verdict is Verdict.FULL:
            lacking = units - bucket.escrow.room(side, now)
            return Charge(retry_after_s=self._wait_s(bucket, units, lacking))
        take = bucket.take_excess if excess else bucket.take
        charge = take(units, rank, now)
        if verdict is Verdict.ADMITTED:
            return charge
        retry_after_s = self._wait_s(bucket, units)
        return replace(charge, retry_after_s=retry_after_s, unconfirmed=True)

    def charge_again(self, name: str, charge: Charge, now: float) -> Charge:
        """Charge a request that is sent to one more upstream.

        It is not refused: its work has begun. Later requests get less instead.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return Charge()
        bucket.fill(now, self._share, self._words.age_s)
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
        bucket.asked -= charge.units
        bucket.demand.ask(-charge.units, charge.rank, now)
        bucket.give_back(charge)

    def give_back_again(self, name: str, charge: Charge) -> None:
        """Return units of a further send that did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.give_back(charge)

    def spent(self, now: float | None = None) -> dict[str, Spent]:
        """Return what this node has admitted, for its peers."""
        return {name: one.told(now) for name, one in self._buckets.items()}

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
            self._counted_at = now
            self._take_window(peer, counts, now)
        before = self._heard.get(peer)
        self._heard[peer] = _Heard(counts=dict(counts), at=now)
        if before is None or now - before.at > self._words.stale_s:
            for bucket in self._buckets.values():
                bucket.demand.forget(peer)
            return
        for name, count in counts.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            last = before.counts.get(name, Spent())
            bucket.fill(now, self._share, self._words.age_s)
            bucket.demand.hear(
                peer,
                asked=count.asked - last.asked,
                admitted=count.units - last.units,
                seconds=now - before.at,
                stale_s=self._words.stale_s,
                now=now,
                counted=counted,
            )
            if counted:
                self._take_off(bucket, count, last, now)

    def confirm(self, peer: str, charged: Mapping[str, float], sent_at: float) -> None:
        """Take that a peer knows what this node had admitted at a time.

        :param charged: units since this node started, by organisation.
        """
        if peer == self._followed:
            self._confirmed_at = sent_at
        for name, units in charged.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.escrow.confirm(peer, units)

    def forget(self, peer: str) -> None:
        """Do without a peer that is silent."""
        for bucket in self._buckets.values():
            bucket.escrow.forget(peer)

    def follow(self, peer: str, now: float) -> None:
        """Take what others have admitted from this peer alone."""
        self._followed = peer
        self._followed_at = now
        for bucket in self._buckets.values():
            bucket.escrow.follow(peer, now)

    def _take_window(self, peer: str, counts: Mapping[str, Spent], now: float) -> None:
        """Take what others have admitted in the last window.

        A node that started just now learns by it how much of each limit is left.
        """
        settled = now - self._followed_at > self._words.fresh_s
        starts = now - self._started < self.window_s
        for name, bucket in self._buckets.items():
            units = counts[name].recent if name in counts else 0.0
            bucket.escrow.hear(peer, units)
            if settled:
                bucket.escrow.settle()
            elif starts:
                # Its share is still that of a node alone; what is told is of all.
                known = bucket.escrow.known(now)
                left = self._tolerance.ceiling(bucket.spec) - known
                bucket.level = min(bucket.level, left)

    def _take_off(self, bucket: Bucket, count: Spent, last: Spent, now: float) -> None:
        """Take out of a bucket what others have admitted since their last word."""
        # What was too much is paid back, but not for longer than it counts.
        least = -bucket.spec.rate_per_s * self._tolerance.window_s
        bucket.take_off(
            count.units - last.units, count.excess - last.excess, least, now
        )

    @property
    def share(self) -> float:
        """Part of all nodes that hear each other on this side."""
        return self._share

    def counts_age_s(self, now: float) -> float | None:
        """Return how long ago others' counts were last taken; none if never."""
        return None if self._counted_at is None else now - self._counted_at

    def describe(self, name: str) -> dict[str, float]:
        """Return a bucket's figures for the log."""
        bucket = self._buckets[name]
        return {
            "bucket": round(bucket.level, 1),
            "rate_per_s": bucket.spec.rate_per_s,
            "burst": bucket.spec.burst,
            "excess": round(bucket.excess.total(bucket.updated), 1),
            "used": round(bucket.escrow.known(bucket.updated), 1),
            "unconfirmed": round(bucket.escrow.unconfirmed(bucket.updated), 1),
            "ceiling": round(self._tolerance.ceiling(bucket.spec), 1),
            "share": round(self._share, 3),
            "spent": round(bucket.spent, 1),
        }

    def _side(self, spec: OrganisationSpec, now: float) -> Side:
        """Return what the nodes on this side may use of a limit's window."""
        tolerance, share = self._tolerance, self._share
        age_s = now - self._confirmed_at
        return Side(
            nodes=self._nodes,
            ceiling=tolerance.ceiling(spec) * share,
            reserve=tolerance.kept_back(spec) * share,
            alone=self._nodes <= 1 or age_s > self._words.fresh_s,
        )

    def _wait_s(self, bucket: Bucket, units: float, lacking: float = 0.0) -> float:
        """Return when a request that is refused is to come back.

        :param lacking: units that have to leave the window first.
        """
        rate = bucket.spec.rate_per_s * self._share
        lacking_s = (pacing.needed(bucket, units, self._share) - bucket.level) / rate
        behind_s = bucket.behind_s * self._rng.uniform(*_SPREAD)
        alone = self._nodes <= 1 and self._share < 1
        least_s = _ALONE_RETRY_S if alone else _LEAST_RETRY_S
        return max(lacking_s, lacking / rate, behind_s, least_s)

    def _tolerated(self, bucket: Bucket, units: float, now: float) -> bool:
        if now < self._excess_from:
            return False
        most = self._tolerance.excess(bucket.spec) * self._least_share(now)
        return bucket.excess.total(now) + units <= most

    def _least_share(self, now: float) -> float:
        """Return the smallest share within a window.

        After a partition heals, what the other side admitted in the last window
        is not known here; each side's own part still bounds it.
        """
        while self._shares and self._shares[0][0] < now - self._tolerance.window_s:
            self._shares.popleft()
        return min([self._share, *(share for _, share in self._shares)])
