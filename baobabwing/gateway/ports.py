"""Opening of a starting node's ports, which may be in use for a moment."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable

from baobabwing.exceptions import PeerError, PortUnavailableError
from baobabwing.gateway.events import PORT_AWAITED
from baobabwing.reports.events import log

__all__ = ["PortOpener"]

_RETRY_S = 0.1


class PortOpener:
    """Opens ports, again while that fails, until a time for all of them has passed.

    :param patience_s: this time, from the first attempt.
    :param given_up: ends the attempts when set.
    """

    def __init__(self, *, patience_s: float, given_up: asyncio.Event) -> None:
        self._patience_s = patience_s
        self._given_up = given_up
        self._until: float | None = None

    async def open(
        self, name: str, address: str, start: Callable[[], Awaitable[None]]
    ) -> bool:
        """Open a port; return whether it is open, or the attempts were ended.

        :param name: of the port, for the log.
        :param start: binds it; raises an ``OSError`` or ``PeerError`` if it can't.
        :raises PortUnavailableError: if it can't be opened in time.
        """
        if self._until is None:
            self._until = time.monotonic() + self._patience_s
        is_logged = False
        while not self._given_up.is_set():
            try:
                await start()
                return True
            except (OSError, PeerError) as exc:
                left_s = self._until - time.monotonic()
                if left_s <= 0:
                    raise PortUnavailableError(
                        f"port can't be opened: {exc}", step=name, peer=address
                    ) from exc
                if not is_logged:
                    is_logged = True
                    log(
                        PORT_AWAITED,
                        port=name,
                        address=address,
                        longest_s=round(left_s, 1),
                        error=str(exc),
                    )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RETRY_S):
                    await self._given_up.wait()
        return False
