"""Connections between nodes: calls with replies, and one-way messages.

Every node accepts connections from its peers and opens its own to those it
calls. A connection has one reading thread on each side. Calls go only from the
opening to the accepting node; replies may arrive late and in any order.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from dataclasses import dataclass

from baobabwing.exceptions import BaobabwingError, PeerError, WireError
from baobabwing.reports.events import log
from baobabwing.reports.faults import describe_fault
from baobabwing.wire.events import HANDSHAKE_REFUSED, PEER_HANDLER_FAILED, PEER_LOST
from baobabwing.wire.framing import FrameSocket, accept_handshake, open_handshake
from baobabwing.wire.messages import Failure, Message

__all__ = ["IncomingCall", "PeerClients", "PeerServer"]

CONNECT_TIMEOUT_S = 0.5
HANDSHAKE_TIMEOUT_S = 1.0
_BACKLOG = 128


@dataclass(frozen=True, kw_only=True)
class IncomingCall:
    """The origin of a call, through which the reply is sent.

    :param identity: ``name#incarnation`` of the calling node.
    :param frames: connection on which the call arrived.
    :param correlation: number of the call; 0 for a one-way message.
    """

    identity: str
    frames: FrameSocket
    correlation: int

    def reply(self, message: Message) -> bool:
        """Send the reply; return false if the connection is lost."""
        try:
            self.frames.send(message, correlation=self.correlation)
        except OSError:
            return False
        return True


Handler = Callable[[IncomingCall, Message], Message | None]


class PeerServer:
    """Accepts connections from other nodes.

    :param listen: ``ip:port`` to listen on.
    :param name: name of this node.
    :param incarnation: incarnation of this node.
    :param keys: shared secrets; see :func:`accept_handshake`.
    :param handler: called in the connection's thread; must not block. Its result is
        sent as the reply; ``None`` means no reply, or a later one through
        :meth:`IncomingCall.reply`.
    :param on_disconnect: called with the peer's identity and the frame socket when a
        connection ends.
    """

    def __init__(
        self,
        *,
        listen: str,
        name: str,
        incarnation: int,
        keys: Sequence[bytes],
        handler: Handler,
        on_disconnect: Callable[[str, FrameSocket], None] = lambda identity, frames: (
            None
        ),
    ) -> None:
        self._identity = (name, incarnation, tuple(keys))
        self._handler = handler
        self._on_disconnect = on_disconnect
        self._open: set[FrameSocket] = set()
        self._lock = threading.Lock()
        self._stopping = False
        self._closed_bytes = 0
        self._listener = _listening_socket(listen)
        self._thread = threading.Thread(
            target=self._accept, name="peer-accept", daemon=True
        )

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._stopping = True
        # Closing a listener does not wake a thread blocked in accept; shutdown does.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = tuple(self._open)
        for frames in connections:
            frames.close()

    def traffic_bytes(self) -> int:
        """Return the bytes sent and received so far on all connections."""
        with self._lock:
            live = sum(
                frames.bytes_sent + frames.bytes_received for frames in self._open
            )
            return self._closed_bytes + live

    def _accept(self) -> None:
        while not self._stopping:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), name="peer-serve", daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        name, incarnation, keys = self._identity
        try:
            _set_socket_options(sock)
            sock.settimeout(HANDSHAKE_TIMEOUT_S)
            frames, hello = accept_handshake(
                sock, name=name, incarnation=incarnation, keys=keys
            )
            sock.settimeout(None)
        except (WireError, EOFError, OSError) as exc:
            log(HANDSHAKE_REFUSED, error=str(exc))
            sock.close()
            return
        identity = f"{hello.name}#{hello.incarnation}"
        with self._lock:
            self._open.add(frames)
        try:
            self._read(frames, identity)
        finally:
            with self._lock:
                self._open.discard(frames)
                self._closed_bytes += frames.bytes_sent + frames.bytes_received
            frames.close()
            self._on_disconnect(identity, frames)

    def _read(self, frames: FrameSocket, identity: str) -> None:
        while True:
            try:
                correlation, message = frames.receive()
            except (WireError, EOFError, OSError):
                return
            call = IncomingCall(
                identity=identity, frames=frames, correlation=correlation
            )
            reply = self._handle(call, message)
            if reply is not None and correlation:
                call.reply(reply)

    def _handle(self, call: IncomingCall, message: Message) -> Message | None:
        try:
            return self._handler(call, message)
        except Exception as exc:  # one bad message must not end the connection
            log(
                PEER_HANDLER_FAILED,
                peer=call.identity,
                kind=type(message).__name__,
                error=describe_fault(exc),
            )
            return Failure(text=type(exc).__name__)


class PeerClients:
    """Outgoing connections to other nodes, opened on first use."""

    def __init__(self, *, name: str, incarnation: int, keys: Sequence[bytes]) -> None:
        self._identity = (name, incarnation, tuple(keys))
        self._connections: dict[str, _Connection] = {}
        self._open_locks: dict[str, threading.Lock] = {}
        self._lock = threading.Lock()
        self._closed_bytes = 0

    def call(self, address: str, message: Message) -> Future[Message]:
        """Send a call and return the future of its reply.

        :param address: ``ip:port`` of the peer.
        :raises PeerError: if the peer cannot be reached.
        """
        return self._connection(address).call(message)

    def call_and_wait(
        self, address: str, message: Message, *, timeout_s: float
    ) -> Message:
        """Send a call and wait for its reply.

        :raises PeerError: if there is no reply within the timeout, the connection
            is lost, or the peer failed to handle the call.
        """
        future = self.call(address, message)
        try:
            reply = future.result(timeout=timeout_s)
        except TimeoutError as exc:
            raise PeerError("no reply in time", step="call", peer=address) from exc
        if isinstance(reply, Failure):
            raise PeerError(f"peer failed: {reply.text}", step="call", peer=address)
        return reply

    def send(self, address: str, message: Message) -> None:
        """Send a one-way message.

        :raises PeerError: if the peer cannot be reached.
        """
        self._connection(address).send(message)

    def traffic_bytes(self) -> int:
        """Return the bytes sent and received so far on all connections."""
        with self._lock:
            live = sum(conn.total_bytes() for conn in self._connections.values())
            return self._closed_bytes + live

    def close(self) -> None:
        """Close every connection."""
        with self._lock:
            connections = tuple(self._connections.values())
        for conn in connections:
            conn.close()

    def _connection(self, address: str) -> _Connection:
        with self._lock:
            conn = self._connections.get(address)
            if conn is not None:
                return conn
            open_lock = self._open_locks.setdefault(address, threading.Lock())
        # One thread opens the connection and the others wait for it. Otherwise each
        # of them would open one when a peer is reachable again.
        with open_lock:
            with self._lock:
                conn = self._connections.get(address)
            if conn is not None:
                return conn
            conn = _Connection(
                address=address, identity=self._identity, on_end=self._drop
            )
            with self._lock:
                self._connections[address] = conn
            conn.start()
            return conn

    def _drop(self, conn: _Connection) -> None:
        with self._lock:
            if self._connections.get(conn.address) is conn:
                del self._connections[conn.address]
                self._closed_bytes += conn.total_bytes()


class _Connection:
    """One outgoing connection with its reading thread."""

    def __init__(
        self,
        *,
        address: str,
        identity: tuple[str, int, tuple[bytes, ...]],
        on_end: Callable[[_Connection], None],
    ) -> None:
        self.address = address
        self._on_end = on_end
        self._correlations = itertools.count(1)
        self._pending: dict[int, Future[Message]] = {}
        self._lock = threading.Lock()
        self._ended = False
        self._frames = _connect(address, identity)

    def start(self) -> None:
        threading.Thread(target=self._read, name="peer-read", daemon=True).start()

    def call(self, message: Message) -> Future[Message]:
        future: Future[Message] = Future()
        with self._lock:
            if self._ended:
                raise PeerError("connection lost", step="call", peer=self.address)
            number = next(self._correlations)
            self._pending[number] = future
        self._write(message, number)
        return future

    def send(self, message: Message) -> None:
        self._write(message, 0)

    def close(self) -> None:
        self._frames.close()

    def total_bytes(self) -> int:
        return self._frames.bytes_sent + self._frames.bytes_received

    def _write(self, message: Message, number: int) -> None:
        try:
            self._frames.send(message, correlation=number)
        except OSError as exc:
            self._frames.close()
            raise PeerError("connection lost", step="send", peer=self.address) from exc

    def _read(self) -> None:
        while True:
            try:
                correlation, message = self._frames.receive()
            except (BaobabwingError, EOFError, OSError) as exc:
                self._handle_end(exc)
                return
            with self._lock:
                future = self._pending.pop(correlation, None)
            if future is not None:
                future.set_result(message)

    def _handle_end(self, exc: Exception) -> None:
        self._frames.close()
        with self._lock:
            self._ended = True
            pending = tuple(self._pending.values())
            self._pending.clear()
        self._on_end(self)
        log(PEER_LOST, peer=self.address, error=type(exc).__name__)
        for future in pending:
            future.set_exception(
                PeerError("connection lost", step="call", peer=self.address)
            )


def _listening_socket(listen: str) -> socket.socket:
    host, _, port = listen.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen(_BACKLOG)
    return sock


def _connect(address: str, identity: tuple[str, int, tuple[bytes, ...]]) -> FrameSocket:
    host, _, port = address.rpartition(":")
    name, incarnation, keys = identity
    try:
        sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        _set_socket_options(sock)
        sock.settimeout(HANDSHAKE_TIMEOUT_S)
        frames, _ = open_handshake(sock, name=name, incarnation=incarnation, keys=keys)
        sock.settimeout(None)
    except (WireError, EOFError, OSError) as exc:
        raise PeerError(f"cannot connect: {exc}", step="connect", peer=address) from exc
    return frames


def _set_socket_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
