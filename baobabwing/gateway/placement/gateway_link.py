"""UDP socket for the messages between gateways."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import baobabwing.gateway.placement.part_codec  # noqa: F401  (registers its messages)
from baobabwing.exceptions import WireError
from baobabwing.gateway.events import MESSAGE_DROPPED
from baobabwing.gateway.placement.codec import decode, encode
from baobabwing.gateway.placement.messages import Message
from baobabwing.reports.events import log

__all__ = ["GatewayLink"]

Handler = Callable[[Any, str], None]

# Datagrams that are read in one turn of the event loop, some 5 ms of work; callers'
# connections are served between turns.
_MAX_READS_PER_TURN = 64
_MAX_DATAGRAM_BYTES = 65_536


class GatewayLink:
    """Sends messages to nodes, and dispatches received ones to handlers by their type.

    Datagrams may be lost; the sender of a message repeats it or tolerates its loss.
    A message to this node's own address does not pass through the network.

    The datagrams that have arrived are read in one turn of the event loop, up to a
    bound. asyncio's own transport reads one a turn: after a short stall a node then ran
    its timers before it read the answers that those timers wait for, and treated homes
    as unresponsive.

    :ivar address: ``ip:port`` of the socket; empty before :meth:`start`.
    :ivar sent_bytes: bytes of payload sent to other nodes.
    :ivar sent: datagrams sent to other nodes.
    """

    def __init__(self) -> None:
        self.address = ""
        self.sent_bytes = 0
        self.sent = 0
        self._handlers: dict[type, Handler] = {}
        self._sock: socket.socket | None = None

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type; it also gets the sender's address."""
        self._handlers[message_type] = handler

    async def start(self, address: str) -> None:
        """Bind to ``ip:port``; port 0 picks a free port."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind((host, int(port)))
        except OSError:
            sock.close()
            raise
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
        """Send a message to a node; a message that cannot be sent is dropped."""
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
            # The network is unavailable, or the send buffer is full.
            log(MESSAGE_DROPPED, peer=address, reason=f"not sent: {exc}")
            return
        self.sent_bytes += len(data)
        self.sent += 1

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and dispatch a datagram; an invalid one is dropped and logged."""
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
                # The kernel reports a peer whose port is closed.
                log(MESSAGE_DROPPED, peer="", reason=f"not read: {exc}")
                continue
            self.datagram_received(data, addr)

    def _dispatch(self, message: Message, address: str) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, address)
