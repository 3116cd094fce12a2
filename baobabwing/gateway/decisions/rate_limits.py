"""Rate limits that upstreams state, and the requests that they leave room for."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["RateLimit", "RateLimits"]

# An upstream that takes nothing is asked this often, as only its answers tell when it
# takes requests again.
_MIN_PER_S = 0.2


@dataclass(kw_only=True)
class RateLimit:
    """Limit of one upstream.

    :param per_s: requests a second that it takes from all nodes together.
    :param learned_at: when this node learned that there is a limit.
    """

    per_s: float
    learned_at: float


class RateLimits:
    """Limits of the upstreams of one pool, by the crc of their incarnation."""

    def __init__(self) -> None:
        self._limits: dict[int, RateLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

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
        changed = not math.isclose(limit.per_s, per_s)
        limit.per_s = per_s
        return changed

    def end(self, upstream: int) -> bool:
        """Record that an upstream has no limit; return whether it had one."""
        return self._limits.pop(upstream, None) is not None

    def retain(self, upstreams: Iterable[int]) -> None:
        """Forget the limits of all upstreams but some."""
        kept = set(upstreams)
        self._limits = {crc: one for crc, one in self._limits.items() if crc in kept}
