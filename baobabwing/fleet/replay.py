"""Protection against replayed datagrams."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from baobabwing.fleet.counters import DropReason

__all__ = ["ReplayGuard"]

_WINDOW_SIZE = 64
_PRUNE_EVERY = 1024
_US_PER_MS = 1000


@dataclass
class _Window:
    """Recent sequences of one sender; all at or below the floor are refused."""

    incarnation: int
    newest: int = 0
    floor: int = 0
    heap: list[int] = field(default_factory=list)
    seen: set[int] = field(default_factory=set)


class ReplayGuard:
    """Accepts each sequence of a sender once, within a window of recent ones.

    Sequences are microseconds of the sender's clock. For the first datagram of a
    sender there is no window yet, so only the clock bounds the age of a replayed
    one. Not thread-safe: used by the receiving thread only.

    :param clock_window_ms: largest accepted difference between a sequence and this
        host's clock.
    """

    def __init__(self, *, clock_window_ms: int) -> None:
        self._clock_window_us = clock_window_ms * _US_PER_MS
        self._windows: dict[str, _Window] = {}
        self._checks = 0

    def check(
        self, sender: str, incarnation: int, sequence: int, *, now_us: int
    ) -> DropReason | None:
        """Accept a sequence and return ``None``, or return why it is refused."""
        if abs(sequence - now_us) > self._clock_window_us:
            return DropReason.CLOCK
        self._prune(now_us)
        window = self._windows.get(sender)
        if window is None or window.incarnation < incarnation:
            window = _Window(incarnation=incarnation)
            self._windows[sender] = window
        if incarnation < window.incarnation:
            return DropReason.STALE
        if sequence <= window.floor or sequence in window.seen:
            return DropReason.REPLAYED
        _add_sequence(window, sequence)
        return None

    def _prune(self, now_us: int) -> None:
        # Windows of hosts that no longer exist would accumulate. Replays of the
        # sequences dropped here are older than the clock window and still refused.
        self._checks += 1
        if self._checks % _PRUNE_EVERY:
            return
        oldest_accepted = now_us - self._clock_window_us
        self._windows = {
            sender: window
            for sender, window in self._windows.items()
            if window.newest >= oldest_accepted
        }


def _add_sequence(window: _Window, sequence: int) -> None:
    window.newest = max(window.newest, sequence)
    window.seen.add(sequence)
    heapq.heappush(window.heap, sequence)
    if len(window.heap) > _WINDOW_SIZE:
        window.floor = heapq.heappop(window.heap)
        window.seen.discard(window.floor)
