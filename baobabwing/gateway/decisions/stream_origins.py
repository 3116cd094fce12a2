"""Where streams began: the versions of a pool's upstreams, and records of streams."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "SOFTWARE_KEPT_S",
    "BegunStreams",
    "KnownBy",
    "OriginAnswer",
    "SoftwareHistory",
    "SoftwareView",
    "StreamOrigin",
    "software_crc",
    "sole_software",
]

# Time after a version's last upstream is gone for which its streams may be taken up.
# Longer than callers wait for a whole stream.
SOFTWARE_KEPT_S = 30.0
# Most records of one node, some 4 MB; the oldest make room.
_MAX_RECORDS = 20_000


def software_crc(version: str) -> int:
    """Return the CRC-32 that stands for a version of software; never 0.

    Upstreams without a listed version count as having the same one.
    """
    return zlib.crc32(version.encode()) or 1


class KnownBy(StrEnum):
    """How a node knows the software that began a stream.

    ``OWN``: by its own record; ``PEER``: by another node's; ``SOLE``: the pool has had
    no other one; ``STORED``: by a stored record.
    """

    OWN = "own"
    PEER = "peer"
    SOLE = "sole"
    STORED = "stored"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    :param pool: CRC-32 of the name of its pool.
    :param software: CRC-32 of the version of the upstream that sent its first event.
    """

    pool: int
    software: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SoftwareView:
    """What a node has seen of the versions of a pool's upstreams.

    :param versions: number of versions that may have begun a running stream.
    :param sole: CRC-32 of that version if it is one, else 0.
    :param watched_s: for how long the node has seen the pool, or has it from others.
    """

    versions: int
    sole: int
    watched_s: float

    @property
    def confirms_sole(self) -> bool:
        """Whether all streams that may be taken up began at the sole version."""
        return self.versions == 1 and self.watched_s >= SOFTWARE_KEPT_S


@dataclass(frozen=True, kw_only=True, slots=True)
class OriginAnswer:
    """What another node knows of a stream and of its pool.

    :param origin: where the stream began; ``None`` if that node has no record of it.
    """

    origin: StreamOrigin | None
    seen: SoftwareView


class SoftwareHistory:
    """Versions that a pool's upstreams have had lately; reads no clock.

    :param complete: whether no stream has begun before this node started.
    :ivar restored_at: when the stored versions of a whole such time were added last.
    """

    def __init__(self, *, complete: bool = False) -> None:
        self._listed: frozenset[int] = frozenset()
        self._last_listed_at: dict[int, float] = {}
        self._watched_since = float("-inf") if complete else float("inf")
        self._mixed_until = float("-inf")
        self.restored_at = float("-inf")

    def set_listed(self, versions: Iterable[str], now: float) -> None:
        """Set the versions of the upstreams that are listed from now on."""
        before = self._listed
        self._listed = frozenset(map(software_crc, versions))
        for software in before | self._listed:
            self._last_listed_at[software] = now
        if self._listed:
            self._watched_since = min(self._watched_since, now)

    def adopt(self, seen: SoftwareView, now: float) -> None:
        """Add what another node has seen."""
        if seen.versions > 1:
            self._mixed_until = now + SOFTWARE_KEPT_S
        elif seen.versions == 1:
            self._last_listed_at[seen.sole] = now
        self._watched_since = min(self._watched_since, now - seen.watched_s)

    def restore(self, software: Iterable[str], watched_s: float, now: float) -> None:
        """Add what was stored, by others or before this node started.

        :param software: versions that may have begun a running stream.
        :param watched_s: time since the first of them was stored.
        """
        for version in software:
            self._last_listed_at[software_crc(version)] = now
        self._watched_since = min(self._watched_since, now - watched_s)
        if watched_s >= SOFTWARE_KEPT_S:
            self.restored_at = now

    def view(self, now: float) -> SoftwareView:
        """Return what this node has seen."""
        recent = self._listed | {
            software
            for software, listed_at in self._last_listed_at.items()
            if now - listed_at < SOFTWARE_KEPT_S
        }
        mixed = now < self._mixed_until
        return SoftwareView(
            versions=max(len(recent), 2) if mixed else len(recent),
            sole=min(recent) if len(recent) == 1 and not mixed else 0,
            watched_s=max(now - self._watched_since, 0.0),
        )

    def needs_records(self, now: float) -> bool:
        """Whether streams may have begun at several versions, as far as is known."""
        return not self.view(now).confirms_sole


class BegunStreams:
    """Records of where streams began, each kept for a time; reads no clock."""

    def __init__(self) -> None:
        self._records: OrderedDict[int, tuple[StreamOrigin, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(self, stream: int, origin: StreamOrigin, until: float) -> None:
        """Keep a record until a time; the newest one of a stream holds."""
        self._records[stream] = (origin, until)
        self._records.move_to_end(stream)
        if len(self._records) > _MAX_RECORDS:
            self._records.popitem(last=False)

    def find(self, stream: int, now: float) -> StreamOrigin | None:
        """Return where a stream began; ``None`` if there is no record of it."""
        origin, until = self._records.get(stream, (None, 0.0))
        return origin if now < until else None

    def expire(self, now: float) -> None:
        """Remove the records whose time is over."""
        for stream in [one for one, (_, until) in self._records.items() if until < now]:
            del self._records[stream]


def sole_software(
    own: SoftwareView, others: Sequence[SoftwareView], *, confirmations: int
) -> int:
    """Return the only version that may have begun a stream without a record.

    Nodes that have just started don't know which versions there were before.

    :param own: what this node has seen.
    :param others: what other nodes have seen.
    :param confirmations: number of nodes that have to know it.
    :returns: its CRC-32; 0 if there may be several, or too few nodes know.
    """
    views = [own, *others]
    versions = {seen.sole for seen in views if seen.versions}
    if len(versions) != 1 or any(seen.versions > 1 for seen in views):
        return 0
    confirmed = sum(seen.confirms_sole for seen in views)
    return versions.pop() if confirmed >= confirmations else 0
