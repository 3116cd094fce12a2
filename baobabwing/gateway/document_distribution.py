"""Distribution of the store's documents between nodes.

A few nodes follow the store; every node follows two of these, by long polling. So a
change reaches the whole fleet within some ms at a cost to the store that does not grow
with the fleet, and a node that is partitioned from the store, or that starts while it
is unavailable, receives the documents of its peers. Documents are opaque here: the
platform's adapter encodes and decodes them.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import time
import urllib.parse
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import h11

from baobabwing.exceptions import (
    BaobabwingError,
    ConnectionLostError,
    EndlessAnswerError,
    WireError,
)
from baobabwing.fleet.host import Host
from baobabwing.gateway.connection import HttpConnection, open_connection
from baobabwing.gateway.events import DOCUMENT_TAKEN, SOURCE_PEER_LOST
from baobabwing.gateway.members import Members
from baobabwing.gateway.plain_client import read_response
from baobabwing.gateway.plain_http import PlainAnswer
from baobabwing.gateway.position import NOWHERE, Position
from baobabwing.gateway.supervision import supervise
from baobabwing.reports.events import log

__all__ = ["MAX_LIST_AGE_S", "Document", "DocumentDistribution", "DocumentName"]

# Age from which on the list of upstreams may be out of date: the store and the nodes
# that pass it on answer within two seconds, also without changes.
MAX_LIST_AGE_S = 2.6

_RESOURCE = "store"
# In fleets up to this size every node follows the store itself.
_SMALL_FLEET_NODES = 8
# In larger ones one node of this many follows it, within these bounds. The minimum
# allows for the loss of any three hosts at the same time. Without the maximum the load
# of the store, 0.6 calls a second from each follower, would grow with the fleet; one
# follower can serve a hundred nodes.
_NODES_PER_FOLLOWER = 8
_MIN_FOLLOWERS = 4
_MAX_FOLLOWERS = 12
# Nodes that each node follows. With a single one, its failure would delay changes until
# it is detected; a change has to be in force everywhere within 2 s.
_SOURCES = 2
# Longest time that a call without newer documents waits for its answer, which also
# shows that the source is alive.
_LONG_POLL_S = 1.0
_TIMEOUT_S = 0.5
_RETRY_S = 0.25
# A node whose sources have reported no path to the store for this long follows it
# itself: longer than a long poll, and short enough for a change to be in force in time.
_NO_SOURCE_S = 1.7
_HEAD_BYTES = 8192
_COMPRESSION_LEVEL = 1
# One answer, compressed.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Its documents together, decompressed: some 5 kB for each of 6,600 upstreams.
_MAX_DOCUMENTS_BYTES = 32 * 1024 * 1024
# Pause before the next call to a source that has sent documents. While dozens of
# upstreams register in a row, each of 195 nodes received 48 lists of them in 5 s, a
# fifth of the processor time of its start; changes are in force within 2 s.
_BATCH_DELAY_S = 0.15
# The pause lasts at least this many times the processor time that the documents took,
# so that lists of thousands of upstreams take a tenth of it at most. It ends in time
# for a change that passes two nodes to be in force within 2 s.
_PAUSE_PER_WORK = 10.0
_MAX_PAUSE_S = 0.75


class DocumentName(StrEnum):
    """Name of a distributed document."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    ROLLOUTS = "rollouts"
    SOFTWARE = "software"


# Documents without which a node can't serve.
_NEEDED = (DocumentName.CONFIGURATION, DocumentName.UPSTREAMS)


@dataclass(frozen=True, kw_only=True)
class Document:
    """One version of a document of the store.

    :param position: where it was read; rises with each change.
    """

    position: Position
    data: bytes

    @functools.cached_property
    def compressed(self) -> bytes:
        """The data as peers get it, compressed once for all of them."""
        return zlib.compress(self.data, _COMPRESSION_LEVEL)


@dataclass(frozen=True, kw_only=True)
class _Delivery:
    """The answer of a source.

    :param follows: whether the source has a path to the store.
    :param documents: those that are newer than the ones of this node.
    """

    follows: bool
    documents: dict[DocumentName, Document]


class DocumentDistribution:
    """Serves this node's documents to peers, and fetches newer ones from them.

    :param members: rank the nodes that follow the store.
    :param on_document: called with each newer document that a peer has sent.
    :ivar on_regained: called when a source has a path to the store again after none
        had.
    :ivar list_checked_at: when the list of upstreams was last known to be the store's,
        by this node's own reading or that of a source.
    :ivar list_followed_since: since when it was checked without a gap in which an
        upstream may have come and gone.
    :ivar on_check: called to have the list checked at once.
    :ivar heard: set once each source of this node has answered, or once it is known
        that there is none.
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
        self._calls_from = 0.0
        self.heard = asyncio.Event()
        self._store_path_at = time.monotonic()
        self._store_away = True
        self.list_checked_at = float("-inf")
        self.list_followed_since = float("-inf")
        self.on_check: Callable[[], None] = lambda: None

    @property
    def store_away(self) -> bool:
        """Whether the store is unavailable to this node itself."""
        return self._store_away

    @store_away.setter
    def store_away(self, away: bool) -> None:
        changed = away != self._store_away
        self._store_away = away
        if changed:
            self._notify_waiting()

    @property
    def follows_store(self) -> bool:
        """Whether this node should follow the store itself.

        A starting node reads the documents once, since it needs them to serve. Only
        when it knows the other nodes is it decided whether it goes on: nearly all
        nodes would otherwise start a long poll of the store and give it up again.
        """
        if (
            self._members.joining
            and time.monotonic() - self._store_path_at < _NO_SOURCE_S
        ):
            return not self._can_serve
        total = len(self._members.serving())
        if total <= _SMALL_FLEET_NODES:
            return True
        if self._members.settings.name in {host.name for host in self._followers()}:
            return True
        return time.monotonic() - self._store_path_at > _NO_SOURCE_S

    @property
    def followers(self) -> list[Host]:
        """The nodes that follow the store; empty in a small fleet, where all do."""
        if len(self._members.serving()) <= _SMALL_FLEET_NODES:
            return []
        return self._followers()

    @property
    def _can_serve(self) -> bool:
        return all(self.position(name) != NOWHERE for name in _NEEDED)

    def note_store_answer(self) -> None:
        """Note that the store has answered this node with the list of upstreams."""
        self._note_list_check(time.monotonic())

    def _note_list_check(self, now: float) -> None:
        if MAX_LIST_AGE_S < now - self.list_checked_at < float("inf"):
            self.list_followed_since = now
        self.list_checked_at = now

    def keep(self, name: DocumentName, document: Document) -> None:
        """Store a document to be served to peers, unless a newer one is stored."""
        if document.position > self.position(name):
            self._documents[name] = document
            self._notify_waiting()

    def position(self, name: DocumentName) -> Position:
        """Return the position of the stored document; ``NOWHERE`` if there is none."""
        document = self._documents.get(name)
        return document.position if document else NOWHERE

    async def run(self) -> None:
        """Follow the sources for as long as the node runs."""
        await asyncio.gather(
            *(
                supervise(f"source {index}", functools.partial(self._follow, index))
                for index in range(_SOURCES)
            )
        )

    async def answer(self, method: str, target: str) -> PlainAnswer:
        """Answer a call of a peer that follows this node.

        The answer contains the documents that are newer than the positions in the
        query. While there is none, and the availability of the store stays the same,
        the answer is delayed up to the time of a long poll.
        """
        url = urllib.parse.urlsplit(target)
        if url.path != "/documents":
            return PlainAnswer(status=404)
        known = _positions(url.query)
        until = time.monotonic() + _LONG_POLL_S
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
        body = _encode(not self._store_away, self._newer(known))
        return PlainAnswer(status=200, body=body, content_type=b"text/plain")

    # Following other nodes.

    def _followers(self) -> list[Host]:
        total = len(self._members.serving())
        count = min(
            max(-(-total // _NODES_PER_FOLLOWER), _MIN_FOLLOWERS), _MAX_FOLLOWERS
        )
        return self._members.ranked(_RESOURCE, count)

    def _source(self, index: int) -> Host | None:
        """Return the source with this index; ``None`` if there are fewer.

        The nodes that follow the store follow each other in a ring, so that a document
        that one of them reads reaches all. The others are spread over them at random.
        """
        name = self._members.settings.name
        followers = self._followers()
        names = [host.name for host in followers]
        if name in names:
            following = names.index(name) + 1
            sources = followers[following:] + followers[: following - 1]
        else:
            sources = followers
            random.Random(f"{name}/{len(followers)}").shuffle(sources)
        return sources[index] if index < len(sources) else None

    async def _follow(self, index: int) -> None:
        while True:
            source = self._source(index)
            if source is None:
                if not self._members.joining:
                    self._record_answer(index)
                await asyncio.sleep(_RETRY_S)
                continue
            try:
                await self._follow_source(index, source)
            except (BaobabwingError, TimeoutError) as exc:
                log(SOURCE_PEER_LOST, peer=source.name, reason=repr(exc))
                await asyncio.sleep(_RETRY_S)

    async def _follow_source(self, index: int, source: Host) -> None:
        conn = await open_connection(
            source.peer, timeout_s=_TIMEOUT_S, head_bytes=_HEAD_BYTES
        )
        try:
            while self._source(index) == source:
                async with asyncio.timeout(_LONG_POLL_S + _TIMEOUT_S):
                    delivery = await self._request(conn, source)
                self._accept_all(source, delivery.documents)
                if delivery.follows:
                    self._record_store_path()
                self._record_answer(index)
                if delivery.documents:
                    await asyncio.sleep(_BATCH_DELAY_S)
                await self._wait_for_next_call()
        finally:
            conn.close()

    def _accept_all(
        self, source: Host, documents: dict[DocumentName, Document]
    ) -> None:
        """Take documents; pause the calls to all sources by what that cost."""
        began = time.thread_time()
        for name, document in documents.items():
            self._accept(source, name, document)
        pause_s = min(_PAUSE_PER_WORK * (time.thread_time() - began), _MAX_PAUSE_S)
        if self._can_serve:
            self._calls_from = max(self._calls_from, time.monotonic() + pause_s)

    async def _wait_for_next_call(self) -> None:
        while (wait_s := self._calls_from - time.monotonic()) > 0:
            await asyncio.sleep(wait_s)

    def _record_answer(self, index: int) -> None:
        self._answered.add(index)
        if len(self._answered) == _SOURCES:
            self.heard.set()

    def _record_store_path(self) -> None:
        now = time.monotonic()
        if now - self._store_path_at > _NO_SOURCE_S:
            self.on_regained()
        self._store_path_at = now
        self._note_list_check(now)

    async def _request(self, conn: HttpConnection, source: Host) -> _Delivery:
        known = {name.value: self.position(name) for name in DocumentName}
        target = f"/documents?{urllib.parse.urlencode(known)}"
        headers = [(b"Host", source.peer.encode())]
        await conn.send(h11.Request(method="GET", target=target, headers=headers))
        await conn.send(h11.EndOfMessage())
        try:
            response = await read_response(
                conn, max_bytes=_MAX_ANSWER_BYTES, step="documents"
            )
        except EndlessAnswerError as exc:
            raise WireError(exc.message, step=exc.step, peer=source.peer) from exc
        if response.status != 200:
            raise ConnectionLostError(
                f"status {response.status}", step="documents", peer=source.peer
            )
        conn.http.start_next_cycle()
        return _decode(response.body, source.peer, have=self.position)

    def _accept(self, source: Host, name: DocumentName, document: Document) -> None:
        previous = self.position(name)
        if document.position <= previous:
            return
        log(
            DOCUMENT_TAKEN,
            peer=source.name,
            document=name.value,
            position=str(document.position),
            before=str(previous),
        )
        self.keep(name, document)
        self._on_document(name, document)

    def _newer(
        self, known: dict[DocumentName, Position]
    ) -> dict[DocumentName, Document]:
        return {
            name: document
            for name, document in self._documents.items()
            if name in known and document.position > known[name]
        }

    def _notify_waiting(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _positions(query: str) -> dict[DocumentName, Position]:
    """Parse the positions of the documents that a peer knows of.

    An unreadable one is ``NOWHERE``. One that is missing is of a kind that the peer's
    build does not know, and must not be sent to it.
    """
    parameters = dict(urllib.parse.parse_qsl(query))
    positions = {}
    for name in DocumentName:
        if name.value in parameters:
            positions[name] = NOWHERE
            with contextlib.suppress(ValueError):
                positions[name] = Position.parse(parameters[name.value])
    return positions


def _encode(follows: bool, documents: dict[DocumentName, Document]) -> bytes:
    """Encode an answer: a head line, then the compressed documents.

    The head holds whether the node follows the store, and each document's name,
    position and compressed length.
    """
    entries = [
        f"{name.value}:{document.position}:{len(document.compressed)}"
        for name, document in documents.items()
    ]
    head = " ".join([str(int(follows)), *entries]).encode()
    bodies = [document.compressed for document in documents.values()]
    return b"\n".join([head, b"".join(bodies)])


def _decode(
    body: bytes,
    peer: str,
    *,
    have: Callable[[DocumentName], Position] = lambda name: NOWHERE,
) -> _Delivery:
    """Decode an answer; documents that the other source has sent are left out.

    :param have: returns the present position of this node's document.
    :raises WireError: if the answer is malformed, or if its documents are longer than
        ``_MAX_DOCUMENTS_BYTES``.
    """
    head, _, rest = body.partition(b"\n")
    try:
        if not head:
            raise ValueError("empty")
        follows, *entries = head.decode().split(" ")
        if len(entries) > len(DocumentName):
            raise ValueError("more documents than there are")
        documents, left_bytes = {}, _MAX_DOCUMENTS_BYTES
        for entry in entries:
            name, text, size = entry.split(":")
            position = Position.parse(text)
            data, rest = rest[: int(size)], rest[int(size) :]
            if position > have(DocumentName(name)):
                plain = _decompress(data, left_bytes)
                left_bytes -= len(plain)
                documents[DocumentName(name)] = Document(position=position, data=plain)
        return _Delivery(follows=follows == "1", documents=documents)
    except (ValueError, zlib.error) as exc:
        raise WireError(
            f"malformed documents: {exc!r}", step="documents", peer=peer
        ) from exc


def _decompress(data: bytes, most_bytes: int) -> bytes:
    decompressor = zlib.decompressobj()
    # With 0 there would be no limit.
    plain = decompressor.decompress(data, max(most_bytes, 1))
    if not decompressor.eof:
        raise ValueError("documents too long, or cut")
    return plain
