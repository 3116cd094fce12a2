"""Operators: who may see and change what, told by a token."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

from baobabwing.exceptions import BaobabwingError

__all__ = ["AccessError", "Operator", "Role", "find_operator", "token_digest"]


class AccessError(BaobabwingError):
    """The operator is not known, or may not do this."""


class Role(StrEnum):
    """What an operator may do; each role includes the ones before it.

    ``VIEWER`` sees, ``EDITOR`` plans, confirms and publishes, ``ADMIN`` also
    changes operators.
    """

    VIEWER = "viewer"
    EDITOR = "editor"
    ADMIN = "admin"


_RANKS = {role: rank for rank, role in enumerate(Role)}


@dataclass(frozen=True, kw_only=True)
class Operator:
    """Somebody who looks after the system, or after some of its brands.

    :param name: author of what the operator changes.
    :param sha256: hexadecimal SHA-256 digest of the operator's token.
    :param role: what the operator may do.
    :param brands: the brands that the operator is confined to; empty for all.
    """

    name: str
    sha256: str
    role: Role
    brands: tuple[str, ...] = ()

    @property
    def confined(self) -> bool:
        """Whether the operator sees some brands only."""
        return bool(self.brands)

    def sees(self, brand: str) -> bool:
        """Tell whether the operator sees a brand."""
        return not self.brands or brand in self.brands

    def covers(self, brands: Collection[str]) -> bool:
        """Tell whether what concerns these brands is the operator's alone.

        What concerns no brand in particular concerns all of them.
        """
        if not self.brands:
            return True
        return bool(brands) and set(brands) <= set(self.brands)

    def has(self, role: Role) -> bool:
        """Tell whether the operator's role includes another."""
        return _RANKS[self.role] >= _RANKS[role]

    def require(self, role: Role, step: str) -> None:
        """Check the role.

        :raises AccessError: if the operator's role does not include it.
        """
        if not self.has(role):
            raise AccessError(
                f"operator {self.name!r} is {self.role}, wanted is {role}", step=step
            )


def token_digest(token: str) -> str:
    """Return the digest under which the configuration knows a token."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def find_operator(operators: Iterable[Operator], token: str) -> Operator | None:
    """Return whose token it is, or ``None`` if it is nobody's.

    Digests are compared in constant time, all of them, so that the time taken
    tells nothing about a token. Takes time in the number of operators.
    """
    digest = token_digest(token)
    found = None
    for operator in operators:
        if hmac.compare_digest(operator.sha256, digest):
            found = operator
    return found
