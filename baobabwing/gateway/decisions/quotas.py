"""Limits of organisations over all nodes, without asking any of them.

Each node keeps a copy of each organisation's token bucket and takes from it
what it admits itself and what the others report. A node that hears only some of
the others lets its bucket fill in proportion to those it hears, so that the
sides of a partition never admit more than the limit together.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from baobabwing.gateway.model import OrganisationSpec, QuotaUnit

__all__ = ["QuotaBook"]

# A peer's count that comes after a longer silence is a new baseline: what it
# admitted meanwhile came out of its own side's share.
_STALE_S = 1.0
# A node that starts does not know what was admitted before it came.
_START_SHARE = 0.5
_LEAST_RETRY_S = 0.05


@dataclass(kw_only=True)
class _Bucket:
    spec: OrganisationSpec
    level: float
    updated: float
    spent: float = 0.0

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
    """Buckets of all organisations at one node."""

    def __init__(self) -> None:
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

    def admit(self, name: str, units: float, now: float) -> float:
        """Take units from an organisation's bucket.

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
            bucket.spent += units
            return 0.0
        rate = bucket.spec.rate_per_s * self._share
        return max((needed - bucket.level) / rate, _LEAST_RETRY_S)

    def give_back(self, name: str, units: float) -> None:
        """Return units of a request that did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.level += units
            bucket.spent -= units

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
                bucket.level -= count - before.counts.get(name, 0.0)
