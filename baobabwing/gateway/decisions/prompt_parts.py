"""Parts of prompts that crash the upstreams that begin to answer them."""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from baobabwing.gateway.decisions.quarantine import CrashReport, CrashReportKind

__all__ = ["MIN_SURVIVAL_S", "CrashedRequest", "PartQuarantine", "blamed_parts"]

# Time for which an upstream has to live on after the first event of an answer, so that
# the answer counts as one that it survived.
MIN_SURVIVAL_S = 0.6
# Weight of a crash; of one that may be a closed connection only, or whose request was
# sent before the crash that is counted before it; and weight at which a part is held.
# Three crashes in a row: a sound part that few requests have meets two by chance.
_CERTAIN_WEIGHT = 3
_UNCERTAIN_WEIGHT = 1
_HOLD_WEIGHT = 9
# Weight at which a part may explain the crashes that others are accused of.
_RIVAL_WEIGHT = 6
# Certain crashes that have this weight.
_MIN_CRASHES = _HOLD_WEIGHT // _CERTAIN_WEIGHT
# Crashes that are less apart have one cause.
_SAME_MOMENT_S = 0.05
# Requests of which the crashes have to be. One that is repeated alone is quarantined by
# its digest.
_MIN_REQUESTS = 2
# Time until the first trial of a part, and the factor to each later one. Each trial of
# a part that crashes upstreams costs one.
_FIRST_HOLD_S = 20.0
_HOLD_GROWTH = 8.0
# The same for a part that upstreams have survived earlier, or that many requests have:
# it may have been blamed while upstreams crashed for other reasons. And for one that is
# blamed for crashes that another held part explains as well: one of the two is sound,
# and only a request that has one without the other tells which.
_FIRST_COMMON_HOLD_S = 1.0
_COMMON_HOLD_GROWTH = 3.0
# Requests with a part at each crash from which on it is common.
_COMMON_AT_EACH = 2
_MAX_HOLD_S = 86_400.0
# Time for which one trial excludes others; callers wait less for a first event.
_TRIAL_S = 5.0
# Delay of the next request while a trial is due or runs.
_TRIAL_RETRY_S = 1.0
# Older crashes accuse no part; a part without a trial is forgotten after its hold and
# this time.
_RETENTION_S = 600.0
_HELD_RETENTION_S = 86_400.0
# Time for which late reports of a hold that has ended may arrive.
_LATE_REPORT_S = 15.0
_MAX_CRASHED = 512
_MAX_HELD = 512
_MAX_SURVIVED = 4096
_NEVER = -math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashedRequest:
    """A request whose answer had just begun, or had not, when its upstream crashed.

    :param digest: digest of the request.
    :param upstream: crc of the incarnation that crashed.
    :param parts: digests of the parts of its prompt that others may share.
    :param sent_at: when it was sent to the upstream, by the monotonic clock.
    :param crashed_at: when the connection was lost.
    :param certain: whether the upstream has certainly ended.
    """

    digest: int
    upstream: int
    parts: tuple[int, ...]
    sent_at: float
    crashed_at: float
    certain: bool

    @property
    def key(self) -> tuple[int, int]:
        """Identifies the crash of this request at all nodes."""
        return self.digest, self.upstream


def blamed_parts(
    crashed: Iterable[CrashedRequest],
    survived_at: Mapping[int, float],
    held: Collection[int] = (),
) -> list[int]:
    """Return the parts that crash upstreams, as far as the crashes show.

    Each crash accuses all parts of all requests that had just begun there. A part that
    crashes each upstream is in a series of crashes without any answer between them.
    Crashes at the same moment have one cause and count once. Of several such parts, the
    one that no upstream has survived for longest explains its crashes, if it was at
    almost as many; the others are accused of the rest only. So a common part is not
    blamed for a rare one.

    :param crashed: requests under which upstreams crashed.
    :param survived_at: when an answer to a request with a part last began at an
        upstream that lived on, by part.
    :param held: parts that are blamed already.
    """
    accusations = _accusations(crashed, survived_at, held)
    blamed: list[int] = []
    better: list[_Suspects] = []
    for suspects in _rank_suspects(accusations, survived_at):
        explained: set[int] = set()
        for rival in better:
            is_blamed = rival.parts[0] in blamed
            if is_blamed or len(rival.upstreams) >= len(suspects.upstreams) - 1:
                explained |= rival.upstreams
        requests = accusations[suspects.parts[0]]
        rest = [one for one in requests if one.upstream not in explained]
        if _weight(rest) >= _HOLD_WEIGHT:
            blamed += suspects.parts
        better.append(suspects)
    return blamed


@dataclass(frozen=True, kw_only=True, slots=True)
class _Suspects:
    """Parts whose requests were at the same crashes, and that differ in nothing else.

    :param upstreams: incarnations that crashed under them.
    """

    parts: list[int]
    upstreams: frozenset[int]


def _rank_suspects(
    accusations: Mapping[int, list[CrashedRequest]], survived_at: Mapping[int, float]
) -> list[_Suspects]:
    """Return the accused parts, those that explain their crashes best first.

    Of parts that no upstream has survived, one with few requests at each crash explains
    it better than one with many, most of which have run there for other reasons.
    """
    groups: defaultdict[tuple, list[int]] = defaultdict(list)
    for part, requests in accusations.items():
        if _weight(requests) < _RIVAL_WEIGHT:
            continue
        upstreams = frozenset(request.upstream for request in requests)
        at_each = len(requests) / len(upstreams)
        rank = survived_at.get(part, _NEVER), at_each, -len(upstreams)
        groups[rank, upstreams].append(part)
    ranked = sorted(
        groups.items(), key=lambda group: (group[0][0], sorted(group[0][1]))
    )
    return [
        _Suspects(parts=parts, upstreams=upstreams) for (_, upstreams), parts in ranked
    ]


def _accusations(
    crashed: Iterable[CrashedRequest],
    survived_at: Mapping[int, float],
    held: Collection[int],
) -> dict[int, list[CrashedRequest]]:
    """Return the crashes since the last answer that was survived, by part.

    Crashes that a held part explains accuse no other one.
    """
    crashed = {request.key: request for request in crashed}.values()
    explained = {
        request.upstream
        for request in crashed
        if not set(held).isdisjoint(request.parts)
    }
    accusations: defaultdict[int, list[CrashedRequest]] = defaultdict(list)
    for request in crashed:
        if request.upstream in explained:
            continue
        for part in request.parts:
            if request.crashed_at > survived_at.get(part, _NEVER):
                accusations[part].append(request)
    return accusations


def _weight(requests: Iterable[CrashedRequest]) -> int:
    """Return the weight of the longest series of crashes, one after the other."""
    requests = sorted(requests, key=lambda request: request.crashed_at)
    certain = [request for request in requests if request.certain]
    return max(_series_weight(certain), _series_weight(requests))


def _series_weight(requests: Iterable[CrashedRequest]) -> int:
    weight, last_at, previous_at = 0, _NEVER, _NEVER
    upstreams: set[int] = set()
    digests: set[int] = set()
    for request in requests:
        in_turn = request.sent_at >= last_at
        apart = request.crashed_at - previous_at >= _SAME_MOMENT_S
        if request.upstream in upstreams or not (in_turn or apart):
            continue
        if request.certain and in_turn:
            weight += _CERTAIN_WEIGHT
            last_at = request.crashed_at
        else:
            weight += _UNCERTAIN_WEIGHT
        previous_at = request.crashed_at
        upstreams.add(request.upstream)
        digests.add(request.digest)
    return weight if len(digests) >= _MIN_REQUESTS else 0


@dataclass(kw_only=True)
class _Hold:
    """Hold of a part.

    :param times: number of holds.
    :param since: when the latest one began.
    :param until: when a trial is due.
    :param trial_until: until when a trial may run.
    """

    times: int
    since: float
    until: float
    trial_until: float = _NEVER


class PartQuarantine:
    """Parts of prompts whose requests are held back, and the evidence on others.

    A part may crash each upstream that begins to write an answer on it, whatever else
    its requests hold. A held part is released once an upstream has survived a request
    with it. After its hold, one request of all nodes is tried at a time; the next hold
    is longer.

    Does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._crashed: OrderedDict[tuple[int, int], CrashedRequest] = OrderedDict()
        self._survived_at: OrderedDict[int, float] = OrderedDict()
        self._holds: OrderedDict[int, _Hold] = OrderedDict()
        self._released: dict[int, _Hold] = {}

    # Evidence.

    def crashed(self, request: CrashedRequest) -> bool:
        """Record a request under which an upstream crashed.

        :returns: whether that is new, or more certain than before.
        """
        known = self._crashed.get(request.key)
        if known is not None and known.certain >= request.certain:
            return False
        self._crashed[request.key] = request
        if len(self._crashed) > _MAX_CRASHED:
            self._crashed.popitem(last=False)
        return True

    def requests(self, now: float) -> list[CrashedRequest]:
        """Return the requests under which upstreams crashed recently."""
        for key, request in tuple(self._crashed.items()):
            if now - request.crashed_at > _RETENTION_S:
                del self._crashed[key]
        return list(self._crashed.values())

    def request(self, key: tuple[int, int]) -> CrashedRequest | None:
        """Return a request under which an upstream crashed."""
        return self._crashed.get(key)

    def survived(self, parts: Iterable[int], began_at: float) -> list[int]:
        """Record an answer at an upstream that lived on.

        :param began_at: when the answer began, by the monotonic clock.
        :returns: the parts that are released by it.
        """
        released = []
        for part in parts:
            if began_at > self._survived_at.get(part, _NEVER):
                self._survived_at[part] = began_at
                self._survived_at.move_to_end(part)
            hold = self._holds.get(part)
            if hold is not None and began_at > hold.since:
                released.append(part)
        while len(self._survived_at) > _MAX_SURVIVED:
            self._survived_at.popitem(last=False)
        return released

    def survived_s(self, part: int, now: float) -> float | None:
        """Return how long ago an upstream last survived a part, if that is known."""
        at = self._survived_at.get(part)
        return None if at is None else now - at

    def suspects(self, now: float) -> list[int]:
        """Return the parts to hold, by the evidence that is known here."""
        return blamed_parts(self.requests(now), self._survived_at, self._holds)

    def failed_trials(self, now: float) -> list[int]:
        """Return the held parts under which an upstream crashed after their hold."""
        failed = set()
        for request in self.requests(now):
            for part in self.held_in(request.parts):
                if request.sent_at >= self._holds[part].until:
                    failed.add(part)
        return sorted(failed)

    # Holds.

    def hold(self, part: int, now: float, *, beside: Collection[int] = ()) -> None:
        """Hold a part, longer each time.

        :param beside: parts that are held at the same moment.
        """
        before = self._holds.get(part) or self._released.get(part)
        times = before.times + 1 if before is not None else 1
        rivals = {*self._holds, *beside} - {part}
        hold_s = self._hold_s(part, times, now, rivals)
        self._set_hold(part, _Hold(times=times, since=now, until=now + hold_s))

    def release(self, part: int, now: float) -> bool:
        """Release a part; return whether it was held."""
        hold = self._holds.pop(part, None)
        if hold is None:
            return False
        hold.since = now
        self._released[part] = hold
        return True

    def hear(self, report: CrashReport, now: float) -> bool:
        """Apply a report of another node on a part; return whether it is news."""
        self._forget_old(now)
        if report.kind is CrashReportKind.CLEARED:
            return self.release(report.digest, now)
        hold = self._holds.get(report.digest) or self._released.get(report.digest)
        if hold is not None and report.times <= hold.times:
            return False
        until = now + min(report.left_s, _MAX_HOLD_S)
        self._set_hold(report.digest, _Hold(times=report.times, since=now, until=until))
        return True

    def report(self, part: int, now: float) -> CrashReport | None:
        """Return what to tell other nodes of a part; ``None`` if there is nothing."""
        hold = self._holds.get(part)
        if hold is not None:
            return CrashReport(
                digest=part,
                kind=CrashReportKind.HELD,
                times=hold.times,
                left_s=max(hold.until - now, 0.0),
            )
        if part in self._released:
            return CrashReport(digest=part, kind=CrashReportKind.CLEARED)
        return None

    def held(self) -> tuple[int, ...]:
        """Return the held parts."""
        return tuple(self._holds)

    def held_in(self, parts: Iterable[int]) -> list[int]:
        """Return those of some parts that are held."""
        return [part for part in parts if part in self._holds] if self._holds else []

    def retry_after_s(self, parts: Iterable[int], now: float) -> float:
        """Return when a request with held parts may be worth sending again."""
        left_s = (self._holds[part].until - now for part in self.held_in(parts))
        return max([_TRIAL_RETRY_S, *left_s])

    def is_due(self, part: int, now: float) -> bool:
        """Whether a trial of a held part is due."""
        hold = self._holds.get(part)
        return hold is not None and now >= hold.until

    def grant_trial(self, part: int, now: float) -> bool:
        """Grant the trial of a part, if it is due and no other one may run."""
        hold = self._holds.get(part)
        if hold is None or now < max(hold.until, hold.trial_until):
            return False
        hold.trial_until = now + _TRIAL_S
        return True

    def _hold_s(
        self, part: int, times: int, now: float, rivals: Collection[int]
    ) -> float:
        """Return the duration of a part's nth hold in seconds.

        :param rivals: the other held parts.
        """
        since = self._survived_at.get(part, _NEVER)
        accusing = [
            request
            for request in self.requests(now)
            if part in request.parts and request.crashed_at > since
        ]
        crashes = len({request.upstream for request in accusing})
        is_common = len(accusing) >= _COMMON_AT_EACH * max(crashes, 1)
        is_tied = bool(accusing) and any(
            all(rival in request.parts for request in accusing) for rival in rivals
        )
        if is_common or is_tied or part in self._survived_at:
            hold_s = _FIRST_COMMON_HOLD_S * _COMMON_HOLD_GROWTH ** (times - 1)
        else:
            steps = max(times - 1, crashes - _MIN_CRASHES)
            hold_s = _FIRST_HOLD_S * _HOLD_GROWTH**steps
        return min(hold_s, _MAX_HOLD_S)

    def _set_hold(self, part: int, hold: _Hold) -> None:
        self._holds[part] = hold
        self._holds.move_to_end(part)
        self._released.pop(part, None)
        if len(self._holds) > _MAX_HELD:
            self._holds.popitem(last=False)

    def _forget_old(self, now: float) -> None:
        for part, hold in tuple(self._released.items()):
            if now - hold.since > _LATE_REPORT_S:
                del self._released[part]
        for part, hold in tuple(self._holds.items()):
            if now - hold.until > _HELD_RETENTION_S:
                del self._holds[part]
