"""Whether upstreams have ended that closed the connection of a request."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace

from baobabwing.exceptions import ConnectionLostError, PeerClosedError
from baobabwing.gateway.call import Call
from baobabwing.gateway.decisions.prompt_parts import MIN_SURVIVAL_S, CrashedRequest
from baobabwing.gateway.decisions.quarantine import Quarantine, just_started
from baobabwing.gateway.decisions.scheduling import Grant
from baobabwing.gateway.events import UPSTREAM_STILL_UP
from baobabwing.gateway.model import UpstreamEntry
from baobabwing.gateway.part_reports import PartReportExchange
from baobabwing.gateway.upstream_connections import (
    ConnectionPool,
    ProbeResult,
    UpstreamConnection,
)
from baobabwing.reports.events import log

__all__ = ["CrashChecks"]


@dataclass(frozen=True, kw_only=True)
class _Loss:
    """A lost answer whose upstream may have ended.

    :param suspected: whether a crash is strong evidence against the request.
    :param crashed: the request, if a crash accuses parts of its prompt.
    :param early: whether the connection may have been closed before the request
        arrived. A proxy whose upstream ended earlier does so; one that is refused now
        had a process that accepted the connection of the request.
    """

    digest: int
    entry: UpstreamEntry
    upstream: int
    suspected: bool
    crashed: CrashedRequest | None
    early: bool


class CrashChecks:
    """Records lost answers as crashes, strong ones once their upstreams have ended.

    An upstream that closes one connection may well keep all others: it ran into a
    limit, or a device on the path cut the connection. Until it is found to have ended,
    a lost answer is weak evidence against the request.

    :param quarantine: adds up the crashes of each request.
    :param parts: adds up those of the parts of prompts.
    :param connections: pool of persistent connections to upstreams.
    """

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        parts: PartReportExchange,
        connections: ConnectionPool,
    ) -> None:
        self._quarantine = quarantine
        self._parts = parts
        self._connections = connections
        self._probes: dict[tuple[str, bool], asyncio.Task[ProbeResult]] = {}
        self._late_checks: set[asyncio.Task[None]] = set()
        self._checks: dict[int, dict[int, asyncio.Task[None]]] = {}

    def lost(
        self,
        call: Call,
        grant: Grant,
        connection: UpstreamConnection,
        exc: ConnectionLostError,
    ) -> None:
        """Record that the connection of a running request was lost."""
        now = time.monotonic()
        began_at = call.output_began_at
        begun_s = None if began_at is None else now - began_at
        upstream = grant.track.crc
        counts = self._quarantine.lost(
            call.digest, upstream, now=now, begun_s=begun_s, sure=False
        )
        crashed = _crashed_request(call, upstream, begun_s, now)
        if crashed is not None:
            self._parts.crashed(crashed)
        suspected = counts and just_started(begun_s)
        if not isinstance(exc, PeerClosedError) or not (suspected or crashed):
            return
        early = connection.may_have_closed_before_request(now)
        loss = _Loss(
            digest=call.digest,
            entry=grant.track.entry,
            upstream=upstream,
            suspected=suspected,
            crashed=crashed,
            early=early,
        )
        checks = self._checks.setdefault(call.digest, {})
        if upstream not in checks:
            checks[upstream] = asyncio.ensure_future(self._check(loss))

    async def settle(self, call: Call, until: float) -> None:
        """Wait for checks that may quarantine a request before it is sent again.

        :param until: longest time to wait, by the monotonic clock.
        """
        checks = self._checks.get(call.digest)
        if checks and self._quarantine.held_if_confirmed(call.digest, checks):
            await asyncio.wait(checks.values(), timeout=until - time.monotonic())

    async def _check(self, loss: _Loss) -> None:
        """Confirm a crash if the upstream has ended."""
        try:
            result = await self._shared_probe(loss.entry)
            self._judge(result, loss)
            if result is ProbeResult.OPEN:
                self._look_again(loss)
        finally:
            checks = self._checks[loss.digest]
            del checks[loss.upstream]
            if not checks:
                del self._checks[loss.digest]

    def _look_again(self, loss: _Loss) -> None:
        """Confirm a crash later if the upstream seemed up; no request waits for it."""

        async def check_late() -> None:
            self._judge(await self._shared_probe(loss.entry, patient=True), loss)

        task = asyncio.ensure_future(check_late())
        self._late_checks.add(task)
        task.add_done_callback(self._late_checks.discard)

    def _judge(self, result: ProbeResult, loss: _Loss) -> None:
        ended = result is ProbeResult.REFUSED
        if not ended and (result is not ProbeResult.CLOSED or loss.early):
            return
        if loss.suspected:
            self._quarantine.confirm(loss.digest, loss.upstream, now=time.monotonic())
        if loss.crashed is not None:
            self._parts.crashed(replace(loss.crashed, certain=True))

    async def _shared_probe(
        self, entry: UpstreamEntry, *, patient: bool = False
    ) -> ProbeResult:
        """Return the result of a probe that all lost requests of an upstream share."""
        key = (entry.instance, patient)
        probe = self._probes.get(key)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(entry, patient))
            self._probes[key] = probe
        return await probe

    async def _probe(self, entry: UpstreamEntry, patient: bool) -> ProbeResult:
        try:
            result = await self._connections.probe(
                entry.address, entry.instance, patient=patient
            )
        finally:
            del self._probes[entry.instance, patient]
        if result is ProbeResult.OPEN and patient:
            log(UPSTREAM_STILL_UP, upstream=entry.instance)
        return result


def _crashed_request(
    call: Call, upstream: int, begun_s: float | None, now: float
) -> CrashedRequest | None:
    """Return a lost request if its answer had just begun, or had not."""
    if not call.parts or (begun_s is not None and begun_s >= MIN_SURVIVAL_S):
        return None
    return CrashedRequest(
        digest=call.digest,
        upstream=upstream,
        parts=call.parts,
        sent_at=call.sent_at or now,
        crashed_at=now,
        certain=False,
    )
