"""Small HTTP server for readiness, metrics, caller addresses and peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from baobabwing.exceptions import ConnectionLostError, MalformedError
from baobabwing.gateway.connection import HttpConnection
from baobabwing.gateway.listener import Listener

__all__ = ["PlainAnswer", "PlainServer"]

_HEAD_BYTES = 8192
_IDLE_TIMEOUT_S = 30.0


@dataclass(frozen=True, kw_only=True)
class PlainAnswer:
    """Status, body and content type of an answer."""

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"


Handler = Callable[[str, str], Awaitable[PlainAnswer]]


class PlainServer:
    """Answers requests without a body on one address.

    :param answer: called with method and target; returns the answer.
    :param name: as in :class:`Listener`.
    :param bound: as in :class:`Listener`.
    """

    def __init__(
        self,
        *,
        answer: Handler,
        name: str = "",
        bound: Callable[[], int] | None = None,
    ) -> None:
        self._answer = answer
        self._listener = Listener(
            serve=self._serve, head_bytes=lambda: _HEAD_BYTES, name=name, bound=bound
        )

    async def start(self, address: str) -> None:
        """Start listening on ``ip:port``."""
        await self._listener.start(address)

    def stop(self) -> None:
        """Stop listening and abort open connections."""
        self._listener.stop()

    async def _serve(self, conn: HttpConnection) -> None:
        with contextlib.suppress(ConnectionLostError, MalformedError, TimeoutError):
            while await self._serve_request(conn):
                conn.http.start_next_cycle()
        conn.close()

    async def _serve_request(self, conn: HttpConnection) -> bool:
        conn.await_request()
        async with asyncio.timeout(_IDLE_TIMEOUT_S):
            request = await conn.next_event()
            if not isinstance(request, h11.Request):
                return False
            while not isinstance(await conn.next_event(), h11.EndOfMessage):
                pass
        conn.take_request()
        method = request.method.decode("ascii")
        answer = await self._answer(method, request.target.decode("latin-1"))
        headers = [(b"Content-Length", b"%d" % len(answer.body))]
        if answer.body:
            headers.append((b"Content-Type", answer.content_type))
        await conn.send(h11.Response(status_code=answer.status, headers=headers))
        if answer.body:
            await conn.send(h11.Data(data=answer.body))
        await conn.send(h11.EndOfMessage())
        return conn.http.our_state is h11.DONE
