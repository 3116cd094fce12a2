"""Rate limits that upstreams state, and which requests they leave room for."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

__all__ = ["RateLimit", "RateLimits"]

# An upstream that takes nothing is asked this often, as only its answers tell when it
# takes requests again.
_MIN_PER_S = 0.2
# Rate of permits at least, where a partition has left a small share.
_MIN_SHARED_PER_S = 0.001
# Requests that may follow each other at once, after a pause.
_BURST = 2
# Longest time after which a node that was refused is told to ask again.
_MAX_RETURN_S = 2.0


@dataclass(kw_only=True)
class RateLimit:
    """Limit of one upstream.

    :param per_s: requests a second that it takes from all nodes together.
    :param learned_at: when this node learned that there is a limit.
    :param issues_from: from when on this node issues the permits; infinity while
        another one does.
    :param drained_at: when the permits issued so far will have been earned, at the
        limit's rate.
    :param returns_at: when the last of the refused nodes was told to ask again.
    """

    per_s: float
    learned_at: float
    issues_from: float = math.inf
    drained_at: float = field(default=-math.inf)
    returns_at: float = field(default=-math.inf)


class RateLimits:
    """Limits of the upstreams of one pool, by the crc of their incarnation.

    The permits of an upstream are issued by one node, at the rate of its limit. Where
    the fleet is cut in two, there is one on each side, with its side's share.

    :ivar share: part of each limit that the nodes on this side of a partition use.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self._limits: dict[int, RateLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def __iter__(self) -> Iterator[int]:
        return iter(tuple(self._limits))

    def get(self, upstream: int) -> RateLimit | None:
        """Return the limit of an upstream; ``None`` if it has none."""
        return self._limits.get(upstream)

    def set(self, upstream: int, per_s: float, now: float) -> bool:
        """Record that an upstream has a limit; return whether it is another one."""
        per_s = max(per_s, _MIN_PER_S)
        limit = self._limits.get(upstream)
        if limit is None:
            self._limits[upstream] = RateLimit(per_s=per_s, learned_at=now)
            return True
        if math.isclose(limit.per_s, per_s, rel_tol=1e-6):
            return False
        limit.per_s = per_s
        self._bound_wait(limit, now)
        return True

    def set_share(self, share: float, now: float) -> None:
        """Set the part of each limit that the nodes on this side use."""
        self.share = share
        for limit in self._limits.values():
            self._bound_wait(limit, now)

    def end(self, upstream: int) -> bool:
        """Record that an upstream has no limit; return whether it had one."""
        return self._limits.pop(upstream, None) is not None

    def retain(self, upstreams: Iterable[int]) -> None:
        """Forget the limits of all upstreams but some."""
        if not self._limits:
            return
        kept = set(upstreams)
        self._limits = {crc: one for crc, one in self._limits.items() if crc in kept}

    def issue_from(self, upstream: int, since: float) -> None:
        """Have this node issue an upstream's permits from a time on, none at first.

        Does nothing if it does already. Another node may have issued some until then.
        """
        limit = self._limits[upstream]
        if limit.issues_from == math.inf:
            limit.issues_from = since
            limit.drained_at = since + _BURST * self._interval_s(limit)

    def stop_issuing(self, upstream: int) -> None:
        """Have another node issue an upstream's permits."""
        self._limits[upstream].issues_from = math.inf

    def opens_at(self, upstream: int, now: float) -> float:
        """Return when this node may issue the next permit; infinity for never.

        An upstream without a limit is open now.
        """
        limit = self._limits.get(upstream)
        if limit is None:
            return now
        earned_at = limit.drained_at - (_BURST - 1) * self._interval_s(limit)
        return max(earned_at, limit.issues_from, now)

    def take(self, upstream: int, at: float) -> bool:
        """Count a request that is sent to an upstream at some time from now on.

        :returns: whether it was counted: whether the upstream has a limit.
        """
        limit = self._limits.get(upstream)
        if limit is None:
            return False
        limit.drained_at = max(limit.drained_at, at) + self._interval_s(limit)
        return True

    def reserve(self, upstream: int, now: float, wait_s: float) -> float | None:
        """Issue a permit that is valid within some time; ``None`` if there is none.

        :returns: seconds from now on after which the request may be sent.
        """
        opens_at = self.opens_at(upstream, now)
        if opens_at > now + wait_s:
            return None
        self.take(upstream, opens_at)
        return opens_at - now

    def returns_in_s(self, upstream: int, now: float) -> float:
        """Return after how long a node that was refused may ask again.

        Each refused node gets a later time, at the limit's rate.
        """
        limit = self._limits.get(upstream)
        if limit is None:
            return 0.0
        latest = now + _MAX_RETURN_S
        first = min(self.opens_at(upstream, now), latest)
        returns_at = max(limit.returns_at, first) + self._interval_s(limit)
        limit.returns_at = min(returns_at, latest)
        return limit.returns_at - now

    def rate(self, upstreams: Iterable[int]) -> float:
        """Return what some limited upstreams take together from this side, a second."""
        return self.share * sum(self._limits[crc].per_s for crc in upstreams)

    def _bound_wait(self, limit: RateLimit, now: float) -> None:
        """Have permits wait no longer than their present rate requires.

        Those issued before may have been counted at a much lower one.
        """
        since = now if limit.issues_from == math.inf else max(limit.issues_from, now)
        latest = since + _BURST * self._interval_s(limit)
        limit.drained_at = min(limit.drained_at, latest)

    def _interval_s(self, limit: RateLimit) -> float:
        return 1.0 / max(limit.per_s * self.share, _MIN_SHARED_PER_S)
