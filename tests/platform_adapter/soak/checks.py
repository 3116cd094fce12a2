"""What the soak promises to callers, checked by what they and the workers saw."""

from __future__ import annotations

import asyncio
import bisect
import time
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

import h11

from baobabwing.exceptions import ConnectionLostError, MalformedError
from baobabwing.gateway.connection import HttpConnection
from baobabwing.standins.gateway_upstream import StreamRun
from baobabwing_platform.dialect import HEADERS
from tests.platform_adapter.demo import DEADLINE_S, SPARE_SERVICE, request_headers

__all__ = [
    "PATIENCE_S",
    "Kind",
    "NodeLimits",
    "Outcome",
    "Records",
    "Reply",
    "StatedLimit",
    "ask",
    "expected",
]

_ATTEMPTS = 2
# How long callers without a deadline of their own wait.
PATIENCE_S = 6.0
# Statuses that promise that a request has not run and never will.
_NOT_RUN = (408, 421, 429, 503)
_OK = 200
_UNAUTHORIZED = 401
# From when on a node that stops may cut nothing any more that it takes, and the last
# part of its time, in which it may cut what came before and is not done.
_TAKEN_LATE_S = 3.0
_LAST_PART = 1 / 6
# A node may end an answer this much before its caller's deadline or its timeout.
_DEADLINE_MARGIN_S = 0.02
# What was not read may be cut within this.
_LOST_S = 0.2
# Workers that one request may end: three until the cause is clear, three in retries.
_MOST_CRASHED = 6
# Workers that a part of prompts may end, the time in which all nodes then have to hold
# it back, and what may reach workers later.
_FREE_PART_CRASHES = 5
_PART_HELD_S = 3.0
_MOST_LATER_CRASHES = 3
# More than any sound answer has; its caller leaves then.
_MOST_BODY_BYTES = 1_000_000
# Time from an answer that says that its worker leaves until nothing more is sent there.
_DRAIN_S = 2.0
# The window in which the operator counts, as the nodes' settings have it.
_LIMIT_WINDOW_S = 8.0
# The budget of retries, as the nodes' settings have it at most.
_RETRY_RATIO = 0.2
_RETRY_SLACK = 51.0
_RETRY_WINDOW_S = 10.0
# What a worker that limits what it takes may get in a window, from when on, and how
# long a node has to know of it.
_RATE_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5.0
_STABLE_S = 3.0
_HEARD_S = 0.5


class Kind(StrEnum):
    """Kinds of requests, each with a route of its own."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True)
class Reply:
    """What a caller got.

    :param status: 0 if it got no head of an answer.
    :param whole: whether the answer came to its end.
    :param worker: the worker that answers, if its head arrived.
    :param leaving: the worker that says in it that it leaves, if it does.
    :param limiting: the worker that states in it a limit of what it takes, if it does.
    """

    status: int = 0
    worker: str = ""
    leaving: str = ""
    limiting: str = ""
    body: bytes = field(default=b"", repr=False)
    whole: bool = False
    ended_at: float = field(default_factory=time.monotonic, repr=False)


@dataclass(frozen=True, kw_only=True)
class StatedLimit:
    """A limit that a worker has stated for a while, in requests a second."""

    instance: str
    per_s: float
    since: float
    until: float


@dataclass(frozen=True, kw_only=True)
class NodeLimits:
    """What the machine of a node gives it."""

    memory_mb: int
    max_fds: int

    @property
    def settings(self) -> list[str]:
        """Lines of its settings file."""
        return [f"limits.memory_mb={self.memory_mb}", f"limits.max_fds={self.max_fds}"]


class Outcome(StrEnum):
    """What a caller can make of a reply."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"


@dataclass(frozen=True, kw_only=True)
class _Ended:
    kind: Kind
    reply: Reply
    events: int


class Records:
    """Requests of the run, and what is wrong about them.

    :param planned_only: whether no request that was passed on may be cut.
    :param grace_s: how long a node may take to stop, if streams may take longer; 0 if
        a stop excuses no cut.
    :ivar least_timeout_s: shortest timeout that the stream route has had.
    :ivar endless: requests that a worker has answered with bytes without end, which
        excuses a cut of these and no others.
    :ivar most_memory_mb: most resident memory that a node has had, as far as watched.
    :ivar most_files: most descriptors that a node has had open.
    """

    def __init__(self, *, planned_only: bool, grace_s: float = 0.0) -> None:
        self._planned_only = planned_only
        self._grace_s = grace_s
        self.least_timeout_s = float("inf")
        self._waits_s: dict[str, float] = {}
        self._stops: defaultdict[int, list[float]] = defaultdict(list)
        self._starts: defaultdict[int, list[float]] = defaultdict(list)
        self.wrong: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self._ended: dict[str, _Ended] = {}
        self._first: dict[str, str] = {}
        self._sent: dict[str, tuple[int, float]] = {}
        self._told: dict[tuple[int, str], float] = {}
        self._told_limit: dict[tuple[int, str], float] = {}
        self._disturbed: dict[int, float] = {}
        self._refused_key: dict[int, float] = {}
        self.endless: set[str] = set()
        self.most_memory_mb = 0.0
        self.most_files = 0

    def ended(
        self, number: str, kind: Kind, reply: Reply, events: int, *, after: int = 0
    ) -> Outcome:
        """Take a reply and judge it by itself.

        :param events: events of the stream that the workers make.
        :param after: event after which its caller takes the stream up.
        """
        self._ended[number] = _Ended(kind=kind, reply=reply, events=events)
        outcome = _outcome(reply)
        self.outcomes[f"{kind} {outcome}"] += 1
        if number in self.endless:
            self.outcomes[f"endless {outcome}"] += 1
            return outcome
        whole = expected(number, kind, events, after=after)
        if outcome is Outcome.SERVED and reply.body != whole:
            self.wrong.append(f"{kind} {number}: a whole answer of other bytes")
        if outcome is Outcome.CUT and not whole.startswith(reply.body):
            self.wrong.append(f"{kind} {number}: a part of other bytes")
        return outcome

    def taken_up(self, number: str, first: str, outcome: Outcome) -> None:
        """Note that a request has taken up the stream that another one began."""
        self._first[number] = first
        self.outcomes[f"taken up {outcome}"] += 1

    def judge_versions(
        self, runs: Iterable[tuple[StreamRun, str]], versions: Mapping[str, str]
    ) -> None:
        """Compare the versions that wrote each stream, over all tries of its caller.

        A run that was given up may reach its worker late, and count for nothing: what
        the caller has got tells at which version its stream began.

        :param runs: all runs of streams with their workers' versions, in turn.
        :param versions: of all workers.
        """
        seen = self._first_versions(versions)
        latest: dict[str, str] = {}
        for run, version in runs:
            first = self._first.get(run.request_id, run.request_id)
            began_at = seen.get(first) or latest.get(first, version)
            if run.last_event and began_at != version:
                self.wrong.append(
                    f"stream {first}: of {began_at}, goes on at {version}"
                    f" as {run.request_id} after event {run.last_event}"
                )
            latest[first] = version

    def _first_versions(self, versions: Mapping[str, str]) -> dict[str, str]:
        """Return the version of the first event that callers got, by stream."""
        began_at: dict[str, str] = {}
        for number, ended in self._ended.items():
            first = self._first.get(number, number)
            reply = ended.reply
            if ended.kind is Kind.STREAM and reply.body and reply.worker in versions:
                began_at.setdefault(first, versions[reply.worker])
        return began_at

    def judge_crashes(self, crashed: Counter[str]) -> None:
        """Compare what ended workers with how many it may end."""
        for target, ended in crashed.items():
            if ended > _MOST_CRASHED:
                self.wrong.append(f"{target}: ended {ended} workers")

    def judge_parts(self, crashed_at: Mapping[str, list[float]]) -> None:
        """Compare what parts of prompts ended with how many workers they may end."""
        for part, times in crashed_at.items():
            if len(times) <= _FREE_PART_CRASHES:
                continue
            held_from = times[_FREE_PART_CRASHES - 1] + _PART_HELD_S
            later = sum(at > held_from for at in times)
            if later > _MOST_LATER_CRASHES:
                self.wrong.append(
                    f"{part}: ended {len(times)} workers, {later} of them later than"
                    f" {_PART_HELD_S} s after the fifth"
                )

    def sent(self, number: str, node: int, *, wait_s: float = PATIENCE_S) -> None:
        """Note which node a request is sent to, and how long its caller waits."""
        self._sent[number] = (node, time.monotonic())
        self._waits_s[number] = wait_s

    def stopped(self, node: int) -> None:
        """Note that a node that was not stopping gets SIGTERM."""
        self._stops[node].append(time.monotonic())

    def started(self, node: int) -> None:
        """Note that a node that had ended is started again."""
        self._starts[node].append(time.monotonic())

    def held(self, number: str, node: int, kind: Kind) -> None:
        """Note a request whose caller reads nothing, and loses nothing by a cut."""
        self.sent(number, node, wait_s=0.0)
        self._ended[number] = _Ended(kind=kind, reply=Reply(), events=0)
        self.outcomes[f"{kind} held"] += 1

    def used(self, node: int, pid: int, limits: NodeLimits) -> bool:
        """Note what a node uses; return whether that is less than its limits."""
        memory_mb, files = _peak_memory_mb(pid), _open_files(pid)
        self.most_memory_mb = max(self.most_memory_mb, memory_mb)
        self.most_files = max(self.most_files, files)
        within = memory_mb < limits.memory_mb and files < limits.max_fds
        if not within:
            self.wrong.append(
                f"node {node}: {memory_mb:.0f} of {limits.memory_mb} MB,"
                f" {files} of {limits.max_fds} descriptors"
            )
        return within

    def node_of(self, number: str) -> int:
        """Return the node that a request was sent to; -1 for none."""
        return self._sent.get(number, (-1, 0.0))[0]

    def disturbed(self, node: int) -> None:
        """Note that a node is killed, stopped, started or stands still."""
        self._disturbed[node] = time.monotonic()

    def told(self, number: str, instance: str) -> None:
        """Note that a node has passed on that a worker leaves."""
        node, _ = self._sent[number]
        self._told.setdefault((node, instance), time.monotonic())

    def told_limit(self, number: str, instance: str) -> None:
        """Note that a node has passed on that a worker limits what it takes."""
        node, _ = self._sent[number]
        self._told_limit.setdefault((node, instance), time.monotonic())

    def judge_rate_limit(
        self, limit: StatedLimit, arrivals: Iterable[tuple[str, float]]
    ) -> None:
        """Compare what a worker got with the limit that it stated.

        :param arrivals: requests that arrived at it and when, in turn.
        """
        counted = [
            at
            for number, at in arrivals
            if limit.since + _STABLE_S <= at <= limit.until
            and self._knows_limit(self.node_of(number), limit.instance, at)
        ]
        most = _LIMIT_FACTOR * limit.per_s * _RATE_WINDOW_S + _LIMIT_SLACK
        for begin in counted:
            count = sum(begin <= at < begin + _RATE_WINDOW_S for at in counted)
            if count > most:
                self.wrong.append(
                    f"{limit.instance}: {count} in a window, {most:.0f} are allowed"
                )
                return

    def _knows_limit(self, node: int, instance: str, at: float) -> bool:
        """Whether a node was told of a limit in time, and has run all the while."""
        told_at = self._told_limit.get((node, instance))
        if told_at is None or at - told_at < _HEARD_S:
            return False
        return self._disturbed.get(node, 0.0) < told_at

    def spare_key_used(self, number: str, status: int) -> None:
        """Judge the answer to a key that had been taken away when it was used."""
        node, sent_at = self._sent[number]
        refused_at = self._refused_key.get(node)
        if status == _UNAUTHORIZED:
            self._refused_key[node] = time.monotonic()
        elif status == _OK and refused_at is not None:
            started = self._disturbed.get(node, 0.0) > refused_at
            if sent_at > refused_at and not started:
                self.wrong.append(f"{number}: node {node} serves a key it had refused")

    def judge_leaving(self, received_requests: Iterable[tuple[str, str]]) -> None:
        """Compare what nodes knew of workers that leave with what they sent there.

        :param received_requests: requests and the workers that they reached.
        """
        for number, instance in received_requests:
            node, sent_at = self._sent.get(number, (-1, 0.0))
            told_at = self._told.get((node, instance))
            if told_at is None or sent_at - told_at <= _DRAIN_S:
                continue
            if self._disturbed.get(node, 0.0) < told_at:
                after_s = sent_at - told_at
                self.wrong.append(f"{number}: at {instance} {after_s:.1f} s after")

    def judge_limit(
        self, began: Iterable[tuple[str, float]], limited: set[str], most: int
    ) -> None:
        """Compare what an organisation got with its limit and tolerance.

        :param began: requests and when they began to run, in turn.
        :param limited: the organisation's requests.
        :param most: requests that may be both sent and run in one window.
        """
        window: deque[tuple[str, float]] = deque()
        for number, at in began:
            if number not in limited:
                continue
            window.append((number, at))
            since = at - _LIMIT_WINDOW_S
            while window[0][1] < since:
                window.popleft()
            count = sum(self._sent[one][1] >= since for one, _ in window)
            if count > most:
                self.wrong.append(f"{number}: {count} in a window, {most} are allowed")
                return

    def judge_retries(
        self, service: str, arrivals: Iterable[tuple[str, float]]
    ) -> None:
        """Compare what arrived again at a service with its budget of retries.

        :param arrivals: requests that arrived at its workers and when, in turn.
        """
        known: set[str] = set()
        again = []
        for number, at in arrivals:
            if number in known:
                again.append(at)
            known.add(number)
        asked = sorted(
            self._sent[number][1]
            for number, ended in self._ended.items()
            if service in _services_of(ended.kind)
        )
        for begin in again:
            count = _within(again, begin)
            requests = max(
                _within(asked, begin - back * _RETRY_WINDOW_S) for back in (0, 0.5, 1)
            )
            most = _RETRY_RATIO * requests + _RETRY_SLACK
            if count > most:
                self.wrong.append(f"{service}: {count} retries, {most:.0f} are allowed")
                return

    def judge_runs(
        self, runs: Counter[str], work: Mapping[str, Sequence[tuple[float, float]]]
    ) -> None:
        """Compare all replies with what the workers ran.

        :param work: when the runs of each request began and ended.
        """
        for number, ended in self._ended.items():
            most = 1 if ended.kind is Kind.UNSAFE else _ATTEMPTS
            if runs[number] > most:
                self.wrong.append(f"{ended.kind} {number}: ran {runs[number]} times")
            outcome = _outcome(ended.reply)
            refused = outcome is Outcome.REFUSED
            excused = number in self.endless or not self._planned_only
            if outcome is Outcome.CUT and not excused:
                self._judge_cut(number, ended, runs[number], work.get(number, ()))
            if refused and ended.kind is Kind.UNSAFE and runs[number]:
                status = ended.reply.status
                self.wrong.append(f"{ended.kind} {number}: {status}, and it has run")
        for number in set(runs) - set(self._ended):
            self.wrong.append(f"{number}: ran, and nobody asked for it")

    def _judge_cut(
        self,
        number: str,
        ended: _Ended,
        runs: int,
        work: Sequence[tuple[float, float]],
    ) -> None:
        """Judge a request that was cut beside planned work."""
        if not self._grace_s:
            if runs:
                self.wrong.append(f"{ended.kind} {number}: cut beside planned work")
            return
        node, sent_at = self._sent[number]
        ended_at = ended.reply.ended_at
        lasted_s = ended_at - sent_at
        limit_s = min(self._waits_s[number], self.least_timeout_s)
        if lasted_s >= limit_s - _DEADLINE_MARGIN_S:
            return
        if not runs and lasted_s <= _LOST_S:
            return
        stopped_at = self._stop_that_met(node, sent_at, ended_at)
        if stopped_at is None:
            self.wrong.append(
                f"{ended.kind} {number}: cut after {lasted_s:.2f} s by node {node},"
                " which was not told to stop"
            )
            return
        last_s = (1 - _LAST_PART) * self._grace_s
        at_work = any(
            began_at <= stopped_at + self._grace_s and until >= stopped_at + last_s
            for began_at, until in work
        )
        if at_work and sent_at - stopped_at <= _TAKEN_LATE_S:
            self.outcomes["excused cut"] += 1
            return
        spans = [
            f"{began_at - stopped_at:+.2f} to {until - stopped_at:+.2f} s"
            for began_at, until in work
        ]
        self.wrong.append(
            f"{ended.kind} {number}: cut {ended_at - stopped_at:+.2f} s from SIGTERM"
            f" of node {node}, sent {sent_at - stopped_at:+.2f} s, ran {spans}"
        )

    def _stop_that_met(
        self, node: int, sent_at: float, ended_at: float
    ) -> float | None:
        """Return when a node got SIGTERM that a request met; ``None`` for never."""
        started_at = max((at for at in self._starts[node] if at <= sent_at), default=0)
        stops = [at for at in self._stops[node] if started_at <= at <= ended_at]
        return stops[0] if stops else None


def _peak_memory_mb(pid: int) -> float:
    """Return the most resident memory that a process has had; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    peaks = [line.split()[1] for line in lines if line.startswith("VmHWM:")]
    return int(peaks[0]) / 1024 if peaks else 0.0


def _open_files(pid: int) -> int:
    """Return how many descriptors a process has open; 0 if it has ended."""
    try:
        return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return 0


def _services_of(kind: Kind) -> tuple[str, ...]:
    """Return the services that requests of a kind may go to."""
    if kind is Kind.STREAM:
        return ("engines",)
    return ("services", SPARE_SERVICE) if kind is Kind.SAFE else ("services",)


def _within(times: Sequence[float], begin: float) -> int:
    """Return how many of some ordered times are in the window from one on."""
    end = bisect.bisect_left(times, begin + _RETRY_WINDOW_S)
    return end - bisect.bisect_left(times, begin)


def expected(number: str, kind: Kind, events: int, *, after: int = 0) -> bytes:
    """Return the whole answer to a request."""
    name = number.encode()
    if kind is not Kind.STREAM:
        return b"answer to " + name
    return b"".join(
        b"id: %d\ndata: piece %d of %s\n\n" % (n, n, name)
        for n in range(after + 1, events + 1)
    )


async def ask(
    conn: HttpConnection,
    number: str,
    kind: Kind,
    key: str,
    *,
    path: str = "x",
    text: bytes = b"x",
    more: Iterable[tuple[bytes, bytes]] = (),
    deadline_s: float | None = None,
) -> Reply:
    """Send a request and read its answer, as far as it comes.

    :param deadline_s: how long the caller says that it waits, and does; without one it
        leaves before the usual one.
    :param more: headers beside the usual ones.
    """
    status, body, worker, leaving, limiting = 0, b"", "", "", ""

    def reply(*, whole: bool) -> Reply:
        return Reply(
            status=status,
            worker=worker,
            leaving=leaving,
            limiting=limiting,
            body=body,
            whole=whole,
        )

    length = (b"Content-Length", b"%d" % len(text))
    usual = request_headers(number, key, deadline_s=deadline_s or DEADLINE_S)
    headers = [*usual, length, *more]
    try:
        async with asyncio.timeout(deadline_s or PATIENCE_S):
            target = f"/{kind}/{path}"
            await conn.send(h11.Request(method="POST", target=target, headers=headers))
            await conn.send(h11.Data(data=text))
            await conn.send(h11.EndOfMessage())
            while not isinstance(event := await conn.next_event(), h11.EndOfMessage):
                if isinstance(event, h11.Response):
                    status = event.status_code
                    found = {name.lower(): value for name, value in event.headers}
                    worker = _worker(found)
                    leaving = worker if HEADERS.leaving in found else ""
                    limiting = worker if HEADERS.rate_limit in found else ""
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                    if len(body) > _MOST_BODY_BYTES:
                        return reply(whole=False)
                else:
                    return reply(whole=False)
    except (ConnectionLostError, MalformedError, TimeoutError):
        return reply(whole=False)
    return reply(whole=True)


def _worker(headers: Mapping[bytes, bytes]) -> str:
    """Return the worker that signed an answer; empty if none did."""
    return headers.get(HEADERS.signature, b"").decode().removeprefix("signed-")


def _outcome(reply: Reply) -> Outcome:
    if not reply.whole:
        return Outcome.CUT
    if reply.status == _OK:
        return Outcome.SERVED
    return Outcome.REFUSED if reply.status in _NOT_RUN else Outcome.FAILED
