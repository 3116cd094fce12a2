"""A server whose answers have no end, or a body that a test sets."""

import asyncio
import contextlib

__all__ = ["HEADS", "EndlessServer"]

_SENT_MOST = 256 * 1024 * 1024
_PIECE = b" " * 65_536
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "refusal": b"HTTP/1.1 503 Busy\r\nContent-Length: 1000000000000\r\n\r\n",
}


class EndlessServer:
    """Answers each call with a head and a body that does not end.

    :ivar body: sent instead, if it is set.
    :ivar sent: bytes of the longest answer that a client has read.
    """

    def __init__(self, head):
        self.head, self.sent, self.address = head, 0, ""
        self.body = b""

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        ip, port = self.server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        return self

    async def __aexit__(self, *exc_info):
        self.server.close()

    async def serve(self, reader, writer):
        sent = 0
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            writer.write(self.body)
            while not self.body and sent < _SENT_MOST:
                writer.write(_PIECE)
                await writer.drain()
                sent += len(_PIECE)
                self.sent = max(self.sent, sent)
        writer.close()
