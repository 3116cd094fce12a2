"""How much is asked for of one limit, over all nodes and by urgency."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Demand"]

# Own requests are added up for this long to a sample; as long as between two words of
# the other nodes.
_SAMPLE_S = 0.25
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
_MIN_INTERVAL_S = 0.05
# Longest time that callers are told to stay away: bursts and organisations far over
# their limit last 3 to 10 s, and callers keep to a third of their time at the most.
_MAX_BACKLOG_S = 4.0


@dataclass(kw_only=True)
class _PeerRate:
    """What a peer is asked for and admits.

    :param stale_s: time after its last word in which it is included.
    :param included: whether it is one of those that are added up.
    """

    requested_per_s: float = 0.0
    admitted_per_s: float = 0.0
    received_at: float = 0.0
    stale_s: float = 0.0
    included: bool = True


@dataclass(kw_only=True)
class Demand:
    """Units a second that are asked for, and those that others admit.

    :param sample_began: when this node began to count.
    """

    sample_began: float
    _sample: dict[int, float] = field(default_factory=dict)
    _own_per_s: float = 0.0
    _rank_mix: dict[int, float] = field(default_factory=dict)
    _peers: dict[str, _PeerRate] = field(default_factory=dict)
    _backlog_s: float = 0.0
    _backlog_at: float = 0.0

    def add(self, units: float, rank: int, now: float) -> None:
        """Count a request of this node; less than nothing for one that did not run."""
        self._end_sample(now)
        self._sample[rank] = self._sample.get(rank, 0.0) + units

    def record_peer(
        self,
        peer: str,
        *,
        requested: float,
        admitted: float,
        interval_s: float,
        stale_s: float,
        now: float,
        included: bool = True,
    ) -> None:
        """Take what a peer was asked for, and admitted, in a time.

        :param stale_s: silence after which the peer is not included any more.
        :param included: whether to add it up. One that tells the same sums as another
            is followed without, so that its rates are known when it takes over.
        """
        interval_s = max(interval_s, _MIN_INTERVAL_S)
        rate = self._peers.setdefault(peer, _PeerRate())
        rate.requested_per_s += _RATE_ALPHA * (
            requested / interval_s - rate.requested_per_s
        )
        rate.admitted_per_s += _ADMITTED_ALPHA * (
            admitted / interval_s - rate.admitted_per_s
        )
        rate.received_at, rate.stale_s, rate.included = now, stale_s, included

    def forget_peer(self, peer: str) -> None:
        """Count a peer no more."""
        self._peers.pop(peer, None)

    def total_per_s(self, now: float) -> float:
        """Return the units a second that all nodes are asked for; 0 if not known."""
        self._end_sample(now)
        total = self._own_per_s + sum(
            peer.requested_per_s for peer in self._included_peers(now)
        )
        return max(total, 0.0)

    def unreported(self, now: float, age_s: float) -> float:
        """Return the units that peers have probably admitted since their last words.

        :param age_s: age of their counts when they came.
        """
        return sum(
            max(peer.admitted_per_s, 0.0) * (now - peer.received_at + age_s)
            for peer in self._included_peers(now)
        )

    def admitted_fraction(self, rank: int, allowed_per_s: float, now: float) -> float:
        """Return the part of the requests of a rank that a rate has room for.

        The more urgent ranks get theirs first, by the mix that this node sees.
        """
        total = self.total_per_s(now)
        if total <= 0:
            return 1.0
        mix_total = sum(self._rank_mix.values())
        more_urgent = sum(
            units for other, units in self._rank_mix.items() if other < rank
        )
        of_rank = self._rank_mix.get(rank, 0.0)
        if mix_total <= 0 or of_rank <= 0:
            return allowed_per_s / total
        return (allowed_per_s / total * mix_total - more_urgent) / of_rank

    def backlog_s(self, rate_per_s: float, now: float) -> float:
        """Return how long the limit would take for what was asked for beyond it.

        Callers that come back sooner meet those that were refused before them, and
        are refused again.

        :param rate_per_s: the limit's rate.
        """
        elapsed_s = now - self._backlog_at if self._backlog_at else 0.0
        self._backlog_at = now
        unclamped_s = self._backlog_s + elapsed_s * (
            self.total_per_s(now) / rate_per_s - 1
        )
        self._backlog_s = min(max(unclamped_s, 0.0), _MAX_BACKLOG_S)
        return self._backlog_s

    def _included_peers(self, now: float) -> list[_PeerRate]:
        return [
            peer
            for peer in self._peers.values()
            if peer.included and now - peer.received_at <= peer.stale_s
        ]

    def _end_sample(self, now: float) -> None:
        elapsed_s = now - self.sample_began
        if elapsed_s < _SAMPLE_S:
            return
        sample = sum(self._sample.values()) / elapsed_s
        # A pause of many slots leaves nothing of what was before.
        retained = (1 - _RATE_ALPHA) ** min(elapsed_s / _SAMPLE_S, 64)
        self._own_per_s = retained * self._own_per_s + (1 - retained) * sample
        for rank in self._rank_mix.keys() | self._sample.keys():
            previous = self._rank_mix.get(rank, 0.0)
            requested = max(self._sample.get(rank, 0.0), 0.0)
            self._rank_mix[rank] = previous + _MIX_ALPHA * (requested - previous)
        self._sample.clear()
        self.sample_began = now
