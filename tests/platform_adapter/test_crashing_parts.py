"""Parts of prompts that are held back stay so when all nodes have ended."""

import signal

from tests.platform_adapter import demo
from tests.platform_adapter.test_processes import ask, eventually, with_deployment

BAD = f"{demo.BAD_PART}0"
# Three show the cause; more may end under requests that came at the same moment.
MOST_ENDED = 5


async def ask_prompt(deployment, number, *parts):
    prompt = ",".join(f"{part}:40" for part in (*parts, f"own-{number}"))
    return await ask(
        deployment.callers[number % 2],
        number,
        "stream",
        text=b"%d" % number,
        more=[(demo.HEADERS.prefix, prompt.encode())],
    )


def test_part_is_still_held_back_after_all_nodes_were_killed(tmp_path):
    """No two requests are alike, and nodes that start have seen none of them."""

    async def story(deployment):
        for number in range(1, 10):
            await ask_prompt(deployment, number, "common", BAD)
            status, _ = await ask_prompt(deployment, 100 + number, "common", "topic")
            assert status in (200, 502, 503)
        ended = len(deployment.crashed_at[BAD])
        assert 3 <= ended <= MOST_ENDED

        async def is_kept():
            return any(
                key.startswith("part/") for key in deployment.store.keys("fleet")
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
        for number in range(20, 26):
            status, _ = await ask_prompt(deployment, number, "common", BAD)
            assert status == 503
        assert len(deployment.crashed_at[BAD]) == ended
        status, _ = await ask_prompt(deployment, 30, "common", "topic")
        assert status == 200

    with_deployment(tmp_path, story)
