"""Permits to send to upstreams that limit how many requests a second they take.

One node issues all permits of an upstream: for an engine the home of its cell, which
places requests there, for a plain service the node that would be. Requests that a home
has placed have their permit; the others ask its issuer for one.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from dataclasses import dataclass

from baobabwing.gateway.decisions.tracking import UpstreamTrack
from baobabwing.gateway.events import RATE_LIMIT
from baobabwing.gateway.members import Members
from baobabwing.gateway.metrics import GatewayMetrics
from baobabwing.gateway.placement.cell_homes import cell_resource
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import (
    RateLimitNotice,
    SendPermitAnswer,
    SendPermitRequest,
)
from baobabwing.gateway.pool import PoolRuntime
from baobabwing.gateway.state import GatewayState
from baobabwing.reports.events import log

__all__ = ["Permit", "SendPermits"]

# A node that becomes the issuer of an upstream waits until an earlier one has either
# heard of it or knows that it is cut off.
_TAKEOVER_S = 2.0
# Time in which an issuer answers, and for which an upstream is left if it does not.
_ANSWER_TIMEOUT_S = 0.1
_UNANSWERED_PAUSE_S = 0.25
# A node repeats what an answer states of a limit this often at most, so that nodes that
# have started hear of it.
_REPEAT_S = 1.0
# Second send of a notice of a change; datagrams may be lost.
_RESEND_S = 0.3
# A limit that changes by less is told with the next repetition.
_TOLD_CHANGE = 0.02


@dataclass(frozen=True, kw_only=True)
class Permit:
    """Answer of an issuer.

    :param granted: whether the request may be sent.
    :param seconds: if granted, the time after which it may be sent; otherwise the time
        after which to ask again.
    """

    granted: bool
    seconds: float


class SendPermits:
    """Issues this node's permits, obtains those of others, and spreads the limits.

    :param state: holds the pools.
    :param members: rank the issuers, and list the other nodes.
    :param link: carries the messages.
    :param metrics: count the permits.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        members: Members,
        link: GatewayLink,
        metrics: GatewayMetrics,
    ) -> None:
        self._state = state
        self._members = members
        self._link = link
        self._metrics = metrics
        self._member_since: float | None = None
        self._told_at: dict[int, float] = {}
        self._told: dict[int, float | None] = {}
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[Permit]] = {}
        self._greeted: set[str] = set()
        members.on_change(self._handle_members)
        link.handle(RateLimitNotice, self._handle_notice)
        link.handle(SendPermitRequest, self._handle_request)
        link.handle(SendPermitAnswer, self._handle_answer)

    # Permits.

    async def obtain(
        self, pool: PoolRuntime, track: UpstreamTrack, wait_s: float
    ) -> Permit:
        """Obtain a permit for one request to a limited upstream, and wait for its time.

        :param wait_s: time that the request can wait for it.
        """
        issuer = self._issuer(pool, track.crc)
        if issuer == self._members.work:
            permit = self._issue(pool, track.crc, wait_s)
        else:
            permit = await self._ask(issuer, pool, track.crc, wait_s)
        result = "granted" if permit.granted else "refused"
        self._metrics.send_permits.labels(pool.cells.name, result).inc()
        if permit.granted and permit.seconds > 0:
            await asyncio.sleep(permit.seconds)
        return permit

    def _issue(self, pool: PoolRuntime, upstream: int, wait_s: float) -> Permit:
        limits = pool.rate_limits
        now = time.monotonic()
        seconds = limits.reserve(upstream, now, wait_s)
        if seconds is not None:
            return Permit(granted=True, seconds=seconds)
        return Permit(granted=False, seconds=limits.returns_in_s(upstream, now))

    async def _ask(
        self, issuer: str, pool: PoolRuntime, upstream: int, wait_s: float
    ) -> Permit:
        limit = pool.rate_limits.get(upstream)
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._asked[number] = fut
        request = SendPermitRequest(
            number=number,
            pool=pool.cells.crc,
            upstream=upstream,
            per_s=limit.per_s if limit is not None else 0.0,
            wait_s=wait_s,
        )
        self._link.send(issuer, request)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                return await fut
        except TimeoutError:
            self._metrics.send_permits.labels(pool.cells.name, "unanswered").inc()
            return Permit(granted=False, seconds=_UNANSWERED_PAUSE_S)
        finally:
            del self._asked[number]

    def _handle_request(self, request: SendPermitRequest, address: str) -> None:
        permit = Permit(granted=False, seconds=_UNANSWERED_PAUSE_S)
        pool = self._state.pool_by_crc(request.pool)
        if pool is not None:
            if pool.rate_limits.get(request.upstream) is None:
                self._learn(pool, request.upstream, request.per_s)
            permit = self._issue(pool, request.upstream, request.wait_s)
        answer = SendPermitAnswer(
            number=request.number, granted=permit.granted, seconds=permit.seconds
        )
        self._link.send(address, answer)

    def _handle_answer(self, answer: SendPermitAnswer, address: str) -> None:
        fut = self._asked.get(answer.number)
        if fut is not None and not fut.done():
            fut.set_result(Permit(granted=answer.granted, seconds=answer.seconds))

    # Issuers.

    def _issuer(self, pool: PoolRuntime, upstream: int) -> str:
        """Return the work address of the node that issues an upstream's permits."""
        cells = pool.cells
        resource = cell_resource(cells.name, cells.index_of(upstream))
        return next(iter(self._members.homes(resource, 1)), self._members.work)

    def _handle_members(self) -> None:
        self._is_member()
        self.update_issuers()
        self._greet_new_members()

    def _greet_new_members(self) -> None:
        """Tell nodes that have joined the limits for which this one issues permits."""
        present = {host.work for host in self._members.others()}
        joined, self._greeted = present - self._greeted, present
        for pool in self._state.pools.values() if joined else ():
            for upstream in pool.rate_limits:
                limit = pool.rate_limits.get(upstream)
                if limit.issues_from == math.inf:
                    continue
                for address in joined:
                    self._link.send(address, _notice(pool, upstream, limit.per_s))

    def update_issuers(self) -> None:
        """Begin or stop to issue permits as the members or the cells have changed."""
        since = time.monotonic() + self._takeover_s
        for pool in self._state.pools.values():
            for upstream in pool.rate_limits:
                self._update_issuer(pool, upstream, since)

    def _update_issuer(self, pool: PoolRuntime, upstream: int, since: float) -> None:
        """Have this node issue an upstream's permits, if that is up to it.

        :param since: when it begins if it has not issued any yet.
        """
        if self._is_member() and self._issuer(pool, upstream) == self._members.work:
            pool.rate_limits.issue_from(upstream, since)
        else:
            pool.rate_limits.stop_issuing(upstream)

    @property
    def _takeover_s(self) -> float:
        """Time until this node may issue in another one's place."""
        return _TAKEOVER_S if self._members.total > 1 else 0.0

    def _is_member(self) -> bool:
        """Whether this node has joined the others; before, it ranks itself first."""
        if self._members.joining:
            return False
        if self._member_since is None:
            self._member_since = time.monotonic()
        return True

    # Limits.

    def announce(self, pool: PoolRuntime, track: UpstreamTrack, *, new: bool) -> None:
        """Tell the other nodes what an answer states of an upstream's limit.

        :param new: whether this node has just learned of it.
        """
        upstream, now = track.crc, time.monotonic()
        limit = pool.rate_limits.get(upstream)
        if new and limit is not None:
            self._begin(pool, upstream, now)
        known = self._told.get(upstream)
        per_s = limit.per_s if limit is not None else None
        changed = new and not _is_close(known, per_s)
        if changed:
            asyncio.get_running_loop().call_later(
                _RESEND_S, self._send_notice, pool, upstream
            )
        elif per_s is None or now - self._told_at.get(upstream, 0.0) < _REPEAT_S:
            return
        self._send_notice(pool, upstream)

    def _begin(self, pool: PoolRuntime, upstream: int, now: float) -> None:
        """Issue the permits of an upstream that has begun to state a limit.

        The nodes agree on its issuer already, unless this one has just joined.
        """
        since = now
        if self._is_member():
            since = max(now, self._member_since + self._takeover_s)
        self._update_issuer(pool, upstream, since)

    def _send_notice(self, pool: PoolRuntime, upstream: int) -> None:
        limit = pool.rate_limits.get(upstream)
        per_s = limit.per_s if limit is not None else None
        self._note_told(upstream, per_s)
        notice = _notice(pool, upstream, per_s)
        for host in self._members.others():
            self._link.send(host.work, notice)

    def _handle_notice(self, notice: RateLimitNotice, address: str) -> None:
        pool = self._state.pool_by_crc(notice.pool)
        if pool is None:
            return
        self._note_told(notice.upstream, notice.per_s)
        self._learn(pool, notice.upstream, notice.per_s)

    def _learn(self, pool: PoolRuntime, upstream: int, per_s: float | None) -> None:
        """Take over what another node has learned of a limit."""
        now = time.monotonic()
        limits = pool.rate_limits
        limit = limits.get(upstream)
        before = limit.per_s if limit is not None else None
        if per_s is None:
            changed = limits.end(upstream)
        else:
            changed = limits.set(upstream, per_s, now)
        if not changed:
            return
        if limit is None:
            self._begin(pool, upstream, now)
        track = pool.scheduler.track(upstream)
        log(
            RATE_LIMIT,
            pool=pool.cells.name,
            upstream=track.entry.instance if track else f"crc {upstream}",
            before=before,
            per_s=per_s,
            by="peer",
        )

    def _note_told(self, upstream: int, per_s: float | None) -> None:
        self._told_at[upstream] = time.monotonic()
        self._told[upstream] = per_s

    def forget_unlimited(self) -> None:
        """Forget what was told of upstreams that have no limit any more."""
        limited = {
            upstream
            for pool in self._state.pools.values()
            for upstream in pool.rate_limits
        }
        recent = time.monotonic() - _REPEAT_S
        kept = {
            upstream
            for upstream, at in self._told_at.items()
            if upstream in limited or at > recent
        }
        self._told_at = {crc: at for crc, at in self._told_at.items() if crc in kept}
        self._told = {crc: told for crc, told in self._told.items() if crc in kept}


def _notice(pool: PoolRuntime, upstream: int, per_s: float | None) -> RateLimitNotice:
    return RateLimitNotice(pool=pool.cells.crc, upstream=upstream, per_s=per_s)


def _is_close(told: float | None, per_s: float | None) -> bool:
    """Whether the others know a limit well enough."""
    if told is None or per_s is None:
        return told is per_s
    return abs(told - per_s) <= _TOLD_CHANGE * per_s
