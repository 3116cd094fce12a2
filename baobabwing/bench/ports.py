"""Allocation of loopback ports for servers of this process or of its children.

Checking whether a port is free is subject to a race: two concurrent test runs found the
same port free, and one of their servers failed with "address already in use". Each
process therefore claims blocks of ports and allocates ports only from its own blocks.
A claim is a socket that listens on the first port of the block until the process ends.
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
# process takes a port between its allocation and its use.
_MIN_PORT = 20_000
_MAX_PORT = 32_000
# A deployment of 60 nodes takes 360 ports; an exhausted block is followed by another.
_BLOCK_PORTS = 200
# Once a process has claimed this many blocks, it reuses them, starting with the first.
# A complete test run takes some thousands of ports, and those of earlier tests have
# been closed by then.
_MAX_BLOCKS = 6


class PortError(BaobabwingError):
    """No free port is available."""


class _PortBlocks:
    """Blocks that this process has claimed, and the unused rest of the current one.

    :ivar process: id of the process that claimed them. A forked process inherits the
        claims and must not allocate the same ports.
    """

    def __init__(self) -> None:
        self.process = os.getpid()
        self._claims: deque[socket.socket] = deque()
        self._next = self._end = 0

    def allocate(self, count: int) -> int:
        """Return the first of a number of consecutive free ports.

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
        raise PortError("all claimed ports in use", step="choose port", peer=_LOOPBACK)

    def _switch_block(self) -> None:
        """Switch to a new block, or to the least recently used one at the limit."""
        if len(self._claims) >= _MAX_BLOCKS:
            self._claims.rotate(-1)
        else:
            self._claims.append(_claim_block())
        first = self._claims[-1].getsockname()[1]
        self._next, self._end = first + 1, first + _BLOCK_PORTS


def _claim_block() -> socket.socket:
    """Claim a block and return the socket that listens on its first port."""
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
    raise PortError("no unclaimed port block", step="choose port", peer=_LOOPBACK)


_blocks = _PortBlocks()


def free_port() -> int:
    """Return a loopback port that is free for TCP and UDP.

    A port is reused only after a thousand others.

    :raises PortError: if there is none.
    """
    return free_ports(1)


def free_ports(count: int) -> int:
    """Return the first of a number of consecutive free loopback ports.

    :raises PortError: if there are none.
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
