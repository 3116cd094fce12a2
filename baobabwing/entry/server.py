"""HTTP server for callers, based on cheroot."""

from __future__ import annotations

import contextlib
import sys
import threading
from collections.abc import Iterator
from http import HTTPStatus

from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer

from baobabwing.entry.calls import HttpCall, send_error
from baobabwing.entry.context import EntryContext
from baobabwing.entry.events import REQUEST_FAULT
from baobabwing.entry.relay_report import CallerSlowError
from baobabwing.entry.routes import find_route
from baobabwing.entry.slow_senders import SlowSenderGuard
from baobabwing.entry.upstream import CallerGoneError
from baobabwing.exceptions import RequestError
from baobabwing.reports.events import log
from baobabwing.reports.faults import describe_fault
from baobabwing.requests.outcome import Outcome

__all__ = ["EntryServer"]

RECEIVE_TIMEOUT_S = 10.0
HEAD_LIMIT_S = 10.0
LISTEN_BACKLOG = 512
# Threads mostly wait on sockets, with shallow stacks.
STACK_BYTES = 256 * 1024
UNREADY_RETRY_S = 1.0


class _Connection(HTTPConnection):
    """A caller's connection, counted as open until it closes.

    It counts as busy from the first bytes of a request to the last of its answer.
    """

    def __init__(self, server: _Server, *args: object) -> None:
        super().__init__(server, *args)
        self._counted = True
        server.open_connections += 1

    def communicate(self) -> bool:
        with self.server.counted_busy():
            return super().communicate()

    def close(self) -> None:
        super().close()
        if self._counted:
            self._counted = False
            self.server.open_connections -= 1


class _Request(HTTPRequest):
    """A request whose head has to arrive within ``HEAD_LIMIT_S``."""

    def parse_request(self) -> None:
        with self.server.slow_senders.limit(self.conn.socket, HEAD_LIMIT_S):
            super().parse_request()


_Connection.RequestHandlerClass = _Request


class _Server(HTTPServer):
    """cheroot's server with protection against idle and slow callers."""

    ConnectionClass = _Connection

    def __init__(self, *, connection_limit: int, **options: object) -> None:
        super().__init__(**options)
        self.open_connections = 0
        self.busy_connections = 0
        self._busy_lock = threading.Lock()
        self.slow_senders = SlowSenderGuard()
        self._connection_limit = connection_limit

    @contextlib.contextmanager
    def counted_busy(self) -> Iterator[None]:
        """Count a connection as busy while the block runs."""
        with self._busy_lock:
            self.busy_connections += 1
        try:
            yield
        finally:
            with self._busy_lock:
                self.busy_connections -= 1

    def process_conn(self, conn: HTTPConnection) -> None:
        """Pass a connection to a thread, but a new one only once it is readable.

        cheroot passes new connections to a thread at once. Idle connections would
        then occupy all threads until they time out, and the node would not answer.
        """
        if conn.last_used is not None:
            super().process_conn(conn)
        elif self.open_connections > self._connection_limit:
            conn.close()
        else:
            self._connections.put(conn)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        exc = sys.exc_info()[1]
        log(REQUEST_FAULT, error=describe_fault(exc) if exc else msg[:500])


class EntryServer:
    """Serves callers, with one thread per open request.

    :param context: components of the node that serve calls.
    """

    def __init__(self, *, context: EntryContext) -> None:
        cfg = context.settings
        host, _, port = cfg.http.rpartition(":")
        self._server = _Server(
            connection_limit=cfg.limits.connections,
            bind_addr=(host, int(port)),
            gateway=lambda req: _EntryGateway(req, context),
            minthreads=cfg.limits.worker_threads,
            maxthreads=cfg.limits.worker_threads,
            server_name="baobabwing",
        )
        self._server.max_request_header_size = cfg.limits.header_bytes
        self._server.timeout = RECEIVE_TIMEOUT_S
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.keep_alive_conn_limit = cfg.limits.connections
        self._thread = threading.Thread(
            target=self._server.serve, name="entry", daemon=True
        )

    def start(self) -> None:
        """Bind the address and start serving."""
        # cheroot starts its threads in prepare(); the stack size is set for them
        # only.
        before = threading.stack_size(STACK_BYTES)
        try:
            self._server.prepare()
        finally:
            threading.stack_size(before)
        self._server.slow_senders.start()
        self._thread.start()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered, also one in part."""
        return self._server.busy_connections > 0

    def stop(self) -> None:
        """Close the listening socket and end the threads."""
        self._server.slow_senders.stop()
        self._server.shutdown_timeout = 1
        self._server.stop()


class _EntryGateway(Gateway):
    """Finds the route of a call and converts errors to answers."""

    def __init__(self, req: object, context: EntryContext) -> None:
        super().__init__(req)
        self._context = context

    def respond(self) -> None:
        limit = self._context.settings.limits.body_bytes
        slow_senders = self.req.server.slow_senders
        call = HttpCall(req=self.req, body_limit=limit, slow_senders=slow_senders)
        try:
            find_route(call.method, call.path).serve(self._context, call)
        except RequestError as exc:
            self._refuse(call, exc)
        except (CallerGoneError, CallerSlowError):
            self.req.close_connection = True
        except OSError:
            self.req.close_connection = True
            raise
        except Exception as exc:
            log(REQUEST_FAULT, error=describe_fault(exc))
            self.req.close_connection = True
            if not self.req.sent_headers:
                self._answer_fault(call)

    def _refuse(self, call: HttpCall, exc: RequestError) -> None:
        retry_s = exc.retry_after_s
        if retry_s is None and exc.status == HTTPStatus.SERVICE_UNAVAILABLE:
            retry_s = UNREADY_RETRY_S
        send_error(call, exc, outcome=Outcome.NOT_RUN, retry_after_s=retry_s)

    def _answer_fault(self, call: HttpCall) -> None:
        fault = RequestError("a fault of the scheduler", status=500, code="fault")
        send_error(call, fault, outcome=Outcome.UNKNOWN)
