"""One request inside a stand-in engine, and those who read its output."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable

from baobabwing.standins.output import seeded_token
from baobabwing.standins.record import Execution

__all__ = ["Reader", "Sequence"]

FrameEncoder = Callable[[int, int], bytes]


class Sequence:
    """A request from its admission until its output is forgotten.

    All fields but the constant ones belong to the engine's lock.

    :param execution: its line in the record.
    :param seed: start of its output.
    :param blocks: digests of its prompt's blocks.
    :param limit: tokens to be made.
    """

    def __init__(
        self,
        *,
        execution: Execution,
        model: str,
        chat: bool,
        seed: int,
        blocks: tuple[int, ...],
        limit: int,
        created: int,
    ) -> None:
        self.execution = execution
        self.attempt = execution.attempt
        self.model = model
        self.chat = chat
        self.seed = seed
        self.blocks = blocks
        self.limit = limit
        self.created = created
        self.produced = 0
        self.prefill_left = execution.prompt_tokens
        self.readers: list[Reader] = []
        self.started = threading.Event()
        self.ended = threading.Event()

    def text(self) -> str:
        """Return the output made so far."""
        return " ".join(seeded_token(self.seed, i) for i in range(self.produced))


class Reader:
    """One connection that follows a sequence's output.

    The engine's loop writes tokens to the connection as it makes them, without
    ever blocking: at 32 streams and a step of 6 ms, a thread woken for each
    token would cost more than the token. The thread of the connection sleeps
    until the end and then writes what did not fit.

    :param sock: a socket whose head was sent.
    :param frame: gives the bytes of the events from one token to before another.
    :param position: first token to be sent.
    :param cut_at: token before which the connection is cut, if any.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        frame: FrameEncoder,
        position: int = 0,
        cut_at: int | None = None,
    ) -> None:
        self._sock = sock
        self._frame = frame
        self._position = position
        self._cut_at = cut_at
        self._unsent = bytearray()
        self.broken = False
        self.cut = False
        self.ended = threading.Event()

    def start(self) -> None:
        """Prepare the connection, before the loop writes to it."""
        self._sock.setblocking(False)

    def push(self, produced: int) -> None:
        """Write what is new; called under the engine's lock."""
        if self._cut_at is not None and produced >= self._cut_at:
            produced = self._cut_at
            self.cut = True
        if produced > self._position:
            self._unsent += self._frame(self._position, produced)
            self._position = produced
        if self._unsent:
            self._write()
        if self.cut or self.broken:
            self.ended.set()

    def finish(self, timeout_s: float) -> None:
        """Write what is left, blocking, in the thread of the connection.

        :raises OSError: if the other side is gone.
        """
        self._sock.settimeout(timeout_s)
        if self._unsent:
            self._sock.sendall(self._unsent)
            self._unsent.clear()

    def _write(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self.broken = True
            return
        del self._unsent[:sent]
