"""A listening socket with one task per connection."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

import h11

from baobabwing.gateway.connection import HttpConnection
from baobabwing.gateway.held_bytes import Holding

__all__ = ["Listener"]

# Callers connect in bursts; when the accept queue is full, a SYN is dropped and
# retransmitted only after a second.
_BACKLOG = 1024


class Listener:
    """Accepts connections and serves each one in its own task.

    :param serve: serves one connection until it ends, and closes it.
    :param head_bytes: returns the maximum size of a request head, which may change.
    :param new_holding: returns what counts the bytes that a connection has received and
        that are not handled yet.
    """

    def __init__(
        self,
        *,
        serve: Callable[[HttpConnection], Awaitable[None]],
        head_bytes: Callable[[], int],
        new_holding: Callable[[], Holding | None] = lambda: None,
    ) -> None:
        self._new_holding = new_holding
        self._serve = serve
        self._head_bytes = head_bytes
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, address: str) -> None:
        """Start listening on ``ip:port``; port 0 picks a free one.

        :raises OSError: if the address is in use, or there is no descriptor.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_connection, host, int(port), backlog=_BACKLOG
        )
        if not self._server.sockets:
            # The event loop passes over an address for which it gets no descriptor.
            raise OSError(errno.EMFILE, "no socket")
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    @property
    def listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None and self._server.is_serving()

    def close(self) -> None:
        """Stop listening, but serve the open connections."""
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Stop listening and cancel the tasks of open connections."""
        self.close()
        self.cut()

    def cut(self) -> None:
        """Cancel the tasks of open connections, but keep listening."""
        for task in self._tasks:
            task.cancel()

    def _create_connection(self) -> HttpConnection:
        return HttpConnection(
            role=h11.SERVER,
            head_bytes=self._head_bytes,
            on_open=self._start_serving,
            holding=self._new_holding(),
        )

    def _start_serving(self, conn: HttpConnection) -> None:
        task = asyncio.ensure_future(self._serve(conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
