"""Moves an answer from an upstream's socket to a caller's, whole or not at all.

A stream is moved block by block, straight from socket to socket, since the
per-chunk layers of the HTTP libraries cost more than the relay itself; see
``docs/design/0002-relay.md``. Both sockets are plain TCP.
"""

from __future__ import annotations

import json
import select
import socket
import time
from collections.abc import Callable

from baobabwing.entry.chunks import (
    LAST_CHUNK,
    ChunkDecoder,
    ChunkError,
    encode_chunk,
)
from baobabwing.entry.relay_report import (
    GAP_OBJECTIVE_S,
    CallerSlowError,
    ForeignAnswerError,
    RelayReport,
    StreamError,
    StreamMalformedError,
    StreamTruncatedError,
)
from baobabwing.entry.socket_timeouts import kernel_timeouts
from baobabwing.entry.upstream import CallerGoneError, UpstreamAnswer
from baobabwing.exceptions import BaobabwingError

__all__ = ["check_attempt", "relay_events"]

# No longer than a chunk whose size has three digits, its framing included.
BLOCK_BYTES = 4_096
EVENT_LIMIT_BYTES = 256 * 1024
# What a slow caller can leave waiting in the kernel before its relay blocks.
SEND_BUFFER_BYTES = 256 * 1024
FIRST_EVENT_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 10.0
CALLER_TIMEOUT_S = 5.0
# How often a wait for the upstream is interrupted to see whether the caller left.
CALLER_CHECK_S = 0.5

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"
EVENT_CHUNK_END = EVENT_END + b"\r\n"
# The chunk's size line, its CRLF, and an event's number, data and empty line.
EVENT_CHUNK_LINES = 5
# From this length on, a block that is one chunk has a size of three digits.
MIN_THREE_DIGIT_BLOCK_BYTES = 0x100 + 6
COMMENT = b":"
END_OF_STREAM = encode_chunk(DONE_EVENT + EVENT_END) + LAST_CHUNK

_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def check_attempt(answer: UpstreamAnswer, expect_id: str) -> None:
    """Refuse an answer whose head names another attempt.

    A head that names none is let through; the first event tells then.

    :raises ForeignAnswerError: if the head names another attempt.
    """
    if answer.request_id not in ("", expect_id):
        raise ForeignAnswerError(
            "the head names another attempt", step="relay", peer=answer.peer
        )


def relay_events(
    *,
    answer: UpstreamAnswer,
    caller_socket: socket.socket,
    expect_id: str,
    resumed: RelayReport | None = None,
    before_first: Callable[[], None] | None = None,
    first_event_timeout_s: float = FIRST_EVENT_TIMEOUT_S,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    caller_timeout_s: float = CALLER_TIMEOUT_S,
    clock: Callable[[], float] = time.monotonic,
) -> RelayReport:
    """Move a stream of server-sent events to its caller, as one chunked body.

    Only whole events are given to the caller, in order of their numbers. The end
    of the stream is given only once the upstream's body has ended as well. The
    answer is released or discarded here, whatever happens. A caller that blocks
    holds up the upstream, at most ``caller_timeout_s`` for one block.

    Takes time in proportion to the bytes moved, and memory for one block and one
    unfinished event.

    :param expect_id: the attempt that the answer must belong to.
    :param resumed: report of the broken relay that this one goes on from. For a
        caller that comes back by itself, one with the ``next_id`` it lacks.
    :param before_first: called once, before the first byte goes to the caller,
        when the answer is known to belong to this attempt: sends the head.
    :param first_event_timeout_s: longest wait for the first event.
    :param idle_timeout_s: longest wait between two blocks of the upstream.
    :param caller_timeout_s: longest time for the caller to take one block.
    :returns: the report of a whole answer.
    :raises StreamTruncatedError: the caller may be served on by resuming after
        ``report.last_event_id`` and relaying with ``resumed=report``.
    :raises StreamMalformedError: if the upstream breaks the form of a stream.
    :raises ForeignAnswerError: if the answer belongs to another attempt.
    :raises CallerGoneError: if the caller closed its connection.
    :raises CallerSlowError: if the caller did not take its answer in time.
    """
    stream = _EventStream(
        answer=answer,
        caller=caller_socket,
        expect_id=expect_id,
        start=resumed or RelayReport(),
        before_first=before_first,
        timeouts=(first_event_timeout_s, idle_timeout_s, caller_timeout_s),
        clock=clock,
    )
    try:
        check_attempt(answer, expect_id)
        caller_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        with (
            kernel_timeouts(answer.sock, receive_s=CALLER_CHECK_S),
            kernel_timeouts(caller_socket, send_s=caller_timeout_s),
        ):
            stream.run()
    except (StreamError, CallerSlowError, CallerGoneError) as exc:
        exc.report = stream.report()
        raise
    finally:
        stream.close()
    return stream.report()


class _EventStream:
    """One stream on its way from an upstream to a caller."""

    __slots__ = (
        "_answer",
        "_before_first",
        "_block_at",
        "_caller",
        "_caller_timeout_s",
        "_clock",
        "_decoder",
        "_done",
        "_expect_id",
        "_first_event_timeout_s",
        "_first_at",
        "_gap_max_s",
        "_gaps_over",
        "_idle_timeout_s",
        "_last_at",
        "_next_id",
        "_partial",
        "_sent_bytes",
        "_verified",
        "_whole",
    )

    def __init__(
        self,
        *,
        answer: UpstreamAnswer,
        caller: socket.socket,
        expect_id: str,
        start: RelayReport,
        before_first: Callable[[], None] | None,
        timeouts: tuple[float, float, float],
        clock: Callable[[], float],
    ) -> None:
        self._answer = answer
        self._caller = caller
        self._expect_id = expect_id
        self._before_first = before_first
        self._first_event_timeout_s, self._idle_timeout_s, _ = timeouts
        self._caller_timeout_s = timeouts[2]
        self._clock = clock
        self._next_id = start.next_id
        self._sent_bytes = start.sent_bytes
        self._first_at = start.first_event_at
        self._last_at = start.last_event_at
        self._gap_max_s = start.gap_max_s
        self._gaps_over = start.gaps_over
        self._block_at = 0.0
        self._decoder = ChunkDecoder(peer=answer.peer)
        self._partial = b""
        self._verified = False
        self._done = False
        self._whole = False

    def report(self) -> RelayReport:
        return RelayReport(
            next_id=self._next_id,
            whole=self._whole,
            sent_bytes=self._sent_bytes,
            first_event_at=self._first_at,
            last_event_at=self._last_at,
            gap_max_s=self._gap_max_s,
            gaps_over=self._gaps_over,
        )

    def close(self) -> None:
        if self._whole and not self._decoder.spare:
            self._answer.release()
        else:
            self._answer.discard()

    def run(self) -> None:
        if not self._answer.chunked:
            raise self._malformed("the stream is not in chunked coding")
        if self._answer.leftover:
            self._block_at = self._clock()
            self._process_block(self._answer.leftover)
        while not self._whole:
            single_events = self._is_between_events()
            block = self._relay_single_events() if single_events else self._receive()
            if not block:
                raise self._truncated("closed before its end")
            self._process_block(block)

    def _is_between_events(self) -> bool:
        return (
            self._verified
            and not self._partial
            and not self._done
            and self._decoder.at_chunk_start
        )

    def _relay_single_events(self) -> bytes:
        """Move blocks that hold just the next event in a chunk of its own.

        Nearly all blocks do, and go to the caller as they are, chunk framing
        included. With hundreds of threads taking turns this code runs out of cold
        caches, where each call costs several times what it does alone; hence one
        loop over local names. A block's length tells what the size line of a sole
        chunk is, so that one comparison checks it together with the number of the
        event. Whatever looks different takes the long way.

        :returns: the first block that is not of this kind.
        """
        receive = self._answer.sock.recv
        send = self._caller.send
        clock = self._clock
        block_bytes = BLOCK_BYTES
        next_id = self._next_id
        last_at = self._last_at
        while True:
            try:
                block = receive(block_bytes)
            except OSError as exc:
                block = self._wait_for_block(exc)
            now = self._block_at = clock()
            length = len(block)
            if length < MIN_THREE_DIGIT_BLOCK_BYTES:
                start = b"%02x\r\nid: %d\n" % (length - 6, next_id)
            else:
                start = b"%03x\r\nid: %d\n" % (length - 7, next_id)
            if not (
                block.startswith(start)
                and block.endswith(EVENT_CHUNK_END)
                and block.count(b"\n") == EVENT_CHUNK_LINES
            ):
                return block
            try:
                sent = send(block)
            except OSError as exc:
                raise self._caller_failed(exc) from exc
            if sent != length:
                self._send_rest(block[sent:])
            self._next_id = next_id = next_id + 1
            self._sent_bytes += length
            gap = now - last_at
            self._last_at = last_at = now
            if gap > self._gap_max_s:
                self._gap_max_s = gap
            if gap > GAP_OBJECTIVE_S:
                self._gaps_over += 1

    def _receive(self) -> bytes:
        try:
            block = self._answer.sock.recv(BLOCK_BYTES)
        except OSError as exc:
            block = self._wait_for_block(exc)
        self._block_at = self._clock()
        return block

    def _wait_for_block(self, exc: OSError) -> bytes:
        """Wait on in slices, and look after each whether the caller has left."""
        limit_s = (
            self._idle_timeout_s if self._verified else self._first_event_timeout_s
        )
        end = self._clock() + limit_s - CALLER_CHECK_S
        while isinstance(exc, BlockingIOError):
            if _has_disconnected(self._caller):
                raise CallerGoneError("the caller left", step="relay")
            if self._clock() >= end:
                raise self._truncated(f"stalled for {limit_s:g} s")
            try:
                return self._answer.sock.recv(BLOCK_BYTES)
            except OSError as retry_exc:
                exc = retry_exc
        raise self._truncated(f"broken: {type(exc).__name__}") from exc

    def _process_block(self, block: bytes) -> None:
        """Pass on the whole events of any block, and keep what is cut."""
        try:
            payload = self._partial + self._decoder.feed(block)
        except ChunkError as exc:
            raise self._malformed(exc.message) from exc
        stop = payload.rfind(EVENT_END) + len(EVENT_END)
        events = payload[:stop] if stop >= len(EVENT_END) else b""
        self._partial = payload[len(events) :]
        if len(self._partial) > EVENT_LIMIT_BYTES:
            raise self._malformed("an event is too large")
        self._forward_events(events)

    def _forward_events(self, events: bytes) -> None:
        forwarded, next_id = self._validate(events)
        whole = self._decoder.done and self._done and not self._partial
        if whole and not self._attempt_confirmed():
            raise self._foreign("nothing names this attempt")
        out = encode_chunk(forwarded)
        if whole:
            out += END_OF_STREAM
        if next_id > self._next_id:
            self._record_gap()
        if out:
            self._send(out)
        # Only now: what was not given must be asked for again when resuming.
        self._next_id = next_id
        self._whole = whole
        if self._decoder.done and not whole:
            raise self._truncated("ended before its last event")

    def _validate(self, events: bytes) -> tuple[bytes, int]:
        """Return the events that go on now and the number of the one to follow.

        The last event, which ends the stream, is kept back until the upstream's
        body has ended too: were it given and the body then cut, resuming would
        give it a second time.
        """
        forwarded = []
        next_id = self._next_id
        for event in events[: -len(EVENT_END)].split(EVENT_END) if events else ():
            if self._done:
                raise self._malformed("an event follows the end")
            if event == DONE_EVENT:
                self._done = True
                continue
            if event.startswith(b"id: %d\n" % next_id):
                self._verify(event)
                next_id += 1
            elif not event.startswith(COMMENT):
                raise self._malformed(f"event {next_id} is not there")
            if self._attempt_confirmed():
                forwarded.append(event + EVENT_END)
        return b"".join(forwarded), next_id

    def _verify(self, event: bytes) -> None:
        """Refuse the first event if it belongs to another attempt."""
        if self._verified:
            return
        if _object_id(event) != self._expect_id:
            raise self._foreign("the first event names another attempt")
        self._verified = True

    def _attempt_confirmed(self) -> bool:
        """Tell whether the head or the first event has named this attempt."""
        return self._verified or self._answer.request_id == self._expect_id

    def _record_gap(self) -> None:
        now = self._block_at
        if self._last_at is None:
            self._first_at = now
        else:
            gap = now - self._last_at
            if gap > self._gap_max_s:
                self._gap_max_s = gap
            if gap > GAP_OBJECTIVE_S:
                self._gaps_over += 1
        self._last_at = now

    def _send(self, block: bytes) -> None:
        if self._before_first is not None:
            self._send_head()
        try:
            sent = self._caller.send(block)
        except OSError as exc:
            raise self._caller_failed(exc) from exc
        if sent != len(block):
            self._send_rest(block[sent:])
        self._sent_bytes += len(block)

    def _send_rest(self, rest: bytes) -> None:
        """Go on after a send that a signal or the timeout cut short."""
        end = self._block_at + self._caller_timeout_s
        try:
            while rest and self._clock() < end:
                rest = rest[self._caller.send(rest) :]
        except OSError as exc:
            raise self._caller_failed(exc) from exc
        if rest:
            raise self._caller_failed(BlockingIOError())

    def _caller_failed(self, exc: OSError) -> BaobabwingError:
        if isinstance(exc, BlockingIOError):
            return CallerSlowError(
                f"the caller took no block within {self._caller_timeout_s:g} s",
                step="relay",
            )
        return CallerGoneError("the caller left", step="relay")

    def _send_head(self) -> None:
        before_first, self._before_first = self._before_first, None
        before_first()

    def _truncated(self, message: str) -> StreamTruncatedError:
        return StreamTruncatedError(message, step="relay", peer=self._answer.peer)

    def _foreign(self, message: str) -> ForeignAnswerError:
        return ForeignAnswerError(message, step="relay", peer=self._answer.peer)

    def _malformed(self, message: str) -> StreamMalformedError:
        return StreamMalformedError(message, step="relay", peer=self._answer.peer)


def _object_id(event: bytes) -> str:
    """Return the id of an event's chunk object, or an empty string."""
    _, _, text = event.partition(b"\ndata: ")
    try:
        return str(json.loads(text)["id"])
    except (ValueError, KeyError, TypeError):
        return ""


def _has_disconnected(caller: socket.socket) -> bool:
    poll = select.poll()
    poll.register(caller, select.POLLRDHUP)
    return any(mask & _DISCONNECTED for _, mask in poll.poll(0))
