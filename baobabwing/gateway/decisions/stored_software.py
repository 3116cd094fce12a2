"""Versions of a pool's upstreams, as stored for nodes that start."""

from __future__ import annotations

import json
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import Any

from baobabwing.gateway.decisions.stream_origins import SOFTWARE_KEPT_S
from baobabwing.gateway.foreign_values import name, number, parse_json, string

__all__ = [
    "HeldVersions",
    "StoredSoftware",
    "decode_software",
    "decode_stored_versions",
    "encode_software",
    "encode_stored_versions",
]

# Time for which a version's upstreams get no requests while the version can't be
# stored. Longer than a node that starts takes to find the others and write.
_MAX_HELD_S = 5.0


@dataclass(frozen=True, kw_only=True)
class StoredSoftware:
    """The versions of a pool's upstreams, as stored.

    All times are of the store's monotonic clock.

    :param listed: versions listed at the last write.
    :param gone: when each other version was listed last.
    :param since_s: when the first such row was written.
    """

    pool: str
    listed: frozenset[str]
    gone: dict[str, float]
    since_s: float

    @classmethod
    def first(cls, pool: str, store_s: float) -> StoredSoftware:
        """Return what is to be stored of a pool of which nothing was."""
        return cls(pool=pool, listed=frozenset(), gone={}, since_s=store_s)

    def successor(self, listed: frozenset[str], store_s: float) -> StoredSoftware:
        """Return what is to be stored once other versions are listed."""
        gone = self.gone | dict.fromkeys(self.listed, store_s)
        return StoredSoftware(
            pool=self.pool,
            listed=listed,
            gone={
                version: gone_s
                for version, gone_s in gone.items()
                if version not in listed and store_s - gone_s < SOFTWARE_KEPT_S
            },
            since_s=self.since_s,
        )

    def recent(self, store_s: float) -> frozenset[str]:
        """Return the versions whose streams may still be taken up."""
        return self.listed | {
            version
            for version, gone_s in self.gone.items()
            if store_s - gone_s < SOFTWARE_KEPT_S
        }


def decode_software(pool: str, value: Any) -> StoredSoftware:
    """Decode what is stored of a pool.

    :raises DECODING_ERRORS: if it is not valid.
    """
    listed, gone, since_s = value["listed"], value["gone"], value["since_s"]
    if not isinstance(listed, list) or not isinstance(gone, dict):
        raise ValueError("no list of versions, or no times of those that are gone")
    for version in (*listed, *gone):
        if string(version):
            name(version)
    return StoredSoftware(
        pool=name(pool),
        listed=frozenset(listed),
        gone={version: number(at_s) for version, at_s in gone.items()},
        since_s=number(since_s),
    )


def encode_software(stored: StoredSoftware) -> dict[str, Any]:
    """Return the form that is stored."""
    return {
        "listed": sorted(stored.listed),
        "gone": stored.gone,
        "since_s": stored.since_s,
    }


def encode_stored_versions(stored: Mapping[str, frozenset[str]]) -> bytes:
    """Return the stored versions of each pool as nodes send them to each other."""
    return json.dumps({name: sorted(stored[name]) for name in sorted(stored)}).encode()


def decode_stored_versions(data: bytes) -> dict[str, frozenset[str]]:
    """Decode the stored versions of each pool.

    :raises ValueError: if they are not valid.
    """
    value = parse_json(data)
    if not isinstance(value, dict):
        raise ValueError("no versions by pool")
    for versions in value.values():
        if not isinstance(versions, list) or not all(
            isinstance(version, str) for version in versions
        ):
            raise ValueError("a version is not a text")
    return {name: frozenset(versions) for name, versions in value.items()}


class HeldVersions:
    """Versions of a pool that get no requests until they are stored; reads no clock.

    When all nodes are killed, only the stored versions are known to have served. A
    stream of another one would go on at those.
    """

    def __init__(self) -> None:
        self._release_at: dict[str, float] = {}
        self._held: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self._held)

    def __contains__(self, version: str) -> bool:
        return version in self._held

    @property
    def release_at(self) -> float:
        """When the next held version gets requests all the same."""
        return min(self._release_at[version] for version in self._held)

    def update(
        self,
        listed: AbstractSet[str],
        serving: AbstractSet[str],
        stored: AbstractSet[str],
        now: float,
    ) -> AbstractSet[str]:
        """Hold the versions that are not stored while a stored one serves.

        A version that was released is not held again.

        :param listed: versions of all listed upstreams.
        :param serving: versions of those that do not leave.
        :param stored: versions that are stored as listed; empty if that is unknown.
        :returns: versions that were held before and are not any more.
        """
        before = self._held
        if not stored:
            self._held = frozenset()
            return before
        self._release_at = {
            version: self._release_at.get(version, now + _MAX_HELD_S)
            for version in listed - stored
        }
        if not serving & stored:
            self._release_at = dict.fromkeys(self._release_at, now)
        self._held = frozenset(
            version for version, until in self._release_at.items() if now < until
        )
        return before - self._held
