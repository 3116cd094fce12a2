"""Guard against datagrams that are recorded and sent again."""

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
    """Sequences of one sender; all at or below the floor are refused."""

    incarnation: int
    newest: int = 0
    floor: int = 0
    heap: list[int] = field(default_factory=list)
    seen: set[int] = field(default_factory=set)


class ReplayGuard:
    """Remembers the last sequences of each sender.

    Sequences are microseconds of the sender's clock. A sender not heard before
    has no window yet, so the clock alone bounds how old a recording may be; from
    then on each sequence is taken once. Used by the receiving thread alone.

    :param clock_window_ms: largest difference between two hosts' clocks.
    """

    def __init__(self, *, clock_window_ms: int) -> None:
        self._clock_window_us = clock_window_ms * _US_PER_MS
        self._windows: dict[str, _Window] = {}
        self._checks = 0

    def check(
        self, sender: str, incarnation: int, sequence: int, *, now_us: int
    ) -> DropReason | None:
        """Take a sequence in, or say why it is refused."""
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
        # Names of hosts that were replaced would pile up. A recording as old as
        # the newest of these is refused by the clock alone.
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
