"""Requests that are held back stay so when all nodes have ended."""

import asyncio
import signal

from tests.platform_adapter import demo
from tests.platform_adapter.standin_store import StoreFault
from tests.platform_adapter.test_processes import ask, eventually, with_deployment

CRASH = demo.CRASH
# Two show the cause; a third may end under a copy that came at the same moment.
MOST_ENDED = 3


def test_request_is_still_held_back_after_all_nodes_were_killed(tmp_path):
    """A request ends two services and is held back; then all nodes lose power.

    Nodes keep nothing. What they know of the request is in the store, and they read it
    when they start: no further service ends.
    """

    async def story(deployment):
        for number in range(1, 4):
            status, _ = await ask(deployment.callers[number % 2], number, text=CRASH)
            assert status in (502, 503)
        ended = deployment.crashed.total()
        assert ended <= MOST_ENDED

        async def is_kept():
            return any(
                key.startswith("held/") for key in deployment.store.keys("fleet")
            )

        await eventually(is_kept, "the store has it")
        for number in range(len(deployment.processes)):
            deployment.send_signal(number, signal.SIGKILL)
        for number, process in enumerate(deployment.processes):
            await process.wait()
            await deployment.restart(number)

        async def is_back():
            return len(await demo.resolve(deployment.directories[0])) == 2

        await eventually(is_back, "both serve")
        for number in range(10, 14):
            status, _ = await ask(deployment.callers[number % 2], number, text=CRASH)
            assert status == 503
        assert deployment.crashed.total() == ended
        assert await ask(deployment.callers[0], 20, text=b"x") == (
            200,
            b"answer to 20",
        )

    with_deployment(tmp_path, story)


def test_request_is_held_back_without_the_store(tmp_path):
    async def story(deployment):
        deployment.store.fault = StoreFault.SILENT
        deployment.store.cut_connections()
        for number in range(1, 4):
            await ask(deployment.callers[number % 2], number, "stream", text=CRASH)
        await asyncio.sleep(0.5)
        for number in range(10, 14):
            status, _ = await ask(
                deployment.callers[number % 2], number, "stream", text=CRASH
            )
            assert status == 503
        assert deployment.crashed.total() <= MOST_ENDED

    with_deployment(tmp_path, story)
