"""Exchange of crash reports on requests between nodes.

Each node sends its crash reports to two nodes of a ranking, the collectors, which
broadcast the requests that are quarantined. So crashes are added up although the
request arrives at another node each time, and what a node receives does not grow with
the fleet. Nothing is sent while there is nothing to report.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from time import monotonic

from baobabwing.gateway.batches import batches
from baobabwing.gateway.decisions.quarantine import (
    CrashReport,
    CrashReportKind,
    Quarantine,
    RecordChange,
)
from baobabwing.gateway.events import REQUEST_CLEARED, REQUEST_HELD
from baobabwing.gateway.members import Members
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import CrashReports
from baobabwing.gateway.resends import Resends
from baobabwing.reports.events import log

__all__ = ["CrashReportExchange"]

_RESOURCE = "findings"
# Two, so that one may fail without any effect.
_COLLECTORS = 2
# Reports that fit a datagram that is not fragmented.
_MAX_PER_DATAGRAM = 60


class CrashReportExchange:
    """Sends this node's crash reports, and forwards the quarantines of collectors.

    :param book: stores the crash reports, and decides on quarantine.
    :param members: rank the collectors and list the other nodes.
    :param link: carries the messages.
    :ivar on_verdict: called at the collectors with each request that is quarantined or
        cleared.
    """

    def __init__(
        self, *, book: Quarantine, members: Members, link: GatewayLink
    ) -> None:
        self._quarantine = book
        self._members = members
        self._link = link
        self._resends = Resends(send=self._send_to)
        self._targets: frozenset[tuple[str, int]] = frozenset()
        self.on_verdict: Callable[[CrashReport], None] = lambda finding: None
        book.on_news = self._handle_news
        book.on_verdict = self._handle_verdict
        members.on_change(self._handle_members)
        link.handle(CrashReports, self._handle_findings)

    async def run(self) -> None:
        """Send new reports for as long as the node runs."""
        await self._resends.run()

    def restore(self, quarantined: Iterable[CrashReport]) -> None:
        """Quarantine the requests that were quarantined before this node started."""
        now = monotonic()
        for finding in quarantined:
            if finding.left_s > 0:
                self._quarantine.hear(finding, now)

    def keep_verdicts(self) -> None:
        """At a collector, call ``on_verdict`` again for each quarantined request."""
        if self._members.work not in self._collectors():
            return
        now = monotonic()
        for digest in self._quarantine.digests():
            for finding in self._quarantine.findings(digest, now, verdict_only=True):
                self.on_verdict(finding)

    def _handle_news(self, news: RecordChange) -> None:
        collectors = self._collectors()
        if self._members.work not in collectors:
            # Other nodes send their reports to the collectors themselves.
            self._schedule(collectors if news.own else (), (news.digest,))
        elif news.verdict:
            self._schedule(self._other_nodes(), (news.digest,))
        elif news.own:
            self._schedule(collectors, (news.digest,))

    def _schedule(self, targets: Iterable[str], digests: Iterable[int]) -> None:
        others = (target for target in targets if target != self._members.work)
        self._resends.schedule(others, digests)

    def _collectors(self) -> list[str]:
        return self._members.homes(_RESOURCE, _COLLECTORS)

    def _other_nodes(self) -> list[str]:
        return [host.work for host in self._members.others()]

    def _handle_members(self) -> None:
        """Send all reports to nodes that joined, or that are reachable again.

        A node that was killed and started again has lost its reports, although its
        address is the same.
        """
        hosts = self._members.ranked(_RESOURCE, _COLLECTORS)
        if self._members.work in {host.work for host in hosts}:
            hosts = self._members.others()
        previous = self._targets
        self._targets = frozenset((host.work, host.incarnation) for host in hosts)
        joined = {work for work, _ in self._targets - previous}
        self._schedule(joined, self._quarantine.digests())

    def _handle_verdict(self, finding: CrashReport) -> None:
        quarantined = finding.kind is CrashReportKind.HELD
        log(
            REQUEST_HELD if quarantined else REQUEST_CLEARED,
            digest=f"{finding.digest:016x}",
            times=finding.times,
            left_s=round(finding.left_s, 1),
        )
        if self._members.work in self._collectors():
            self.on_verdict(finding)

    def _send_to(self, target: str, digests: list[int]) -> None:
        """Send what is known of requests to a node.

        Collectors also receive the crashes on which a quarantine is based.
        """
        now = monotonic()
        verdict_only = target not in self._collectors()
        reports: list[CrashReport] = []
        for digest in digests:
            reports += self._quarantine.findings(digest, now, verdict_only=verdict_only)
        for batch in batches(reports, _MAX_PER_DATAGRAM):
            self._link.send(target, CrashReports(findings=batch))

    def _handle_findings(self, message: CrashReports, address: str) -> None:
        now = monotonic()
        for finding in message.findings:
            self._quarantine.hear(finding, now)
        if self._members.work in self._collectors():
            self._schedule(
                (address,), _missing_at_sender(self._quarantine, message, now)
            )


def _missing_at_sender(book: Quarantine, message: CrashReports, now: float) -> set[int]:
    """Return the quarantined requests that a message reports as crashing only.

    The sender has lost the message that quarantines them, and still sends them to
    upstreams.
    """
    digests_by_kind = {kind: set() for kind in CrashReportKind}
    for finding in message.findings:
        is_over = finding.kind is CrashReportKind.HELD and finding.left_s <= 0
        if not is_over:
            digests_by_kind[finding.kind].add(finding.digest)
    crashing = (
        digests_by_kind[CrashReportKind.ENDED] - digests_by_kind[CrashReportKind.HELD]
    )
    return {digest for digest in crashing if book.held_s(digest, now) > 0}
