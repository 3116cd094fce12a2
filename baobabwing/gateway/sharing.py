"""Documents of the store, handed on between nodes.

A few nodes follow the store; all nodes follow two of these, by calls that are kept
waiting until there is something newer. So a change reaches a fleet within some ms at a
cost to the store that does not grow with it, and a node that is cut off from the store,
or that starts while it is away, takes what others have. Documents are opaque here:
whoever feeds the gateway encodes and decodes them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import urllib.parse
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import h11

from baobabwing.exceptions import BaobabwingError, ConnectionLostError, WireError
from baobabwing.fleet.host import Host
from baobabwing.gateway.connection import HttpConnection, open_connection
from baobabwing.gateway.events import DOCUMENT_TAKEN, SOURCE_PEER_LOST
from baobabwing.gateway.members import Members
from baobabwing.gateway.plain_http import PlainAnswer
from baobabwing.gateway.position import NOWHERE, Position
from baobabwing.reports.events import log

__all__ = ["Document", "DocumentName", "Sharing"]

_RESOURCE = "store"
# In fleets up to this size every node follows the store itself. In larger ones one in
# so many does, and at least so many: any three hosts may go at the same time. From some
# hundred on there are no more of them: what they ask of the store, 0.6 calls a second
# each, grew with the fleet otherwise, and one bears a hundred nodes that follow it.
_ALL_FOLLOW = 8
_ONE_IN = 8
_LEAST_FOLLOWERS = 4
_MOST_FOLLOWERS = 12
# Nodes that each node follows. With one, its end would cost as long as it takes to
# notice; a change binds everywhere within 2 s.
_SOURCES = 2
# A call is kept waiting this long, so that its answer shows that the peer is there.
_WAIT_S = 1.0
_TIMEOUT_S = 0.5
_RETRY_S = 0.25
# A node whose sources have shown no path to the store for this long follows it
# itself: longer than a call is kept waiting, short enough that a change still binds
# in time.
_NO_SOURCE_S = 1.7
_HEAD_BYTES = 8192
# After it has taken documents a node does not ask a source again for this long. While
# dozens of upstreams register in a row, each of 195 nodes took 48 lists of them in 5 s,
# a fifth of the processor time of its start; changes bind within 2 s.
_GATHER_S = 0.15


class DocumentName(StrEnum):
    """What is shared."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"


@dataclass(frozen=True, kw_only=True)
class Document:
    """One document as the store had it.

    :param position: rises with each change.
    """

    position: Position
    data: bytes


@dataclass(frozen=True, kw_only=True)
class _Delivery:
    """What a source answers.

    :param follows: whether it has a path to the store.
    """

    follows: bool
    documents: dict[DocumentName, Document]


class Sharing:
    """Documents of this node, and those that peers have newer.

    :param members: tell which nodes there are.
    :param on_document: takes a document that a peer had newer.
    :ivar on_regained: called when a peer has a path to the store again after none had.
    :ivar heard: set once each node that this one follows has answered, or once it is
        known that there is none.
    """

    def __init__(
        self,
        *,
        members: Members,
        on_document: Callable[[DocumentName, Document], None],
    ) -> None:
        self._members = members
        self._on_document = on_document
        self.on_regained: Callable[[], None] = lambda: None
        self._documents: dict[DocumentName, Document] = {}
        self._changed = asyncio.Event()
        self._answered: set[int] = set()
        self.heard = asyncio.Event()
        self._served_at = time.monotonic()
        self._store_away = True

    @property
    def store_away(self) -> bool:
        """Whether this node has no path to the store of its own."""
        return self._store_away

    @store_away.setter
    def store_away(self, away: bool) -> None:
        changed = away != self._store_away
        self._store_away = away
        if changed:
            self._wake()

    @property
    def follows_store(self) -> bool:
        """Whether this node is to follow the store itself.

        One that has just started reads once what it needs to serve. Whether it goes on
        is settled when it knows the others: a call that waits for changes would be
        made in vain by nearly all.
        """
        if self._members.joining and time.monotonic() - self._served_at < _NO_SOURCE_S:
            return any(self.position(name) == NOWHERE for name in DocumentName)
        total = len(self._members.serving())
        if total <= _ALL_FOLLOW:
            return True
        if self._members.settings.name in {host.name for host in self._followers()}:
            return True
        return time.monotonic() - self._served_at > _NO_SOURCE_S

    def keep(self, name: DocumentName, document: Document) -> None:
        """Keep a document for peers that ask; an older one is passed over."""
        if document.position > self.position(name):
            self._documents[name] = document
            self._wake()

    def position(self, name: DocumentName) -> Position:
        """Return the position of what this node has."""
        document = self._documents.get(name)
        return document.position if document else NOWHERE

    async def run(self) -> None:
        """Follow so many other nodes for as long as this one runs."""
        await asyncio.gather(*(self._follow(turn) for turn in range(_SOURCES)))

    async def answer(self, method: str, target: str) -> PlainAnswer:
        """Answer a peer that follows this node: with what is newer, or after a while.

        The query names the positions of what the peer has.
        """
        url = urllib.parse.urlsplit(target)
        if url.path != "/documents":
            return PlainAnswer(status=404)
        known = _positions(url.query)
        until = time.monotonic() + _WAIT_S
        follows = not self._store_away
        while not self._newer(known) and follows == (not self._store_away):
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        body = _pack(not self._store_away, self._newer(known))
        return PlainAnswer(status=200, body=body, content_type=b"text/plain")

    # Following others.

    def _followers(self) -> list[Host]:
        total = len(self._members.serving())
        count = min(max(-(-total // _ONE_IN), _LEAST_FOLLOWERS), _MOST_FOLLOWERS)
        return self._members.ranked(_RESOURCE, count)

    def _source(self, turn: int) -> Host | None:
        """Return the node to follow, another for each turn.

        Those that follow the store go in a ring, so that what one of them reads
        reaches all; the rest spread over them.
        """
        name = self._members.settings.name
        followers = self._followers()
        names = [host.name for host in followers]
        if name in names:
            at = names.index(name) + 1
            sources = followers[at:] + followers[: at - 1]
        else:
            sources = followers
            random.Random(f"{name}/{len(followers)}").shuffle(sources)
        return sources[turn] if turn < len(sources) else None

    async def _follow(self, turn: int) -> None:
        while True:
            source = self._source(turn)
            if source is None:
                if not self._members.joining:
                    self._note_heard(turn)
                await asyncio.sleep(_RETRY_S)
                continue
            try:
                await self._follow_source(turn, source)
            except (BaobabwingError, TimeoutError) as exc:
                log(SOURCE_PEER_LOST, peer=source.name, reason=repr(exc))
                await asyncio.sleep(_RETRY_S)

    async def _follow_source(self, turn: int, source: Host) -> None:
        conn = await open_connection(
            source.peer, timeout_s=_TIMEOUT_S, head_bytes=_HEAD_BYTES
        )
        try:
            while self._source(turn) == source:
                async with asyncio.timeout(_WAIT_S + _TIMEOUT_S):
                    delivery = await self._call(conn, source)
                if delivery.follows:
                    self._note_path()
                for name, document in delivery.documents.items():
                    self._take(source, name, document)
                self._note_heard(turn)
                if delivery.documents:
                    await asyncio.sleep(_GATHER_S)
        finally:
            conn.close()

    def _note_heard(self, turn: int) -> None:
        self._answered.add(turn)
        if len(self._answered) == _SOURCES:
            self.heard.set()

    def _note_path(self) -> None:
        now = time.monotonic()
        if now - self._served_at > _NO_SOURCE_S:
            self.on_regained()
        self._served_at = now

    async def _call(self, conn: HttpConnection, source: Host) -> _Delivery:
        known = {name.value: self.position(name) for name in DocumentName}
        target = f"/documents?{urllib.parse.urlencode(known)}"
        headers = [(b"Host", source.peer.encode())]
        await conn.send(h11.Request(method="GET", target=target, headers=headers))
        await conn.send(h11.EndOfMessage())
        status, body = 0, b""
        while not isinstance(event := await conn.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                raise ConnectionLostError("cut", step="documents", peer=source.peer)
        if status != 200:
            raise ConnectionLostError(
                f"status {status}", step="documents", peer=source.peer
            )
        conn.http.start_next_cycle()
        return _unpack(body, source.peer, have=self.position)

    def _take(self, source: Host, name: DocumentName, document: Document) -> None:
        before = self.position(name)
        if document.position <= before:
            return
        log(
            DOCUMENT_TAKEN,
            peer=source.name,
            document=name.value,
            position=str(document.position),
            before=str(before),
        )
        self.keep(name, document)
        self._on_document(name, document)

    def _newer(
        self, known: dict[DocumentName, Position]
    ) -> dict[DocumentName, Document]:
        return {
            name: document
            for name, document in self._documents.items()
            if document.position > known.get(name, NOWHERE)
        }

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _positions(query: str) -> dict[DocumentName, Position]:
    """Read what a peer has; what can't be read counts as nothing."""
    found = dict(urllib.parse.parse_qsl(query))
    positions = {}
    for name in DocumentName:
        with contextlib.suppress(KeyError, ValueError):
            positions[name] = Position.parse(found[name.value])
    return positions


def _pack(follows: bool, documents: dict[DocumentName, Document]) -> bytes:
    """Return a line of what follows, and the documents deflated."""
    bodies = {name: zlib.compress(one.data, 1) for name, one in documents.items()}
    words = [
        f"{name.value}:{documents[name].position}:{len(body)}"
        for name, body in bodies.items()
    ]
    head = " ".join([str(int(follows)), *words]).encode()
    return head + b"\n" + b"".join(bodies.values())


def _unpack(
    body: bytes,
    peer: str,
    *,
    have: Callable[[DocumentName], Position] = lambda name: NOWHERE,
) -> _Delivery:
    """Read an answer; documents that came by the other source stay packed.

    :param have: returns the position of what this node has by now.
    """
    head, _, rest = body.partition(b"\n")
    try:
        if not head:
            raise ValueError("empty")
        follows, *words = head.decode().split(" ")
        documents = {}
        for word in words:
            name, text, size = word.split(":")
            position = Position.parse(text)
            data, rest = rest[: int(size)], rest[int(size) :]
            if position > have(DocumentName(name)):
                documents[DocumentName(name)] = Document(
                    position=position, data=zlib.decompress(data)
                )
        return _Delivery(follows=follows == "1", documents=documents)
    except (ValueError, zlib.error) as exc:
        raise WireError(f"no documents: {exc!r}", step="documents", peer=peer) from exc
