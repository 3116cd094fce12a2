"""Workers reject requests, and some of them send an answer a second time, late."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

from baobabwing.exceptions import ConnectionLostError, MalformedError
from review import common
from review.worker import Run, Worker

_NODES = 6
_WORKERS = 1
_WORK_S = 0.0225
_PER_NODE_S = 4.0
_LENGTH_S = 40.0
_DEADLINE_MS = 600
# Share of the requests that the worker rejects, and of its answers that come a second
# time; all of these are rejections.
_SHED = 0.25
_COPIED = 0.03
_PROMISES = (408, 421, 429, 503)


async def _work(run: Run) -> bytes:
    await asyncio.sleep(_WORK_S)
    return b"answer to " + run.request_id.encode()


async def play(folder: Path, record: common.Record, trouble: bool) -> bool:
    """Send requests that may run once at most, and compare answers with runs."""
    rng = random.Random(1)
    deployment = common.Deployment(
        folder=folder,
        nodes=_NODES,
        routes=[
            common.route("book", "unsafe", "api", max_attempts=1, target_latency_ms=100)
        ],
        services=[{"name": "api", "health_path": "/health"}],
    )
    answers: dict[str, int] = {}

    async def send(node: int, number: int) -> None:
        name = f"n{node}-{number}"
        try:
            answers[name], _ = await asyncio.wait_for(
                common.ask(
                    deployment.callers[node],
                    name,
                    "/book/x",
                    name.encode(),
                    deadline_ms=_DEADLINE_MS,
                ),
                timeout=_DEADLINE_MS / 1000,
            )
        except (ConnectionLostError, MalformedError, TimeoutError):
            answers[name] = 0

    async def send_all(node: int, until: float) -> None:
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(send(node, len(tasks))))
            await asyncio.sleep(rng.expovariate(_PER_NODE_S))
        await asyncio.gather(*tasks)

    try:
        await deployment.start_store()
        workers: list[Worker] = [
            await deployment.add_worker(f"worker-{number}", "api", _work, slots=6)
            for number in range(_WORKERS)
        ]
        if trouble:
            for worker in workers:
                worker.rejects = lambda run: rng.random() < _SHED
            faulty = workers[0]
            faulty.repeats = lambda run, rejected: (
                rejected
                and rng.random() < 2 * _COPIED / _SHED
                and faulty.repeated + 1 <= _COPIED * faulty.answers
            )
        await deployment.start_nodes()
        await asyncio.sleep(3.5)
        until = time.monotonic() + _LENGTH_S
        await asyncio.gather(*(send_all(node, until) for node in range(_NODES)))
        await asyncio.sleep(0.5)
    finally:
        await deployment.stop()
    runs = Counter(run.request_id for worker in workers for run in worker.runs)
    record(f"answers: {dict(Counter(answers.values()))}")
    for worker in workers:
        record(f"{worker.name}: {worker.answers} answers, {worker.repeated} copies")
    broken = 0
    for name, status in answers.items():
        if runs[name] > 1 or (runs[name] and status in _PROMISES):
            broken += 1
            record(f"{name} was answered {status or 'nothing'}, ran {runs[name]} times")
    record(f"{len(answers)} requests, {broken} against the rule")
    if Counter(answers.values())[200] < len(answers) / 4:
        raise RuntimeError("most requests were not served")
    return broken == 0


if __name__ == "__main__":
    common.run_case(play, Path(sys.argv[1]), limit_s=115.0)
