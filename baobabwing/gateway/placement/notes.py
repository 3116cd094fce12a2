"""What became of requests, told to the homes that placed them."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from baobabwing.gateway.decisions.cell_queue import NoteKind
from baobabwing.gateway.placement.link import WorkLink
from baobabwing.gateway.placement.messages import CellKey, Note, Notes

__all__ = ["NoteBox"]

# Notes of this long go out together.
_TOGETHER_S = 0.002
# Words of first events free no place. They go along with the next words or question to
# any home, or after this: a third of what nodes say to a home came by itself otherwise.
_RIDE_S = 0.1


class NoteBox:
    """Notes that wait a moment, so that several go out in one datagram.

    :param link: carries the messages.
    :param node: number of this node.
    """

    def __init__(self, *, link: WorkLink, node: int) -> None:
        self._link = link
        self._node = node
        self._notes: dict[tuple[str, CellKey], list[Note]] = defaultdict(list)
        self._flush: asyncio.TimerHandle | None = None
        self._flush_at = float("inf")

    def add(
        self,
        home: str,
        key: CellKey,
        number: int,
        kind: NoteKind,
        pace_s: float | None,
    ) -> None:
        """Have a home told what became of a request."""
        self._notes[home, key].append(Note(number=number, kind=kind, pace_s=pace_s))
        self._send_within(_TOGETHER_S if kind.ends else _RIDE_S)

    def send(self) -> None:
        """Send all that waits."""
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
            self._flush_at = float("inf")
        for (home, key), notes in self._notes.items():
            self._link.send(home, Notes(node=self._node, cell=key, notes=tuple(notes)))
        self._notes.clear()

    def _send_within(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + seconds
        if due_at >= self._flush_at:
            return
        if self._flush is not None:
            self._flush.cancel()
        self._flush_at = due_at
        self._flush = loop.call_at(due_at, self.send)
