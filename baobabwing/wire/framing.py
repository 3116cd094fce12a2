"""Authenticated frames on a TCP connection between two nodes."""

from __future__ import annotations

import contextlib
import hashlib
import hmac
import secrets
import socket
import struct
import threading
from collections.abc import Sequence

from baobabwing.exceptions import WireError
from baobabwing.wire.codec import decode, encode
from baobabwing.wire.messages import Hello, Message

__all__ = ["FrameSocket", "accept_handshake", "open_handshake"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
# Bounds the memory that a peer can make this node allocate before it is authenticated.
MAX_HANDSHAKE_BYTES = 4096
PROTOCOL_VERSION = 1
_MAC_BYTES = 16
_NONCE_BYTES = 16
_LENGTH = struct.Struct("!I")
_SEQUENCE = struct.Struct("!Q")


class FrameSocket:
    """A connected socket that carries frames in both directions.

    A frame consists of its payload length, a keyed digest over the direction's
    sequence number and the payload, and the payload. The sequence number is not
    sent: a replayed, dropped or reordered frame has a wrong digest, which raises a
    :class:`WireError` and ends the connection.

    :param sock: connected stream socket.
    :param send_key: key of the digests of sent frames.
    :param receive_key: key of the digests of received frames.
    """

    def __init__(
        self, *, sock: socket.socket, send_key: bytes = b"", receive_key: bytes = b""
    ) -> None:
        self._sock = sock
        self._keys = (send_key, receive_key)
        self._sent = 0
        self._received = 0
        self._write_lock = threading.Lock()
        self._buffer = bytearray()
        self._max_payload_bytes = MAX_HANDSHAKE_BYTES
        self.bytes_sent = 0
        self.bytes_received = 0

    def send(self, message: Message, *, correlation: int = 0) -> None:
        """Send one message; thread-safe.

        :raises OSError: if the connection is broken.
        """
        payload = encode(message, correlation=correlation)
        with self._write_lock:
            mac = _digest(self._keys[0], self._sent, payload)
            self._sent += 1
            frame = _LENGTH.pack(len(payload)) + mac + payload
            self._sock.sendall(frame)
            self.bytes_sent += len(frame)

    def receive(self) -> tuple[int, Message]:
        """Wait for the next message; only one thread may receive.

        :returns: its correlation number and the message.
        :raises WireError: if the frame is too large or not authentic.
        :raises EOFError: if the peer closed the connection.
        :raises OSError: if the connection is broken.
        """
        (size,) = _LENGTH.unpack(self._read_exactly(_LENGTH.size))
        if size > self._max_payload_bytes:
            raise WireError(f"frame of {size} bytes is too large", step="receive")
        mac = self._read_exactly(_MAC_BYTES)
        payload = self._read_exactly(size)
        expected = _digest(self._keys[1], self._received, payload)
        if not hmac.compare_digest(mac, expected):
            raise WireError("frame is not authentic", step="receive")
        self._received += 1
        return decode(payload)

    def rekey(self, *, send_key: bytes, receive_key: bytes) -> None:
        """Switch to the negotiated keys and to the full frame size."""
        self._max_payload_bytes = MAX_FRAME_BYTES
        self._keys = (send_key, receive_key)

    def close(self) -> None:
        """Close the connection; a thread waiting in :meth:`receive` is woken."""
        with contextlib.suppress(OSError):  # already broken by the peer
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            block = self._sock.recv(65536)
            if not block:
                raise EOFError("connection closed")
            self._buffer += block
            self.bytes_received += len(block)
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data


def open_handshake(
    sock: socket.socket, *, name: str, incarnation: int, keys: Sequence[bytes]
) -> tuple[FrameSocket, Hello]:
    """Authenticate with the accepting node, in both directions.

    :param keys: shared secrets; the one with which the accepting node proves itself
        is used.
    :returns: the frame socket and the peer's hello.
    :raises WireError: if the peer knows none of the keys.
    """
    frames = FrameSocket(sock=sock)
    nonce = secrets.token_bytes(_NONCE_BYTES)
    frames.send(_hello(name, incarnation, nonce))
    peer_hello = _receive_hello(frames)
    key = _matching_key(keys, b"accept", nonce, peer_hello)
    proof = _proof(key, b"open", peer_hello.nonce, name, incarnation)
    frames.send(_hello(name, incarnation, nonce, proof))
    opened, accepted = _direction_keys(key, nonce, peer_hello.nonce)
    frames.rekey(send_key=opened, receive_key=accepted)
    return frames, peer_hello


def accept_handshake(
    sock: socket.socket, *, name: str, incarnation: int, keys: Sequence[bytes]
) -> tuple[FrameSocket, Hello]:
    """Run the accepting side of :func:`open_handshake`.

    The accepting side always proves itself with its first key, and the opener tries
    each of its keys against that proof. During a rotation the new key is therefore
    added as the second one on all nodes before it becomes the first.

    :returns: the frame socket and the peer's final hello.
    :raises WireError: if the peer knows none of the keys.
    """
    frames = FrameSocket(sock=sock)
    peer_hello = _receive_hello(frames)
    nonce = secrets.token_bytes(_NONCE_BYTES)
    proof = _proof(keys[0], b"accept", peer_hello.nonce, name, incarnation)
    frames.send(_hello(name, incarnation, nonce, proof))
    final = _receive_hello(frames)
    key = _matching_key(keys, b"open", nonce, final)
    opened, accepted = _direction_keys(key, peer_hello.nonce, nonce)
    frames.rekey(send_key=accepted, receive_key=opened)
    return frames, final


def _hello(name: str, incarnation: int, nonce: bytes, proof: bytes = b"") -> Hello:
    return Hello(
        name=name,
        incarnation=incarnation,
        protocol=PROTOCOL_VERSION,
        nonce=nonce,
        proof=proof,
    )


def _receive_hello(frames: FrameSocket) -> Hello:
    _, message = frames.receive()
    if not isinstance(message, Hello):
        raise WireError("handshake expected", step="handshake")
    return message


def _matching_key(
    keys: Sequence[bytes], role: bytes, nonce: bytes, hello: Hello
) -> bytes:
    for key in keys:
        expected = _proof(key, role, nonce, hello.name, hello.incarnation)
        if hmac.compare_digest(expected, hello.proof):
            return key
    raise WireError("peer knows none of our keys", step="handshake", peer=hello.name)


def _proof(key: bytes, role: bytes, nonce: bytes, name: str, incarnation: int) -> bytes:
    text = role + nonce + _SEQUENCE.pack(incarnation) + name.encode()
    return hashlib.blake2b(text, key=key[:64], digest_size=32).digest()


def _direction_keys(key: bytes, opener: bytes, accepter: bytes) -> tuple[bytes, bytes]:
    nonces = opener + accepter
    return (
        hashlib.blake2b(b"open" + nonces, key=key[:64], digest_size=32).digest(),
        hashlib.blake2b(b"accept" + nonces, key=key[:64], digest_size=32).digest(),
    )


def _digest(key: bytes, sequence: int, payload: bytes) -> bytes:
    text = _SEQUENCE.pack(sequence) + payload
    return hashlib.blake2b(text, key=key, digest_size=_MAC_BYTES).digest()
