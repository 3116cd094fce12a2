"""How much is asked for of one limit, over all nodes and by urgency."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Demand"]

# Own requests are added up for this long to a sample; as long as between two words of
# the other nodes.
_SLOT_S = 0.25
# Weight of a new sample of a rate: after three of them seven eighths of it are known.
_RATE_ALPHA = 0.5
# The same of what is admitted, which is even where it matters: where an organisation is
# over its limit it is the limit's rate. Followed faster, a bucket is taken for emptier
# after each large request, and part of a limit is lost.
_ADMITTED_ALPHA = 0.25
# Weight of a new sample of the mix of ranks, of which one node sees a part: some ten
# samples, 2.5 s.
_MIX_ALPHA = 0.1
# Two words that come at almost the same time say nothing of a rate.
_LEAST_HEARD_S = 0.05
# Longest time that callers are told to stay away: bursts and organisations far over
# their limit last 3 to 10 s, and callers keep to a third of their time at the most.
_MOST_BEHIND_S = 4.0


@dataclass(kw_only=True)
class _PeerRate:
    """What a peer is asked for and admits.

    :param fresh_s: time after its last word in which it is counted.
    :param counted: whether it is one of those that are added up.
    """

    asked_per_s: float = 0.0
    admitted_per_s: float = 0.0
    heard_at: float = 0.0
    fresh_s: float = 0.0
    counted: bool = True


@dataclass(kw_only=True)
class Demand:
    """Units a second that are asked for, and those that others admit.

    :param since: when this node began to count.
    """

    since: float
    _slot: dict[int, float] = field(default_factory=dict)
    _own_per_s: float = 0.0
    _mix: dict[int, float] = field(default_factory=dict)
    _peers: dict[str, _PeerRate] = field(default_factory=dict)
    _behind_s: float = 0.0
    _followed_at: float = 0.0

    def ask(self, units: float, rank: int, now: float) -> None:
        """Count a request of this node; less than nothing for one that did not run."""
        self._end_slot(now)
        self._slot[rank] = self._slot.get(rank, 0.0) + units

    def hear(
        self,
        peer: str,
        *,
        asked: float,
        admitted: float,
        seconds: float,
        stale_s: float,
        now: float,
        counted: bool = True,
    ) -> None:
        """Take what a peer was asked for, and admitted, in a time.

        :param stale_s: silence after which the peer is not counted any more.
        :param counted: whether to add it up. One that tells the same sums as another
            is followed without, so that its rates are known when it takes over.
        """
        seconds = max(seconds, _LEAST_HEARD_S)
        rate = self._peers.setdefault(peer, _PeerRate())
        rate.asked_per_s += _RATE_ALPHA * (asked / seconds - rate.asked_per_s)
        rate.admitted_per_s += _ADMITTED_ALPHA * (
            admitted / seconds - rate.admitted_per_s
        )
        rate.heard_at, rate.fresh_s, rate.counted = now, stale_s, counted

    def forget(self, peer: str) -> None:
        """Count a peer no more."""
        self._peers.pop(peer, None)

    def total_per_s(self, now: float) -> float:
        """Return the units a second that all nodes are asked for; 0 if not known."""
        self._end_slot(now)
        total = self._own_per_s + sum(one.asked_per_s for one in self._fresh(now))
        return max(total, 0.0)

    def unheard(self, now: float, age_s: float) -> float:
        """Return the units that peers have probably admitted since their last words.

        :param age_s: age of their counts when they came.
        """
        return sum(
            max(one.admitted_per_s, 0.0) * (now - one.heard_at + age_s)
            for one in self._fresh(now)
        )

    def part(self, rank: int, allowed_per_s: float, now: float) -> float:
        """Return the part of the requests of a rank that a rate has room for.

        The more urgent ranks get theirs first, by the mix that this node sees.
        """
        total = self.total_per_s(now)
        if total <= 0:
            return 1.0
        whole = sum(self._mix.values())
        before = sum(part for one, part in self._mix.items() if one < rank)
        own = self._mix.get(rank, 0.0)
        if whole <= 0 or own <= 0:
            return allowed_per_s / total
        return (allowed_per_s / total * whole - before) / own

    def behind_s(self, rate_per_s: float, now: float) -> float:
        """Return how long the limit would take for what was asked for beyond it.

        Callers that come back sooner meet those that were refused before them, and
        are refused again.

        :param rate_per_s: the limit's rate.
        """
        passed = now - self._followed_at if self._followed_at else 0.0
        self._followed_at = now
        grown = self._behind_s + passed * (self.total_per_s(now) / rate_per_s - 1)
        self._behind_s = min(max(grown, 0.0), _MOST_BEHIND_S)
        return self._behind_s

    def _fresh(self, now: float) -> list[_PeerRate]:
        return [
            one
            for one in self._peers.values()
            if one.counted and now - one.heard_at <= one.fresh_s
        ]

    def _end_slot(self, now: float) -> None:
        passed = now - self.since
        if passed < _SLOT_S:
            return
        sample = sum(self._slot.values()) / passed
        # A pause of many slots leaves nothing of what was before.
        kept = (1 - _RATE_ALPHA) ** min(passed / _SLOT_S, 64)
        self._own_per_s = kept * self._own_per_s + (1 - kept) * sample
        for rank in self._mix.keys() | self._slot.keys():
            before = self._mix.get(rank, 0.0)
            asked = max(self._slot.get(rank, 0.0), 0.0)
            self._mix[rank] = before + _MIX_ALPHA * (asked - before)
        self._slot.clear()
        self.since = now
