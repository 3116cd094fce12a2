"""The socket between gateways."""

import asyncio
import contextlib

from baobabwing.gateway.placement.link import WorkLink
from baobabwing.gateway.placement.messages import CellKey, CellState, Queued
from tests.gateway.bed import eventually

MESSAGES = 40


@contextlib.asynccontextmanager
async def two_links():
    """Start a link that has been sent forty messages, and note what it hands on."""
    sender, reader = WorkLink(), WorkLink()
    heard = []
    reader.handle(Queued, lambda message, address: heard.append(message.number))
    await sender.start("127.0.0.1:0")
    await reader.start("127.0.0.1:0")
    for number in range(MESSAGES):
        sender.send(reader.address, queued(number))
    yield heard
    sender.stop()
    reader.stop()


def queued(number):
    state = CellState(queued=1, free=0, turnover_s=0.0)
    return Queued(number=number, cell=CellKey(pool=1, index=0), state=state)


def test_answers_that_are_there_are_read_before_timers_that_wait_for_them(run):
    """A node stood still for a moment while forty answers came.

    Its timers were due as well. It read one answer, ran all timers, found no answer to
    39 questions, and left a home that had answered them all.
    """

    async def story():
        loop = asyncio.get_running_loop()
        async with two_links() as heard:
            # Due already, so that it runs in the first turn in which the loop reads.
            loop.call_at(loop.time(), lambda: heard.append("timer"))
            await eventually(lambda: len(heard) > MESSAGES, "all is read and ran")
            assert heard == [*range(MESSAGES), "timer"]

    run(story())


def test_a_flood_leaves_turns_to_the_rest_of_the_loop(run, monkeypatch):
    monkeypatch.setattr("baobabwing.gateway.placement.link._MOST_READ", 8)

    async def story():
        async with two_links() as heard:
            while sum(one != "other" for one in heard) < MESSAGES:
                await asyncio.sleep(0)
                heard.append("other")
            runs = "".join("o" if one == "other" else "m" for one in heard)
            assert "m" * 9 not in runs

    run(story())


def test_what_can_not_be_sent_is_dropped(run):
    async def story():
        link = WorkLink()
        await link.start("127.0.0.1:0")
        link.send("0.0.0.0:0", queued(1))
        assert link.sent == 0
        link.stop()
        link.send("127.0.0.1:9", queued(2))
        assert link.sent == 0

    run(story())
