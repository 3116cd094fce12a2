"""Pacing of an organisation that is over its limit, over time, nodes and ranks."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from baobabwing.gateway.decisions.bucket import Bucket

__all__ = ["ReportTiming", "admits", "required_level"]

# Interval between two reports of a peer, until the size of the fleet is known.
_INTERVAL_S = 0.25
# A count that arrives after more report intervals than this is a new baseline for the
# bucket: what the peer admitted meanwhile came out of its own partition's share. The
# timeout is a number of intervals, since these are longer in larger fleets.
_STALE_INTERVALS = 3
_MIN_STALE_S = 1.0
# Age of the counts in a total when it arrives: half of a report interval, and the time
# in transit.
_AGE_INTERVALS = 0.5
_TRANSIT_S = 0.025
# Under overload a bucket is kept at this part of its burst: enough for a large request,
# and enough that late counts do not overdraw it.
_TARGET_SHARE = 0.4
# Report intervals until all nodes know what the others have admitted: half of one until
# it is reported, half until the total is received, and one for a lost report.
_PROPAGATION_INTERVALS = 2
# A request passes if the bucket holds this part of its burst, even if it costs more.
_LARGE_SHARE = 0.25
# A bucket below its target level returns to it within this time, or this many report
# intervals if that is longer: a correction must not be faster than the reports that
# show whether it was enough. A bucket above the target returns faster, since what
# overflows its burst is lost to the organisation.
_CORRECTION_S = 2.0
_CORRECTION_INTERVALS = 6
_MIN_CORRECTION_S = 0.5
# An acknowledgement is recent if the report that it confirms was sent at most this many
# report intervals and seconds ago.
_FRESH_INTERVALS = 1.25
_FRESH_S = 0.05


@dataclass(frozen=True, kw_only=True)
class ReportTiming:
    """Interval between reports of other nodes, and the ages derived from it.

    :param interval_s: time between two reports of a peer.
    """

    interval_s: float = _INTERVAL_S

    @property
    def stale_s(self) -> float:
        """Time without a report after which a peer's next count is a new baseline."""
        return max(_STALE_INTERVALS * self.interval_s, _MIN_STALE_S)

    @property
    def age_s(self) -> float:
        """Age of counts when they arrive."""
        return _AGE_INTERVALS * self.interval_s + _TRANSIT_S

    @property
    def fresh_s(self) -> float:
        """Age of an acknowledged report up to which the acknowledgement is recent."""
        return _FRESH_INTERVALS * self.interval_s + _FRESH_S


def admits(
    bucket: Bucket,
    units: float,
    rank: int,
    now: float,
    *,
    share: float,
    timing: ReportTiming,
    rng: Random,
) -> bool:
    """Whether the pace of a limit lets a request pass.

    Where more is requested than the limit allows, all nodes would use the same units of
    the bucket before they receive each other's reports, and then refuse everything
    until the overdraft is paid back. Since few units are left then, large requests
    would be refused while small, less urgent ones pass. So while a bucket is not nearly
    full, each node lets only a fraction of its requests pass, the more urgent ones
    first. The fraction is the limit's rate divided by the rate requested at all nodes.

    :param rank: urgency; 0 goes first.
    :param share: part of the limit that belongs to the reachable nodes.
    :param rng: picks which requests pass.
    """
    if bucket.level < required_level(bucket, units, share):
        return False
    rate = bucket.spec.rate_per_s * share
    surplus = bucket.level - bucket.demand.unreported(now, timing.age_s)
    surplus -= _TARGET_SHARE * bucket.spec.burst * share
    overload_per_s = max(bucket.demand.total_per_s(now) - rate, 0.0)
    if surplus >= overload_per_s * _PROPAGATION_INTERVALS * timing.interval_s:
        return True
    if surplus >= 0:
        correction_s = max(
            _MIN_CORRECTION_S, _PROPAGATION_INTERVALS * timing.interval_s
        )
    else:
        correction_s = max(_CORRECTION_S, _CORRECTION_INTERVALS * timing.interval_s)
    allowed_per_s = rate + surplus / correction_s
    return rng.random() < bucket.demand.admitted_fraction(rank, allowed_per_s, now)


def required_level(bucket: Bucket, units: float, share: float) -> float:
    """Return the level that a bucket needs for a request to pass."""
    return min(units, _LARGE_SHARE * bucket.spec.burst * share)
