"""Repeated sends of reports, as datagrams may be lost."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

__all__ = ["Resends"]

# Delay before sending, so that the reports that all nodes produce on one crash are sent
# together.
_BATCH_DELAY_S = 0.01
# Datagrams may be lost, and nodes partitioned for seconds before the membership detects
# it. So each report is sent again after this pause, which doubles each time up to the
# maximum: six times within 8 s.
_MIN_RESEND_PAUSE_S = 0.25
_MAX_RESEND_PAUSE_S = 4.0


@dataclass(kw_only=True)
class _Resend:
    """The next send of a report.

    :param at: when it is due, by the event loop's clock.
    :param pause_s: from then to the send after it.
    """

    at: float
    pause_s: float = _MIN_RESEND_PAUSE_S


class Resends:
    """Reports that are sent to nodes several times.

    :param send: called with a node's address and the keys of the reports that are due;
        sends what these reports say by then.
    """

    def __init__(self, *, send: Callable[[str, list[Hashable]], None]) -> None:
        self._send = send
        self._pending: dict[str, dict[Hashable, _Resend]] = defaultdict(dict)
        self._scheduled = asyncio.Event()

    def schedule(self, targets: Iterable[str], keys: Iterable[Hashable]) -> None:
        """Send reports to some nodes, from now on."""
        keys = tuple(keys)
        for target in targets:
            for key in keys:
                self._pending[target][key] = _Resend(at=0.0)
                self._scheduled.set()

    async def run(self) -> None:
        """Send for as long as the node runs."""
        if self._pending:
            self._scheduled.set()
        while True:
            await self._scheduled.wait()
            self._scheduled.clear()
            await asyncio.sleep(_BATCH_DELAY_S)
            while self._pending:
                self._send_due(asyncio.get_running_loop().time())
                await self._wait_for_more()

    async def _wait_for_more(self) -> None:
        """Wait for the next send of what is pending, or for new reports."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_MIN_RESEND_PAUSE_S):
                await self._scheduled.wait()
                self._scheduled.clear()
                await asyncio.sleep(_BATCH_DELAY_S)

    def _send_due(self, now: float) -> None:
        for target, pending in tuple(self._pending.items()):
            due = [key for key, resend in pending.items() if resend.at <= now]
            self._send(target, due)
            for key in due:
                self._put_off(pending, key, now)
            if not pending:
                del self._pending[target]

    def _put_off(
        self, pending: dict[Hashable, _Resend], key: Hashable, now: float
    ) -> None:
        pause_s = pending[key].pause_s
        if pause_s > _MAX_RESEND_PAUSE_S:
            del pending[key]
        else:
            pending[key] = _Resend(at=now + pause_s, pause_s=2 * pause_s)
