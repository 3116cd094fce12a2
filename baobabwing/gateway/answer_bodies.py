"""Bodies of plain answers: kept until they are whole, or passed on as they come."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from baobabwing.exceptions import EndlessAnswerError, NoRoomError
from baobabwing.gateway.held_bytes import Holding
from baobabwing.gateway.upstream_connections import (
    AnswerHead,
    Framing,
    UpstreamConnection,
)

__all__ = ["AnswerBody", "keep"]


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
    :ivar kept: bytes that were read and not passed on.
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
        self._connection = connection
        self._head = head
        self._holding = holding
        self._max_bytes = max_bytes
        self._max_stated_bytes = max_stated_bytes
        self._timeout_s = timeout_s

    async def read_whole(self) -> bytearray:
        """Read all of it, and keep it.

        :raises EndlessAnswerError: if it seems to have no end, or its upstream takes
            more room than any other.
        :raises NoRoomError: if it can't be kept whole.
        """
        self._check_length(self._max_stated_bytes)
        if self._head.length > self._max_bytes:
            raise NoRoomError(
                "body is too long to be kept", step="body", peer=self._peer
            )
        await self._read(self._keep)
        return self.kept

    async def skip(self) -> None:
        """Read all of it, and keep nothing.

        :raises EndlessAnswerError: if it is longer than what would be kept, or takes
            too long.
        """
        self._check_length(self._max_bytes)
        await self._read(lambda piece: None)

    async def pass_on(self) -> AsyncIterator[bytes]:
        """Yield what was kept, then the rest as it comes."""
        yield bytes(self.kept)
        self.kept.clear()
        self._holding.release()
        while (piece := await self._connection.read_body()) is not None:
            self.received += len(piece)
            yield piece

    @property
    def _peer(self) -> str:
        return self._connection.conn.peer

    def _check_length(self, max_bytes: int) -> None:
        if self._head.length > max_bytes:
            raise EndlessAnswerError(
                f"length of {self._head.length} bytes", step="body", peer=self._peer
            )

    def _keep(self, piece: bytes) -> None:
        keep(self._holding, len(self.kept) + len(piece), self._peer)
        self.kept += piece

    async def _read(self, take: Callable[[bytes], None]) -> None:
        """Read it to its end.

        :param take: called with each piece.
        """
        stated = self._head.framing is Framing.LENGTH
        try:
            async with asyncio.timeout(None if stated else self._timeout_s):
                while (piece := await self._connection.read_body()) is not None:
                    self.received += len(piece)
                    if self.received > self._max_bytes:
                        raise EndlessAnswerError(
                            "body without a length is too long",
                            step="body",
                            peer=self._peer,
                        )
                    take(piece)
        except TimeoutError as exc:
            raise EndlessAnswerError(
                "body without a length takes too long", step="body", peer=self._peer
            ) from exc


def keep(holding: Holding, size: int, peer: str) -> None:
    """Keep so many bytes of an upstream's answer in all.

    :param peer: address of the upstream.
    :raises EndlessAnswerError: if there is no room, and no upstream takes more of it.
    :raises NoRoomError: if there is no room for other reasons.
    """
    if holding.resize(size):
        return
    error = EndlessAnswerError if holding.is_largest else NoRoomError
    raise error(f"no room for {size} bytes", step="body", peer=peer)
