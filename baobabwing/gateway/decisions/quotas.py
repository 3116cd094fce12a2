"""Limits of organisations over all nodes, without asking any of them.

Each node keeps a copy of each organisation's token bucket and takes from it
what it admits itself and what the others report. A node that hears only some of
the others lets its bucket fill in proportion to those it hears, so that the
sides of a partition never admit more than the limit together.

Beyond the bucket, the operator tolerates an excess in any window. It is used only
for requests that take a place from nobody, and counted by itself: what the bucket
admits in a window never exceeds its rate times the window plus the burst, so that
the sum stays below the bound whatever order the two come in.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from baobabwing.gateway.decisions.demand import Demand
from baobabwing.gateway.model import OrganisationSpec, QuotaUnit

__all__ = ["Charge", "LimitChange", "QuotaBook", "Spent", "Tolerance"]

# Between two words of a peer, until :meth:`QuotaBook.set_pace` says otherwise.
_PACE_S = 0.25
# A peer's count that comes after a silence of more words than this is a new baseline:
# what it admitted meanwhile came out of its own side's share. Reckoned in words and not
# in seconds: with a fixed second, one lost word at 195 nodes, or none at 300, left what
# all others had admitted out of the bucket, and a limit was exceeded four times over.
_SILENT_WORDS = 3
_LEAST_STALE_S = 1.0
_LEAST_RETRY_S = 0.05
# Age of the counts in a sum when it arrives: half of the time between two words, and
# the way.
_AGE_WORDS = 0.5
_WAY_S = 0.025
# A bucket that is dealt out is held at this part of its burst: deep enough for a large
# request, and so that late counts do not overdraw it.
_HELD_SHARE = 0.4
# Until all know what all have admitted: half of the time between two words until it is
# told, as long again until it is heard, and once more for a word that is lost.
_KNOWN_WORDS = 2
# A request that takes more than this part of a bucket passes like one that does.
_LARGE_SHARE = 0.25
# A bucket that is dealt out comes back to its held part within this time, and within so
# many words of others: a correction must not be faster than what shows whether it has
# been enough. Down to that part it comes back faster, since what runs over its brim is
# lost to the organisation: 3 in 100 of its limit at 195 nodes (simulated).
_LEVEL_S = 2.0
_LEVEL_WORDS = 6
_LEAST_LEVEL_S = 0.5
# Callers that are refused come back spread over this part of the time that the limit
# is behind, so that they do not all meet again.
_SPREAD = (0.5, 1.0)
# Part of the tolerance that is kept back at least, and the seconds of the limit's rate.
# What peers admitted is known 0.1 to 0.5 s late; until then all nodes see the same
# rest. At five times the limit they admit up to 2 s of its rate too much meanwhile, out
# of the bucket and out of the tolerance (simulated with 7 and 70 nodes).
_KEPT_BACK = 0.25
_KEPT_BACK_S = 2.0
# A node that started just now finds the others within this time. What it held until
# then grows with the number of nodes that it knows to share the limit.
_FINDING_S = 2.0


@dataclass(frozen=True, kw_only=True)
class Tolerance:
    """How far all nodes together may exceed a limit, as the operator states it.

    :param window_s: any span of this length is counted.
    :param over: part of the limit.
    :param slack: units beyond that.
    """

    window_s: float = 8.0
    over: float = 0.0
    slack: float = 0.0

    def excess(self, spec: OrganisationSpec) -> float:
        """Return the units beyond the limit that are used in one window."""
        return max(self._whole(spec) - self._kept_back(spec), 0.0)

    def start_level(self, spec: OrganisationSpec) -> float:
        """Return what a bucket holds at the start.

        A node that starts does not know what was admitted before it came. The part
        of the tolerance that is never used otherwise covers it, also where all
        nodes start at once.
        """
        return min(spec.burst, _KEPT_BACK * self._whole(spec))

    def _kept_back(self, spec: OrganisationSpec) -> float:
        least = _KEPT_BACK * self._whole(spec)
        return max(least, _KEPT_BACK_S * spec.rate_per_s)

    def _whole(self, spec: OrganisationSpec) -> float:
        limit = spec.rate_per_s * self.window_s + spec.burst
        return limit * self.over + self.slack


@dataclass(frozen=True, kw_only=True)
class Charge:
    """What a request cost, or how long it has to wait.

    :param excess: whether the units came out of the tolerance.
    :param rank: urgency with which it was asked for.
    :param retry_after_s: seconds until the units are there; 0 if it was admitted.
    """

    units: float = 0.0
    excess: bool = False
    rank: int = 0
    retry_after_s: float = 0.0

    @property
    def admitted(self) -> bool:
        """Whether the request may go on."""
        return self.retry_after_s <= 0


@dataclass(frozen=True, kw_only=True)
class Spent:
    """What one node has admitted for an organisation since it started.

    :param asked: units that were asked for: those admitted, and those refused for the
        limit.
    """

    units: float = 0.0
    excess: float = 0.0
    asked: float = 0.0


@dataclass(frozen=True, kw_only=True)
class LimitChange:
    """A limit that another configuration states otherwise."""

    before: OrganisationSpec
    now: OrganisationSpec


@dataclass(kw_only=True)
class _Window:
    """Units of the last seconds."""

    entries: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0.0

    def count(self, units: float, now: float) -> None:
        self.entries.append((now, units))
        self.total += units

    def forget(self, before: float) -> None:
        while self.entries and self.entries[0][0] < before:
            self.total -= self.entries.popleft()[1]


@dataclass(kw_only=True)
class _Bucket:
    spec: OrganisationSpec
    level: float
    updated: float
    demand: Demand
    spent: float = 0.0
    spent_excess: float = 0.0
    asked: float = 0.0
    behind_s: float = 0.0
    excess: _Window = field(default_factory=_Window)

    @property
    def limit(self) -> tuple[float, float]:
        return self.spec.rate_per_s, self.spec.burst

    def fill(self, now: float, share: float, age_s: float) -> None:
        """Add what the limit has allowed since the last time.

        What others have probably admitted, and have not told yet, is taken off when
        they tell it. Until then it is room in the bucket: filled up only to its brim,
        a bucket out of which others take all the time seemed to hold less than half of
        what it did, and requests far below their limit were refused.
        """
        passed = max(now - self.updated, 0.0)
        self.updated = now
        most = self.spec.burst * share + self.demand.unheard(now, age_s)
        self.level = min(self.level + passed * self.spec.rate_per_s * share, most)


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
        self._buckets: dict[str, _Bucket] = {}
        self._heard: dict[str, _Heard] = {}
        self._share = 1.0
        self._shares: deque[tuple[float, float]] = deque()
        self._pace_s = _PACE_S
        self._counted_at: float | None = None

    def set_pace(self, seconds: float) -> None:
        """Take the time between two words of a peer."""
        self._pace_s = seconds

    @property
    def _stale_s(self) -> float:
        return max(_SILENT_WORDS * self._pace_s, _LEAST_STALE_S)

    @property
    def _age_s(self) -> float:
        return _AGE_WORDS * self._pace_s + _WAY_S

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
                level = self._tolerance.start_level(spec) * self._share
                bucket = _Bucket(
                    spec=spec, level=level, updated=now, demand=Demand(since=now)
                )
            else:
                bucket.fill(now, self._share, self._age_s)
                if bucket.limit != (spec.rate_per_s, spec.burst):
                    changes.append(LimitChange(before=bucket.spec, now=spec))
                bucket.spec = spec
                bucket.level = min(bucket.level, spec.burst * self._share)
            known[spec.name] = bucket
        self._buckets = known
        return changes

    def set_share(self, share: float, now: float) -> None:
        """Take the part of all nodes that hear each other on this side.

        :param share: nodes heard, this one included, of all that may be running.
        """
        if share == self._share:
            return
        for bucket in self._buckets.values():
            bucket.fill(now, self._share, self._age_s)
            if share < self._share:
                # What nodes admitted between their last words and their silence is
                # never heard; without this, each cut adds that to the limit.
                bucket.level -= bucket.demand.unheard(now, self._age_s)
            if share < self._share or now - self._started < _FINDING_S:
                bucket.level *= share / self._share
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
        bucket.fill(now, self._share, self._age_s)
        bucket.asked += units
        bucket.demand.ask(units, rank, now)
        rate = bucket.spec.rate_per_s * self._share
        bucket.behind_s = bucket.demand.behind_s(rate, now)
        if self._passes(bucket, units, rank, now):
            bucket.level -= units
            bucket.spent += units
            return Charge(units=units, rank=rank)
        if places_free and self._tolerated(bucket, units, now):
            bucket.spent_excess += units
            bucket.excess.count(units, now)
            return Charge(units=units, rank=rank, excess=True)
        return Charge(retry_after_s=self._wait_s(bucket, units))

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
        if charge.excess:
            bucket.spent_excess -= charge.units
            bucket.excess.count(-charge.units, now)
        else:
            bucket.spent -= charge.units
            bucket.level += charge.units

    def spent(self) -> dict[str, Spent]:
        """Return what this node has admitted since it started, for its peers."""
        return {
            name: Spent(units=one.spent, excess=one.spent_excess, asked=one.asked)
            for name, one in self._buckets.items()
        }

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
        before = self._heard.get(peer)
        self._heard[peer] = _Heard(counts=dict(counts), at=now)
        if before is None or now - before.at > self._stale_s:
            for bucket in self._buckets.values():
                bucket.demand.forget(peer)
            return
        for name, count in counts.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            last = before.counts.get(name, Spent())
            bucket.fill(now, self._share, self._age_s)
            bucket.demand.hear(
                peer,
                asked=count.asked - last.asked,
                admitted=count.units - last.units,
                seconds=now - before.at,
                stale_s=self._stale_s,
                now=now,
                counted=counted,
            )
            if counted:
                self._take_off(bucket, count, last, now)

    def _take_off(self, bucket: _Bucket, count: Spent, last: Spent, now: float) -> None:
        """Take out of a bucket what others have admitted since their last word."""
        # What was too much is paid back, but not for longer than it counts.
        least = -bucket.spec.rate_per_s * self._tolerance.window_s
        bucket.level = max(bucket.level - (count.units - last.units), least)
        bucket.fill(now, self._share, self._age_s)
        bucket.excess.count(count.excess - last.excess, now)
        bucket.excess.forget(now - self._tolerance.window_s)

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
            "excess": round(bucket.excess.total, 1),
            "share": round(self._share, 3),
            "spent": round(bucket.spent, 1),
        }

    def _passes(self, bucket: _Bucket, units: float, rank: int, now: float) -> bool:
        """Whether the limit lets a request pass.

        Where more is asked for than the limit allows, all nodes would use the same
        rest of the bucket before they hear of each other, and then refuse all until it
        is paid back; and since the rest is small then, large requests would be refused
        while small, less urgent ones pass. So a bucket that is not nearly full is
        dealt out: each node lets a part of its requests pass, the more urgent ones
        first, as large as the limit is against what all nodes are asked for.
        """
        if bucket.level < self._needed(bucket, units):
            return False
        rate = bucket.spec.rate_per_s * self._share
        room = bucket.level - bucket.demand.unheard(now, self._age_s)
        room -= _HELD_SHARE * bucket.spec.burst * self._share
        beyond = max(bucket.demand.total_per_s(now) - rate, 0.0)
        if room >= beyond * _KNOWN_WORDS * self._pace_s:
            return True
        if room >= 0:
            level_s = max(_LEAST_LEVEL_S, _KNOWN_WORDS * self._pace_s)
        else:
            level_s = max(_LEVEL_S, _LEVEL_WORDS * self._pace_s)
        allowed = rate + room / level_s
        return self._rng.random() < bucket.demand.part(rank, allowed, now)

    def _needed(self, bucket: _Bucket, units: float) -> float:
        return min(units, _LARGE_SHARE * bucket.spec.burst * self._share)

    def _wait_s(self, bucket: _Bucket, units: float) -> float:
        """Return when a request that is refused is to come back."""
        rate = bucket.spec.rate_per_s * self._share
        lacking_s = (self._needed(bucket, units) - bucket.level) / rate
        behind_s = bucket.behind_s * self._rng.uniform(*_SPREAD)
        return max(lacking_s, behind_s, _LEAST_RETRY_S)

    def _tolerated(self, bucket: _Bucket, units: float, now: float) -> bool:
        if now < self._excess_from:
            return False
        bucket.excess.forget(now - self._tolerance.window_s)
        most = self._tolerance.excess(bucket.spec) * self._least_share(now)
        return bucket.excess.total + units <= most

    def _least_share(self, now: float) -> float:
        """Return the smallest share within a window.

        After a partition heals, what the other side admitted in the last window
        is not known here; each side's own part still bounds it.
        """
        while self._shares and self._shares[0][0] < now - self._tolerance.window_s:
            self._shares.popleft()
        return min([self._share, *(share for _, share in self._shares)])
