"""Rates at which units of one limit are requested, over all nodes and by rank."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Demand"]

# Length of a sample of this node's requests; the same as the interval between two
# reports of the other nodes.
_SAMPLE_S = 0.25
# Weight of a new sample of a rate: three samples make up seven eighths of it.
_RATE_ALPHA = 0.5
# The same for the rate of admitted units, which is steady where it matters: it is the
# limit's rate where an organisation is over its limit. With a larger weight, a bucket
# seems emptier than it is after each large request, and part of the limit is lost.
_ADMITTED_ALPHA = 0.25
# Weight of a new sample of the mix of ranks. It averages some ten samples, 2.5 s, since
# one node sees only a part of the requests.
_MIX_ALPHA = 0.1
# Shortest interval between two reports that a rate is computed with: two that arrive at
# almost the same time would give a rate far too high.
_MIN_INTERVAL_S = 0.05
# Longest time that callers are told to wait before they retry: bursts, and overload by
# an organisation, last 3 to 10 s, and callers wait at most a third of their time limit.
_MAX_BACKLOG_S = 4.0


@dataclass(kw_only=True)
class _PeerRate:
    """Rates at which units are requested at a peer and admitted by it.

    :param stale_s: age of its last report up to which it counts.
    :param included: whether its rates are part of the totals.
    """

    requested_per_s: float = 0.0
    admitted_per_s: float = 0.0
    received_at: float = 0.0
    stale_s: float = 0.0
    included: bool = True


@dataclass(kw_only=True)
class Demand:
    """Units a second that are requested at all nodes, and that other nodes admit.

    :param sample_began: start of the current sample of this node's requests.
    """

    sample_began: float
    _sample: dict[int, float] = field(default_factory=dict)
    _own_per_s: float = 0.0
    _rank_mix: dict[int, float] = field(default_factory=dict)
    _peers: dict[str, _PeerRate] = field(default_factory=dict)
    _backlog_s: float = 0.0
    _backlog_at: float = 0.0

    def add(self, units: float, rank: int, now: float) -> None:
        """Count a request of this node.

        :param units: negative for a request that did not run.
        """
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
        """Record what was requested at a peer, and admitted by it, between two reports.

        :param interval_s: time between the two reports.
        :param stale_s: age of the last report after which the peer does not count.
        :param included: whether its rates are part of the totals. A peer that reports
            the same totals as another one is left out; its rates are recorded all the
            same, so that they are known when it takes over.
        """
        interval_s = max(interval_s, _MIN_INTERVAL_S)
        samples = min(interval_s / _SAMPLE_S, 1.0)
        rate = self._peers.setdefault(peer, _PeerRate())
        rate.requested_per_s += _weight(_RATE_ALPHA, samples) * (
            requested / interval_s - rate.requested_per_s
        )
        rate.admitted_per_s += _weight(_ADMITTED_ALPHA, samples) * (
            admitted / interval_s - rate.admitted_per_s
        )
        rate.received_at, rate.stale_s, rate.included = now, stale_s, included

    def forget_peer(self, peer: str) -> None:
        """Drop the rates of a peer."""
        self._peers.pop(peer, None)

    def total_per_s(self, now: float) -> float:
        """Return the units a second requested at all nodes; 0 if not known."""
        self._end_sample(now)
        total = self._own_per_s + sum(
            peer.requested_per_s for peer in self._included_peers(now)
        )
        return max(total, 0.0)

    def unreported(self, now: float, age_s: float) -> float:
        """Return the units that peers have probably admitted since their last reports.

        :param age_s: age of their counts on arrival.
        """
        return sum(
            max(peer.admitted_per_s, 0.0) * (now - peer.received_at + age_s)
            for peer in self._included_peers(now)
        )

    def admitted_fraction(self, rank: int, allowed_per_s: float, now: float) -> float:
        """Return the fraction of a rank's requests that a rate has room for.

        More urgent ranks get their units first, by the mix of ranks that this node
        sees. The result may be below 0 or above 1.
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
        """Return how long the limit takes for what was requested beyond it.

        Callers that retry sooner compete with those that were refused before them, and
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
        # After a pause of many sample lengths, nothing of the old rate is left.
        retained = (1 - _RATE_ALPHA) ** min(elapsed_s / _SAMPLE_S, 64)
        self._own_per_s = retained * self._own_per_s + (1 - retained) * sample
        for rank in self._rank_mix.keys() | self._sample.keys():
            previous = self._rank_mix.get(rank, 0.0)
            requested = max(self._sample.get(rank, 0.0), 0.0)
            self._rank_mix[rank] = previous + _MIX_ALPHA * (requested - previous)
        self._sample.clear()
        self.sample_began = now


def _weight(alpha: float, samples: float) -> float:
    """Return the weight of a part of a sample.

    The units of several reports of peers may arrive together in one short interval.

    :param alpha: weight of a whole sample.
    :param samples: length of the part, in samples.
    """
    return 1.0 - (1.0 - alpha) ** samples
