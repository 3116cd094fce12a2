"""Reading of short answers that a node asks for itself."""

from __future__ import annotations

from dataclasses import dataclass, field

import h11

from baobabwing.exceptions import ConnectionLostError, EndlessAnswerError
from baobabwing.gateway.connection import HttpConnection

__all__ = ["PlainResponse", "read_response"]


@dataclass(frozen=True, kw_only=True)
class PlainResponse:
    """A whole answer.

    :param headers: values by name in lower case; the last one of a repeated name.
    """

    status: int
    body: bytes
    headers: dict[bytes, bytes] = field(default_factory=dict)


async def read_response(
    conn: HttpConnection, *, max_bytes: int, step: str
) -> PlainResponse:
    """Read an answer to its end.

    :param max_bytes: longest body.
    :param step: what it is read for, for errors.
    :raises ConnectionLostError: if the connection ends before it.
    :raises EndlessAnswerError: if its body is longer.
    """
    status, headers = 0, {}
    body = bytearray()
    while not isinstance(event := await conn.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Response):
            status, headers = event.status_code, dict(event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_bytes:
                raise EndlessAnswerError(
                    f"answer over {max_bytes} bytes", step=step, peer=conn.peer
                )
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionLostError("closed", step=step, peer=conn.peer)
    return PlainResponse(status=status, body=bytes(body), headers=headers)
