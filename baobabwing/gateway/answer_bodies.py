"""Bodies of plain answers: kept until they are whole, or passed on as they come."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from baobabwing.exceptions import EndlessAnswerError, NoRoomError
from baobabwing.gateway.held_bytes import Holding
from baobabwing.gateway.upstream_connections import (
    AnswerHead,
    Framing,
    UpstreamConnection,
)

__all__ = ["AnswerBody", "keep"]

# A body without a length takes no room before it is longer.
_SMALL_BYTES = 16 * 1024


class AnswerBody:
    """The body of an answer as it is read.

    While it is kept, another upstream can answer if it breaks off or never ends. One
    that states its length may be passed on instead, as its end is known.

    :param connection: from which it is read.
    :param head: head of the answer.
    :param holding: counts the bytes that are kept.
    :param max_bytes: most bytes that are kept of it.
    :param max_stated_bytes: longest length that an upstream may state.
    :param timeout_s: longest time for a body without a stated length.
    :ivar kept: bytes that were read and are kept.
    :ivar received: number of bytes that were read.
    """

    def __init__(
        self,
        *,
        connection: UpstreamConnection,
        head: AnswerHead,
        holding: Holding,
        max_bytes: int,
        max_stated_bytes: int,
        timeout_s: float,
    ) -> None:
        self.kept = bytearray()
        self.received = 0
        self._is_waiting = False
        self._connection = connection
        self._head = head
        self._holding = holding
        self._max_bytes = max_bytes
        self._max_stated_bytes = max_stated_bytes
        self._timeout_s = timeout_s

    async def read_whole(self) -> bytearray:
        """Read all of it, and keep it.

        Room is taken for all of it before it is read, so that answers that come at the
        same time do not each get a part of the room, and none enough.

        :raises EndlessAnswerError: if it seems to have no end.
        :raises NoRoomError: if it can't be kept whole; nothing has been read if its
            length is stated.
        """
        self._check_length(self._max_stated_bytes)
        length = self._head.length
        if length > self._max_bytes or not self._holding.resize(length):
            raise NoRoomError(
                f"no room for {length} bytes", step="body", peer=self._peer
            )
        await self._read(self._keep)
        return self.kept

    async def skip(self) -> None:
        """Read all of it, and keep nothing.

        :raises EndlessAnswerError: if it is longer than what would be kept, or takes
            too long.
        """
        self._check_length(self._max_bytes)
        await self._read(_drop)

    async def pass_on(self) -> AsyncIterator[bytes]:
        """Yield it as it comes."""
        while (piece := await self._connection.read_body()) is not None:
            self.received += len(piece)
            yield piece

    @property
    def _longest(self) -> int:
        """The longest body that is kept if its length is not stated."""
        return min(self._max_bytes, self._holding.largest)

    @property
    def _peer(self) -> str:
        return self._connection.conn.peer

    def _check_length(self, max_bytes: int) -> None:
        if self._head.length > max_bytes:
            raise EndlessAnswerError(
                f"length of {self._head.length} bytes", step="body", peer=self._peer
            )

    async def _keep(self, piece: bytes) -> None:
        if self._head.framing is not Framing.LENGTH and self.received > _SMALL_BYTES:
            await self._take_room()
        self.kept += piece

    async def _take_room(self) -> None:
        """Wait for room for the longest body that may follow."""
        if not self._holding.resize(self._longest):
            self._is_waiting = True
            await self._holding.wait_for(self._longest)
            self._is_waiting = False

    async def _read(self, take: Callable[[bytes], Awaitable[None]]) -> None:
        """Read it to its end.

        :param take: called with each piece.
        """
        stated = self._head.framing is Framing.LENGTH
        max_bytes = self._max_bytes if stated else self._longest
        try:
            async with asyncio.timeout(None if stated else self._timeout_s):
                while (piece := await self._connection.read_body()) is not None:
                    self.received += len(piece)
                    if self.received > max_bytes:
                        raise EndlessAnswerError(
                            "body without a length is too long",
                            step="body",
                            peer=self._peer,
                        )
                    await take(piece)
        except TimeoutError as exc:
            if self._is_waiting:
                self._holding.refuse(self._longest)
                raise NoRoomError(
                    "no room for a body in time", step="body", peer=self._peer
                ) from exc
            raise EndlessAnswerError(
                "body without a length takes too long", step="body", peer=self._peer
            ) from exc


async def _drop(piece: bytes) -> None:
    """Keep nothing of a body."""


def keep(holding: Holding, size: int, peer: str) -> None:
    """Keep so many bytes of an upstream's answer in all.

    :param peer: address of the upstream.
    :raises NoRoomError: if there is no room.
    """
    if holding.resize(size):
        return
    holding.refuse(size)
    raise NoRoomError(f"no room for {size} bytes", step="body", peer=peer)
