"""Budget of retries: requests that are sent to a second upstream."""

from __future__ import annotations

__all__ = ["RetryBudget"]

# Share of the bound that is used; retries may be held up on their way to the upstreams
# and arrive together with later ones.
_SAFETY_FACTOR = 0.95
# Share of the fixed allowance that may be used at once; the rest comes back over a
# window.
_BURST_SHARE = 0.5
# Retries that may be used at once at least, as far as the fixed allowance has so many.
_MIN_BURST = 2.0


class RetryBudget:
    """One node's part of the retries that all nodes may make for a pool.

    A token bucket. Each request of a caller adds ``ratio`` tokens and time adds a part
    of the fixed allowance; the rest of that is the bucket's capacity. So in any window
    all nodes together send no more than ``ratio`` of the requests in that window and
    the fixed allowance, with no need to hear each other. A node that starts has an
    empty bucket, as an earlier process of it, or a node that has left, may have used
    what it held a moment ago.

    :param ratio: allowed retries per request of a caller.
    :param slack: further retries allowed per window, over all nodes.
    :param window_s: length of the sliding window.
    :param now: monotonic time of the start.
    :param nodes: number of nodes between which the fixed allowance is split.
    :param full: whether the bucket is full until the first retry, however many nodes
        there are by then, as no node has run before.
    :ivar set_aside: retries that were decided on and are not sent yet.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        now: float,
        nodes: int = 1,
        full: bool = False,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._nodes = max(nodes, 1)
        self._updated_at = now
        self.set_aside = 0
        self._full = full
        self._level = 0.0

    @property
    def capacity(self) -> float:
        """Retries that this node may make at once."""
        share = self._share
        return max(_BURST_SHARE * share, min(_MIN_BURST, share))

    @property
    def _share(self) -> float:
        """Return this node's part of the fixed allowance."""
        return _SAFETY_FACTOR * self._slack / self._nodes

    def reload(
        self, *, ratio: float, slack: float, window_s: float, now: float
    ) -> None:
        """Replace the bounds; the retries of the current window count on."""
        self._update(now)
        self._ratio, self._slack, self._window_s = ratio, slack, window_s
        self._update(now)

    def set_nodes(self, nodes: int, now: float) -> None:
        """Set the number of nodes between which the fixed allowance is split."""
        self._update(now)
        self._nodes = max(nodes, 1)
        self._update(now)

    def count_request(self, now: float) -> None:
        """Count the first attempt of a caller's request."""
        self._update(now)
        self._level += _SAFETY_FACTOR * self._ratio

    def try_take(self, now: float) -> bool:
        """Set one retry aside, if one is left.

        It counts as unused until it is sent, however late that is.

        :returns: whether the retry is allowed.
        """
        if self.remaining(now) < 1:
            return False
        self._full = False
        self._level -= 1
        self.set_aside += 1
        return True

    def spend(self) -> None:
        """Count a retry that was set aside as sent."""
        self.set_aside -= 1

    def give_back(self) -> None:
        """Give back a retry that was set aside and not sent."""
        self.set_aside -= 1
        self._level += 1

    def remaining(self, now: float) -> float:
        """Return the retries that are left now."""
        self._update(now)
        return self._level

    def _update(self, now: float) -> None:
        """Add what time has brought, and drop what exceeds the capacity."""
        capacity = self.capacity
        gained = (self._share - capacity) * (now - self._updated_at) / self._window_s
        most = max(capacity - self.set_aside, 0.0)
        self._level = most if self._full else min(self._level + gained, most)
        self._updated_at = now
