"""What callers of the soak draw: long streams, addresses, and what they hold back."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from dataclasses import dataclass

from baobabwing_platform.dialect import HEADERS
from tests.platform_adapter.demo import KEY, request_headers, resolve

__all__ = ["AddressBook", "LongStream", "hold", "request_bytes"]

_LONG_S = (0.5, 4.0)
_GAPS_MS = (10, 20, 40)
# An output against its caller's estimate; ``None`` for no estimate.
_OVER_ESTIMATE = (1.0, 4.0, 8.0, None)
_MOST_TOKENS = 400
_PROMPT_TOKENS = 120
_DEADLINES_S = (5.0, 8.0, 15.0)
# How often a caller outlives the time for which it may keep addresses.
_OVER_TTL = (1, 1, 3)
# What a caller sends at once of a large body, and its pause; what it takes unread.
_PIECE_BYTES = 65_536
_PIECE_PAUSE_S = 0.02
_UNREAD_BYTES = 4_096


@dataclass(frozen=True, kw_only=True)
class LongStream:
    """A stream that may outlive the stop of its node.

    :param hint: tokens that its caller expects, one an event; ``None`` if not stated.
    :param padding: bytes added to each event.
    """

    events: int
    gap_ms: int
    hint: int | None
    deadline_s: float
    padding: int = 0

    @classmethod
    def draw(cls, rng: random.Random) -> LongStream:
        """Draw a stream of 0.5 to 4 s."""
        gap_ms = rng.choice(_GAPS_MS)
        events = int(1000 * rng.uniform(*_LONG_S) / gap_ms)
        over = rng.choice(_OVER_ESTIMATE)
        return cls(
            events=events,
            gap_ms=gap_ms,
            hint=None if over is None else max(1, int(events / over)),
            deadline_s=rng.choice(_DEADLINES_S),
        )

    @property
    def path(self) -> str:
        """What tells an engine how to answer."""
        return f"long-{self.events}-{self.gap_ms}-{self.padding}"

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """What its caller states of its length."""
        counts = b"%d,%d" % (_PROMPT_TOKENS, _MOST_TOKENS)
        stated = [(HEADERS.tokens, counts)]
        if self.hint is not None:
            stated.append((HEADERS.length_hint, b"%d" % self.hint))
        return stated


class AddressBook:
    """Addresses of nodes that a caller keeps as long as it may, or longer.

    :param ttl_s: how long it may keep them; 0 if it asks each time.
    """

    def __init__(self, *, rng: random.Random, ttl_s: float) -> None:
        self._rng = rng
        self._ttl_s = ttl_s * rng.choice(_OVER_TTL) if ttl_s else 0.0
        self._until = 0.0
        self._addresses: list[str] = []

    async def draw(self, directories: list[str]) -> str | None:
        """Draw an address; ``None`` if there is none."""
        if not self._addresses or time.monotonic() >= self._until:
            self._addresses = await resolve(self._rng.choice(directories))
            self._until = time.monotonic() + self._ttl_s
        return self._rng.choice(self._addresses) if self._addresses else None

    def failed(self, address: str) -> None:
        """Leave out an address until the next time that it asks."""
        if address in self._addresses:
            self._addresses.remove(address)


def request_bytes(
    number: str, target: str, headers: list[tuple[bytes, bytes]], body_bytes: int
) -> bytes:
    """Return a whole request with a body of some size."""
    length = (b"Content-Length", b"%d" % body_bytes)
    lines = [
        name + b": " + value
        for name, value in [*request_headers(number, KEY), length, *headers]
    ]
    start = b"POST " + target.encode() + b" HTTP/1.1"
    return b"\r\n".join([start, *lines, b"", b"x" * body_bytes])


async def hold(address: str, sent: bytes, hold_s: float) -> None:
    """Hold a connection on which a caller sends some bytes and reads nothing."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES)
        try:
            async with asyncio.timeout(hold_s):
                await loop.sock_connect(sock, (host, int(port)))
                for begin in range(0, len(sent), _PIECE_BYTES):
                    await loop.sock_sendall(sock, sent[begin : begin + _PIECE_BYTES])
                    await asyncio.sleep(_PIECE_PAUSE_S)
                await asyncio.sleep(hold_s)
        except (OSError, TimeoutError):
            return
