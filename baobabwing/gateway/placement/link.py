"""The UDP socket over which gateways ask each other for places and units."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from baobabwing.exceptions import WireError
from baobabwing.gateway.events import MESSAGE_DROPPED
from baobabwing.gateway.placement.codec import decode, encode
from baobabwing.gateway.placement.messages import Message
from baobabwing.reports.events import log

__all__ = ["WorkLink"]

Handler = Callable[[Any, str], None]


class WorkLink(asyncio.DatagramProtocol):
    """Sends messages to nodes and hands on what arrives, by its type.

    Datagrams are lost now and then; whoever sends one repeats it or can do without.
    A message to the own address takes no way over the network.
    """

    def __init__(self) -> None:
        self.address = ""
        self.sent_bytes = 0
        self.sent = 0
        self._handlers: dict[type, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def handle(self, kind: type, handler: Handler) -> None:
        """Have messages of a type handed to a function, with the sender's address."""
        self._handlers[kind] = handler

    async def start(self, address: str) -> None:
        """Bind to ``ip:port``; with port 0 to a free one."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: str, message: Message) -> None:
        """Send a message to a node."""
        if address == self.address:
            asyncio.get_running_loop().call_soon(self._dispatch, message, address)
            return
        if self._transport is None or self._transport.is_closing():
            return
        data = encode(message)
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))
        self.sent_bytes += len(data)
        self.sent += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = transport
        host, port = transport.get_extra_info("sockname")[:2]
        self.address = f"{host}:{port}"

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a message on; bytes that are none are dropped."""
        try:
            message = decode(data)
        except WireError as exc:
            log(MESSAGE_DROPPED, peer=f"{addr[0]}:{addr[1]}", reason=exc.message)
            return
        self._dispatch(message, f"{addr[0]}:{addr[1]}")

    def _dispatch(self, message: Message, address: str) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, address)
