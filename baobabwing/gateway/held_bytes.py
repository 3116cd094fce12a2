"""Bytes that a node keeps for others, within a bound for the whole process."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Hashable
from enum import StrEnum

from baobabwing.gateway.events import BYTES_REFUSED
from baobabwing.reports.events import log

__all__ = ["Cause", "HeldBytes", "Holding"]

# Holders of less than this may use the reserve, a share of the bound: requests and
# answers of usual sizes pass while large ones wait or are refused.
_SMALL_BYTES = 16 * 1024
_RESERVED_SHARE = 0.25
# Most that a holder may keep, in relation to what stays free.
_THRESHOLD = 2.0
_LOG_INTERVAL_S = 1.0


class Cause(StrEnum):
    """What bytes are kept for.

    ``ANSWERS``: of upstreams, until they can be passed on; ``REQUESTS``: of callers,
    until they are answered.
    """

    ANSWERS = "answers"
    REQUESTS = "requests"


class HeldBytes:
    """The bytes that are kept for one cause, by holder.

    Each holder may keep twice as much as stays free for the others beside a reserve:
    one alone gets at most half of the bound, and several share it evenly, so that none
    takes the room of the rest, however much it sends. These are the dynamic thresholds
    of A. Choudhury and E. Hahne, "Dynamic queue length thresholds for shared-memory
    packet switches", 1998.

    :param cause: what the bytes are kept for.
    :param max_bytes: most bytes that may be kept together.
    :ivar total: bytes that are kept now.
    :ivar peak: the most that were kept at a time.
    :ivar on_refused: called with the cause each time that there is no room.
    """

    def __init__(self, *, cause: Cause, max_bytes: int) -> None:
        self.cause = cause
        self.max_bytes = max_bytes
        self.total = 0
        self.peak = 0
        self.on_refused: Callable[[Cause], None] = lambda cause: None
        self._by_holder: Counter[Hashable] = Counter()
        self._waiters: list[asyncio.Future[None]] = []
        self._refused = 0
        self._log_from = 0.0

    @property
    def sizes(self) -> dict[str, int]:
        """The bytes that are kept ``now``, at ``peak`` and at ``max``, for metrics."""
        return {"now": self.total, "peak": self.peak, "max": self.max_bytes}

    def holding(self, holder: Hashable = None) -> Holding:
        """Return an account without bytes.

        :param holder: whose bytes it counts, together with other accounts of the same
            holder; its own by default.
        """
        return Holding(held=self, holder=holder)

    def has_room(self, holder: Hashable, size: int) -> bool:
        """Whether a holder may keep so many bytes more."""
        free = self.max_bytes - self.total - size
        if free < 0:
            return False
        kept = self._by_holder[holder] + size
        reserved = int(_RESERVED_SHARE * self.max_bytes)
        return kept <= max(_SMALL_BYTES, _THRESHOLD * (free - reserved))

    @property
    def largest(self) -> int:
        """The most that a holder may keep while there is no other."""
        return int(
            (1 - _RESERVED_SHARE) * self.max_bytes * _THRESHOLD / (1 + _THRESHOLD)
        )

    async def freed(self) -> None:
        """Wait until some bytes are given back."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def change(self, holder: Hashable, size: int) -> None:
        """Count bytes that a holder keeps from now on, or no longer if negative."""
        self.total += size
        self.peak = max(self.peak, self.total)
        self._by_holder[holder] += size
        if not self._by_holder[holder]:
            del self._by_holder[holder]
        if size < 0:
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def refuse(self, holder: Hashable, size: int) -> None:
        """Record that there was no room for bytes of a holder."""
        self.on_refused(self.cause)
        self._refused += 1
        now = time.monotonic()
        if now < self._log_from:
            return
        log(
            BYTES_REFUSED,
            cause=self.cause.value,
            holder=holder if isinstance(holder, str) else "",
            wanted=size,
            kept=self._by_holder[holder],
            total=self.total,
            max=self.max_bytes,
            holders=len(self._by_holder),
            refused=self._refused,
        )
        self._refused = 0
        self._log_from = now + _LOG_INTERVAL_S


class Holding:
    """Bytes that are kept for one request, answer or connection.

    As a context manager it gives all of them back at the end.

    :param held: where they count.
    :param holder: whose bytes they are; this account's own if ``None``.
    """

    def __init__(self, *, held: HeldBytes, holder: Hashable = None) -> None:
        self._held = held
        self._holder = id(self) if holder is None else holder
        self.size = 0

    def __enter__(self) -> Holding:
        return self

    def __exit__(self, *exc: object) -> None:
        self.release()

    def fits(self, size: int) -> bool:
        """Whether there is room for so many bytes in all."""
        return self._held.has_room(self._holder, size - self.size)

    def resize(self, size: int) -> bool:
        """Keep so many bytes in all, unless there is no room for them.

        :returns: whether there was; fewer bytes than before always fit.
        """
        if size > self.size and not self.fits(size):
            return False
        self._held.change(self._holder, size - self.size)
        self.size = size
        return True

    def refuse(self, size: int) -> None:
        """Record that there is no room for so many bytes in all."""
        self._held.refuse(self._holder, size - self.size)

    @property
    def largest(self) -> int:
        """The most that its holder may keep while there is no other."""
        return self._held.largest

    async def wait_for(self, size: int) -> None:
        """Keep so many bytes in all once there is room for them."""
        while not self.resize(size):
            await self._held.freed()

    def release(self) -> None:
        """Give all bytes back."""
        self.resize(0)
