"""What nodes tell each other of the store, for those that can't reach it.

A node that is cut off from the store, or that starts while it is away, takes the
newest documents from a peer that has them. Documents are opaque here: whoever
feeds the gateway encodes and decodes them.
"""

from __future__ import annotations

import asyncio
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import h11

from baobabwing.exceptions import BaobabwingError, ConnectionLostError
from baobabwing.gateway.connection import HttpConnection, open_connection
from baobabwing.gateway.events import PEER_ASKED
from baobabwing.gateway.plain_http import PlainAnswer
from baobabwing.gateway.reports import PeerNode, Peers
from baobabwing.reports.events import log

__all__ = ["Document", "DocumentName", "Sharing"]

# A change reaches all nodes from the store within some 50 ms; one that is still
# missing after this is taken from a peer.
_CHECK_S = 0.25
_FETCH_TIMEOUT_S = 0.5
_HEAD_BYTES = 8192


class DocumentName(StrEnum):
    """What is shared."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"


@dataclass(frozen=True, kw_only=True)
class Document:
    """One document as the store had it.

    :param version: rises with each change.
    """

    version: int
    data: bytes


class Sharing:
    """Documents of this node, and those that peers have newer.

    :param peers: tell which versions they have.
    :param on_document: takes a document that a peer had newer.
    """

    def __init__(
        self, *, peers: Peers, on_document: Callable[[DocumentName, Document], None]
    ) -> None:
        self._peers = peers
        self._on_document = on_document
        self._documents: dict[DocumentName, Document] = {}
        self.store_away = True

    def keep(self, name: DocumentName, document: Document) -> None:
        """Keep a document for peers that ask; an older one is passed over."""
        if document.version > self.version(name):
            self._documents[name] = document

    def version(self, name: DocumentName) -> int:
        """Return the version that this node has; 0 for none."""
        document = self._documents.get(name)
        return document.version if document else 0

    def versions(self) -> dict[str, int]:
        """Return all versions, for the reports to peers."""
        return {name.value: self.version(name) for name in DocumentName}

    async def run(self) -> None:
        """Take from peers what is newer there and does not come from the store."""
        behind: frozenset[DocumentName] = frozenset()
        while True:
            await asyncio.sleep(_CHECK_S)
            before, behind = behind, self._behind()
            # Twice in a row: what was just changed comes from the store itself.
            for name in sorted(before & behind):
                await self._fetch(name)

    def _behind(self) -> frozenset[DocumentName]:
        names = set()
        for name in DocumentName:
            newest = self._newest(name)
            # The list of upstreams changes all the time, at the store's pace.
            needed = name is DocumentName.CONFIGURATION or self.store_away
            if needed and newest and newest.versions[name] > self.version(name):
                names.add(name)
        return frozenset(names)

    def _newest(self, name: DocumentName) -> PeerNode | None:
        heard = [peer for peer in self._peers.heard() if name in peer.versions]
        return max(heard, key=lambda peer: peer.versions[name], default=None)

    async def _fetch(self, name: DocumentName) -> None:
        peer = self._newest(name)
        if peer is None or peer.versions[name] <= self.version(name):
            return
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                document = await _ask(peer.peers, name)
        except (BaobabwingError, TimeoutError) as exc:
            log(PEER_ASKED, peer=peer.name, document=name.value, failed=repr(exc))
            return
        log(
            PEER_ASKED,
            peer=peer.name,
            document=name.value,
            version=document.version,
            before=self.version(name),
        )
        self.keep(name, document)
        self._on_document(name, document)

    async def answer(self, method: str, target: str) -> PlainAnswer:
        """Answer a peer that asks for a document."""
        path = urllib.parse.urlsplit(target).path
        name = path.removeprefix("/documents/")
        if name not in set(DocumentName):
            return PlainAnswer(status=404)
        document = self._documents.get(DocumentName(name))
        if document is None:
            return PlainAnswer(status=503)
        head = b"%d\n" % document.version
        return PlainAnswer(
            status=200, body=head + document.data, content_type=b"text/plain"
        )


async def _ask(address: str, name: DocumentName) -> Document:
    conn = await open_connection(
        address, timeout_s=_FETCH_TIMEOUT_S, head_bytes=_HEAD_BYTES
    )
    try:
        return await _exchange(conn, address, name)
    finally:
        conn.close()


async def _exchange(conn: HttpConnection, address: str, name: DocumentName) -> Document:
    headers = [(b"Host", address.encode())]
    target = f"/documents/{name.value}"
    await conn.send(h11.Request(method="GET", target=target, headers=headers))
    await conn.send(h11.EndOfMessage())
    status, body = 0, b""
    while not isinstance(event := await conn.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            raise ConnectionLostError("cut", step="document", peer=address)
    version, newline, data = body.partition(b"\n")
    if status != 200 or not newline or not version.isdigit():
        raise ConnectionLostError(f"status {status}", step="document", peer=address)
    return Document(version=int(version), data=data)
