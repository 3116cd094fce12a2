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
_HELD_WEIGHT = 6
# Time since the first event up to which an upstream counts as just begun: a crash shows
# within some 100 ms, with the events that were on their way.
_BEGUN_S = 0.25
# The first hold, and by how much each later one is longer. A request that was suspected
# wrongly is served after it; one that crashes upstreams ends one more each time, six in
# its first hour.
_FIRST_HOLD_S = 10.0
_HOLD_GROWTH = 8.0
_LONGEST_HOLD_S = 3600.0
# What is known of a request that nothing new is heard of is forgotten after this; of
# one that was held back, after the longest hold and as long again.
_KEPT_S = 600.0
_HELD_KEPT_S = 2 * _LONGEST_HOLD_S
# Requests that are suspected, and those served last, that are remembered: some 100 KB.
_MOST_SUSPECTS = 512
_MOST_SERVED = 512


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
class _Suspect:
    """A request under which upstreams ended.

    :param ends: weight by incarnation.
    :param judged: weight that led to holds before; it counts no more.
    """

    seen_at: float
    ends: dict[int, int] = field(default_factory=dict)
    judged: int = 0
    times: int = 0
    until: float = 0.0

    @property
    def weight(self) -> int:
        return sum(self.ends.values())


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
        self.on_verdict: Callable[[Finding], None] = lambda finding: None
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()
        self._served: OrderedDict[int, None] = OrderedDict()
        self._last_until = 0.0

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
        begins = begun_s is None or begun_s < _BEGUN_S
        weight = _STRONG_WEIGHT if begins and sure else _WEAK_WEIGHT
        suspect = self._suspect(digest, now)
        if self._add(digest, suspect, upstream, weight, now):
            verdict = now < suspect.until
            self.on_news(News(digest=digest, own=True, verdict=verdict))

    def served(self, digest: int) -> None:
        """Take that a request of this node was answered whole."""
        suspect = self._clear(digest)
        if suspect is not None:
            verdict = suspect.times > 0
            self.on_news(News(digest=digest, own=True, verdict=verdict))

    def held_s(self, digest: int, now: float) -> float:
        """Return how long a request is to be held back yet; 0 if it may be sent."""
        suspect = self._suspects.get(digest)
        return max(suspect.until - now, 0.0) if suspect is not None else 0.0

    def any_held(self, now: float) -> bool:
        """Whether any request may be held back; asked for each one that comes."""
        return now < self._last_until

    def held(self, now: float) -> int:
        """Return how many requests are held back."""
        return sum(now < one.until for one in self._suspects.values())

    def hear(self, finding: Finding, now: float) -> None:
        """Take what another node told."""
        digest = finding.digest
        if finding.kind is FindingKind.CLEARED:
            suspect = self._clear(digest)
            changed = suspect is not None and suspect.times > 0
        elif digest in self._served:
            # This node knows better; the others are told.
            self.on_news(News(digest=digest, own=True, verdict=True))
            return
        elif finding.kind is FindingKind.ENDED:
            changed = self._hear_end(finding, now)
        else:
            changed = self._take_hold(finding, now)
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
        suspect = self._suspects.get(digest)
        if suspect is None:
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
                for upstream, weight in suspect.ends.items()
            ]
        if now < suspect.until:
            found.append(_hold(digest, suspect, now))
        return found

    def digests(self) -> tuple[int, ...]:
        """Return all requests that something is known against."""
        return tuple(self._suspects)

    def _hear_end(self, finding: Finding, now: float) -> bool:
        """Count an end at another node; return whether the request is now held."""
        suspect = self._suspect(finding.digest, now)
        held = now < suspect.until
        self._add(finding.digest, suspect, finding.upstream, finding.weight, now)
        return not held and now < suspect.until

    def _add(
        self, digest: int, suspect: _Suspect, upstream: int, weight: int, now: float
    ) -> bool:
        """Count an end; return whether it is new."""
        if suspect.ends.get(upstream, 0) >= weight:
            return False
        suspect.ends[upstream] = weight
        suspect.seen_at = now
        self._judge(digest, suspect, now)
        return True

    def _judge(self, digest: int, suspect: _Suspect, now: float) -> None:
        if now < suspect.until:
            # Sent before the hold, or told late: it is held back already.
            suspect.judged = suspect.weight
            return
        needed = _STRONG_WEIGHT if suspect.times else _HELD_WEIGHT
        if suspect.weight - suspect.judged < needed:
            return
        suspect.times += 1
        longer = _HOLD_GROWTH ** (suspect.times - 1)
        suspect.until = now + min(_FIRST_HOLD_S * longer, _LONGEST_HOLD_S)
        self._held_back(digest, suspect, now)

    def _take_hold(self, finding: Finding, now: float) -> bool:
        """Take over a hold; return whether it is new here."""
        suspect = self._suspect(finding.digest, now)
        if finding.times <= suspect.times:
            return False
        suspect.seen_at = now
        suspect.times = finding.times
        suspect.until = now + min(finding.left_s, _LONGEST_HOLD_S)
        self._held_back(finding.digest, suspect, now)
        return True

    def _held_back(self, digest: int, suspect: _Suspect, now: float) -> None:
        suspect.judged = suspect.weight
        self._last_until = max(self._last_until, suspect.until)
        self.on_verdict(_hold(digest, suspect, now))

    def _clear(self, digest: int) -> _Suspect | None:
        """Remember that a request is sound; return what was held against it."""
        self._served[digest] = None
        self._served.move_to_end(digest)
        if len(self._served) > _MOST_SERVED:
            self._served.popitem(last=False)
        suspect = self._suspects.pop(digest, None)
        if suspect is not None and suspect.times:
            self.on_verdict(Finding(digest=digest, kind=FindingKind.CLEARED))
        return suspect

    def _suspect(self, digest: int, now: float) -> _Suspect:
        found = self._suspects.get(digest)
        if found is None or _over(found, now):
            found = self._suspects[digest] = _Suspect(seen_at=now)
            self._forget(now)
        self._suspects.move_to_end(digest)
        return found

    def _forget(self, now: float) -> None:
        """Forget those that nothing was heard of, those held back last."""
        if len(self._suspects) <= _MOST_SUSPECTS:
            return
        for digest, suspect in self._suspects.items():
            if _over(suspect, now) or now >= suspect.until:
                del self._suspects[digest]
                return
        self._suspects.popitem(last=False)


def _over(suspect: _Suspect, now: float) -> bool:
    kept_s = _HELD_KEPT_S if suspect.times else _KEPT_S
    return now - suspect.seen_at > kept_s and now >= suspect.until


def _hold(digest: int, suspect: _Suspect, now: float) -> Finding:
    return Finding(
        digest=digest,
        kind=FindingKind.HELD,
        times=suspect.times,
        left_s=suspect.until - now,
    )
