"""Answers in one piece, which are read completely before they are forwarded."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

from baobabwing.entry.chunks import ChunkDecoder
from baobabwing.entry.relay_report import (
    CallerSlowError,
    ForeignAnswerError,
    StreamMalformedError,
    StreamTruncatedError,
)
from baobabwing.entry.socket_timeouts import interpreter_timeout
from baobabwing.entry.upstream import CallerGoneError, UpstreamAnswer

__all__ = ["read_body", "relay_body"]

BLOCK_BYTES = 16_384
BODY_LIMIT_BYTES = 8 * 1024 * 1024
IDLE_TIMEOUT_S = 10.0
CALLER_TIMEOUT_S = 5.0
HEAD_START = b"HTTP/1."


def read_body(
    *,
    answer: UpstreamAnswer,
    expect_id: str = "",
    limit_bytes: int = BODY_LIMIT_BYTES,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
) -> bytes:
    """Read a complete body of bounded size, and release or discard the answer.

    :param expect_id: the attempt that the head must name, unless empty.
    :param limit_bytes: largest body that is accepted.
    :param idle_timeout_s: longest wait for the next block.
    :raises ForeignAnswerError: if the answer belongs to another attempt.
    :raises StreamTruncatedError: if the connection failed or stalled.
    :raises StreamMalformedError: if the body is too large or its length unknown, or
        if other bytes follow it.
    :raises ChunkError: if its chunked coding is malformed.
    """
    whole = False
    try:
        if expect_id and answer.request_id != expect_id:
            raise ForeignAnswerError(
                "the head does not name this attempt", step="relay", peer=answer.peer
            )
        answer.sock.settimeout(idle_timeout_s)
        read = _read_whole(answer, limit_bytes)
        whole = read.sole
    finally:
        if whole:
            answer.release()
        else:
            answer.discard()
    return read.body


def relay_body(
    *,
    answer: UpstreamAnswer,
    caller_socket: socket.socket,
    send_head: Callable[[int], None],
    expect_id: str = "",
    limit_bytes: int = BODY_LIMIT_BYTES,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    caller_timeout_s: float = CALLER_TIMEOUT_S,
) -> int:
    """Read a complete body and then send it to the caller.

    :param send_head: called with the length of the body before the body is sent.
    :returns: the length of the body.
    :raises CallerGoneError: if the caller closed its connection.
    :raises CallerSlowError: if the caller did not receive the answer in time.
    """
    body = read_body(
        answer=answer,
        expect_id=expect_id,
        limit_bytes=limit_bytes,
        idle_timeout_s=idle_timeout_s,
    )
    send_head(len(body))
    with interpreter_timeout(caller_socket, caller_timeout_s):
        _send_whole(caller_socket, body)
    return len(body)


@dataclass(frozen=True, kw_only=True)
class _BodyRead:
    """A complete body.

    :param sole: whether no more bytes followed it on the connection.
    """

    body: bytes
    sole: bool


def _read_whole(answer: UpstreamAnswer, limit_bytes: int) -> _BodyRead:
    if answer.chunked:
        return _read_chunked(answer, limit_bytes)
    length = answer.content_length
    if length is None:
        raise _bad_body(answer, "the body has no length")
    if length > limit_bytes:
        raise _bad_body(answer, "the body is too large")
    body = bytearray(answer.leftover)
    while len(body) < length:
        body += _read_block(answer)
    spare = bytes(body[length:])
    if spare and not _is_second_answer(spare):
        raise _bad_body(answer, "the body is longer than its Content-Length")
    return _BodyRead(body=bytes(body[:length]), sole=not spare)


def _is_second_answer(spare: bytes) -> bool:
    """Whether the bytes after a body begin a duplicate of the answer.

    An upstream that answers twice has sent the complete answer all the same; only
    its connection cannot be used again. Any other bytes mean that the body did not
    end where its head or its last chunk said.
    """
    start = spare[: len(HEAD_START)]
    return start == HEAD_START[: len(start)]


def _read_chunked(answer: UpstreamAnswer, limit_bytes: int) -> _BodyRead:
    decoder = ChunkDecoder(peer=answer.peer)
    body = bytearray()
    block = answer.leftover
    while True:
        body += decoder.feed(block)
        if len(body) > limit_bytes:
            raise _bad_body(answer, "the body is too large")
        if decoder.done:
            break
        block = _read_block(answer)
    spare = bytes(decoder.spare)
    if spare and not _is_second_answer(spare):
        raise _bad_body(answer, "bytes follow the body")
    return _BodyRead(body=bytes(body), sole=not spare)


def _read_block(answer: UpstreamAnswer) -> bytes:
    try:
        block = answer.sock.recv(BLOCK_BYTES)
    except OSError as exc:
        raise StreamTruncatedError(
            f"connection failed: {type(exc).__name__}",
            step="read body",
            peer=answer.peer,
        ) from exc
    if not block:
        raise StreamTruncatedError(
            "connection closed before the end of the body",
            step="read body",
            peer=answer.peer,
        )
    return block


def _bad_body(answer: UpstreamAnswer, message: str) -> StreamMalformedError:
    return StreamMalformedError(message, step="read body", peer=answer.peer)


def _send_whole(caller: socket.socket, body: bytes) -> None:
    try:
        caller.sendall(body)
    except TimeoutError as exc:
        raise CallerSlowError(
            "the caller did not receive its answer in time", step="relay"
        ) from exc
    except OSError as exc:
        raise CallerGoneError("the caller left", step="relay") from exc
