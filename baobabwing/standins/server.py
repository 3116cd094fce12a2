"""HTTP server shared by all stand-ins, with one thread per connection."""

from __future__ import annotations

import errno
import json
import re
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import parse_qsl, unquote

from cheroot.server import Gateway, HTTPServer

from baobabwing.exceptions import RequestError

__all__ = [
    "Answer",
    "Application",
    "Exchange",
    "Routes",
    "StandinServer",
    "json_answer",
]

BODY_LIMIT_BYTES = 64 * 1024 * 1024
LISTEN_BACKLOG = 512
SOCKET_TIMEOUT_S = 60.0
_BODILESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


@dataclass(frozen=True, kw_only=True)
class Answer:
    """An HTTP response with a body of known length."""

    status: int = HTTPStatus.OK
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


def json_answer(
    document: object, *, status: int = HTTPStatus.OK, **headers: str
) -> Answer:
    """Return an answer with a JSON body.

    :param headers: additional headers; ``_`` in a name stands for ``-``.
    """
    named_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return Answer(
        status=status,
        body=json.dumps(document, separators=(",", ":")).encode(),
        headers={"Content-Type": "application/json", **named_headers},
    )


class Exchange:
    """One HTTP request and the methods that send its response.

    :param req: the request as cheroot parsed it.
    """

    def __init__(self, *, req: Any) -> None:
        self._req = req
        self.method: str = req.method.decode("ascii")
        self.path: str = unquote(req.path.decode("latin-1"))
        self.parameters: dict[str, str] = {}

    @property
    def peer(self) -> str:
        """IP address of the client."""
        return self._req.conn.remote_addr or ""

    @property
    def sock(self) -> socket.socket:
        """Socket of the connection, for streams."""
        return self._req.conn.socket

    @cached_property
    def query(self) -> dict[str, str]:
        """Query parameters; a repeated name keeps its last value."""
        return dict(parse_qsl(self._req.qs.decode("latin-1"), keep_blank_values=True))

    def query_number(self, name: str) -> int:
        """Return a query parameter as a number, or 0 if it is absent.

        :raises RequestError: if it is not a non-negative integer.
        """
        value = self.query.get(name, "0")
        if not value.isdecimal():
            raise RequestError(
                f"{name} is not a number",
                status=HTTPStatus.BAD_REQUEST,
                code="bad_field",
                field=name,
            )
        return int(value)

    def header(self, name: str, default: str = "") -> str:
        """Return a header's value, or the default if it is absent."""
        value = self._req.inheaders.get(name.title().encode("ascii"))
        return default if value is None else value.decode("latin-1")

    @cached_property
    def body(self) -> bytes:
        """Request body, read on first access."""
        return self._req.rfile.read()

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object; an empty body counts as ``{}``.

        :raises RequestError: if the body is not a JSON object.
        """
        try:
            document = json.loads(self.body or b"{}")
        except ValueError as exc:
            raise RequestError(
                "the body is not JSON", status=HTTPStatus.BAD_REQUEST, code="bad_json"
            ) from exc
        if not isinstance(document, dict):
            raise RequestError(
                "the body is not an object",
                status=HTTPStatus.BAD_REQUEST,
                code="bad_json",
            )
        return document

    def send(self, answer: Answer) -> None:
        """Send a complete response."""
        self._prepare_head(answer.status, answer.headers)
        if answer.status not in _BODILESS_STATUSES:
            length = str(len(answer.body)).encode("ascii")
            self._req.outheaders.append((b"Content-Length", length))
        self._req.ensure_headers_sent()
        if answer.body:
            self._req.write(answer.body)

    def send_again(self, answer: Answer) -> None:
        """Send a second copy of a response on the same connection."""
        self._req.sent_headers = False
        self._req.outheaders.clear()
        self.send(answer)

    def start_stream(self, headers: Mapping[str, str]) -> socket.socket:
        """Send the head of a chunked response.

        The chunks are written to the returned socket, framed by the caller;
        the last, empty chunk is written when the handler returns.
        """
        self._prepare_head(HTTPStatus.OK, headers)
        self._req.ensure_headers_sent()
        return self.sock

    def restart_stream(self, headers: Mapping[str, str]) -> None:
        """Send the head of a chunked response again."""
        self._req.sent_headers = False
        self._req.outheaders.clear()
        self.start_stream(headers)

    def abort(self) -> None:
        """Close the connection without completing the response.

        :raises ConnectionResetError: always, to leave the handler.
        """
        self._req.sent_headers = True
        self._req.close_connection = True
        raise ConnectionResetError(errno.ECONNRESET, "cut by a fault")

    def _prepare_head(self, status: int, headers: Mapping[str, str]) -> None:
        # An unread body would be parsed as the head of the next request.
        _ = self.body
        phrase = HTTPStatus(status).phrase
        self._req.status = f"{int(status)} {phrase}".encode("ascii")
        self._req.outheaders.extend(
            (name.encode("ascii"), value.encode("latin-1"))
            for name, value in headers.items()
        )


Handler = Callable[[Any, Exchange], None]


@dataclass(frozen=True, kw_only=True)
class _Route:
    method: str
    pattern: re.Pattern[str]
    handler: Handler


class Routes:
    """Registry that maps methods and paths to handlers."""

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def add(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers a handler for a method and path.

        :param method: HTTP method, or ``*`` for any.
        :param path: path pattern; ``{name}`` matches one segment, ``{name*}`` the
            rest of the path.
        """
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path)
        pattern = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.+)", pattern)

        def register(handler: Handler) -> Handler:
            route = _Route(method=method, pattern=re.compile(pattern), handler=handler)
            self._routes.append(route)
            return handler

        return register

    def find(self, exchange: Exchange) -> Handler | None:
        """Return the first matching handler, or none.

        Sets the exchange's ``parameters`` to the values matched in the path.
        """
        for route in self._routes:
            if route.method not in ("*", exchange.method):
                continue
            path_match = route.pattern.fullmatch(exchange.path)
            if path_match:
                exchange.parameters = path_match.groupdict()
                return route.handler
        return None


class Application(Protocol):
    """Interface that the server requires of a stand-in."""

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""


class _CherootGateway(Gateway):
    def respond(self) -> None:
        exchange = Exchange(req=self.req)
        try:
            self.req.server.application.handle(exchange)
        except RequestError as exc:
            exchange.send(_error_answer(exc))


def _error_answer(exc: RequestError) -> Answer:
    error = {"message": exc.message, "code": exc.code, "type": "invalid_request_error"}
    return json_answer({"error": error}, status=exc.status)


class StandinServer(HTTPServer):
    """A cheroot server that passes each request to an application.

    :param listen: host and port; port 0 selects a free port.
    :param application: application that answers the requests.
    :param threads: maximum number of requests answered concurrently.
    """

    max_request_body_size = BODY_LIMIT_BYTES
    request_queue_size = LISTEN_BACKLOG
    timeout = SOCKET_TIMEOUT_S
    keep_alive_conn_limit = None
    shutdown_timeout = 1

    def __init__(
        self, *, listen: tuple[str, int], application: Application, threads: int
    ) -> None:
        super().__init__(
            listen, _CherootGateway, minthreads=threads, maxthreads=threads
        )
        self.application = application

    @property
    def address(self) -> str:
        """Listening address as ``host:port``; known after ``prepare()``."""
        host, port = self.bind_addr
        return f"{host}:{port}"

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log errors only; broken connections are expected when faults are injected."""
        if level >= 40:
            super().error_log(msg, level, traceback)
