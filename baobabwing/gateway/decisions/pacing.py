"""How a limit that more is asked of than it allows is dealt out over time and nodes."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from baobabwing.gateway.decisions.bucket import Bucket

__all__ = ["ReportTiming", "admits", "required_level"]

# Between two words of a peer, until it is known how large the fleet is.
_INTERVAL_S = 0.25
# A count that comes after a silence of more words than this is a new baseline for
# the bucket: what it admitted meanwhile came out of its own side's share. Reckoned in
# words, which come less often in larger fleets.
_STALE_INTERVALS = 3
_MIN_STALE_S = 1.0
# Age of the counts in a sum when it arrives: half of the time between two words, and
# the way.
_AGE_INTERVALS = 0.5
_TRANSIT_S = 0.025
# A bucket that is dealt out is held at this part of its burst: deep enough for a large
# request, and so that late counts do not overdraw it.
_TARGET_SHARE = 0.4
# Until all know what all have admitted: half of the time between two words until it is
# told, as long again until it is heard, and once more for a word that is lost.
_PROPAGATION_INTERVALS = 2
# A request that takes more than this part of a bucket passes like one that does.
_LARGE_SHARE = 0.25
# A bucket that is dealt out comes back to its held part within this time, and within so
# many words of others: a correction must not be faster than what shows whether it has
# been enough. Down to that part it comes back faster, since what runs over its brim is
# lost to the organisation.
_CORRECTION_S = 2.0
_CORRECTION_INTERVALS = 6
_MIN_CORRECTION_S = 0.5
# A confirmation is recent if the words that it confirms were sent at most so many words
# ago.
_FRESH_INTERVALS = 1.25
_FRESH_S = 0.05


@dataclass(frozen=True, kw_only=True)
class ReportTiming:
    """How often a node hears of the others, and what follows from that.

    :param interval_s: time between two words of a peer.
    """

    interval_s: float = _INTERVAL_S

    @property
    def stale_s(self) -> float:
        """Silence after which a peer's next count is a new baseline."""
        return max(_STALE_INTERVALS * self.interval_s, _MIN_STALE_S)

    @property
    def age_s(self) -> float:
        """Age of counts when they come."""
        return _AGE_INTERVALS * self.interval_s + _TRANSIT_S

    @property
    def fresh_s(self) -> float:
        """Age of a confirmation up to which it is recent."""
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

    Where more is asked for than the limit allows, all nodes would use the same rest of
    the bucket before they hear of each other, and then refuse all until it is paid
    back; and since the rest is small then, large requests would be refused while small,
    less urgent ones pass. So a bucket that is not nearly full is dealt out: each node
    lets a part of its requests pass, the more urgent ones first, as large as the limit
    is against what all nodes are asked for.

    :param rank: urgency; 0 goes first.
    :param share: of the limit, for the nodes on this side.
    :param rng: draws which requests pass.
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
    """Return what a bucket has to hold for a request to pass."""
    return min(units, _LARGE_SHARE * bucket.spec.burst * share)
