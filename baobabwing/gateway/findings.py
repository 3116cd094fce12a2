"""Findings on requests that crash upstreams, told to all nodes.

Each node tells two of a ranking what it found, and these tell all nodes which requests
are held back. So ends are added up although the request comes to another node each
time, and what a node is told does not grow with the fleet. Nothing is sent while there
is nothing to tell.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice
from time import monotonic

from baobabwing.gateway.decisions.quarantine import (
    Finding,
    FindingKind,
    News,
    Quarantine,
)
from baobabwing.gateway.events import REQUEST_CLEARED, REQUEST_HELD
from baobabwing.gateway.members import Members
from baobabwing.gateway.placement.link import WorkLink
from baobabwing.gateway.placement.messages import Findings
from baobabwing.reports.events import log

__all__ = ["FindingsExchange"]

_RESOURCE = "findings"
# Two, so that one may end without anybody noticing.
_COLLECTORS = 2
# Findings of one crash come from all nodes within this time.
_GATHER_S = 0.01
# Datagrams are lost now and then, and paths are cut for seconds before the members
# notice: each finding goes out again after this, then after twice as long, up to the
# longest, six times within 8 s.
_REPEAT_S = 0.25
_LONGEST_REPEAT_S = 4.0
# What fits a datagram that is not split on its way.
_MOST_IN_ONE = 60


@dataclass(kw_only=True)
class _Due:
    """When a finding goes out next, and after which pause the time after that."""

    at: float
    pause_s: float = _REPEAT_S


class FindingsExchange:
    """Tells what this node found, and hands on what it is told.

    :param book: what is known.
    :param members: tell which nodes there are.
    :param link: carries the messages.
    :ivar on_verdict: called at the two nodes that all others tell, with each request
        that is held back from now on, or cleared.
    """

    def __init__(self, *, book: Quarantine, members: Members, link: WorkLink) -> None:
        self._book = book
        self._members = members
        self._link = link
        self._pending: dict[str, dict[int, _Due]] = defaultdict(dict)
        self._known: frozenset[tuple[str, int]] = frozenset()
        self._wake = asyncio.Event()
        self.on_verdict: Callable[[Finding], None] = lambda finding: None
        book.on_news = self._take_news
        book.on_verdict = self._note_verdict
        members.on_change(self._retarget)
        link.handle(Findings, self._take)

    async def run(self) -> None:
        """Tell what is new for as long as the node runs."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await asyncio.sleep(_GATHER_S)
            while self._pending:
                self._send_due()
                await asyncio.sleep(_REPEAT_S)

    def restore(self, held: Iterable[Finding]) -> None:
        """Take requests that were held back before this node started."""
        now = monotonic()
        for finding in held:
            if finding.left_s > 0:
                self._book.hear(finding, now)

    def keep_verdicts(self) -> None:
        """Have ``on_verdict`` called anew with each request that is held back."""
        if self._members.work not in self._collectors():
            return
        now = monotonic()
        for digest in self._book.digests():
            for finding in self._book.findings(digest, now, verdict_only=True):
                self.on_verdict(finding)

    def _take_news(self, news: News) -> None:
        collectors = self._collectors()
        if self._members.work not in collectors:
            # What others found reaches the collectors from those themselves.
            self._tell(collectors if news.own else (), (news.digest,))
        elif news.verdict:
            self._tell(self._others(), (news.digest,))
        elif news.own:
            self._tell(collectors, (news.digest,))

    def _tell(self, targets: Iterable[str], digests: Iterable[int]) -> None:
        now = monotonic()
        for target in targets:
            if target != self._members.work:
                for digest in digests:
                    self._pending[target][digest] = _Due(at=now)
                    self._wake.set()

    def _collectors(self) -> list[str]:
        return self._members.homes(_RESOURCE, _COLLECTORS)

    def _others(self) -> list[str]:
        return [host.work for host in self._members.others()]

    def _retarget(self) -> None:
        """Tell nodes that came, or were cut off, all that is known.

        One that was killed and started again has forgotten it, although it has the
        same address.
        """
        hosts = self._members.ranked(_RESOURCE, _COLLECTORS)
        if self._members.work in {host.work for host in hosts}:
            hosts = self._members.others()
        before = self._known
        self._known = frozenset((host.work, host.incarnation) for host in hosts)
        came = {work for work, _ in self._known - before}
        self._tell(came, self._book.digests())

    def _note_verdict(self, finding: Finding) -> None:
        held = finding.kind is FindingKind.HELD
        log(
            REQUEST_HELD if held else REQUEST_CLEARED,
            digest=f"{finding.digest:016x}",
            times=finding.times,
            left_s=round(finding.left_s, 1),
        )
        if self._members.work in self._collectors():
            self.on_verdict(finding)

    def _send_due(self) -> None:
        now = monotonic()
        for target in tuple(self._pending):
            self._send_to(target, now)
            if not self._pending[target]:
                del self._pending[target]

    def _send_to(self, target: str, now: float) -> None:
        """Send what is due; nodes that all others tell get what it rests on as well."""
        verdict_only = target not in self._collectors()
        found: list[Finding] = []
        pending = self._pending[target]
        for digest, due in tuple(pending.items()):
            if now < due.at:
                continue
            found += self._book.findings(digest, now, verdict_only=verdict_only)
            if due.pause_s > _LONGEST_REPEAT_S:
                del pending[digest]
            else:
                pending[digest] = _Due(at=now + due.pause_s, pause_s=2 * due.pause_s)
        for part in _parts(found):
            self._link.send(target, Findings(findings=part))

    def _take(self, message: Findings, address: str) -> None:
        now = monotonic()
        for finding in message.findings:
            self._book.hear(finding, now)
        if self._members.work in self._collectors():
            self._tell((address,), _unknown_holds(self._book, message, now))


def _unknown_holds(book: Quarantine, message: Findings, now: float) -> set[int]:
    """Return requests that are held back and that the sender does not know to be.

    The word of it was lost on the way to a node that goes on sending the request.
    """
    kinds = {kind: set() for kind in FindingKind}
    for finding in message.findings:
        kinds[finding.kind].add(finding.digest)
    ended = kinds[FindingKind.ENDED] - kinds[FindingKind.HELD]
    return {digest for digest in ended if book.held_s(digest, now) > 0}


def _parts(found: list[Finding]) -> Iterable[tuple[Finding, ...]]:
    rest = iter(found)
    while part := tuple(islice(rest, _MOST_IN_ONE)):
        yield part
