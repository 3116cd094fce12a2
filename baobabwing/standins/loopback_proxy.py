"""A TCP proxy on loopback that injects network faults into its connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from enum import Enum

__all__ = ["LoopbackProxy", "PathFault"]

_CHUNK_BYTES = 65_536
_POLL_INTERVAL_S = 0.02
_DELAY_S = 0.05
# SO_LINGER enabled with zero seconds: closing the socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class PathFault(Enum):
    """A fault on the path between the proxy's clients and its target.

    ``DELAY`` delays every chunk. ``SILENT`` stalls both directions and the opening of
    new connections, ``DEAF`` only the bytes to the target, ``DUMB`` only the bytes from
    it. ``REFUSE`` resets new connections. Stalled bytes are delivered when the fault
    ends.
    """

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    DEAF = "deaf"
    DUMB = "dumb"
    REFUSE = "refuse"


class LoopbackProxy:
    """Proxy that relays connections to one target.

    :param target: address of the target, ``ip:port``.
    :param cut_off: whether a client at a local port is cut off from the target; its
        new connections are then reset.
    :ivar fault: fault in force.
    :ivar refuses_after_s: time from a failure to connect to the target until the client
        sees it.
    :ivar address: listening address, ``ip:port``; empty before ``start()``.
    """

    def __init__(
        self, *, target: str, cut_off: Callable[[int], bool] = lambda port: False
    ) -> None:
        self._target = target
        self._cut_off = cut_off
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.fault = PathFault.NONE
        self.refuses_after_s = 0.0
        self.address = ""

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and reset all connections.

        A regular close could be taken for the end of a complete answer.
        """
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            _reset(writer)

    def reset_cut_off(self) -> None:
        """Reset the open connections of clients that are cut off."""
        for writer in tuple(self._writers):
            if self._cut_off(_client_port(writer)):
                _reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.fault is PathFault.REFUSE or self._cut_off(_client_port(writer)):
            _reset(writer)
            return
        await self._wait_while(PathFault.SILENT)
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            await asyncio.sleep(self.refuses_after_s)
            _reset(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            # Cancelled only by ``stop()``.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self._relay(reader, target_writer, PathFault.DEAF),
                    self._relay(target_reader, writer, PathFault.DUMB),
                )
        finally:
            self._writers -= {writer, target_writer}
            for open_writer in (writer, target_writer):
                open_writer.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_fault: PathFault,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await self._wait_while(PathFault.SILENT, blocking_fault)
                if self.fault is PathFault.DELAY:
                    await asyncio.sleep(_DELAY_S)
                writer.write(data)
                await writer.drain()
            await self._wait_while(PathFault.SILENT, blocking_fault)
            with contextlib.suppress(OSError):
                writer.write_eof()
        except OSError:
            # Propagates a reset as a reset: a regular close could be taken for the end
            # of a complete answer.
            _reset(writer)

    async def _wait_while(self, *faults: PathFault) -> None:
        while self.fault in faults:
            await asyncio.sleep(_POLL_INTERVAL_S)


def _client_port(writer: asyncio.StreamWriter) -> int:
    return (writer.get_extra_info("peername") or ("", 0))[1]


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
