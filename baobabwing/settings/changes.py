"""Differences between two configurations, item by item."""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass

from baobabwing.exceptions import ConflictError
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import dump_configuration, parse_configuration

__all__ = [
    "GROUPS",
    "Change",
    "apply_changes",
    "changes_between",
    "describe",
    "invert_changes",
    "item_name",
]

GROUPS = (
    "tiers",
    "brands",
    "organisations",
    "credentials",
    "pools",
    "upstreams",
    "routes",
    "leaving_hosts",
    "operators",
)


@dataclass(frozen=True, kw_only=True)
class Change:
    """One item that was added, removed or changed.

    :param group: field of the configuration, such as ``"upstreams"``.
    :param name: name of the item.
    :param before: the item before the change as JSON text; empty if it was added.
    :param after: the item after the change as JSON text; empty if it was removed.
    """

    group: str
    name: str
    before: str = ""
    after: str = ""


def changes_between(old: Configuration, new: Configuration) -> tuple[Change, ...]:
    """Return the changes that turn one configuration into another.

    They are ordered by group, then by position of the item.
    """
    changes = []
    for group in GROUPS:
        before, after = _items(old, group), _items(new, group)
        for name in dict.fromkeys([*before, *after]):
            if before.get(name) != after.get(name):
                change = Change(
                    group=group,
                    name=name,
                    before=before.get(name, ""),
                    after=after.get(name, ""),
                )
                changes.append(change)
    return tuple(changes)


def apply_changes(cfg: Configuration, changes: tuple[Change, ...]) -> Configuration:
    """Return a configuration with some changes applied.

    :raises ConflictError: if an item differs from the ``before`` of its change.
    :raises FieldError: if the result is not valid.
    """
    items = {group: _items(cfg, group) for group in GROUPS}
    for change in changes:
        group_items = items[change.group]
        if group_items.get(change.name, "") != change.before:
            raise ConflictError(
                f"{change.group} {change.name!r} was changed since", step="changes"
            )
        if change.after:
            group_items[change.name] = change.after
        else:
            del group_items[change.name]
    document = dump_configuration(cfg)
    for group, items_by_name in items.items():
        document[group] = [json.loads(text) for text in items_by_name.values()]
    return parse_configuration(document)


def invert_changes(changes: tuple[Change, ...]) -> tuple[Change, ...]:
    """Return the changes that revert the given ones, in reverse order."""
    return tuple(
        dataclasses.replace(change, before=change.after, after=change.before)
        for change in reversed(changes)
    )


def describe(change: Change) -> str:
    """Describe a change in one line, with the fields that differ."""
    label = f"{change.group} {change.name!r}"
    if not change.before:
        return f"{label} added"
    if not change.after:
        return f"{label} removed"
    before, after = json.loads(change.before), json.loads(change.after)
    fields = ", ".join(
        f"{name} {before.get(name)!r} -> {value!r}"
        for name, value in after.items()
        if before.get(name) != value
    )
    return f"{label}: {fields}"


def _items(cfg: Configuration, group: str) -> dict[str, str]:
    return {
        item_name(item): json.dumps(dataclasses.asdict(item), sort_keys=True)
        for item in getattr(cfg, group)
    }


def item_name(item: object) -> str:
    """Return the key of an item, unique in its group.

    Routes have no name; their brand and model identify them.
    """
    if hasattr(item, "name"):
        return item.name
    return f"{item.brand or 'all brands'}/{item.model}"
