"""Operators, authenticated by tokens, and their roles."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

from baobabwing.exceptions import BaobabwingError

__all__ = ["AccessError", "Operator", "Role", "find_operator", "token_digest"]


class AccessError(BaobabwingError):
    """The operator is unknown or lacks the permission for an action."""


class Role(StrEnum):
    """Permissions of an operator; each role includes the ones before it.

    ``VIEWER`` has read access, ``EDITOR`` plans, confirms and publishes changes,
    ``ADMIN`` also changes operators.
    """

    VIEWER = "viewer"
    EDITOR = "editor"
    ADMIN = "admin"


_RANKS = {role: rank for rank, role in enumerate(Role)}


@dataclass(frozen=True, kw_only=True)
class Operator:
    """A person who administers the system, or some of its brands.

    :param name: recorded as the author of the operator's changes.
    :param sha256: hexadecimal SHA-256 digest of the operator's token.
    :param role: permissions of the operator.
    :param brands: brands that the operator is confined to; empty for all.
    """

    name: str
    sha256: str
    role: Role
    brands: tuple[str, ...] = ()

    @property
    def confined(self) -> bool:
        """Whether the operator has access to some brands only."""
        return bool(self.brands)

    def has_access_to(self, brand: str) -> bool:
        """Return whether the operator has access to a brand."""
        return not self.brands or brand in self.brands

    def has_access_to_all(self, brands: Collection[str]) -> bool:
        """Return whether the operator has access to all of some brands.

        An item without brands concerns all brands, so that only an operator who is
        not confined has access to it.
        """
        if not self.brands:
            return True
        return bool(brands) and set(brands) <= set(self.brands)

    def includes_role(self, role: Role) -> bool:
        """Return whether the operator's role includes another role."""
        return _RANKS[self.role] >= _RANKS[role]

    def require(self, role: Role, step: str) -> None:
        """Check that the operator's role includes another role.

        :param step: name of the action, for the error.
        :raises AccessError: if it does not.
        """
        if not self.includes_role(role):
            raise AccessError(
                f"operator {self.name!r} is {self.role}, wanted is {role}", step=step
            )


def token_digest(token: str) -> str:
    """Return the digest by which the configuration identifies a token."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def find_operator(operators: Iterable[Operator], token: str) -> Operator | None:
    """Return the operator with a token, or ``None`` if there is none.

    All digests are compared, each in constant time, so that the time taken reveals
    nothing about a token. It is proportional to the number of operators.
    """
    digest = token_digest(token)
    match = None
    for operator in operators:
        if hmac.compare_digest(operator.sha256, digest):
            match = operator
    return match
