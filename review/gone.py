"""Callers with long requests leave before they are answered."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from baobabwing.exceptions import ConnectionLostError, MalformedError
from review import common
from review.worker import Run, Worker

_NODES = 2
_WORKERS = 3
_SLOTS = 8
# Half of the objective of 800 ms: what clients that give up wait at least.
_LEAVE_S = 0.4
_WORK_S = 3.0
# The longest request of the small deployment, in bytes.
_BODY_BYTES = 110_000
_REQUESTS = 24
# Share of requests that workers may still be at work on, and when this is looked at.
_MAX_SHARE = 0.25
_STOP_S = 0.5


async def _work(run: Run) -> bytes:
    await asyncio.sleep(_WORK_S)
    return b"answer to " + run.request_id.encode()


async def play(folder: Path, record: common.Record, trouble: bool) -> bool:
    """Send long requests whose callers leave, and look at what the workers do."""
    deployment = common.Deployment(
        folder=folder,
        nodes=_NODES,
        routes=[common.route("look", "safe", "api")],
        services=[{"name": "api", "health_path": "/health"}],
    )
    left_at: dict[str, float] = {}
    wrong: list[str] = []

    async def send(number: int) -> None:
        name = f"r{number}"
        address = deployment.callers[number % _NODES]
        # Bodies differ: these are requests of different callers.
        body = (b"%08d" % number) * (_BODY_BYTES // 8)
        record(f"{name} sent to node {number % _NODES}, {len(body)} bytes")
        try:
            async with asyncio.timeout(_LEAVE_S if trouble else None):
                status, answer = await common.ask(address, name, "/look/x", body)
        except TimeoutError:
            left_at[name] = time.monotonic()
            record(f"{name} its caller closed the connection")
            return
        except (ConnectionLostError, MalformedError) as exc:
            wrong.append(name)
            record(f"{name} {exc!r}")
            return
        if (status, answer) != (200, b"answer to " + name.encode()):
            wrong.append(name)
        record(f"{name} got {status}, {len(answer)} bytes")

    try:
        await deployment.start_store()
        workers: list[Worker] = [
            await deployment.add_worker(f"worker-{number}", "api", _work, slots=_SLOTS)
            for number in range(_WORKERS)
        ]
        await deployment.start_nodes()
        # Machines are in touch once their start is three seconds ago.
        await asyncio.sleep(3.5)
        await asyncio.gather(*(send(number) for number in range(_REQUESTS)))
        await asyncio.sleep(2 * _WORK_S + 1.0)
    finally:
        await deployment.stop()
    runs = [run for worker in workers for run in worker.runs]
    late = set()
    for run in sorted(runs, key=lambda one: one.arrived_at):
        left = left_at.get(run.request_id)
        end = "answered"
        if run.dropped:
            end = "dropped"
        text = f"{run.request_id} ran at {run.worker} for "
        text += f"{run.ended_at - run.arrived_at:.2f} s, {end}"
        if left is not None:
            text += f"; ended {run.ended_at - left:+.2f} s after its caller left"
            if run.ended_at > left + _STOP_S:
                late.add(run.request_id)
        record(text)
    record(f"{len(left_at)} callers left, workers still at work on {len(late)}")
    if not trouble:
        return not wrong
    if not left_at:
        raise RuntimeError("no caller left")
    return len(late) <= _MAX_SHARE * len(left_at)


if __name__ == "__main__":
    common.run_case(play, Path(sys.argv[1]), limit_s=100.0)
