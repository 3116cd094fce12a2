"""Encoding and incremental decoding of chunked transfer coding."""

from __future__ import annotations

import re

from baobabwing.exceptions import UpstreamError

__all__ = ["LAST_CHUNK", "ChunkDecoder", "ChunkError", "encode_chunk"]

LAST_CHUNK = b"0\r\n\r\n"
CHUNK_LIMIT_BYTES = 16 * 1024 * 1024
SIZE_LINE_LIMIT_BYTES = 256
TRAILER_LIMIT_BYTES = 8_192

_CRLF = b"\r\n"
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")


class ChunkError(UpstreamError):
    """A body in chunked transfer coding is malformed or exceeds a limit."""


def encode_chunk(payload: bytes) -> bytes:
    """Return one chunk, or no bytes for an empty payload."""
    if not payload:
        return b""
    return b"%x\r\n%b\r\n" % (len(payload), payload)


class ChunkDecoder:
    """Incremental decoder of one body; blocks may end anywhere.

    It buffers no payload, and at most one incomplete line. It takes time
    proportional to the bytes fed and the chunks in them.

    :param peer: address of the sender, for errors.
    :ivar done: whether the last chunk and its trailer were read.
    :ivar spare: bytes received after the end of the body.
    """

    __slots__ = (
        "_expects_crlf",
        "_remaining",
        "_line",
        "_peer",
        "_trailer_bytes",
        "done",
        "spare",
    )

    def __init__(self, *, peer: str = "") -> None:
        self.done = False
        self.spare = b""
        self._peer = peer
        self._line = b""
        self._remaining = 0
        self._expects_crlf = False
        self._trailer_bytes = -1

    @property
    def at_chunk_start(self) -> bool:
        """Whether the next byte is the first of a chunk's size line."""
        return not (
            self._remaining
            or self._line
            or self._expects_crlf
            or self.done
            or self._trailer_bytes >= 0
        )

    def feed(self, block: bytes) -> bytes:
        """Decode a block and return the payload in it.

        :raises ChunkError: if the block cannot be part of a chunked body.
        """
        parts = []
        offset = 0
        while offset < len(block) and not self.done:
            if self._remaining:
                part = block[offset : offset + self._remaining]
                parts.append(part)
                offset += len(part)
                self._remaining -= len(part)
                self._expects_crlf = not self._remaining
            else:
                offset = self._read_line(block, offset)
        self.spare += block[offset:]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _read_line(self, block: bytes, offset: int) -> int:
        """Continue reading a line; return the offset in the block after it."""
        end = block.find(b"\n", offset)
        stop = len(block) if end < 0 else end + 1
        self._line += block[offset:stop]
        if len(self._line) > self._line_limit():
            raise self._error("a line is too long")
        if end >= 0:
            line, self._line = self._line, b""
            self._end_line(line)
        return stop

    def _line_limit(self) -> int:
        if self._expects_crlf:
            return len(_CRLF)
        return SIZE_LINE_LIMIT_BYTES if self._trailer_bytes < 0 else TRAILER_LIMIT_BYTES

    def _end_line(self, line: bytes) -> None:
        if not line.endswith(_CRLF):
            raise self._error("a line does not end with CRLF")
        text = line[: -len(_CRLF)]
        if self._expects_crlf:
            self._expects_crlf = False
        elif self._trailer_bytes >= 0:
            self._end_trailer_line(text)
        else:
            self._start_chunk(text)

    def _start_chunk(self, text: bytes) -> None:
        size_line = _SIZE_LINE.fullmatch(text)
        if size_line is None:
            raise self._error("a chunk has no valid size line")
        size = int(size_line[1], 16)
        if size > CHUNK_LIMIT_BYTES:
            raise self._error("a chunk is too large")
        if size == 0:
            self._trailer_bytes = 0
        self._remaining = size

    def _end_trailer_line(self, text: bytes) -> None:
        if not text:
            self.done = True
        self._trailer_bytes += len(text) + len(_CRLF)
        if self._trailer_bytes > TRAILER_LIMIT_BYTES:
            raise self._error("the trailer is too long")

    def _error(self, message: str) -> ChunkError:
        return ChunkError(message, step="decode chunks", peer=self._peer)
