"""What of the configuration an operator sees and may change.

The rules hold in the tools that use them. Whoever may write to the table
service directly is not bound by them.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from baobabwing.brands.operators import AccessError, Operator, Role
from baobabwing.settings.changes import Change
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.history import HistoryEntry

__all__ = ["ChangeScope", "check_changes", "scope_of", "visible_entry", "visible_part"]

NOT_SHOWN = "not shown"


@dataclass(frozen=True, kw_only=True)
class ChangeScope:
    """Tells which of some changes lie within an operator's brands.

    :param brands_of: brands by organisation, before the changes and after.
    """

    operator: Operator
    brands_of: dict[str, frozenset[str]]

    def holds(self, change: Change) -> bool:
        """Tell whether a change touches the operator's brands only."""
        items = [json.loads(text) for text in (change.before, change.after) if text]
        return all(
            self.operator.has_access_to_all(self._brands(change.group, item))
            for item in items
        )

    def _brands(self, group: str, item: dict[str, Any]) -> frozenset[str]:
        if group == "organisations":
            return frozenset((item["brand"],))
        if group == "credentials":
            return self.brands_of.get(item["organisation"], frozenset())
        if group == "operators":
            return frozenset(item["brands"])
        # Tiers, brands, pools, upstreams, routes and hosts are shared by all brands.
        return frozenset()


def scope_of(
    operator: Operator, cfg: Configuration, changes: Iterable[Change]
) -> ChangeScope:
    """Return the scope of changes that were made from a configuration."""
    found: dict[str, set[str]] = {}
    for organisation in cfg.organisations:
        found.setdefault(organisation.name, set()).add(organisation.brand)
    for change in changes:
        if change.group == "organisations":
            for text in filter(None, (change.before, change.after)):
                brand = json.loads(text)["brand"]
                found.setdefault(change.name, set()).add(brand)
    brands_of = {name: frozenset(brands) for name, brands in found.items()}
    return ChangeScope(operator=operator, brands_of=brands_of)


def check_changes(
    operator: Operator, cfg: Configuration, changes: tuple[Change, ...], *, step: str
) -> None:
    """Check that an operator may make changes to a configuration.

    :raises AccessError: naming the first change that it may not make.
    """
    operator.require(Role.EDITOR, step)
    scope = scope_of(operator, cfg, changes)
    for change in changes:
        if not scope.holds(change):
            raise AccessError(
                f"operator {operator.name!r} looks after "
                f"{', '.join(operator.brands)} only; this changes {change.group}",
                step=step,
            )
        if change.group == "operators":
            operator.require(Role.ADMIN, step)
    _check_somebody_left(cfg, changes, step)


def _check_somebody_left(
    cfg: Configuration, changes: tuple[Change, ...], step: str
) -> None:
    # A configuration without operators is open to all who reach the platform. A
    # file made before there were operators would open it again by mistake.
    left = {one.name for one in cfg.operators}
    for change in changes:
        if change.group == "operators":
            (left.add if change.after else left.discard)(change.name)
    if cfg.operators and not left:
        raise AccessError("no operator would be left", step=step)


def visible_part(cfg: Configuration, operator: Operator) -> Configuration:
    """Return what an operator sees of a configuration.

    One who is confined to brands sees their organisations, keys, routes and
    operators, and the tiers and pools that all share.
    """
    if not operator.confined:
        return cfg
    organisations = tuple(
        one for one in cfg.organisations if operator.has_access_to(one.brand)
    )
    names = {one.name for one in organisations}
    return replace(
        cfg,
        author="",
        summary="",
        brands=tuple(one for one in cfg.brands if operator.has_access_to(one.name)),
        organisations=organisations,
        credentials=tuple(one for one in cfg.credentials if one.organisation in names),
        upstreams=(),
        routes=tuple(one for one in cfg.routes if one.brand in operator.brands),
        leaving_hosts=(),
        operators=tuple(
            one for one in cfg.operators if operator.has_access_to_all(one.brands)
        ),
    )


def visible_entry(
    entry: HistoryEntry, operator: Operator, cfg: Configuration
) -> HistoryEntry | None:
    """Return what an operator sees of one version, or ``None`` if nothing.

    :param cfg: tells whose organisations are which.
    """
    if not operator.confined:
        return entry
    scope = scope_of(operator, cfg, entry.changes)
    changes = tuple(change for change in entry.changes if scope.holds(change))
    if not changes:
        return None
    if changes == entry.changes:
        return entry
    # Author and summary may name what concerns other brands.
    return replace(entry, author=NOT_SHOWN, summary=NOT_SHOWN, changes=changes)
