"""A graceful shutdown, as the requests of its node see it."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable
from functools import partial

from baobabwing.gateway.decisions.stopping import fits_before_stop

__all__ = ["Shutdown"]

# Share of the shutdown in which a request may be taken by its expected time.
_ESTIMATED_SHARE = 0.5
# Requests without any answer get a failure this long before their connections close.
_LAST_ANSWERS_S = 0.1


class Shutdown:
    """When a node stops, and until when it takes or queues which requests.

    All times are of the monotonic clock.

    :ivar began_at: when the shutdown began; ``None`` before it.
    :ivar lapses_at: when the answers that name this node's address to callers have
        lapsed; infinity before the shutdown.
    :ivar estimated_until: when requests cease to be taken by their expected times:
        callers no longer use the address, or too little of the shutdown is left.
    :ivar stops_at: when connections that are still open are closed; infinity before
        the shutdown.
    """

    def __init__(self) -> None:
        self.began_at: float | None = None
        self.lapses_at = math.inf
        self.estimated_until = math.inf
        self.stops_at = math.inf
        self._limits: dict[asyncio.Timeout, Callable[[], float | None]] = {}

    def begin(self, now: float, *, lapses_at: float, stops_at: float) -> None:
        """Begin the shutdown, and end what would outlast it."""
        self.began_at, self.lapses_at, self.stops_at = now, lapses_at, stops_at
        self.estimated_until = min(lapses_at, now + _ESTIMATED_SHARE * (stops_at - now))
        for limit, until in self._limits.items():
            limit.reschedule(until())

    @property
    def unanswered(self) -> int:
        """Number of limits on requests whose answers have not begun."""
        return len(self._limits)

    def fits(
        self, expected_s: float, longest_s: float, *, now: float, ends_at: float
    ) -> bool:
        """Whether a request can be taken: see :func:`.fits_before_stop`."""
        return fits_before_stop(
            expected_s,
            longest_s,
            now=now,
            ends_at=ends_at,
            estimated_until=self.estimated_until,
            stops_at=self.stops_at,
        )

    def limit_wait(
        self, longest: Callable[[], float], *, ends_at: float
    ) -> contextlib.AbstractAsyncContextManager[asyncio.Timeout]:
        """Limit the time for which a request is queued, also if it stops meanwhile.

        :param longest: returns the longest time from its slot to its whole answer.
        :param ends_at: when the caller of the request stops waiting for it.
        :raises TimeoutError: once the request can't be taken any more.
        """
        return self._limit(partial(self._queued_until, longest, ends_at))

    def limit_answer(self) -> contextlib.AbstractAsyncContextManager[asyncio.Timeout]:
        """Limit the time until the answer to a request begins: see :meth:`lift`.

        :raises TimeoutError: while there is time for another answer.
        """
        return self._limit(self._answers_until)

    def lift(self, limit: asyncio.Timeout) -> None:
        """End a limit within its block, unless it has expired."""
        if self._limits.pop(limit, None) is not None and not limit.expired():
            limit.reschedule(None)

    @contextlib.asynccontextmanager
    async def _limit(
        self, until: Callable[[], float | None]
    ) -> AsyncIterator[asyncio.Timeout]:
        async with asyncio.timeout_at(until()) as limit:
            self._limits[limit] = until
            try:
                yield limit
            finally:
                self._limits.pop(limit, None)

    def _answers_until(self) -> float | None:
        return None if self.began_at is None else self.stops_at - _LAST_ANSWERS_S

    def _queued_until(
        self, longest: Callable[[], float], ends_at: float
    ) -> float | None:
        if ends_at <= self.stops_at:
            return None
        return max(self.estimated_until, self.stops_at - longest())
