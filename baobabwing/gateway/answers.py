"""Answers to callers: relayed from an upstream, or the gateway's own refusals."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import h11

from baobabwing.gateway.connection import HttpConnection
from baobabwing.gateway.request_head import Headers

__all__ = ["CallerAnswer", "Refusal"]

# Longer parts of a body are written one by one, each once the caller has read most of
# those before it: all that is not yet sent would be copied.
_MAX_WRITE_BYTES = 64 * 1024
_NO_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A final answer of the gateway itself, without an upstream's.

    :param code: stable identifier of the reason, for programs and logs.
    :param retry_after_s: when to retry; set only if the request did not run.
    :param reason: details for the log; empty if the code says all.
    """

    status: int
    code: str
    retry_after_s: float | None = None
    reason: str = ""


class CallerAnswer:
    """The answer to one request on a caller's connection.

    :param conn: the caller's connection.
    :param closes: whether to close the connection after this answer, whatever follows.
    :param is_last: asked as the answer begins, whether it is the last one.
    :ivar on_start: called as the answer begins.
    """

    def __init__(
        self,
        *,
        conn: HttpConnection,
        closes: bool = False,
        is_last: Callable[[], bool] = lambda: False,
    ) -> None:
        self.conn = conn
        self.closes = closes
        self._is_last = is_last
        self.status = 0
        self.ended = False
        self.on_start: Callable[[], None] = lambda: None
        self._ends_with_connection = False

    @property
    def started(self) -> bool:
        """Whether a part of the answer has been sent."""
        return self.status > 0

    async def start(self, status: int, reason: bytes, headers: Headers) -> None:
        """Send the head of an upstream's answer."""
        names = {name.lower() for name, _ in headers}
        framed = list(headers)
        if b"content-length" not in names and status not in _NO_BODY:
            framed.append((b"Transfer-Encoding", b"chunked"))
            self._ends_with_connection = self.conn.http.their_http_version == b"1.0"
        if self.closes or self._is_last():
            framed.append((b"Connection", b"close"))
        self.status = status
        self.on_start()
        if self._ends_with_connection:
            # A caller without chunks takes a regular close for the end of the answer.
            self.conn.set_reset_on_close(True)
        await self.conn.send(
            h11.Response(status_code=status, headers=framed, reason=reason)
        )

    async def data(self, piece: bytes | bytearray) -> None:
        """Send a part of the body."""
        if len(piece) <= _MAX_WRITE_BYTES:
            if piece:
                await self.conn.send(h11.Data(data=bytes(piece)))
            return
        for start in range(0, len(piece), _MAX_WRITE_BYTES):
            part = bytes(piece[start : start + _MAX_WRITE_BYTES])
            await self.conn.send(h11.Data(data=part))

    async def end(self) -> None:
        """Send the end of the answer."""
        await self.conn.send(h11.EndOfMessage())
        if self._ends_with_connection:
            self.conn.set_reset_on_close(False)
        self.ended = True

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the complete answer."""
        body = json.dumps({"error": refusal.code}).encode()
        headers: Headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        if refusal.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % refusal.retry_after_s))
        reason = HTTPStatus(refusal.status).phrase.encode()
        await self.start(refusal.status, reason, headers)
        await self.data(body)
        await self.end()
