"""Relay of event streams from an upstream's socket to a caller's.

A stream is relayed block by block, directly from socket to socket, since the
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

# At most the length of a chunk with a three-digit size, its framing included.
BLOCK_BYTES = 4_096
EVENT_LIMIT_BYTES = 256 * 1024
# Bytes that a slow caller can leave in the kernel's buffer before its relay blocks.
SEND_BUFFER_BYTES = 256 * 1024
FIRST_EVENT_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 10.0
CALLER_TIMEOUT_S = 5.0
# Interval of the checks for a disconnected caller while waiting for the upstream.
CALLER_CHECK_S = 0.5

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"
EVENT_CHUNK_END = EVENT_END + b"\r\n"
# The chunk's size line, its CRLF, and an event's number, data and empty line.
EVENT_CHUNK_LINES = 5
# From this length on, a block that consists of one chunk has a three-digit size.
MIN_THREE_DIGIT_BLOCK_BYTES = 0x100 + 6
COMMENT = b":"
END_OF_STREAM = encode_chunk(DONE_EVENT + EVENT_END) + LAST_CHUNK

_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def check_attempt(answer: UpstreamAnswer, expect_id: str) -> None:
    """Check the attempt id in the head of an answer.

    A head without an attempt id is accepted; the first event is checked then.

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
    """Relay a stream of server-sent events to its caller, as one chunked body.

    Only complete events are forwarded, in the order of their numbers. The end of
    the stream is forwarded only once the upstream's body has ended as well. The
    answer is always released or discarded here. A caller that blocks delays the
    upstream by at most ``caller_timeout_s`` per block.

    Takes time proportional to the bytes relayed, and memory for one block and one
    incomplete event.

    :param expect_id: the attempt that the answer must belong to.
    :param resumed: report of the broken relay that this one continues. For a caller
        that reconnected, a report with the ``next_id`` of its first missing event.
    :param before_first: called once before the first byte is sent to the caller,
        after the answer is confirmed to belong to this attempt; sends the head.
    :param first_event_timeout_s: longest wait for the first event.
    :param idle_timeout_s: longest wait between two blocks of the upstream.
    :param caller_timeout_s: longest time for the caller to receive one block.
    :returns: the report of a complete answer.
    :raises StreamTruncatedError: if the stream ended early; the relay can be
        continued by resuming the stream after ``report.last_event_id`` and passing
        ``resumed=report``.
    :raises StreamMalformedError: if the stream violates the stream format.
    :raises ForeignAnswerError: if the answer belongs to another attempt.
    :raises CallerGoneError: if the caller closed its connection.
    :raises CallerSlowError: if the caller did not receive its answer in time.
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
    """State of the relay of one stream from an upstream to a caller."""

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
            raise self._malformed("the stream is not in chunked transfer coding")
        if self._answer.leftover:
            self._block_at = self._clock()
            self._process_block(self._answer.leftover)
        while not self._whole:
            single_events = self._is_between_events()
            block = self._relay_single_events() if single_events else self._receive()
            if not block:
                raise self._truncated("connection closed before the end of the stream")
            self._process_block(block)

    def _is_between_events(self) -> bool:
        """Whether the next block may be relayed without parsing it."""
        return (
            self._verified
            and not self._partial
            and not self._done
            and self._decoder.at_chunk_start
        )

    def _relay_single_events(self) -> bytes:
        """Relay blocks that hold exactly the next event in a chunk of its own.

        Nearly all blocks do, and are forwarded unchanged, chunk framing included.
        With hundreds of threads taking turns this code runs with cold caches, where
        each call costs several times what it does alone; hence one loop over local
        names. The length of a block determines the size line of a single chunk, so
        one comparison checks the size line together with the event's number.

        :returns: the first block of any other kind, which needs full parsing.
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
        """Continue a receive that timed out, checking for a disconnected caller.

        :param exc: the error of the last receive.
        """
        limit_s = (
            self._idle_timeout_s if self._verified else self._first_event_timeout_s
        )
        end = self._clock() + limit_s - CALLER_CHECK_S
        while isinstance(exc, BlockingIOError):
            if _has_disconnected(self._caller):
                raise CallerGoneError("the caller left", step="relay")
            if self._clock() >= end:
                raise self._truncated(f"upstream stalled for {limit_s:g} s")
            try:
                return self._answer.sock.recv(BLOCK_BYTES)
            except OSError as retry_exc:
                exc = retry_exc
        raise self._truncated(f"connection failed: {type(exc).__name__}") from exc

    def _process_block(self, block: bytes) -> None:
        """Forward the complete events of a block and buffer an incomplete one."""
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
            raise self._foreign("neither head nor events name this attempt")
        out = encode_chunk(forwarded)
        if whole:
            out += END_OF_STREAM
        if next_id > self._next_id:
            self._record_gap()
        if out:
            self._send(out)
        # Updated only after sending: events that were not sent must be requested
        # again on resuming.
        self._next_id = next_id
        self._whole = whole
        if self._decoder.done and not whole:
            raise self._truncated("the body ended before the last event")

    def _validate(self, events: bytes) -> tuple[bytes, int]:
        """Return the events to forward now and the number of the next event.

        The final ``[DONE]`` event is held back until the upstream's body has ended
        too: if it were forwarded and the body then cut, resuming would send it a
        second time.
        """
        forwarded = []
        next_id = self._next_id
        for event in events[: -len(EVENT_END)].split(EVENT_END) if events else ():
            if self._done:
                raise self._malformed("an event follows [DONE]")
            if event == DONE_EVENT:
                self._done = True
                continue
            if event.startswith(b"id: %d\n" % next_id):
                self._verify(event)
                next_id += 1
            elif not event.startswith(COMMENT):
                raise self._malformed(f"event {next_id} is missing")
            if self._attempt_confirmed():
                forwarded.append(event + EVENT_END)
        return b"".join(forwarded), next_id

    def _verify(self, event: bytes) -> None:
        """Check that the first event belongs to this attempt."""
        if self._verified:
            return
        if _object_id(event) != self._expect_id:
            raise self._foreign("the first event names another attempt")
        self._verified = True

    def _attempt_confirmed(self) -> bool:
        """Whether the head or the first event has named this attempt."""
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
        """Send the rest after a signal or the timeout cut a send short."""
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
                f"the caller received no block within {self._caller_timeout_s:g} s",
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
