"""Randomised fault injection campaign with many concurrent requests."""

from __future__ import annotations

import random
import threading
import time
import uuid
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from baobabwing.bench.deployments import PLATFORM
from baobabwing.bench.executions import Executed
from baobabwing.bench.matrix.caller import Caller, Ending, Job, Transcript, Try
from baobabwing.bench.matrix.oracle import Breach, judge
from baobabwing.bench.matrix.site import ENGINES, SERVICES, Site
from baobabwing.bench.processes import ProcessError, wait_until

__all__ = ["Campaign", "Figures"]

CALLERS = 12
MIN_TOKENS, MAX_TOKENS = 10, 120
BOOKING_SHARE = 0.3
DISCONNECT_SHARE = 0.1
PROMPT_WORDS = 200
MAX_ATTEMPTS = 5
RETRY_PAUSE_S = 0.1
FAULT_PAUSE_S = (0.5, 1.5)
DOWNTIME_S = (0.2, 2.5)
IDLE_S = 60.0


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Results of a campaign.

    :param breaches: violations found by the oracle.
    :param cut_streams: number of chat turns that were streaming at a host when it was
        killed.
    :param completed: number of cut streams that the caller's next attempt completed.
    :param second_endings: endings of the next attempts of cut streams, with messages.
    :param recomputed: number of cut streams that were prefilled more than once.
    :param hung: attempts that did not end in time, by key, address and number.
    :param endings: last endings of all requests.
    """

    requests: int
    breaches: tuple[Breach, ...]
    cut_streams: int
    completed: int
    second_endings: dict[str, int]
    recomputed: int
    executions: int
    hung: tuple[str, ...]
    faults: dict[str, int]
    endings: dict[str, int]

    def text(self) -> str:
        """Format the results as text."""
        counts = Counter(one.promise for one in self.breaches)
        return "\n".join(
            (
                f"requests {self.requests}, executions {self.executions}",
                f"faults {self.faults}",
                f"last endings {self.endings}",
                f"executed twice {counts['once']}, false not run {counts['not_run']},"
                f" wrong answers {counts['whole']}",
                f"streams open at a killed host {self.cut_streams}, completed by the"
                f" second try {self.completed}, prefilled again {self.recomputed}",
                f"endings of those second tries {self.second_endings}",
                f"tries that did not end {len(self.hung)} {' '.join(self.hung)}",
            )
        )


@dataclass(kw_only=True)
class _Request:
    """Request with its attempts.

    :param killed: index of the attempt whose host was killed, if any.
    """

    job: Job
    tries: list[Try] = field(default_factory=list)
    killed: int | None = None


class Campaign:
    """Run of concurrent callers with faults injected at random times.

    :param requests: number of requests to send.
    :param seed: seed of all random choices; the timing also depends on the host.
    :param only: the only fault to inject; all faults if empty.
    :param tokens: minimum (inclusive) and maximum (exclusive) length of an answer.
    """

    def __init__(
        self,
        *,
        site: Site,
        requests: int,
        seed: int,
        only: str = "",
        tokens: tuple[int, int] = (MIN_TOKENS, MAX_TOKENS),
    ) -> None:
        self._site = site
        self._only = only
        self._tokens = tokens
        self._hung: list[str] = []
        self._requests_left = requests
        self._seed = seed
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._done = threading.Event()
        self._requests: list[_Request] = []
        self._callers: list[Caller] = []
        self._faults: Counter[str] = Counter()

    def run(self) -> Figures:
        """Send all requests while injecting faults, and check the results.

        :raises ProcessError: if the site does not become idle.
        """
        epoch_s = time.time()
        threads = [
            threading.Thread(target=self._run_caller, args=(number,))
            for number in range(CALLERS)
        ]
        fault_thread = threading.Thread(target=self._inject_faults)
        for thread in (*threads, fault_thread):
            thread.start()
        for thread in threads:
            thread.join()
        self._done.set()
        fault_thread.join()
        self._site.heal()
        if not self._site.wait_idle(timeout_s=IDLE_S):
            raise ProcessError("upstreams did not become idle", step="campaign")
        return self._check_results(epoch_s)

    def _run_caller(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        credential = self._site.shape.credential_key("pocitos", "chat")
        caller = Caller(credential=credential)
        with self._lock:
            self._callers.append(caller)
        while self._take_request():
            self._send_request(caller, rng)

    def _take_request(self) -> bool:
        with self._lock:
            self._requests_left -= 1
            return self._requests_left >= 0

    def _send_request(self, caller: Caller, rng: random.Random) -> None:
        nodes = list(self._site.nodes.values())
        rng.shuffle(nodes)
        job = self._job(caller, nodes, rng)
        request = _Request(job=job)
        with self._lock:
            self._requests.append(request)
        disconnects = rng.random() < DISCONNECT_SHARE
        for number in range(MAX_ATTEMPTS):
            words = caller.words_of(job)
            last = len(words) - 1 if words else None
            address = nodes[number % len(nodes)]
            attempt = caller.begin(job, address, last_event=last)
            with self._lock:
                request.tries.append(attempt)
            if disconnects and number == 0:
                attempt.wait_words(rng.randrange(1, 5), timeout_s=1.0)
                attempt.leave(hard=rng.random() < 0.5)
            try:
                transcript = attempt.wait()
            except TimeoutError:
                self._hung.append(f"{job.key}@{address}+{number}")
                attempt.leave()
                continue
            if transcript.ending in (Ending.WHOLE, Ending.OTHER):
                return
            time.sleep(RETRY_PAUSE_S)

    def _job(self, caller: Caller, nodes: list[str], rng: random.Random) -> Job:
        name = uuid.uuid4().hex
        service = rng.random() < BOOKING_SHARE
        key = name
        # The caller's own key is the fallback if no node returns a prefix.
        if not service:
            for address in (*nodes,):
                try:
                    key = caller.key_at(address, name)
                except (OSError, LookupError, ValueError):
                    continue
                nodes.remove(address)
                nodes.insert(0, address)
                break
        prompt = " ".join(["please"] * rng.randrange(PROMPT_WORDS))
        return Job(
            text=f"a cut {name} {prompt}",
            key=key,
            service=service,
            tokens=rng.randrange(*self._tokens),
        )

    def _inject_faults(self) -> None:
        faults: tuple[tuple[str, Callable[[], None]], ...] = (
            ("host killed", self._kill_node),
            ("host killed", self._kill_node),
            ("host frozen", self._freeze_node),
            ("engine killed", self._kill_engine),
            ("engine frozen", self._freeze_engine),
            ("streams cut", self._cut_streams),
            ("answers dropped", self._drop_answers),
            ("answers twice", self._answer_twice),
            ("refusals", self._refuse),
            ("store down", self._store_down),
            ("store loses answers", self._lose_answers),
        )
        while not self._done.wait(self._rng.uniform(*FAULT_PAUSE_S)):
            name, inject = self._rng.choice(
                [one for one in faults if self._only in ("", one[0])]
            )
            self._faults[name] += 1
            inject()

    def _kill_node(self) -> None:
        name = self._rng.choice(self._site.node_names)
        address = self._site.nodes[name]
        with self._lock:
            self._site.kill(name)
            for request in self._requests:
                self._mark_killed(request, address)
        self._done.wait(self._rng.uniform(*DOWNTIME_S))
        self._site.restart_node(name)
        wait_until(self._site.is_whole, timeout_s=IDLE_S)

    def _mark_killed(self, request: _Request, address: str) -> None:
        if not request.tries or request.killed is not None:
            return
        transcript = request.tries[-1].transcript
        streams = bool(transcript.words) and not transcript.job.service
        if transcript.ending is None and transcript.address == address and streams:
            request.killed = len(request.tries) - 1

    def _freeze_node(self) -> None:
        self._freeze(self._rng.choice(self._site.node_names))
        wait_until(self._site.is_whole, timeout_s=IDLE_S)

    def _freeze(self, name: str) -> None:
        self._site.group.freeze(name)
        self._done.wait(self._rng.uniform(*DOWNTIME_S))
        self._site.group.thaw(name)

    def _kill_engine(self) -> None:
        name = self._rng.choice(ENGINES)
        self._site.kill(name)
        self._done.wait(self._rng.uniform(*DOWNTIME_S))
        self._site.restart(name)

    def _freeze_engine(self) -> None:
        self._freeze(self._rng.choice(ENGINES))

    def _cut_streams(self) -> None:
        name = self._rng.choice(ENGINES)
        value = self._rng.randrange(1, MIN_TOKENS)
        self._site.fault(name, "cut_stream_after", value=value, count=3)

    def _drop_answers(self) -> None:
        name = self._rng.choice((*ENGINES, *SERVICES))
        self._site.fault(name, "drop_after_effect", count=2)

    def _answer_twice(self) -> None:
        name = self._rng.choice((*ENGINES, *SERVICES))
        self._site.fault(name, "answer_twice", count=3)

    def _refuse(self) -> None:
        name = self._rng.choice((*ENGINES, *SERVICES))
        self._site.fault(name, "refuse", count=5)

    def _store_down(self) -> None:
        self._site.fault(PLATFORM, "down", for_ms=1_000)

    def _lose_answers(self) -> None:
        self._site.fault(PLATFORM, "lose_answer", count=3)

    def _check_results(self, epoch_s: float) -> Figures:
        executions = [
            one for one in self._site.executions(epoch_s=epoch_s) if one.started_s >= 0
        ]
        transcripts = [one for caller in self._callers for one in caller.transcripts]
        runs: dict[str, list[Executed]] = defaultdict(list)
        for one in executions:
            runs[one.key].append(one)
        cut_requests = [one for one in self._requests if one.killed is not None]
        return Figures(
            requests=len(self._requests),
            breaches=tuple(judge(transcripts, executions, epoch_s=epoch_s)),
            cut_streams=len(cut_requests),
            completed=sum(_second_try_whole(one) for one in cut_requests),
            second_endings=dict(Counter(_second_ending(one) for one in cut_requests)),
            recomputed=sum(len(runs[one.job.key]) > 1 for one in cut_requests),
            executions=len(executions),
            hung=tuple(self._hung),
            faults=dict(self._faults),
            endings=dict(
                Counter(str(_last_transcript(one).ending) for one in self._requests)
            ),
        )


def _last_transcript(request: _Request) -> Transcript:
    return request.tries[-1].transcript


def _second_ending(request: _Request) -> str:
    later_attempts = request.tries[request.killed + 1 :]
    if not later_attempts:
        return "no second try"
    transcript = later_attempts[0].transcript
    message = transcript.error.get("message", "")
    return f"{transcript.ending} {message}".strip()


def _second_try_whole(request: _Request) -> bool:
    """Return whether the attempt after the killed one was answered completely."""
    later_attempts = request.tries[request.killed + 1 :]
    return bool(later_attempts) and later_attempts[0].transcript.ending is Ending.WHOLE
