"""Units in a sliding window, added up in bins of equal length."""

from __future__ import annotations

from collections import deque

__all__ = ["SlidingSum"]

_BINS = 32


class SlidingSum:
    """Sum of the units that were added within the last seconds.

    A bin counts until all of it has left the window, so that the sum is never less than
    what a window of that length holds.

    :param window_s: length of the window.

    Notes
    -----
    Each call takes amortised constant time: the number of bins is bounded.

    Examples
    --------
    >>> used = SlidingSum(window_s=8.0)
    >>> used.add(5.0, now=0.0)
    >>> used.total(now=7.0), used.total(now=9.0)
    (5.0, 0.0)

    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._bin_s = window_s / _BINS
        self._bins: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, units: float, now: float) -> None:
        """Add units to the current bin."""
        index = now // self._bin_s
        if not self._bins or self._bins[-1][0] < index:
            self._bins.append([index, 0.0])
        self._bins[-1][1] += units
        self._total += units

    def subtract(self, units: float, added_at: float) -> None:
        """Remove units that were added at a time, if they still count."""
        index = added_at // self._bin_s
        for entry in reversed(self._bins):
            if entry[0] <= index:
                removed = min(units, entry[1]) if entry[0] == index else 0.0
                entry[1] -= removed
                self._total -= removed
                return

    def total(self, now: float) -> float:
        """Return the units in the window that ends now."""
        while self._bins and (self._bins[0][0] + 1) * self._bin_s <= (
            now - self._window_s
        ):
            self._total -= self._bins.popleft()[1]
        return self._total if self._bins else 0.0
