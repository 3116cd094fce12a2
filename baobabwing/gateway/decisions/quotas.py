"""Limits of organisations over all nodes, without asking any of them.

Each node keeps a copy of each organisation's token bucket and takes from it
what it admits itself and what the others report. A node that hears only some of
the others lets its bucket fill in proportion to those it hears, so that the
sides of a partition never admit more than the limit together.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from baobabwing.gateway.model import OrganisationSpec, QuotaUnit

__all__ = ["QuotaBook", "Tolerance"]

# A peer's count that comes after a longer silence is a new baseline: what it
# admitted meanwhile came out of its own side's share.
_STALE_S = 1.0
# A node that starts does not know what was admitted before it came.
_START_SHARE = 0.5
_LEAST_RETRY_S = 0.05
# Part of the tolerance that is used: reports of peers are up to 0.2 s old, a
# fortieth of the window, and every node may use what the others have not told.
_TOLERANCE_USED = 0.85


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

    def most(self, spec: OrganisationSpec) -> float:
        """Return the units of one window that keep within the tolerance."""
        limit = spec.rate_per_s * self.window_s + spec.burst
        return limit + _TOLERANCE_USED * (limit * self.over + self.slack)


@dataclass(kw_only=True)
class _Bucket:
    spec: OrganisationSpec
    level: float
    updated: float
    spent: float = 0.0
    admitted: deque[tuple[float, float]] = field(default_factory=deque)
    in_window: float = 0.0

    def count(self, units: float, now: float) -> None:
        """Add to the window what was admitted, here or elsewhere."""
        self.admitted.append((now, units))
        self.in_window += units

    def forget(self, before: float) -> None:
        """Drop what lies before the window."""
        while self.admitted and self.admitted[0][0] < before:
            self.in_window -= self.admitted.popleft()[1]

    def fill(self, now: float, share: float) -> None:
        passed = max(now - self.updated, 0.0)
        self.updated = now
        most = self.spec.burst * share
        filled = self.level + passed * self.spec.rate_per_s * share
        self.level = min(filled, max(most, self.level - passed * self.spec.rate_per_s))


@dataclass(kw_only=True)
class _Heard:
    counts: dict[str, float]
    at: float


class QuotaBook:
    """Buckets of all organisations at one node.

    :param tolerance: excess that is allowed while upstreams have free places.
    :param now: when this node started.
    """

    def __init__(self, *, tolerance: Tolerance, now: float) -> None:
        self._tolerance = tolerance
        self._started = now
        self._buckets: dict[str, _Bucket] = {}
        self._heard: dict[str, _Heard] = {}
        self._share = 1.0

    def configure(self, organisations: Iterable[OrganisationSpec], now: float) -> None:
        """Take the limits of a new configuration; a lower one binds at once."""
        known = {}
        for spec in organisations:
            if spec.rate_per_s <= 0:
                continue
            bucket = self._buckets.get(spec.name)
            if bucket is None:
                level = spec.burst * self._share * _START_SHARE
                bucket = _Bucket(spec=spec, level=level, updated=now)
            else:
                bucket.fill(now, self._share)
                bucket.spec = spec
                bucket.level = min(bucket.level, spec.burst * self._share)
            known[spec.name] = bucket
        self._buckets = known

    def set_share(self, share: float, now: float) -> None:
        """Take the part of all nodes that hear each other on this side.

        :param share: nodes heard, this one included, of all that may be running.
        """
        for bucket in self._buckets.values():
            bucket.fill(now, self._share)
            if share < self._share:
                bucket.level *= share / self._share
        self._share = share

    def charge(self, spec: OrganisationSpec, tokens: int | None) -> float:
        """Return the units that a request costs."""
        if spec.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(tokens) if tokens is not None else spec.plain_units

    def admit(
        self, name: str, units: float, now: float, *, places_free: bool = False
    ) -> float:
        """Take units from an organisation's bucket.

        :param places_free: whether the request takes a place from nobody; it may
            then use the tolerance, which costs no other organisation anything.
        :returns: 0 if they were taken, else seconds until they are there.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return 0.0
        bucket.fill(now, self._share)
        # A request larger than the whole bucket passes when the bucket is full.
        needed = min(units, bucket.spec.burst * self._share)
        if bucket.level >= needed:
            bucket.level -= units
            self._take(bucket, units, now)
            return 0.0
        if places_free and self._tolerated(bucket, units, now):
            self._take(bucket, units, now)
            return 0.0
        rate = bucket.spec.rate_per_s * self._share
        return max((needed - bucket.level) / rate, _LEAST_RETRY_S)

    def _take(self, bucket: _Bucket, units: float, now: float) -> None:
        bucket.spent += units
        bucket.count(units, now)

    def _tolerated(self, bucket: _Bucket, units: float, now: float) -> bool:
        window_s = self._tolerance.window_s
        # A node that has just started does not know what its last run admitted.
        if now - self._started < window_s:
            return False
        bucket.forget(now - window_s)
        most = self._tolerance.most(bucket.spec) * self._share
        return bucket.in_window + units <= most

    def describe(self, name: str) -> dict[str, float]:
        """Return a bucket's figures for the log."""
        bucket = self._buckets[name]
        return {
            "level": round(bucket.level, 1),
            "rate_per_s": bucket.spec.rate_per_s,
            "burst": bucket.spec.burst,
            "in_window": round(bucket.in_window, 1),
            "share": round(self._share, 3),
            "spent": round(bucket.spent, 1),
        }

    def give_back(self, name: str, units: float, now: float) -> None:
        """Return units of a request that did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.level += units
            bucket.spent -= units
            bucket.count(-units, now)

    def spent(self) -> dict[str, int]:
        """Return what this node has admitted since it started, for its peers."""
        return {name: int(one.spent) for name, one in self._buckets.items()}

    def hear(self, peer: str, counts: Mapping[str, float], now: float) -> None:
        """Take a peer's counts.

        :param peer: name and incarnation; counts start anew with each.
        """
        before = self._heard.get(peer)
        self._heard[peer] = _Heard(counts=dict(counts), at=now)
        if before is None or now - before.at > _STALE_S:
            return
        for name, count in counts.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.fill(now, self._share)
                units = count - before.counts.get(name, 0.0)
                bucket.level = max(bucket.level - units, -bucket.spec.burst)
                bucket.count(units, now)
                bucket.forget(now - self._tolerance.window_s)
