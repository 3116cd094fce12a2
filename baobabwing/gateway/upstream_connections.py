"""Pool of persistent connections to upstreams, and reading of their answers."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import deque
from collections.abc import Callable, Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from enum import Enum, StrEnum
from http import HTTPStatus

import h11

from baobabwing.exceptions import (
    ConnectionLostError,
    ConnectionRefusedByPeerError,
    EndlessAnswerError,
    PeerClosedError,
)
from baobabwing.gateway.connection import HttpConnection
from baobabwing.gateway.decisions.told_load import ToldLoad, parse_told_load
from baobabwing.gateway.headers import HOP_BY_HOP, HeaderNames
from baobabwing.gateway.request_head import Headers
from baobabwing.gateway.upstream_paths import UpstreamPaths

__all__ = [
    "AnswerHead",
    "ConnectionPool",
    "Framing",
    "ProbeResult",
    "UpstreamConnection",
    "retry_after_s",
]

_EVENT_STREAM = b"text/event-stream"
# A reset within two connect times and this margin after sending may not be caused by
# the request: the upstream, or a proxy in front of it, may accept no connections.
_REFUSED_RESET_S = 0.005
# A proxy in front of an upstream that has ended accepts a connection, and closes it
# once it fails to connect; it may be late itself.
_REFUSED_CLOSE_S = 0.1
_LATE_REFUSED_CLOSE_S = 1.0
_PROBED_PATHS = 3
# Other upstreams that show whether the paths work on which one closes connections; some
# of them may have ended as well.
_COMPARED_UPSTREAMS = 3
# Answers without a body, whatever length they state.
_BODYLESS = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
# Interim answers that may come before the head of an answer.
_MAX_INTERIM_ANSWERS = 16
# Upper limit on the time for which an upstream can close itself by ``Retry-After``.
_MAX_CLOSED_S = 3600.0
# Longest text of a stated limit.
_MAX_LIMIT_BYTES = 32
# An upstream that states how long it keeps idle connections closes them at about that
# time; a request that is in transit then is lost.
_KEEP_ALIVE_MARGIN_S = 0.5
# For an upstream that does not state it; short, since the request that runs into the
# close may be one that must not be retried.
_IDLE_DEFAULT_S = 2.0
# A connection through another node is replaced after this time, which shows whether the
# direct path is back.
_MAX_TUNNEL_AGE_S = 4.0
# A body that is longer than this is written in parts, each once the peer has read most
# of those before it: all that is not yet sent would be copied.
_MAX_WRITE_BYTES = 64 * 1024
# A connection is closed after this many requests, all of whose ids it remembers.
_MAX_REQUESTS = 256


class Framing(StrEnum):
    """What marks the end of an answer's body.

    ``LENGTH``: its length; ``CHUNKS``: the last chunk; ``CLOSE``: the end of the
    connection, which also follows when the upstream breaks the answer off.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """Status and headers of an upstream's answer, with the decoded headers.

    :param headers: without hop-by-hop headers.
    :param framing: what marks the end of the body.
    :param length: stated length of the body; 0 if none is stated.
    :param event_stream: whether the body is an event stream, as far as its type says.
    :param request_id: id of the request that is answered, or empty.
    :param signed: whether the header is present that shows it is an upstream's own.
    :param not_executed: whether the upstream states that it did not run the request.
    :param leaving: whether the upstream announces that it is leaving.
    :param retry_after_s: how long the upstream accepts no requests; 0 if not stated.
    :param load: load that the upstream reports; ``None`` if it reports none.
    :param refusal_limit: requests a second that the upstream can refuse for load before
        it fails; ``None`` if not stated.
    :param rate_limit: requests a second that the upstream takes from all nodes;
        ``None`` if not stated.
    :param invalid_rate_limit: the value of that header if it is no such number.
    """

    status: int
    reason: bytes
    headers: Headers
    framing: Framing
    length: int
    event_stream: bool
    request_id: str
    signed: bool
    not_executed: bool
    leaving: bool
    retry_after_s: float
    load: ToldLoad | None
    refusal_limit: float | None
    rate_limit: float | None
    invalid_rate_limit: bytes | None


class ProbeResult(Enum):
    """What a new connection shows of an upstream that has closed another one.

    ``REFUSED``: no process accepts it. ``CLOSED``: it is accepted and closed at once,
    as by a proxy whose upstream has ended. ``OPEN``: the upstream is up. ``UNKNOWN``:
    too few paths showed anything, or they close connections to other upstreams too.
    """

    REFUSED = "refused"
    CLOSED = "closed"
    OPEN = "open"
    UNKNOWN = "unknown"


class UpstreamConnection:
    """A connection to one upstream incarnation.

    :param conn: the open connection.
    :param names: header names in use.
    :param opened_in_s: time to connect; at least one round trip.
    :param relay: address of the node through which it goes; empty if direct.
    :ivar opened_at: when it was opened, by the monotonic clock.

    Upstreams may send a late second copy of an answer, which only its request id tells
    from the answer to the next request. So no id is sent twice on one connection, and
    none is sent after an answer without an id.
    """

    def __init__(
        self,
        *,
        conn: HttpConnection,
        names: HeaderNames,
        opened_in_s: float = 0.0,
        relay: str = "",
    ) -> None:
        self.conn = conn
        self.relay = relay
        self.opened_at = time.monotonic()
        self._names = names
        self.opened_in_s = opened_in_s
        self._sent_at = 0.0
        self._keep_alive_s = _IDLE_DEFAULT_S
        self.idle_since = time.monotonic()
        self.used = False
        self._request_id = ""
        self._method = ""
        # Hashes, as callers choose the ids, and how long they are.
        self._sent_ids: set[int] = set()
        self._identified = True

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        *,
        request_id: str = "",
    ) -> None:
        """Write a request, a short one in a single write.

        This waits while the peer does not read.

        :param request_id: id that the answer repeats.
        """
        head = h11.Request(method=method, target=target, headers=headers)
        parts = [self.conn.http.send(head)]
        self._sent_at = time.monotonic()
        self._method = method
        self._request_id = request_id
        self._sent_ids.add(hash(request_id))
        for start in range(0, len(body), _MAX_WRITE_BYTES):
            if start:
                await self.conn.write(b"".join(parts))
                parts.clear()
            piece = body[start : start + _MAX_WRITE_BYTES]
            parts.append(self.conn.http.send(h11.Data(data=piece)))
        parts.append(self.conn.http.send(h11.EndOfMessage()))
        await self.conn.write(b"".join(part for part in parts if part))

    async def read_head(self) -> AnswerHead:
        """Read the head of the answer, skipping interim (1xx) ones.

        :raises PeerClosedError: if the connection ends before it.
        :raises EndlessAnswerError: after too many interim answers.
        """
        for _ in range(_MAX_INTERIM_ANSWERS + 1):
            event = await self.conn.next_event()
            if isinstance(event, h11.Response):
                return self._parse_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise PeerClosedError(
                    "connection closed before an answer",
                    step="head",
                    peer=self.conn.peer,
                )
        raise EndlessAnswerError(
            "interim answers without end", step="head", peer=self.conn.peer
        )

    def has_sent(self, request_id: str) -> bool:
        """Whether a request with this id was sent on this connection."""
        return hash(request_id) in self._sent_ids

    def is_answer(self, head: AnswerHead) -> bool:
        """Whether an answer belongs to the request that was sent last.

        One without an id does if no other request was sent on this connection.
        """
        if head.request_id:
            return head.request_id == self._request_id
        return not self.used

    async def read_body(self) -> bytes | None:
        """Return the next bytes of the body; ``None`` once it is complete.

        :raises PeerClosedError: if the connection ends within the body.
        """
        event = await self.conn.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise PeerClosedError(
            "connection closed within the body", step="body", peer=self.conn.peer
        )

    def may_have_closed_before_request(self, now: float) -> bool:
        """Whether the peer may have closed it before the request arrived.

        Only so for a new connection on which no byte was received.
        """
        if self.used or self.conn.received:
            return False
        return now - self._sent_at < 2 * self.opened_in_s + _REFUSED_RESET_S

    @property
    def reusable(self) -> bool:
        """Whether the next request may use this connection."""
        http = self.conn.http
        done = http.our_state is h11.DONE and http.their_state is h11.DONE
        if self._is_too_old(time.monotonic()):
            return False
        if len(self._sent_ids) >= _MAX_REQUESTS or not self._identified:
            return False
        return done and self.conn.clean and self._keep_alive_s > 0

    def set_idle(self, now: float) -> None:
        """Mark as idle; any data that arrives while idle aborts the connection."""
        self.conn.http.start_next_cycle()
        self.conn.on_unsolicited_data = self.conn.abort
        self.idle_since = now
        self.used = True

    def set_unused(self) -> None:
        """Mark as idle again; nothing was sent since it was idle or opened."""
        self.conn.on_unsolicited_data = self.conn.abort

    def likely_open(self, now: float) -> bool:
        """Whether a request may use this idle connection.

        The upstream probably still keeps it open, and so does the relay.
        """
        if self.conn.gone or self._is_too_old(now):
            return False
        return now - self.idle_since < self._keep_alive_s

    def set_busy(self) -> None:
        """Mark as in use by a request."""
        self.conn.on_unsolicited_data = None

    def _is_too_old(self, now: float) -> bool:
        return bool(self.relay) and now - self.opened_at > _MAX_TUNNEL_AGE_S

    def _body_length(self, event: h11.Response, values: dict[bytes, bytes]) -> int:
        """Return the stated length of the body that follows a head; 0 without one."""
        if self._method == "HEAD" or event.status_code in _BODYLESS:
            return 0
        if _parse_framing(values) is not Framing.LENGTH:
            return 0
        return int(values[b"content-length"])

    def _parse_head(self, event: h11.Response) -> AnswerHead:
        values: dict[bytes, bytes] = {}
        forwarded: Headers = []
        for name, value in event.headers.raw_items():
            low = name.lower()
            values.setdefault(low, value)
            if low not in HOP_BY_HOP:
                forwarded.append((name, value))
        self._keep_alive_s = _parse_keep_alive_s(values)
        names = self._names
        request_id = values.get(names.request_id, b"").decode("latin-1")
        self._identified = bool(request_id)
        stated = values.get(names.rate_limit)
        rate_limit = None if stated is None else _parse_limit(stated)
        return AnswerHead(
            status=event.status_code,
            reason=event.reason,
            headers=forwarded,
            framing=_parse_framing(values),
            length=self._body_length(event, values),
            event_stream=_may_be_event_stream(values),
            request_id=request_id,
            signed=names.signature in values,
            not_executed=names.not_executed in values,
            leaving=values.get(names.leaving, b"0").strip() not in (b"", b"0"),
            retry_after_s=retry_after_s(values.get(b"retry-after", b"")),
            load=parse_told_load(values.get(names.load), time.monotonic()),
            refusal_limit=_parse_limit(values.get(names.refusal_limit, b"")),
            rate_limit=rate_limit,
            invalid_rate_limit=stated if rate_limit is None else None,
        )


class ConnectionPool:
    """Persistent connections to all upstreams; the most recently used is reused first.

    :param names: header names in use.
    :param paths: opens connections; by default direct ones.
    :param listed: returns the address and instance of all listed upstreams.
    :param withdrawn: returns the addresses of nodes that are leaving or have ended. No
        request is sent through them: those that leave may not live until its answer.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        paths: UpstreamPaths | None = None,
        listed: Callable[[], Iterable[tuple[str, str]]] = tuple,
        withdrawn: Callable[[], AbstractSet[str]] = frozenset,
    ) -> None:
        self._withdrawn = withdrawn
        self._names = names
        self._paths = paths or UpstreamPaths()
        self._idle: dict[tuple[str, str], deque[UpstreamConnection]] = {}
        self._busy: dict[tuple[str, str], set[UpstreamConnection]] = {}
        self._listed = listed

    async def acquire(
        self,
        address: str,
        instance: str,
        *,
        request_id: str = "",
        new: bool = False,
        agreeing: int | None = None,
    ) -> UpstreamConnection:
        """Return an idle connection to an upstream, or a new one.

        :param request_id: id of the request; it was not sent on the connection before.
        :param new: open a new connection even if an idle one exists.
        :param agreeing: as in :meth:`UpstreamPaths.open`.
        :raises ConnectionLostError: if the upstream cannot be reached.
        """
        now = time.monotonic()
        idle = None if new else self._take_idle((address, instance), request_id, now)
        if idle is not None:
            idle.set_busy()
            self._busy.setdefault((address, instance), set()).add(idle)
            return idle
        path = await self._paths.open(address, agreeing=agreeing)
        connection = UpstreamConnection(
            conn=path.conn,
            names=self._names,
            opened_in_s=time.monotonic() - now,
            relay=path.relay,
        )
        self._busy.setdefault((address, instance), set()).add(connection)
        return connection

    def _take_idle(
        self, key: tuple[str, str], request_id: str, now: float
    ) -> UpstreamConnection | None:
        """Remove and return the idle connection used last that fits a request."""
        idle = self._idle.get(key, deque())
        unfit: list[UpstreamConnection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if not connection.likely_open(now) or self.is_withdrawn(connection):
                connection.conn.close()
            elif connection.has_sent(request_id):
                unfit.append(connection)
            else:
                found = connection
        idle.extend(reversed(unfit))
        return found

    def release(
        self, address: str, instance: str, connection: UpstreamConnection
    ) -> None:
        """Return a connection after an answer; one that cannot be reused is closed."""
        if not connection.relay and not connection.used:
            # An older connection may live on while new ones are refused.
            self._paths.confirm(address)
        if not connection.reusable or self.is_withdrawn(connection):
            self.discard(address, instance, connection)
            return
        self._remove_busy((address, instance), connection)
        connection.set_idle(time.monotonic())
        self._idle.setdefault((address, instance), deque()).append(connection)

    def put_back(
        self, address: str, instance: str, connection: UpstreamConnection
    ) -> None:
        """Return a connection on which nothing was sent since it was acquired."""
        if not connection.conn.clean or self.is_withdrawn(connection):
            self.discard(address, instance, connection)
            return
        self._remove_busy((address, instance), connection)
        connection.set_unused()
        self._idle.setdefault((address, instance), deque()).append(connection)

    def discard(
        self, address: str, instance: str, connection: UpstreamConnection
    ) -> None:
        """Abort a connection, so that the upstream stops its work."""
        self._remove_busy((address, instance), connection)
        connection.conn.abort()

    async def probe(
        self, address: str, instance: str, *, patient: bool = False
    ) -> ProbeResult:
        """Open a new connection to an upstream that has closed one.

        Idle ones show nothing; they may be closed for their age, or be kept open by a
        proxy. What one path shows may be true of the path alone, so others are tried;
        a node that stands still and does not answer delays nothing. A path that is cut
        off may accept and close connections to all upstreams, so others are compared.

        :param patient: wait for proxies that are late to close the connection.
        """
        wait_s = _LATE_REFUSED_CLOSE_S if patient else _REFUSED_CLOSE_S
        closing: set[str] = set()
        for _ in range(_PROBED_PATHS):
            try:
                connection = await self.acquire(
                    address, instance, new=True, agreeing=_PROBED_PATHS
                )
            except ConnectionRefusedByPeerError:
                return ProbeResult.REFUSED
            except ConnectionLostError:
                return ProbeResult.UNKNOWN
            if not await connection.conn.closes_within(wait_s):
                if patient:
                    # Another incarnation may have started there meanwhile.
                    self.discard(address, instance, connection)
                else:
                    self.put_back(address, instance, connection)
                return ProbeResult.OPEN
            closing.add(connection.relay)
            self._suspect(address, connection)
            self.discard(address, instance, connection)
        works = await self._any_path_works(closing, address, wait_s)
        return ProbeResult.CLOSED if works else ProbeResult.UNKNOWN

    async def _any_path_works(
        self, relays: Iterable[str], address: str, wait_s: float
    ) -> bool:
        """Whether another upstream is up by some of the paths that close connections.

        :param relays: nodes through which they go; empty for the direct path.
        :param address: upstream that closed connections.
        :param wait_s: time for which a connection has to stay open.
        """
        others = sorted({other for other, _ in self._listed()} - {address})
        if not others:
            return True
        compared = random.sample(others, min(_COMPARED_UPSTREAMS, len(others)))
        stays_open = await asyncio.gather(
            *(
                self._stays_open(other, relay, wait_s)
                for relay in relays
                for other in compared
            )
        )
        return any(stays_open)

    async def _stays_open(self, address: str, relay: str, wait_s: float) -> bool:
        try:
            conn = await self._paths.open_by(address, relay)
        except ConnectionLostError:
            return False
        try:
            return not await conn.closes_within(wait_s)
        finally:
            conn.abort()

    def suspect_path(self, address: str, connection: UpstreamConnection) -> None:
        """Take another path for a while if a lost connection was new and unanswered.

        A device on the path may accept connections for upstreams that it can't reach.
        """
        if not (connection.used or connection.conn.received):
            self._suspect(address, connection)

    def abandon(self, address: str, instance: str) -> None:
        """Abort all connections to an incarnation that has ended.

        If its host lost power, no reset arrives when the upstream starts again, and its
        requests would wait until their callers leave. Aborted, the reads of these
        connections fail as after a crash.
        """
        key = (address, instance)
        for connection in (*self._busy.pop(key, ()), *self._idle.pop(key, ())):
            connection.conn.abort()

    def may_use(self, connection: UpstreamConnection) -> bool:
        """Whether a request may be sent over a connection that was acquired before."""
        return not connection.conn.gone and not self.is_withdrawn(connection)

    def leave_withdrawn(self) -> None:
        """Close idle connections through nodes that are leaving or have ended."""
        withdrawn = self._withdrawn()
        if withdrawn:
            self._keep_idle(lambda key, one: one.relay not in withdrawn)

    def is_withdrawn(self, connection: UpstreamConnection) -> bool:
        """Whether a connection goes through a node that is leaving or has ended."""
        return bool(connection.relay) and connection.relay in self._withdrawn()

    def _suspect(self, address: str, connection: UpstreamConnection) -> None:
        self._paths.suspect(address, connection.relay, opened_at=connection.opened_at)

    def _remove_busy(
        self, key: tuple[str, str], connection: UpstreamConnection
    ) -> None:
        busy = self._busy.get(key)
        if busy is not None:
            busy.discard(connection)
            if not busy:
                del self._busy[key]

    def retain(self, instances: set[tuple[str, str]]) -> None:
        """Close idle connections that are stale or lead to other upstreams.

        :param instances: address and instance of the upstreams to keep.
        """
        now = time.monotonic()
        self._keep_idle(lambda key, one: key in instances and one.likely_open(now))

    def _keep_idle(
        self, keep: Callable[[tuple[str, str], UpstreamConnection], bool]
    ) -> None:
        """Close the idle connections that are not kept.

        :param keep: called with address and instance of an upstream and a connection.
        """
        for key in tuple(self._idle):
            idle = self._idle[key]
            live = deque(connection for connection in idle if keep(key, connection))
            for connection in idle:
                if connection not in live:
                    connection.conn.close()
            if live:
                self._idle[key] = live
            else:
                del self._idle[key]


def _parse_framing(values: dict[bytes, bytes]) -> Framing:
    if b"transfer-encoding" in values:
        return Framing.CHUNKS
    if b"content-length" in values:
        return Framing.LENGTH
    return Framing.CLOSE


def _may_be_event_stream(values: dict[bytes, bytes]) -> bool:
    content_type = values.get(b"content-type", _EVENT_STREAM).strip().lower()
    return content_type.startswith(_EVENT_STREAM)


def _parse_keep_alive_s(values: dict[bytes, bytes]) -> float:
    tokens = {
        token.strip() for token in values.get(b"connection", b"").lower().split(b",")
    }
    if b"close" in tokens:
        return 0.0
    for item in values.get(b"keep-alive", b"").lower().split(b","):
        name, _, value = item.strip().partition(b"=")
        if name == b"timeout" and value.isdigit():
            return max(int(value) - _KEEP_ALIVE_MARGIN_S, 0.0)
    return _IDLE_DEFAULT_S


def retry_after_s(value: bytes) -> float:
    """Decode a ``Retry-After`` header.

    :returns: seconds, limited to one hour; 0 for a date or anything else that is not a
        positive number.
    """
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return min(seconds, _MAX_CLOSED_S) if seconds > 0 else 0.0


def _parse_limit(value: bytes) -> float | None:
    """Return a limit that is a finite number from 0 on; ``None`` for anything else."""
    if len(value) > _MAX_LIMIT_BYTES:
        return None
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None
