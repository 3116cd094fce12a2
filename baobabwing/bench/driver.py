"""The load client: sends each request at its time, whatever the answers do.

Run as ``python -m baobabwing.bench.driver PLAN ANSWERS``; both are JSON files.
One thread serves one open request. Bytes are kept with their times of arrival and
judged after the run, so that checking costs nothing while load is on.
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
from baobabwing.bench.directory import Directory, Entry, Site
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

STACK_BYTES = 256 * 1024
READ_BYTES = 64 * 1024
MS_PER_S = 1_000.0
OK_STATUS = 200
UNKNOWN = Verdict.UNKNOWN
EVENT_STREAM = "text/event-stream"
STREAM_END = b"data: [DONE]\n\n"
# How long past its deadline a caller still listens for an answer.
PATIENCE_S = 10.0
PROGRESS_S = 0.5
COME_BACK_PAUSES_S = (0.1, 0.3, 1.0, 2.0)


@dataclass(frozen=True, kw_only=True)
class Plan:
    """What one driver process has to do.

    :param nodes: ``host:port`` of nodes that may be asked for addresses.
    :param start_at: start of the run on the monotonic clock of the host.
    :param keys: credential by ``organisation/tier``.
    :param direct: whether ``nodes`` are upstreams to be spoken to directly.
    :param pauses_s: before a caller asks again for an answer that broke off.
    """

    run: str
    nodes: tuple[str, ...]
    start_at: float
    seed: int
    keys: dict[str, str]
    arrivals: tuple[Arrival, ...]
    direct: bool = False
    pauses_s: tuple[float, ...] = COME_BACK_PAUSES_S


@dataclass(frozen=True, kw_only=True)
class Progress:
    """How far a driver process has come, written to its output as a JSON line."""

    sent: int
    done: int


@dataclass(frozen=True, kw_only=True)
class _Raw:
    """An answer before it is judged."""

    arrival: Arrival
    answer: Answer
    content_type: str = ""
    pieces: tuple[Piece, ...] = ()


class _Caller:
    """Sends requests of one plan and keeps what came back."""

    def __init__(self, *, plan: Plan, directory: Directory) -> None:
        self._plan = plan
        self._directory = directory
        self._raws: list[_Raw] = []

    def raws(self) -> list[_Raw]:
        return self._raws

    def call(self, arrival: Arrival) -> None:
        """Send one request and keep its answer; never raises.

        A caller whose connection broke asks again with the same key, at another
        address if need be, since the system promises not to run the key twice.
        """
        site = self._directory.choose()
        raw = self._try(site, arrival, Answer(index=arrival.index, verdict=UNKNOWN))
        for pause_s in self._plan.pauses_s:
            if not _is_unknown(raw):
                break
            time.sleep(pause_s)
            if self._now_s() - arrival.at_s > arrival.deadline_ms / MS_PER_S:
                break
            raw = self._try(site, arrival, raw.answer)
        self._raws.append(raw)

    def _try(self, site: Site, arrival: Arrival, last: Answer) -> _Raw:
        """Ask once, after ``last``, which had no try or an unknown end."""
        key = last.key
        answer = Answer(
            index=arrival.index,
            verdict=UNKNOWN,
            key=key,
            tries=last.tries + 1,
            sent_s=self._now_s(),
        )
        try:
            conn, entry = self._connect(site, arrival, avoid=last.address)
        except OSError as exc:
            # Before the first byte nothing can have run; later it is not known.
            verdict = UNKNOWN if key else Verdict.ERROR
            code = f"no_connection_{type(exc).__name__}"
            answer = replace(answer, verdict=verdict, code=code, end_s=self._now_s())
            return _Raw(arrival=arrival, answer=answer)
        key = key or self._new_key(arrival, entry)
        answer = replace(answer, key=key, address=entry.address)
        return self._exchange(conn, arrival, answer)

    def _exchange(
        self, conn: http.client.HTTPConnection, arrival: Arrival, answer: Answer
    ) -> _Raw:
        pieces: list[Piece] = []
        kind = ""
        try:
            self._send(conn, arrival, answer.key)
            resp = conn.getresponse()
            kind = resp.getheader("Content-Type", "")
            answer = _with_head(answer, resp)
            self._read(resp, pieces)
        except (OSError, http.client.HTTPException) as exc:
            answer = replace(answer, code=f"broken_{type(exc).__name__}")
        finally:
            conn.close()
        return _Raw(
            arrival=arrival,
            answer=replace(answer, end_s=self._now_s()),
            content_type=kind,
            pieces=tuple(pieces),
        )

    def _new_key(self, arrival: Arrival, entry: Entry) -> str:
        prefix = "" if arrival.own_key else entry.key_prefix
        return f"{prefix}{self._plan.run}-{arrival.index}"

    def _connect(
        self, site: Site, arrival: Arrival, *, avoid: str
    ) -> tuple[http.client.HTTPConnection, Entry]:
        """Connect to an address; a refused connect has sent nothing, so go on."""
        timeout_s = arrival.deadline_ms / MS_PER_S + PATIENCE_S
        for entry in site.entries(avoid=avoid):
            conn = http.client.HTTPConnection(entry.address, timeout=timeout_s)
            try:
                conn.connect()
            except OSError:
                conn.close()
                site.drop(entry)
            else:
                return conn, entry
        raise ConnectionRefusedError("no address left")

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
    """Send all requests of a plan and return the judged answers.

    Open loop: a request is sent at its time even while earlier ones wait.
    """
    threading.stack_size(STACK_BYTES)
    gc.freeze()
    rng = random.Random(plan.seed)
    directory = Directory(nodes=plan.nodes, rng=rng, direct=plan.direct)
    directory.start()
    caller = _Caller(plan=plan, directory=directory)
    threads: list[threading.Thread] = []
    stopped = threading.Event()
    threading.Thread(
        target=_tell_progress, args=(threads, caller, stopped), daemon=True
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
    return [_judge(raw) for raw in caller.raws()]


def write_plan(path: Path, plan: Plan) -> None:
    """Write a plan for a driver process."""
    path.write_text(json.dumps(asdict(plan)), encoding="utf-8")


def read_plan(path: Path) -> Plan:
    """Read a plan."""
    raw = json.loads(path.read_text(encoding="utf-8"))
    raw["nodes"] = tuple(raw["nodes"])
    raw["pauses_s"] = tuple(raw["pauses_s"])
    raw["arrivals"] = tuple(
        Arrival(**{**item, "form": Form(item["form"])}) for item in raw["arrivals"]
    )
    return Plan(**raw)


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
    """Carry out the plan of the first file, write answers to the second."""
    plan_path, answers_path = (Path(argument) for argument in arguments)
    answers = drive(read_plan(plan_path))
    part = answers_path.with_suffix(".part")
    part.write_text(json.dumps([asdict(one) for one in answers]), encoding="utf-8")
    part.rename(answers_path)
    return 0


def _tell_progress(
    threads: Sequence[threading.Thread], caller: _Caller, stopped: threading.Event
) -> None:
    while not stopped.wait(PROGRESS_S):
        progress = Progress(sent=len(threads), done=len(caller.raws()))
        print(json.dumps(asdict(progress)), flush=True)


def _body(arrival: Arrival) -> dict[str, object]:
    if arrival.form is Form.SERVICE:
        return service_body(arrival)
    body: dict[str, object] = {
        "model": arrival.target,
        "max_tokens": arrival.output_tokens,
        "stream": arrival.stream,
    }
    head, own = shared_text(arrival), own_text(arrival)
    if arrival.form is Form.COMPLETION:
        body["prompt"] = f"{head}\n{own}" if head else own
        return body
    messages = [{"role": "system", "content": head}] if head else []
    messages.append({"role": "user", "content": own})
    body["messages"] = messages
    return body


def _path(arrival: Arrival) -> str:
    if arrival.form is Form.CHAT:
        return "/v1/chat/completions"
    if arrival.form is Form.COMPLETION:
        return "/v1/completions"
    return f"/v1/services/{arrival.target}/{arrival.work}"


def _with_head(answer: Answer, resp: http.client.HTTPResponse) -> Answer:
    return replace(
        answer,
        status=resp.status,
        request_id=resp.getheader("X-Request-Id", ""),
        retry_after_s=_seconds(resp.getheader("Retry-After", "")),
    )


def _seconds(value: str) -> float:
    try:
        return float(value)
    except ValueError:
        return 0.0


def _is_unknown(raw: _Raw) -> bool:
    """Tell whether the caller does not know what became of its request."""
    answer = raw.answer
    last = raw.pieces[-1].data if raw.pieces else b""
    streamed = raw.content_type.startswith(EVENT_STREAM)
    ended = last.endswith(STREAM_END) or not streamed
    if answer.status == OK_STATUS and not answer.code and ended:
        return False
    return _judge(raw).verdict is UNKNOWN


def _judge(raw: _Raw) -> Answer:
    if raw.answer.verdict is Verdict.ERROR:
        return raw.answer
    if not raw.answer.status:
        return raw.answer
    judgement = _judge_bytes(raw)
    times = judgement.token_times or (raw.answer.end_s,)
    gaps_ms = tuple(
        round((later - earlier) * MS_PER_S, 2)
        for earlier, later in zip(times, times[1:], strict=False)
    )
    return replace(
        raw.answer,
        verdict=judgement.verdict,
        code=raw.answer.code or judgement.code,
        first_s=times[0],
        gaps_ms=gaps_ms,
    )


def _judge_bytes(raw: _Raw) -> Judgement:
    if raw.content_type.startswith(EVENT_STREAM):
        return judge_stream(raw.arrival, raw.pieces)
    body = b"".join(piece.data for piece in raw.pieces)
    if raw.answer.code:
        return Judgement(verdict=Verdict.UNKNOWN, code=raw.answer.code)
    return judge_whole(raw.arrival, raw.answer.status, body)


def _sleep_until(at: float) -> None:
    while (left := at - time.monotonic()) > 0.0:
        time.sleep(left)


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
