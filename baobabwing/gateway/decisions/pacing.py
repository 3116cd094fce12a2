"""How a limit that more is asked of than it allows is dealt out over time and nodes."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from baobabwing.gateway.decisions.bucket import Bucket

__all__ = ["Words", "needed", "passes"]

# Between two words of a peer, until it is known how large the fleet is.
_PACE_S = 0.25
# A count that comes after a silence of more words than this is a new baseline for
# the bucket: what it admitted meanwhile came out of its own side's share. Reckoned in
# words, which come less often in larger fleets.
_SILENT_WORDS = 3
_LEAST_STALE_S = 1.0
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
# lost to the organisation.
_LEVEL_S = 2.0
_LEVEL_WORDS = 6
_LEAST_LEVEL_S = 0.5
# A confirmation is recent if the words that it confirms were sent at most so many words
# ago.
_FRESH_WORDS = 1.25
_FRESH_S = 0.05


@dataclass(frozen=True, kw_only=True)
class Words:
    """How often a node hears of the others, and what follows from that.

    :param pace_s: time between two words of a peer.
    """

    pace_s: float = _PACE_S

    @property
    def stale_s(self) -> float:
        """Silence after which a peer's next count is a new baseline."""
        return max(_SILENT_WORDS * self.pace_s, _LEAST_STALE_S)

    @property
    def age_s(self) -> float:
        """Age of counts when they come."""
        return _AGE_WORDS * self.pace_s + _WAY_S

    @property
    def fresh_s(self) -> float:
        """Age of a confirmation up to which it is recent."""
        return _FRESH_WORDS * self.pace_s + _FRESH_S


def passes(
    bucket: Bucket,
    units: float,
    rank: int,
    now: float,
    *,
    share: float,
    words: Words,
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
    if bucket.level < needed(bucket, units, share):
        return False
    rate = bucket.spec.rate_per_s * share
    room = bucket.level - bucket.demand.unheard(now, words.age_s)
    room -= _HELD_SHARE * bucket.spec.burst * share
    beyond = max(bucket.demand.total_per_s(now) - rate, 0.0)
    if room >= beyond * _KNOWN_WORDS * words.pace_s:
        return True
    if room >= 0:
        level_s = max(_LEAST_LEVEL_S, _KNOWN_WORDS * words.pace_s)
    else:
        level_s = max(_LEVEL_S, _LEVEL_WORDS * words.pace_s)
    allowed = rate + room / level_s
    return rng.random() < bucket.demand.part(rank, allowed, now)


def needed(bucket: Bucket, units: float, share: float) -> float:
    """Return what a bucket has to hold for a request to pass."""
    return min(units, _LARGE_SHARE * bucket.spec.burst * share)
