"""Status updates of requests, buffered for the homes that granted their slots."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from baobabwing.gateway.decisions.cell_queue import UpdateKind
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import CellKey, RequestUpdate, RequestUpdates

__all__ = ["UpdateBuffer"]

# Updates within this time are sent together.
_BATCH_DELAY_S = 0.002
# Updates that release no slot, such as of first events, are sent with the next other
# updates or slot request to any home, and after this time at the latest. Sent at once,
# they were a third of the messages to a home.
_FIRST_EVENT_DELAY_S = 0.1


class UpdateBuffer:
    """Buffers status updates briefly, to send several in one datagram.

    :param link: sends the messages.
    :param node: number of this node.
    """

    def __init__(self, *, link: GatewayLink, node: int) -> None:
        self._link = link
        self._node = node
        self._updates: dict[tuple[str, CellKey], list[RequestUpdate]] = defaultdict(
            list
        )
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = float("inf")

    def add(
        self,
        home: str,
        key: CellKey,
        number: int,
        kind: UpdateKind,
        interval_s: float | None,
    ) -> None:
        """Buffer an update of a request for a home."""
        self._updates[home, key].append(
            RequestUpdate(number=number, kind=kind, interval_s=interval_s)
        )
        self._schedule_flush(
            _BATCH_DELAY_S if kind.releases_slot else _FIRST_EVENT_DELAY_S
        )

    def flush(self) -> None:
        """Send all buffered updates."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._due_at = float("inf")
        for (home, key), updates in self._updates.items():
            self._link.send(
                home, RequestUpdates(node=self._node, cell=key, updates=tuple(updates))
            )
        self._updates.clear()

    def _schedule_flush(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + delay_s
        if due_at >= self._due_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due_at = due_at
        self._timer = loop.call_at(due_at, self.flush)
