"""Exchange between nodes of what crashes upstreams: parts of prompts.

Each node sends the requests under which upstreams crashed to two nodes of a ranking,
the collectors. These blame parts of their prompts, and ask all nodes whether upstreams
have survived them, before they hold a part back at all nodes. So nothing is sent for
requests that are answered, and what a node receives does not grow with the fleet.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Collection, Iterable
from time import monotonic

from baobabwing.gateway.batches import batches
from baobabwing.gateway.decisions.prompt_parts import CrashedRequest, PartQuarantine
from baobabwing.gateway.decisions.quarantine import CrashReport, CrashReportKind
from baobabwing.gateway.events import PART_CLEARED, PART_HELD, PART_TRIAL
from baobabwing.gateway.members import Members
from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import (
    CrashedRequestReport,
    CrashedRequestReports,
    PartInquiry,
    PartSurvival,
    PartSurvivals,
    PartTrialAnswer,
    PartTrialRequest,
    PartVerdicts,
)
from baobabwing.gateway.resends import Resends
from baobabwing.gateway.supervision import supervise
from baobabwing.reports.events import log

__all__ = ["PartReportExchange"]

_RESOURCE = "parts"
# Two, so that one may fail without any effect.
_COLLECTORS = 2
# Times of the inquiries to all nodes, from the first one, and the time after which
# those that have not answered are left out.
_INQUIRY_TIMES_S = (0.0, 0.05)
_INQUIRY_S = 0.15
# Delay of a decision, so that the reports on one crash are weighed together.
_JUDGE_DELAY_S = 0.02
# Time in which a collector answers whether a request may be tried.
_TRIAL_ANSWER_S = 0.1
# Items that fit a datagram that is not fragmented.
_MAX_PER_DATAGRAM = 50
# Parts of one request that are reported, and requests in one datagram.
_MAX_PARTS = 16
_MAX_REQUESTS = 8
_LOGGED_REQUESTS = 8


class PartReportExchange:
    """Sends this node's evidence on parts, and decides on them if it is a collector.

    :param book: stores the evidence and the held parts.
    :param members: rank the collectors and list the other nodes.
    :param link: carries the messages.
    :ivar on_verdict: called at the collectors with each part that is held or released.
    """

    def __init__(
        self, *, book: PartQuarantine, members: Members, link: GatewayLink
    ) -> None:
        self._book = book
        self._members = members
        self._link = link
        self._crash_resends = Resends(send=self._send_crashes)
        self._verdict_resends = Resends(send=self._send_verdicts)
        self._judgement: asyncio.TimerHandle | None = None
        self._inquired: set[int] = set()
        self._inquiries: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[bool]] = {}
        self._targets: frozenset[tuple[str, int]] = frozenset()
        self.on_verdict: Callable[[CrashReport], None] = lambda verdict: None
        members.on_change(self._handle_members)
        link.handle(CrashedRequestReports, self._handle_crashes)
        link.handle(PartInquiry, self._handle_inquiry)
        link.handle(PartSurvivals, self._handle_survivals)
        link.handle(PartVerdicts, self._handle_verdicts)
        link.handle(PartTrialRequest, self._handle_trial_request)
        link.handle(PartTrialAnswer, self._handle_trial_answer)

    async def run(self) -> None:
        """Send new reports for as long as the node runs."""
        await asyncio.gather(
            supervise("crashes of parts", self._crash_resends.run),
            supervise("verdicts on parts", self._verdict_resends.run),
        )

    # Evidence of this node.

    def crashed(self, request: CrashedRequest) -> None:
        """Report a request of this node under which an upstream crashed."""
        if not request.parts or not self._book.crashed(request):
            return
        self._crash_resends.schedule(self._other_collectors(), (request.key,))
        self._schedule_judgement()

    def survived(self, parts: Iterable[int], began_at: float) -> None:
        """Report an answer of this node at an upstream that lived on.

        :param began_at: when it began, by the monotonic clock.
        """
        for part in self._book.survived(parts, began_at):
            if self._book.release(part, monotonic()):
                self._spread(part)

    async def may_try(self, part: int) -> bool:
        """Whether a request with a held part may be sent, as the only one of all nodes.

        A part whose trial is not due is refused without asking.
        """
        collectors = self._collectors()
        if not collectors or not self._book.is_due(part, monotonic()):
            return False
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._asked[number] = fut
        self._link.send(collectors[0], PartTrialRequest(number=number, part=part))
        try:
            async with asyncio.timeout(_TRIAL_ANSWER_S):
                granted = await fut
        except TimeoutError:
            return False
        finally:
            del self._asked[number]
        if granted:
            log(PART_TRIAL, part=f"{part:016x}")
        return granted

    # Holds that outlive the processes.

    def restore(self, verdicts: Iterable[CrashReport]) -> None:
        """Hold the parts that were held before this node started."""
        now = monotonic()
        for verdict in verdicts:
            self._book.hear(verdict, now)

    def keep_verdicts(self) -> None:
        """At a collector, call ``on_verdict`` again for each held part."""
        if self._is_collector():
            for part in self._book.held():
                self.on_verdict(self._book.report(part, monotonic()))

    # Decisions of collectors.

    def _schedule_judgement(self) -> None:
        if self._judgement is None and self._is_collector():
            loop = asyncio.get_running_loop()
            self._judgement = loop.call_later(_JUDGE_DELAY_S, self._judge)

    def _judge(self) -> None:
        """Hold parts that failed their trial; inquire after parts that are blamed."""
        self._judgement = None
        now = monotonic()
        for part in self._book.failed_trials(now):
            self._hold(part)
        blamed = set(self._book.suspects(now)) - self._inquired
        if blamed:
            self._inquired |= blamed
            task = asyncio.ensure_future(self._inquire(tuple(blamed)))
            self._inquiries.add(task)
            task.add_done_callback(self._inquiries.discard)

    async def _inquire(self, parts: tuple[int, ...]) -> None:
        """Hold parts unless other nodes know better.

        Only a part that is blamed when all have been heard is held: the answers may
        shift the blame to another one.
        """
        others = self._other_nodes()
        waits_s = (*_INQUIRY_TIMES_S[1:], _INQUIRY_S)
        try:
            for sent_s, until_s in zip(_INQUIRY_TIMES_S, waits_s, strict=True):
                for batch in batches(parts, _MAX_PER_DATAGRAM):
                    for address in others:
                        self._link.send(address, PartInquiry(parts=batch))
                if others:
                    await asyncio.sleep(until_s - sent_s)
            blamed = self._book.suspects(monotonic())
        finally:
            self._inquired.difference_update(parts)
        held = [part for part in blamed if part in parts]
        for part in held:
            self._hold(part, beside=held)
        self._schedule_judgement()

    def _hold(self, part: int, *, beside: Collection[int] = ()) -> None:
        self._book.hold(part, monotonic(), beside=beside)
        self._spread(part)

    # Messages.

    def _spread(self, part: int) -> None:
        """Tell other nodes of a part that was held or released here."""
        self._note_verdict(part)
        targets = self._other_nodes() if self._is_collector() else self._collectors()
        self._verdict_resends.schedule(targets, (part,))

    def _note_verdict(self, part: int) -> None:
        report = self._book.report(part, monotonic())
        if report is None:
            return
        if report.kind is CrashReportKind.HELD:
            log(
                PART_HELD,
                part=f"{part:016x}",
                times=report.times,
                left_s=round(report.left_s, 1),
                requests=self._accusing(part),
            )
        else:
            log(PART_CLEARED, part=f"{part:016x}")
        if self._is_collector():
            self.on_verdict(report)

    def _accusing(self, part: int) -> list[str]:
        """Return the digests of some requests with a part, for the log."""
        requests = self._book.requests(monotonic())
        digests = {one.digest for one in requests if part in one.parts}
        return [f"{digest:016x}" for digest in sorted(digests)[:_LOGGED_REQUESTS]]

    def _send_crashes(self, target: str, keys: list[tuple[int, int]]) -> None:
        now = monotonic()
        requests = (self._book.request(key) for key in keys)
        reports = [_to_report(request, now) for request in requests if request]
        for batch in batches(reports, _MAX_REQUESTS):
            self._link.send(target, CrashedRequestReports(requests=batch))

    def _send_verdicts(self, target: str, parts: list[int]) -> None:
        now = monotonic()
        verdicts = (self._book.report(part, now) for part in parts)
        known = [verdict for verdict in verdicts if verdict is not None]
        for batch in batches(known, _MAX_PER_DATAGRAM):
            self._link.send(target, PartVerdicts(verdicts=batch))

    def _handle_crashes(self, message: CrashedRequestReports, address: str) -> None:
        now = monotonic()
        news = [
            self._book.crashed(_from_report(report, now)) for report in message.requests
        ]
        if any(news):
            self._schedule_judgement()

    def _handle_inquiry(self, message: PartInquiry, address: str) -> None:
        now = monotonic()
        ages = ((part, self._book.survived_s(part, now)) for part in message.parts)
        survivals = tuple(
            PartSurvival(part=part, age_s=age_s)
            for part, age_s in ages
            if age_s is not None
        )
        if survivals:
            self._link.send(address, PartSurvivals(survivals=survivals))

    def _handle_survivals(self, message: PartSurvivals, address: str) -> None:
        now = monotonic()
        for survival in message.survivals:
            self.survived((survival.part,), now - survival.age_s)

    def _handle_verdicts(self, message: PartVerdicts, address: str) -> None:
        now = monotonic()
        for verdict in message.verdicts:
            part = verdict.digest
            if self._book.hear(verdict, now):
                self._note_verdict(part)
                if self._is_collector():
                    self._verdict_resends.schedule(self._other_nodes(), (part,))
            elif self._is_outdated(verdict):
                self._verdict_resends.schedule((address,), (part,))

    def _is_outdated(self, verdict: CrashReport) -> bool:
        """Whether the sender of a hold has not heard of the release."""
        known = self._book.report(verdict.digest, monotonic())
        held = verdict.kind is CrashReportKind.HELD
        return held and known is not None and known.kind is CrashReportKind.CLEARED

    def _handle_trial_request(self, message: PartTrialRequest, address: str) -> None:
        granted = self._book.grant_trial(message.part, monotonic())
        answer = PartTrialAnswer(number=message.number, granted=granted)
        self._link.send(address, answer)

    def _handle_trial_answer(self, message: PartTrialAnswer, address: str) -> None:
        fut = self._asked.get(message.number)
        if fut is not None and not fut.done():
            fut.set_result(message.granted)

    # Members.

    def _handle_members(self) -> None:
        """Send all that is known to nodes that joined, or are reachable again."""
        hosts = self._members.ranked(_RESOURCE, _COLLECTORS)
        collectors = {(host.work, host.incarnation) for host in hosts}
        if self._is_collector():
            hosts = self._members.others()
        previous = self._targets
        self._targets = frozenset((host.work, host.incarnation) for host in hosts)
        joined = self._targets - previous
        keys = [request.key for request in self._book.requests(monotonic())]
        self._crash_resends.schedule(self._without_own(joined & collectors), keys)
        self._verdict_resends.schedule(self._without_own(joined), self._book.held())

    def _without_own(self, hosts: Iterable[tuple[str, int]]) -> list[str]:
        return [work for work, _ in hosts if work != self._members.work]

    def _collectors(self) -> list[str]:
        return self._members.homes(_RESOURCE, _COLLECTORS)

    def _is_collector(self) -> bool:
        return self._members.work in self._collectors()

    def _other_collectors(self) -> list[str]:
        return [work for work in self._collectors() if work != self._members.work]

    def _other_nodes(self) -> list[str]:
        return [host.work for host in self._members.others()]


def _to_report(request: CrashedRequest, now: float) -> CrashedRequestReport:
    return CrashedRequestReport(
        digest=request.digest,
        upstream=request.upstream,
        certain=request.certain,
        ran_s=request.crashed_at - request.sent_at,
        age_s=now - request.crashed_at,
        parts=request.parts[:_MAX_PARTS],
    )


def _from_report(report: CrashedRequestReport, now: float) -> CrashedRequest:
    crashed_at = now - report.age_s
    return CrashedRequest(
        digest=report.digest,
        upstream=report.upstream,
        parts=report.parts,
        sent_at=crashed_at - report.ran_s,
        crashed_at=crashed_at,
        certain=report.certain,
    )
