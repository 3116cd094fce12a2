"""Lookup of the node that owns an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass

from baobabwing.entry.context import EntryContext
from baobabwing.exceptions import PlatformError, RequestError
from baobabwing.fleet.host import Host
from baobabwing.requests.claims import Claim
from baobabwing.requests.keys import KEY_LIFETIME_S, parse_bound_key

__all__ = ["ClaimUnavailableError", "Owner", "find_owner"]

CLOCK_SKEW_S = 60.0


class ClaimUnavailableError(RequestError):
    """The owner of a key is unknown because the table service is unavailable."""


@dataclass(frozen=True, kw_only=True)
class Owner:
    """The owner of a key.

    :param is_local: whether this node owns the key.
    :param host: the owner, if it is another node that is alive.
    :param dispatchable: whether a request with this key may still be dispatched; an
        expired key may only be used to fetch an existing answer.
    """

    is_local: bool
    host: Host | None = None
    dispatchable: bool = True


def find_owner(context: EntryContext, organisation: str, key: str) -> Owner:
    """Return the owner of a key, after claiming a caller-chosen key.

    :raises ClaimUnavailableError: if the table service is unavailable; nothing is
        dispatched, but an earlier attempt with the key may have run.
    """
    if not key:
        return Owner(is_local=True)
    now_s = context.wall_clock()
    bound = parse_bound_key(key)
    if bound is not None:
        owned_since_s, name, incarnation = bound.issued_s, bound.node, bound.incarnation
    elif context.registry.find(organisation, key) is not None:
        # Claimed by this node earlier; this needs no store.
        return Owner(is_local=True)
    else:
        claim = _claim(context, organisation, key, int(now_s))
        owned_since_s, name, incarnation = (
            claim.claimed_at_s,
            claim.node,
            claim.incarnation,
        )
    if (name, incarnation) == (context.me.name, context.me.incarnation):
        # The prefix may have been issued by another host, whose clock may be ahead.
        dispatchable = -CLOCK_SKEW_S <= now_s - owned_since_s <= KEY_LIFETIME_S
        return Owner(is_local=True, dispatchable=dispatchable)
    return Owner(is_local=False, host=_live_host(context, name, incarnation))


def _claim(context: EntryContext, organisation: str, key: str, now_s: int) -> Claim:
    me = context.me
    claim = Claim(node=me.name, incarnation=me.incarnation, claimed_at_s=now_s)
    try:
        return context.claims.claim(organisation, key, claim)
    except PlatformError as exc:
        raise ClaimUnavailableError(
            "the key could not be claimed, since the platform does not answer; "
            "use a key with the prefix from /v1/addresses to go on without it",
            status=503,
            code="claim_unavailable",
            field="Idempotency-Key",
            step="claim",
        ) from exc


def _live_host(context: EntryContext, name: str, incarnation: int) -> Host | None:
    view = context.view()
    if not view.is_current(name, incarnation):
        return None
    member = view.find(name)
    return member.host if member else None
