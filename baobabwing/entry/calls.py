"""A caller's HTTP call, and functions to send complete answers."""

from __future__ import annotations

import contextlib
import json
import math
import socket
import time
from collections.abc import Mapping
from typing import Any

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest

from baobabwing.entry.slow_senders import SlowSenderGuard
from baobabwing.entry.upstream import CallerGoneError
from baobabwing.exceptions import RequestError
from baobabwing.requests.outcome import Outcome

__all__ = ["HttpCall", "retry_headers", "send_bytes", "send_error", "send_json"]

DISCARD_TIMEOUT_S = 2.0
DISCARD_BLOCK_BYTES = 65_536

BODY_LIMIT_S = 30.0
_JSON_TYPE = "application/json"
_REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


class HttpCall:
    """A call whose head cheroot has parsed.

    :param req: cheroot's request.
    :param body_limit: largest body that is accepted, in bytes.
    :param slow_senders: closes the connection if the body arrives too slowly.
    """

    def __init__(
        self, *, req: HTTPRequest, body_limit: int, slow_senders: SlowSenderGuard
    ) -> None:
        self.req = req
        self.method = req.method.decode("latin-1")
        self.path = req.path.decode("latin-1")
        self.query = req.qs.decode("latin-1")
        self._body_limit = body_limit
        self._slow_senders = slow_senders
        self._body: bytes | None = None

    @property
    def caller_socket(self) -> socket.socket:
        """The socket to which the answer is sent."""
        return self.req.conn.socket

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        value = self.req.inheaders.get(name.title().encode("latin-1"), b"")
        return value.decode("latin-1")

    def headers(self) -> Mapping[str, str]:
        """Return all headers of the call."""
        return {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in self.req.inheaders.items()
        }

    def body(self) -> bytes:
        """Return the body, which is read on the first call.

        :raises RequestError: 413 if it is longer than the limit, 400 if its length
            or its chunked coding is malformed.
        :raises CallerGoneError: if the connection ends within it.
        """
        if self._body is None:
            with self._slow_senders.limit(self.caller_socket, BODY_LIMIT_S):
                self._body = self._read_body()
        return self._body

    def _read_body(self) -> bytes:
        length = int(self.req.inheaders.get(b"Content-Length", b"0"))
        if length < 0:
            self.req.close_connection = True
            raise RequestError(
                "the length of the body is not a length",
                status=400,
                code="bad_request",
                field="Content-Length",
                step="read",
            )
        if length > self._body_limit:
            raise self._too_large()
        try:
            body = self.req.rfile.read(self._body_limit + 1)
        except MaxSizeExceeded as exc:
            raise self._too_large() from exc
        except ValueError as exc:
            # A chunk size that is not a number: the start of the next chunk, and so
            # of the next request, cannot be determined.
            self.req.close_connection = True
            raise RequestError(
                "the body's chunks cannot be read",
                status=400,
                code="bad_request",
                field="body",
                step="read",
            ) from exc
        if len(body) > self._body_limit:
            raise self._too_large()
        if len(body) < length:
            # The server reports the end of a connection as the end of the body.
            raise CallerGoneError("the body has ended early", step="read")
        return body

    def _too_large(self) -> RequestError:
        # The rest of the body would be parsed as the next request.
        self.req.close_connection = True
        self._discard_rest()
        return RequestError(
            f"the body is longer than {self._body_limit} bytes",
            status=413,
            code="body_too_large",
            field="body",
            step="read",
        )

    def _discard_rest(self) -> None:
        """Read and drop the rest of an oversized body for a limited time.

        Closing the socket while the caller still sends resets the connection, and
        the reset destroys the error answer before the caller has read it.
        """
        discard_until = time.monotonic() + DISCARD_TIMEOUT_S
        with contextlib.suppress(OSError, MaxSizeExceeded):
            while time.monotonic() < discard_until and self.req.rfile.read(
                DISCARD_BLOCK_BYTES
            ):
                continue


def send_bytes(
    call: HttpCall,
    status: int,
    body: bytes,
    *,
    content_type: str,
    headers: Mapping[str, str] | None = None,
) -> None:
    """Send a complete answer."""
    req = call.req
    req.status = f"{status} {_REASONS.get(status, 'Status')}".encode("latin-1")
    fields = {"Content-Type": content_type, "Content-Length": str(len(body))}
    fields.update(headers or {})
    req.outheaders = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in fields.items()
    ]
    req.sent_headers = True
    req.send_headers()
    if call.method != "HEAD":
        req.conn.wfile.write(body)


def send_json(
    call: HttpCall,
    document: Any,
    *,
    status: int = 200,
    headers: Mapping[str, str] | None = None,
) -> None:
    """Send a JSON answer."""
    body = json.dumps(document, separators=(",", ":")).encode()
    send_bytes(call, status, body, content_type=_JSON_TYPE, headers=headers)


def send_error(
    call: HttpCall,
    exc: RequestError,
    *,
    outcome: Outcome,
    request_id: str = "",
    retry_after_s: float | None = None,
) -> None:
    """Send an error in the form that all errors to callers have.

    :param retry_after_s: time after which to retry, or ``None`` for no such header.
    """
    error = {
        "message": exc.message,
        "type": "baobabwing_error",
        "code": exc.code,
        "param": exc.field or None,
        "outcome": outcome.value,
        "request_id": request_id,
    }
    headers = retry_headers(retry_after_s)
    if request_id:
        headers["X-Request-Id"] = request_id
    send_json(call, {"error": error}, status=exc.status, headers=headers)


def retry_headers(retry_after_s: float | None) -> dict[str, str]:
    """Return the headers that state when to retry.

    >>> retry_headers(1.2)
    {'Retry-After': '2', 'Retry-After-Ms': '1200'}
    """
    if retry_after_s is None:
        return {}
    return {
        "Retry-After": str(max(1, math.ceil(retry_after_s))),
        "Retry-After-Ms": str(max(1, round(retry_after_s * 1000))),
    }
