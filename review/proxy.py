"""A proxy whose open connections can go silent for good, while new ones work."""

from __future__ import annotations

import asyncio
import contextlib

__all__ = ["MuteProxy"]

_CHUNK_BYTES = 65_536


class MuteProxy:
    """Relays connections on loopback to one target.

    :param target: ``ip:port`` of the target.
    :ivar address: where it listens, ``ip:port``.
    """

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._generation = 0
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def mute(self) -> None:
        """Have the open connections deliver nothing any more, without a reset."""
        self._generation += 1

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        generation = self._generation
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await asyncio.gather(
                    self._relay(reader, far_writer, generation),
                    self._relay(far_reader, writer, generation),
                )
        finally:
            writer.transport.abort()
            far_writer.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if generation == self._generation:
                writer.write(data)
                await writer.drain()
        if generation == self._generation:
            writer.transport.abort()
