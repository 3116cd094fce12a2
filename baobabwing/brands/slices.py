"""Slices of an organisation's limits, leased to entries by demand.

The home of an organisation leases slices that are valid for a short time. The
slices that may be in use never add up to more than the limits. When an entry is
leased a smaller slice, its previous one is counted until it expires, because the
answer with the smaller slice may be lost.

An entry counts the validity from when it sent its query, and the home from when it
answered, which is later. So no clocks are compared, and a slice expires at its entry
before the home leases the amount again.

Overshoot: a single home never leases more than the limits. A new home does not have
the leases of the previous one, and two nodes may both act as the home. Each of them
leases at most the limits once, and the leases of a dead home expire after one
validity. With h homes within a validity, usage is at most h times the limits; h is 2
for a plain change of home, for at most one validity.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, floor

from baobabwing.brands.catalogue import Limits

__all__ = ["Demand", "Slice", "SliceHome", "fallback_limits"]

SLICE_VALID_S = 2.0
# Share of a limit that is not divided by demand, so that an entry that had no slice
# gets one immediately.
_RESERVED_SHARE = 0.05
# Demand below this share of the highest demand counts as this share.
_MIN_DEMAND_SHARE = 0.02
# Smallest rate that is leased; a smaller demand counts as this much.
_MIN_RATE = 1e-3
# An entry that does not query again keeps its claim for this many validities.
_CLAIM_VALIDITIES = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Recent demand of an organisation at an entry, including refused requests.

    :param open: requests open at the entry, plus the next one.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    open: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Slice:
    """A part of an organisation's limits for one entry.

    :param limits: limits at the entry; 0 stands for no limit, as it does in the
        limits of the organisation.
    :param valid_s: validity, counted from when the query was sent. 0 if the home
        has nothing to lease; then ``limits`` must not be used, and the entry
        admits nothing and queries again.
    """

    limits: Limits
    valid_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Lease:
    amount: float
    until: float


class _Dimension:
    """The leases of one limit, such as requests per second.

    :param integral: whether only whole numbers are leased.
    :param demand_valid_s: how long an entry that does not query again keeps its
        claim to a share.
    """

    def __init__(self, *, integral: bool, demand_valid_s: float) -> None:
        self._integral = integral
        self._demand_valid_s = demand_valid_s
        self._leases: dict[str, list[_Lease]] = {}
        self._demands: dict[str, _Lease] = {}
        self._lease_ends: dict[str, float] = {}

    def in_use(self, now: float) -> float:
        """Return the amount that all entries together may be using at most."""
        return sum(self._leased_amount(entry, now) for entry in self._leases)

    def offer(self, entry: str, demand: float, limit: float, now: float) -> float:
        """Return the amount for an entry: its share by demand, if that is free."""
        self._demands[entry] = _Lease(amount=demand, until=now + self._demand_valid_s)
        free = limit - self.in_use(now) + self._leased_amount(entry, now)
        wanted = self._demand_share(entry) * limit * (1.0 - _RESERVED_SHARE)
        if not self._integral:
            return min(wanted, free)
        # If every share were rounded up, one entry could renew the last unit
        # indefinitely while another entry that requests it has none.
        wanted = floor(wanted) if self._must_yield(entry, now) else ceil(wanted)
        return min(wanted, floor(free))

    def lease(self, entry: str, amount: float, until: float) -> None:
        """Record a lease; larger ones that may still be in use remain counted."""
        larger = [
            previous
            for previous in self._leases.get(entry, [])
            if previous.amount > amount
        ]
        self._leases[entry] = [*larger, _Lease(amount=amount, until=until)]
        self._lease_ends[entry] = until

    def forget(self, entry: str) -> None:
        """Remove the leases and the claim of a dead entry."""
        self._leases.pop(entry, None)
        self._demands.pop(entry, None)
        self._lease_ends.pop(entry, None)

    def expire(self, now: float) -> None:
        """Remove expired leases and claims."""
        for entry in list(self._leases):
            if not self._leased_amount(entry, now):
                del self._leases[entry]
        for entry, claim in list(self._demands.items()):
            if claim.until <= now:
                del self._demands[entry]
                self._lease_ends.pop(entry, None)

    def _must_yield(self, entry: str, now: float) -> bool:
        """Return whether another entry takes precedence over this one.

        It does if it has demand but no lease, and its last lease ended earlier.
        """
        own_end = self._lease_ends.get(entry, 0.0)
        return any(
            claim.amount > 0
            and not self._leased_amount(other, now)
            and self._lease_ends.get(other, 0.0) < own_end
            for other, claim in self._demands.items()
        )

    def _leased_amount(self, entry: str, now: float) -> float:
        """Return the amount that an entry may be using at most."""
        live = [lease for lease in self._leases.get(entry, []) if lease.until > now]
        if entry in self._leases:
            self._leases[entry] = live
        return max((lease.amount for lease in live), default=0.0)

    def _demand_share(self, entry: str) -> float:
        """Return the share of an entry in the demand of all entries, 0 to 1."""
        # An entry without demand keeps a small share, so that its first
        # request need not wait for a lease.
        amounts = [claim.amount for claim in self._demands.values()]
        min_amount = max(_MIN_DEMAND_SHARE * max(amounts), _MIN_RATE)
        total = sum(max(amount, min_amount) for amount in amounts)
        return max(self._demands[entry].amount, min_amount) / total


class SliceHome:
    """Leases slices of one organisation's limits.

    Not thread-safe; the caller must hold a lock.

    :param limits: the limits over all nodes.
    :param valid_s: validity of a slice, in seconds.
    """

    def __init__(self, *, limits: Limits, valid_s: float = SLICE_VALID_S) -> None:
        self._limits = limits
        self._valid_s = valid_s
        claim_s = _CLAIM_VALIDITIES * valid_s
        self._requests = _Dimension(integral=False, demand_valid_s=claim_s)
        self._tokens = _Dimension(integral=False, demand_valid_s=claim_s)
        self._concurrency = _Dimension(integral=True, demand_valid_s=claim_s)

    def lease(self, entry: str, demand: Demand, now: float) -> Slice:
        """Lease a slice to an entry.

        :param entry: ``name#incarnation`` of the entry.
        """
        self._expire(now)
        total = self._limits
        leased = Limits(
            requests_per_s=_offer(
                self._requests, entry, demand.requests_per_s, total.requests_per_s, now
            ),
            tokens_per_s=_offer(
                self._tokens, entry, demand.tokens_per_s, total.tokens_per_s, now
            ),
            concurrency=int(
                _offer(self._concurrency, entry, demand.open, total.concurrency, now)
            ),
        )
        if _is_unusable(leased, total):
            return Slice(limits=leased, valid_s=0.0)
        until = now + self._valid_s
        self._requests.lease(entry, leased.requests_per_s, until)
        self._tokens.lease(entry, leased.tokens_per_s, until)
        self._concurrency.lease(entry, leased.concurrency, until)
        return Slice(limits=leased, valid_s=self._valid_s)

    def change(self, limits: Limits) -> None:
        """Apply new limits; slices of the old ones expire within one validity."""
        self._limits = limits

    def forget_entry(self, entry: str) -> None:
        """Release the slice of a dead entry."""
        for dimension in (self._requests, self._tokens, self._concurrency):
            dimension.forget(entry)

    def in_use(self, now: float) -> Limits:
        """Return the usage that all entries together may have at most."""
        return Limits(
            requests_per_s=self._requests.in_use(now),
            tokens_per_s=self._tokens.in_use(now),
            concurrency=int(self._concurrency.in_use(now)),
        )

    def _expire(self, now: float) -> None:
        for dimension in (self._requests, self._tokens, self._concurrency):
            dimension.expire(now)


def fallback_limits(limits: Limits, entries: int) -> Limits:
    """Return an equal part of the limits, for an entry that cannot reach the home.

    Over all entries the parts add up to the limits, except for concurrency, of which
    each entry gets at least 1.

    :param entries: number of live entries in the local view.
    """
    count = max(entries, 1)
    concurrency = max(limits.concurrency // count, 1) if limits.concurrency else 0
    return Limits(
        requests_per_s=limits.requests_per_s / count,
        tokens_per_s=limits.tokens_per_s / count,
        concurrency=concurrency,
    )


def _offer(
    dimension: _Dimension, entry: str, demand: float, limit: float, now: float
) -> float:
    """Return the amount for an entry, 0 if there is no limit or nothing is free."""
    if not limit:
        return 0.0
    return max(dimension.offer(entry, demand, limit, now), 0.0)


def _is_unusable(leased: Limits, total: Limits) -> bool:
    """Return whether a slice has nothing of a limit that the organisation has."""
    return (
        (total.requests_per_s > 0 and leased.requests_per_s < _MIN_RATE)
        or (total.tokens_per_s > 0 and leased.tokens_per_s < _MIN_RATE)
        or (total.concurrency > 0 and leased.concurrency < 1)
    )
