"""A worker leaves while the nodes' open connections to the store are silent."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from baobabwing.exceptions import ConnectionLostError, MalformedError
from review import common
from review.proxy import MuteProxy
from review.worker import Run

_NODES = 3
_WORKERS = 3
_LEAVER = "worker-0"
_WORK_S = 0.03
_PAUSE_S = 0.05
# Clients of each node; with several, all workers get requests.
_CLIENTS = 10
# A release: a new worker starts, and then an old one leaves. Between the two the
# connections go silent.
_SILENT_AFTER_S = 0.5
_LEAVE_AFTER_S = 0.3
_WATCHED_S = 8.0
_DRAIN_S = 2.0
_STABLE_WINDOW_S = 3.0


async def _work(run: Run) -> bytes:
    await asyncio.sleep(_WORK_S)
    return b"answer to " + run.request_id.encode()


async def play(folder: Path, record: common.Record, trouble: bool) -> bool:
    """Have a worker leave without a report, and look at what still reaches it."""
    proxies: list[MuteProxy] = []

    async def through_proxy(address: str) -> str:
        proxy = MuteProxy(target=address)
        await proxy.start()
        proxies.append(proxy)
        return proxy.address

    deployment = common.Deployment(
        folder=folder,
        nodes=_NODES,
        routes=[common.route("look", "safe", "api")],
        services=[{"name": "api", "health_path": "/health"}],
        store_proxy=through_proxy,
    )
    sent_at: dict[str, float] = {}
    answers: dict[str, str] = {}
    stopped = asyncio.Event()

    async def send_all(node: int, client: int) -> None:
        number = 0
        while not stopped.is_set():
            name = f"n{node}-{client}-{number}"
            number += 1
            sent_at[name] = time.monotonic()
            try:
                status, _ = await common.ask(
                    deployment.callers[node], name, "/look/x", b"x"
                )
                answers[name] = str(status)
            except (ConnectionLostError, MalformedError) as exc:
                answers[name] = repr(exc)
            await asyncio.sleep(_PAUSE_S)

    try:
        await deployment.start_store()
        for number in range(_WORKERS):
            await deployment.add_worker(f"worker-{number}", "api", _work)
        await deployment.start_nodes()
        callers = [
            asyncio.ensure_future(send_all(node, client))
            for node in range(_NODES)
            for client in range(_CLIENTS)
        ]
        await asyncio.sleep(_STABLE_WINDOW_S + 1.5)
        await deployment.add_worker(f"worker-{_WORKERS}", "api", _work)
        record(f"worker-{_WORKERS} has registered")
        await asyncio.sleep(_SILENT_AFTER_S)
        silent_at = time.monotonic()
        if trouble:
            record("the open connections to the store go silent; new ones work")
            for proxy in proxies:
                proxy.mute()
        await asyncio.sleep(_LEAVE_AFTER_S)
        # It goes on to serve for drain_ms and many seconds more, as workers may.
        deployment.store.write("servers", _LEAVER, None)
        gone_at = time.monotonic()
        record(f"the store has acknowledged that {_LEAVER} is gone")
        await asyncio.sleep(_WATCHED_S)
        stopped.set()
        await asyncio.gather(*callers)
    finally:
        await deployment.stop()
        for proxy in proxies:
            proxy.stop()
    in_touch_from = silent_at + _STABLE_WINDOW_S if trouble else 0.0
    late = 0
    for run in deployment.workers[_LEAVER].runs:
        if run.arrived_at <= gone_at:
            continue
        sent = sent_at[run.request_id]
        counts = run.arrived_at > gone_at + _DRAIN_S and sent > in_touch_from
        late += counts
        record(
            f"{run.request_id} reached {_LEAVER} {run.arrived_at - gone_at:.3f} s after"
            f" the acknowledgement, sent {sent - silent_at:.3f} s after the silence"
            f" began{': late' if counts else ''}"
        )
    served = sum(answer == "200" for answer in answers.values())
    record(f"{len(answers)} requests, {served} answered 200, {late} late at {_LEAVER}")
    if served < len(answers) / 2:
        raise RuntimeError("most requests were not served")
    return late == 0


if __name__ == "__main__":
    common.run_case(play, Path(sys.argv[1]), limit_s=100.0)
