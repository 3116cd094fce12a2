"""Ports of loopback for servers that this process, or one that it starts, will open.

A look whether a port is free says nothing of a moment later: two runs of all tests side
by side looked, found the same port free, and one of their servers ended with "address
already in use". So each process claims a block of ports and keeps the claim, a socket
that listens on the first port of the block, until it ends. What it gives out lies in
blocks of its own, from which no other process that asks here draws.
"""

from __future__ import annotations

import os
import random
import socket
from collections import deque

from baobabwing.exceptions import BaobabwingError

__all__ = ["PortError", "free_port", "free_ports"]

_LOOPBACK = "127.0.0.1"
# Below the usual range of ephemeral ports, so that no outgoing connection of another
# process takes a port between its choice here and its use.
_MIN_PORT = 20_000
_MAX_PORT = 32_000
# A deployment of 60 nodes takes 360 ports; the next block follows when one is used up.
_BLOCK_PORTS = 200
# From so many blocks on a process starts again with its first one. A run of all tests
# takes some thousands of ports, of which those of earlier tests are closed long since.
_MAX_BLOCKS = 6


class PortError(BaobabwingError):
    """No port is left that could be given out."""


class _PortBlocks:
    """Blocks that this process has claimed, and what is left of the present one.

    :ivar process: id of the process that claimed them. A forked one holds copies of
        the claims and must not give out the same ports.
    """

    def __init__(self) -> None:
        self.process = os.getpid()
        self._claims: deque[socket.socket] = deque()
        self._next = self._end = 0

    def allocate(self, count: int) -> int:
        """Return the first of some free ports in a row.

        :raises PortError: if there are none.
        """
        for _ in range(_MAX_BLOCKS + 1):
            while self._end - self._next >= count:
                first = self._next
                self._next += 1
                if all(map(_is_free, range(first, first + count))):
                    self._next = first + count
                    return first
            self._switch_block()
        raise PortError("all ports in use", step="choose port", peer=_LOOPBACK)

    def _switch_block(self) -> None:
        """Go on with another block: a new one, or else the one used longest ago."""
        if len(self._claims) >= _MAX_BLOCKS:
            self._claims.rotate(-1)
        else:
            self._claims.append(_claim_block())
        first = self._claims[-1].getsockname()[1]
        self._next, self._end = first + 1, first + _BLOCK_PORTS


def _claim_block() -> socket.socket:
    """Claim a block; the socket listens on its first port."""
    first_ports = list(range(_MIN_PORT, _MAX_PORT - _BLOCK_PORTS + 1, _BLOCK_PORTS))
    random.SystemRandom().shuffle(first_ports)
    for first in first_ports:
        claim = socket.socket()
        try:
            claim.bind((_LOOPBACK, first))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return claim
    raise PortError("no block of ports left", step="choose port", peer=_LOOPBACK)


_blocks = _PortBlocks()


def free_port() -> int:
    """Return a port of the loopback address, free for TCP and UDP.

    A port is given out again only after a thousand others.

    :raises PortError: if none is left.
    """
    return free_ports(1)


def free_ports(count: int) -> int:
    """Return the first of so many free ports in a row.

    :raises PortError: if none are left.
    """
    global _blocks
    if _blocks.process != os.getpid():
        _blocks = _PortBlocks()
    return _blocks.allocate(count)


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((_LOOPBACK, port))
            except OSError:
                return False
    return True
