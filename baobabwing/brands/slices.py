"""Slices of an organisation's limits, leased to entries by demand.

The home of an organisation hands out slices that are valid for a short time.
The slices that may be in use never add up to more than the limits: an entry
that is leased less keeps counting with what it had until that has run out,
since the answer that told it so may be lost.

An entry counts the validity from when it sent its query, the home from when
it answered, which is later; so no clocks are compared and a slice has run out
at its entry before the home leases it again.

Overshoot: one home never leases more than the limits. A new home does not know
what the one before it leased, and two nodes may both think they are the home.
Each of them adds at most the limits once, and a home that is gone stops adding
after one validity. With h homes within a validity, use is at most h times the
limits; h is 2 for a plain change of home, for at most one validity.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, floor

from baobabwing.brands.catalogue import Limits

__all__ = ["Demand", "Slice", "SliceHome", "fallback_limits"]

SLICE_VALID_S = 2.0
_RESERVED_SHARE = 0.05
_MIN_DEMAND_SHARE = 0.02
_MIN_RATE = 1e-3
_CLAIM_VALIDITIES = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What an entry saw of an organisation lately, refused requests included."""

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    open: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Slice:
    """A part of an organisation's limits for one entry.

    :param limits: the part; 0 stands for no bound, as in the whole.
    :param valid_s: how long it may be used, from when the query was sent.
        0 if nothing is to be had now; then ``limits`` must not be used, and
        the entry admits nothing and asks again.
    """

    limits: Limits
    valid_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Lease:
    amount: float
    until: float


class _Dimension:
    """The leases of one limit, such as requests a second.

    :param integral: whether it is leased in whole numbers only.
    :param demand_valid_s: how long an entry that is not heard of again keeps
        its claim to a share.
    """

    def __init__(self, *, integral: bool, demand_valid_s: float) -> None:
        self._integral = integral
        self._demand_valid_s = demand_valid_s
        self._leases: dict[str, list[_Lease]] = {}
        self._demands: dict[str, _Lease] = {}
        self._lease_ends: dict[str, float] = {}

    def in_use(self, now: float) -> float:
        """Return the most that all entries together may be using."""
        return sum(self._leased_amount(entry, now) for entry in self._leases)

    def offer(self, entry: str, demand: float, limit: float, now: float) -> float:
        """Return what the entry may get: by demand, within what is free."""
        self._demands[entry] = _Lease(amount=demand, until=now + self._demand_valid_s)
        free = limit - self.in_use(now) + self._leased_amount(entry, now)
        wanted = self._demand_share(entry) * limit * (1.0 - _RESERVED_SHARE)
        if not self._integral:
            return min(wanted, free)
        # Rounded up for all, one entry could renew the last unit for ever
        # while another one that asks for it has none.
        wanted = floor(wanted) if self._must_yield(entry, now) else ceil(wanted)
        return min(wanted, floor(free))

    def lease(self, entry: str, amount: float, until: float) -> None:
        """Note a lease; larger ones that may still be in use stay counted."""
        kept = [one for one in self._leases.get(entry, []) if one.amount > amount]
        self._leases[entry] = [*kept, _Lease(amount=amount, until=until)]
        self._lease_ends[entry] = until

    def forget(self, entry: str) -> None:
        """Drop an entry that is known to be dead."""
        self._leases.pop(entry, None)
        self._demands.pop(entry, None)
        self._lease_ends.pop(entry, None)

    def expire(self, now: float) -> None:
        """Drop leases and claims that have run out."""
        for entry in list(self._leases):
            if not self._leased_amount(entry, now):
                del self._leases[entry]
        for entry, claim in list(self._demands.items()):
            if claim.until <= now:
                del self._demands[entry]
                self._lease_ends.pop(entry, None)

    def _must_yield(self, entry: str, now: float) -> bool:
        own = self._lease_ends.get(entry, 0.0)
        return any(
            claim.amount > 0
            and not self._leased_amount(other, now)
            and self._lease_ends.get(other, 0.0) < own
            for other, claim in self._demands.items()
        )

    def _leased_amount(self, entry: str, now: float) -> float:
        live = [one for one in self._leases.get(entry, []) if one.until > now]
        if entry in self._leases:
            self._leases[entry] = live
        return max((one.amount for one in live), default=0.0)

    def _demand_share(self, entry: str) -> float:
        # An entry without demand keeps a small share, so that its first
        # request need not wait for a lease.
        amounts = [claim.amount for claim in self._demands.values()]
        least = max(_MIN_DEMAND_SHARE * max(amounts), _MIN_RATE)
        total = sum(max(amount, least) for amount in amounts)
        return max(self._demands[entry].amount, least) / total


class SliceHome:
    """Leases slices of one organisation's limits.

    Not thread safe: the owner holds its lock.

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
        """Return a slice for an entry, ``name#incarnation``."""
        self._expire(now)
        whole = self._limits
        part = Limits(
            requests_per_s=_offer(
                self._requests, entry, demand.requests_per_s, whole.requests_per_s, now
            ),
            tokens_per_s=_offer(
                self._tokens, entry, demand.tokens_per_s, whole.tokens_per_s, now
            ),
            concurrency=int(
                _offer(self._concurrency, entry, demand.open, whole.concurrency, now)
            ),
        )
        if _is_unusable(part, whole):
            return Slice(limits=part, valid_s=0.0)
        until = now + self._valid_s
        self._requests.lease(entry, part.requests_per_s, until)
        self._tokens.lease(entry, part.tokens_per_s, until)
        self._concurrency.lease(entry, part.concurrency, until)
        return Slice(limits=part, valid_s=self._valid_s)

    def change(self, limits: Limits) -> None:
        """Take new limits; slices of the old ones run out within a validity."""
        self._limits = limits

    def forget_entry(self, entry: str) -> None:
        """Free the slice of an entry that is known to be dead."""
        for dimension in (self._requests, self._tokens, self._concurrency):
            dimension.forget(entry)

    def in_use(self, now: float) -> Limits:
        """Return the most that all entries together may be using."""
        return Limits(
            requests_per_s=self._requests.in_use(now),
            tokens_per_s=self._tokens.in_use(now),
            concurrency=int(self._concurrency.in_use(now)),
        )

    def _expire(self, now: float) -> None:
        for dimension in (self._requests, self._tokens, self._concurrency):
            dimension.expire(now)


def fallback_limits(limits: Limits, entries: int) -> Limits:
    """Return an equal part for an entry whose home cannot be reached.

    Over all entries it adds up to the limits, but for concurrency, of which
    each gets at least one.

    :param entries: live entries as this one sees them.
    """
    parts = max(entries, 1)
    concurrency = max(limits.concurrency // parts, 1) if limits.concurrency else 0
    return Limits(
        requests_per_s=limits.requests_per_s / parts,
        tokens_per_s=limits.tokens_per_s / parts,
        concurrency=concurrency,
    )


def _offer(
    dimension: _Dimension, entry: str, demand: float, limit: float, now: float
) -> float:
    if not limit:
        return 0.0
    return max(dimension.offer(entry, demand, limit, now), 0.0)


def _is_unusable(part: Limits, whole: Limits) -> bool:
    return (
        (whole.requests_per_s > 0 and part.requests_per_s < _MIN_RATE)
        or (whole.tokens_per_s > 0 and part.tokens_per_s < _MIN_RATE)
        or (whole.concurrency > 0 and part.concurrency < 1)
    )
