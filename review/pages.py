"""A worker starts to leave while a starting node reads a long list of workers."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Any

from baobabwing.exceptions import ConnectionLostError, MalformedError
from review import common
from review.worker import Run
from tests.platform_adapter.standin_store import StandinStore

_NODES = 3
_RESTARTED = 2
_WORKERS = 3
_LEAVER = "a-worker-0"
# Entries of another service; with them the list has two pages.
_OTHER_WORKERS = 600
_WORK_S = 0.03
_CLIENTS = 10
_PAUSE_S = 0.05
_WATCHED_S = 10.0
_DRAIN_S = 2.0
_STABLE_WINDOW_S = 3.0


class _Store(StandinStore):
    """A store that calls a function before it answers a later page of workers."""

    def __init__(self) -> None:
        super().__init__()
        self.before_later_page = lambda: None

    def _read_page(self, query: dict[str, str]) -> dict[str, Any]:
        if query["table"] == "servers" and query.get("from"):
            self.before_later_page()
        return super()._read_page(query)


async def _work(run: Run) -> bytes:
    await asyncio.sleep(_WORK_S)
    return b"answer to " + run.request_id.encode()


async def play(folder: Path, record: common.Record, trouble: bool) -> bool:
    """Have a worker leave between two pages, and look at what still reaches it."""
    deployment = common.Deployment(
        folder=folder,
        nodes=_NODES,
        routes=[common.route("look", "safe", "api")],
        services=[
            {"name": name, "health_path": "/health"} for name in ("api", "other")
        ],
    )
    store = deployment.store = _Store()
    left_at: list[float] = []

    def leave() -> None:
        if left_at:
            return
        row = store.read("servers", _LEAVER)
        store.write("servers", _LEAVER, {**row, "state": "draining", "sequence": 2})
        left_at.append(time.monotonic())
        record(f"the store has acknowledged that {_LEAVER} is draining")

    sent_at: dict[str, float] = {}
    served = 0
    stopped = asyncio.Event()

    async def send_all(client: int) -> None:
        nonlocal served
        number = 0
        while not stopped.is_set():
            name = f"c{client}-{number}"
            number += 1
            sent_at[name] = time.monotonic()
            try:
                status, _ = await common.ask(
                    deployment.callers[_RESTARTED], name, "/look/x", b"x"
                )
                served += status == 200
            except (ConnectionLostError, MalformedError):
                pass
            await asyncio.sleep(_PAUSE_S)

    try:
        await deployment.start_store()
        for number in range(_WORKERS):
            await deployment.add_worker(f"a-worker-{number}", "api", _work)
        for number in range(_OTHER_WORKERS):
            entry = {**store.read("servers", _LEAVER), "service": "other"}
            store.write("servers", f"b-worker-{number:03}", entry)
        await deployment.start_nodes()
        await asyncio.sleep(_STABLE_WINDOW_S)
        deployment.send_signal(_RESTARTED, signal.SIGKILL)
        await deployment.processes[_RESTARTED].wait()
        if trouble:
            store.before_later_page = leave
        record(f"node {_RESTARTED} was killed and starts again")
        started_at = time.monotonic()
        deployment.processes[_RESTARTED] = await deployment.launch(_RESTARTED)
        clients = [asyncio.ensure_future(send_all(one)) for one in range(_CLIENTS)]
        if not trouble:
            await asyncio.sleep(2.0)
            leave()
        await asyncio.sleep(_WATCHED_S)
        stopped.set()
        await asyncio.gather(*clients)
    finally:
        await deployment.stop()
    if not left_at:
        raise RuntimeError("the node has read no second page")
    # Its start is over by then, so that the machine is in touch.
    in_touch_from = started_at + 1.0 + _STABLE_WINDOW_S
    late = 0
    for run in deployment.workers[_LEAVER].runs:
        after_s = run.arrived_at - left_at[0]
        sent = sent_at[run.request_id]
        if after_s > _DRAIN_S and sent > in_touch_from:
            late += 1
            record(
                f"{run.request_id}, sent {sent - started_at:.3f} s after the start,"
                f" reached {_LEAVER} {after_s:.3f} s after the acknowledgement"
            )
    record(f"{len(sent_at)} requests, {served} answered 200, {late} late at {_LEAVER}")
    if served < len(sent_at) / 2:
        raise RuntimeError("most requests were not served")
    return late == 0


if __name__ == "__main__":
    common.run_case(play, Path(sys.argv[1]), limit_s=100.0)
