"""Which parts of the configuration an operator may see and change.

The rules are enforced by the callers of this module: command-line tools and
nodes. A client with direct write access to the table service bypasses them.
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
    """Decides which changes lie within an operator's brands.

    :param operator: the operator whose brands are compared.
    :param brands_of: brands of each organisation, before and after the changes.
    """

    operator: Operator
    brands_of: dict[str, frozenset[str]]

    def holds(self, change: Change) -> bool:
        """Whether a change affects the operator's brands only.

        The item must belong to them both before and after the change.
        """
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
        # All other groups are shared by all brands: tiers, brands, pools, upstreams,
        # routes and leaving hosts.
        return frozenset()


def scope_of(
    operator: Operator, cfg: Configuration, changes: Iterable[Change]
) -> ChangeScope:
    """Return the scope for changes based on a configuration."""
    brands_by_organisation: dict[str, set[str]] = {}
    for organisation in cfg.organisations:
        brands_by_organisation.setdefault(organisation.name, set()).add(
            organisation.brand
        )
    for change in changes:
        if change.group == "organisations":
            for text in filter(None, (change.before, change.after)):
                brand = json.loads(text)["brand"]
                brands_by_organisation.setdefault(change.name, set()).add(brand)
    brands_of = {
        name: frozenset(brands) for name, brands in brands_by_organisation.items()
    }
    return ChangeScope(operator=operator, brands_of=brands_of)


def check_changes(
    operator: Operator, cfg: Configuration, changes: tuple[Change, ...], *, step: str
) -> None:
    """Check that an operator may apply changes to a configuration.

    :param cfg: the configuration that the changes are based on.
    :raises AccessError: if the operator's role is too low, a change lies outside
        its brands, or the changes remove the last operator.
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
    _check_operator_remains(cfg, changes, step)


def _check_operator_remains(
    cfg: Configuration, changes: tuple[Change, ...], step: str
) -> None:
    # A configuration without operators is open to everyone who can reach the
    # platform. Publishing a file written before operators were introduced would
    # remove the access control by mistake.
    remaining = {operator.name for operator in cfg.operators}
    for change in changes:
        if change.group == "operators":
            (remaining.add if change.after else remaining.discard)(change.name)
    if cfg.operators and not remaining:
        raise AccessError("no operator would be left", step=step)


def visible_part(cfg: Configuration, operator: Operator) -> Configuration:
    """Return the part of a configuration that an operator may see.

    An operator confined to brands sees the organisations, credentials, routes
    and operators of these brands, and the tiers and pools that all brands share.
    """
    if not operator.confined:
        return cfg
    organisations = tuple(
        organisation
        for organisation in cfg.organisations
        if operator.has_access_to(organisation.brand)
    )
    organisation_names = {organisation.name for organisation in organisations}
    return replace(
        cfg,
        author="",
        summary="",
        brands=tuple(
            brand for brand in cfg.brands if operator.has_access_to(brand.name)
        ),
        organisations=organisations,
        credentials=tuple(
            credential
            for credential in cfg.credentials
            if credential.organisation in organisation_names
        ),
        upstreams=(),
        routes=tuple(route for route in cfg.routes if route.brand in operator.brands),
        leaving_hosts=(),
        operators=tuple(
            other for other in cfg.operators if operator.has_access_to_all(other.brands)
        ),
    )


def visible_entry(
    entry: HistoryEntry, operator: Operator, cfg: Configuration
) -> HistoryEntry | None:
    """Return the part of a history entry that an operator may see.

    :param cfg: configuration that assigns organisations to brands.
    :returns: the entry without changes of other brands, or ``None`` if no change
        is left.
    """
    if not operator.confined:
        return entry
    scope = scope_of(operator, cfg, entry.changes)
    changes = tuple(change for change in entry.changes if scope.holds(change))
    if not changes:
        return None
    if changes == entry.changes:
        return entry
    # Author and summary may disclose changes of other brands.
    return replace(entry, author=NOT_SHOWN, summary=NOT_SHOWN, changes=changes)
