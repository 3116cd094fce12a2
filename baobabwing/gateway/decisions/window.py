"""Units in a sliding window, added up in slots."""

from __future__ import annotations

from collections import deque

__all__ = ["SlidingSum"]

_SLOTS = 32


class SlidingSum:
    """Adds up what was counted within the last seconds.

    A slot counts until all of it has left the window, so that the sum is never less
    than what a window of that length holds.

    :param window_s: length of the window.

    Notes
    -----
    Each call takes constant time, on average over the slots that it drops.

    Examples
    --------
    >>> used = SlidingSum(window_s=8.0)
    >>> used.add(5.0, now=0.0)
    >>> used.total(now=7.0), used.total(now=9.0)
    (5.0, 0.0)

    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._slot_s = window_s / _SLOTS
        self._slots: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, units: float, now: float) -> None:
        """Count units now."""
        slot = now // self._slot_s
        if not self._slots or self._slots[-1][0] < slot:
            self._slots.append([slot, 0.0])
        self._slots[-1][1] += units
        self._total += units

    def take_back(self, units: float, counted_at: float) -> None:
        """Take out units that were counted at a time, if they are still counted."""
        slot = counted_at // self._slot_s
        for one in reversed(self._slots):
            if one[0] <= slot:
                taken = min(units, one[1]) if one[0] == slot else 0.0
                one[1] -= taken
                self._total -= taken
                return

    def total(self, now: float) -> float:
        """Return the units of the window that ends now."""
        while self._slots and (self._slots[0][0] + 1) * self._slot_s <= (
            now - self._window_s
        ):
            self._total -= self._slots.popleft()[1]
        return self._total if self._slots else 0.0
