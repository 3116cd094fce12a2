"""A listening socket with one task per connection."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time
from collections.abc import Awaitable, Callable

import h11

from baobabwing.gateway.connection import HttpConnection
from baobabwing.gateway.connection_bounds import IdleConnection, pick_to_close
from baobabwing.gateway.events import CONNECTIONS_FULL
from baobabwing.gateway.held_bytes import Holding
from baobabwing.reports.events import log

__all__ = ["Listener"]

# Callers connect in bursts; when the accept queue is full, a SYN is dropped and
# retransmitted only after a second.
_BACKLOG = 1024
# Connections accepted before the event loop handles others again.
_ACCEPTS_PER_TURN = 64
# A listener without room looks again after this time.
_REST_S = 0.05
_LOG_INTERVAL_S = 10.0


class Listener:
    """Accepts connections and serves each one in its own task.

    :param serve: serves one connection until it ends, and closes it.
    :param head_bytes: returns the maximum size of a request head, which may change.
    :param new_holding: returns what counts the bytes that a connection has received and
        that are not handled yet.
    :param name: of the listener in the log.
    :param bound: returns the most connections that are kept; ``None`` for no bound. An
        idle one makes way for a newcomer; if none may, newcomers wait.
    """

    def __init__(
        self,
        *,
        serve: Callable[[HttpConnection], Awaitable[None]],
        head_bytes: Callable[[], int],
        new_holding: Callable[[], Holding | None] = lambda: None,
        name: str = "",
        bound: Callable[[], int] | None = None,
    ) -> None:
        self._new_holding = new_holding
        self._serve = serve
        self._head_bytes = head_bytes
        self._name = name
        self._bound = bound
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[HttpConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._rest: asyncio.TimerHandle | None = None
        self._logged_at: float | None = None
        self._closed = 0
        self._rests = 0
        self.address = ""

    async def start(self, address: str) -> None:
        """Start listening on ``ip:port``; port 0 picks a free one.

        :raises OSError: if the address is in use, or there is no descriptor.
        """
        host, _, port = address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=_BACKLOG)
        self._socket.setblocking(False)
        bound = self._socket.getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        self._resume()

    @property
    def listening(self) -> bool:
        """Whether connections are accepted."""
        return self._socket is not None

    @property
    def open_connections(self) -> int:
        """Number of open connections, with those that are being closed."""
        return len(self._connections)

    def close(self) -> None:
        """Stop listening, but serve the open connections."""
        if self._socket is None:
            return
        self._pause()
        self._socket.close()
        self._socket = None

    def stop(self) -> None:
        """Stop listening and cancel the tasks of open connections."""
        self.close()
        self.cut()

    def cut(self) -> None:
        """Cancel the tasks of open connections, but keep listening."""
        for task in self._tasks:
            task.cancel()

    def _pause(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket)
        if self._rest is not None:
            self._rest.cancel()
            self._rest = None

    def _resume(self) -> None:
        self._rest = None
        asyncio.get_running_loop().add_reader(self._socket, self._accept_waiting)

    def _accept_waiting(self) -> None:
        """Accept connections while there are any, and room for them."""
        for _ in range(_ACCEPTS_PER_TURN):
            if self._bound is not None and len(self._connections) >= self._bound():
                self._make_room(reason="bound")
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as exc:
                self._make_room(reason=errno.errorcode.get(exc.errno, repr(exc)))
                return
            self._open(sock)

    def _make_room(self, *, reason: str) -> None:
        """Close one idle connection, or rest if none may be closed.

        Its descriptor is free once the event loop goes on, and the listener is called
        again then.
        """
        conn = pick_to_close(self._idle_connections())
        if conn is not None:
            self._closed += 1
            conn.abort() if conn.unsent_bytes else conn.close()
        else:
            self._rests += 1
        if conn is None or reason != "bound":
            self._pause()
            loop = asyncio.get_running_loop()
            self._rest = loop.call_later(_REST_S, self._resume)
        self._log_full(reason)

    def _idle_connections(self) -> list[IdleConnection[HttpConnection]]:
        now = time.monotonic()
        return [
            IdleConnection(key=conn, idle_s=now - since, used=conn.received > 0)
            for conn in self._connections
            if (since := conn.idle_since) is not None
        ]

    def _log_full(self, reason: str) -> None:
        """Log at intervals that there was no room, with what was done since."""
        now = time.monotonic()
        if self._logged_at is not None and now - self._logged_at < _LOG_INTERVAL_S:
            return
        log(
            CONNECTIONS_FULL,
            listener=self._name,
            reason=reason,
            open=len(self._connections),
            bound=self._bound() if self._bound is not None else None,
            closed=self._closed,
            rests=self._rests,
        )
        self._logged_at = now
        self._closed = self._rests = 0

    def _open(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        conn = HttpConnection(
            role=h11.SERVER,
            head_bytes=self._head_bytes,
            on_open=self._start_serving,
            on_close=self._connections.discard,
            holding=self._new_holding(),
        )
        self._connections.add(conn)
        task = asyncio.ensure_future(self._make_transport(sock, conn))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _make_transport(self, sock: socket.socket, conn: HttpConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: conn, sock)
        except OSError:
            # It ended as it was accepted.
            self._connections.discard(conn)
            with contextlib.suppress(OSError):
                sock.close()

    def _start_serving(self, conn: HttpConnection) -> None:
        conn.await_request()
        task = asyncio.ensure_future(self._serve(conn))
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._note_served(done, conn))

    def _note_served(self, task: asyncio.Task[None], conn: HttpConnection) -> None:
        self._tasks.discard(task)
        conn.take_request()
        if conn.handed_over:
            self._connections.discard(conn)
        elif conn.unsent_bytes:
            conn.abort_when_unread()
