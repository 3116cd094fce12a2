"""Idempotency keys: keys bound to a node, and caller-chosen keys.

A node returns a key prefix with the addresses that it lists. A key that begins
with the prefix belongs to that incarnation of that node; only this incarnation may
dispatch the request, and no store is queried. Any other key has no owner at first
and has to be claimed in the platform's table service.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ["KEY_LIFETIME_S", "BoundKey", "key_prefix", "parse_bound_key"]

KEY_LIFETIME_S = 600.0
MAX_KEY_LENGTH = 255
_BOUND = re.compile(
    r"bw1\.(?P<node>[A-Za-z0-9_-]{1,64})\.(?P<incarnation>[0-9a-f]{1,16})"
    r"\.(?P<issued>[0-9a-f]{1,12})\.(?P<rest>.+)",
    re.DOTALL,
)


@dataclass(frozen=True, kw_only=True)
class BoundKey:
    """The owner encoded in a bound key.

    :param node: name of the owning node.
    :param incarnation: incarnation of that node.
    :param issued_s: time at which the prefix was issued, in seconds of the wall
        clock of the issuing node.
    """

    node: str
    incarnation: int
    issued_s: int


def key_prefix(*, node: str, incarnation: int, now_s: float) -> str:
    """Return the prefix that binds a key to a node.

    >>> key_prefix(node="a1", incarnation=255, now_s=16.0)
    'bw1.a1.ff.10.'
    """
    return f"bw1.{node}.{incarnation:x}.{int(now_s):x}."


def parse_bound_key(key: str) -> BoundKey | None:
    """Return the owner encoded in a key, or ``None`` for a caller-chosen key."""
    match = _BOUND.fullmatch(key)
    if match is None:
        return None
    return BoundKey(
        node=match["node"],
        incarnation=int(match["incarnation"], 16),
        issued_s=int(match["issued"], 16),
    )
