"""Which requests crash the upstreams that run them, and are held back for it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

__all__ = ["Finding", "FindingKind", "News", "Quarantine"]

# An upstream that ends as it begins to run a request tells most of that request. One
# that ends long after tells little: several requests run there then, most of them long.
# So does one that may have been gone before: behind a proxy of its own it still accepts
# connections, and resets each of them at once, as it does with too many connections.
# And one that just fell silent, which may have ended, or have too much to do.
_STRONG_WEIGHT = 3
_WEAK_WEIGHT = 1
# Weight at which a request is held back: two strong ends, or six weak ones. A request
# that is sound meets two ends in a row only as an attempt with its second try; one that
# is not would cost the answers of all that run at a third upstream.
_QUARANTINE_WEIGHT = 6
# Time since the first event up to which an upstream counts as just begun: a crash shows
# within some 100 ms, with the events that were on their way.
_JUST_STARTED_S = 0.25
# The first hold, and by how much each later one is growth. A request that was suspected
# wrongly is served after it; one that crashes upstreams ends one more each time, six in
# its first hour.
_FIRST_QUARANTINE_S = 10.0
_QUARANTINE_GROWTH = 8.0
_MAX_QUARANTINE_S = 3600.0
# What is known of a request that nothing new is heard of is forgotten after this; of
# one that was held back, after the longest hold and as long again.
_RETENTION_S = 600.0
_QUARANTINED_RETENTION_S = 2 * _MAX_QUARANTINE_S
# Requests that are suspected, and those served last, that are remembered: some 100 KB.
_MAX_RECORDS = 512
_MAX_SERVED = 512


class FindingKind(IntEnum):
    """What a node tells of a request; the numbers travel between nodes.

    ``ENDED``: an upstream ended under it. ``HELD``: it is sent nowhere for a while.
    ``CLEARED``: it was served.
    """

    ENDED = 1
    HELD = 2
    CLEARED = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """What is known of one request.

    :param digest: short form of its caller, path and body.
    :param upstream: of an end, crc of the upstream's incarnation.
    :param weight: of an end, how much it tells.
    :param times: of a hold, how often the request has been held back.
    :param left_s: of a hold, until it is over.
    """

    digest: int
    kind: FindingKind
    upstream: int = 0
    weight: int = 0
    times: int = 0
    left_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class News:
    """A request of which this node knows something new.

    :param own: whether it found it out itself.
    :param verdict: whether it concerns nodes that may get the request.
    """

    digest: int
    own: bool
    verdict: bool


@dataclass(kw_only=True)
class _CrashRecord:
    """A request under which upstreams ended.

    :param crashes: weight by incarnation.
    :param counted_weight: weight that led to holds before; it counts no more.
    """

    updated_at: float
    crashes: dict[int, int] = field(default_factory=dict)
    counted_weight: int = 0
    times: int = 0
    until: float = 0.0

    @property
    def weight(self) -> int:
        return sum(self.crashes.values())


class Quarantine:
    """Requests that are held back, from what this node saw and what others told.

    A request may crash each upstream that begins to run it, and come again at any node.
    Held against the upstreams alone, its failures set aside one after the other, each
    with the answers of all others that run there. Here they are held against the
    request: all nodes add up the upstreams that ended under it, by their incarnations,
    so that whatever is told twice, late or in another order counts once.

    Knows no network and no clock.

    :ivar on_news: called with what others do not know yet.
    :ivar on_verdict: called with each hold that begins or is taken over, and with each
        request that is cleared after one.
    """

    def __init__(self) -> None:
        self.on_news: Callable[[News], None] = lambda news: None
        self.on_verdict: Callable[[Finding], None] = lambda report: None
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
    ) -> None:
        """Take that an upstream ended under a request of this node.

        One end after an answer is forgiven: where many callers ask for the same, it is
        on its way whenever an upstream crashes for another reason.

        :param upstream: crc of the upstream's incarnation.
        :param begun_s: time since its first event; ``None`` if it had none.
        :param sure: whether the upstream was there when it was sent, and has ended.
        """
        if digest in self._served:
            del self._served[digest]
            return
        just_started = begun_s is None or begun_s < _JUST_STARTED_S
        weight = _STRONG_WEIGHT if just_started and sure else _WEAK_WEIGHT
        record = self._get_record(digest, now)
        if self._add_crash(digest, record, upstream, weight, now):
            verdict = now < record.until
            self.on_news(News(digest=digest, own=True, verdict=verdict))

    def served(self, digest: int) -> None:
        """Take that a request of this node was answered whole."""
        record = self._clear(digest)
        if record is not None:
            verdict = record.times > 0
            self.on_news(News(digest=digest, own=True, verdict=verdict))

    def held_s(self, digest: int, now: float) -> float:
        """Return how long a request is to be held back yet; 0 if it may be sent."""
        record = self._records.get(digest)
        return max(record.until - now, 0.0) if record is not None else 0.0

    def any_held(self, now: float) -> bool:
        """Whether any request may be held back; asked for each one that comes."""
        return now < self._latest_until

    def held(self, now: float) -> int:
        """Return how many requests are held back."""
        return sum(now < one.until for one in self._records.values())

    def hear(self, report: Finding, now: float) -> None:
        """Take what another node told."""
        digest = report.digest
        if report.kind is FindingKind.CLEARED:
            record = self._clear(digest)
            changed = record is not None and record.times > 0
        elif digest in self._served:
            # This node knows better; the others are told.
            self.on_news(News(digest=digest, own=True, verdict=True))
            return
        elif report.kind is FindingKind.ENDED:
            changed = self._apply_crash(report, now)
        else:
            changed = self._apply_quarantine(report, now)
        if changed:
            self.on_news(News(digest=digest, own=False, verdict=True))

    def findings(
        self, digest: int, now: float, *, verdict_only: bool = False
    ) -> list[Finding]:
        """Return what is to be told of a request.

        :param verdict_only: leave out what it rests on.
        """
        if digest in self._served:
            return [Finding(digest=digest, kind=FindingKind.CLEARED)]
        record = self._records.get(digest)
        if record is None:
            return []
        found = []
        if not verdict_only:
            found += [
                Finding(
                    digest=digest,
                    kind=FindingKind.ENDED,
                    upstream=upstream,
                    weight=weight,
                )
                for upstream, weight in record.crashes.items()
            ]
        if now < record.until:
            found.append(_quarantine_report(digest, record, now))
        return found

    def digests(self) -> tuple[int, ...]:
        """Return all requests that something is known against."""
        return tuple(self._records)

    def _apply_crash(self, report: Finding, now: float) -> bool:
        """Count an end at another node; return whether the request is now held."""
        record = self._get_record(report.digest, now)
        held = now < record.until
        self._add_crash(report.digest, record, report.upstream, report.weight, now)
        return not held and now < record.until

    def _add_crash(
        self, digest: int, record: _CrashRecord, upstream: int, weight: int, now: float
    ) -> bool:
        """Count an end; return whether it is new."""
        if record.crashes.get(upstream, 0) >= weight:
            return False
        record.crashes[upstream] = weight
        record.updated_at = now
        self._evaluate(digest, record, now)
        return True

    def _evaluate(self, digest: int, record: _CrashRecord, now: float) -> None:
        if now < record.until:
            # Sent before the hold, or told late: it is held back already.
            record.counted_weight = record.weight
            return
        needed = _STRONG_WEIGHT if record.times else _QUARANTINE_WEIGHT
        if record.weight - record.counted_weight < needed:
            return
        record.times += 1
        growth = _QUARANTINE_GROWTH ** (record.times - 1)
        record.until = now + min(_FIRST_QUARANTINE_S * growth, _MAX_QUARANTINE_S)
        self._start_quarantine(digest, record, now)

    def _apply_quarantine(self, report: Finding, now: float) -> bool:
        """Take over a hold; return whether it is new here."""
        record = self._get_record(report.digest, now)
        if report.times <= record.times:
            return False
        record.updated_at = now
        record.times = report.times
        record.until = now + min(report.left_s, _MAX_QUARANTINE_S)
        self._start_quarantine(report.digest, record, now)
        return True

    def _start_quarantine(self, digest: int, record: _CrashRecord, now: float) -> None:
        record.counted_weight = record.weight
        self._latest_until = max(self._latest_until, record.until)
        self.on_verdict(_quarantine_report(digest, record, now))

    def _clear(self, digest: int) -> _CrashRecord | None:
        """Remember that a request is sound; return what was held against it."""
        self._served[digest] = None
        self._served.move_to_end(digest)
        if len(self._served) > _MAX_SERVED:
            self._served.popitem(last=False)
        record = self._records.pop(digest, None)
        if record is not None and record.times:
            self.on_verdict(Finding(digest=digest, kind=FindingKind.CLEARED))
        return record

    def _get_record(self, digest: int, now: float) -> _CrashRecord:
        found = self._records.get(digest)
        if found is None or _is_expired(found, now):
            found = self._records[digest] = _CrashRecord(updated_at=now)
            self._evict(now)
        self._records.move_to_end(digest)
        return found

    def _evict(self, now: float) -> None:
        """Forget those that nothing was heard of, those held back last."""
        if len(self._records) <= _MAX_RECORDS:
            return
        for digest, record in self._records.items():
            if _is_expired(record, now) or now >= record.until:
                del self._records[digest]
                return
        self._records.popitem(last=False)


def _is_expired(record: _CrashRecord, now: float) -> bool:
    kept_s = _QUARANTINED_RETENTION_S if record.times else _RETENTION_S
    return now - record.updated_at > kept_s and now >= record.until


def _quarantine_report(digest: int, record: _CrashRecord, now: float) -> Finding:
    return Finding(
        digest=digest,
        kind=FindingKind.HELD,
        times=record.times,
        left_s=record.until - now,
    )
