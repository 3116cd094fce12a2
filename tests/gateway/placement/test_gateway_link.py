"""UDP socket between gateways."""

import asyncio
import contextlib

from baobabwing.gateway.placement.gateway_link import GatewayLink
from baobabwing.gateway.placement.messages import CellKey, CellLoad, Queued
from tests.gateway.harness import eventually

MESSAGES = 40


@contextlib.asynccontextmanager
async def link_with_datagrams():
    """Yield the numbers of the messages that a link dispatches, after 40 were sent."""
    sender, receiver = GatewayLink(), GatewayLink()
    received = []
    receiver.handle(Queued, lambda message, address: received.append(message.number))
    await sender.start("127.0.0.1:0")
    await receiver.start("127.0.0.1:0")
    for number in range(MESSAGES):
        sender.send(receiver.address, queued_message(number))
    yield received
    sender.stop()
    receiver.stop()


def queued_message(number):
    state = CellLoad(queued=1, free=0, turnover_s=0.0)
    return Queued(number=number, cell=CellKey(pool=1, index=0), state=state)


def test_waiting_datagrams_are_read_before_due_timers(run):
    """After a short stall of a node, 40 answers have arrived and timers are due.

    With one datagram read per loop turn, the timers ran before 39 of the answers were
    read, and the node excluded a home that had answered every request.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        async with link_with_datagrams() as received:
            # Already due, so that it runs in the first turn in which the loop reads.
            loop.call_at(loop.time(), lambda: received.append("timer"))
            await eventually(lambda: len(received) > MESSAGES, "everything has run")
            assert received == [*range(MESSAGES), "timer"]

    run(scenario())


def test_reads_per_loop_turn_are_bounded(run, monkeypatch):
    monkeypatch.setattr(
        "baobabwing.gateway.placement.gateway_link._MAX_READS_PER_TURN", 8
    )

    async def scenario():
        async with link_with_datagrams() as received:
            while sum(item != "other" for item in received) < MESSAGES:
                await asyncio.sleep(0)
                received.append("other")
            turns = "".join("o" if item == "other" else "m" for item in received)
            assert "m" * 9 not in turns

    run(scenario())


def test_unsendable_message_is_dropped(run):
    async def scenario():
        link = GatewayLink()
        await link.start("127.0.0.1:0")
        link.send("0.0.0.0:0", queued_message(1))
        assert link.sent == 0
        link.stop()
        link.send("127.0.0.1:9", queued_message(2))
        assert link.sent == 0

    run(scenario())
