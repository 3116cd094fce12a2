"""Differences between two versions, for peers that hold the older one.

At 1,400 organisations and 6,600 upstreams a configuration is 2.4 MB of JSON and
330 KB deflated, and validating it takes half a second. Sending the whole
configuration for each of 5,400 changes a day would exceed the bound on control
traffic by a factor of ten, while each change affects one or two items.
"""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import json
import typing
import zlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from baobabwing.exceptions import SettingsError
from baobabwing.settings.changes import GROUPS, item_name
from baobabwing.settings.checker import build
from baobabwing.settings.configuration import Configuration

__all__ = ["Delta", "DeltaLog", "apply_deltas", "make_delta", "pack", "unpack"]

MAX_KEPT_DELTAS = 64
MAX_DELTAS_BYTES = 4 * 1024 * 1024
_STEP = "delta"
_SCALAR_FIELDS = ("attempt", "author", "summary")


@dataclass(frozen=True, kw_only=True)
class GroupDelta:
    """Changes in one group of a configuration.

    :param group: field of the configuration, such as ``"upstreams"``.
    :param removed: names of the items removed.
    :param changed: items added or modified, as JSON values.
    """

    group: str
    removed: tuple[str, ...] = ()
    changed: tuple[dict, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Delta:
    """Changes that turn one version into a later one.

    :param base: version that the delta applies to.
    :param version: version that it results in.
    :param digest: digest of the item names of the later version, in order. A
        delta does not carry the order of items; when the result has another
        digest the delta is refused, and the node requests the whole document.
    """

    base: int
    version: int
    attempt: str
    author: str
    summary: str
    groups: tuple[GroupDelta, ...]
    digest: str


class DeltaLog:
    """The most recent deltas between versions that this node applied."""

    def __init__(self) -> None:
        self._by_base: OrderedDict[int, Delta] = OrderedDict()

    def note(self, old: Configuration, new: Configuration) -> None:
        """Record the delta between two versions that were applied in turn.

        :complexity: linear in the items of both.
        """
        self._by_base[old.version] = make_delta(old, new)
        while len(self._by_base) > MAX_KEPT_DELTAS:
            self._by_base.popitem(last=False)

    def between(self, from_version: int, to_version: int) -> tuple[Delta, ...]:
        """Return the deltas from one version to another; empty if any is missing."""
        deltas = []
        version = from_version
        while version < to_version:
            delta = self._by_base.get(version)
            if delta is None:
                return ()
            deltas.append(delta)
            version = delta.version
        return tuple(deltas) if version == to_version else ()


def make_delta(old: Configuration, new: Configuration) -> Delta:
    """Return the delta from one configuration to another.

    :complexity: linear in the items of both; only changed ones are serialised.
    """
    group_deltas = (_group_delta(group, old, new) for group in GROUPS)
    return Delta(
        base=old.version,
        version=new.version,
        groups=tuple(
            group_delta
            for group_delta in group_deltas
            if group_delta.removed or group_delta.changed
        ),
        digest=_digest(new),
        **{name: getattr(new, name) for name in _SCALAR_FIELDS},
    )


def apply_deltas(cfg: Configuration, deltas: Sequence[Delta]) -> Configuration:
    """Apply deltas in order and return the resulting configuration.

    Only changed items are built and validated; unchanged ones are shared with
    the older configuration.

    :raises SettingsError: if a delta has another base than the version at hand, does
        not lead to a higher one, or its result does not match its digest.
    """
    for delta in deltas:
        cfg = _apply_delta(cfg, delta)
    return cfg


def pack(deltas: Sequence[Delta]) -> bytes:
    """Serialise and compress deltas for the wire."""
    documents = [dataclasses.asdict(delta) for delta in deltas]
    return zlib.compress(json.dumps(documents, separators=(",", ":")).encode())


def unpack(data: bytes) -> tuple[Delta, ...]:
    """Decompress and parse the output of :func:`pack`.

    :raises SettingsError: if the bytes are not valid deltas.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_DELTAS_BYTES)
        if not decompressor.eof:
            raise SettingsError("deltas too large or truncated", step=_STEP)
        return tuple(_parse_delta(document) for document in json.loads(text))
    except (zlib.error, ValueError, TypeError, KeyError, RecursionError) as exc:
        raise SettingsError(
            f"invalid deltas: {type(exc).__name__}", step=_STEP
        ) from exc


def _parse_delta(document: dict) -> Delta:
    groups = tuple(
        GroupDelta(
            group=group_document["group"],
            removed=tuple(group_document["removed"]),
            changed=tuple(group_document["changed"]),
        )
        for group_document in document["groups"]
    )
    return Delta(**{**document, "groups": groups})


def _group_delta(group: str, old: Configuration, new: Configuration) -> GroupDelta:
    before, after = getattr(old, group), getattr(new, group)
    if before is after:
        return GroupDelta(group=group)
    by_name = {item_name(item): item for item in before}
    names = {item_name(item) for item in after}
    return GroupDelta(
        group=group,
        removed=tuple(name for name in by_name if name not in names),
        changed=tuple(
            dataclasses.asdict(item)
            for item in after
            if by_name.get(item_name(item)) != item
        ),
    )


def _apply_delta(cfg: Configuration, delta: Delta) -> Configuration:
    if delta.base != cfg.version or delta.version <= cfg.version:
        raise SettingsError("the delta does not apply to this version", step=_STEP)
    changed_groups = {
        group_delta.group: _changed_group(cfg, group_delta)
        for group_delta in delta.groups
    }
    scalar_fields = {name: getattr(delta, name) for name in _SCALAR_FIELDS}
    result = dataclasses.replace(
        cfg, version=delta.version, **scalar_fields, **changed_groups
    )
    if _digest(result) != delta.digest:
        raise SettingsError(
            "the result does not match the digest of the delta", step=_STEP
        )
    return result


def _changed_group(cfg: Configuration, delta: GroupDelta) -> tuple:
    cls = _item_class(delta.group)
    items = {item_name(item): item for item in getattr(cfg, delta.group)}
    for name in delta.removed:
        items.pop(name, None)
    for document in delta.changed:
        item = build(cls, document, path=delta.group)
        items[item_name(item)] = item
    return tuple(items.values())


@functools.lru_cache(maxsize=32)
def _item_class(group: str) -> type:
    if group not in GROUPS:
        raise SettingsError(f"unknown group {group!r}", step=_STEP)
    return typing.get_args(typing.get_type_hints(Configuration)[group])[0]


def _digest(cfg: Configuration) -> str:
    names = (item_name(item) for group in GROUPS for item in getattr(cfg, group))
    return hashlib.blake2b("\0".join(names).encode(), digest_size=16).hexdigest()
