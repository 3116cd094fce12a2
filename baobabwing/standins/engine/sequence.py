"""One request inside a stand-in engine and the readers of its output."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable

from baobabwing.standins.output import seeded_token
from baobabwing.standins.record import Execution

__all__ = ["Reader", "Sequence"]

FrameEncoder = Callable[[int, int], bytes]


class Sequence:
    """A request from its admission until its output expires.

    Fields that change after construction are guarded by the engine's lock.

    :param execution: entry of the request in the record.
    :param seed: seed from which the output tokens are derived.
    :param blocks: digests of the prompt's blocks.
    :param limit: number of tokens to produce.
    :param created: time of creation in seconds since 1970.
    :ivar produced: number of tokens produced so far.
    :ivar prefill_left: prompt tokens still to be prefilled.
    :ivar started: set with the first token, or when the sequence ends.
    :ivar ended: set when the sequence has finished or was cancelled.
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
        """Return the output produced so far."""
        return " ".join(seeded_token(self.seed, i) for i in range(self.produced))


class Reader:
    """A connection that streams a sequence's output.

    The engine's loop itself writes the tokens to the socket as it produces them,
    without blocking: at 32 streams and a step of 6 ms, waking a thread for each
    token would cost more than the token. The connection's thread sleeps until the
    end and then writes the bytes that the socket did not accept.

    :param sock: socket on which the response head was already sent.
    :param frame: function that encodes the events of a half-open range of tokens.
    :param position: index of the first token to send.
    :param cut_at: index of the token before which to cut the connection, if any.
    :ivar broken: whether a write failed.
    :ivar cut: whether ``cut_at`` was reached.
    :ivar ended: set when nothing more will be pushed.
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
        """Make the socket non-blocking; call this before the loop writes to it."""
        self._sock.setblocking(False)

    def push(self, produced: int) -> None:
        """Write the tokens not sent yet; call this under the engine's lock.

        :param produced: number of tokens produced so far.
        """
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
        """Write the remaining bytes, blocking; call this from the connection's thread.

        :raises OSError: if the peer has disconnected or the timeout expires.
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
