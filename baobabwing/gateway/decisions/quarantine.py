"""Quarantine of requests that crash the upstreams that run them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum

__all__ = [
    "CrashReport",
    "CrashReportKind",
    "Quarantine",
    "RecordChange",
    "just_started",
]

# Weight of a crash. An upstream that crashes right after it began to run a request is
# strong evidence against that request. Evidence is weak if
# - the upstream crashed long after: several requests run there then, most of them long;
# - it may have ended before: behind a proxy of its own it still accepts connections and
#   resets each of them at once, as it does with too many connections;
# - it only became unresponsive: it may have ended, or be overloaded;
# - it is not known to have ended: it may have closed a single connection.
_STRONG_WEIGHT = 3
_WEAK_WEIGHT = 1
# Weight at which a request is quarantined: two strong crashes, or six weak ones. A
# harmless request meets two crashes in a row only as a first attempt and its retry; a
# harmful one would cost the answers of all requests that run at a third upstream.
_QUARANTINE_WEIGHT = 6
# Time since the first event up to which a request counts as just begun: a crash shows
# within some 100 ms, along with the events that were in transit.
_JUST_STARTED_S = 0.25
# Duration of the first quarantine, and the factor to each later one. A request that was
# quarantined wrongly is served after it; one that crashes upstreams crashes one more
# each time, six in its first hour.
_FIRST_QUARANTINE_S = 10.0
_QUARANTINE_GROWTH = 8.0
_MAX_QUARANTINE_S = 3600.0
# Shortest first quarantine if another request ran at the same upstreams as they
# crashed, and the number of such steps up to the longest. One of the two is harmless
# and may be asked for by many callers. Their quarantines mostly end at different steps,
# so that the first one runs alone: it is served and cleared, or shown to be the cause.
_SHARED_QUARANTINE_STEP_S = 1.0
_SHARED_QUARANTINE_STEPS = 4
# Other nodes report a quarantine again and again, with delays of up to this time; only
# an end that is earlier by more replaces the known one.
_REPORT_JITTER_S = 0.25
# A crash record without updates expires after this time; if the request has been
# quarantined, after the longest quarantine and as long again.
_RETENTION_S = 600.0
_QUARANTINED_RETENTION_S = 2 * _MAX_QUARANTINE_S
# Maximum number of crash records, and of digests of requests served last: some 100 KB.
_MAX_RECORDS = 512
_MAX_SERVED = 512


class CrashReportKind(IntEnum):
    """Kind of a crash report; the numbers are the wire values.

    ``ENDED``: an upstream crashed while running the request. ``HELD``: the request is
    quarantined. ``CLEARED``: the request was served.
    """

    ENDED = 1
    HELD = 2
    CLEARED = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashReport:
    """Crash report: one fact about a request, as sent between nodes.

    :param digest: short form of the request's caller, path and body.
    :param upstream: crc of the incarnation that crashed, with ``ENDED``.
    :param weight: weight of the crash, with ``ENDED``.
    :param times: how often the request has been quarantined, with ``HELD``; with
        ``ENDED`` the quarantine that already covers the crash, or 0.
    :param left_s: remaining seconds of the quarantine, with ``HELD``; 0 if it is over.
    """

    digest: int
    kind: CrashReportKind
    upstream: int = 0
    weight: int = 0
    times: int = 0
    left_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordChange:
    """Change of a crash record, or a cleared request, to be reported to other nodes.

    :param own: whether this node detected the change itself.
    :param verdict: whether it concerns a quarantine, and so has to reach every node
        that may receive the request.
    """

    digest: int
    own: bool
    verdict: bool


@dataclass(kw_only=True)
class _CrashRecord:
    """Crashes of upstreams while they ran one request, and its quarantine.

    :param updated_at: when the record last changed.
    :param crashes: weight by crc of the incarnation.
    :param counted: weight that quarantines already cover, by crc of the incarnation; it
        counts no more.
    :param times: number of quarantines.
    :param until: end of the latest quarantine.
    """

    updated_at: float
    crashes: dict[int, int] = field(default_factory=dict)
    counted: dict[int, int] = field(default_factory=dict)
    times: int = 0
    until: float = 0.0

    @property
    def weight(self) -> int:
        return sum(self.crashes.values())

    @property
    def new_weight(self) -> int:
        """Weight of crashes that no quarantine covers."""
        return self.weight - sum(self.counted.values())

    @property
    def needed_weight(self) -> int:
        """Weight of crashes not yet counted that starts the next quarantine."""
        return _STRONG_WEIGHT if self.times else _QUARANTINE_WEIGHT

    def covers(self, upstream: int) -> bool:
        """Whether quarantines cover the crash of an upstream with all its weight."""
        return self.counted.get(upstream, 0) >= self.crashes[upstream]

    def explains(self, other: _CrashRecord) -> bool:
        """Whether this request may have caused the crashes of another one's quarantine.

        False if the other one's quarantine rests on crashes that are not known here.
        Evidence beside these that weighs less than one crash at the start, such as cut
        connections, is left out: any request meets it now and then.
        """
        unexplained = sum(
            weight
            for upstream, weight in other.crashes.items()
            if self.crashes.get(upstream, 0) < weight
        )
        return other.weight >= _QUARANTINE_WEIGHT and unexplained < _STRONG_WEIGHT


class Quarantine:
    """Quarantined requests, from crashes at this node and reports of other nodes.

    A request may crash each upstream that begins to run it, and arrive again at any
    node. If its failures counted only against the upstreams, these would be ejected one
    after the other, each with the answers of all other requests that run there. Here
    they count against the request: all nodes add up the upstreams that crashed while
    running it, by incarnation, so reports that are repeated, delayed or out of order
    count once.

    Does no I/O and reads no clock.

    :ivar on_news: called with each change that other nodes have yet to receive.
    :ivar on_verdict: called with each quarantine that starts here or is reported by
        another node, and with each request that is cleared after one.
    """

    def __init__(self) -> None:
        self.on_news: Callable[[RecordChange], None] = lambda news: None
        self.on_verdict: Callable[[CrashReport], None] = lambda report: None
        self._records: OrderedDict[int, _CrashRecord] = OrderedDict()
        self._served: OrderedDict[int, None] = OrderedDict()
        self._latest_until = 0.0

    def lost(
        self,
        digest: int,
        upstream: int,
        *,
        now: float,
        begun_s: float | None = None,
        sure: bool = True,
    ) -> bool:
        """Record that an upstream crashed while running a request of this node.

        The first crash after a complete answer is ignored: if many callers send the
        same request, it is in flight whenever an upstream crashes for another reason.

        :param upstream: crc of the upstream's incarnation.
        :param begun_s: time since the request's first event; ``None`` if it had none.
        :param sure: whether the upstream certainly ran when the request was sent, and
            has ended.
        :returns: whether it counts against the request.
        """
        if digest in self._served:
            del self._served[digest]
            return False
        strong = sure and just_started(begun_s)
        weight = _STRONG_WEIGHT if strong else _WEAK_WEIGHT
        record = self._get_record(digest, now)
        self._add_own_crash(digest, record, upstream, weight, now)
        return True

    def confirm(self, digest: int, upstream: int, *, now: float) -> None:
        """Make a recorded crash at the start of a request a strong one.

        Without effect if the request has been served since.

        :param upstream: crc of the incarnation that has certainly ended.
        """
        record = self._records.get(digest)
        if record is not None and upstream in record.crashes:
            self._add_own_crash(digest, record, upstream, _STRONG_WEIGHT, now)

    def held_if_confirmed(self, digest: int, upstreams: Iterable[int]) -> bool:
        """Whether a request would be quarantined if crashes of it were confirmed.

        :param upstreams: crcs of the incarnations that may have ended.
        """
        record = self._records.get(digest)
        if record is None:
            return False
        added = sum(
            _STRONG_WEIGHT - record.crashes[upstream]
            for upstream in upstreams
            if upstream in record.crashes
        )
        return record.new_weight + added >= record.needed_weight

    def served(self, digest: int) -> None:
        """Record that a request of this node got a complete answer."""
        record = self._clear(digest)
        if record is not None:
            was_quarantined = record.times > 0
            self.on_news(RecordChange(digest=digest, own=True, verdict=was_quarantined))

    def held_s(self, digest: int, now: float) -> float:
        """Return the remaining quarantine of a request in seconds; 0 if it has none."""
        record = self._records.get(digest)
        return max(record.until - now, 0.0) if record is not None else 0.0

    def any_held(self, now: float) -> bool:
        """Whether any request may be quarantined.

        A cheap check for each arriving request, which saves computing its digest.
        """
        return now < self._latest_until

    def held(self, now: float) -> int:
        """Return the number of quarantined requests."""
        return sum(now < record.until for record in self._records.values())

    def hear(self, report: CrashReport, now: float) -> None:
        """Apply a crash report of another node."""
        digest = report.digest
        if report.kind is CrashReportKind.CLEARED:
            record = self._clear(digest)
            changed = record is not None and record.times > 0
        elif digest in self._served:
            # This node has served the request, and reports that to the others.
            self.on_news(RecordChange(digest=digest, own=True, verdict=True))
            return
        elif report.kind is CrashReportKind.ENDED:
            changed = self._apply_crash(report, now)
        else:
            changed = self._apply_quarantine(report, now)
        if changed:
            self.on_news(RecordChange(digest=digest, own=False, verdict=True))

    def findings(
        self, digest: int, now: float, *, verdict_only: bool = False
    ) -> list[CrashReport]:
        """Return the crash reports to send about a request.

        Crashes that a quarantine covers say so, and come with that quarantine even if
        it is over: a node that has just started would count them anew.

        :param verdict_only: leave out the crashes, and a quarantine that is over.
        """
        if digest in self._served:
            return [CrashReport(digest=digest, kind=CrashReportKind.CLEARED)]
        record = self._records.get(digest)
        if record is None:
            return []
        reports = []
        if not verdict_only:
            reports += [
                CrashReport(
                    digest=digest,
                    kind=CrashReportKind.ENDED,
                    upstream=upstream,
                    weight=weight,
                    times=record.times if record.covers(upstream) else 0,
                )
                for upstream, weight in record.crashes.items()
            ]
        was_held = record.times > 0 and not verdict_only
        if now < record.until or was_held:
            reports.append(_quarantine_report(digest, record, now))
        return reports

    def digests(self) -> tuple[int, ...]:
        """Return the digests of all requests with a crash record."""
        return tuple(self._records)

    def _apply_crash(self, report: CrashReport, now: float) -> bool:
        """Count a crash at another node; return whether a quarantine starts."""
        record = self._get_record(report.digest, now)
        was_quarantined = now < record.until
        if report.times:
            known = record.counted.get(report.upstream, 0)
            record.counted[report.upstream] = max(known, report.weight)
        self._add_crash(report.digest, record, report.upstream, report.weight, now)
        return not was_quarantined and now < record.until

    def _add_own_crash(
        self, digest: int, record: _CrashRecord, upstream: int, weight: int, now: float
    ) -> None:
        if self._add_crash(digest, record, upstream, weight, now):
            quarantined = now < record.until
            self.on_news(RecordChange(digest=digest, own=True, verdict=quarantined))

    def _add_crash(
        self, digest: int, record: _CrashRecord, upstream: int, weight: int, now: float
    ) -> bool:
        """Count a crash; return whether it was new or weighs more than before."""
        if record.crashes.get(upstream, 0) >= weight:
            return False
        record.crashes[upstream] = weight
        record.updated_at = now
        self._evaluate(digest, record, now)
        self._shorten_explained(record, now)
        return True

    def _evaluate(self, digest: int, record: _CrashRecord, now: float) -> None:
        """Start a quarantine if the crashes since the last one suffice."""
        if now < record.until:
            # The request was sent before the quarantine, or the report is late: the
            # current quarantine already covers this crash.
            record.counted = dict(record.crashes)
            return
        if record.new_weight < record.needed_weight:
            return
        record.times += 1
        others = (one for one in self._records.values() if one is not record)
        shared = any(one.explains(record) for one in others)
        record.until = now + _quarantine_s(digest, record.times, shared=shared)
        self._start_quarantine(digest, record, now)

    def _shorten_explained(self, cause: _CrashRecord, now: float) -> None:
        """Shorten quarantines of requests whose crashes another one may have caused."""
        for digest, record in self._records.items():
            if record is cause or now >= record.until or not cause.explains(record):
                continue
            until = now + _quarantine_s(digest, record.times, shared=True)
            if until < record.until:
                record.until = until
                self._start_quarantine(digest, record, now)
                self.on_news(RecordChange(digest=digest, own=True, verdict=True))

    def _apply_quarantine(self, report: CrashReport, now: float) -> bool:
        """Apply a quarantine of another node.

        :returns: whether it is new here, or ends earlier than was known here.
        """
        record = self._get_record(report.digest, now)
        until = now + min(report.left_s, _MAX_QUARANTINE_S)
        is_over = report.left_s <= 0
        shortened = not is_over and until < record.until - _REPORT_JITTER_S
        if report.times < record.times:
            return False
        if report.times == record.times and not shortened:
            return False
        record.updated_at = now
        record.times = report.times
        if is_over:
            return False
        record.until = until
        self._start_quarantine(report.digest, record, now)
        return True

    def _start_quarantine(self, digest: int, record: _CrashRecord, now: float) -> None:
        """Count all crashes so far as used, and announce the quarantine and its end."""
        record.counted = dict(record.crashes)
        self._latest_until = max(self._latest_until, record.until)
        self.on_verdict(_quarantine_report(digest, record, now))

    def _clear(self, digest: int) -> _CrashRecord | None:
        """Remember that a request was served; remove and return its crash record."""
        self._served[digest] = None
        self._served.move_to_end(digest)
        if len(self._served) > _MAX_SERVED:
            self._served.popitem(last=False)
        record = self._records.pop(digest, None)
        if record is not None and record.times:
            self.on_verdict(CrashReport(digest=digest, kind=CrashReportKind.CLEARED))
        return record

    def _get_record(self, digest: int, now: float) -> _CrashRecord:
        """Return the crash record of a request; a new one if none is current."""
        record = self._records.get(digest)
        if record is None or _is_expired(record, now):
            record = self._records[digest] = _CrashRecord(updated_at=now)
            self._evict(now)
        self._records.move_to_end(digest)
        return record

    def _evict(self, now: float) -> None:
        """Remove one record if there are too many.

        The least recently used one goes first; quarantined requests go last.
        """
        if len(self._records) <= _MAX_RECORDS:
            return
        for digest, record in self._records.items():
            if _is_expired(record, now) or now >= record.until:
                del self._records[digest]
                return
        self._records.popitem(last=False)


def _quarantine_s(digest: int, times: int, *, shared: bool) -> float:
    """Return the duration of a request's nth quarantine in seconds.

    :param shared: whether another request may have caused the crashes.
    """
    steps = 1 + digest % _SHARED_QUARANTINE_STEPS
    first_s = steps * _SHARED_QUARANTINE_STEP_S if shared else _FIRST_QUARANTINE_S
    return min(first_s * _QUARANTINE_GROWTH ** (times - 1), _MAX_QUARANTINE_S)


def just_started(begun_s: float | None) -> bool:
    """Whether a request counts as just begun.

    :param begun_s: time since its first event; ``None`` if it had none.
    """
    return begun_s is None or begun_s < _JUST_STARTED_S


def _is_expired(record: _CrashRecord, now: float) -> bool:
    retention_s = _QUARANTINED_RETENTION_S if record.times else _RETENTION_S
    return now - record.updated_at > retention_s and now >= record.until


def _quarantine_report(digest: int, record: _CrashRecord, now: float) -> CrashReport:
    return CrashReport(
        digest=digest,
        kind=CrashReportKind.HELD,
        times=record.times,
        left_s=max(record.until - now, 0.0),
    )
