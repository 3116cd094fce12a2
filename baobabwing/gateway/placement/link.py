"""The UDP socket over which gateways ask each other for places and units."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from baobabwing.exceptions import WireError
from baobabwing.gateway.events import MESSAGE_DROPPED
from baobabwing.gateway.placement.codec import decode, encode
from baobabwing.gateway.placement.messages import Message
from baobabwing.reports.events import log

__all__ = ["WorkLink"]

Handler = Callable[[Any, str], None]

# Datagrams that are read in one turn of the loop, some 5 ms of work; connections of
# callers have their turn between.
_MAX_READS_PER_TURN = 64
_MAX_DATAGRAM_BYTES = 65_536


class WorkLink:
    """Sends messages to nodes and hands on what arrives, by its type.

    Datagrams are lost now and then; whoever sends one repeats it or can do without.
    A message to the own address takes no way over the network.

    All datagrams that are there are read before the loop goes on. With one a turn, as
    asyncio's own transport reads, a node that was late for a moment ran its timers
    before it had read the answers that they wait for, and took homes for silent.
    """

    def __init__(self) -> None:
        self.address = ""
        self.sent_bytes = 0
        self.sent = 0
        self._handlers: dict[type, Handler] = {}
        self._sock: socket.socket | None = None

    def handle(self, kind: type, handler: Handler) -> None:
        """Have messages of a type handed to a function, with the sender's address."""
        self._handlers[kind] = handler

    async def start(self, address: str) -> None:
        """Bind to ``ip:port``; with port 0 to a free one."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((host, int(port)))
        self._sock = sock
        bound_host, port = sock.getsockname()
        self.address = f"{bound_host}:{port}"
        asyncio.get_running_loop().add_reader(sock, self._read)

    def stop(self) -> None:
        """Close the socket."""
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    def send(self, address: str, message: Message) -> None:
        """Send a message to a node."""
        if address == self.address:
            asyncio.get_running_loop().call_soon(self._dispatch, message, address)
            return
        if self._sock is None:
            return
        data = encode(message)
        host, _, port = address.rpartition(":")
        try:
            self._sock.sendto(data, (host, int(port)))
        except OSError as exc:
            # The network is away, or takes no more for the moment.
            log(MESSAGE_DROPPED, peer=address, reason=f"not sent: {exc}")
            return
        self.sent_bytes += len(data)
        self.sent += 1

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a message on; bytes that are none are dropped."""
        try:
            message = decode(data)
        except WireError as exc:
            log(MESSAGE_DROPPED, peer=f"{addr[0]}:{addr[1]}", reason=exc.message)
            return
        self._dispatch(message, f"{addr[0]}:{addr[1]}")

    def _read(self) -> None:
        for _ in range(_MAX_READS_PER_TURN):
            if self._sock is None:
                return
            try:
                data, addr = self._sock.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                # The kernel tells of a peer whose port is closed.
                log(MESSAGE_DROPPED, peer="", reason=f"not read: {exc}")
                continue
            self.datagram_received(data, addr)

    def _dispatch(self, message: Message, address: str) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, address)
