"""Memory of nodes, as real processes, while others send more than they can hold."""

import asyncio
import itertools
from pathlib import Path

import pytest

from baobabwing.exceptions import ConnectionLostError
from baobabwing.gateway.connection import open_connection
from baobabwing.standins.gateway_upstream import Behaviour
from tests.platform_adapter import demo
from tests.platform_adapter.test_processes import ask

# Memory of the smallest host that a deployment of ours has.
MEMORY_MB = 88
REQUESTS = 48
BODY_BYTES = 3_900_000
ENDLESS = {
    "length": Behaviour(endless="length"),
    "length of a failure": Behaviour(endless="length", status=500),
    "length of a refusal": Behaviour(endless="length", status=503, refuse=True),
    "chunks": Behaviour(endless="chunks"),
    "unframed": Behaviour(endless="unframed"),
}


def peak_mb(process):
    """Return the most memory that a process has used; 0 once it has ended."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    peaks = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(peaks[0].split()[1]) / 1024 if peaks else 0.0


async def run_measured(deployment, work):
    """Return the peak of all nodes' memory; ends the work once it is over the limit."""
    task = asyncio.ensure_future(work)
    peak = 0.0
    while not task.done() and peak < MEMORY_MB:
        await asyncio.wait({task}, timeout=0.05)
        peak = max(map(peak_mb, deployment.processes))
    task.cancel()
    await asyncio.wait({task})
    return peak


def play(tmp_path, story):
    """Return the peak of the nodes' memory, and whether they are still up."""

    async def scenario():
        deployment = demo.Deployment(
            nodes=2, folder=tmp_path, settings=[f"limits.memory_mb={MEMORY_MB}"]
        )
        try:
            await deployment.start()
            peak = await run_measured(deployment, story(deployment))
            return peak, [one.returncode for one in deployment.processes]
        finally:
            await deployment.stop()

    return asyncio.run(scenario())


@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
@pytest.mark.parametrize("form", ENDLESS)
def test_answers_without_end_do_not_take_the_memory_of_a_node(tmp_path, form, kind):
    async def story(deployment):
        pool = "engine" if kind == "stream" else "service"
        for name in deployment.names:
            if name.startswith(pool):
                deployment.worker(name).behave = lambda seen: ENDLESS[form]
        callers = itertools.cycle(deployment.callers)
        numbers = range(1000, 1000 + REQUESTS)
        asked = (ask(next(callers), number, kind) for number in numbers)
        await asyncio.gather(*asked, return_exceptions=True)

    peak, statuses = play(tmp_path, story)
    assert peak < MEMORY_MB
    assert statuses == [None, None]


def test_bodies_that_callers_never_end_do_not_take_the_memory_of_a_node(tmp_path):
    async def begin(address, number):
        conn = await open_connection(address, timeout_s=5.0, head_bytes=65_536)
        headers = demo.request_headers(str(number), demo.KEY)
        lines = [b"POST /safe/x HTTP/1.1", *(b"%b: %b" % one for one in headers)]
        lines.append(b"Content-Length: %d" % (BODY_BYTES + 1))
        try:
            await conn.write(b"\r\n".join(lines) + b"\r\n\r\n")
            await conn.write(b"x" * BODY_BYTES)
            await asyncio.sleep(1.0)
        except ConnectionLostError:
            pass
        finally:
            conn.close()

    async def story(deployment):
        address = deployment.callers[0]
        begun = [asyncio.ensure_future(begin(address, n)) for n in range(100)]
        await asyncio.gather(*begun)
        answers.append(await ask(address, 1))

    answers = []
    peak, statuses = play(tmp_path, story)
    assert peak < MEMORY_MB
    assert statuses == [None, None]
    assert [status for status, _ in answers] == [200]
