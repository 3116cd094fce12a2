"""Open-loop load client that sends each request at its scheduled time.

Run as ``python -m baobabwing.bench.driver PLAN ANSWERS``; both are JSON files.
Each open request has its own thread. Received bytes are stored with their arrival
times and checked after the run, so that checking adds no load during the run.
"""

from __future__ import annotations

import gc
import http.client
import json
import random
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from baobabwing.bench.answers import Answer, Verdict
from baobabwing.bench.arrivals import Arrival, Form, own_text, shared_text
from baobabwing.bench.directory import AddressCache, Directory, Entry
from baobabwing.bench.transcripts import (
    Judgement,
    Piece,
    judge_stream,
    judge_whole,
    service_body,
)

__all__ = [
    "Plan",
    "Progress",
    "drive",
    "main",
    "read_answers",
    "read_plan",
    "write_plan",
]

THREAD_STACK_BYTES = 256 * 1024
READ_BYTES = 64 * 1024
MS_PER_S = 1_000.0
OK_STATUS = 200
UNKNOWN = Verdict.UNKNOWN
EVENT_STREAM = "text/event-stream"
STREAM_END = b"data: [DONE]\n\n"
# Time after its deadline for which a caller still waits for an answer.
RESPONSE_GRACE_S = 10.0
PROGRESS_INTERVAL_S = 0.5
RETRY_DELAYS_S = (0.1, 0.3, 1.0, 2.0)


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Input of a driver process.

    :param nodes: ``host:port`` of nodes to query for addresses.
    :param start_at: start of the run on the monotonic clock of the host.
    :param keys: credential by ``organisation/tier``.
    :param direct: whether ``nodes`` are upstreams to connect to directly.
    :param pauses_s: delays before a caller retries a request whose outcome is
        unknown to it.
    """

    run: str
    nodes: tuple[str, ...]
    start_at: float
    seed: int
    keys: dict[str, str]
    arrivals: tuple[Arrival, ...]
    direct: bool = False
    pauses_s: tuple[float, ...] = RETRY_DELAYS_S


@dataclass(frozen=True, kw_only=True)
class Progress:
    """Progress of a driver process, written to its standard output as a JSON line."""

    sent: int
    done: int


@dataclass(frozen=True, kw_only=True)
class _UnjudgedAnswer:
    """Received answer before it is checked."""

    arrival: Arrival
    answer: Answer
    content_type: str = ""
    pieces: tuple[Piece, ...] = ()


class _Caller:
    """Sends the requests of a plan and stores the answers."""

    def __init__(self, *, plan: Plan, directory: Directory) -> None:
        self._plan = plan
        self._directory = directory
        self._unjudged_answers: list[_UnjudgedAnswer] = []

    def unjudged_answers(self) -> list[_UnjudgedAnswer]:
        return self._unjudged_answers

    def call(self, arrival: Arrival) -> None:
        """Send a request and store its answer; never raises.

        If the connection breaks, the request is retried with the same key, if
        possible at another address. The system guarantees that a key runs only once.
        """
        cache = self._directory.choose()
        unjudged = self._attempt(
            cache, arrival, Answer(index=arrival.index, verdict=UNKNOWN)
        )
        for pause_s in self._plan.pauses_s:
            if not _is_unknown(unjudged):
                break
            time.sleep(pause_s)
            if self._now_s() - arrival.at_s > arrival.deadline_ms / MS_PER_S:
                break
            unjudged = self._attempt(cache, arrival, unjudged.answer)
        self._unjudged_answers.append(unjudged)

    def _attempt(
        self, cache: AddressCache, arrival: Arrival, previous: Answer
    ) -> _UnjudgedAnswer:
        """Send the request once.

        :param previous: answer to the previous attempt, which is unknown, or an empty
            one before the first attempt.
        """
        key = previous.key
        answer = Answer(
            index=arrival.index,
            verdict=UNKNOWN,
            key=key,
            tries=previous.tries + 1,
            sent_s=self._now_s(),
        )
        try:
            conn, entry = self._connect(cache, arrival, avoid=previous.address)
        except OSError as exc:
            # Without an earlier attempt nothing can have run; otherwise it is
            # unknown.
            verdict = UNKNOWN if key else Verdict.ERROR
            code = f"no_connection_{type(exc).__name__}"
            answer = replace(answer, verdict=verdict, code=code, end_s=self._now_s())
            return _UnjudgedAnswer(arrival=arrival, answer=answer)
        key = key or self._new_key(arrival, entry)
        answer = replace(answer, key=key, address=entry.address)
        return self._exchange(conn, arrival, answer)

    def _exchange(
        self, conn: http.client.HTTPConnection, arrival: Arrival, answer: Answer
    ) -> _UnjudgedAnswer:
        pieces: list[Piece] = []
        content_type = ""
        try:
            self._send(conn, arrival, answer.key)
            resp = conn.getresponse()
            content_type = resp.getheader("Content-Type", "")
            answer = _with_response_head(answer, resp)
            self._read(resp, pieces)
        except (OSError, http.client.HTTPException) as exc:
            answer = replace(answer, code=f"broken_{type(exc).__name__}")
        finally:
            conn.close()
        return _UnjudgedAnswer(
            arrival=arrival,
            answer=replace(answer, end_s=self._now_s()),
            content_type=content_type,
            pieces=tuple(pieces),
        )

    def _new_key(self, arrival: Arrival, entry: Entry) -> str:
        prefix = "" if arrival.own_key else entry.key_prefix
        return f"{prefix}{self._plan.run}-{arrival.index}"

    def _connect(
        self, cache: AddressCache, arrival: Arrival, *, avoid: str
    ) -> tuple[http.client.HTTPConnection, Entry]:
        """Connect to the first reachable address.

        A failed connect has sent nothing, so it is safe to try the next address.
        """
        timeout_s = arrival.deadline_ms / MS_PER_S + RESPONSE_GRACE_S
        for entry in cache.entries(avoid=avoid):
            conn = http.client.HTTPConnection(entry.address, timeout=timeout_s)
            try:
                conn.connect()
            except OSError:
                conn.close()
                cache.remove(entry)
            else:
                return conn, entry
        raise ConnectionRefusedError("no reachable address")

    def _send(
        self, conn: http.client.HTTPConnection, arrival: Arrival, key: str
    ) -> None:
        credential = self._plan.keys.get(f"{arrival.organisation}/{arrival.tier}", "")
        headers = {
            "Authorization": f"Bearer {credential}",
            "Content-Type": "application/json",
            "Idempotency-Key": key,
            "X-Deadline-Ms": str(arrival.deadline_ms),
            "Connection": "close",
        }
        if arrival.non_idempotent:
            headers["X-Non-Idempotent"] = "1"
        body = json.dumps(_body(arrival)).encode()
        conn.request("POST", _path(arrival), body=body, headers=headers)

    def _read(self, resp: http.client.HTTPResponse, pieces: list[Piece]) -> None:
        while data := resp.read1(READ_BYTES):
            pieces.append(Piece(at_s=self._now_s(), data=data))

    def _now_s(self) -> float:
        return time.monotonic() - self._plan.start_at


def drive(plan: Plan) -> list[Answer]:
    """Send all requests of a plan and return the checked answers.

    The load is open-loop: requests are sent at their scheduled times even if earlier
    ones have not been answered.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    gc.freeze()
    rng = random.Random(plan.seed)
    directory = Directory(nodes=plan.nodes, rng=rng, direct=plan.direct)
    directory.start()
    caller = _Caller(plan=plan, directory=directory)
    threads: list[threading.Thread] = []
    stopped = threading.Event()
    threading.Thread(
        target=_report_progress, args=(threads, caller, stopped), daemon=True
    ).start()
    for arrival in plan.arrivals:
        _sleep_until(plan.start_at + arrival.at_s)
        thread = threading.Thread(target=caller.call, args=(arrival,), daemon=True)
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    stopped.set()
    directory.stop()
    return [_judge(unjudged) for unjudged in caller.unjudged_answers()]


def write_plan(path: Path, plan: Plan) -> None:
    """Write a plan to a JSON file for a driver process."""
    path.write_text(json.dumps(asdict(plan)), encoding="utf-8")


def read_plan(path: Path) -> Plan:
    """Read a plan from a JSON file."""
    document = json.loads(path.read_text(encoding="utf-8"))
    document["nodes"] = tuple(document["nodes"])
    document["pauses_s"] = tuple(document["pauses_s"])
    document["arrivals"] = tuple(
        Arrival(**{**item, "form": Form(item["form"])}) for item in document["arrivals"]
    )
    return Plan(**document)


def read_answers(path: Path) -> list[Answer]:
    """Read the answers that a driver process wrote."""
    items = json.loads(path.read_text(encoding="utf-8"))
    return [
        Answer(
            **{
                **item,
                "verdict": Verdict(item["verdict"]),
                "gaps_ms": tuple(item["gaps_ms"]),
            }
        )
        for item in items
    ]


def main(arguments: Sequence[str]) -> int:
    """Execute the plan in the first file and write the answers to the second."""
    plan_path, answers_path = (Path(argument) for argument in arguments)
    answers = drive(read_plan(plan_path))
    temporary = answers_path.with_suffix(".part")
    temporary.write_text(json.dumps([asdict(one) for one in answers]), encoding="utf-8")
    temporary.rename(answers_path)
    return 0


def _report_progress(
    threads: Sequence[threading.Thread], caller: _Caller, stopped: threading.Event
) -> None:
    while not stopped.wait(PROGRESS_INTERVAL_S):
        progress = Progress(sent=len(threads), done=len(caller.unjudged_answers()))
        print(json.dumps(asdict(progress)), flush=True)


def _body(arrival: Arrival) -> dict[str, object]:
    if arrival.form is Form.SERVICE:
        return service_body(arrival)
    body: dict[str, object] = {
        "model": arrival.target,
        "max_tokens": arrival.output_tokens,
        "stream": arrival.stream,
    }
    shared, unshared = shared_text(arrival), own_text(arrival)
    if arrival.form is Form.COMPLETION:
        body["prompt"] = f"{shared}\n{unshared}" if shared else unshared
        return body
    messages = [{"role": "system", "content": shared}] if shared else []
    messages.append({"role": "user", "content": unshared})
    body["messages"] = messages
    return body


def _path(arrival: Arrival) -> str:
    if arrival.form is Form.CHAT:
        return "/v1/chat/completions"
    if arrival.form is Form.COMPLETION:
        return "/v1/completions"
    return f"/v1/services/{arrival.target}/{arrival.work}"


def _with_response_head(answer: Answer, resp: http.client.HTTPResponse) -> Answer:
    return replace(
        answer,
        status=resp.status,
        request_id=resp.getheader("X-Request-Id", ""),
        retry_after_s=_parse_seconds(resp.getheader("Retry-After", "")),
    )


def _parse_seconds(value: str) -> float:
    try:
        return float(value)
    except ValueError:
        return 0.0


def _is_unknown(unjudged: _UnjudgedAnswer) -> bool:
    """Return whether the caller does not know the outcome of its request."""
    answer = unjudged.answer
    last_data = unjudged.pieces[-1].data if unjudged.pieces else b""
    streamed = unjudged.content_type.startswith(EVENT_STREAM)
    ended = last_data.endswith(STREAM_END) or not streamed
    if answer.status == OK_STATUS and not answer.code and ended:
        return False
    return _judge(unjudged).verdict is UNKNOWN


def _judge(unjudged: _UnjudgedAnswer) -> Answer:
    if unjudged.answer.verdict is Verdict.ERROR:
        return unjudged.answer
    if not unjudged.answer.status:
        return unjudged.answer
    judgement = _judge_bytes(unjudged)
    times = judgement.token_times or (unjudged.answer.end_s,)
    gaps_ms = tuple(
        round((later - earlier) * MS_PER_S, 2)
        for earlier, later in zip(times, times[1:], strict=False)
    )
    return replace(
        unjudged.answer,
        verdict=judgement.verdict,
        code=unjudged.answer.code or judgement.code,
        first_s=times[0],
        gaps_ms=gaps_ms,
    )


def _judge_bytes(unjudged: _UnjudgedAnswer) -> Judgement:
    if unjudged.content_type.startswith(EVENT_STREAM):
        return judge_stream(unjudged.arrival, unjudged.pieces)
    body = b"".join(piece.data for piece in unjudged.pieces)
    if unjudged.answer.code:
        return Judgement(verdict=Verdict.UNKNOWN, code=unjudged.answer.code)
    return judge_whole(unjudged.arrival, unjudged.answer.status, body)


def _sleep_until(at: float) -> None:
    while (left := at - time.monotonic()) > 0.0:
        time.sleep(left)


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
